package ledger

import "flag"

// The property tests draw the same values in each run unless a seed is given.
func init() { _ = flag.Set("rapid.seed", "1") }
