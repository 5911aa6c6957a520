package quorum

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

var (
	seeds     = flag.Int("seeds", 40, "number of seeds of the cluster test")
	firstSeed = flag.Int("first-seed", 1, "first seed of the cluster test")
)

// TestPowerLostWithDisks loses the disks of as many hosts as the quorum tolerates right
// after an acknowledgement, while all others lose power.
func TestPowerLostWithDisks(t *testing.T) {
	const seeds, faultMS = 40, 4_000
	for _, size := range []int{3, 5, 7} {
		lost := 0
		for seed := range uint64(seeds) {
			t.Run(fmt.Sprintf("%d hosts, seed %d", size, seed), func(t *testing.T) {
				c := newCluster(t, 700_000+seed, size)
				for range faultMS {
					c.step()
				}
				if !c.losePowerWithDisks() {
					t.Log("no moment at which all hosts vote")
					return
				}
				lost++
				c.healAndCheck()
				for _, h := range c.hosts {
					if !h.node.Members().IsVoter(h.id) {
						t.Fatalf("%s is no voter again", h.address)
					}
				}
			})
		}
		if lost < seeds/2 {
			t.Errorf("%d hosts: power and disks were lost in %d of %d seeds, want half", size, lost, seeds)
		}
	}
}

// TestClusterUnderFaults injects message loss, delay, duplication and
// reordering, one-way partitions, frozen hosts, crashes between any two steps
// and lost disks. Clock rates differ by up to 4%.
func TestClusterUnderFaults(t *testing.T) {
	const faultyMS = 15_000
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		for _, size := range []int{3, 5} {
			t.Run(fmt.Sprintf("seed=%d/size=%d", seed, size), func(t *testing.T) {
				t.Parallel()
				c := newCluster(t, uint64(seed), size)
				for range faultyMS {
					c.step()
				}
				c.healAndCheck()
			})
		}
	}
}

var threeVoters = Members{Voters: []Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}}

// newTestNode returns a node of a three-voter quorum and the time from which it
// grants votes.
func newTestNode(saved SavedState) (*Node, rollout.Millis) {
	cfg := DefaultConfig("a")
	return New(cfg, saved, 0, rand.New(rand.NewPCG(1, 1))), cfg.ElectionMS
}

// assertSingleReply checks that the node sent one message with the given Reject
// and returns the HardState to persist.
func assertSingleReply(t *testing.T, n *Node, rejected bool) HardState {
	t.Helper()
	out := n.TakeOutput()
	if len(out.Messages) != 1 || out.Messages[0].Reject != rejected {
		t.Fatalf("got messages %+v, want one with Reject=%v", out.Messages, rejected)
	}
	if out.HardState == nil {
		return HardState{}
	}
	return *out.HardState
}

func TestVoteIsPersistedBeforeReply(t *testing.T) {
	saved := Bootstrap(threeVoters)
	n, now := newTestNode(saved)
	n.Step(now, Message{Type: MessageVote, From: "b", To: "a", Term: 7, PrevIndex: 1, PrevTerm: 1})
	saved.HardState = assertSingleReply(t, n, false)
	n, now = newTestNode(saved)
	n.Step(now, Message{Type: MessageVote, From: "c", To: "a", Term: 7, PrevIndex: 1, PrevTerm: 1})
	assertSingleReply(t, n, true)
}

func TestNoVoteWithinElectionTimeoutAfterStart(t *testing.T) {
	n, now := newTestNode(Bootstrap(threeVoters))
	n.Step(now-1, Message{Type: MessageVote, From: "b", To: "a", Term: 7, PrevIndex: 1, PrevTerm: 1})
	assertSingleReply(t, n, true)
	if n.Term() != 1 {
		t.Fatalf("term is %d after a rejected vote request, want 1", n.Term())
	}
}

// preVoteTimes ticks the node and returns the times at which it requested
// pre-votes.
func preVoteTimes(n *Node, from, to rollout.Millis) []rollout.Millis {
	var at []rollout.Millis
	for now := from; now < to; now += 10 {
		n.Tick(now)
		if len(n.TakeOutput().Messages) > 0 {
			at = append(at, now)
		}
	}
	return at
}

func TestRestartedVoterStartsElectionSoonAfterWait(t *testing.T) {
	n, wait := newTestNode(Bootstrap(threeVoters))
	at := preVoteTimes(n, 0, 2*wait)
	if len(at) < 2 || at[0] < wait || at[0] > wait+wait/2+10 || at[1] > at[0]+wait/2+10 {
		t.Fatalf("pre-votes requested at %v, votes are granted from %d", at, wait)
	}
}

