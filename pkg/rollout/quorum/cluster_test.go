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

// host is one machine of the test cluster: a disk, a clock of its own rate and
// a node that runs, is frozen or is down.
type host struct {
	address string
	node    *Node
	id      MemberID
	saved   SavedState
	// rate is the speed of the clock in percent of real time.
	rate   rollout.Millis
	frozen rollout.Millis
	down   rollout.Millis
	// restartAt is when the host crashes and comes back at once.
	restartAt rollout.Millis
	// chain is the hash over all applied commands, applied its index.
	chain   uint64
	applied uint64
	lives   int
}

type parcel struct {
	at  rollout.Millis
	msg Message
}

// cluster runs hosts under faults and checks what must always hold.
type cluster struct {
	t       *testing.T
	rand    *rand.Rand
	now     rollout.Millis
	hosts   []*host
	parcels []parcel
	// cut holds the one-way cuts by addresses, with their ends.
	cut map[[2]string]rollout.Millis
	// chains holds the hash over all commands up to an index.
	chains map[uint64]uint64
	// acked holds the commands that a leader reported as committed.
	acked    map[uint64]string
	terms    map[uint64]MemberID
	proposed int
	joining  *host
	faulty   bool
}

const (
	lossPercent = 5
	dupPercent  = 3
	maxDelayMS  = 40
	tickMS      = 10
	// quietMS is the length of times with and without commands. Without, a
	// host that was cut off has a complete log and may be voted for.
	quietMS  = 1_500
	maxCutMS = 2_500
)

