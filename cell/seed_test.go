package cell

import (
	"flag"

	_ "pgregory.net/rapid"
)

// init fixes the seed of the property tests; -rapid.seed on the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }
