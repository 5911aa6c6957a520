package memory

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	kib = 1 << 10
	mib = 1 << 20
)

// testConfig is the account of a small host: 48 MiB for large requests, 16 MiB for small ones.
var testConfig = Config{Bytes: 64 * mib, SmallBytes: 16 * mib, SmallLimit: 64 * kib, MaxWaiting: 1_000}

// accountTest drives an account with a clock and checks its invariants after each input.
type accountTest struct {
	t       *testing.T
	account *Account
	now     rollout.Millis
	granted map[ID]bool
	evicted map[ID]bool
}

func newAccountTest(t *testing.T, cfg Config) *accountTest {
	t.Helper()
	return &accountTest{t: t, account: New(cfg), granted: make(map[ID]bool), evicted: make(map[ID]bool)}
}

func (x *accountTest) apply(out Outcome) {
	x.t.Helper()
	for _, id := range out.Granted {
		x.granted[id] = true
	}
	for _, id := range out.Evicted {
		if x.evicted[id] {
			x.t.Fatalf("holder %d is evicted twice", id)
		}
		x.evicted[id] = true
	}
	x.assertWithinLimits()
}

// assertWithinLimits checks that what is held without Add stays within the account.
func (x *accountTest) assertWithinLimits() {
	x.t.Helper()
	if s := x.account.Stats(); s.Held > x.account.cfg.Bytes {
		x.t.Fatalf("%d bytes are held, limit %d", s.Held, x.account.cfg.Bytes)
	}
	if x.account.largeUsed > x.account.cfg.Bytes-x.account.cfg.SmallBytes {
		x.t.Fatalf("large holders have %d bytes, limit %d", x.account.largeUsed, x.account.cfg.Bytes-x.account.cfg.SmallBytes)
	}
}

// open adds a holder and asks for memory. It reports whether it was granted at once.
func (x *accountTest) open(bytes int64) (ID, bool) {
	x.t.Helper()
	id := x.account.Open(x.now)
	return id, x.reserve(id, bytes)
}

func (x *accountTest) reserve(id ID, bytes int64) bool {
	x.t.Helper()
	granted, err := x.account.Reserve(id, bytes)
	if err != nil {
		x.t.Fatal(err)
	}
	x.assertWithinLimits()
	return granted
}

// mustOpen is open for a holder that does not wait.
func (x *accountTest) mustOpen(bytes int64) ID {
	x.t.Helper()
	id, granted := x.open(bytes)
	if !granted {
		x.t.Fatalf("%d bytes were not granted at once", bytes)
	}
	return id
}

// pass lets time pass in steps of a tick.
func (x *accountTest) pass(d rollout.Millis) {
	x.t.Helper()
	for end := x.now + d; x.now < end; {
		x.now += 100
		x.apply(x.account.Tick(x.now))
	}
}

func (x *accountTest) assertGranted(id ID) {
	x.t.Helper()
	if !x.granted[id] {
		x.t.Fatalf("holder %d still waits: %+v", id, x.account.Stats())
	}
}

// closeEvicted closes the holders that were evicted, as their owners do.
func (x *accountTest) closeEvicted() {
	x.t.Helper()
	for id := range x.evicted {
		if x.account.holders[id] != nil {
			x.apply(x.account.Close(id))
		}
	}
}

func TestSmallHoldersHaveAPartThatLargeOnesCannotTake(t *testing.T) {
	x := newAccountTest(t, testConfig)
	for range 12 {
		x.mustOpen(4 * mib)
	}
	if _, granted := x.open(4 * mib); granted {
		t.Fatal("a large holder took the part of the small ones")
	}
	for range 16 * mib / (64 * kib) {
		x.mustOpen(64 * kib)
	}
}

func TestSmallHoldersBorrowWhatLargeOnesDoNotUse(t *testing.T) {
	x := newAccountTest(t, testConfig)
	for range 64 * mib / (64 * kib) {
		x.mustOpen(64 * kib)
	}
	if _, granted := x.open(64 * kib); granted {
		t.Fatal("more is held than there is")
	}
}

