package ledger

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/capacity"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/claim"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/stream"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/usage"
)

const (
	// maxAnswers is the number of command IDs whose first result is kept.
	maxAnswers = 10_000
	// maxOrders is the number of orders above which the oldest is evicted, if it
	// is done.
	maxOrders = 1_000
	// poisonRetentionMS is how long a crash counts against a request.
	poisonRetentionMS = 10 * 60 * 1_000
)

// State is the replicated state. Its fields are exported so that snapshots
// contain them.
type State struct {
	Catalog *catalog.Catalog
	Claims  *claim.Table
	Streams *stream.Streams
	Usage   *usage.State
	Orders  map[string]capacity.Order
	// OrderIDs lists the keys of Orders, oldest first.
	OrderIDs []string
	// ConfigVersion is the log index of the last successful operator command.
	ConfigVersion uint64
	// Answers maps each command ID to the result of its first application.
	Answers map[string]Result
	// AnswerIDs lists the keys of Answers, oldest first.
	AnswerIDs []string
	// Applied is the index of the last log entry applied.
	Applied uint64
	// LastMS is the latest time of any command. It never decreases.
	LastMS rollout.Millis
}

// New returns an empty state.
func New() *State {
	return &State{
		Catalog: catalog.New(),
		Claims:  claim.New(),
		Streams: stream.New(),
		Usage:   usage.New(),
		Orders:  make(map[string]capacity.Order),
		Answers: make(map[string]Result),
	}
}

// Restore decodes the state from a snapshot.
func Restore(data []byte) (*State, error) {
	s := New()
	if err := json.Unmarshal(data, s); err != nil {
		return nil, rollout.NewError(rollout.KindStorage, "decode snapshot").WithCause(err)
	}
	s.Catalog.RebuildDerived()
	return s, nil
}

// Apply applies the commands of one log entry and returns their results.
func (s *State) Apply(index uint64, cmds []Command) []Result {
	results := make([]Result, 0, len(cmds))
	for _, c := range cmds {
		s.LastMS = max(s.LastMS, c.AtMS)
		results = append(results, s.applyIdempotent(index, c))
	}
	s.Applied = index
	return results
}

// OpenOrders returns the orders that are not done, oldest first.
func (s *State) OpenOrders() []capacity.Order {
	var open []capacity.Order
	for _, id := range s.OrderIDs {
		if o := s.Orders[id]; o.State != capacity.OrderDone {
			open = append(open, o)
		}
	}
	return open
}

// Snapshot encodes the state in JSON.
func (s *State) Snapshot() ([]byte, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, rollout.NewError(rollout.KindStorage, "encode snapshot").WithCause(err)
	}
	return data, nil
}

// Check returns the error with which an operator command would be rejected if it
// were applied now. It does not change the state.
func (s *State) Check(c Command) error {
	if c.Expected != 0 && c.Expected != s.ConfigVersion {
		return s.versionConflict(c)
	}
	return s.validate(c)
}

// applyIdempotent applies a command. If a command with the same ID was applied
// before, it returns the first result instead.
func (s *State) applyIdempotent(index uint64, c Command) Result {
	if c.ID == "" {
		value, err := s.apply(index, c)
		return newResult(index, value, err)
	}
	if first, ok := s.Answers[c.ID]; ok {
		return first
	}
	value, err := s.applyOperatorCommand(index, c)
	r := newResult(index, value, err)
	s.Answers[c.ID] = r
	s.AnswerIDs = append(s.AnswerIDs, c.ID)
	if len(s.AnswerIDs) > maxAnswers {
		delete(s.Answers, s.AnswerIDs[0])
		s.AnswerIDs = s.AnswerIDs[1:]
	}
	return r
}

// applyOperatorCommand validates and applies a command of an operator.
func (s *State) applyOperatorCommand(index uint64, c Command) (any, error) {
	if err := s.Check(c); err != nil {
		return nil, err
	}
	value, err := s.apply(index, c)
	if err == nil {
		s.ConfigVersion = index
	}
	return value, err
}

// versionConflict returns the error of a command whose Expected is outdated.
func (s *State) versionConflict(c Command) error {
	return rollout.NewError(rollout.KindConflict,
		"expected configuration version %d, present is %d", c.Expected, s.ConfigVersion)
}

