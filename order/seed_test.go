package order

import "flag"

// init fixes the seed of the random tests, and runs enough checks to find a lease that is acquired too early. The flags
// -rapid.seed and -rapid.checks override the values.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "2000")
}