func TestGrantedPreVoteDelaysOwnElection(t *testing.T) {
	n, wait := newTestNode(Bootstrap(threeVoters))
	first := preVoteTimes(n, 0, 2*wait)[0]
	n, _ = newTestNode(Bootstrap(threeVoters))
	n.Step(first-10, Message{Type: MessagePreVote, From: "b", To: "a", Term: 2, PrevIndex: 1, PrevTerm: 1})
	assertSingleReply(t, n, false)
	if at := preVoteTimes(n, first-10, first+100); len(at) > 0 {
		t.Fatalf("requested pre-votes at %v although it had granted one to b", at)
	}
}

// electLeader makes a node the leader of three voters and commits the first
// entry of its term.
func electLeader(t *testing.T, n *Node, now rollout.Millis) rollout.Millis {
	t.Helper()
	for !n.IsLeader() {
		now += 10
		n.Tick(now)
		for _, m := range n.TakeOutput().Messages {
			reply := Message{From: m.To, To: "a", Term: m.Term}
			switch m.Type {
			case MessagePreVote:
				reply.Type = MessagePreVoteReply
			case MessageVote:
				reply.Type = MessageVoteReply
			default:
				continue
			}
			n.Step(now, reply)
		}
	}
	ackAppends(n, now)
	return now
}

// ackAppends acknowledges all appends of the leader on behalf of its peers.
func ackAppends(n *Node, now rollout.Millis) {
	for {
		out := n.TakeOutput()
		if out.Empty() {
			return
		}
		n.Persisted(now, n.LastIndex())
		for _, m := range out.Messages {
			if m.Type == MessageAppend {
				match := m.PrevIndex + uint64(len(m.Entries))
				n.Step(now, Message{Type: MessageAppendReply, From: m.To, To: "a", Term: m.Term, Round: m.Round, Match: match})
			}
		}
	}
}

func TestMembersChangeOneAtATime(t *testing.T) {
	n, now := newTestNode(Bootstrap(threeVoters))
	now = electLeader(t, n, now)
	t.Run("two voters at once", func(t *testing.T) {
		err := n.ProposeMembers(now, n.Members().Without("b").Without("c"))
		assertKind(t, err, rollout.KindInvalidInput)
	})
	t.Run("no voter left", func(t *testing.T) {
		err := n.ProposeMembers(now, Members{})
		assertKind(t, err, rollout.KindInvalidInput)
	})
	t.Run("while another change is uncommitted", func(t *testing.T) {
		if err := n.ProposeMembers(now, n.Members().WithLearner(Member{ID: "d"})); err != nil {
			t.Fatal(err)
		}
		err := n.ProposeMembers(now, n.Members().Without("b"))
		assertKind(t, err, rollout.KindUnavailable)
	})
}

func TestLeaseCountsFromHeartbeatSendTime(t *testing.T) {
	n, now := newTestNode(Bootstrap(threeVoters))
	now = electLeader(t, n, now)
	cfg := DefaultConfig("a")
	if got, want := n.LeaseUntil(), now+cfg.LeaseMS; got != want {
		t.Fatalf("lease expires at %d, want %d", got, want)
	}
	sent := now + cfg.HeartbeatMS
	n.Tick(sent)
	heartbeats := n.TakeOutput().Messages
	late := sent + 300
	for _, m := range heartbeats {
		n.Step(late, Message{Type: MessageAppendReply, From: m.To, To: "a", Term: m.Term, Round: m.Round, Match: m.PrevIndex})
	}
	if got, want := n.LeaseUntil(), sent+cfg.LeaseMS; got != want {
		t.Fatalf("lease expires at %d after replies at %d, want %d", got, late, want)
	}
}

func assertKind(t *testing.T, err error, want rollout.Kind) {
	t.Helper()
	var e *rollout.Error
	if !errors.As(err, &e) || e.Kind != want {
		t.Fatalf("error %v, want kind %v", err, want)
	}
}

func TestTransferSkipsElectionTimeout(t *testing.T) {
	n, now := newTestNode(Bootstrap(threeVoters))
	now = electLeader(t, n, now)
	if !n.TransferLeadership(now) || n.LeaseUntil() != 0 || n.IsLeader() {
		t.Fatalf("lease expires at %d, IsLeader %v after a transfer", n.LeaseUntil(), n.IsLeader())
	}
	out := n.TakeOutput()
	if len(out.Messages) != 1 || out.Messages[0].Type != MessageTransfer {
		t.Fatalf("messages %+v", out.Messages)
	}
	n.Step(now, Message{Type: MessageVote, From: "b", To: "a", Term: n.Term() + 1, PrevIndex: 9, PrevTerm: 9, Force: true})
	assertSingleReply(t, n, false)
}

