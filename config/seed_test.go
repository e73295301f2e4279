package config

import (
	"flag"

	_ "pgregory.net/rapid"
)

// init sets the seed and the number of the random runs; the flags -rapid.seed and -rapid.checks on the
// command line replace them.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "25")
}
