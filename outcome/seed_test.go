package outcome_test

import (
	"flag"

	_ "pgregory.net/rapid"
)

// init fixes the seed and the number of the random walks; -rapid.seed and -rapid.checks replace them.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "40")
}
