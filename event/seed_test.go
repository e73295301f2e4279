package event

import "flag"

// init fixes the seed of the random tests; -rapid.seed on the command line replaces it.
func init() { _ = flag.Set("rapid.seed", "1") }
