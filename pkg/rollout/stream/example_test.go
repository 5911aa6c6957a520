package stream_test

import (
	"fmt"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/stream"
)

// The first commit for an index wins. A sample that has become stale by the
// time of the handover is delivered as a void position.
func Example() {
	group := catalog.Group{Name: "g", StalenessBound: 1, Version: 5}
	streams := stream.New()
	_, _ = streams.OpenStep(stream.OpenStep{Group: "g", Step: "1", Size: 1, Entry: "entry-1"})
	for _, attempt := range []string{"first", "second"} {
		c, _ := streams.CommitSample(group, stream.CommitSample{Group: "g", Step: "1", Attempt: attempt, Versions: []uint64{5}})
		fmt.Println(attempt, "is a duplicate:", c.Duplicate)
	}
	out, _ := streams.Handover(group.WithVersion(7), stream.Handover{Group: "g", Max: 8})
	fmt.Println("position", out.Samples[0].Position, "is", out.Samples[0].Void)
	// Output:
	// first is a duplicate: false
	// second is a duplicate: true
	// position 1 is stale
}
