package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"reflect"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/fleet"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/gate"
)

const (
	// announceExpiryMS is how long an announcement is valid.
	announceExpiryMS = 4_000
	pollInterval     = 500 * time.Millisecond
	pollTimeout      = 400 * time.Millisecond
	// maxPollFailures is the number of consecutive failed polls after which an
	// upstream is removed.
	maxPollFailures = 4
	maxStatusBytes  = 1 << 20
)

// announcement is the body of a request with which an upstream registers at the
// agent of its host.
type announcement struct {
	ID      string
	Kind    catalog.UpstreamKind
	Pool    string
	URL     string
	Slots   int
	Leaving bool
}

// status is the answer of an upstream to GET /status.
type status struct {
	Running  int
	Waiting  int
	Versions map[string]uint64
}

// localUpstream is the state of an upstream of this host. It belongs to the
// goroutine of runEventLoop.
type localUpstream struct {
	announced   announcement
	announcedMS rollout.Millis
	status      status
	// polled is true once the upstream has answered a poll.
	polled  bool
	polling bool
	// pollFailures is the number of consecutive failed polls.
	pollFailures int
	// leaving is true once the upstream, the configuration or a shutdown has
	// requested it.
	leaving bool
	// evacuated is true while the configuration evacuates the failure domain.
	evacuated bool
	// reported is the catalog entry that the leader last accepted, or nil if it
	// has none.
	reported *catalog.Upstream
	// crashFingerprints holds the fingerprints that ran when a connection broke,
	// each with whether it ran as a suspect. They are reported if the upstream
	// turns out to have crashed.
	crashFingerprints map[string]bool
	// waiters holds the channels of the attempts that wait to learn whether the
	// upstream has crashed.
	waiters  []chan struct{}
	swapping bool
}

func (an announcement) validate() error {
	switch {
	case an.ID == "":
		return rollout.NewError(rollout.KindInvalidInput, "ID: missing")
	case an.Pool == "":
		return rollout.NewError(rollout.KindInvalidInput, "Pool: missing")
	case an.URL == "":
		return rollout.NewError(rollout.KindInvalidInput, "URL: missing")
	case an.Slots < 1:
		return rollout.NewError(rollout.KindInvalidInput, "Slots: %d is not positive", an.Slots)
	case an.Kind != catalog.UpstreamEngine && an.Kind != catalog.UpstreamService:
		return rollout.NewError(rollout.KindInvalidInput, "Kind: %q: want engine or service", an.Kind)
	default:
		return nil
	}
}

// recordAnnouncement adds or updates an upstream. It runs on the goroutine of
// runEventLoop.
func (a *agent) recordAnnouncement(now rollout.Millis, an announcement) {
	l := a.upstreams[an.ID]
	if l == nil {
		u := a.renewer.View().Upstreams[an.ID]
		l = &localUpstream{evacuated: u.Evacuated && u.Incarnation == a.incarnation}
		a.upstreams[an.ID] = l
		a.log.Info("UpstreamAnnounced", zap.String("Upstream", an.ID), zap.String("Pool", an.Pool), zap.Int("Slots", an.Slots))
	}
	wasLeaving := l.leaving
	l.announced, l.announcedMS = an, now
	l.leaving = l.leaving || an.Leaving || a.stopping
	if l.leaving != wasLeaving || !l.polled {
		a.publishTargets()
		a.poll(an.ID)
	}
}

// pollAll polls each upstream and removes those whose announcement has expired.
func (a *agent) pollAll(now rollout.Millis) {
	for _, id := range slices.Sorted(maps.Keys(a.upstreams)) {
		if now-a.upstreams[id].announcedMS > announceExpiryMS {
			a.removeUpstream(id, "announcement expired")
			continue
		}
		a.poll(id)
	}
}

// poll requests the status of an upstream on a new goroutine, unless a poll of it
// is running.
func (a *agent) poll(id string) {
	l := a.upstreams[id]
	if l == nil || l.polling {
		return
	}
	l.polling = true
	url := l.announced.URL
	a.background.Go(func() {
		st, err := a.fetchStatus(url)
		a.enqueue(func(rollout.Millis) { a.recordPoll(id, url, st, err) })
	})
}

// recordPoll records the result of a poll. It removes the upstream if it refuses
// connections or after maxPollFailures failures.
func (a *agent) recordPoll(id, url string, st status, err error) {
	l := a.upstreams[id]
	if l == nil {
		return
	}
	l.polling = false
	if l.announced.URL != url {
		return
	}
	if err != nil {
		l.pollFailures++
		if connectionRefused(err) || l.pollFailures >= maxPollFailures {
			a.removeUpstream(id, err.Error())
		}
		return
	}
	l.pollFailures = 0
	l.dismissCrash()
	changed := !l.polled || !maps.Equal(l.status.Versions, st.Versions)
	l.status, l.polled = st, true
	if changed {
		a.publishTargets()
		a.renewer.Wake()
	}
}

