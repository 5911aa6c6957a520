package measure

import (
	"fmt"
	"math"
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/capacity"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/hedge"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/retry"
)

// Figure is one measure under both policies.
type Figure struct {
	Name string
	// Baseline and Ours are the same amount under both policies.
	Baseline, Ours float64
	// Aim tells what is wanted of Ours, or of Ours against Baseline.
	Aim string
	Met bool
}

const (
	minute       = 60_000
	accountCount = 8
)

// Fairness measures the worst-served of eight client accounts while one sends
// ten times its share (Cartago: 9 engines, 2 entries).
func Fairness(seed uint64) []Figure {
	share := func(ours bool) float64 {
		f := newFarm(seed, 9, 8, 2, ours)
		served := make(map[string]float64)
		const length = 10 * minute
		const meanGapMS = 380.0
		for a := range accountCount {
			name := fmt.Sprintf("account-%d", a)
			gap := meanGapMS
			if a == 0 {
				gap /= 10
			}
			var next func()
			next = func() {
				tokens := 40 + f.rand.IntN(160)
				f.arrive(&request{account: name, weight: 1, prefix: f.rand.IntN(30), prompt: 200, tokens: tokens, slow: 1, done: func(ok bool, _ *engine) {
					if ok && f.t.now <= length {
						served[name] += float64(tokens)
					}
				}})
				f.t.after(rollout.Millis(f.rand.ExpFloat64()*gap), next)
			}
			f.t.after(0, next)
		}
		f.t.runUntil(length)
		total := 0.0
		worst := math.MaxFloat64
		for a := range accountCount {
			s := served[fmt.Sprintf("account-%d", a)]
			total += s
			worst = math.Min(worst, s)
		}
		demand := length / meanGapMS * 120
		return worst / math.Min(total/accountCount, demand)
	}
	b, o := share(false), share(true)
	return []Figure{{"WorstServedShareOfFair", b, o, ">=0.9", o >= 0.9}}
}

// Prefixes measures cache hits and the spread of load (Cartago: replies are
// drafted from a few templates).
func Prefixes(seed uint64) []Figure {
	type result struct{ hits, spread, wait float64 }
	run := func(ours bool) result {
		f := newFarm(seed, 9, 8, 2, ours)
		var waits []float64
		var next func()
		next = func() {
			prefix := int(math.Min(59, math.Floor(f.rand.ExpFloat64()*22)))
			r := &request{account: "a", weight: 1, prefix: prefix, prompt: 1_200, tokens: 60 + f.rand.IntN(120), slow: 1}
			r.done = func(bool, *engine) { waits = append(waits, float64(f.t.now-r.arrived)) }
			f.arrive(r)
			f.t.after(rollout.Millis(f.rand.ExpFloat64()*90), next)
		}
		f.t.after(0, next)
		f.t.runUntil(10 * minute)
		hits, all, most, sum := 0, 0, 0, 0
		for _, e := range f.engines {
			hits += e.hits
			all += e.hits + e.misses
			most = max(most, e.tokens)
			sum += e.tokens
		}
		slices.Sort(waits)
		return result{
			float64(hits) / float64(all), float64(most) / (float64(sum) / float64(len(f.engines))), waits[len(waits)*95/100],
		}
	}
	b, o := run(false), run(true)
	return []Figure{
		{"PrefixHitShare", b.hits, o.hits, ">=1.5x", o.hits >= 1.5*b.hits},
		{"BusiestOverMean", b.spread, o.spread, "<=1.25", o.spread <= 1.25},
		{"LatencyP95MS", b.wait, o.wait, "<=1x", o.wait <= b.wait},
	}
}

// Steps measures how long three trainers wait for their steps, and the tokens
// spent (Sudurland: 9 engines, stragglers).
func Steps(seed uint64) []Figure {
	type result struct{ idle, tokens float64 }
	run := func(ours bool) result {
		f := newFarm(seed, 9, 16, 2, ours)
		f.engines[4].speed = 0.45
		f.t.after(4*minute, f.engines[2].crash)
		f.t.after(6*minute, f.engines[2].back)
		idle := 0.0
		steps := 0
		for g := range 3 {
			t := &trainer{f: f, ours: ours, name: fmt.Sprintf("trainer-%d", g), size: 48, computeMS: 8_000}
			t.whole = func(waited rollout.Millis) {
				idle += float64(waited)
				steps++
			}
			f.t.after(rollout.Millis(g*3_000), t.begin)
		}
		f.t.runUntil(20 * minute)
		tokens := 0
		for _, e := range f.engines {
			tokens += e.tokens
		}
		return result{idle / float64(max(steps, 1)), float64(tokens) / float64(max(steps, 1))}
	}
	b, o := run(false), run(true)
	return []Figure{
		{"TrainerIdleMSPerStep", b.idle, o.idle, "<=0.7x", o.idle <= 0.7*b.idle},
		{"TokensPerStep", b.tokens, o.tokens, "<=1.05x", o.tokens <= 1.05*b.tokens},
	}
}

