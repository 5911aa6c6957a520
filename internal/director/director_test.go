package director

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/permits"
	"github.com/coltsfootspoke/coltsfootspoke/internal/view"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/clock"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/document"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/limit"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/poison"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/registry"
)

// newLocalDirector returns a director without a network or a quorum.
func newLocalDirector() *Director {
	return &Director{
		opts: Options{Log: zap.NewNop()}, clock: clock.Boottime{}, state: registry.New(), table: discovery.New(1_000),
		daemons: make(map[string]watchingDaemon), poisonDetector: poison.NewDetector(), divider: limit.NewDivider(), changed: make(chan struct{}), routingChanged: make(chan struct{}),
	}
}

func requestWithBrokenConnection(host, upstream string) view.Request {
	return view.Request{Host: host, Role: view.RoleEntry, BrokenConnections: &view.BrokenConnections{
		Connections: []poison.BrokenConnection{{Fingerprint: "boom", Upstream: upstream, Born: 1}},
	}}
}

func TestRequestThatCrashedUpstreamsOfThreeHostsIsRefused(t *testing.T) {
	d := newLocalDirector()
	for _, id := range []string{"a", "b", "c"} {
		d.table.Announce(0, discovery.Upstream{ID: id, Address: id, Born: 1, Seq: 1, State: discovery.StateReady})
		d.recordWatchRequest(requestWithBrokenConnection("host-"+id, id))
	}
	before := d.factsRevision()
	if got := d.poisonDetector.Refused(); len(got) != 0 {
		t.Fatalf("refused %v while no upstream has ended, want none", got)
	}
	for _, id := range []string{"a", "b", "c"} {
		d.table.Announce(0, discovery.Upstream{ID: id, Address: id, Born: 2, Seq: 1, State: discovery.StateReady})
	}
	d.updatePoisons()
	if got := d.poisonDetector.Refused(); !slices.Equal(got, []string{"boom"}) || d.factsRevision() == before {
		t.Fatalf("refused %v at revision %d, want [boom] at a revision other than %d", got, d.factsRevision(), before)
	}
}

func TestSelectFoundersAcceptsFewerHostsAfterWait(t *testing.T) {
	const want = 5
	for name, c := range map[string]struct {
		hosts, blank int
		waited       rollout.Millis
		members      int
	}{
		"enough at the start":          {7, 7, 0, 5},
		"too few before the wait ends": {4, 4, foundingWaitMS - 1, 0},
		"too few after the wait":       {4, 4, foundingWaitMS, 4},
		"below the minimum":            {1, 1, foundingWaitMS, 0},
		"too few blank hosts":          {5, 2, foundingWaitMS, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var hosts []view.Request
			for i := range c.hosts {
				hosts = append(hosts, view.Request{
					Host: fmt.Sprint(i), FailureDomain: fmt.Sprint(i % 3), Store: &view.StoreStatus{Blank: i < c.blank},
				})
			}
			if got := selectFounders(hosts, want, c.waited); len(got) != c.members {
				t.Fatalf("selected %d founders, want %d", len(got), c.members)
			}
		})
	}
}

func TestWindowsToClose(t *testing.T) {
	for name, c := range map[string]struct {
		closedTo, newest uint64
		unsent           int
		want             []uint64
	}{
		"first window":                {0, 353_445_120, 0, []uint64{353_445_120}},
		"none is due":                 {10, 10, 0, nil},
		"clock went back":             {10, 8, 0, nil},
		"next window":                 {10, 11, 1, []uint64{11}},
		"after a long outage":         {10, 100, 28, []uint64{11, 12, 13, 14}},
		"while reports fail":          {10, 12, 20, []uint64{11, 12}},
		"while no report is accepted": {10, 40, 32, nil},
	} {
		t.Run(name, func(t *testing.T) {
			if got := windowsToClose(c.closedTo, c.newest, c.unsent); !slices.Equal(got, c.want) {
				t.Fatalf("windows %v, want %v", got, c.want)
			}
		})
	}
}

