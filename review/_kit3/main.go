// Command bed runs the scripts of the review: each starts a small deployment on loopback, with stand-ins for the platform, the
// replicas and the clients, and exits with 1 if a rule was broken, 0 if it held and 2 if the case could not be run.
package main

import (
	"fmt"
	"os"
)

// cases are the scripts by name. Each returns whether the rule was broken.
var cases = map[string]func(*record, bool) (bool, error){
	"long-prompt":    longPrompt,
	"late-stop":      lateStop,
	"store-back":     storeBack,
	"restored-rules": restoredRules,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: bed CASE RECORD")
		os.Exit(2)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Println("no such case:", os.Args[1])
		os.Exit(2)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	broken, err := play(r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.say("the case could not be run: %v", err)
		os.Exit(2)
	case broken:
		r.say("BROKEN")
		os.Exit(1)
	default:
		r.say("held")
	}
}
