// Command review-kit-2 plays a case of the second review: it runs the store, the backend servers and the callers of a
// small deployment in this process, and starts the instances of the router as processes of their own.
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
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// maxRunTime ends a case that hangs.
const maxRunTime = 112 * time.Second

// cases are the cases by name. A case returns whether the rule was broken.
var cases = map[string]func(b *bed, trouble bool) (broken bool, err error){
	"slow-server": slowServer,
	"queued":      queuedAtStop,
	"late-copy":   lateCopy,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-kit-2 CASE ROUTER RECORD")
		os.Exit(notRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

// run plays a case and writes its record. It ends all processes that it started, also when it is told to end.
func run(name, router, recordFile string) int {
	out, err := os.Create(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer out.Close()
	b, err := newBed(router, out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer b.close()
	trouble := os.Getenv("TROUBLE") != "0"
	b.record.printf("case %s, disruption: %v", name, trouble)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	code := make(chan int, 1)
	go func() { code <- play(b, name, trouble) }()
	result := notRun
	select {
	case result = <-code:
	case <-stop:
		b.record.printf("told to end")
	case <-time.After(maxRunTime):
		b.record.printf("not ended after %v", maxRunTime)
	}
	b.record.printf("exit code %d", result)
	return result
}

func play(b *bed, name string, trouble bool) int {
	broken, err := cases[name](b, trouble)
	switch {
	case err != nil:
		b.record.printf("the case could not run: %v", err)
		return notRun
	case broken:
		return ruleBroken
	default:
		return ruleHeld
	}
}
