// Package usage adds up the service that client accounts had and closes it in
// windows. Agents report running totals under the number of their run, so that
// a repeated or late report changes nothing that was counted before. The
// figures of a closed window are never computed again.
package usage

import (
	"cmp"
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	// windowsKept bounds the reported windows that are remembered.
	windowsKept = 1_000
	// reportRetentionMS is how long the totals of an agent run are kept after
	// its last report.
	reportRetentionMS = 24 * 60 * 60 * 1_000
)

// Subject is what figures are kept for.
type Subject struct {
	Account string
	Pool    string
}

// Figures are amounts of service.
type Figures struct {
	Requests     uint64 `json:",omitempty"`
	InputTokens  uint64 `json:",omitempty"`
	OutputTokens uint64 `json:",omitempty"`
	UpstreamMS   uint64 `json:",omitempty"`
}

// Line is one subject with its figures.
type Line struct {
	Subject
	Figures
}

// Report holds the running totals of one agent run.
type Report struct {
	Agent string
	// Incarnation names the run. Totals start from zero with each run.
	Incarnation string
	Lines       []Line
}

// Window is a closed usage window.
type Window struct {
	Number       uint64
	FromMS, ToMS rollout.Millis
	// Lines never change once the window is closed.
	Lines    []Line
	Reported bool
}

// Close asks for the window to be closed.
type Close struct {
	// Number is the window that is to be closed. Another number does nothing.
	Number uint64
	ToMS   rollout.Millis
}

// State holds all figures.
type State struct {
	// Runs holds the last totals of each agent run, by agent and incarnation.
	Runs map[string]Run
	// Open holds what was metered since the last close, sorted by subject.
	Open []Line
	// Windows are closed, in order of number.
	Windows []Window
	// NextWindow is the number of the open window.
	NextWindow uint64
	// OpenSinceMS is when the open window began.
	OpenSinceMS rollout.Millis
}

// Run is the last report of an agent run.
type Run struct {
	Lines []Line
	AtMS  rollout.Millis
}

// New returns an empty book.
func New() *State { return &State{Runs: make(map[string]Run), NextWindow: 1} }

// Add adds what a report has beyond the last one of the same run.
func (b *State) Add(now rollout.Millis, r Report) {
	if b.OpenSinceMS == 0 {
		b.OpenSinceMS = now
	}
	key := r.Agent + "/" + r.Incarnation
	run := b.Runs[key]
	lines := slices.Clone(run.Lines)
	for _, l := range r.Lines {
		old := find(lines, l.Subject)
		b.Open = add(b.Open, Line{l.Subject, l.minus(old)})
		lines = set(lines, Line{l.Subject, l.max(old)})
	}
	b.Runs[key] = Run{Lines: lines, AtMS: now}
}

// Close closes the open window. It returns false when the window is not the
// open one.
func (b *State) Close(c Close) (Window, bool) {
	if c.Number != b.NextWindow {
		return Window{}, false
	}
	w := Window{Number: c.Number, FromMS: b.OpenSinceMS, ToMS: c.ToMS, Lines: b.Open}
	b.Windows = append(b.Windows, w)
	b.Open = nil
	b.OpenSinceMS = c.ToMS
	b.NextWindow++
	b.forget(c.ToMS)
	return w, true
}

// MarkReported notes that the platform has accepted a window.
func (b *State) MarkReported(number uint64) {
	for i := range b.Windows {
		if b.Windows[i].Number == number {
			b.Windows[i].Reported = true
		}
	}
}

// Unreported returns the closed windows that the platform has not accepted.
func (b *State) Unreported() []Window {
	var ws []Window
	for _, w := range b.Windows {
		if !w.Reported {
			ws = append(ws, w)
		}
	}
	return ws
}

// forget drops old reported windows and old runs.
func (b *State) forget(now rollout.Millis) {
	for len(b.Windows) > windowsKept && b.Windows[0].Reported {
		b.Windows = b.Windows[1:]
	}
	for key, run := range b.Runs {
		if now-run.AtMS > reportRetentionMS {
			delete(b.Runs, key)
		}
	}
}

// Plus returns the sum.
func (f Figures) Plus(o Figures) Figures {
	return Figures{
		Requests:     f.Requests + o.Requests,
		InputTokens:  f.InputTokens + o.InputTokens,
		OutputTokens: f.OutputTokens + o.OutputTokens,
		UpstreamMS:   f.UpstreamMS + o.UpstreamMS,
	}
}

// max returns the higher of each amount.
func (f Figures) max(o Figures) Figures {
	return Figures{
		Requests:     max(f.Requests, o.Requests),
		InputTokens:  max(f.InputTokens, o.InputTokens),
		OutputTokens: max(f.OutputTokens, o.OutputTokens),
		UpstreamMS:   max(f.UpstreamMS, o.UpstreamMS),
	}
}

// minus returns what f has beyond o, and never less than zero.
func (f Figures) minus(o Figures) Figures {
	top := f.max(o)
	return Figures{
		Requests:     top.Requests - o.Requests,
		InputTokens:  top.InputTokens - o.InputTokens,
		OutputTokens: top.OutputTokens - o.OutputTokens,
		UpstreamMS:   top.UpstreamMS - o.UpstreamMS,
	}
}

func compare(l Line, s Subject) int {
	return cmp.Or(cmp.Compare(l.Account, s.Account), cmp.Compare(l.Pool, s.Pool))
}

func add(lines []Line, l Line) []Line {
	if l.Figures == (Figures{}) {
		return lines
	}
	return set(lines, Line{l.Subject, find(lines, l.Subject).Plus(l.Figures)})
}

func find(lines []Line, s Subject) Figures {
	i, ok := slices.BinarySearchFunc(lines, s, compare)
	if !ok {
		return Figures{}
	}
	return lines[i].Figures
}

func set(lines []Line, l Line) []Line {
	i, ok := slices.BinarySearchFunc(lines, l.Subject, compare)
	if ok {
		lines[i] = l
		return lines
	}
	return slices.Insert(lines, i, l)
}

// Meter keeps the running totals of one agent run. It is used by one thread.
type Meter struct {
	lines []Line
}

// NewMeter returns a meter at zero.
func NewMeter() *Meter { return &Meter{} }

// Add adds service to a subject.
func (m *Meter) Add(s Subject, f Figures) { m.lines = add(m.lines, Line{s, f}) }

// Lines returns the running totals, sorted.
func (m *Meter) Lines() []Line { return slices.Clone(m.lines) }