// trainer asks for one step after the other.
type trainer struct {
	f         *farm
	ours      bool
	name      string
	size      int
	computeMS rollout.Millis
	whole     func(waited rollout.Millis)
	// finished, which may be nil, sees the job of each sample.
	finished func(j *job)
}

func (t *trainer) begin() {
	start := t.f.t.now
	left := t.size
	group := hedge.New(hedge.DefaultConfig(), t.size)
	for range t.size {
		s := &sample{t: t, group: group, tokens: 80 + t.f.rand.IntN(120)}
		s.finished = func() {
			left--
			if left == 0 {
				t.whole(t.f.t.now - start)
				t.f.t.after(t.computeMS, t.begin)
			}
		}
		s.attempt(s.drawSlow())
		if t.ours {
			s.watch()
		}
	}
}

// sample is one sample on its way, with one attempt or two.
type sample struct {
	t        *trainer
	group    *hedge.Step
	tokens   int
	done     bool
	hedged   bool
	attempts []*request
	finished func()
}

// drawSlow makes one attempt in forty a straggler.
func (s *sample) drawSlow() float64 {
	if s.t.f.rand.IntN(40) == 0 {
		return 5
	}
	return 1
}

func (s *sample) attempt(slow float64) {
	r := &request{account: s.t.name, weight: 1, prefix: 1, prompt: 300, tokens: s.tokens, slow: slow}
	r.done = func(ok bool, _ *engine) {
		switch {
		case s.done:
		case !ok:
			s.t.f.t.after(200, func() { s.attempt(s.drawSlow()) })
		default:
			s.win(r)
		}
	}
	s.attempts = append(s.attempts, r)
	s.t.f.arrive(r)
}

// win ends the sample and cancels its other attempt.
func (s *sample) win(r *request) {
	s.done = true
	if s.t.finished != nil {
		s.t.finished(r.job)
	}
	if s.t.ours {
		elapsed, _ := r.job.progress(s.t.f.t.now)
		s.group.RecordSuccess(hedge.Attempt{ElapsedMS: elapsed, Tokens: s.tokens})
		for _, other := range s.attempts {
			if other != r && other.job != nil {
				other.job.engine.cancel(other.job)
			}
		}
	}
	s.finished()
}

// watch gives a straggler a second attempt.
func (s *sample) watch() {
	s.t.f.t.after(100, func() {
		if s.done || s.hedged {
			return
		}
		last := s.attempts[len(s.attempts)-1]
		if last.job != nil {
			elapsed, tokens := last.job.progress(s.t.f.t.now)
			if s.group.TryHedge(hedge.Attempt{ElapsedMS: elapsed, Tokens: tokens}) {
				s.hedged = true
				s.attempt(s.drawSlow())
				return
			}
		}
		s.watch()
	})
}

// Staleness measures how many weight versions samples lag behind when they are
// finished, with new weights every 30 s and swaps that take 2 s each.
func Staleness(seed uint64) []Figure {
	const publishMS, fetchMS, swapMS = 30_000, 3_000, 2_000
	type result struct{ lag, idle float64 }
	run := func(ours bool) result {
		f := newFarm(seed, 9, 16, 2, ours)
		var publish func()
		publish = func() {
			f.publish(fetchMS, swapMS)
			f.t.after(publishMS, publish)
		}
		f.t.after(0, publish)
		lag, count, idle, steps := 0.0, 0.0, 0.0, 0.0
		for g := range 3 {
			t := &trainer{f: f, ours: ours, name: fmt.Sprintf("trainer-%d", g), size: 24, computeMS: 4_000}
			t.whole = func(waited rollout.Millis) { idle, steps = idle+float64(waited), steps+1 }
			t.finished = func(j *job) {
				lag += float64(f.published - j.version)
				count++
			}
			f.t.after(rollout.Millis(g*1_500), t.begin)
		}
		f.t.runUntil(20 * minute)
		return result{lag / count, idle / steps}
	}
	b, o := run(false), run(true)
	return []Figure{
		{"SampleLagVersions", b.lag, o.lag, "<=0.9x", o.lag <= 0.9*b.lag},
		{"TrainerIdleMSWithSwaps", b.idle, o.idle, "<=0.7x", o.idle <= 0.7*b.idle},
	}
}

// Retries measures the attempts per request at a pool that fails half of all
// calls.
func Retries(seed uint64) []Figure {
	run := func(ours bool) float64 {
		r := newRand(seed)
		budget := retry.NewBudget(retry.DefaultRatio, retry.DefaultBurst)
		attempts := 0
		const requests = 20_000
		for range requests {
			budget.RecordRequest()
			for number := 1; ; number++ {
				attempts++
				if r.IntN(2) == 0 {
					break
				}
				a := retry.Attempt{Err: rollout.NewError(rollout.KindUpstreamFailed, ""), Repeatable: true, Number: number, Remaining: 1}
				if !retry.Allowed(a) || (ours && !budget.Take()) {
					break
				}
			}
		}
		return float64(attempts) / requests
	}
	b, o := run(false), run(true)
	return []Figure{{"AttemptsPerRequest", b, o, "<=1.2", o <= 1.2}}
}

