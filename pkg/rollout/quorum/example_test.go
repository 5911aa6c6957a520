package quorum_test

import (
	"fmt"
	"math/rand/v2"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/quorum"
)

// A single-voter quorum commits without peers. The caller must persist the
// result of TakeOutput before it calls Persisted; this example keeps it in
// memory.
func Example() {
	members := quorum.Members{Voters: []quorum.Member{{ID: "a", Address: "here"}}}
	random := rand.New(rand.NewPCG(1, 1))
	node := quorum.New(quorum.DefaultConfig("a"), quorum.Bootstrap(members), 0, random)
	var now rollout.Millis
	for !node.IsLeader() {
		now += 10
		node.Tick(now)
	}
	if _, _, err := node.Propose(now, []byte("hello")); err != nil {
		fmt.Println(err)
	}
	for out := node.TakeOutput(); !out.Empty(); out = node.TakeOutput() {
		node.Persisted(now, node.LastIndex())
		for _, e := range out.Committed {
			if e.Kind == quorum.EntryCommand {
				fmt.Println("committed:", string(e.Data))
			}
		}
	}
	fmt.Println("holds lease:", node.LeaseUntil() > now)
	// Output:
	// committed: hello
	// holds lease: true
}
