package rule

import "flag"

// init sets the seed of the random tests; the flag -rapid.seed on the command line replaces it.
func init() { _ = flag.Set("rapid.seed", "1") }