// The counts of a closed window are final; a late report would only take memory.
func TestReportOfClosedWindowIsDropped(t *testing.T) {
	d := newLocalDirector()
	d.usage = make(map[uint64]map[string]map[string]uint64)
	d.state.Apply(registry.Command{Close: &registry.CloseWindow{Window: 9}})
	d.recordWatchRequest(view.Request{Host: "h", Role: view.RoleEntry, Usage: &view.Usage{
		Incarnation: "1", Windows: map[uint64]map[string]uint64{8: {"a": 1}, 9: {"a": 2}, 10: {"a": 3}},
	}})
	if len(d.usage) != 1 || d.usage[10]["1"]["a"] != 3 {
		t.Fatalf("usage %v, want window 10 only", d.usage)
	}
}

func TestEntriesDoNotFollowModels(t *testing.T) {
	d := newLocalDirector()
	engine := discovery.Upstream{
		ID: "e", Address: "e", Born: 1, Seq: 1, State: discovery.StateReady, Models: []discovery.Model{{Name: "m", Version: 1}},
	}
	d.table.Announce(0, engine)
	revision := d.table.Revision()
	engine.Seq, engine.Models = 2, []discovery.Model{{Name: "m", Version: 2}}
	d.recordAnnouncement(engine)
	for role, want := range map[view.Role]int{view.RoleEntry: 0, view.RoleControl: 1, view.RoleStore: 1} {
		if us, _ := d.upstreamsChangedSince(revision, role); len(us) != want {
			t.Fatalf("%s gets %d changes after a load of weights, want %d", role, len(us), want)
		}
	}
	if us, _ := d.upstreamsChangedSince(0, view.RoleEntry); len(us) != 1 || us[0].Models != nil {
		t.Fatalf("an entry gets %v, want the engine without models", us)
	}
	_, entries := d.upstreamsChangedSince(revision, view.RoleEntry)
	_, stores := d.upstreamsChangedSince(revision, view.RoleStore)
	engine.Seq, engine.Models = 3, []discovery.Model{{Name: "m", Version: 3}}
	d.recordAnnouncement(engine)
	select {
	case <-entries:
		t.Fatal("a load of weights woke an entry")
	case <-stores:
	}
	engine.Seq, engine.State = 4, discovery.StateDraining
	d.recordAnnouncement(engine)
	select {
	case <-entries:
	default:
		t.Fatal("a draining engine did not wake an entry")
	}
}

// All hosts turn to a new leader at once. It must not have to send each of them
// the whole table, which most of them have.
func TestNewLeaderSendsOnlyWhatFollowersLack(t *testing.T) {
	base := tableBase{epoch: 3, revision: 70}
	for name, c := range map[string]struct {
		base tableBase
		req  view.Request
		want bool
	}{
		"same table":                     {base, view.Request{Epoch: 3, TableRevision: 70}, true},
		"older copy of the same table":   {base, view.Request{Epoch: 3, TableRevision: 12}, true},
		"changes that this host lacks":   {base, view.Request{Epoch: 3, TableRevision: 71}, false},
		"copy of an earlier leader":      {base, view.Request{Epoch: 2, TableRevision: 12}, false},
		"no copy":                        {base, view.Request{}, false},
		"leader without a former leader": {tableBase{}, view.Request{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.base.covers(c.req); got != c.want {
				t.Fatalf("covers is %v, want %v", got, c.want)
			}
		})
	}
}

