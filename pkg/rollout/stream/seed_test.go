package stream

import "flag"

// Makes the property tests deterministic unless a seed is given on the command
// line.
func init() { _ = flag.Set("rapid.seed", "1") }