func (s *State) apply(index uint64, c Command) (any, error) {
	switch {
	case c.TakeClaim != nil:
		return s.Claims.Take(c.AtMS, *c.TakeClaim)
	case c.VoidClaim != nil:
		s.Claims.Void(*c.VoidClaim)
		return nil, nil
	case c.FindClaim != nil:
		return s.Claims.Find(c.AtMS, *c.FindClaim)
	case c.OpenStep != nil, c.CommitSample != nil, c.Handover != nil, c.LoseSample != nil:
		return s.applyStream(c)
	case c.AddUsage != nil:
		s.Usage.Add(c.AtMS, *c.AddUsage)
		return nil, nil
	case c.CloseWindow != nil:
		w, _ := s.Usage.CloseWindow(*c.CloseWindow)
		return w, nil
	case c.WindowReported != nil:
		s.Usage.MarkReported(c.WindowReported.Number)
		return nil, nil
	case c.PlanOrder != nil:
		s.addOrder(capacity.Order{Order: *c.PlanOrder, State: capacity.OrderPlanned, AtMS: c.AtMS})
		return nil, nil
	case c.OrderState != nil:
		if o, ok := s.Orders[c.OrderState.ID]; ok {
			o.State = c.OrderState.State
			s.Orders[o.ID] = o
		}
		return nil, nil
	default:
		return s.applyCatalog(index, c)
	}
}

func (s *State) applyCatalog(index uint64, c Command) (any, error) {
	cat := s.Catalog
	switch {
	case c.PutAccount != nil:
		cat.Put(index, catalog.KindAccount, c.PutAccount.Name, *c.PutAccount)
		return *c.PutAccount, nil
	case c.GrantKey != nil:
		cat.Put(index, catalog.KindKey, c.GrantKey.ID, *c.GrantKey)
		return *c.GrantKey, nil
	case c.WithdrawKey != nil:
		k := cat.Keys[c.WithdrawKey.ID].WithWithdrawn()
		cat.Put(index, catalog.KindKey, k.ID, k)
		return k, nil
	case c.PutGroup != nil:
		g := newGroup(*c.PutGroup).WithVersion(cat.Groups[c.PutGroup.Name].Version)
		cat.Put(index, catalog.KindGroup, g.Name, g)
		return g, nil
	case c.PutRoute != nil:
		cat.Put(index, catalog.KindRoute, c.PutRoute.Name, *c.PutRoute)
		return *c.PutRoute, nil
	case c.PutTarget != nil:
		cat.Put(index, catalog.KindTarget, c.PutTarget.Name(), *c.PutTarget)
		return *c.PutTarget, nil
	case c.Drop != nil:
		cat.Remove(index, c.Drop.Kind, c.Drop.Name)
		return nil, nil
	case c.DrainRequest != nil:
		u := cat.Upstreams[c.DrainRequest.Upstream].WithLeaving(true)
		if u.ID == "" {
			return nil, rollout.NewError(rollout.KindNotFound, "no upstream %q", c.DrainRequest.Upstream)
		}
		cat.Put(index, catalog.KindUpstream, u.ID, u)
		return u, nil
	case c.Evacuate != nil:
		return cat.Evacuate(index, catalog.Evacuation{FailureDomain: c.Evacuate.FailureDomain, SinceMS: c.AtMS}), nil
	case c.EndEvacuation != nil:
		cat.EndEvacuation(index, c.EndEvacuation.FailureDomain)
		return nil, nil
	default:
		return s.applyReport(index, c)
	}
}

