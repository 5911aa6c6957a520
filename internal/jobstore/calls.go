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

// The methods of the leader of the job store.
const (
	MethodSubmit = "Jobs.Submit"
	MethodRead   = "Jobs.Read"
	MethodBody   = "Jobs.Body"
	MethodEnd    = "Jobs.End"
)

// ReadRequest asks for the results from a position on.
type ReadRequest struct {
	JobID, Account string
	After          int
	// WaitMS is how long to wait for a result when there is none.
	WaitMS rollout.Millis
}

// Result is the end of an item as readers see it.
type Result struct {
	ItemID string
	State  job.State
	// Output holds the data of all events, separated by line feeds.
	Output   string
	Versions []uint64
	Score    string
}

// Page is a part of the results of a job.
type Page struct {
	// Total is the number of items.
	Total   int
	Results []Result
}

// BodyRequest asks for the body of an item.
type BodyRequest struct {
	JobID, Account, ItemID string
}

// Body is the body of an item.
type Body struct {
	Bytes []byte
}

// EndRequest ends a job.
type EndRequest struct {
	JobID, Account string
}

// followMS is how lately a follower must have heard the leader to answer
// reads: a few heartbeats, well within the second after which a result that
// was read must be seen everywhere.
const followMS rollout.Millis = 500

// Done is an empty answer.
type Done struct{}

func (s *Store) register(mux *fabric.Mux) {
	fabric.Handle(mux, MethodSubmit, s.submit)
	fabric.Handle(mux, MethodRead, s.read)
	fabric.Handle(mux, MethodBody, s.body)
	fabric.Handle(mux, MethodEnd, s.end)
}

// lead returns the runner when this host leads with a lease.
func (s *Store) lead() (*runner, error) {
	if _, leads := s.replica.Leading(0); !leads {
		return nil, s.replica.NotLeader()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runner == nil {
		return nil, rollout.NewError(rollout.KindUnavailable, "the leader has just begun").WithNotRun()
	}
	return s.runner, nil
}

func (s *Store) submit(ctx context.Context, spec job.Spec) (Done, error) {
	r, err := s.lead()
	if err != nil {
		return Done{}, err
	}
	err = s.propose(ctx, job.Command{Submit: &spec})
	s.opts.Log.Info("JobSubmitted", zap.String("Job", spec.ID), zap.String("Account", spec.Account), zap.String("Model", spec.Model),
		zap.Int("Step", spec.Step), zap.Uint64("MinVersion", spec.MinVersion), zap.Int("Items", len(spec.Items)), zap.Error(err))
	if err == nil {
		r.open(spec.ID)
	}
	return Done{}, err
}

// sure returns an error unless this host may answer for a job. Results that
// are listed never change, so any host may show them. That there are none yet
// is said by the leader, and by a follower that knows the job and has heard
// the leader lately; that there is no such job only by the leader.
func (s *Store) sure(known, results bool) error {
	_, err := s.lead()
	if err != nil && known && (results || s.replica.UpToDate(followMS)) {
		return nil
	}
	return err
}

func (s *Store) read(ctx context.Context, req ReadRequest) (Page, error) {
	timeout := time.NewTimer(time.Duration(req.WaitMS) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		j, changed := s.book.Jobs[req.JobID], s.changed
		known := j != nil && j.Spec.Account == req.Account
		var results []job.Result
		total := 0
		if known {
			total, results = j.Total, j.Page(req.After)
		}
		s.mu.Unlock()
		if err := s.sure(known, len(results) > 0); err != nil {
			return Page{}, err
		}
		if !known {
			return Page{}, rollout.NewError(rollout.KindNotFound, "job %s", req.JobID)
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

// page decodes results for a reader.
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
	j := s.book.Jobs[req.JobID]
	var found *job.Item
	if j != nil && j.Spec.Account == req.Account {
		if i := slices.IndexFunc(j.Spec.Items, func(it job.Item) bool { return it.ID == req.ItemID }); i >= 0 {
			found = &j.Spec.Items[i]
		}
	}
	s.mu.Unlock()
	if err := s.sure(found != nil, false); err != nil {
		return Body{}, err
	}
	if found == nil {
		return Body{}, rollout.NewError(rollout.KindNotFound, "job %s, item %s", req.JobID, req.ItemID)
	}
	return Body{Bytes: found.Body}, nil
}

func (s *Store) end(ctx context.Context, req EndRequest) (Done, error) {
	r, err := s.lead()
	if err != nil {
		return Done{}, err
	}
	err = s.propose(ctx, job.Command{End: &job.End{JobID: req.JobID, Account: req.Account}})
	s.opts.Log.Info("JobEnded", zap.String("Job", req.JobID), zap.Error(err))
	if err == nil {
		r.close(req.JobID)
	}
	return Done{}, err
}
