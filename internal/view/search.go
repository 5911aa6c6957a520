package view

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	// hedgeDelay is how long a search waits for a host before it asks the next one
	// beside it. It spans some round trips between failure domains.
	hedgeDelay = 150 * time.Millisecond
	// searchTimeout bounds one call of a search. A leader that is short of processor
	// time may need seconds for the whole state.
	searchTimeout = 4 * time.Second
	// firstPatience is how long a search waits before it asks a silent host again over
	// a new connection. It doubles with each call, so that a slow host is not flooded.
	firstPatience = 400 * time.Millisecond
)

// searchReply is the result of one call of a search.
type searchReply struct {
	address string
	update  update
	err     error
}

// search asks control hosts until one replies as the leader, and applies its reply. A
// host that is late keeps its call while others are asked, because a late reply may
// mean a lost connection, a host that is down or a leader that is only slow. If the
// last leader fell silent, all calls use new connections. A search ends without a reply
// if the watcher is no longer active.
func (w *Watcher) search(ctx context.Context, silent bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := searchPlan{index: w.addressIndex, pending: make(map[string]pendingCall)}
	replies := make(chan searchReply)
	preferred, redirected := w.target, false
	var last error = rollout.NewError(rollout.KindUnavailable, "no control host has been asked")
	timer := time.NewTimer(0)
	defer timer.Stop()
	for w.isActive() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case r := <-replies:
			delete(p.pending, r.address)
			if r.err == nil {
				w.target, w.addressIndex = r.address, p.index
				w.accept(r.update)
				return nil
			}
			last, preferred = r.err, namedLeader(r.err)
			if preferred == r.address {
				preferred = ""
			}
			if preferred == "" || redirected || !p.mayAsk(time.Now(), preferred) {
				timer.Reset(retryDelay)
				redirected = false
				continue
			}
			redirected = true
		case <-timer.C:
			redirected = false
		}
		address, again := p.next(time.Now(), preferred, w.controls())
		preferred = ""
		timer.Reset(hedgeDelay)
		if address == "" {
			continue
		}
		if again || silent {
			w.opts.Client.Renew(address)
		}
		w.waitingFor.Store(address)
		request := w.newRequest(0)
		go func() {
			callCtx, cancelCall := context.WithTimeout(ctx, searchTimeout)
			defer cancelCall()
			u, err := w.call(callCtx, address, request)
			select {
			case replies <- searchReply{address, u, err}:
			case <-ctx.Done():
			}
		}()
	}
	return last
}

// namedLeader returns the address of the leader that an error names, or an empty
// string.
func namedLeader(err error) string {
	e := rollout.AsError(err)
	if e.Kind != rollout.KindNotLeader {
		return ""
	}
	return strings.TrimPrefix(e.Message, "leader is ")
}

// controls returns the addresses of the control hosts.
func (w *Watcher) controls() []string {
	addresses := slices.Clone(w.opts.Seeds())
	for _, a := range w.State().Facts.Controls {
		if !slices.Contains(addresses, a) {
			addresses = append(addresses, a)
		}
	}
	return addresses
}

// searchPlan decides which host a search asks next.
type searchPlan struct {
	// index modulo the number of hosts is the last one that was asked in turn.
	index int
	// pending holds the hosts that have not replied to their last call.
	pending map[string]pendingCall
}

type pendingCall struct {
	at       time.Time
	patience time.Duration
}

// next returns the host to ask and whether it has not replied to an earlier call. It is
// the preferred one, if that is not empty, or else the next in turn. A host that has
// not replied is passed over until its patience has elapsed; the address is empty if
// that holds for all.
func (p *searchPlan) next(now time.Time, preferred string, hosts []string) (address string, again bool) {
	if preferred != "" && p.mayAsk(now, preferred) {
		return preferred, p.record(now, preferred)
	}
	for range hosts {
		p.index++
		if a := hosts[p.index%len(hosts)]; p.mayAsk(now, a) {
			return a, p.record(now, a)
		}
	}
	return "", false
}

func (p *searchPlan) mayAsk(now time.Time, address string) bool {
	c, pending := p.pending[address]
	return !pending || now.Sub(c.at) >= c.patience
}

// record notes a call and reports whether the host has not replied to an earlier one.
func (p *searchPlan) record(now time.Time, address string) bool {
	c, pending := p.pending[address]
	if !pending {
		c.patience = firstPatience
	} else {
		c.patience *= 2
	}
	c.at = now
	p.pending[address] = c
	return pending
}