// A leader under load always has an unacknowledged entry. A transfer must not
// depend on a voter that holds the whole log at the moment of the call, else the
// leader exits without one and an election follows.
func TestLeaderUnderLoadTransfersLeadership(t *testing.T) {
	n, now := newTestNode(Bootstrap(threeVoters))
	now = electLeader(t, n, now)
	index, term, err := n.Propose(now, []byte("x"))
	if err != nil {
		t.Fatal(err)
	}
	if n.TransferLeadership(now) || !n.IsLeader() {
		t.Fatal("leadership was transferred to a voter that lacks an entry")
	}
	_, _, err = n.Propose(now, []byte("y"))
	assertKind(t, err, rollout.KindNotLeader)
	n.TakeOutput()
	n.Step(now, Message{Type: MessageAppendReply, From: "b", To: "a", Term: term, Match: index})
	out := n.TakeOutput()
	if n.IsLeader() || len(out.Messages) != 1 || out.Messages[0].Type != MessageTransfer || out.Messages[0].To != "b" {
		t.Fatalf("IsLeader %v, messages %+v", n.IsLeader(), out.Messages)
	}
}

// A transfer that no voter can take over rejects proposals for ElectionMS at
// most.
func TestLeaderResumesAfterFailedTransfer(t *testing.T) {
	n, now := newTestNode(Bootstrap(threeVoters))
	now = electLeader(t, n, now)
	_, _, err := n.Propose(now, []byte("x"))
	if err != nil || n.TransferLeadership(now) {
		t.Fatalf("propose error %v, or leadership was transferred to a voter that lacks an entry", err)
	}
	if _, _, err := n.Propose(now+n.cfg.ElectionMS, []byte("y")); err != nil {
		t.Fatal(err)
	}
}

func TestStaleTransferIsIgnored(t *testing.T) {
	n, now := newTestNode(Bootstrap(threeVoters))
	n.Step(now, Message{Type: MessageAppend, From: "b", To: "a", Term: 5, PrevIndex: 1, PrevTerm: 1})
	n.TakeOutput()
	n.Step(now, Message{Type: MessageTransfer, From: "c", To: "a", Term: 4})
	if out := n.TakeOutput(); !out.Empty() || n.Term() != 5 {
		t.Fatalf("term %d, output %+v", n.Term(), out)
	}
}

func TestUnreadableMembershipStopsMember(t *testing.T) {
	saved := Bootstrap(Members{Voters: []Member{{ID: "a"}}})
	saved.Entries = append(saved.Entries, Entry{Index: 2, Term: 1, Kind: EntryMembers, Data: []byte("{")})
	n := New(DefaultConfig("a"), saved, 0, rand.New(rand.NewPCG(1, 1)))
	out := n.TakeOutput()
	if out.Empty() || out.Unreadable == nil || !strings.Contains(out.Unreadable.Error(), "membership of 1 bytes at index 2") {
		t.Fatalf("output %+v, want an unreadable membership at index 2", out)
	}
}

func TestMembershipsBeforeSnapshotAreForgotten(t *testing.T) {
	members := func(address string) []byte {
		data, err := json.Marshal(Members{Voters: []Member{{ID: "a", Address: address}}})
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	var saved SavedState
	const last = 6
	for i := uint64(1); i <= last; i++ {
		saved.Entries = append(saved.Entries, Entry{Index: i, Term: 1, Kind: EntryMembers, Data: members(strconv.FormatUint(i, 10))})
	}
	n := New(DefaultConfig("a"), saved, 0, rand.New(rand.NewPCG(1, 1)))
	n.commit, n.delivered = last, last
	if s := n.Compact(4, nil); s == nil || s.Members.Voters[0].Address != "4" {
		t.Fatalf("snapshot %+v, want the membership of index 4", s)
	}
	if len(n.membersHistory) != 2 {
		t.Fatalf("%d memberships are kept, want those of 4 and 5", len(n.membersHistory))
	}
	if got := n.membersAt(2).Voters[0].Address; got != "4" {
		t.Fatalf("membership %s before the snapshot, want 4, the oldest known", got)
	}
}
