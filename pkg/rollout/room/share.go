package room

import (
	"cmp"
	"math"
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	// MaxLarge is the maximum number of accounts that are named as large.
	MaxLarge = 16
	// shareMS is the time constant with which earlier requests lose their weight. An
	// account that falls silent or returns must have its share within 1 s.
	shareMS = 700.0
	// largeExcess is the factor above its fair share from which an account is large.
	largeExcess = 1.1
	// minCount is the number of requests below which counts are noise.
	minCount = 0.5
	// entryExpiryMS is how long the totals of a silent entry are kept.
	entryExpiryMS rollout.Millis = 10_000
)

// Demand is what an account had and wanted in the last seconds.
type Demand struct {
	Account string
	// Weight is the relative share of the account. It is positive.
	Weight float64
	// Begun counts the requests that ran, and Refused those for which there was no room.
	Begun, Refused float64
}

// WeightOf returns the relative share of an account of a priority.
func WeightOf(priority int) float64 { return 1 / float64(1+max(0, priority)) }

// LargeAccounts returns the accounts that had more than their fair share while another one
// that had less wanted more, at most MaxLarge, those with the largest excess. Fair shares
// are weighted max-min shares of all that ran.
func LargeAccounts(demands []Demand) []string {
	level := fairLevel(demands)
	isShort := func(d Demand) bool { return d.Refused > minCount && d.Begun < level*d.Weight }
	if !slices.ContainsFunc(demands, isShort) {
		return nil
	}
	excess := func(d Demand) float64 { return d.Begun - largeExcess*level*d.Weight }
	var large []Demand
	for _, d := range demands {
		if excess(d) > 0 {
			large = append(large, d)
		}
	}
	slices.SortFunc(large, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(excess(b), excess(a)), cmp.Compare(a.Account, b.Account))
	})
	var names []string
	for _, d := range large[:min(len(large), MaxLarge)] {
		names = append(names, d.Account)
	}
	slices.Sort(names)
	return names
}

// fairLevel returns the share per weight of the accounts that want more than their share.
func fairLevel(demands []Demand) float64 {
	wanted := func(d Demand) float64 { return d.Begun + d.Refused }
	sorted := slices.SortedFunc(slices.Values(demands), func(a, b Demand) int {
		return cmp.Compare(wanted(a)/a.Weight, wanted(b)/b.Weight)
	})
	capacity, weights := 0.0, 0.0
	for _, d := range sorted {
		capacity += d.Begun
		weights += d.Weight
	}
	for _, d := range sorted {
		if wanted(d) >= capacity/weights*d.Weight {
			return capacity / weights
		}
		capacity -= wanted(d)
		weights -= d.Weight
	}
	return math.Inf(1)
}

// Totals holds the counts of an entry since a time before its first report, by usage
// window and account.
type Totals map[uint64]map[string]uint64

// Shares adds up what accounts had and wanted at all entries. The zero value is empty. It is
// not safe for concurrent use.
type Shares struct {
	entries map[string]entryTotals
	demands map[string]Demand
	// decayedMS is the time as of which demands holds.
	decayedMS rollout.Millis
	// refusedMS is when an entry last reported a refusal. Counts are added only for some
	// time after it, so that a calm deployment costs nothing.
	refusedMS rollout.Millis
}

// entryTotals is the last report of an incarnation of an entry.
type entryTotals struct {
	begun, refused Totals
	atMS           rollout.Millis
}

// Record adds a report of an incarnation of an entry. The first one is only the base of
// the next. The totals must not be changed later.
func (s *Shares) Record(now rollout.Millis, incarnation string, begun, refused Totals) {
	if s.entries == nil {
		s.entries, s.demands = make(map[string]entryTotals), make(map[string]Demand)
	}
	last, known := s.entries[incarnation]
	s.entries[incarnation] = entryTotals{begun: begun, refused: refused, atMS: now}
	if !known {
		return
	}
	s.decay(now)
	added := s.add(last.refused, refused, func(d *Demand, n float64) { d.Refused += n })
	if added {
		s.refusedMS = now
	}
	if s.isCalm(now) {
		return
	}
	s.add(last.begun, begun, func(d *Demand, n float64) { d.Begun += n })
}

// add applies the growth of totals. It reports whether there was any.
func (s *Shares) add(last, next Totals, apply func(*Demand, float64)) bool {
	added := false
	for window, counts := range next {
		for account, n := range counts {
			if before := last[window][account]; n > before {
				d := s.demands[account]
				apply(&d, float64(n-before))
				s.demands[account] = d
				added = true
			}
		}
	}
	return added
}

func (s *Shares) isCalm(now rollout.Millis) bool { return s.refusedMS == 0 || now-s.refusedMS > calmMS }

// decay reduces the weight of earlier requests.
func (s *Shares) decay(now rollout.Millis) {
	factor := math.Exp(-float64(now-s.decayedMS) / shareMS)
	s.decayedMS = now
	for account, d := range s.demands {
		d.Begun *= factor
		d.Refused *= factor
		if d.Begun+d.Refused < minCount {
			delete(s.demands, account)
			continue
		}
		s.demands[account] = d
	}
}

// Large returns the large accounts. weightOf returns the relative share of an account.
func (s *Shares) Large(now rollout.Millis, weightOf func(account string) float64) []string {
	for incarnation, e := range s.entries {
		if now-e.atMS > entryExpiryMS {
			delete(s.entries, incarnation)
		}
	}
	if s.isCalm(now) {
		clear(s.demands)
		return nil
	}
	s.decay(now)
	demands := make([]Demand, 0, len(s.demands))
	for account, d := range s.demands {
		d.Account, d.Weight = account, weightOf(account)
		demands = append(demands, d)
	}
	return LargeAccounts(demands)
}
