package jobstore

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/fabric"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/job"
)

// The methods that a store host serves. AddPart, Submit and End need the leader.
const (
	MethodAddPart = "Jobs.AddPart"
	MethodSubmit  = "Jobs.Submit"
	MethodRead    = "Jobs.Read"
	MethodBody    = "Jobs.Body"
	MethodEnd     = "Jobs.End"
)

// ReadRequest requests the results of a job from a position on.
type ReadRequest struct {
	JobID, Account string
	After          int
	// WaitMS is how long to wait if there are no results after the position.
	WaitMS rollout.Millis
}

// Result is the result of an item with its output decoded.
type Result struct {
	ItemID string
	State  job.ItemState
	// Output is the data of all events, separated by line feeds.
	Output   string
	Versions []uint64
	Score    string
}

// Page is a range of the results of a job.
type Page struct {
	// Total is the number of items of the job.
	Total   int
	Results []Result
}

// BodyRequest requests the request body of an item.
type BodyRequest struct {
	JobID, Account, ItemID string
	// InParts is true if the caller reads the body in parts, from Offset on. Entries of earlier
	// releases expect the whole body.
	InParts bool
	Offset  int
}

// Body is a part of the request body of an item. Bodies are read in parts, as one may take much
// of the memory of a host.
type Body struct {
	Bytes []byte
	// Total is the length of the whole body.
	Total int
}

// EndRequest requests the end of a job.
type EndRequest struct {
	JobID, Account string
}

// maxLeaderSilenceMS is the maximum time since a follower last heard from the
// leader for the follower to respond that there are no results yet. It spans a
// few heartbeats and is well below the required 1 s within which a result that
// was read once must be visible on every host.
const maxLeaderSilenceMS rollout.Millis = 500

// bodyPartBytes is the most that one call returns of a body.
const bodyPartBytes = 256 << 10

// Empty is a response without content.
type Empty struct{}

func (s *Store) register(mux *fabric.Mux) {
	fabric.Handle(mux, MethodAddPart, s.addPart)
	fabric.Handle(mux, MethodSubmit, s.submit)
	fabric.Handle(mux, MethodRead, s.read)
	fabric.Handle(mux, MethodBody, s.body)
	fabric.Handle(mux, MethodEnd, s.end)
}

