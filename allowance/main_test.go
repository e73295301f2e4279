package allowance

import (
	"flag"
	"os"
	"testing"

	"go.uber.org/goleak"
)

// Seed and numbers of fuzzing runs, unless -rapid.seed or -rapid.checks is set. Without -long, the runs are few, for
// CI.
const (
	defaultSeed = "20261102"
	shortChecks = "120"
	longChecks  = "10000"
)

// runLong selects the searches and the number of fuzzing runs of make long-allowance.
var runLong = flag.Bool("long", false, "run the long searches and fuzzing")

func TestMain(m *testing.M) {
	flag.Parse()
	if !isSet("rapid.seed") {
		_ = flag.Set("rapid.seed", defaultSeed)
	}
	if !isSet("rapid.checks") {
		checks := shortChecks
		if *runLong {
			checks = longChecks
		}
		_ = flag.Set("rapid.checks", checks)
	}
	code := m.Run()
	if code == 0 {
		if err := goleak.Find(); err != nil {
			println(err.Error())
			code = 1
		}
	}
	os.Exit(code)
}

func isSet(name string) bool {
	set := false
	flag.Visit(func(f *flag.Flag) { set = set || f.Name == name })
	return set
}