// Capacity measures the paid upstream time and the share of the load served
// over two hours with one peak and the loss of a failure domain. The baseline
// keeps the upstreams that the peak needs.
func Capacity(seed uint64) []Figure {
	type result struct{ paid, served float64 }
	run := func(ours bool) result {
		return newCapacityRun(seed, ours).run()
	}
	b, o := run(false), run(true)
	return []Figure{
		{"PaidUpstreamMinutes", b.paid, o.paid, "<=0.8x", o.paid <= 0.8*b.paid},
		{"ServedShareOfLoad", b.served, o.served, ">=0.99x", o.served >= 0.99*b.served},
	}
}

// capacityRun plays the platform to the planner, second by second.
type capacityRun struct {
	ours      bool
	noise     func() float64
	planner   *capacity.Planner
	targets   []catalog.Target
	upstreams []catalog.Upstream
	orders    []capacity.Order
	starting  map[string]rollout.Millis
	lost      string
	next      int
}

const (
	capacitySlots   = 8
	capacityPerSite = 4
	startTakesMS    = 45_000
	secondMS        = 1_000
	capacityLength  = 120 * minute
)

func newCapacityRun(seed uint64, ours bool) *capacityRun {
	r := newRand(seed)
	c := &capacityRun{ours: ours, planner: capacity.New(capacity.DefaultConfig()), starting: make(map[string]rollout.Millis)}
	c.noise = func() float64 { return r.NormFloat64() }
	for _, d := range domains {
		c.targets = append(c.targets, catalog.Target{FailureDomain: d, Pool: poolName, Min: 1, Max: 6})
		for range capacityPerSite {
			c.announce(0, d)
		}
	}
	return c
}

func (c *capacityRun) announce(now rollout.Millis, domain string) {
	c.next++
	c.upstreams = append(c.upstreams, catalog.Upstream{
		ID: fmt.Sprintf("u%d", c.next), Pool: poolName, FailureDomain: domain, Slots: capacitySlots, SinceMS: now,
	})
}

// load returns the busy slots that callers ask for at a time.
func (c *capacityRun) load(now rollout.Millis) float64 {
	x := float64(now) / capacityLength
	fromPeak := (x - 0.45) / 0.13
	return 14 + 60*math.Exp(-fromPeak*fromPeak) + 2*c.noise()
}

func (c *capacityRun) run() (out struct{ paid, served float64 }) {
	wanted := 0.0
	for now := rollout.Millis(0); now < capacityLength; now += secondMS {
		c.fail(now)
		load := c.load(now)
		slots := 0.0
		for _, u := range c.upstreams {
			if !u.Leaving {
				slots += float64(u.Slots)
			}
		}
		out.paid += float64(len(c.upstreams)+len(c.starting)) * secondMS / minute
		out.served += math.Min(load, slots)
		wanted += load
		if c.ours {
			c.plan(now, load, slots)
		}
	}
	out.served /= wanted
	return out
}

// fail takes a failure domain away for ten minutes.
func (c *capacityRun) fail(now rollout.Millis) {
	switch now {
	case 80 * minute:
		c.lost = domains[1]
		c.upstreams = slices.DeleteFunc(c.upstreams, func(u catalog.Upstream) bool { return u.FailureDomain == c.lost })
	case 90 * minute:
		c.lost = ""
		if !c.ours {
			for range capacityPerSite {
				c.announce(now, domains[1])
			}
		}
	}
}

func (c *capacityRun) plan(now rollout.Millis, load, slots float64) {
	for id, ready := range c.starting {
		i := slices.IndexFunc(c.orders, func(o capacity.Order) bool { return o.ID == id })
		if now >= ready && c.orders[i].FailureDomain != c.lost {
			delete(c.starting, id)
			c.announce(now, c.orders[i].FailureDomain)
		}
	}
	in := capacity.Input{
		Targets: c.targets, Upstreams: c.upstreams, Orders: c.orders,
		Demand: map[string]capacity.Demand{poolName: {Busy: int(math.Min(load, slots)), Waiting: int(math.Max(0, load-slots))}},
		Idle:   func(string) bool { return true },
	}
	done := capacity.CompletedOrders(in)
	c.orders = slices.DeleteFunc(c.orders, func(o capacity.Order) bool { return slices.Contains(done, o.ID) })
	plan := c.planner.Plan(now, "o", in)
	for _, o := range plan.Orders {
		c.orders = append(c.orders, capacity.Order{Order: o, State: capacity.OrderAccepted, AtMS: now})
		if o.Action == "start" {
			c.starting[o.ID] = now + startTakesMS
			continue
		}
		c.upstreams = slices.DeleteFunc(c.upstreams, func(u catalog.Upstream) bool { return u.ID == o.Upstream })
	}
	for i, u := range c.upstreams {
		if slices.Contains(plan.Drain, u.ID) {
			c.upstreams[i] = u.WithLeaving(true)
		}
	}
}
