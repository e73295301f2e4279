package outcome_test

import (
	"flag"

	_ "pgregory.net/rapid"
)

// init sets the default seed and number of the random walks. The flags -rapid.seed and -rapid.checks override them.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "40")
}
