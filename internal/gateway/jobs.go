package gateway

import (
	"context"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/fabric"
	"github.com/coltsfootspoke/coltsfootspoke/internal/jobstore"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/document"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/job"
)

const (
	// storeTimeout bounds the search for the leader and the call together,
	// excluding the time for which a read may wait. A failed leader is replaced
	// within 2 s.
	storeTimeout = 3 * time.Second
	// storeCallTimeout bounds a single call, excluding the time for which a
	// read may wait.
	storeCallTimeout = 900 * time.Millisecond
	// leaderRetryDelay is the delay between two attempts to reach the leader.
	leaderRetryDelay = 60 * time.Millisecond
)

// SubmitJob submits a job of a route, with items that spec does not hold, to the job store. After
// KindOutcomeUnknown, the job may or may not have been accepted. A job that is restricted to
// regions is sent only to the known members of the job store, and only if all of them may keep
// it.
func (g *Gateway) SubmitJob(ctx context.Context, spec job.Spec, items JobItems, route document.Route) error {
	policy := g.setRoute(&spec, route)
	call := storeCall{method: jobstore.MethodSubmit}
	if policy.IsRestricted() {
		call.permit = func(address string) error { return g.checkStore(policy, address) }
	}
	id := spec.ID
	about := []zap.Field{zap.String("Job", id), zap.String("Account", spec.Account), zap.Int("Items", items.Count)}
	var err error
	if items.TextBytes > maxWholeJobBytes && items.Count > 0 {
		err = g.submitInParts(ctx, call, spec, items)
	} else {
		err = g.submitWhole(ctx, call, spec, items)
	}
	if err != nil && rollout.AsError(err).Kind == rollout.KindRegionNotAllowed {
		g.recordRegionRefusal(refusedJob, id, policy)
	}
	g.opts.Log.Info("JobForwarded", append(about, zap.Error(err))...)
	return err
}

// submitWhole submits a job in one call.
func (g *Gateway) submitWhole(ctx context.Context, call storeCall, spec job.Spec, items JobItems) error {
	for it, err := range items.All {
		if err != nil {
			return err
		}
		spec.Items = append(spec.Items, it)
	}
	// Calls are repeated, and each would encode the items anew.
	body, err := fabric.Encode(spec)
	if err != nil {
		return err
	}
	return callStore(ctx, g, call, body, &jobstore.Empty{})
}

// ReadResults returns results of a job.
func (g *Gateway) ReadResults(ctx context.Context, req jobstore.ReadRequest) (jobstore.Page, error) {
	var page jobstore.Page
	err := callStore(ctx, g, storeCall{method: jobstore.MethodRead, first: g.localStoreAddress(), waitMS: req.WaitMS}, req, &page)
	return page, err
}

// ItemBody returns the part of the body of an item of a job that begins at an offset.
func (g *Gateway) ItemBody(ctx context.Context, req jobstore.BodyRequest) (jobstore.Body, error) {
	req.InParts = true
	var body jobstore.Body
	err := callStore(ctx, g, storeCall{method: jobstore.MethodBody, first: g.localStoreAddress()}, req, &body)
	return body, err
}

// EndJob ends a job.
func (g *Gateway) EndJob(ctx context.Context, req jobstore.EndRequest) error {
	return callStore(ctx, g, storeCall{method: jobstore.MethodEnd}, req, &jobstore.Empty{})
}

// AccountForKey returns the name of the client account of a key. It is empty if
// no accounts are configured. Like Resolve, it refuses a key only from a recent copy of
// the configuration.
func (g *Gateway) AccountForKey(ctx context.Context, key string) (string, error) {
	account, err := g.accountForKey(key)
	if err == nil || !followsFromCopy(err) {
		return account, err
	}
	if err = g.confirmCopy(ctx); err == nil {
		account, err = g.accountForKey(key)
	}
	if err != nil {
		g.opts.Log.Warn("JobCallRefused", zap.Inline(g.watcher.CopyInfo()), zap.Error(err))
	}
	return account, err
}

// accountForKey looks up a key in the current copy of the configuration.
func (g *Gateway) accountForKey(key string) (string, error) {
	index := g.watcher.State().Index
	if index == nil {
		return "", rollout.NewError(rollout.KindNoAuthority, "entry has not received a configuration yet").WithNotRun()
	}
	if len(index.Document.Accounts) == 0 {
		return "", nil
	}
	account, ok := index.Account(key)
	if !ok {
		return "", rollout.NewError(rollout.KindUnauthenticated, "unknown key").WithNotRun()
	}
	return account.Name, nil
}

