// Package stream hands each sample of a step to its trainer exactly once. The
// log holds the identity, weight versions, digest and position of a sample;
// the payload stays with its holders. A trainer pulls with a cursor, and the
// cursor acknowledges what came before it.
package stream

import (
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
)

// MaxStepSize bounds the samples of one step.
const MaxStepSize = 65_536

// stepsKept bounds the whole steps that are remembered per group, so that a
// step asked for again is recognised.
const stepsKept = 64

// OpenStep asks for the samples of a step.
type OpenStep struct {
	Group string
	Step  string
	Size  int
	// Entry is the entry that will run the step.
	Entry string
	// OwnerGone lets the entry take the step over from another. Only the
	// leader sets it.
	OwnerGone bool
}

// Commit offers a finished sample.
type Commit struct {
	Group string
	Step  string
	Index int
	// Attempt names the attempt that produced it.
	Attempt string
	// Versions are the weight versions that produced it, in order of use.
	Versions []uint64
	// Digest is the digest of the payload.
	Digest string
	Score  float64
	// Holders are the addresses that hold the payload.
	Holders []string
	// Refused tells why the sample can never be made. Its position is void and
	// closes the index, so that the step can become whole.
	Refused string `json:",omitempty"`
}

// Handover asks for the samples after a cursor and acknowledges those up to
// it.
type Handover struct {
	Group string
	After uint64
	Max   int
}

// Lose reports that no holder has the payload of a sample any more.
type Lose struct {
	Group    string
	Position uint64
	Attempt  string
}

// Sample is a committed sample.
type Sample struct {
	// Position is its place in the stream of the group, from 1, without gaps.
	Position uint64
	Step     string
	Index    int
	Attempt  string
	Versions []uint64
	Digest   string
	Score    float64
	Holders  []string
	// Void positions hold no sample. After "stale" and "lost" another sample
	// takes the place in the step at a later position; after any other reason
	// none does.
	Void string `json:",omitempty"`
}

// Step is a step of a trainer group.
type Step struct {
	ID    string
	Size  int
	Entry string
	// Positions holds the position of the live sample of each index, or zero.
	Positions []uint64
	// Settled steps are whole and acknowledged. It is set in answers only.
	Settled bool `json:",omitempty"`
}

// CommitResult is the answer to Commit.
type CommitResult struct {
	Position uint64
	// Duplicate means that another attempt was first.
	Duplicate bool
	// Stale means that the sample is refused and the index is still open.
	Stale bool
}

// HandoverResult is the answer to Handover.
type HandoverResult struct {
	Samples []Sample
	// Acknowledged is the cursor up to which all was acknowledged.
	Acknowledged uint64
	// OpenSteps names the steps that are not whole.
	OpenSteps []Step
}

// GroupStream is the stream of one trainer group.
type GroupStream struct {
	// Next is the next position to give.
	Next uint64
	// Acknowledged < Next. It never falls.
	Acknowledged uint64
	// Samples follow Acknowledged in order of position.
	Samples []Sample
	// Steps in the order in which they were opened.
	Steps []Step
	// Handed counts the samples handed over and acknowledged, Stale and Lost
	// those made void.
	Handed, Stale, Lost uint64
}

// Streams holds the streams of all trainer groups.
type Streams struct {
	Groups map[string]*GroupStream
}

// New returns no streams.
func New() *Streams { return &Streams{Groups: make(map[string]*GroupStream)} }

// Commit takes a sample. Of two copies the first wins.
func (s *Streams) Commit(g catalog.Group, c Commit) (CommitResult, error) {
	gs, step, err := s.find(c.Group, c.Step)
	if err != nil {
		return CommitResult{}, err
	}
	if c.Index < 0 || c.Index >= step.Size {
		return CommitResult{}, rollout.NewError(rollout.KindInvalidInput, "index %d outside step %s of %d", c.Index, c.Step, step.Size)
	}
	if p := step.Positions[c.Index]; p != 0 {
		return CommitResult{Position: p, Duplicate: true}, nil
	}
	if c.Refused == "" && len(c.Versions) == 0 {
		return CommitResult{}, rollout.NewError(rollout.KindInvalidInput, "sample without weight version")
	}
	if c.Refused == "" && isStale(g, c.Versions) {
		gs.Stale++
		return CommitResult{Stale: true}, nil
	}
	p := gs.Next
	gs.Next++
	step.Positions[c.Index] = p
	gs.Samples = append(gs.Samples, Sample{
		Position: p, Step: c.Step, Index: c.Index, Attempt: c.Attempt,
		Versions: c.Versions, Digest: c.Digest, Score: c.Score, Holders: c.Holders, Void: c.Refused,
	})
	return CommitResult{Position: p}, nil
}

