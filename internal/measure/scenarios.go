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

// Comparison is the value of one metric under the baseline policy and under the decision cores.
type Comparison struct {
	Name string
	// Baseline is the value under the baseline policy, Ours under the decision cores.
	Baseline, Ours float64
	// Aim is the bound that Ours should meet. With the suffix x it is a multiple of Baseline.
	Aim string
	// Met reports whether Ours meets Aim.
	Met bool
}

const (
	minuteMS     = 60_000
	accountCount = 8
)

// Fairness measures the tokens served to the worst-served of eight client accounts, relative to an
// equal share or to its demand if that is lower. One account sends ten times as many requests as
// each of the others (Cartago: 9 engines, 2 entries).
func Fairness(seed uint64) []Comparison {
	worstShare := func(useCores bool) float64 {
		c := newCluster(seed, 9, 8, 2, useCores)
		served := make(map[string]float64)
		const durationMS = 10 * minuteMS
		const meanIntervalMS = 380.0
		for a := range accountCount {
			name := fmt.Sprintf("account-%d", a)
			intervalMS := meanIntervalMS
			if a == 0 {
				intervalMS /= 10
			}
			var arrival func()
			arrival = func() {
				tokens := 40 + c.rand.IntN(160)
				c.arrive(&request{account: name, weight: 1, prefix: c.rand.IntN(30), promptTokens: 200, outputTokens: tokens, slowdown: 1, onDone: func(ok bool, _ *engine) {
					if ok && c.sched.now <= durationMS {
						served[name] += float64(tokens)
					}
				}})
				c.sched.after(rollout.Millis(c.rand.ExpFloat64()*intervalMS), arrival)
			}
			c.sched.after(0, arrival)
		}
		c.sched.runUntil(durationMS)
		total := 0.0
		worst := math.MaxFloat64
		for a := range accountCount {
			tokens := served[fmt.Sprintf("account-%d", a)]
			total += tokens
			worst = math.Min(worst, tokens)
		}
		demand := durationMS / meanIntervalMS * 120
		return worst / math.Min(total/accountCount, demand)
	}
	baseline, ours := worstShare(false), worstShare(true)
	return []Comparison{{"WorstServedShareOfFair", baseline, ours, ">=0.9", ours >= 0.9}}
}

// Prefixes measures the hit rate of the prefix cache, the load of the busiest engine over the mean
// and the 95th percentile of latency (Cartago: replies are drafted from a few templates).
func Prefixes(seed uint64) []Comparison {
	type result struct{ hitRate, imbalance, latency float64 }
	run := func(useCores bool) result {
		c := newCluster(seed, 9, 8, 2, useCores)
		var latencies []float64
		var arrival func()
		arrival = func() {
			prefix := int(math.Min(59, math.Floor(c.rand.ExpFloat64()*22)))
			r := &request{account: "a", weight: 1, prefix: prefix, promptTokens: 1_200, outputTokens: 60 + c.rand.IntN(120), slowdown: 1}
			r.onDone = func(bool, *engine) { latencies = append(latencies, float64(c.sched.now-r.arrived)) }
			c.arrive(r)
			c.sched.after(rollout.Millis(c.rand.ExpFloat64()*90), arrival)
		}
		c.sched.after(0, arrival)
		c.sched.runUntil(10 * minuteMS)
		hits, lookups, maxTokens, totalTokens := 0, 0, 0, 0
		for _, e := range c.engines {
			hits += e.hits
			lookups += e.hits + e.misses
			maxTokens = max(maxTokens, e.generatedTokens)
			totalTokens += e.generatedTokens
		}
		slices.Sort(latencies)
		return result{
			float64(hits) / float64(lookups), float64(maxTokens) / (float64(totalTokens) / float64(len(c.engines))), latencies[len(latencies)*95/100],
		}
	}
	baseline, ours := run(false), run(true)
	return []Comparison{
		{"PrefixHitShare", baseline.hitRate, ours.hitRate, ">=1.5x", ours.hitRate >= 1.5*baseline.hitRate},
		{"BusiestOverMean", baseline.imbalance, ours.imbalance, "<=1.25", ours.imbalance <= 1.25},
		{"LatencyP95MS", baseline.latency, ours.latency, "<=1x", ours.latency <= baseline.latency},
	}
}

