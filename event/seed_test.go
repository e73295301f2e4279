package event

import "flag"

// init fixes the seed of the property-based tests; the flag -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }
