// Package stream delivers each sample of a step to its trainer exactly once.
// The replicated log stores the identity, weight versions, digest and position
// of a sample; the payload stays with its holders. A trainer pulls with a
// cursor, which acknowledges all samples up to its position.
package stream

import (
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
)

// MaxStepSize is the maximum number of samples of one step.
const MaxStepSize = 65_536

// maxRetainedSteps limits how many steps are retained per group. Complete and
// acknowledged steps are retained up to this limit so that a repeated request
// for a step is recognised. Incomplete steps are retained regardless of it.
const maxRetainedSteps = 64

// OpenStep requests the samples of a step.
type OpenStep struct {
	Group string
	Step  string
	Size  int
	// Entry is the entry that runs the step, and Incarnation its process.
	Entry       string
	Incarnation string `json:",omitempty"`
	// OwnerGone allows the entry to take over the step from its current owner.
	// Only the leader sets it.
	OwnerGone bool
}

// CommitSample submits a finished sample to be appended to the stream of its
// group.
type CommitSample struct {
	Group string
	Step  string
	Index int
	// Attempt is the ID of the attempt that produced the sample.
	Attempt string
	// Versions are the weight versions that produced the sample, in order of
	// use.
	Versions []uint64
	// Digest is the digest of the payload.
	Digest string
	Score  float64
	// Holders are the addresses of the hosts that store the payload.
	Holders []string
	// Refused is the reason why the sample can never be produced. The commit
	// then fills the index with a void position, so that the step can still
	// become complete.
	Refused string `json:",omitempty"`
}

// Handover requests the samples after a cursor and acknowledges those up to
// it.
type Handover struct {
	Group string
	After uint64
	Max   int
}

// LoseSample reports that no holder stores the payload of a sample any more.
type LoseSample struct {
	Group    string
	Position uint64
	Attempt  string
}

// Sample is a committed sample.
type Sample struct {
	// Position is the position in the stream of the group. Positions start at 1
	// and have no gaps.
	Position uint64
	Step     string
	Index    int
	Attempt  string
	Versions []uint64
	Digest   string
	Score    float64
	Holders  []string
	// Void is the reason why the position holds no sample, or empty. After
	// "stale" and "lost" the index of the step is filled again at a later
	// position; after any other reason it is not.
	Void string `json:",omitempty"`
}

// Step is a step of a trainer group.
type Step struct {
	ID   string
	Size int
	// Entry is the entry that runs the step. Incarnation is the process of the entry that
	// last asked for it, or empty if that is unknown.
	Entry       string
	Incarnation string `json:",omitempty"`
	// Positions holds, for each index, the position that fills it, or zero.
	Positions []uint64
	// Settled means that the step is complete and all of its positions are
	// acknowledged. It is set in responses only.
	Settled bool `json:",omitempty"`
}

// CommitResult is the response to CommitSample.
type CommitResult struct {
	Position uint64
	// Duplicate means that another commit has already filled the index.
	Duplicate bool
	// Stale means that the sample was rejected and the index is still open.
	Stale bool
}

// HandoverResult is the response to Handover.
type HandoverResult struct {
	Samples []Sample
	// Acknowledged is the highest acknowledged position.
	Acknowledged uint64
	// OpenSteps holds the incomplete steps.
	OpenSteps []Step
}

// GroupStream is the stream of one trainer group.
type GroupStream struct {
	// Next is the next position to assign.
	Next uint64
	// Acknowledged is the highest acknowledged position. It is less than Next
	// and never decreases.
	Acknowledged uint64
	// Samples holds the samples after Acknowledged, in order of position.
	Samples []Sample
	// Steps holds the steps in the order in which they were opened.
	Steps []Step
	// Handed counts the samples that were delivered and acknowledged. Stale
	// and Lost count the samples that were rejected or made void for that
	// reason.
	Handed, Stale, Lost uint64
}

// Streams holds the streams of all trainer groups.
type Streams struct {
	Groups map[string]*GroupStream
}

// New returns an empty set of streams.
func New() *Streams { return &Streams{Groups: make(map[string]*GroupStream)} }

