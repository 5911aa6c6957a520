package gateway

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/fabric"
	"github.com/coltsfootspoke/coltsfootspoke/internal/jobstore"
	"github.com/coltsfootspoke/coltsfootspoke/internal/link"
	"github.com/coltsfootspoke/coltsfootspoke/internal/view"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/job"
)

// uploadStore is a job store that keeps its state in a state machine.
type uploadStore struct {
	*fakeStore
	mu    sync.Mutex
	state *job.StateMachine
	calls int
	// interfere is called before each call, with the number of calls so far. It may change the
	// state. Its error ends the call.
	interfere func(s *uploadStore, call int) error
}

func newUploadStore(t *testing.T, interfere func(s *uploadStore, call int) error) *uploadStore {
	t.Helper()
	s := &uploadStore{fakeStore: &fakeStore{}, state: job.NewStateMachine(), interfere: interfere}
	mux := fabric.NewMux(nil)
	fabric.Handle(mux, jobstore.MethodAddPart, func(_ context.Context, req jobstore.PartRequest) (jobstore.PartReply, error) {
		return s.apply(req.Part.JobID, job.Command{Part: &req.Part})
	})
	fabric.Handle(mux, jobstore.MethodSubmit, func(_ context.Context, spec job.Spec) (jobstore.PartReply, error) {
		return s.apply(spec.ID, job.Command{Submit: &spec})
	})
	listener := listen(t)
	s.address = listener.Addr().String()
	runUntilEnd(t, func(ctx context.Context) { _ = link.NewServer(listener, "", mux, zap.NewNop()).Serve(ctx) })
	return s
}

func (s *uploadStore) apply(id string, c job.Command) (jobstore.PartReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.interfere != nil {
		if err := s.interfere(s, s.calls); err != nil {
			return jobstore.PartReply{}, err
		}
	}
	reply := func() (r jobstore.PartReply) {
		r.Accepted = s.state.Jobs[id] != nil
		if u := s.state.Uploads[id]; u != nil {
			r.Parts = len(u.Digests)
		}
		return r
	}
	if p := c.Part; p != nil && p.Number > reply().Parts {
		return reply(), nil
	}
	err := s.state.Apply(c)
	return reply(), err
}

// largeItems are items of about 3 MiB, in some parts.
func largeItems() JobItems {
	var items []job.Item
	for i := range 30 {
		items = append(items, job.Item{ID: fmt.Sprint("i", i), Body: bytes.Repeat([]byte{byte(i)}, 100_000)})
	}
	all := jobItems(items...)
	all.TextBytes = 4 << 20
	return all
}

func submitLarge(t *testing.T, s *uploadStore) error {
	t.Helper()
	d := regionDocument(nil, nil)
	c := newControlHost(t, d)
	c.facts.Store(&view.Facts{StoreLeader: s.address, Stores: []string{s.address}})
	g := newRegionGateway(t, c, &scriptedStreams{}, zap.NewNop())
	return g.SubmitJob(t.Context(), job.Spec{ID: "j", Account: "farm"}, largeItems(), d.Routes[0])
}

// Guards against a large job that is lost or changed on its way, while parts get lost, come
// twice, or are sent by another entry at the same time.
func TestLargeJobIsSubmittedInParts(t *testing.T) {
	for name, interfere := range map[string]func(s *uploadStore, call int) error{
		"undisturbed": nil,
		"upload dropped": func(s *uploadStore, call int) error {
			if call == 4 {
				return s.state.Apply(job.Command{Drop: &job.DropUploads{JobIDs: []string{"j"}}})
			}
			return nil
		},
		"no leader for a moment": func(_ *uploadStore, call int) error {
			if call == 2 || call == 3 {
				return rollout.NewError(rollout.KindUnavailable, "no runner yet")
			}
			return nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newUploadStore(t, interfere)
			if err := submitLarge(t, s); err != nil {
				t.Fatal(err)
			}
			j := s.state.Jobs["j"]
			if j == nil || len(j.Spec.Items) != 30 || len(s.state.Uploads) != 0 {
				t.Fatalf("got job %.200v and uploads %v, want 30 items", j, s.state.Uploads)
			}
			for i, it := range j.Spec.Items {
				if want := bytes.Repeat([]byte{byte(i)}, 100_000); !bytes.Equal(it.Body, want) {
					t.Fatalf("item %d has a body of %d bytes from %.10v, want %d", i, len(it.Body), it.Body, len(want))
				}
			}
		})
	}
	t.Run("by two entries", func(t *testing.T) {
		s := newUploadStore(t, nil)
		var entries sync.WaitGroup
		for range 2 {
			entries.Go(func() {
				if err := submitLarge(t, s); err != nil {
					t.Error(err)
				}
			})
		}
		entries.Wait()
		if j := s.state.Jobs["j"]; j == nil || len(j.Spec.Items) != 30 || len(s.state.Uploads) != 0 {
			t.Fatalf("got job %.200v and uploads %v, want 30 items", j, s.state.Uploads)
		}
	})
}

// A job whose parts are refused has not run.
func TestRefusedPartsOfALargeJobDidNotRun(t *testing.T) {
	full := newUploadStore(t, func(*uploadStore, int) error { return rollout.NewError(rollout.KindOverloaded, "full") })
	err := submitLarge(t, full)
	assertKind(t, err, rollout.KindOverloaded)
	if !rollout.AsError(err).NotRun {
		t.Errorf("error %v, want not run", err)
	}
}