// Guards against a small request that waits behind a crowd of small ones that stall.
func TestStalledSmallHoldersYieldToAllThatWait(t *testing.T) {
	x := newAccountTest(t, testConfig)
	x.account.Settle(x.mustOpen(48 * mib))
	var ids []ID
	for range 900 {
		id, _ := x.open(60 * kib)
		ids = append(ids, id)
	}
	ordinary, _ := x.open(2 * kib)
	rounds := 0
	for ; !x.granted[ordinary]; rounds++ {
		if rounds > 10 {
			t.Fatalf("a small request still waits after %d s: %+v", rounds, x.account.Stats())
		}
		x.pass(1_200)
		x.closeEvicted()
		x.apply(x.account.Tick(x.now))
	}
	if x.evicted[ordinary] || len(ids) == 0 {
		t.Fatal("the ordinary request was evicted")
	}
}

func TestHoldersWaitInTheirOrder(t *testing.T) {
	x := newAccountTest(t, testConfig)
	first := x.mustOpen(40 * mib)
	second, _ := x.open(32 * mib)
	third, granted := x.open(mib)
	if granted {
		t.Fatal("a later request overtook one that waits")
	}
	x.account.Moved(x.now, first, mib)
	x.apply(x.account.Close(first))
	x.assertGranted(second)
	x.assertGranted(third)
}

func TestHolderThatGrowsGoesBeforeNewOnes(t *testing.T) {
	x := newAccountTest(t, testConfig)
	growing, other := x.mustOpen(8*mib), x.mustOpen(40*mib)
	waiting, _ := x.open(16 * mib)
	if x.reserve(growing, 16*mib) {
		t.Fatal("granted more than there is")
	}
	x.apply(x.account.Shrink(other, 30*mib))
	x.assertGranted(growing)
	if x.granted[waiting] {
		t.Fatal("a new holder went before one that grows")
	}
}

// The largest request is served alone, even if it exceeds the account.
func TestHolderLargerThanTheAccountIsServedAlone(t *testing.T) {
	x := newAccountTest(t, testConfig)
	other := x.mustOpen(mib)
	x.mustOpen(kib)
	largest, granted := x.open(200 * mib)
	if granted {
		t.Fatal("served beside another large one")
	}
	x.apply(x.account.Close(other))
	x.assertGranted(largest)
}

func TestNothingIsEvictedWhileNobodyWaits(t *testing.T) {
	x := newAccountTest(t, testConfig)
	for range 12 {
		x.mustOpen(4 * mib)
	}
	x.pass(60_000)
	if len(x.evicted) > 0 {
		t.Fatalf("evicted %v", x.evicted)
	}
}

func TestStalledHolderYieldsAndMovingOneDoesNot(t *testing.T) {
	x := newAccountTest(t, testConfig)
	stalled, moving := x.mustOpen(24*mib), x.mustOpen(24*mib)
	waiting, _ := x.open(4 * mib)
	for range 30 {
		x.account.Moved(x.now, moving, 4*kib)
		x.pass(100)
	}
	if !x.evicted[stalled] || x.evicted[moving] {
		t.Fatalf("evicted %v, want %d only", x.evicted, stalled)
	}
	x.closeEvicted()
	x.assertGranted(waiting)
}

// A transfer that moves a byte now and then is stalled.
func TestTrickleIsNoProgress(t *testing.T) {
	x := newAccountTest(t, testConfig)
	trickle := x.mustOpen(48 * mib)
	x.open(4 * mib)
	for range 30 {
		x.account.Moved(x.now, trickle, 100)
		x.pass(100)
	}
	if !x.evicted[trickle] {
		t.Fatal("a trickle kept its memory")
	}
}

// Guards against a request that waited for long and is evicted before it could move anything.
func TestGrantGivesTimeToMakeProgress(t *testing.T) {
	x := newAccountTest(t, testConfig)
	first := x.mustOpen(48 * mib)
	x.account.Settle(first)
	waited, _ := x.open(40 * mib)
	x.open(40 * mib)
	x.pass(20_000)
	x.apply(x.account.Close(first))
	x.assertGranted(waited)
	x.pass(1_000)
	if x.evicted[waited] {
		t.Fatal("evicted right after the grant")
	}
	x.pass(200)
	if !x.evicted[waited] {
		t.Fatal("a stalled holder kept its memory")
	}
}

