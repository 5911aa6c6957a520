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
	// announceExpiryMS is how long an announcement counts.
	announceExpiryMS = 4_000
	pollInterval     = 500 * time.Millisecond
	pollTimeout      = 400 * time.Millisecond
	// pollFailures is how many polls in a row may fail before the upstream
	// counts as gone.
	pollFailures  = 4
	maxStatusSize = 1 << 20
)

// announcement is what an upstream tells the agent of its host.
type announcement struct {
	ID      string
	Kind    catalog.UpstreamKind
	Pool    string
	URL     string
	Slots   int
	Leaving bool
}

// status is what an engine tells of itself.
type status struct {
	Running  int
	Waiting  int
	Versions map[string]uint64
}

// local is an upstream of this host. Only the control thread changes it.
type local struct {
	announced announcement
	seenMS    rollout.Millis
	status    status
	// polled is true once the upstream has answered a poll.
	polled   bool
	polling  bool
	failures int
	// leaving was asked for by the upstream, the configuration or a shutdown.
	leaving bool
	// reported is what the leader has committed last.
	reported *catalog.Upstream
	// suspects are the fingerprints that ran when a connection broke, waiting
	// the attempts that want to know whether that was a crash.
	suspects map[string]bool
	waiting  []chan struct{}
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

// announce takes an announcement on the control thread.
func (a *agent) announce(now rollout.Millis, an announcement) {
	l := a.locals[an.ID]
	if l == nil {
		l = &local{}
		a.locals[an.ID] = l
		a.log.Info("UpstreamAnnounced", zap.String("Upstream", an.ID), zap.String("Pool", an.Pool), zap.Int("Slots", an.Slots))
	}
	wasLeaving := l.leaving
	l.announced, l.seenMS = an, now
	l.leaving = l.leaving || an.Leaving
	if l.leaving != wasLeaving || !l.polled {
		a.publish()
		a.poll(an.ID)
	}
}

// pollAll polls each upstream and drops those that have gone silent.
func (a *agent) pollAll(now rollout.Millis) {
	for _, id := range slices.Sorted(maps.Keys(a.locals)) {
		if now-a.locals[id].seenMS > announceExpiryMS {
			a.drop(id, "announcement expired")
			continue
		}
		a.poll(id)
	}
}

// poll asks an upstream for its status on a thread of its own.
func (a *agent) poll(id string) {
	l := a.locals[id]
	if l == nil || l.polling {
		return
	}
	l.polling = true
	url := l.announced.URL
	a.background.Go(func() {
		st, err := a.fetchStatus(url)
		a.do(func(rollout.Millis) { a.polled(id, url, st, err) })
	})
}

func (a *agent) polled(id, url string, st status, err error) {
	l := a.locals[id]
	if l == nil {
		return
	}
	l.polling = false
	if l.announced.URL != url {
		return
	}
	if err != nil {
		l.failures++
		if refused(err) || l.failures >= pollFailures {
			a.drop(id, err.Error())
		}
		return
	}
	l.failures = 0
	l.acquit()
	changed := !l.polled || !maps.Equal(l.status.Versions, st.Versions)
	l.status, l.polled = st, true
	if changed {
		a.publish()
		a.renewer.Wake()
	}
}

// drop forgets an upstream that is gone. Requests that ran there when it
// crashed are reported.
func (a *agent) drop(id, reason string) {
	l := a.locals[id]
	if l == nil {
		return
	}
	a.traffic.Lock()
	running := a.gate.RunningFingerprints(id)
	a.gate.Remove(id)
	a.traffic.Unlock()
	crashed := union(running, l.suspects)
	delete(a.locals, id)
	if l.reported != nil {
		a.gone[id] = true
	}
	if len(crashed) > 0 {
		a.crashCount++
		a.crashes = append(a.crashes, crashNote{
			crash:   newCrash(fmt.Sprintf("%s-%d", a.incarnation, a.crashCount), id, crashed),
			waiting: l.waiting,
		})
	}
	a.log.Warn("UpstreamGone", zap.String("Upstream", id), zap.String("Reason", reason), zap.Int("Suspects", len(crashed)))
	a.publish()
	a.renewer.Wake()
}

// broken notes that a connection to an upstream broke while the given
// requests ran, and looks whether it is still there. Settled is closed once
// the leader knows of a crash, or when there was none.
func (a *agent) broken(id string, running map[string]bool, settled chan struct{}) {
	l := a.locals[id]
	if l == nil {
		a.settleWithLast(settled)
		return
	}
	l.suspects = union(l.suspects, running)
	l.waiting = append(l.waiting, settled)
	a.poll(id)
}

// settleWithLast settles an attempt whose upstream is gone already together
// with the crash that is being reported.
func (a *agent) settleWithLast(settled chan struct{}) {
	if n := len(a.crashes); n > 0 {
		a.crashes[n-1].waiting = append(a.crashes[n-1].waiting, settled)
		return
	}
	close(settled)
}

// acquit clears the suspects of an upstream that has not crashed.
func (l *local) acquit() {
	l.suspects = nil
	for _, settled := range l.waiting {
		close(settled)
	}
	l.waiting = nil
}

// union returns the fingerprints of both, and of each whether it ran as a
// suspect in either.
func union(a, b map[string]bool) map[string]bool {
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

// crashNote is a crash that the leader is to learn of.
type crashNote struct {
	crash   fleet.Crash
	waiting []chan struct{}
}

func (c crashNote) settle() {
	for _, settled := range c.waiting {
		close(settled)
	}
}

// publish gives the traffic threads the upstreams as they stand.
func (a *agent) publish() {
	table := make(map[string]target, len(a.locals))
	a.traffic.Lock()
	defer a.traffic.Unlock()
	for id, l := range a.locals {
		if !l.polled {
			continue
		}
		table[id] = target{url: l.announced.URL, pool: l.announced.Pool, engine: l.announced.Kind == catalog.UpstreamEngine, versions: l.status.Versions}
		a.gate.Set(gate.Upstream{ID: id, Slots: l.announced.Slots, Leaving: l.leaving})
	}
	a.targets.Store(&table)
}

// describe returns an upstream as the catalog holds it.
func (a *agent) describe(id string, l *local) catalog.Upstream {
	an := l.announced
	return catalog.Upstream{
		ID: id, Kind: an.Kind, Pool: an.Pool, FailureDomain: a.cfg.FailureDomain,
		Host: a.cfg.Name, Agent: a.cfg.Name, Incarnation: a.incarnation, Address: a.cfg.Address,
		Slots: an.Slots, Leaving: l.leaving, Versions: l.status.Versions,
	}
}

// needsReport tells whether the leader must learn of a change.
func (l *local) needsReport(u catalog.Upstream) bool {
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxStatusSize))
	if err != nil {
		return status{}, err
	}
	if resp.StatusCode != http.StatusOK {
		return status{}, fmt.Errorf("status answered %d", resp.StatusCode)
	}
	var st status
	return st, json.Unmarshal(data, &st)
}
