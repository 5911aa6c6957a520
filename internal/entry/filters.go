package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/attempt"
	"github.com/coltsfootspoke/coltsfootspoke/internal/wire"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/fair"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/ledger"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/poison"
)

const (
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
	routePrefix     = "/r/"
	bearerPrefix    = "Bearer "
	headerRequestID = "Idempotency-Key"
	headerTimeout   = "X-Request-Timeout-Ms"
	// prefixBytes is the length of the prompt's prefix that is hashed for
	// prefix cache affinity.
	prefixBytes       = 256
	defaultTimeoutMS  = 120_000
	maxTimeoutMS      = 3_600_000
	defaultMaxTokens  = 256
	bytesPerToken     = 4
	maxRequestIDBytes = 256
	// suspectDelay is the time before a suspect runs again. In it all entries
	// learn that it is a suspect.
	suspectDelay        = 150 * time.Millisecond
	clearSuspectTimeout = 5 * time.Second
)

// forwardedHeaders lists the request headers that are sent to upstreams.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language", "X-Request-Id", headerRequestID}

// completion is the part of a completion request that the entry reads.
type completion struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
}

// classify determines the pool of a request and the properties that its path and
// body define.
func (e *entry) classify(x *exchange) error {
	if x.catalog.Version == 0 {
		return rollout.NewError(rollout.KindNoAuthority, "the entry has not received a configuration yet").WithNotRun()
	}
	path := string(x.rc.Path())
	x.method = string(x.rc.Method())
	x.body = bytes.Clone(x.rc.PostBody())
	if err := x.parseTimeout(e); err != nil {
		return err
	}
	x.requestID = string(x.rc.Request.Header.Peek(headerRequestID))
	if len(x.requestID) > maxRequestIDBytes {
		return rollout.NewError(rollout.KindInvalidInput, "%s exceeds %d bytes", headerRequestID, maxRequestIDBytes).WithNotRun()
	}
	x.fingerprint = poison.Fingerprint("", x.method, path, x.body)
	switch {
	case path == pathChat || path == pathCompletions:
		return e.classifyCompletion(x, path)
	case strings.HasPrefix(path, routePrefix):
		return e.classifyRoute(x, path)
	default:
		return rollout.NewError(rollout.KindNotFound, "unknown path %s", path).WithNotRun()
	}
}

func (e *entry) classifyCompletion(x *exchange, path string) error {
	var c completion
	if err := json.Unmarshal(x.body, &c); err != nil {
		return rollout.NewError(rollout.KindInvalidInput, "body: %v", err).WithNotRun()
	}
	if c.Model == "" {
		return rollout.NewError(rollout.KindInvalidInput, "body: model: missing").WithNotRun()
	}
	x.path, x.streaming, x.repeatable = path, c.Stream, x.requestID == ""
	prompt := c.Prompt
	if len(prompt) == 0 {
		prompt = c.Messages
	}
	x.prefix = prefixHash(prompt)
	if c.MaxTokens <= 0 {
		c.MaxTokens = defaultMaxTokens
	}
	x.cost = float64(len(prompt)/bytesPerToken + c.MaxTokens)
	if g, ok := x.catalog.Groups[c.Model]; ok {
		x.pool, x.group, x.minVersion, x.newestVersion = g.Pool, g.Name, g.OldestUsable(), g.Version
		return nil
	}
	r, ok := x.catalog.Routes[c.Model]
	if !ok {
		return rollout.NewError(rollout.KindNotFound, "no model %q", c.Model).WithNotRun()
	}
	x.pool, x.openRoute = r.Pool, r.Open
	return nil
}

func (e *entry) classifyRoute(x *exchange, path string) error {
	name, rest, _ := strings.Cut(strings.TrimPrefix(path, routePrefix), "/")
	r, ok := x.catalog.Routes[name]
	if !ok {
		return rollout.NewError(rollout.KindNotFound, "no route %q", name).WithNotRun()
	}
	x.pool, x.openRoute = r.Pool, r.Open
	x.path = (&url.URL{Path: "/" + rest}).EscapedPath()
	x.repeatable = x.requestID == "" && (r.Repeatable || x.rc.IsGet() || x.rc.IsHead())
	x.cost = 1
	return nil
}