// Steps measures how long three trainers wait for each step and how many tokens a step costs. One
// engine is slow and another crashes for two minutes (Sudurland: 9 engines, stragglers).
func Steps(seed uint64) []Comparison {
	type result struct{ idle, tokens float64 }
	run := func(useCores bool) result {
		c := newCluster(seed, 9, 16, 2, useCores)
		c.engines[4].speed = 0.45
		c.sched.after(4*minuteMS, c.engines[2].crash)
		c.sched.after(6*minuteMS, c.engines[2].restart)
		idle := 0.0
		steps := 0
		for g := range 3 {
			t := &trainer{cluster: c, useCores: useCores, name: fmt.Sprintf("trainer-%d", g), sampleCount: 48, computeMS: 8_000}
			t.onStep = func(waited rollout.Millis) {
				idle += float64(waited)
				steps++
			}
			c.sched.after(rollout.Millis(g*3_000), t.startStep)
		}
		c.sched.runUntil(20 * minuteMS)
		tokens := 0
		for _, e := range c.engines {
			tokens += e.generatedTokens
		}
		return result{idle / float64(max(steps, 1)), float64(tokens) / float64(max(steps, 1))}
	}
	baseline, ours := run(false), run(true)
	return []Comparison{
		{"TrainerIdleMSPerStep", baseline.idle, ours.idle, "<=0.7x", ours.idle <= 0.7*baseline.idle},
		{"TokensPerStep", baseline.tokens, ours.tokens, "<=1.05x", ours.tokens <= 1.05*baseline.tokens},
	}
}

// trainer requests one step after another and computes for a fixed time after each.
type trainer struct {
	cluster *cluster
	// useCores selects hedging, with cancellation of the attempts that are no longer needed.
	useCores    bool
	name        string
	sampleCount int
	computeMS   rollout.Millis
	// onStep is called when all samples of a step are complete.
	onStep func(waited rollout.Millis)
	// onSample, which may be nil, is called with the execution that completed each sample.
	onSample func(x *execution)
}

// startStep requests all samples of a step, and starts the next step computeMS after the last of
// them is complete.
func (t *trainer) startStep() {
	start := t.cluster.sched.now
	remaining := t.sampleCount
	step := hedge.New(hedge.DefaultConfig(), t.sampleCount)
	for range t.sampleCount {
		s := &sample{trainer: t, step: step, tokens: 80 + t.cluster.rand.IntN(120)}
		s.onDone = func() {
			remaining--
			if remaining == 0 {
				t.onStep(t.cluster.sched.now - start)
				t.cluster.sched.after(t.computeMS, t.startStep)
			}
		}
		s.startAttempt(s.randomSlowdown())
		if t.useCores {
			s.watchForHedge()
		}
	}
}

// sample is one sample of a step. It has a second attempt if it is hedged, and a new one for each
// attempt that failed.
type sample struct {
	trainer  *trainer
	step     *hedge.Step
	tokens   int
	done     bool
	hedged   bool
	attempts []*request
	onDone   func()
}

// randomSlowdown makes one attempt in 40 a straggler that generates tokens at a fifth of the rate.
func (s *sample) randomSlowdown() float64 {
	if s.trainer.cluster.rand.IntN(40) == 0 {
		return 5
	}
	return 1
}

// startAttempt sends the request of one attempt. A failed attempt is repeated after 200 ms
// unless the sample is complete.
func (s *sample) startAttempt(slowdown float64) {
	r := &request{account: s.trainer.name, weight: 1, prefix: 1, promptTokens: 300, outputTokens: s.tokens, slowdown: slowdown}
	r.onDone = func(ok bool, _ *engine) {
		switch {
		case s.done:
		case !ok:
			s.trainer.cluster.sched.after(200, func() { s.startAttempt(s.randomSlowdown()) })
		default:
			s.complete(r)
		}
	}
	s.attempts = append(s.attempts, r)
	s.trainer.cluster.arrive(r)
}

