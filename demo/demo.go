// Package demo runs the whole path in one process on loopback and checks its promises.
package demo

import (
	"context"
	_ "embed"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

// DefaultLength is how long the demo sends traffic.
const DefaultLength = 6 * time.Second

// ErrPromiseBroken says that a promise did not hold during the demo.
var ErrPromiseBroken = errors.New("demo: a promise broke")

//go:embed rules.yaml
var exampleRules string

// Demo sends traffic through a small fleet. Its exported fields are set before Run.
type Demo struct {
	Out    io.Writer
	Length time.Duration
}

// Run starts the fleet, sends traffic, prints the result and checks it.
func (d *Demo) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	log := logrus.New()
	log.SetLevel(logrus.ErrorLevel)
	fleet, err := startFleet(ctx, log)
	if err != nil {
		return err
	}
	traffic := newTraffic(fleet)
	traffic.run(ctx, time.Now().Add(d.Length))
	fleetErr := fleet.stop()
	results := traffic.results()
	printTable(d.Out, results)
	broken := append(traffic.broken(), fleet.broken(traffic.placed())...)
	for _, b := range broken {
		fmt.Fprintln(d.Out, "broken:", b)
	}
	if len(broken) > 0 {
		return ErrPromiseBroken
	}
	if fleetErr != nil {
		return fleetErr
	}
	fmt.Fprintln(d.Out, "all promises held")
	return nil
}