// storeCall is a call of the job store.
type storeCall struct {
	method string
	// first is the address to try first, or empty.
	first string
	// waitMS is how long a read may wait.
	waitMS rollout.Millis
	// permit is called before each attempt. Its error ends the call. If it is not nil, only
	// known members are called.
	permit func(address string) error
}

// callStore calls the leader of the job store and follows redirects to another
// leader. It retries until the call succeeds, is rejected with KindNotFound,
// KindConflict, KindRegionNotAllowed, KindOverloaded or KindBodyTooLarge, is not permitted any more, or times out, so
// all methods must be idempotent. Unless it succeeds or is rejected, the kind of
// the error shows whether an attempt may have been executed.
func callStore(ctx context.Context, g *Gateway, call storeCall, in, out any) error {
	wait := time.Duration(call.waitMS) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, storeTimeout+wait)
	defer cancel()
	hint, maybeExecuted := call.first, false
	failed := make(map[string]bool)
	var last *rollout.Error
	for attempt := 0; ; attempt++ {
		address := g.nextStoreAddress(hint, attempt, failed, call.permit != nil)
		hint = ""
		if err := call.check(address); err != nil {
			return call.withOutcome(err, maybeExecuted)
		}
		callCtx, cancelCall := context.WithTimeout(ctx, storeCallTimeout+wait)
		err := g.client.Call(callCtx, address, call.method, in, out)
		cancelCall()
		g.metrics.jobCalls.WithLabelValues(call.method, outcome(err)).Inc()
		if err == nil {
			return nil
		}
		last = rollout.AsError(err)
		switch last.Kind {
		case rollout.KindNotFound, rollout.KindConflict:
			return last
		case rollout.KindRegionNotAllowed, rollout.KindOverloaded, rollout.KindBodyTooLarge:
			return call.withOutcome(last, maybeExecuted)
		case rollout.KindNotLeader:
			if next := strings.TrimPrefix(last.Message, "leader is "); next != "" && next != address && !failed[next] {
				hint = next
				continue
			}
		default:
			failed[address] = true
			maybeExecuted = maybeExecuted || !last.NotRun
		}
		select {
		case <-ctx.Done():
			return call.withOutcome(rollout.NewError(rollout.KindUnavailable, "no leader of the job store answered %s", call.method).WithCause(last), maybeExecuted)
		case <-time.After(leaderRetryDelay):
		}
	}
}

// check returns an error if the call may not be sent to an address.
func (c storeCall) check(address string) error {
	if c.permit == nil {
		return nil
	}
	return c.permit(address)
}

// withOutcome returns the error of a call that ended without success, which says whether an
// attempt may have been executed.
func (c storeCall) withOutcome(err error, maybeExecuted bool) error {
	if maybeExecuted {
		return rollout.NewError(rollout.KindOutcomeUnknown, "outcome of %s is unknown", c.method).WithCause(err)
	}
	return rollout.AsError(err).WithNotRun()
}

// localStoreAddress returns the address of a job store member in the failure
// domain of this host, or an empty string.
func (g *Gateway) localStoreAddress() string {
	f := g.watcher.State().Facts
	for _, address := range f.Stores {
		if f.StoreDomains[address] == g.opts.FailureDomain {
			return address
		}
	}
	return ""
}

// nextStoreAddress returns the address for an attempt. A hint has priority. Even
// attempts use the leader known to the control hosts, and the others the members
// in round-robin order. Addresses that have failed are used only if all have. Founders that
// control does not list as members are used unless onlyMembers is true.
func (g *Gateway) nextStoreAddress(hint string, attempt int, failed map[string]bool, onlyMembers bool) string {
	if hint != "" {
		return hint
	}
	f := g.watcher.State().Facts
	if f.StoreLeader != "" && attempt%2 == 0 && !failed[f.StoreLeader] {
		return f.StoreLeader
	}
	addresses := slices.Clone(f.Stores)
	for _, m := range f.Founders {
		if !onlyMembers && !slices.Contains(addresses, m.Address) {
			addresses = append(addresses, m.Address)
		}
	}
	if healthy := slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return failed[a] }); len(healthy) > 0 {
		addresses = healthy
	}
	if len(addresses) == 0 {
		return ""
	}
	return addresses[attempt%len(addresses)]
}