// removeUpstream removes an upstream that is gone. If requests ran on it then or
// when a connection broke, a crash with their fingerprints is reported.
func (a *agent) removeUpstream(id, reason string) {
	l := a.upstreams[id]
	if l == nil {
		return
	}
	a.trafficMu.Lock()
	running := a.gate.RunningFingerprints(id)
	a.gate.RemoveUpstream(id)
	a.trafficMu.Unlock()
	fingerprints := mergeFingerprints(running, l.crashFingerprints)
	delete(a.upstreams, id)
	if l.reported != nil {
		a.removed[id] = true
	}
	if len(fingerprints) > 0 {
		a.crashCount++
		a.pendingCrashes = append(a.pendingCrashes, pendingCrash{
			crash:   newCrash(fmt.Sprintf("%s-%d", a.incarnation, a.crashCount), id, fingerprints),
			waiters: l.waiters,
		})
	}
	a.log.Warn("UpstreamGone", zap.String("Upstream", id), zap.String("Reason", reason), zap.Int("Suspects", len(fingerprints)))
	a.publishTargets()
	a.renewer.Wake()
}

// recordBrokenConnection records that a connection to an upstream broke while the
// given requests ran, and polls the upstream. The channel settled is closed once
// the leader has accepted the crash or a poll has shown that there was none.
func (a *agent) recordBrokenConnection(id string, running map[string]bool, settled chan struct{}) {
	l := a.upstreams[id]
	if l == nil {
		a.joinLastCrash(settled)
		return
	}
	l.crashFingerprints = mergeFingerprints(l.crashFingerprints, running)
	l.waiters = append(l.waiters, settled)
	a.poll(id)
}

// joinLastCrash handles a broken connection to an upstream that has already been
// removed: settled is closed together with the last pending crash, or now if
// there is none.
func (a *agent) joinLastCrash(settled chan struct{}) {
	if n := len(a.pendingCrashes); n > 0 {
		a.pendingCrashes[n-1].waiters = append(a.pendingCrashes[n-1].waiters, settled)
		return
	}
	close(settled)
}

// dismissCrash clears the fingerprints of an upstream that has answered a poll, and
// thus has not crashed, and releases the attempts that wait for it.
func (l *localUpstream) dismissCrash() {
	l.crashFingerprints = nil
	for _, settled := range l.waiters {
		close(settled)
	}
	l.waiters = nil
}

// mergeFingerprints returns the fingerprints of both maps. The value of one is
// true if it ran as a suspect in either.
func mergeFingerprints(a, b map[string]bool) map[string]bool {
	out := make(map[string]bool)
	for _, m := range []map[string]bool{a, b} {
		for f, suspect := range m {
			out[f] = out[f] || suspect
		}
	}
	return out
}

func newCrash(id, upstream string, ran map[string]bool) fleet.Crash {
	c := fleet.Crash{ID: id, Upstream: upstream, Fingerprints: slices.Sorted(maps.Keys(ran))}
	for _, f := range c.Fingerprints {
		if ran[f] {
			c.Suspects = append(c.Suspects, f)
		}
	}
	return c
}

// pendingCrash is a crash that the leader has not accepted yet.
type pendingCrash struct {
	crash fleet.Crash
	// waiters are closed once the leader has accepted the crash.
	waiters []chan struct{}
}

func (c pendingCrash) release() {
	for _, settled := range c.waiters {
		close(settled)
	}
}

// publishTargets publishes the current upstreams to the request handlers and the
// gate. Upstreams that have not answered a poll are left out.
func (a *agent) publishTargets() {
	targets := make(map[string]target, len(a.upstreams))
	a.trafficMu.Lock()
	defer a.trafficMu.Unlock()
	for id, l := range a.upstreams {
		if !l.polled {
			continue
		}
		targets[id] = target{url: l.announced.URL, pool: l.announced.Pool, engine: l.announced.Kind == catalog.UpstreamEngine, versions: l.status.Versions}
		a.gate.SetUpstream(gate.Upstream{ID: id, Slots: l.announced.Slots, Leaving: l.leaving, Evacuated: l.evacuated})
	}
	a.targets.Store(&targets)
}

// catalogEntry returns the entry of an upstream for the catalog.
func (a *agent) catalogEntry(id string, l *localUpstream) catalog.Upstream {
	an := l.announced
	return catalog.Upstream{
		ID: id, Kind: an.Kind, Pool: an.Pool, FailureDomain: a.cfg.FailureDomain,
		Host: a.cfg.Name, Agent: a.cfg.Name, Incarnation: a.incarnation, Address: a.cfg.Address,
		Slots: an.Slots, Leaving: l.leaving, Versions: l.status.Versions,
	}
}

// needsReport reports whether the given entry differs from the one that the leader
// last accepted.
func (l *localUpstream) needsReport(u catalog.Upstream) bool {
	return l.polled && (l.reported == nil || !reflect.DeepEqual(*l.reported, u))
}

func (a *agent) fetchStatus(url string) (status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/status", nil)
	if err != nil {
		return status{}, err
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return status{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxStatusBytes))
	if err != nil {
		return status{}, err
	}
	if resp.StatusCode != http.StatusOK {
		return status{}, fmt.Errorf("upstream returned HTTP status %d for GET /status", resp.StatusCode)
	}
	var st status
	return st, json.Unmarshal(data, &st)
}
