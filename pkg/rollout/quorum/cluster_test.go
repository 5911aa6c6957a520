package quorum

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// host is a simulated host of the test cluster. It has a disk, a clock with its
// own rate and a node that is running, frozen or down.
type host struct {
	address string
	node    *Node
	id      MemberID
	saved   SavedState
	// rate is the clock rate in percent of real time.
	rate rollout.Millis
	// frozenUntil is the time until which the host is paused.
	frozenUntil rollout.Millis
	// downUntil is the time until which a crashed host stays down.
	downUntil rollout.Millis
	// restartAt is the time at which the host crashes and restarts immediately.
	restartAt rollout.Millis
	// stateHash is a hash over all entries up to the index applied.
	stateHash    uint64
	applied      uint64
	incarnations int
}

// envelope is a message in transit.
type envelope struct {
	at  rollout.Millis
	msg Message
}

// cluster simulates a quorum under injected faults and checks its invariants:
// hosts apply the same entries in order, at most one host holds the lease and
// acknowledged commands survive.
type cluster struct {
	t         *testing.T
	rand      *rand.Rand
	now       rollout.Millis
	hosts     []*host
	inTransit []envelope
	// partitions holds the end times of one-way partitions by the addresses of
	// sender and receiver.
	partitions map[[2]string]rollout.Millis
	// hashes holds the hash over all entries up to an index.
	hashes map[uint64]uint64
	// acked holds the data of entries that a leader reported as committed.
	acked map[uint64]string
	// applied holds the data that the last host to apply an index found there.
	applied map[uint64]string
	// terms holds the leader of each term.
	terms    map[uint64]MemberID
	proposed int
	joining  *host
	// emptied holds the hosts that lost their disks together with joining.
	emptied       []*host
	faultsEnabled bool
}

const (
	lossPercent      = 5
	duplicatePercent = 3
	maxDelayMS       = 40
	tickMS           = 10
	// workloadPhaseMS is the duration of the alternating phases with and without
	// proposals. In a phase without proposals, a partitioned host still has an
	// up-to-date log and can win an election.
	workloadPhaseMS = 1_500
	maxPartitionMS  = 2_500
)

func newCluster(t *testing.T, seed uint64, size int) *cluster {
	c := &cluster{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), now: 1_000, faultsEnabled: true,
		partitions: make(map[[2]string]rollout.Millis), hashes: make(map[uint64]uint64),
		acked: make(map[uint64]string), applied: make(map[uint64]string), terms: make(map[uint64]MemberID),
	}
	var members Members
	for i := range size {
		h := &host{address: fmt.Sprintf("host-%d", i), id: MemberID(fmt.Sprintf("m%d", i)), rate: rollout.Millis(98 + c.rand.IntN(5))}
		members.Voters = append(members.Voters, Member{ID: h.id, Address: h.address})
		c.hosts = append(c.hosts, h)
	}
	for i, h := range c.hosts {
		if i == 0 {
			h.saved = Bootstrap(members)
		}
		c.start(h)
	}
	return c
}

// localTime returns the time on the clock of a host.
func (c *cluster) localTime(h *host) rollout.Millis { return c.now * h.rate / 100 }

// start starts a node from the saved state of a host.
func (c *cluster) start(h *host) {
	h.incarnations++
	h.stateHash, h.applied = 0, 0
	if s := h.saved.Snapshot; s != nil {
		h.stateHash, h.applied = decodeStateHash(s.Data), s.Index
	}
	saved := SavedState{HardState: h.saved.HardState, Snapshot: h.saved.Snapshot, Entries: slices.Clone(h.saved.Entries)}
	h.node = New(DefaultConfig(h.id), saved, c.localTime(h), c.rand)
}

func (c *cluster) running(h *host) bool {
	return h.node != nil && c.now >= h.frozenUntil && c.now >= h.downUntil
}

// step advances the simulation by one millisecond.
func (c *cluster) step() {
	c.now++
	if c.faultsEnabled {
		c.injectFault()
	}
	c.deliver()
	for i, h := range c.hosts {
		if h.restartAt == c.now {
			h.node, h.downUntil = nil, c.now
		}
		if h.node == nil && c.now >= h.downUntil {
			c.start(h)
		}
		if c.running(h) && (c.now+rollout.Millis(i))%tickMS == 0 {
			h.node.Tick(c.localTime(h))
			c.driveLeader(h)
			c.processOutput(h)
		}
	}
	c.checkLease()
	c.checkTerms()
}