// CommitSample appends a sample to the stream of its group. The first commit for
// an index wins; later ones are reported as duplicates.
func (s *Streams) CommitSample(g catalog.Group, c CommitSample) (CommitResult, error) {
	gs, step, err := s.findStep(c.Group, c.Step)
	if err != nil {
		return CommitResult{}, err
	}
	if c.Index < 0 || c.Index >= step.Size {
		return CommitResult{}, rollout.NewError(rollout.KindInvalidInput, "index %d is outside step %s of %d samples", c.Index, c.Step, step.Size)
	}
	if p := step.Positions[c.Index]; p != 0 {
		return CommitResult{Position: p, Duplicate: true}, nil
	}
	if c.Refused == "" && len(c.Versions) == 0 {
		return CommitResult{}, rollout.NewError(rollout.KindInvalidInput, "sample %d of step %s has no weight version", c.Index, c.Step)
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

// Handover acknowledges the samples up to the cursor and returns those after
// it. Samples that exceed the group's current staleness bound are made void
// before they are returned.
func (s *Streams) Handover(g catalog.Group, h Handover) (HandoverResult, error) {
	gs := s.group(h.Group)
	if h.After < gs.Acknowledged {
		return HandoverResult{}, rollout.NewError(rollout.KindConflict,
			"cursor %d of trainer group %s is behind the acknowledged position %d", h.After, h.Group, gs.Acknowledged)
	}
	if h.After >= gs.Next {
		return HandoverResult{}, rollout.NewError(rollout.KindConflict,
			"cursor %d of trainer group %s is ahead of the last position %d", h.After, h.Group, gs.Next-1)
	}
	gs.acknowledge(h.After)
	out := HandoverResult{Acknowledged: gs.Acknowledged}
	for i := range gs.Samples {
		if len(out.Samples) >= h.Max {
			break
		}
		sample := &gs.Samples[i]
		if sample.Void == "" && isStale(g, sample.Versions) {
			gs.voidSample(sample, "stale")
			gs.Stale++
		}
		out.Samples = append(out.Samples, *sample)
	}
	out.OpenSteps = gs.incompleteSteps()
	return out, nil
}

// LoseSample makes a sample void because its payload is lost.
func (s *Streams) LoseSample(l LoseSample) {
	gs := s.group(l.Group)
	for i := range gs.Samples {
		sample := &gs.Samples[i]
		if sample.Position == l.Position && sample.Attempt == l.Attempt && sample.Void == "" {
			gs.voidSample(sample, "lost")
			gs.Lost++
		}
	}
}

// OpenStep opens a step, or returns the existing one. An entry takes over an
// existing step only if its owner is gone.
func (s *Streams) OpenStep(o OpenStep) (Step, error) {
	if o.Size < 1 || o.Size > MaxStepSize {
		return Step{}, rollout.NewError(rollout.KindInvalidInput, "size %d of step %s is outside 1 to %d", o.Size, o.Step, MaxStepSize)
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
		if o.OwnerGone || (step.Entry == o.Entry && o.Incarnation != "") {
			step.Entry, step.Incarnation = o.Entry, o.Incarnation
		}
		out := step.clone()
		out.Settled = gs.isSettled(*step)
		return out, nil
	}
	step := Step{ID: o.Step, Size: o.Size, Entry: o.Entry, Incarnation: o.Incarnation, Positions: make([]uint64, o.Size)}
	gs.Steps = append(gs.Steps, step)
	gs.pruneSteps()
	return step.clone(), nil
}

// StepOwner returns the name and the incarnation of the entry that runs a step, or empty
// strings if there is no such step.
func (s *Streams) StepOwner(group, step string) (entry, incarnation string) {
	gs := s.Groups[group]
	if gs == nil {
		return "", ""
	}
	for _, st := range gs.Steps {
		if st.ID == step {
			return st.Entry, st.Incarnation
		}
	}
	return "", ""
}

func (s *Streams) findStep(group, step string) (*GroupStream, *Step, error) {
	gs := s.group(group)
	for i := range gs.Steps {
		if gs.Steps[i].ID == step {
			return gs, &gs.Steps[i], nil
		}
	}
	return nil, nil, rollout.NewError(rollout.KindNotFound, "no step %s in trainer group %s", step, group)
}

func (s *Streams) group(name string) *GroupStream {
	gs := s.Groups[name]
	if gs == nil {
		gs = &GroupStream{Next: 1}
		s.Groups[name] = gs
	}
	return gs
}

func (gs *GroupStream) acknowledge(position uint64) {
	acknowledged := 0
	for acknowledged < len(gs.Samples) && gs.Samples[acknowledged].Position <= position {
		if gs.Samples[acknowledged].Void == "" {
			gs.Handed++
		}
		acknowledged++
	}
	gs.Samples = slices.Clone(gs.Samples[acknowledged:])
	gs.Acknowledged = position
}

// pruneSteps drops the oldest settled steps beyond maxRetainedSteps.
func (gs *GroupStream) pruneSteps() {
	for len(gs.Steps) > maxRetainedSteps {
		i := slices.IndexFunc(gs.Steps, func(st Step) bool { return gs.isSettled(st) })
		if i < 0 {
			return
		}
		gs.Steps = slices.Delete(gs.Steps, i, i+1)
	}
}

func (gs *GroupStream) incompleteSteps() []Step {
	var open []Step
	for _, st := range gs.Steps {
		if !st.Complete() {
			open = append(open, st.clone())
		}
	}
	return open
}

func (gs *GroupStream) isSettled(st Step) bool {
	return st.Complete() && slices.Max(st.Positions) <= gs.Acknowledged
}

// voidSample makes a position void and opens the index of its sample again.
func (gs *GroupStream) voidSample(sample *Sample, reason string) {
	sample.Void = reason
	for i := range gs.Steps {
		if gs.Steps[i].ID == sample.Step {
			gs.Steps[i].Positions[sample.Index] = 0
		}
	}
}

// MissingIndexes returns the indexes that no position fills.
func (st Step) MissingIndexes() []int {
	var missing []int
	for i, p := range st.Positions {
		if p == 0 {
			missing = append(missing, i)
		}
	}
	return missing
}

// VersionRange returns the oldest and the newest weight version that produced
// the sample. Both are zero for a position without a sample.
func (sm Sample) VersionRange() (oldest, newest uint64) {
	if len(sm.Versions) == 0 {
		return 0, 0
	}
	return slices.Min(sm.Versions), slices.Max(sm.Versions)
}

// Complete reports whether every index is filled by a position.
func (st Step) Complete() bool { return !slices.Contains(st.Positions, 0) }

func (st Step) clone() Step {
	st.Positions = slices.Clone(st.Positions)
	return st
}

// isStale reports whether the oldest of the weight versions is older than the
// staleness bound of the group allows.
func isStale(g catalog.Group, versions []uint64) bool {
	return slices.Min(versions) < g.OldestUsable()
}
