package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. A case returns the breaks of the rule that it has seen.
var cases = map[string]func(*deployment) ([]string, error){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-kit CASE PROGRAM RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

// maxLength is the longest time that a case takes.
const maxLength = 110 * time.Second

func run(run func(*deployment) ([]string, error), program, path string) int {
	record, err := newRecorder(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.file.Close()
	d, err := newDeployment(record, program, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer d.close()
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
		select {
		case <-signals:
		case <-time.After(maxLength):
		}
		d.close()
		fmt.Fprintln(os.Stderr, "the case was stopped or took too long")
		os.Exit(exitNotRun)
	}()
	record.Printf("trouble: %v", d.trouble)
	breaks, err := run(d)
	if err != nil {
		record.Printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	}
	for _, b := range breaks {
		record.Printf("BROKEN: %s", b)
	}
	fmt.Printf("the rule was broken %d times\n", len(breaks))
	if len(breaks) > 0 {
		return exitBroken
	}
	return exitHeld
}
