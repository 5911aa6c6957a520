// Package job is the replicated state of batch jobs: items, results at fixed
// positions, and ends.
package job

import (
	"errors"
	"io"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// maxPageBytes bounds the chunks of the results that one read returns; decoded
// text is at most about twice as long.
const maxPageBytes = 400 << 10

// Header is one header line of an item.
type Header struct {
	Name, Value string
}

// Scorer is the call that scores the text of an item.
type Scorer struct {
	ID, Host, Path string
	Body           []byte
}

// Item is one request of a job.
type Item struct {
	ID      string
	Path    string
	Headers []Header `json:",omitempty"`
	Body    []byte
	Tokens  int
	// ExpectedTokens is the caller's estimate of the output, or 0.
	ExpectedTokens int `json:",omitempty"`
	// Group names the items that share a prompt.
	Group  string  `json:",omitempty"`
	Scorer *Scorer `json:",omitempty"`
}

// Spec is a job as submitted. It is immutable.
type Spec struct {
	ID      string
	Account string
	Route   string
	Host    string
	Step    int
	Model   string
	// MinVersion is the oldest weight version that may generate tokens.
	MinVersion uint64
	// Desired is the number of whole groups that the trainer waits for.
	Desired int
	Items   []Item
	// SubmittedMS is the wall-clock time of the submission.
	SubmittedMS rollout.Millis
}

// State tells how an item ended.
type State string

// The states of a result.
const (
	StateCompleted State = "Completed"
	StateAbandoned State = "Abandoned"
)

// Result is the end of an item.
type Result struct {
	ItemID string
	State  State
	// Chunks hold the output, as the caller encoded it.
	Chunks   [][]byte
	Versions []uint64
	Score    string
}

// size returns the bytes of the chunks.
func (r Result) size() int {
	total := 0
	for _, c := range r.Chunks {
		total += len(c)
	}
	return total
}

// Command changes the state. One field is set.
type Command struct {
	Submit *Spec      `json:",omitempty"`
	Write  *SetWriter `json:",omitempty"`
	Extend *Extend    `json:",omitempty"`
	Finish *Finish    `json:",omitempty"`
	End    *End       `json:",omitempty"`
	// Forget drops the jobs submitted before a time.
	Forget *Forget `json:",omitempty"`
}

// SetWriter makes a leader the only writer of texts and results. What earlier
// leaders still send is refused from then on.
type SetWriter struct {
	Writer string
}

// Extend keeps text of an item that is still being generated.
type Extend struct {
	Writer        string
	JobID, ItemID string
	Piece         Piece
}

// Finish lists a result at the next position of a job. The output of a
// completed result is the kept text and the piece after it.
type Finish struct {
	Writer string
	JobID  string
	Result Result
	Piece  Piece
}

// End ends a job.
type End struct {
	JobID   string
	Account string
}

// Forget drops ended jobs, and texts whose newest job is older.
type Forget struct {
	BeforeMS, TextsBeforeMS rollout.Millis
}

// Job is a job with its results.
type Job struct {
	// Spec has no items once the job has ended.
	Spec Spec
	// Total is the number of items.
	Total   int
	Results []Result
	Ended   bool
	listed  map[string]bool
	items   map[string]bool
}

// HasResult tells whether an item has a result.
func (j *Job) HasResult(itemID string) bool { return j.listed[itemID] }

// Page returns the results from a position on.
func (j *Job) Page(after int) []Result {
	if after < 0 || after >= len(j.Results) {
		return nil
	}
	size := 0
	for i, r := range j.Results[after:] {
		size += r.size()
		if size > maxPageBytes && i > 0 {
			return slices.Clone(j.Results[after : after+i])
		}
	}
	return slices.Clone(j.Results[after:])
}

// StateMachine holds all jobs. It is used by one thread at a time.
type StateMachine struct {
	Jobs map[string]*Job
	// Texts holds what is kept of the text of items. An item that comes again
	// in a later job finds it here.
	Texts map[TextKey]Text
	// Writer is the leader that may write.
	Writer string
}

// NewStateMachine returns an empty book.
func NewStateMachine() *StateMachine {
	return &StateMachine{Jobs: make(map[string]*Job), Texts: make(map[TextKey]Text)}
}

// Apply carries a command out. It tells whether the command was in order.
func (b *StateMachine) Apply(c Command) error {
	switch {
	case c.Submit != nil:
		return b.submit(*c.Submit)
	case c.Write != nil:
		b.Writer = c.Write.Writer
	case c.Extend != nil:
		return b.extend(*c.Extend)
	case c.Finish != nil:
		return b.finish(*c.Finish)
	case c.End != nil:
		return b.end(*c.End)
	case c.Forget != nil:
		b.forget(*c.Forget)
	}
	return nil
}

// Freeze returns a function that writes the present state. It may be called
// by another thread while the book changes.
func (b *StateMachine) Freeze() func(w io.Writer) error {
	jobs := make([]Job, 0, len(b.Jobs))
	for _, j := range b.Jobs {
		jobs = append(jobs, Job{Spec: j.Spec, Total: j.Total, Results: slices.Clip(j.Results), Ended: j.Ended})
	}
	texts, writer := maps.Clone(b.Texts), b.Writer
	return func(w io.Writer) error {
		e := cbor.NewEncoder(w)
		err := e.Encode(bookHeader{Jobs: len(jobs), Texts: len(texts), Writer: writer})
		for _, j := range jobs {
			err = errors.Join(err, e.Encode(j))
		}
		for k, t := range texts {
			err = errors.Join(err, e.Encode(namedText{k, t}))
		}
		return err
	}
}

// Restore replaces the state by one that was written.
func (b *StateMachine) Restore(r io.Reader) error {
	next, err := readBook(cbor.NewDecoder(r))
	if err != nil {
		return rollout.NewError(rollout.KindStorage, "snapshot of jobs").WithCause(err)
	}
	*b = *next
	return nil
}

// bookHeader begins a written book. The jobs and the texts follow.
type bookHeader struct {
	Jobs, Texts int
	Writer      string
}

type namedText struct {
	Key  TextKey
	Text Text
}

func readBook(d *cbor.Decoder) (*StateMachine, error) {
	b := NewStateMachine()
	var h bookHeader
	if err := d.Decode(&h); err != nil {
		return nil, err
	}
	b.Writer = h.Writer
	for range h.Jobs {
		j := &Job{}
		if err := d.Decode(j); err != nil {
			return nil, err
		}
		j.index()
		b.Jobs[j.Spec.ID] = j
	}
	for range h.Texts {
		var t namedText
		if err := d.Decode(&t); err != nil {
			return nil, err
		}
		b.Texts[t.Key] = t.Text
	}
	return b, nil
}

func (b *StateMachine) end(e End) error {
	j := b.Jobs[e.JobID]
	if j == nil || j.Spec.Account != e.Account {
		return rollout.NewError(rollout.KindNotFound, "job %s", e.JobID)
	}
	j.Ended = true
	j.Spec.Items = nil
	return nil
}

func (b *StateMachine) extend(e Extend) error {
	j := b.Jobs[e.JobID]
	if err := b.mayWrite(e.Writer); err != nil {
		return err
	}
	if j == nil {
		return rollout.NewError(rollout.KindNotFound, "job %s", e.JobID)
	}
	if j.listed[e.ItemID] {
		return nil
	}
	k := TextKey{j.Spec.Account, e.ItemID}
	held := b.Texts[k]
	if j.Ended && held.JobID != "" && held.JobID != e.JobID {
		return rollout.NewError(rollout.KindConflict, "job %s writes the text of item %s now", held.JobID, e.ItemID)
	}
	t, err := held.With(e.Piece)
	if err != nil {
		return err
	}
	t.JobID, t.UsedMS = e.JobID, j.Spec.SubmittedMS
	b.Texts[k] = t
	return nil
}

func (b *StateMachine) finish(f Finish) error {
	if err := b.mayWrite(f.Writer); err != nil {
		return err
	}
	j, err := b.item(f.JobID, f.Result.ItemID)
	if err != nil || j.listed[f.Result.ItemID] {
		return err
	}
	result := f.Result
	if result.State == StateCompleted {
		k := TextKey{j.Spec.Account, result.ItemID}
		t, err := b.Texts[k].With(f.Piece)
		if err != nil {
			return err
		}
		t.Complete, t.JobID, t.UsedMS = true, f.JobID, j.Spec.SubmittedMS
		result.Chunks, result.Versions = t.Chunks, t.Versions
		b.Texts[k] = t
	}
	j.listed[result.ItemID] = true
	j.Results = append(j.Results, result)
	return nil
}

func (b *StateMachine) forget(f Forget) {
	for id, j := range b.Jobs {
		if j.Ended && j.Spec.SubmittedMS < f.BeforeMS {
			delete(b.Jobs, id)
		}
	}
	for k, t := range b.Texts {
		if t.UsedMS < f.TextsBeforeMS {
			delete(b.Texts, k)
		}
	}
}

// item returns the open job of an item.
func (b *StateMachine) item(jobID, itemID string) (*Job, error) {
	j := b.Jobs[jobID]
	if j == nil || j.Ended || !j.items[itemID] {
		return nil, rollout.NewError(rollout.KindNotFound, "job %s has no item %s", jobID, itemID)
	}
	return j, nil
}

func (b *StateMachine) mayWrite(writer string) error {
	if writer != b.Writer {
		return rollout.NewError(rollout.KindNoAuthority, "%q writes, no longer %q", b.Writer, writer)
	}
	return nil
}

func (b *StateMachine) submit(s Spec) error {
	if old := b.Jobs[s.ID]; old != nil {
		if old.Spec.Account != s.Account {
			return rollout.NewError(rollout.KindConflict, "job %s belongs to another account", s.ID)
		}
		return nil
	}
	j := &Job{Spec: s, Total: len(s.Items)}
	j.index()
	b.Jobs[s.ID] = j
	return nil
}

func (j *Job) index() {
	j.listed, j.items = make(map[string]bool), make(map[string]bool)
	for _, it := range j.Spec.Items {
		j.items[it.ID] = true
	}
	for _, r := range j.Results {
		j.listed[r.ItemID] = true
	}
}