// driveLeader makes a leader propose commands, transfer leadership now and then
// and replace the member of a lost disk.
func (c *cluster) driveLeader(h *host) {
	if !h.node.IsLeader() {
		return
	}
	busy := (c.now/workloadPhaseMS)%2 == 0
	if busy && c.rand.IntN(4) == 0 {
		c.proposed++
		_, _, _ = h.node.Propose(c.localTime(h), []byte(strconv.Itoa(c.proposed)))
	}
	if c.rand.IntN(100) == 0 {
		h.node.TransferLeadership(c.localTime(h))
		return
	}
	for _, l := range h.node.Members().Learners {
		if !h.node.CaughtUp(l.ID) {
			continue
		}
		members := h.node.Members()
		for _, v := range members.Voters {
			if v.Address == l.Address {
				_ = h.node.ProposeMembers(c.localTime(h), members.Without(v.ID))
				return
			}
		}
		_ = h.node.ProposeMembers(c.localTime(h), members.WithVoter(l))
		return
	}
	if j := c.joining; j != nil && c.running(j) {
		if _, ok := h.node.Members().Find(j.id); !ok {
			_ = h.node.ProposeMembers(c.localTime(h), h.node.Members().WithLearner(Member{ID: j.id, Address: j.address}))
		} else if h.node.Members().IsVoter(j.id) {
			c.joining = nil
			if len(c.emptied) > 0 {
				c.joining, c.emptied = c.emptied[0], c.emptied[1:]
			}
		}
	}
}

// processOutput persists, sends and applies the output of a node in the required
// order. The host may crash between these steps.
func (c *cluster) processOutput(h *host) {
	for {
		out := h.node.TakeOutput()
		if out.Empty() {
			return
		}
		if c.faultsEnabled && c.rand.IntN(3_000) == 0 {
			c.crash(h)
			return
		}
		h.persist(out)
		if n := len(out.Entries); n > 0 {
			h.node.Persisted(c.localTime(h), out.Entries[n-1].Index)
		}
		if c.faultsEnabled && c.rand.IntN(3_000) == 0 {
			c.crash(h)
			return
		}
		for _, m := range out.Messages {
			c.send(h, m)
		}
		c.apply(h, out)
	}
}

func (h *host) persist(out Output) {
	if out.HardState != nil {
		h.saved.HardState = *out.HardState
	}
	if out.Snapshot != nil {
		h.saved.Snapshot, h.saved.Entries = out.Snapshot, nil
	}
	var from uint64
	if h.saved.Snapshot != nil {
		from = h.saved.Snapshot.Index
	}
	for _, e := range out.Entries {
		if e.Index > from {
			h.saved.Entries = append(h.saved.Entries[:e.Index-from-1:e.Index-from-1], e)
		}
	}
}

func (c *cluster) apply(h *host, out Output) {
	if out.Snapshot != nil {
		h.stateHash, h.applied = decodeStateHash(out.Snapshot.Data), out.Snapshot.Index
	}
	for _, e := range out.Committed {
		if e.Index != h.applied+1 {
			c.t.Fatalf("%s applied index %d after %d", h.id, e.Index, h.applied)
		}
		h.applied = e.Index
		h.stateHash = nextStateHash(h.stateHash, e)
		if old, ok := c.hashes[e.Index]; ok && old != h.stateHash {
			c.t.Fatalf("%s applied a different entry sequence up to index %d", h.id, e.Index)
		}
		c.hashes[e.Index] = h.stateHash
		if data, ok := c.acked[e.Index]; ok && data != string(e.Data) {
			c.t.Fatalf("%s applied %q at index %d, where %q was acknowledged", h.id, e.Data, e.Index, data)
		}
		c.applied[e.Index] = string(e.Data)
		if h.node.IsLeader() {
			c.acked[e.Index] = string(e.Data)
		}
	}
	if h.applied > 0 && c.rand.IntN(200) == 0 {
		c.snapshot(h)
	}
}

func (c *cluster) snapshot(h *host) {
	s := h.node.Compact(h.applied, []byte(strconv.FormatUint(h.stateHash, 10)))
	if s == nil {
		return
	}
	h.saved.Snapshot, h.saved.Entries = s, h.node.Entries()
}