// authenticate identifies the client account by the key, and applies the deadline.
// Open routes need no key.
func (e *entry) authenticate(x *exchange) error {
	header := string(x.rc.Request.Header.Peek("Authorization"))
	if header == "" && x.openRoute {
		x.withDeadline(e)
		return nil
	}
	secret, ok := strings.CutPrefix(header, bearerPrefix)
	if !ok || secret == "" {
		return rollout.NewError(rollout.KindUnauthenticated, "want Authorization: Bearer KEY").WithNotRun()
	}
	x.secret = secret
	if x.openRoute {
		x.withDeadline(e)
		return nil
	}
	if !e.renewer.Valid() {
		return rollout.NewError(rollout.KindNoAuthority, "the lease of entry %s has expired", e.cfg.Name).WithNotRun()
	}
	return e.identify(x)
}

// identify looks the key up and registers the exchange in the session table. It
// then checks the current configuration again, because a withdrawal that was
// applied before the registration has not cancelled the exchange.
func (e *entry) identify(x *exchange) error {
	k, ok := x.catalog.ByDigest[catalog.Digest(x.secret)]
	if !ok {
		return rollout.NewError(rollout.KindUnauthenticated, "the key is not known").WithNotRun()
	}
	if k.Withdrawn {
		return rollout.NewError(rollout.KindWithdrawn, "key %s was withdrawn", k.ID).WithNotRun()
	}
	account, ok := x.catalog.Accounts[k.Account]
	if !ok {
		return rollout.NewError(rollout.KindForbidden, "client account %s does not exist", k.Account).WithNotRun()
	}
	if g, ok := x.catalog.Groups[x.group]; ok && g.Account != account.Name {
		return rollout.NewError(rollout.KindForbidden, "model %s belongs to another client account", x.group).WithNotRun()
	}
	x.key, x.account = k, account
	x.removeSession = e.sessions.Add(k.ID, x.cancel)
	x.withDeadline(e)
	if current := e.renewer.View().Keys[k.ID]; current.Withdrawn {
		return rollout.NewError(rollout.KindWithdrawn, "key %s was withdrawn", k.ID).WithNotRun()
	}
	return nil
}

// checkPoison rejects a request that has crashed upstreams.
func (e *entry) checkPoison(x *exchange) error {
	p, ok := x.catalog.Poisons[x.fingerprint]
	now := e.clock.Now()
	if !ok || p.UntilMS <= now {
		return nil
	}
	x.suspect = true
	if p.ShouldRefuse() {
		return e.poisonedError(x, p)
	}
	return e.queryPoison(x)
}

// recordCrash marks the exchange as a suspect if its upstream crashed.
func (x *exchange) recordCrash(s *attempt.Stream) {
	if s != nil && s.End != nil && s.End.Crashed {
		x.suspect, x.crashed = true, true
	}
}

// checkSuspect delays a request that was running when its upstream crashed, until
// all entries know it as a suspect, and then checks whether it may run again.
func (e *entry) checkSuspect(x *exchange) error {
	if !x.crashed {
		return nil
	}
	x.crashed = false
	select {
	case <-x.ctx.Done():
		return rollout.AsError(context.Cause(x.ctx))
	case <-time.After(suspectDelay):
		return e.queryPoison(x)
	}
}

// queryPoison queries the leader for the crashes of a suspect, because the
// configuration of the entry may be out of date. It returns an error if the
// request must not run.
func (e *entry) queryPoison(x *exchange) error {
	p, err := propose[catalog.Poison](x.ctx, e, ledger.Command{CheckPoison: &ledger.CheckPoison{Fingerprint: x.fingerprint}})
	if err != nil {
		return err
	}
	if p.ShouldRefuse() {
		return e.poisonedError(x, p)
	}
	return nil
}

