// Package demo runs a site in one process on loopback, sends traffic and checks that the guarantees to callers hold.
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

// Traffic of the demo.
const (
	seed        = 7
	offeredLoad = 0.7 // as a fraction of the capacity
	headroom    = 1.5 // rate of each client account, relative to its share of the capacity
	profileName = "demo"
)

// ErrGuaranteeViolated is returned by Run if a guarantee to callers was violated.
var ErrGuaranteeViolated = errors.New("demo: a promise broke")

// Demo sends traffic through a small site. Its exported fields must be set before Run.
type Demo struct {
	Out    io.Writer
	Length time.Duration // how long traffic is sent
	JSON   bool          // print JSON instead of a table
}

// Run starts the site, sends traffic and prints the result. It returns ErrGuaranteeViolated if a guarantee to
// callers was violated, instead of any other error.
func (d *Demo) Run(ctx context.Context) error {
	profile, err := load.FindProfile(profileName)
	if err != nil {
		return err
	}
	run := load.Run{
		Profile:   profile,
		Workload:  load.Workload{Seed: seed, Duration: d.Length, Load: offeredLoad, TimeScale: 1},
		Placement: rule.PlacementLeastLoaded,
		Fault:     load.FaultNone,
		Headroom:  headroom,
	}
	summary, err := run.Do(ctx)
	if len(summary.Accounts) > 0 {
		err = errors.Join(err, d.print(summary))
	}
	if len(summary.Violations) > 0 {
		return ErrGuaranteeViolated
	}
	return err
}

// print writes the result as JSON or as a table.
func (d *Demo) print(summary load.Summary) error {
	if d.JSON {
		return load.WriteJSON(d.Out, []load.Summary{summary})
	}
	load.WriteAccounts(d.Out, summary)
	for _, violation := range summary.Violations {
		fmt.Fprintln(d.Out, "broken:", violation)
	}
	if len(summary.Violations) == 0 {
		fmt.Fprintln(d.Out, "all promises held")
	}
	return nil
}