// leadingRunner returns the runner if this host is the leader and its lease is
// valid.
func (s *Store) leadingRunner() (*runner, error) {
	if _, leads := s.replica.Leading(0); !leads {
		return nil, s.replica.NotLeader()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runner == nil {
		return nil, rollout.NewError(rollout.KindUnavailable, "leader %s of the job store does not run items yet", s.opts.Host).WithNotRun()
	}
	return s.runner, nil
}

func (s *Store) submit(ctx context.Context, spec job.Spec) (Empty, error) {
	r, err := s.leadingRunner()
	if err != nil {
		return Empty{}, err
	}
	if !s.hasJob(spec.ID) {
		if err := r.checkMembers(&spec); err != nil {
			return Empty{}, err
		}
	}
	if !s.hasJob(spec.ID) {
		done, err := s.admitLogged(&spec, spec.Bytes())
		if err != nil {
			return Empty{}, err
		}
		defer done()
	}
	spec.OwnTexts = true
	err = s.propose(ctx, job.Command{Submit: &spec})
	s.opts.Log.Info("JobSubmitted", zap.String("Job", spec.ID), zap.String("Account", spec.Account), zap.String("Model", spec.Model),
		zap.Int("Step", spec.Step), zap.Uint64("MinVersion", spec.MinVersion), zap.Int("Items", itemsOf(&spec)), zap.Error(err))
	if err == nil {
		r.openJob(spec.ID, 0)
	}
	return Empty{}, err
}

// admitLogged is admit with a log line for a job that is not admitted.
func (s *Store) admitLogged(spec *job.Spec, bytes int64) (done func(), err error) {
	done, err = s.admit(spec.ID, bytes)
	if err != nil {
		s.opts.Log.Warn("JobNotAdmitted", zap.String("Job", spec.ID), zap.String("Account", spec.Account), zap.Error(err))
	}
	return done, err
}

// itemsOf returns the number of items of a submission.
func itemsOf(spec *job.Spec) int {
	if spec.Staged != nil {
		return spec.Staged.Items
	}
	return len(spec.Items)
}

// hasJob reports whether a job has been accepted before.
func (s *Store) hasJob(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Jobs[id] != nil
}

// checkAuthoritative returns an error if this host may not answer a read of a
// job. Committed results never change, so any host may return them. The response
// that there are none yet may come from the leader or from a follower that has
// the job and has heard from the leader recently. Only the leader may respond
// that a job or an item does not exist.
func (s *Store) checkAuthoritative(found, hasResults bool) error {
	_, err := s.leadingRunner()
	if err != nil && found && (hasResults || s.replica.UpToDate(maxLeaderSilenceMS)) {
		return nil
	}
	return err
}

func (s *Store) read(ctx context.Context, req ReadRequest) (Page, error) {
	timeout := time.NewTimer(time.Duration(req.WaitMS) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		j, changed := s.state.Jobs[req.JobID], s.changed
		known := j != nil && j.Spec.Account == req.Account
		var results []job.Result
		total := 0
		if known {
			total, results = j.Total, j.Page(req.After)
		}
		s.mu.Unlock()
		if err := s.checkAuthoritative(known, len(results) > 0); err != nil {
			return Page{}, err
		}
		if !known {
			return Page{}, rollout.NewError(rollout.KindNotFound, "job %s not found", req.JobID)
		}
		if len(results) > 0 || req.After >= total {
			return s.page(total, results)
		}
		select {
		case <-changed:
		case <-timeout.C:
			return Page{Total: total}, nil
		case <-ctx.Done():
			return Page{}, ctx.Err()
		}
	}
}

// page returns a page with the decoded output of the results.
func (s *Store) page(total int, results []job.Result) (Page, error) {
	p := Page{Total: total}
	for _, r := range results {
		output, err := unpackOutput(s.packer, r.Chunks)
		if err != nil {
			return Page{}, err
		}
		p.Results = append(p.Results, Result{ItemID: r.ItemID, State: r.State, Output: output, Versions: r.Versions, Score: r.Score})
	}
	return p, nil
}

func (s *Store) body(_ context.Context, req BodyRequest) (Body, error) {
	s.mu.Lock()
	j := s.state.Jobs[req.JobID]
	var found *job.Item
	if j != nil && j.Spec.Account == req.Account {
		if i := slices.IndexFunc(j.Spec.Items, func(it job.Item) bool { return it.ID == req.ItemID }); i >= 0 {
			found = &j.Spec.Items[i]
		}
	}
	s.mu.Unlock()
	if err := s.checkAuthoritative(found != nil, false); err != nil {
		return Body{}, err
	}
	if found == nil {
		return Body{}, rollout.NewError(rollout.KindNotFound, "item %[2]s of job %[1]s not found", req.JobID, req.ItemID)
	}
	if !req.InParts {
		return Body{Bytes: found.Body, Total: len(found.Body)}, nil
	}
	from := min(max(0, req.Offset), len(found.Body))
	return Body{Bytes: found.Body[from:min(from+bodyPartBytes, len(found.Body))], Total: len(found.Body)}, nil
}

func (s *Store) end(ctx context.Context, req EndRequest) (Empty, error) {
	r, err := s.leadingRunner()
	if err != nil {
		return Empty{}, err
	}
	err = s.propose(ctx, job.Command{End: &job.End{JobID: req.JobID, Account: req.Account}})
	s.opts.Log.Info("JobEnded", zap.String("Job", req.JobID), zap.Error(err))
	if err == nil {
		r.closeJob(req.JobID)
	}
	return Empty{}, err
}
