package order

import "flag"

// init fixes the seed of the random tests and makes them long enough to find a lease that is taken too early;
// -rapid.seed and -rapid.checks on the command line replace the values.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "2000")
}