func (c *cluster) crash(h *host) {
	h.node = nil
	h.downUntil = c.now + rollout.Millis(c.rand.IntN(2)*c.rand.IntN(1_500))
}

func (c *cluster) send(from *host, m Message) {
	if c.faultsEnabled && c.rand.IntN(100) < lossPercent {
		return
	}
	copies := 1
	if c.faultsEnabled && c.rand.IntN(100) < duplicatePercent {
		copies = 2
	}
	for range copies {
		delay := rollout.Millis(1 + c.rand.IntN(maxDelayMS))
		if c.faultsEnabled && c.rand.IntN(200) == 0 {
			delay += rollout.Millis(c.rand.IntN(3_000))
		}
		c.inTransit = append(c.inTransit, envelope{c.now + delay, m})
	}
	_ = from
}

func (c *cluster) deliver() {
	rest := c.inTransit[:0]
	var due []Message
	for _, p := range c.inTransit {
		if p.at > c.now {
			rest = append(rest, p)
		} else {
			due = append(due, p.msg)
		}
	}
	c.inTransit = rest
	for _, m := range due {
		h, from := c.find(m.To), c.find(m.From)
		if h == nil || from == nil || !c.running(h) || c.now < c.partitions[[2]string{from.address, h.address}] {
			continue
		}
		h.node.Step(c.localTime(h), m)
		c.processOutput(h)
	}
}