func TestLateReplyOfFormerLeaderKeepsTable(t *testing.T) {
	d := newLocalDirector()
	d.opts.Dir = "data"
	d.restoreTable(view.State{Epoch: 3, TableRevision: 9, Upstreams: map[string]discovery.Upstream{"a": {ID: "a", Address: "a", Born: 1, Revision: 9}}})
	d.leadTerm = 4
	d.recordAnnouncement(discovery.Upstream{ID: "b", Address: "b", Born: 1, Seq: 1, State: discovery.StateReady})
	d.restoreTable(view.State{Epoch: 3, TableRevision: 10})
	if us, _ := d.upstreamsChangedSince(0, view.RoleStore); len(us) != 2 || us[1].ID != "b" || us[1].Revision <= 9 {
		t.Fatalf("table %v, want a and, at a later revision, b", us)
	}
}

// With hundreds of hosts and thousands of upstreams, a reply to each host for each
// change takes more than the leader has. Documents and facts never wait.
func TestBatchIntervalGrowsWithHosts(t *testing.T) {
	d := newLocalDirector()
	current := view.Request{Role: view.RoleEntry, FactsRevision: d.factsRevision()}
	for _, tc := range []struct {
		hosts int
		want  time.Duration
	}{{1, 40 * time.Millisecond}, {140, 140 * time.Millisecond}, {5_000, 500 * time.Millisecond}} {
		for i := len(d.daemons); i < tc.hosts; i++ {
			d.daemons[fmt.Sprint(i)] = watchingDaemon{}
		}
		if got := d.batchInterval(current); got != tc.want {
			t.Fatalf("%v for %d hosts, want %v", got, tc.hosts, tc.want)
		}
	}
	d.state.Document.Version = 2
	if got := d.batchInterval(current); got != 0 {
		t.Fatalf("%v for a host without the document, want 0", got)
	}
}

// A configuration goes to hundreds of hosts at once. It must not be packed for each.
func TestDocumentIsPackedOnce(t *testing.T) {
	d := newLocalDirector()
	doc := document.Document{Version: 3}
	whole, first := d.documentForReply(doc, true)
	_, second := d.documentForReply(doc, true)
	if whole != nil || len(first) == 0 || &first[0] != &second[0] {
		t.Fatalf("document %v, packed %d bytes and another %d, want the same packed bytes twice", whole, len(first), len(second))
	}
	doc.Version = 4
	if _, next := d.documentForReply(doc, true); &next[0] == &first[0] {
		t.Fatal("the packed document is that of the version before")
	}
	if whole, packed := d.documentForReply(doc, false); whole == nil || packed != nil {
		t.Fatal("a host that does not accept packed documents got one")
	}
}

// A host that repeats a late request may have it overtaken by the newer one.
func TestOvertakenRequestKeepsNewerTotals(t *testing.T) {
	d := newLocalDirector()
	d.usage = make(map[uint64]map[string]map[string]uint64)
	for _, total := range []uint64{3, 7, 5} {
		d.recordWatchRequest(view.Request{Host: "entry-1", Role: view.RoleEntry, Usage: &view.Usage{
			Incarnation: "i", Windows: map[uint64]map[string]uint64{9: {"farm": total}},
		}})
	}
	if got := d.usage[9]["i"]["farm"]; got != 7 {
		t.Fatalf("got %d requests, want 7", got)
	}
}

// Guards against requests that reach an upstream after it has said that it leaves (DRAIN):
// the host that was told reports it, and the others learn it from control.
func TestLeavingUpstreamReportedByAHostDrains(t *testing.T) {
	d := newLocalDirector()
	d.table.Announce(0, discovery.Upstream{ID: "a", Address: "a", Born: 1, Seq: 1, State: discovery.StateReady})
	before := d.table.Revision()
	d.recordWatchRequest(view.Request{Host: "entry-1", Role: view.RoleEntry, Leaving: &view.LeavingUpstreams{Incarnations: []discovery.Incarnation{{ID: "a", Born: 1}}}})
	if us := d.table.RoutingChangedSince(before); len(us) != 1 || us[0].State != discovery.StateDraining {
		t.Fatalf("changes %+v, want a draining", us)
	}
}