// Handover acknowledges up to the cursor and returns what follows. Samples
// that the bound in force does not allow are made void first.
func (s *Streams) Handover(g catalog.Group, h Handover) (HandoverResult, error) {
	gs := s.group(h.Group)
	if h.After < gs.Acknowledged {
		return HandoverResult{}, rollout.NewError(rollout.KindConflict,
			"cursor %d is behind %d, which was acknowledged", h.After, gs.Acknowledged)
	}
	if h.After >= gs.Next {
		return HandoverResult{}, rollout.NewError(rollout.KindConflict,
			"cursor %d is ahead of the last position %d", h.After, gs.Next-1)
	}
	gs.acknowledge(h.After)
	out := HandoverResult{Acknowledged: gs.Acknowledged}
	for i := range gs.Samples {
		if len(out.Samples) >= h.Max {
			break
		}
		sample := &gs.Samples[i]
		if sample.Void == "" && isStale(g, sample.Versions) {
			gs.void(sample, "stale")
			gs.Stale++
		}
		out.Samples = append(out.Samples, *sample)
	}
	out.OpenSteps = gs.openSteps()
	return out, nil
}

// Lose makes a sample void whose payload is gone.
func (s *Streams) Lose(l Lose) {
	gs := s.group(l.Group)
	for i := range gs.Samples {
		sample := &gs.Samples[i]
		if sample.Position == l.Position && sample.Attempt == l.Attempt && sample.Void == "" {
			gs.void(sample, "lost")
			gs.Lost++
		}
	}
}

// OpenStep opens a step, or returns the one that is there. An entry takes a
// step over only from an owner that is gone.
func (s *Streams) OpenStep(o OpenStep) (Step, error) {
	if o.Size < 1 || o.Size > MaxStepSize {
		return Step{}, rollout.NewError(rollout.KindInvalidInput, "step size %d outside 1 to %d", o.Size, MaxStepSize)
	}
	gs := s.group(o.Group)
	for i := range gs.Steps {
		step := &gs.Steps[i]
		if step.ID != o.Step {
			continue
		}
		if step.Size != o.Size {
			return Step{}, rollout.NewError(rollout.KindConflict, "step %s has size %d, not %d", o.Step, step.Size, o.Size)
		}
		if o.OwnerGone {
			step.Entry = o.Entry
		}
		out := step.clone()
		out.Settled = gs.settled(*step)
		return out, nil
	}
	step := Step{ID: o.Step, Size: o.Size, Entry: o.Entry, Positions: make([]uint64, o.Size)}
	gs.Steps = append(gs.Steps, step)
	gs.forgetSteps()
	return step.clone(), nil
}

// Owner returns the entry that runs a step, or an empty name.
func (s *Streams) Owner(group, step string) string {
	gs := s.Groups[group]
	if gs == nil {
		return ""
	}
	for _, st := range gs.Steps {
		if st.ID == step {
			return st.Entry
		}
	}
	return ""
}

func (s *Streams) find(group, step string) (*GroupStream, *Step, error) {
	gs := s.group(group)
	for i := range gs.Steps {
		if gs.Steps[i].ID == step {
			return gs, &gs.Steps[i], nil
		}
	}
	return nil, nil, rollout.NewError(rollout.KindNotFound, "no step %s in group %s", step, group)
}

func (s *Streams) group(name string) *GroupStream {
	gs := s.Groups[name]
	if gs == nil {
		gs = &GroupStream{Next: 1}
		s.Groups[name] = gs
	}
	return gs
}

func (gs *GroupStream) acknowledge(after uint64) {
	keep := 0
	for keep < len(gs.Samples) && gs.Samples[keep].Position <= after {
		if gs.Samples[keep].Void == "" {
			gs.Handed++
		}
		keep++
	}
	gs.Samples = slices.Clone(gs.Samples[keep:])
	gs.Acknowledged = after
}

// forgetSteps drops the oldest steps that are whole and acknowledged.
func (gs *GroupStream) forgetSteps() {
	for len(gs.Steps) > stepsKept {
		i := slices.IndexFunc(gs.Steps, func(st Step) bool { return gs.settled(st) })
		if i < 0 {
			return
		}
		gs.Steps = slices.Delete(gs.Steps, i, i+1)
	}
}

func (gs *GroupStream) openSteps() []Step {
	var open []Step
	for _, st := range gs.Steps {
		if !st.Whole() {
			open = append(open, st.clone())
		}
	}
	return open
}

func (gs *GroupStream) settled(st Step) bool {
	return st.Whole() && slices.Max(st.Positions) <= gs.Acknowledged
}

func (gs *GroupStream) void(sample *Sample, reason string) {
	sample.Void = reason
	for i := range gs.Steps {
		if gs.Steps[i].ID == sample.Step {
			gs.Steps[i].Positions[sample.Index] = 0
		}
	}
}

// Missing returns the indexes that have no live sample.
func (st Step) Missing() []int {
	var missing []int
	for i, p := range st.Positions {
		if p == 0 {
			missing = append(missing, i)
		}
	}
	return missing
}

// VersionRange returns the oldest and the newest weight version of the sample.
// Both are zero for a position without a sample.
func (sm Sample) VersionRange() (oldest, newest uint64) {
	if len(sm.Versions) == 0 {
		return 0, 0
	}
	return slices.Min(sm.Versions), slices.Max(sm.Versions)
}

// Whole tells whether each index has a live sample.
func (st Step) Whole() bool { return !slices.Contains(st.Positions, 0) }

func (st Step) clone() Step {
	st.Positions = slices.Clone(st.Positions)
	return st
}

// isStale tells whether the oldest version used lags more than the bound.
func isStale(g catalog.Group, versions []uint64) bool {
	return slices.Min(versions) < g.OldestUsable()
}
