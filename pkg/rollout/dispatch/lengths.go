package dispatch

import "cmp"

const (
	// newestLengthWeight is the weight of the newest task in the moving average
	// of the length. maxRelativeLength bounds the length of a task as a multiple
	// of that average, because estimates are often far off.
	newestLengthWeight = 0.02
	maxRelativeLength  = 4.0
	// tokensPerEventStep is the relative change of the tokens per event with each text.
	tokensPerEventStep = 0.05
	// longestDecay is the factor by which each text reduces the length of the longest one.
	longestDecay = 0.9995
)

// lengths relates the estimates of lengths, in tokens, to each other and to events.
type lengths struct {
	// meanTokens is the moving average of ExpectedTokens over the tasks.
	meanTokens float64
	// tokensPerEvent is the running median of the estimate of a text divided by its events,
	// by model. Estimates are right at the median.
	tokensPerEvent map[string]float64
	// longestEvents is the number of events of the longest recent text, by model.
	longestEvents map[string]float64
}

func newLengths() lengths {
	return lengths{tokensPerEvent: make(map[string]float64), longestEvents: make(map[string]float64)}
}

// queued adds the estimate of a task to the moving average.
func (l *lengths) queued(t Task) {
	if t.ExpectedTokens <= 0 {
		return
	}
	if l.meanTokens == 0 {
		l.meanTokens = float64(t.ExpectedTokens)
	}
	l.meanTokens += newestLengthWeight * (float64(t.ExpectedTokens) - l.meanTokens)
}

// completed records the number of events of a complete text.
func (l *lengths) completed(t Task, events float64) {
	l.longestEvents[t.Model] = max(events, longestDecay*l.longestEvents[t.Model])
	if t.ExpectedTokens <= 0 || events <= 0 {
		return
	}
	ratio := float64(t.ExpectedTokens) / events
	switch known := l.tokensPerEvent[t.Model]; {
	case known == 0:
		l.tokensPerEvent[t.Model] = ratio
	case ratio > known:
		l.tokensPerEvent[t.Model] = min(known*(1+tokensPerEventStep), ratio)
	default:
		l.tokensPerEvent[t.Model] = max(known/(1+tokensPerEventStep), ratio)
	}
}

// events returns the estimate of a task in events. Until a text of its model is complete, an
// event is taken for a token.
func (l *lengths) events(t Task) float64 {
	return float64(t.ExpectedTokens) / cmp.Or(l.tokensPerEvent[t.Model], 1)
}

// left returns how many more events a text with some events is expected to get. One without an
// estimate, or that exceeds its estimate, is expected to double, as lengths have long tails.
func (l *lengths) left(t Task, there float64) float64 {
	return cmp.Or(max(l.events(t)-there, 0), there)
}

// relative returns the expected length of a text, which may have exceeded its estimate, divided
// by the mean estimate, or 0 if that is not known.
func (l *lengths) relative(t Task) float64 {
	if l.meanTokens == 0 {
		return 0
	}
	there := float64(t.TextEvents)
	tokens := (there + l.left(t, there)) * cmp.Or(l.tokensPerEvent[t.Model], 1)
	return min(tokens/l.meanTokens, maxRelativeLength)
}