// complete completes the sample with the attempt r. With the decision cores it also records the
// duration of r for hedging and cancels the other attempts.
func (s *sample) complete(r *request) {
	s.done = true
	if s.trainer.onSample != nil {
		s.trainer.onSample(r.exec)
	}
	if s.trainer.useCores {
		elapsed, _ := r.exec.progress(s.trainer.cluster.sched.now)
		s.step.RecordSuccess(hedge.Attempt{ElapsedMS: elapsed, Tokens: s.tokens})
		for _, other := range s.attempts {
			if other != r && other.exec != nil {
				other.exec.engine.cancel(other.exec)
			}
		}
	}
	s.onDone()
}

// watchForHedge checks the last attempt every 100 ms and starts a second one once if the
// hedging of the step allows it.
func (s *sample) watchForHedge() {
	s.trainer.cluster.sched.after(100, func() {
		if s.done || s.hedged {
			return
		}
		last := s.attempts[len(s.attempts)-1]
		if last.exec != nil {
			elapsed, tokens := last.exec.progress(s.trainer.cluster.sched.now)
			if s.step.TryHedge(hedge.Attempt{ElapsedMS: elapsed, Tokens: tokens}) {
				s.hedged = true
				s.startAttempt(s.randomSlowdown())
				return
			}
		}
		s.watchForHedge()
	})
}

// Staleness measures by how many weight versions samples lag behind the newest when they complete.
// A version is published every 30 s, and each swap takes 2 s.
func Staleness(seed uint64) []Comparison {
	const publishMS, fetchMS, swapMS = 30_000, 3_000, 2_000
	type result struct{ lag, idle float64 }
	run := func(useCores bool) result {
		c := newCluster(seed, 9, 16, 2, useCores)
		var publish func()
		publish = func() {
			c.publish(fetchMS, swapMS)
			c.sched.after(publishMS, publish)
		}
		c.sched.after(0, publish)
		lag, count, idle, steps := 0.0, 0.0, 0.0, 0.0
		for g := range 3 {
			t := &trainer{cluster: c, useCores: useCores, name: fmt.Sprintf("trainer-%d", g), sampleCount: 24, computeMS: 4_000}
			t.onStep = func(waited rollout.Millis) { idle, steps = idle+float64(waited), steps+1 }
			t.onSample = func(x *execution) {
				lag += float64(c.published - x.version)
				count++
			}
			c.sched.after(rollout.Millis(g*1_500), t.startStep)
		}
		c.sched.runUntil(20 * minuteMS)
		return result{lag / count, idle / steps}
	}
	baseline, ours := run(false), run(true)
	return []Comparison{
		{"SampleLagVersions", baseline.lag, ours.lag, "<=0.9x", ours.lag <= 0.9*baseline.lag},
		{"TrainerIdleMSWithSwaps", baseline.idle, ours.idle, "<=0.7x", ours.idle <= 0.7*baseline.idle},
	}
}

// Retries measures the attempts per request for a pool that fails half of all attempts.
func Retries(seed uint64) []Comparison {
	run := func(useCores bool) float64 {
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
				if !retry.Allowed(a) || (useCores && !budget.Take()) {
					break
				}
			}
		}
		return float64(attempts) / requests
	}
	baseline, ours := run(false), run(true)
	return []Comparison{{"AttemptsPerRequest", baseline, ours, "<=1.2", ours <= 1.2}}
}

// Capacity measures the paid upstream time and the share of the load that is served during two
// hours with one peak and the loss of a failure domain. The baseline runs enough upstreams for the
// peak all the time.
func Capacity(seed uint64) []Comparison {
	type result struct{ paid, served float64 }
	run := func(useCores bool) result {
		return newCapacityRun(seed, useCores).run()
	}
	baseline, ours := run(false), run(true)
	return []Comparison{
		{"PaidUpstreamMinutes", baseline.paid, ours.paid, "<=0.8x", ours.paid <= 0.8*baseline.paid},
		{"ServedShareOfLoad", baseline.served, ours.served, ">=0.99x", ours.served >= 0.99*baseline.served},
	}
}

// capacityRun simulates the platform that executes the orders of the planner, in steps of one
// second.
type capacityRun struct {
	// useCores selects the planner instead of a constant number of upstreams.
	useCores  bool
	noise     func() float64
	planner   *capacity.Planner
	targets   []catalog.Target
	upstreams []catalog.Upstream
	orders    []capacity.Order
	// starting maps the ID of a start order to the time at which its upstream is ready.
	starting map[string]rollout.Millis
	// failedDomain is the failure domain that is down, or empty.
	failedDomain string
	// lastUpstream is the number in the ID of the upstream added last.
	lastUpstream int
}