func TestSettledHolderIsNotEvicted(t *testing.T) {
	x := newAccountTest(t, testConfig)
	settled := x.mustOpen(48 * mib)
	x.account.Settle(settled)
	x.open(4 * mib)
	x.pass(10_000)
	if len(x.evicted) > 0 {
		t.Fatal("a request that is being served lost its memory")
	}
	x.account.Transfer(x.now, settled)
	x.pass(2_000)
	if !x.evicted[settled] {
		t.Fatal("a response that nobody reads kept its memory")
	}
}

func TestTooManyWaitingAreRefused(t *testing.T) {
	cfg := testConfig
	cfg.MaxWaiting = 2
	x := newAccountTest(t, cfg)
	x.mustOpen(48 * mib)
	x.open(mib)
	x.open(mib)
	_, err := x.account.Reserve(x.account.Open(x.now), mib)
	if e := rollout.AsError(err); e.Kind != rollout.KindOverloaded || !e.NotRun {
		t.Fatalf("error %v, want Overloaded and not run", err)
	}
}

func TestEvictedHolderGetsNoMore(t *testing.T) {
	x := newAccountTest(t, testConfig)
	stalled := x.mustOpen(48 * mib)
	x.open(mib)
	x.pass(2_000)
	if _, err := x.account.Reserve(stalled, 50*mib); err == nil {
		t.Fatal("an evicted holder got more memory")
	}
}

func TestMemoryInUseIsChargedBeyondTheLimit(t *testing.T) {
	x := newAccountTest(t, testConfig)
	id := x.mustOpen(40 * mib)
	x.account.Add(id, 40*mib)
	if _, granted := x.open(mib); granted {
		t.Fatal("granted while more is in use than there is")
	}
	x.apply(x.account.Close(id))
	if s := x.account.Stats(); s.Held != mib || s.Waiting != 0 {
		t.Fatalf("stats %+v after the end of all but a waiting holder", s)
	}
}

// crowdMember is a request of a seeded crowd. It holds what it got and may never finish.
type crowdMember struct {
	id    ID
	total int64
	// held is what it asked for last.
	held int64
	// finishes is false for a member that stops before its end.
	finishes bool
	waits    bool
}

// Guards against a crowd in which many hold nearly everything and finish nothing: requests of
// unknown length grow until all wait for each other. An ordinary small and an ordinary large
// request must still be served.
func TestOrdinaryRequestsAreServedBesideACrowd(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 51))
			x := newAccountTest(t, testConfig)
			var crowd []*crowdMember
			for range 200 {
				m := &crowdMember{id: x.account.Open(x.now), total: 1 + random.Int64N(32*mib), finishes: random.IntN(4) == 0}
				crowd = append(crowd, m)
			}
			step := func() {
				for _, m := range crowd {
					x.stepMember(m, random)
				}
				x.pass(100)
				x.closeEvicted()
			}
			for range 100 {
				step()
			}
			large, granted := x.open(4 * mib)
			for round := 0; !granted && !x.granted[large]; round++ {
				if round > 10_000 {
					t.Fatalf("a large request waits for ever: %+v", x.account.Stats())
				}
				step()
			}
			small, granted := x.open(2 * kib)
			if !granted {
				t.Fatalf("a small request had to wait: %+v", x.account.Stats())
			}
			if x.evicted[large] || x.evicted[small] {
				t.Fatal("an ordinary request was evicted")
			}
		})
	}
}

// stepMember lets a member of the crowd grow by doubling, finish or stall.
func (x *accountTest) stepMember(m *crowdMember, random *rand.Rand) {
	x.t.Helper()
	if x.account.holders[m.id] == nil || x.evicted[m.id] {
		return
	}
	if m.waits && !x.granted[m.id] {
		return
	}
	m.waits = false
	delete(x.granted, m.id)
	if m.held >= m.total {
		if m.finishes {
			x.apply(x.account.Close(m.id))
		}
		return
	}
	x.account.Moved(x.now, m.id, m.held)
	if random.IntN(2) == 0 {
		return
	}
	m.held = max(4*kib, 2*m.held)
	granted, err := x.account.Reserve(m.id, m.held)
	if err != nil {
		x.apply(x.account.Close(m.id))
		return
	}
	m.waits = !granted
}
