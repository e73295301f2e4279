// Command paired measures a change of policy: it plays the same days with the same seeds before and after the change, and
// reports the mean of the paired differences with its standard error.
//
//	paired play --bench PROGRAM --site FILE --days DAY,... --seeds N,... --out DIR --why TEXT   # in the tree to measure
//	paired compare BEFORE AFTER                                                                 # two such directories
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := run(ctx, os.Args[1:])
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "paired:", err)
		os.Exit(1)
	}
}

var errUsage = errors.New("usage: paired play OPTIONS, or paired compare BEFORE AFTER")

func run(ctx context.Context, args []string) error {
	switch {
	case len(args) > 0 && args[0] == "play":
		return runPlay(ctx, args[1:])
	case len(args) == 3 && args[0] == "compare":
		return runCompare(args[1], args[2])
	default:
		return errUsage
	}
}

func runPlay(ctx context.Context, args []string) error {
	var p plays
	flags := flag.NewFlagSet("play", flag.ContinueOnError)
	flags.StringVar(&p.bench, "bench", "", "program that plays a day")
	flags.StringVar(&p.site, "site", "", "site file")
	flags.Var(&p.days, "days", "names of days, separated by commas")
	flags.Var(&p.seeds, "seeds", "seeds, separated by commas")
	flags.StringVar(&p.out, "out", "", "directory of the reports")
	flags.StringVar(&p.why, "why", "", "reason for the plays, for the journal")
	flags.IntVar(&p.jobs, "jobs", 3, "days played at once")
	if err := flags.Parse(args); err != nil {
		return err
	}
	return p.run(ctx)
}

func runCompare(before, after string) error {
	old, err := readReports(before)
	if err != nil {
		return err
	}
	changed, err := readReports(after)
	if err != nil {
		return err
	}
	return writeComparison(os.Stdout, old, changed)
}