// clearSuspect reports to the leader that a suspect has run to completion, so that
// it is no longer limited to one at a time on each upstream. It does not wait for
// the reply.
func (e *entry) clearSuspect(x *exchange) {
	if !x.suspect {
		return
	}
	e.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), clearSuspectTimeout)
		defer cancel()
		_, _ = e.control.Propose(ctx, ledger.Command{Acquit: &ledger.ClearSuspect{Fingerprint: x.fingerprint}})
	})
}

// poisonedError logs that a request is rejected and returns the error for it.
func (e *entry) poisonedError(x *exchange, p catalog.Poison) error {
	e.log.Warn("PoisonRefused", zap.String("Request", x.id), zap.String("Account", x.account.Name), zap.Int("Crashes", len(p.Crashes)))
	return rollout.NewError(rollout.KindPoisoned, "%d upstreams crashed while they ran this request", len(p.Crashes)).
		WithNotRun().WithRetryAfter(p.UntilMS - e.clock.Now())
}

// prepareUpstreamRequest builds the headers and the path of the upstream request.
// They must not contain the caller's key, so headers and query parameters with the
// key are left out. A request with the key in its path or body is rejected.
func (e *entry) prepareUpstreamRequest(x *exchange) error {
	if x.secret != "" && (bytes.Contains(x.body, []byte(x.secret)) || strings.Contains(x.path, x.secret)) {
		return rollout.NewError(rollout.KindInvalidInput, "the body or the path repeats the key").WithNotRun()
	}
	for _, name := range forwardedHeaders {
		value := string(x.rc.Request.Header.Peek(name))
		if value == "" || x.containsKey(value) {
			continue
		}
		x.headers = append(x.headers, &wire.Header{Name: name, Value: value})
	}
	query := fasthttp.AcquireArgs()
	defer fasthttp.ReleaseArgs(query)
	for name, value := range x.rc.QueryArgs().All() {
		if x.containsKey(string(name)) || x.containsKey(string(value)) {
			continue
		}
		query.AddBytesKV(name, value)
	}
	if query.Len() > 0 {
		x.path += "?" + query.String()
	}
	return nil
}

func (x *exchange) containsKey(s string) bool { return x.secret != "" && strings.Contains(s, x.secret) }

// admit waits until the fair queue of the pool admits the request. A request that
// attaches to an attempt needs no admission.
func (e *entry) admit(x *exchange) error {
	if err := e.checkEvacuated(x); err != nil || x.claimed != nil {
		return err
	}
	e.routeMu.Lock()
	e.budget.RecordRequest()
	e.routeMu.Unlock()
	release, err := e.admission.Admit(x.ctx, x.pool, fair.Request{
		Account: x.account.Name, Weight: x.account.Weight, Priority: x.account.Priority,
		MaxQueued: x.account.MaxQueued, Cost: x.cost, DeadlineMS: x.deadline,
	})
	if err != nil && e.poolEvacuated(x.pool) {
		return e.checkEvacuated(x)
	}
	if err != nil {
		e.log.Info("AdmissionRefused", zap.String("Request", x.id), zap.String("Account", x.account.Name), zap.String("Pool", x.pool), zap.Error(err))
		return err
	}
	x.release = release
	return nil
}

// parseTimeout sets the deadline from the timeout header or the default timeout.
func (x *exchange) parseTimeout(e *entry) error {
	timeout := int64(defaultTimeoutMS)
	if text := string(x.rc.Request.Header.Peek(headerTimeout)); text != "" {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n < 1 || n > maxTimeoutMS {
			return rollout.NewError(rollout.KindInvalidInput, "%s: %q: want 1 to %d", headerTimeout, text, maxTimeoutMS).WithNotRun()
		}
		timeout = n
	}
	x.deadline = e.clock.Now() + rollout.Millis(timeout)
	return nil
}

// prefixHash returns the hash of a prompt's prefix.
func prefixHash(prompt []byte) uint64 { return xxhash.Sum64(prompt[:min(len(prompt), prefixBytes)]) }