// Guards against refusals that wait, and end with 503, while control is well: a watch without
// changes must confirm the caller's copy for its end, not for its beginning.
func TestWatchWithoutChangesConfirmsCopyForItsEnd(t *testing.T) {
	const waitMS, slackMS = 200, 50
	d := newLocalDirector()
	req := view.Request{Host: "entry-1", Role: view.RoleEntry, Epoch: 1, WaitMS: waitMS}
	reply, err := d.holdWatch(t.Context(), 1, req)
	if err != nil || reply.HeldMS < waitMS-slackMS {
		t.Fatalf("held for %d ms, error %v; want %d ms", reply.HeldMS, err, waitMS)
	}
	if reply.Document != nil || reply.PackedDocument != nil || len(reply.Upstreams) > 0 {
		t.Fatalf("reply %+v, want no changes", reply)
	}
}

func TestWatchEndsWithFirstChange(t *testing.T) {
	const waitMS = 10_000
	d := newLocalDirector()
	time.AfterFunc(50*time.Millisecond, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.state.Document.Version = 2
		d.notifyWatches()
	})
	reply, err := d.holdWatch(t.Context(), 1, view.Request{Host: "entry-1", Role: view.RoleEntry, Epoch: 1, DocumentVersion: 1, WaitMS: waitMS})
	if err != nil || reply.Document == nil || reply.HeldMS >= waitMS {
		t.Fatalf("reply %+v, error %v; want a document before %d ms", reply, err, waitMS)
	}
}

// Guards against a leader that lifts the refusals of the leader before because the daemons
// that saw the crashes have started again.
func TestRefusalOutlivesLeader(t *testing.T) {
	d := newLocalDirector()
	for _, id := range []string{"a", "b", "c"} {
		c := poison.BrokenConnection{Fingerprint: "boom", Upstream: id, Born: 1, Ended: true}
		d.recordBrokenConnections("host-"+id+"/Entry", view.BrokenConnections{Revision: 1, Connections: []poison.BrokenConnection{c}})
	}
	d.state.Apply(registry.Command{Refuse: &registry.RefuseRequests{NowMS: 1, UntilMS: 2, Fingerprints: d.refusalsToPropose}})
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	d.runAsLeader(ended, 2)
	if got := d.refusedRequests(); !slices.Equal(got, []string{"boom"}) {
		t.Fatalf("the next leader refuses %v, want [boom]", got)
	}
}

// Guards against crashes that a leader never counts because it does not know the upstreams
// that crashed before it led.
func TestCrashOfUpstreamUnknownToLeaderCounts(t *testing.T) {
	d := newLocalDirector()
	d.leadStartMS = d.clock.Now()
	for _, id := range []string{"a", "b", "c"} {
		d.recordWatchRequest(requestWithBrokenConnection("host-"+id, id))
	}
	for _, c := range []struct {
		ledMS rollout.Millis
		want  []string
	}{{d.table.SilenceMS() / 2, nil}, {2 * d.table.SilenceMS(), []string{"boom"}}} {
		d.leadStartMS = d.clock.Now() - c.ledMS
		d.updatePoisons()
		if got := d.refusedRequests(); !slices.Equal(got, c.want) {
			t.Fatalf("refused %v after %d ms of leadership, want %v", got, c.ledMS, c.want)
		}
	}
}

func TestLimitReachesOtherHosts(t *testing.T) {
	d := newLocalDirector()
	d.table.Announce(0, discovery.Upstream{ID: "a", Address: "a", Born: 1, Seq: 1, State: discovery.StateReady})
	u := discovery.Incarnation{ID: "a", Born: 1}
	before := d.table.Revision()
	reply := d.grantPermits(permits.Request{Host: "h", Wants: []limit.Want{{Upstream: u, Limit: 3, Said: true}}})
	if us := d.table.RoutingChangedSince(before); len(us) != 1 || us[0].Limit != 3 || len(reply.Grants) != 1 {
		t.Fatalf("changes %v, grants %v, want the limit for all hosts and a grant", us, reply.Grants)
	}
	reply = d.grantPermits(permits.Request{Host: "h", Wants: []limit.Want{{Upstream: u, Limit: 0, Said: true}}})
	if perSecond, _ := d.table.Limit("a", 1); perSecond != 0 || len(reply.Grants) != 0 {
		t.Fatalf("limit %g, grants %v after it has ended, want none", perSecond, reply.Grants)
	}
}

