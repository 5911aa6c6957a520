package limit

import (
	"cmp"
	"math"
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// OwnShareAfterMS is how long a host uses no share of its own after it lost control.
const OwnShareAfterMS = ownShareAfterMS

const (
	// shareAbsentMS is the age of its copy of the control state from which an entry counts
	// as absent. It uses its share from ownShareAfterMS on; the difference spans the time
	// for which a permit is valid and a call.
	shareAbsentMS rollout.Millis = 1_200
	// turnMS is the time within which a host uses its turn, and turnPermitMS that for which
	// a request may be admitted after that. Together they are PermitMS at the most.
	turnMS       rollout.Millis = 100
	turnPermitMS rollout.Millis = 50
	// entryForgetMS is how long an entry that is not heard of keeps its share. It is above
	// absentForMS of control, because an entry that is cut off goes on for as long as it runs.
	entryForgetMS rollout.Millis = 600_000
	// unknownMS is how long a leader without a predecessor's entries leaves out all shares.
	unknownMS rollout.Millis = 60_000
	// toldKept is the number of replies of which an entry may have received the last.
	toldKept = 4
)

// Share is the fixed share that an entry has in what cold upstreams get from all entries
// that have lost control. The entries take turns, so that they do not send all at once.
type Share struct {
	// Hosts is the number of turns in a round, or 0 if the host has no share. Turn is the
	// own one, from 0.
	Hosts, Turn int
	// ClockMS is the time of the clock that counts the turns, when the reply was built.
	ClockMS rollout.Millis
}

// Contact is when a host was last in contact with control, and its share since.
type Contact struct {
	// ConfirmedMS is when control last confirmed this host's copy of its state, or 0.
	ConfirmedMS rollout.Millis
	Share       Share
}

// turns counts the turns of a host at one upstream.
type turns struct {
	contact Contact
	// periodMS is the time from one turn to the next, and phaseMS the start of the first.
	periodMS, phaseMS float64
}

// newTurns returns the turns for a rate of all hosts together, in requests a second. shift is
// the part of a turn by which those at an upstream are later. It reports false if the host
// has no turn.
func newTurns(c Contact, rate, shift float64) (turns, bool) {
	if rate <= 0 || c.Share.Hosts <= 0 {
		return turns{}, false
	}
	turn := 1_000 / rate
	return turns{contact: c, periodMS: turn * float64(c.Share.Hosts), phaseMS: turn * (float64(c.Share.Turn) + shift)}, true
}

// begun returns the number of the last turn that has begun.
func (t turns) begun(now rollout.Millis) int64 {
	return int64(math.Floor((float64(now-t.contact.ConfirmedMS+t.contact.Share.ClockMS) - t.phaseMS) / t.periodMS))
}

// untilMS returns the time until a turn begins.
func (t turns) untilMS(now rollout.Millis, turn int64) rollout.Millis {
	clock := float64(now - t.contact.ConfirmedMS + t.contact.Share.ClockMS)
	return max(0, rollout.Millis(math.Ceil(t.phaseMS+float64(turn)*t.periodMS-clock)))
}

// Sender is an entry as one leader of control describes it to the next.
type Sender struct {
	Host string
	Turn int
	// Told is the smallest number of entries that it may take for the current one.
	Told int
}

// Shares records at the leader of control which shares hosts have that can't reach it. It is
// not safe for concurrent use.
type Shares struct {
	entries map[string]*sender
	// clockOffsetMS is the difference of the clock that counts the turns to this host's.
	clockOffsetMS rollout.Millis
	// unknownUntilMS is the time until which there may be entries that are not in entries.
	unknownUntilMS rollout.Millis
	// storeLeader is the host that leads the job store, or empty. storeMS and
	// storeReturnedMS are as confirmedMS and returnedMS of an entry.
	storeLeader              string
	storeMS, storeReturnedMS rollout.Millis
}

// sender is an entry.
type sender struct {
	turn int
	// told holds the numbers of entries in the last replies, the newest last.
	told []int
	// confirmedMS is the time for which the entry knew that its copy is current, seenMS that
	// of its last request, and returnedMS that of the first one after it was absent.
	confirmedMS, seenMS, returnedMS rollout.Millis
}

// NewSharesAfter returns the shares as the former leader described them, with the offset of
// its clock of turns to that of this host. All hosts count as absent until they are heard of.
// If there was a former leader of which nothing is known, all shares are left out for a time.
func NewSharesAfter(now rollout.Millis, senders []Sender, clockOffset rollout.Millis, unknown bool) Shares {
	s := Shares{entries: make(map[string]*sender), clockOffsetMS: clockOffset}
	for _, old := range senders {
		s.entries[old.Host] = &sender{turn: old.Turn, told: []int{old.Told}, confirmedMS: now - shareAbsentMS - 1, seenMS: now}
	}
	if unknown && len(senders) == 0 {
		s.unknownUntilMS = now + unknownMS
	}
	return s
}

// Inherited returns the shares for a leader that led before and has not heard of hosts since.
func (s *Shares) Inherited(now rollout.Millis) Shares {
	next := NewSharesAfter(now, s.Senders(), s.clockOffsetMS, false)
	next.unknownUntilMS = s.unknownUntilMS
	return next
}

// Watched records a watch request of an entry whose copy of the control state has an age,
// which is negative if it has none.
func (s *Shares) Watched(now rollout.Millis, host string, age rollout.Millis) {
	if s.entries == nil {
		s.entries = make(map[string]*sender)
	}
	e := s.entries[host]
	if e == nil {
		e = &sender{turn: s.freeTurn(), confirmedMS: now, returnedMS: now}
		s.entries[host] = e
	}
	confirmed := now - max(0, age)
	if now-e.confirmedMS > shareAbsentMS && now-confirmed <= shareAbsentMS {
		e.returnedMS = now
	}
	e.confirmedMS, e.seenMS = max(e.confirmedMS, confirmed), now
}

// freeTurn returns the lowest turn that no entry has.
func (s *Shares) freeTurn() int {
	taken := make(map[int]bool, len(s.entries))
	for _, e := range s.entries {
		taken[e.turn] = true
	}
	turn := 0
	for taken[turn] {
		turn++
	}
	return turn
}

// StoreWatched records a watch request of a host of the job store.
func (s *Shares) StoreWatched(now rollout.Millis, host string, age rollout.Millis, leads bool) {
	switch {
	case leads:
		confirmed := now - max(0, age)
		if host != s.storeLeader || now-s.storeMS > shareAbsentMS {
			s.storeReturnedMS = now
		}
		s.storeLeader, s.storeMS = host, confirmed
	case host == s.storeLeader:
		s.storeLeader = ""
	}
}

// Tell returns the share of an entry for a reply.
func (s *Shares) Tell(now rollout.Millis, host string) Share {
	share := Share{ClockMS: now + s.clockOffsetMS}
	e := s.entries[host]
	if e == nil {
		return share
	}
	for _, other := range s.entries {
		share.Hosts = max(share.Hosts, other.turn+1)
	}
	share.Turn = e.turn
	e.told = append(e.told, share.Hosts)
	e.told = e.told[max(0, len(e.told)-toldKept):]
	return share
}

// Senders describes the entries to the hosts that may lead next.
func (s *Shares) Senders() []Sender {
	var senders []Sender
	for host, e := range s.entries {
		if len(e.told) > 0 {
			senders = append(senders, Sender{host, e.turn, slices.Min(e.told)})
		}
	}
	slices.SortFunc(senders, func(a, b Sender) int { return cmp.Compare(a.Turn, b.Turn) })
	return senders
}

// Forget removes the entries that have not been heard of for long.
func (s *Shares) Forget(now rollout.Millis) {
	for host, e := range s.entries {
		if now-e.seenMS > entryForgetMS {
			delete(s.entries, host)
		}
	}
}

// Absence is what hosts may send that control does not hear of.
type Absence struct {
	// entries is the sum of the shares of absent entries.
	entries float64
	// byTold counts them by the number of entries that they were last told.
	byTold map[int]int
	// store is true if the leader of the job store may be absent.
	store bool
}

// Absent returns what hosts may send that control does not hear of, or did not until a time
// ago that is still in the window of a second. hasStore is false if there is no job store.
func (s *Shares) Absent(now rollout.Millis, hasStore bool) Absence {
	a := Absence{byTold: make(map[int]int)}
	for _, e := range s.entries {
		if len(e.told) == 0 || (now-e.confirmedMS <= shareAbsentMS && now-e.returnedMS > coldWindowMS) {
			continue
		}
		told := max(1, slices.Min(e.told))
		a.entries += 1 / float64(told)
		a.byTold[told]++
	}
	if now < s.unknownUntilMS {
		a.entries = max(1, a.entries)
		a.byTold[math.MaxInt] = math.MaxInt
	}
	a.entries = min(1, a.entries)
	a.store = hasStore && (s.storeLeader == "" || now-s.storeMS > shareAbsentMS || now-s.storeReturnedMS <= coldWindowMS)
	return a
}

// burst returns the most requests of absent entries at one upstream in any second. Those that
// were told the same number take turns.
func (a Absence) burst(rate float64) int {
	most := 0
	for _, hosts := range a.byTold {
		most += min(hosts, turnsInWindow(rate))
	}
	return most
}

// turnsInWindow returns the most turns of a rate that may be used in one second.
func turnsInWindow(rate float64) int {
	if rate <= 0 {
		return 0
	}
	return int(rate*float64(coldWindowMS)/1_000) + 1
}
