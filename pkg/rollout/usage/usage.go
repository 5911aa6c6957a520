// Package usage meters the service that client accounts received and groups it
// into windows. Agents report running totals together with the incarnation of
// their run, so that a repeated or late report is not counted twice. The figures
// of a closed window are final.
package usage

import (
	"cmp"
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	// maxClosedWindows is the number of closed windows above which the oldest
	// are evicted. A window that is not yet reported is never evicted.
	maxClosedWindows = 1_000
	// runRetentionMS is how long the totals of an agent run are kept after its
	// last report.
	runRetentionMS = 24 * 60 * 60 * 1_000
)

// Subject identifies what usage is metered for: a client account in a pool.
type Subject struct {
	Account string
	Pool    string
}

// Figures are the metered amounts.
type Figures struct {
	Requests     uint64 `json:",omitempty"`
	InputTokens  uint64 `json:",omitempty"`
	OutputTokens uint64 `json:",omitempty"`
	UpstreamMS   uint64 `json:",omitempty"`
}

// Line holds the figures of one subject.
type Line struct {
	Subject
	Figures
}

// Report holds the running totals of one agent run.
type Report struct {
	Agent string
	// Incarnation identifies the run. Totals start from zero with each run.
	Incarnation string
	Lines       []Line
}

// Window is a closed usage window.
type Window struct {
	Number       uint64
	FromMS, ToMS rollout.Millis
	// Lines never change once the window is closed.
	Lines []Line
	// Reported is true once the platform has accepted the window.
	Reported bool
}

// CloseWindow is the command that closes the open window.
type CloseWindow struct {
	// Number must be that of the open window. Otherwise the command does
	// nothing.
	Number uint64
	ToMS   rollout.Millis
}

// State is the replicated usage state. Its fields are exported so that
// snapshots contain them.
type State struct {
	// Runs holds the last totals of each agent run, by agent and incarnation.
	Runs map[string]Run
	// Open holds the figures of the open window, sorted by subject.
	Open []Line
	// Windows holds the closed windows, sorted by number.
	Windows []Window
	// NextWindow is the number of the open window.
	NextWindow uint64
	// OpenSinceMS is when the open window began.
	OpenSinceMS rollout.Millis
}

// Run holds the totals of an agent run.
type Run struct {
	// Lines holds the highest totals reported, sorted by subject.
	Lines []Line
	// AtMS is the time of the last report.
	AtMS rollout.Millis
}

// New returns an empty state.
func New() *State { return &State{Runs: make(map[string]Run), NextWindow: 1} }

// Add adds the increase of a report over earlier reports of the same run to the
// open window. A report that is older than the last one adds nothing.
func (s *State) Add(now rollout.Millis, r Report) {
	if s.OpenSinceMS == 0 {
		s.OpenSinceMS = now
	}
	key := r.Agent + "/" + r.Incarnation
	run := s.Runs[key]
	lines := slices.Clone(run.Lines)
	for _, l := range r.Lines {
		old := figuresOf(lines, l.Subject)
		s.Open = addLine(s.Open, Line{l.Subject, l.minus(old)})
		lines = putLine(lines, Line{l.Subject, l.max(old)})
	}
	s.Runs[key] = Run{Lines: lines, AtMS: now}
}

// CloseWindow closes the open window and returns it. It returns false if the
// number is not that of the open window.
func (s *State) CloseWindow(c CloseWindow) (Window, bool) {
	if c.Number != s.NextWindow {
		return Window{}, false
	}
	w := Window{Number: c.Number, FromMS: s.OpenSinceMS, ToMS: c.ToMS, Lines: s.Open}
	s.Windows = append(s.Windows, w)
	s.Open = nil
	s.OpenSinceMS = c.ToMS
	s.NextWindow++
	s.evict(c.ToMS)
	return w, true
}

// MarkReported records that the platform has accepted a window.
func (s *State) MarkReported(number uint64) {
	for i := range s.Windows {
		if s.Windows[i].Number == number {
			s.Windows[i].Reported = true
		}
	}
}

// Unreported returns the closed windows that the platform has not accepted.
func (s *State) Unreported() []Window {
	var ws []Window
	for _, w := range s.Windows {
		if !w.Reported {
			ws = append(ws, w)
		}
	}
	return ws
}

// evict removes the oldest reported windows and the runs whose retention has
// passed.
func (s *State) evict(now rollout.Millis) {
	for len(s.Windows) > maxClosedWindows && s.Windows[0].Reported {
		s.Windows = s.Windows[1:]
	}
	for key, run := range s.Runs {
		if now-run.AtMS > runRetentionMS {
			delete(s.Runs, key)
		}
	}
}

// Plus returns the sum of f and o.
func (f Figures) Plus(o Figures) Figures {
	return Figures{
		Requests:     f.Requests + o.Requests,
		InputTokens:  f.InputTokens + o.InputTokens,
		OutputTokens: f.OutputTokens + o.OutputTokens,
		UpstreamMS:   f.UpstreamMS + o.UpstreamMS,
	}
}

// max returns the higher value of each amount.
func (f Figures) max(o Figures) Figures {
	return Figures{
		Requests:     max(f.Requests, o.Requests),
		InputTokens:  max(f.InputTokens, o.InputTokens),
		OutputTokens: max(f.OutputTokens, o.OutputTokens),
		UpstreamMS:   max(f.UpstreamMS, o.UpstreamMS),
	}
}

// minus returns f - o. An amount that is lower in f than in o becomes zero.
func (f Figures) minus(o Figures) Figures {
	upper := f.max(o)
	return Figures{
		Requests:     upper.Requests - o.Requests,
		InputTokens:  upper.InputTokens - o.InputTokens,
		OutputTokens: upper.OutputTokens - o.OutputTokens,
		UpstreamMS:   upper.UpstreamMS - o.UpstreamMS,
	}
}

func compareSubject(l Line, s Subject) int {
	return cmp.Or(cmp.Compare(l.Account, s.Account), cmp.Compare(l.Pool, s.Pool))
}

// addLine adds figures to the line of their subject. Figures that are all zero
// create no line.
func addLine(lines []Line, l Line) []Line {
	if l.Figures == (Figures{}) {
		return lines
	}
	return putLine(lines, Line{l.Subject, figuresOf(lines, l.Subject).Plus(l.Figures)})
}

// figuresOf returns the figures of a subject, or zero figures if it has no line.
func figuresOf(lines []Line, s Subject) Figures {
	i, ok := slices.BinarySearchFunc(lines, s, compareSubject)
	if !ok {
		return Figures{}
	}
	return lines[i].Figures
}

// putLine inserts a line, or replaces the line of the same subject.
func putLine(lines []Line, l Line) []Line {
	i, ok := slices.BinarySearchFunc(lines, l.Subject, compareSubject)
	if ok {
		lines[i] = l
		return lines
	}
	return slices.Insert(lines, i, l)
}

// Meter keeps the running totals of one agent run. It is not safe for
// concurrent use.
type Meter struct {
	lines []Line
}

// NewMeter returns a meter whose totals are zero.
func NewMeter() *Meter { return &Meter{} }

// Add adds figures to the totals of a subject.
func (m *Meter) Add(s Subject, f Figures) { m.lines = addLine(m.lines, Line{s, f}) }

// Lines returns the running totals, sorted by subject.
func (m *Meter) Lines() []Line { return slices.Clone(m.lines) }
