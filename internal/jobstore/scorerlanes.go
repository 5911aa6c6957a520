package jobstore

import (
	"context"
	"sync"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/lane"
)

// scorerShare is the share of the slots of a pool that calls to scorers may take.
// The items of a step end in bursts, and callers use the same upstreams.
const scorerShare = 0.5

// scorerLanes bounds the calls to scorers that run at a time in each pool. It is
// safe for concurrent use.
type scorerLanes struct {
	mu    sync.Mutex
	lanes map[string]*lane.Lane[chan struct{}]
}

func newScorerLanes() *scorerLanes {
	return &scorerLanes{lanes: make(map[string]*lane.Lane[chan struct{}])}
}

// enter waits until a call to a pool with the given slots may begin. It returns
// false if the context ends first; otherwise the caller must call leave.
func (s *scorerLanes) enter(ctx context.Context, pool string, slots int) bool {
	admitted := make(chan struct{})
	s.mu.Lock()
	l := s.lanes[pool]
	if l == nil {
		l = lane.New[chan struct{}](0)
		s.lanes[pool] = l
	}
	signal(l.SetLimit(int(scorerShare * float64(slots))))
	began := l.Enter(admitted)
	s.mu.Unlock()
	if began {
		return true
	}
	select {
	case <-admitted:
		return true
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !l.Remove(admitted) {
		// The call was admitted while the context ended.
		signal(l.Leave())
	}
	return false
}

// leave ends a call that enter admitted.
func (s *scorerLanes) leave(pool string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	signal(s.lanes[pool].Leave())
}

// signal tells the waiting calls that they may begin.
func signal(admitted []chan struct{}) {
	for _, c := range admitted {
		close(c)
	}
}