func (c *cluster) find(id MemberID) *host {
	for _, h := range c.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

// injectFault injects a random fault with a probability of 1 in 700.
func (c *cluster) injectFault() {
	if c.rand.IntN(700) != 0 {
		return
	}
	h := c.hosts[c.rand.IntN(len(c.hosts))]
	o := c.hosts[c.rand.IntN(len(c.hosts))]
	switch c.rand.IntN(8) {
	case 0:
		c.crash(h)
	case 1:
		h.frozenUntil = c.now + rollout.Millis(c.rand.IntN(2_500))
	case 2:
		c.partition(h, o)
	case 3:
		for _, other := range c.hosts {
			c.partition(h, other)
			c.partition(other, h)
		}
	case 4:
		c.loseDisk(h)
	case 5:
		c.partitionLeaderFrom(h)
	case 6:
		c.partitionLeaderFrom(h)
		c.restartVoters(h)
	case 7:
		for _, other := range c.hosts {
			c.crash(other)
		}
	}
}

// partition drops messages in one direction for a random time.
func (c *cluster) partition(from, to *host) {
	if from != to {
		c.partitions[[2]string{from.address, to.address}] = c.now + rollout.Millis(c.rand.IntN(maxPartitionMS))
	}
}

// loseDisk restarts a host under a new ID with an empty disk. A second disk is
// lost only after the first host is a voter again, so that a majority of disks
// remains.
func (c *cluster) loseDisk(h *host) {
	if c.joining != nil {
		return
	}
	for _, other := range c.hosts {
		if n := other.node; n != nil && n.IsLeader() && len(n.Members().Voters) < len(c.hosts) {
			return
		}
	}
	if !c.allOthersVote(h) {
		return
	}
	c.empty(h)
	c.joining = h
}

// empty restarts a host under a new ID with an empty disk.
func (c *cluster) empty(h *host) {
	h.incarnations++
	h.id = MemberID(fmt.Sprintf("%s-life%d", h.address, h.incarnations))
	h.saved = SavedState{}
	c.start(h)
}

// losePowerWithDisks empties the disks of as many hosts as the quorum tolerates while all
// others lose power. It waits for a moment at which a majority of the disks remains, right
// after an acknowledgement, and reports whether there was one.
func (c *cluster) losePowerWithDisks() bool {
	tolerated := (len(c.hosts) - 1) / 2
	first := c.rand.IntN(len(c.hosts))
	for range 30_000 {
		before := len(c.acked)
		c.step()
		if len(c.acked) == before || c.joining != nil || !c.allVote() {
			continue
		}
		for i := range c.hosts {
			h := c.hosts[(first+i)%len(c.hosts)]
			if i < tolerated {
				c.empty(h)
				c.emptied = append(c.emptied, h)
				continue
			}
			h.node = nil
			h.downUntil = c.now + rollout.Millis(c.rand.IntN(3_000))
		}
		c.joining, c.emptied = c.emptied[0], c.emptied[1:]
		c.inTransit = nil
		return true
	}
	return false
}

// allVote reports whether all hosts are up and voters by their own knowledge and that of
// the leader.
func (c *cluster) allVote() bool {
	for _, h := range c.hosts {
		if h.node == nil || !h.node.Members().IsVoter(h.id) || len(h.node.Members().Voters) != len(c.hosts) {
			return false
		}
	}
	return true
}

// partitionLeaderFrom drops messages from the leader to one host.
func (c *cluster) partitionLeaderFrom(h *host) {
	for _, l := range c.hosts {
		if l.node != nil && l.node.IsLeader() {
			c.partition(l, h)
		}
	}
}

// restartVoters schedules a restart of all hosts except the leader and h, so
// that only the waiting period after a start keeps them from voting.
func (c *cluster) restartVoters(h *host) {
	for _, o := range c.hosts {
		if o.node != nil && !o.node.IsLeader() && o != h {
			o.restartAt = c.now + rollout.Millis(600+c.rand.IntN(1_400))
		}
	}
}

// allOthersVote reports whether every other host is up and a voter, so that a
// majority of disks remains after the loss of this one.
func (c *cluster) allOthersVote(h *host) bool {
	for _, other := range c.hosts {
		if other == h {
			continue
		}
		if other.node == nil || !other.node.Members().IsVoter(other.id) {
			return false
		}
	}
	return true
}

// checkLease checks that at most one host holds a valid lease.
func (c *cluster) checkLease() {
	var holder *host
	for _, h := range c.hosts {
		if h.node == nil || c.localTime(h) >= h.node.LeaseUntil() {
			continue
		}
		if holder != nil {
			c.t.Fatalf("%s (term %d) and %s (term %d) both hold the lease at %d",
				holder.id, holder.node.Term(), h.id, h.node.Term(), c.now)
		}
		holder = h
	}
}

// holdsLease reports whether a host holds a valid lease.
func (c *cluster) holdsLease() bool {
	return slices.ContainsFunc(c.hosts, func(h *host) bool { return h.node != nil && c.localTime(h) < h.node.LeaseUntil() })
}

// stepUntil advances the simulation until a condition holds and returns how long that took.
func (c *cluster) stepUntil(holds func() bool) rollout.Millis {
	start := c.now
	for !holds() {
		if c.now-start > 10_000 {
			c.t.Fatalf("the condition does not hold after %d ms", c.now-start)
		}
		c.step()
	}
	return c.now - start
}

// checkTerms checks that no term has two leaders, in the whole run.
func (c *cluster) checkTerms() {
	for _, h := range c.hosts {
		if h.node == nil || !h.node.IsLeader() {
			continue
		}
		term := h.node.Term()
		if other, known := c.terms[term]; known && other != h.id {
			c.t.Fatalf("%s and %s both lead term %d", other, h.id, term)
		}
		c.terms[term] = h.id
	}
}

// healAndCheck ends all faults and checks that the cluster makes progress and has lost
// no acknowledged index.
func (c *cluster) healAndCheck() {
	c.faultsEnabled = false
	clear(c.partitions)
	for _, h := range c.hosts {
		h.frozenUntil, h.downUntil = 0, min(h.downUntil, c.now)
	}
	before := len(c.acked)
	for range 15_000 {
		c.step()
	}
	if len(c.acked) <= before {
		c.t.Fatalf("no progress after all faults ended: %d entries acknowledged before", before)
	}
	last := uint64(0)
	for _, h := range c.hosts {
		last = max(last, h.applied)
	}
	for index, data := range c.acked {
		if index > last {
			c.t.Fatalf("acknowledged index %d is lost", index)
		}
		if c.applied[index] != data {
			c.t.Fatalf("index %d holds %q, where %q was acknowledged", index, c.applied[index], data)
		}
	}
	for _, h := range c.hosts {
		if kept := len(h.node.membersHistory); kept > len(h.node.log.entries)+1 {
			c.t.Fatalf("%s keeps %d memberships for %d entries", h.id, kept, len(h.node.log.entries))
		}
	}
}

func decodeStateHash(data []byte) uint64 {
	n, _ := strconv.ParseUint(string(data), 10, 64)
	return n
}

// nextStateHash returns the state hash after an entry is applied.
func nextStateHash(prev uint64, e Entry) uint64 {
	f := fnv.New64a()
	_, _ = fmt.Fprintf(f, "%d|%d|%d|%s", prev, e.Index, e.Term, e.Data)
	return f.Sum64()
}