func newCluster(t *testing.T, seed uint64, size int) *cluster {
	c := &cluster{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), now: 1_000, faulty: true,
		cut: make(map[[2]string]rollout.Millis), chains: make(map[uint64]uint64),
		acked: make(map[uint64]string), terms: make(map[uint64]MemberID),
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

// local returns the time of a host's own clock.
func (c *cluster) local(h *host) rollout.Millis { return c.now * h.rate / 100 }

func (c *cluster) start(h *host) {
	h.lives++
	h.chain, h.applied = 0, 0
	if s := h.saved.Snapshot; s != nil {
		h.chain, h.applied = chainOf(s.Data), s.Index
	}
	saved := SavedState{HardState: h.saved.HardState, Snapshot: h.saved.Snapshot, Entries: slices.Clone(h.saved.Entries)}
	h.node = New(DefaultConfig(h.id), saved, c.local(h), c.rand)
}

func (c *cluster) runs(h *host) bool { return h.node != nil && c.now >= h.frozen && c.now >= h.down }

// step moves the time on by one millisecond.
func (c *cluster) step() {
	c.now++
	if c.faulty {
		c.fault()
	}
	c.deliver()
	for i, h := range c.hosts {
		if h.restartAt == c.now {
			h.node, h.down = nil, c.now
		}
		if h.node == nil && c.now >= h.down {
			c.start(h)
		}
		if c.runs(h) && (c.now+rollout.Millis(i))%tickMS == 0 {
			h.node.Tick(c.local(h))
			c.operate(h)
			c.carryOut(h)
		}
	}
	c.checkLease()
}

// operate proposes commands, takes snapshots and repairs members.
func (c *cluster) operate(h *host) {
	if !h.node.IsLeader() {
		return
	}
	busy := (c.now/quietMS)%2 == 0
	if busy && c.rand.IntN(4) == 0 {
		c.proposed++
		_, _, _ = h.node.Propose(c.local(h), []byte(strconv.Itoa(c.proposed)))
	}
	if c.rand.IntN(100) == 0 {
		h.node.TransferLeadership(c.local(h))
		return
	}
	for _, l := range h.node.Members().Learners {
		if !h.node.CaughtUp(l.ID) {
			continue
		}
		members := h.node.Members()
		for _, v := range members.Voters {
			if v.Address == l.Address {
				_ = h.node.ProposeMembers(c.local(h), members.Without(v.ID))
				return
			}
		}
		_ = h.node.ProposeMembers(c.local(h), members.WithVoter(l))
		return
	}
	if j := c.joining; j != nil && c.runs(j) {
		if _, ok := h.node.Members().Find(j.id); !ok {
			_ = h.node.ProposeMembers(c.local(h), h.node.Members().WithLearner(Member{ID: j.id, Address: j.address}))
		} else if h.node.Members().IsVoter(j.id) {
			c.joining = nil
		}
	}
}

// carryOut persists, sends and applies like a driver does. In between, the
// host may crash.
func (c *cluster) carryOut(h *host) {
	for {
		out := h.node.TakeOutput()
		if out.Empty() {
			return
		}
		if c.faulty && c.rand.IntN(3_000) == 0 {
			c.crash(h)
			return
		}
		h.persist(out)
		if n := len(out.Entries); n > 0 {
			h.node.Persisted(c.local(h), out.Entries[n-1].Index)
		}
		if c.faulty && c.rand.IntN(3_000) == 0 {
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
		h.chain, h.applied = chainOf(out.Snapshot.Data), out.Snapshot.Index
	}
	for _, e := range out.Committed {
		if e.Index != h.applied+1 {
			c.t.Fatalf("%s applied %d after %d", h.id, e.Index, h.applied)
		}
		h.applied = e.Index
		h.chain = mix(h.chain, e)
		if old, ok := c.chains[e.Index]; ok && old != h.chain {
			c.t.Fatalf("%s disagrees at index %d", h.id, e.Index)
		}
		c.chains[e.Index] = h.chain
		if h.node.IsLeader() {
			c.acked[e.Index] = string(e.Data)
		}
	}
	if h.applied > 0 && c.rand.IntN(200) == 0 {
		c.snapshot(h)
	}
}

func (c *cluster) snapshot(h *host) {
	s := h.node.Compact(h.applied, []byte(strconv.FormatUint(h.chain, 10)))
	if s == nil {
		return
	}
	h.saved.Snapshot, h.saved.Entries = s, h.node.Entries()
}

func (c *cluster) crash(h *host) {
	h.node = nil
	h.down = c.now + rollout.Millis(c.rand.IntN(2)*c.rand.IntN(1_500))
}

func (c *cluster) send(from *host, m Message) {
	if c.faulty && c.rand.IntN(100) < lossPercent {
		return
	}
	copies := 1
	if c.faulty && c.rand.IntN(100) < dupPercent {
		copies = 2
	}
	for range copies {
		delay := rollout.Millis(1 + c.rand.IntN(maxDelayMS))
		if c.faulty && c.rand.IntN(200) == 0 {
			delay += rollout.Millis(c.rand.IntN(3_000))
		}
		c.parcels = append(c.parcels, parcel{c.now + delay, m})
	}
	_ = from
}

func (c *cluster) deliver() {
	rest := c.parcels[:0]
	var due []Message
	for _, p := range c.parcels {
		if p.at > c.now {
			rest = append(rest, p)
		} else {
			due = append(due, p.msg)
		}
	}
	c.parcels = rest
	for _, m := range due {
		h, from := c.find(m.To), c.find(m.From)
		if h == nil || from == nil || !c.runs(h) || c.now < c.cut[[2]string{from.address, h.address}] {
			continue
		}
		h.node.Step(c.local(h), m)
		c.carryOut(h)
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

// fault brings about one of the faults now and then.
func (c *cluster) fault() {
	if c.rand.IntN(700) != 0 {
		return
	}
	h := c.hosts[c.rand.IntN(len(c.hosts))]
	o := c.hosts[c.rand.IntN(len(c.hosts))]
	switch c.rand.IntN(7) {
	case 0:
		c.crash(h)
	case 1:
		h.frozen = c.now + rollout.Millis(c.rand.IntN(2_500))
	case 2:
		c.cutOff(h, o)
	case 3:
		for _, other := range c.hosts {
			c.cutOff(h, other)
			c.cutOff(other, h)
		}
	case 4:
		c.loseDisk(h)
	case 5:
		c.cutLeaderFrom(h)
	case 6:
		c.cutLeaderFrom(h)
		c.restartVoters(h)
	}
}

// cutOff silences one direction for a time.
func (c *cluster) cutOff(from, to *host) {
	if from != to {
		c.cut[[2]string{from.address, to.address}] = c.now + rollout.Millis(c.rand.IntN(maxCutMS))
	}
}

// loseDisk brings a host back under a new ID with nothing. A second disk is
// lost only after the first host votes again.
func (c *cluster) loseDisk(h *host) {
	if c.joining != nil {
		return
	}
	for _, other := range c.hosts {
		if n := other.node; n != nil && n.IsLeader() && len(n.Members().Voters) < len(c.hosts) {
			return
		}
	}
	if !c.othersHoldAll(h) {
		return
	}
	h.lives++
	h.id = MemberID(fmt.Sprintf("%s-life%d", h.address, h.lives))
	h.saved = SavedState{}
	c.start(h)
	c.joining = h
}

// cutLeaderFrom silences the leader towards one host.
func (c *cluster) cutLeaderFrom(h *host) {
	for _, l := range c.hosts {
		if l.node != nil && l.node.IsLeader() {
			c.cutOff(l, h)
		}
	}
}

// restartVoters restarts all but the leader and one host, so that only the
// wait after a restart keeps them from voting.
func (c *cluster) restartVoters(h *host) {
	for _, o := range c.hosts {
		if o.node != nil && !o.node.IsLeader() && o != h {
			o.restartAt = c.now + rollout.Millis(600+c.rand.IntN(1_400))
		}
	}
}

// othersHoldAll tells whether each other host votes, so that the loss leaves
// a majority of disks.
func (c *cluster) othersHoldAll(h *host) bool {
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

// checkLease checks that at most one host believes that it is in charge.
func (c *cluster) checkLease() {
	var holder *host
	for _, h := range c.hosts {
		if h.node == nil || c.local(h) >= h.node.LeaseUntil() {
			continue
		}
		if holder != nil {
			c.t.Fatalf("%s (term %d) and %s (term %d) both hold the lease at %d",
				holder.id, holder.node.Term(), h.id, h.node.Term(), c.now)
		}
		holder = h
	}
}

// heal ends all faults and checks that the cluster goes on and has kept what
// was acknowledged.
func (c *cluster) heal() {
	c.faulty = false
	clear(c.cut)
	for _, h := range c.hosts {
		h.frozen, h.down = 0, min(h.down, c.now)
	}
	before := len(c.acked)
	for range 15_000 {
		c.step()
	}
	if len(c.acked) <= before {
		c.t.Fatalf("no progress after healing: %d commands", before)
	}
	last := uint64(0)
	for _, h := range c.hosts {
		last = max(last, h.applied)
	}
	for index := range c.acked {
		if index > last {
			c.t.Fatalf("acknowledged index %d is gone", index)
		}
	}
}

func chainOf(data []byte) uint64 {
	n, _ := strconv.ParseUint(string(data), 10, 64)
	return n
}

func mix(chain uint64, e Entry) uint64 {
	f := fnv.New64a()
	_, _ = fmt.Fprintf(f, "%d|%d|%d|%s", chain, e.Index, e.Term, e.Data)
	return f.Sum64()
}
