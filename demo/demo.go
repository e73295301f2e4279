// Package demo runs the whole path in one process on loopback and checks its promises.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"teaselgate/load"
	"teaselgate/rule"
)

// DefaultLength is how long the demo sends traffic.
const DefaultLength = 6 * time.Second

// Shape of the demo's traffic.
const (
	seed        = 7
	partOfPeak  = 0.7
	headroom    = 1.5
	profileName = "demo"
)

// ErrPromiseBroken says that a promise did not hold during the demo.
var ErrPromiseBroken = errors.New("demo: a promise broke")

// Demo sends traffic through a small fleet. Its exported fields are set before Run.
type Demo struct {
	Out    io.Writer
	Length time.Duration
	JSON   bool // prints JSON instead of a table
}

// Run starts the fleet, sends traffic, prints the result and checks it.
func (d *Demo) Run(ctx context.Context) error {
	profile, err := load.FindProfile(profileName)
	if err != nil {
		return err
	}
	run := load.Run{
		Profile:   profile,
		Workload:  load.Workload{Seed: seed, Duration: d.Length, Load: partOfPeak, TimeScale: 1},
		Placement: rule.PlacementLeastLoaded,
		Fault:     load.FaultNone,
		Headroom:  headroom,
	}
	summary, err := run.Do(ctx)
	if len(summary.Accounts) > 0 {
		err = errors.Join(err, d.print(summary))
	}
	if len(summary.Violations) > 0 {
		return ErrPromiseBroken
	}
	return err
}

func (d *Demo) print(summary load.Summary) error {
	if d.JSON {
		return load.WriteJSON(d.Out, []load.Summary{summary})
	}
	load.WriteAccounts(d.Out, summary)
	for _, b := range summary.Violations {
		fmt.Fprintln(d.Out, "broken:", b)
	}
	if len(summary.Violations) == 0 {
		fmt.Fprintln(d.Out, "all promises held")
	}
	return nil
}