// A host that lost control sends at its own fixed share.
func TestAbsentHostsReduceWhatOthersGet(t *testing.T) {
	d := newLocalDirector()
	for _, host := range []string{"g", "h"} {
		d.recordWatchRequest(view.Request{Host: host, Role: view.RoleEntry})
	}
	if present, absent := d.senders(d.clock.Now()); present != 2 || absent != 0 {
		t.Fatalf("%d present, %d absent, want 2 and 0", present, absent)
	}
	if present, absent := d.senders(d.clock.Now() + absentAfterMS + 100); present != 0 || absent != 2 {
		t.Fatalf("%d present, %d absent after silence, want 0 and 2", present, absent)
	}
	if present, absent := d.senders(d.clock.Now() + absentForMS + 100); present != 0 || absent != 0 {
		t.Fatalf("%d present, %d absent after a long silence, want none", present, absent)
	}
}

// Guards against an upstream that has left and is used again: after a change of the leader
// of control, a late announcement of it counted as that of a new one.
func TestNewLeaderRefusesLateAnnouncementOfUpstreamThatLeft(t *testing.T) {
	d := newLocalDirector()
	d.opts.Dir = "dir"
	engine := discovery.Upstream{ID: "e", Address: "a", Born: 1, Seq: 3, State: discovery.StateReady, Revision: 1, RoutingRevision: 1}
	left := engine
	left.State, left.Revision, left.RoutingRevision = discovery.StateGone, 2, 2
	state := view.State{}
	for _, r := range []view.Reply{
		{Epoch: 1, Whole: true, Upstreams: []discovery.Upstream{engine}, TableRevision: 1},
		{Epoch: 1, Upstreams: []discovery.Upstream{left}, TableRevision: 2},
	} {
		state = state.With(r)
		d.restoreTable(state)
	}
	late := engine
	late.Seq++
	if accepted, _ := d.recordAnnouncement(late); accepted {
		t.Error("the late announcement was accepted")
	}
	next := engine
	next.Born, next.Seq = 2, 1
	if accepted, _ := d.recordAnnouncement(next); !accepted {
		t.Error("the announcement of the next incarnation was not accepted")
	}
}

// Guards against hosts that go on using an upstream that has left, because the former leader
// of control ended before it told them.
func TestNewLeaderTellsHostsWhichUpstreamsHaveLeft(t *testing.T) {
	engine := discovery.Upstream{ID: "e", Address: "a", Born: 1, Seq: 3, State: discovery.StateReady, Revision: 1, RoutingRevision: 1}
	left := engine
	left.State, left.Revision, left.RoutingRevision = discovery.StateGone, 2, 2
	first := view.Reply{Epoch: 1, Whole: true, Upstreams: []discovery.Upstream{engine}, TableRevision: 1}
	follower := view.State{}.With(first).With(view.Reply{Epoch: 1, Upstreams: []discovery.Upstream{left}, TableRevision: 2})
	entry := view.State{}.With(first)
	d := newLocalDirector()
	d.opts.Dir = "dir"
	d.restoreTable(follower)
	reply := view.Reply{Epoch: 2, Whole: true, Upstreams: d.table.RoutingChangedSince(0), TableRevision: d.table.Revision()}
	if entry = entry.With(reply); len(entry.Upstreams) != 0 {
		t.Fatalf("the entry knows %v, want nothing", entry.Upstreams)
	}
}