// applyReport applies reports of daemons about upstreams, weights and crashes.
func (s *State) applyReport(index uint64, c Command) (any, error) {
	cat := s.Catalog
	switch {
	case c.PublishWeights != nil:
		g, ok := cat.Groups[c.PublishWeights.Group]
		if !ok {
			return nil, rollout.NewError(rollout.KindNotFound, "no trainer group %q", c.PublishWeights.Group)
		}
		g = g.WithVersion(c.PublishWeights.Version)
		cat.Put(index, catalog.KindGroup, g.Name, g)
		return g, nil
	case c.PutUpstream != nil:
		_, evacuated := cat.Evacuations[c.PutUpstream.FailureDomain]
		u := c.PutUpstream.WithEvacuated(evacuated)
		if old, ok := cat.Upstreams[u.ID]; ok && old.Incarnation == u.Incarnation {
			u = u.WithLeaving(u.Leaving || old.Leaving)
			u.SinceMS = old.SinceMS
			if u.EqualExceptVersions(old) {
				cat.Put(index, catalog.KindVersions, u.ID, u.Versions)
				return u, nil
			}
		} else {
			u.SinceMS = c.AtMS
		}
		cat.Put(index, catalog.KindUpstream, u.ID, u)
		return u, nil
	case c.LoseUpstream != nil:
		if u, ok := cat.Upstreams[c.LoseUpstream.ID]; ok && u.Incarnation == c.LoseUpstream.Incarnation {
			cat.Remove(index, catalog.KindUpstream, u.ID)
		}
		return nil, nil
	case c.Crash != nil:
		s.applyCrash(index, c)
		return nil, nil
	case c.CheckPoison != nil:
		return cat.Poisons[c.CheckPoison.Fingerprint], nil
	case c.Acquit != nil:
		if p, ok := cat.Poisons[c.Acquit.Fingerprint]; ok && !p.ShouldRefuse() {
			cat.Remove(index, catalog.KindPoison, p.Fingerprint)
		}
		return nil, nil
	default:
		return nil, rollout.NewError(rollout.KindInvalidInput, "empty command")
	}
}

// applyCrash records a crash for each request that was running, and removes
// expired poisons.
func (s *State) applyCrash(index uint64, c Command) {
	confirmed := s.soleSuspect(c.Crash)
	for _, f := range c.Crash.Fingerprints {
		p := s.Catalog.Poisons[f].WithCrash(c.Crash.ID, f == confirmed, c.AtMS+poisonRetentionMS)
		p.Fingerprint = f
		s.Catalog.Put(index, catalog.KindPoison, f, p)
	}
	for _, f := range slices.Sorted(maps.Keys(s.Catalog.Poisons)) {
		if s.Catalog.Poisons[f].UntilMS < c.AtMS {
			s.Catalog.Remove(index, catalog.KindPoison, f)
		}
	}
}

// soleSuspect returns the fingerprint of the only suspect that was running when
// an upstream crashed, or "" if there was none or more than one. The entry that
// sent the requests may not have learned of all suspects yet, so requests that
// the catalog lists as poisons count as suspects too.
func (s *State) soleSuspect(c *Crash) string {
	suspects := slices.DeleteFunc(slices.Clone(c.Fingerprints), func(f string) bool {
		_, known := s.Catalog.Poisons[f]
		return !known && !slices.Contains(c.Suspects, f)
	})
	if len(suspects) != 1 || !slices.Contains(c.Suspects, suspects[0]) {
		return ""
	}
	return suspects[0]
}

func (s *State) applyStream(c Command) (any, error) {
	switch {
	case c.OpenStep != nil:
		if _, err := s.groupByName(c.OpenStep.Group); err != nil {
			return nil, err
		}
		return s.Streams.OpenStep(*c.OpenStep)
	case c.CommitSample != nil:
		g, err := s.groupByName(c.CommitSample.Group)
		if err != nil {
			return nil, err
		}
		return s.Streams.CommitSample(g, *c.CommitSample)
	case c.Handover != nil:
		g, err := s.groupByName(c.Handover.Group)
		if err != nil {
			return nil, err
		}
		return s.Streams.Handover(g, *c.Handover)
	default:
		s.Streams.LoseSample(*c.LoseSample)
		return nil, nil
	}
}

func (s *State) groupByName(name string) (catalog.Group, error) {
	g, ok := s.Catalog.Groups[name]
	if !ok {
		return g, rollout.NewError(rollout.KindNotFound, "no trainer group %q", name)
	}
	return g, nil
}

// addOrder adds an order, unless its ID is already known.
func (s *State) addOrder(o capacity.Order) {
	if _, ok := s.Orders[o.ID]; ok {
		return
	}
	s.Orders[o.ID] = o
	s.OrderIDs = append(s.OrderIDs, o.ID)
	if len(s.OrderIDs) > maxOrders && s.Orders[s.OrderIDs[0]].State == capacity.OrderDone {
		delete(s.Orders, s.OrderIDs[0])
		s.OrderIDs = s.OrderIDs[1:]
	}
}

func newGroup(p PutGroup) catalog.Group {
	return catalog.Group{Name: p.Name, Account: p.Account, Pool: p.Pool, StalenessBound: p.StalenessBound}
}
