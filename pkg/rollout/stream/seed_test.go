package stream

import "flag"

// init fixes the seed of the property tests, so that each run draws the same
// values unless -rapid.seed is given.
func init() { _ = flag.Set("rapid.seed", "1") }