const (
	slotsPerUpstream   = 8
	upstreamsPerDomain = 4
	startupMS          = 45_000
	secondMS           = 1_000
	capacityDurationMS = 120 * minuteMS
)

func newCapacityRun(seed uint64, useCores bool) *capacityRun {
	r := newRand(seed)
	c := &capacityRun{useCores: useCores, planner: capacity.New(capacity.DefaultConfig()), starting: make(map[string]rollout.Millis)}
	c.noise = func() float64 { return r.NormFloat64() }
	for _, d := range domains {
		c.targets = append(c.targets, catalog.Target{FailureDomain: d, Pool: poolName, Min: 1, Max: 6})
		for range upstreamsPerDomain {
			c.addUpstream(0, d)
		}
	}
	return c
}

func (c *capacityRun) addUpstream(now rollout.Millis, domain string) {
	c.lastUpstream++
	c.upstreams = append(c.upstreams, catalog.Upstream{
		ID: fmt.Sprintf("u%d", c.lastUpstream), Pool: poolName, FailureDomain: domain, Slots: slotsPerUpstream, SinceMS: now,
	})
}

// load returns how many slots the callers need at a time.
func (c *capacityRun) load(now rollout.Millis) float64 {
	x := float64(now) / capacityDurationMS
	fromPeak := (x - 0.45) / 0.13
	return 14 + 60*math.Exp(-fromPeak*fromPeak) + 2*c.noise()
}

func (c *capacityRun) run() (out struct{ paid, served float64 }) {
	totalLoad := 0.0
	for now := rollout.Millis(0); now < capacityDurationMS; now += secondMS {
		c.updateFailure(now)
		load := c.load(now)
		slots := 0.0
		for _, u := range c.upstreams {
			if !u.Leaving {
				slots += float64(u.Slots)
			}
		}
		out.paid += float64(len(c.upstreams)+len(c.starting)) * secondMS / minuteMS
		out.served += math.Min(load, slots)
		totalLoad += load
		if c.useCores {
			c.plan(now, load, slots)
		}
	}
	out.served /= totalLoad
	return out
}

// updateFailure takes a failure domain down for ten minutes. The baseline gets its upstreams back
// afterwards; the planner has to order them again.
func (c *capacityRun) updateFailure(now rollout.Millis) {
	switch now {
	case 80 * minuteMS:
		c.failedDomain = domains[1]
		c.upstreams = slices.DeleteFunc(c.upstreams, func(u catalog.Upstream) bool { return u.FailureDomain == c.failedDomain })
	case 90 * minuteMS:
		c.failedDomain = ""
		if !c.useCores {
			for range upstreamsPerDomain {
				c.addUpstream(now, domains[1])
			}
		}
	}
}

// plan completes the starts that are due, runs the planner and applies its orders and drains.
func (c *capacityRun) plan(now rollout.Millis, load, slots float64) {
	for id, ready := range c.starting {
		i := slices.IndexFunc(c.orders, func(o capacity.Order) bool { return o.ID == id })
		if now >= ready && c.orders[i].FailureDomain != c.failedDomain {
			delete(c.starting, id)
			c.addUpstream(now, c.orders[i].FailureDomain)
		}
	}
	in := capacity.Input{
		Targets: c.targets, Upstreams: c.upstreams, Orders: c.orders,
		Demand: map[string]capacity.Demand{poolName: {Busy: int(math.Min(load, slots)), Waiting: int(math.Max(0, load-slots))}},
		Idle:   func(string) bool { return true },
	}
	completed := capacity.CompletedOrders(in)
	c.orders = slices.DeleteFunc(c.orders, func(o capacity.Order) bool { return slices.Contains(completed, o.ID) })
	plan := c.planner.Plan(now, "o", in)
	for _, o := range plan.Orders {
		c.orders = append(c.orders, capacity.Order{Order: o, State: capacity.OrderAccepted, AtMS: now})
		if o.Action == "start" {
			c.starting[o.ID] = now + startupMS
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
