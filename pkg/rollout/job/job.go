// Package job implements the replicated state of batch jobs: their items, the
// results at fixed positions, and the end of a job.
package job

import (
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// maxPageBytes limits the total size of the chunks in one page of results. The
// decoded text is at most about twice as long.
const maxPageBytes = 400 << 10

// HeaderField is a header field of an item.
type HeaderField struct {
	Name, Value string
}

// Scorer is the request that scores the text of an item.
type Scorer struct {
	ID, Host, Path string
	Body           []byte
}

// Item is one request of a job.
type Item struct {
	ID      string
	Path    string
	Headers []HeaderField `json:",omitempty"`
	Body    []byte
	Tokens  int
	// ExpectedTokens is the caller's estimate of the output length, or 0.
	ExpectedTokens int `json:",omitempty"`
	// Group is the name of the group of items that share a prompt.
	Group  string  `json:",omitempty"`
	Scorer *Scorer `json:",omitempty"`
}

// Spec is the definition of a job as submitted. It is immutable.
type Spec struct {
	ID      string
	Account string
	Route   string
	Host    string
	Step    int
	Model   string
	// MinVersion is the oldest weight version that may generate tokens.
	MinVersion uint64
	// Desired is the number of complete groups that the trainer waits for.
	Desired int
	Items   []Item
	// SubmittedMS is the wall-clock time of the submission.
	SubmittedMS rollout.Millis
	// Accepted is the route by which the job was accepted. It is nil in records of releases
	// that stored its name only.
	Accepted *RouteInForce `json:",omitempty"`
	// OwnTexts is true if the texts of the job belong to it alone. Jobs of records of releases
	// that did not set it share the text of an item.
	OwnTexts bool `json:",omitempty"`
	// Residency is nil if neither the route nor the client account named regions when the
	// job was accepted.
	Residency *Residency `json:",omitempty"`
	// Staged is set in a submission whose items were sent before, in parts.
	Staged *StagedItems `json:",omitempty"`
}

// Residency is what the entry that accepted a job knew of the regions in which it may run.
// It applies until the job store has that configuration, and where a later one has no such
// route or client account.
type Residency struct {
	// DocumentVersion is the version of the configuration that the entry had.
	DocumentVersion uint64
	// RouteRegions and AccountRegions are empty for any region.
	RouteRegions, AccountRegions []string
	// EntryDomain is the failure domain of the entry.
	EntryDomain string
}

// ItemState is the final state of an item, as stored in its result.
type ItemState string

// The final states.
const (
	StateCompleted ItemState = "Completed"
	// StateAbandoned follows responses of engines or of the scorer, or the end of the
	// queueing time. An item is not abandoned because engines end while they run it.
	StateAbandoned ItemState = "Abandoned"
)

// Result is the result of an item.
type Result struct {
	ItemID string
	State  ItemState
	// Chunks hold the generated text, encoded by the caller of this package.
	Chunks   [][]byte
	Versions []uint64
	Score    string
}

// size returns the total size of the chunks in bytes.
func (r Result) size() int {
	total := 0
	for _, c := range r.Chunks {
		total += len(c)
	}
	return total
}

// Command is a change of the state. Exactly one field is set.
type Command struct {
	Submit *Spec       `json:",omitempty"`
	Write  *SetWriter  `json:",omitempty"`
	Extend *ExtendText `json:",omitempty"`
	Finish *FinishItem `json:",omitempty"`
	End    *End        `json:",omitempty"`
	// Forget deletes old jobs and texts.
	Forget *Forget   `json:",omitempty"`
	Paces  *SetPaces `json:",omitempty"`
	// Orders records which host sends weight orders from now on.
	Orders *ClaimOrders `json:",omitempty"`
	// Route records a change of the route of a job.
	Route *SetRoute `json:",omitempty"`
	// Part adds to the items of a job that is being submitted.
	Part *Part `json:",omitempty"`
	// Drop drops uploads that were given up.
	Drop *DropUploads `json:",omitempty"`
}

// SetWriter makes a leader the only writer of texts and results. Commands of
// earlier writers are refused from then on.
type SetWriter struct {
	Writer string
}

// ExtendText stores part of the text of an item that is still being generated.
type ExtendText struct {
	Writer        string
	JobID, ItemID string
	Piece         TextPiece
}

// FinishItem adds a result at the next position of a job. The text of a completed
// result is the stored one followed by the piece.
type FinishItem struct {
	Writer string
	JobID  string
	Result Result
	Piece  TextPiece
}

// End ends a job.
type End struct {
	JobID   string
	Account string
}

// Forget deletes ended jobs submitted before BeforeMS, and texts last written by
// a job submitted before TextsBeforeMS.
type Forget struct {
	BeforeMS, TextsBeforeMS rollout.Millis
}

// Job is a job with its results.
type Job struct {
	// Spec has no items after the job has ended.
	Spec Spec
	// Total is the number of items.
	Total   int
	Results []Result
	Ended   bool
	// Route is the last known route of an open job, or nil if only its name is known.
	Route *RouteInForce `json:",omitempty"`
	// hasResult holds the IDs of the items with a result.
	hasResult map[string]bool
	itemIDs   map[string]bool
}

// HasResult reports whether an item has a result.
func (j *Job) HasResult(itemID string) bool { return j.hasResult[itemID] }

// Page returns results that start at a position, limited by size.
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

// ClaimOrders makes a host the one that sends weight orders. A leader sends none before its
// host has this claim, so the host of the last claim sent the last orders.
type ClaimOrders struct {
	Writer string
	Host   string
}

// SetPaces records the paces of all engines that a leader knows. The next leader starts with
// them.
type SetPaces struct {
	Writer string
	Paces  []Pace
}

// Pace is how fast an incarnation of an engine generates.
type Pace struct {
	Engine string
	Born   int64
	// IntervalMS is the time between two events of a run.
	IntervalMS float64
}

// StateMachine holds all jobs. It is not safe for concurrent use.
type StateMachine struct {
	Jobs map[string]*Job
	// Uploads holds the items of jobs that are being submitted in parts, by job ID.
	Uploads map[string]*Upload
	// Texts holds the stored texts of items. A later job with the same item starts with a copy.
	Texts TextSet
	// Writer is the only leader whose texts and results are accepted.
	Writer string
	// Paces holds the last known paces of engines. It is replaced and never changed.
	Paces []Pace
	// OrderHosts holds the hosts that have claimed weight orders, the current one last. It is
	// replaced and never changed.
	OrderHosts []string
}

// NewStateMachine returns a state machine without jobs.
func NewStateMachine() *StateMachine {
	return &StateMachine{Jobs: make(map[string]*Job), Uploads: make(map[string]*Upload), Texts: make(TextSet)}
}

// Apply executes a command. It returns an error if the command is refused.
func (m *StateMachine) Apply(c Command) error {
	switch {
	case c.Submit != nil:
		return m.submit(*c.Submit)
	case c.Write != nil:
		m.Writer = c.Write.Writer
	case c.Extend != nil:
		return m.extendText(*c.Extend)
	case c.Finish != nil:
		return m.finishItem(*c.Finish)
	case c.End != nil:
		return m.end(*c.End)
	case c.Forget != nil:
		m.forget(*c.Forget)
	case c.Paces != nil:
		return m.setPaces(*c.Paces)
	case c.Orders != nil:
		return m.claimOrders(*c.Orders)
	case c.Route != nil:
		return m.setRoute(*c.Route)
	case c.Part != nil:
		return m.addPart(*c.Part)
	case c.Drop != nil:
		m.dropUploads(*c.Drop)
	}
	return nil
}

func (m *StateMachine) claimOrders(c ClaimOrders) error {
	if err := m.checkWriter(c.Writer); err != nil {
		return err
	}
	others := slices.DeleteFunc(slices.Clone(m.OrderHosts), func(host string) bool { return host == c.Host })
	m.OrderHosts = slices.Concat(others, []string{c.Host})
	return nil
}

// MayHaveBeenReplaced reports whether another host may have sent weight orders since those of a
// host. Before the first claim that is not known of any host.
func (m *StateMachine) MayHaveBeenReplaced(host string) bool {
	i := slices.Index(m.OrderHosts, host)
	return len(m.OrderHosts) == 0 || (i >= 0 && i < len(m.OrderHosts)-1)
}

func (m *StateMachine) end(e End) error {
	j := m.Jobs[e.JobID]
	if j == nil || j.Spec.Account != e.Account {
		return rollout.NewError(rollout.KindNotFound, "job %s not found", e.JobID)
	}
	j.Ended = true
	j.Spec.Items, j.Spec.Accepted, j.Route = nil, nil, nil
	return nil
}

func (m *StateMachine) extendText(e ExtendText) error {
	j := m.Jobs[e.JobID]
	if err := m.checkWriter(e.Writer); err != nil {
		return err
	}
	if j == nil {
		return rollout.NewError(rollout.KindNotFound, "job %s not found", e.JobID)
	}
	// The items of an ended job are forgotten, so its texts cannot be checked.
	if !j.Ended && !j.itemIDs[e.ItemID] {
		return rollout.NewError(rollout.KindNotFound, "job %s has no item %s", e.JobID, e.ItemID)
	}
	if j.hasResult[e.ItemID] {
		return nil
	}
	k, stored := j.textKey(e.ItemID), m.Text(j, e.ItemID)
	if j.Ended && stored.JobID != "" && stored.JobID != e.JobID {
		return rollout.NewError(rollout.KindConflict, "job %s has taken over the text of item %s", stored.JobID, e.ItemID)
	}
	t, err := stored.With(e.Piece)
	if err != nil {
		return err
	}
	t.Owner, t.JobID, t.UsedMS = j.textOwner(), e.JobID, max(stored.UsedMS, j.Spec.SubmittedMS)
	m.Texts.set(k, t)
	return nil
}

func (m *StateMachine) finishItem(f FinishItem) error {
	if err := m.checkWriter(f.Writer); err != nil {
		return err
	}
	j, err := m.openJob(f.JobID, f.Result.ItemID)
	if err != nil || j.hasResult[f.Result.ItemID] {
		return err
	}
	result := f.Result
	if result.State == StateCompleted {
		k, stored := j.textKey(result.ItemID), m.Text(j, result.ItemID)
		t, err := stored.With(f.Piece)
		if err != nil {
			return err
		}
		t.Complete, t.Owner, t.JobID, t.UsedMS = true, j.textOwner(), f.JobID, max(stored.UsedMS, j.Spec.SubmittedMS)
		result.Chunks, result.Versions = t.Chunks, t.Versions
		m.Texts.set(k, t)
	}
	j.hasResult[result.ItemID] = true
	j.Results = append(j.Results, result)
	return nil
}

func (m *StateMachine) forget(f Forget) {
	for id, j := range m.Jobs {
		if j.Ended && j.Spec.SubmittedMS < f.BeforeMS {
			delete(m.Jobs, id)
		}
	}
	m.Texts.deleteUnusedSince(f.TextsBeforeMS)
}

// openJob returns the job of an item, unless the job has ended.
func (m *StateMachine) openJob(jobID, itemID string) (*Job, error) {
	j := m.Jobs[jobID]
	if j == nil || j.Ended || !j.itemIDs[itemID] {
		return nil, rollout.NewError(rollout.KindNotFound, "no open job %s with item %s", jobID, itemID)
	}
	return j, nil
}

func (m *StateMachine) checkWriter(writer string) error {
	if writer != m.Writer {
		return rollout.NewError(rollout.KindNoAuthority, "%q is not the writer; the current writer is %q", writer, m.Writer)
	}
	return nil
}

func (m *StateMachine) setPaces(p SetPaces) error {
	if err := m.checkWriter(p.Writer); err != nil {
		return err
	}
	m.Paces = p.Paces
	return nil
}

func (m *StateMachine) submit(s Spec) error {
	if old := m.Jobs[s.ID]; old != nil {
		return old.checkAccount(s.Account)
	}
	if s.Staged != nil {
		items, err := m.takeUpload(s)
		if err != nil {
			return err
		}
		s.Items, s.Staged = items, nil
	}
	j := &Job{Spec: s, Total: len(s.Items), Route: s.Accepted}
	j.index()
	m.Jobs[s.ID] = j
	if s.OwnTexts {
		m.copyTexts(j)
	}
	return nil
}

// checkAccount returns an error unless the job belongs to a client account.
func (j *Job) checkAccount(account string) error {
	if j.Spec.Account != account {
		return rollout.NewError(rollout.KindConflict, "job %s belongs to another client account", j.Spec.ID)
	}
	return nil
}

func (j *Job) index() {
	j.hasResult, j.itemIDs = make(map[string]bool), make(map[string]bool)
	for _, it := range j.Spec.Items {
		j.itemIDs[it.ID] = true
	}
	for _, r := range j.Results {
		j.hasResult[r.ItemID] = true
	}
}
