// Package intake bounds what the clients of a process may use up: memory and connections.
// All listeners of a process share one Intake.
package intake

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/clock"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/memory"
)

const (
	// DefaultMemoryBytes is the memory of a process whose settings name none.
	DefaultMemoryBytes = 256 << 20
	// DefaultDescriptors is the number of sockets of a process whose settings name none.
	DefaultDescriptors = 2_048

	// heldShare is the part of the memory, as a divisor, that requests may hold: what remains
	// is for the process itself, its connections, and memory that is not yet collected.
	heldShare = 2.5
	// smallShare is the part of that, as a divisor, that large requests cannot take.
	smallShare = 4
	// smallBytes is the length up to which a request is small.
	smallBytes = 64 << 10
	// waitingShare is the part of the memory, as a divisor, that may be unread at the sockets of
	// waiting requests.
	waitingShare = 10
	// connectionsShare is the part of the memory, as a divisor, that connections may take beside
	// their requests.
	connectionsShare = 6
	// connectionBytes is what a connection takes: the stacks of its goroutines and its buffers.
	connectionBytes = 24 << 10
	// socketBytes is what may be unread at a socket.
	socketBytes = 64 << 10
	// tickInterval is the interval at which stalled requests are looked for while others wait.
	tickInterval = 100 * time.Millisecond
)

// Options configures an Intake.
type Options struct {
	// MemoryBytes is the memory of the process. 0 selects DefaultMemoryBytes.
	MemoryBytes int64
	// Descriptors is the number of sockets that the process may have. 0 selects
	// DefaultDescriptors.
	Descriptors int
	Log         *zap.Logger
	Registry    *prometheus.Registry
}

// Intake is the memory and the connections that clients have taken. It is safe for
// concurrent use.
type Intake struct {
	opts    Options
	clock   rollout.Clock
	metrics *metrics
	reports reports

	mu sync.Mutex
	// The fields below are guarded by mu.
	account *memory.Account
	leases  map[memory.ID]*Lease
	// ticking is true while a timer runs that looks for stalled requests.
	ticking bool
}

// New returns an Intake that nobody uses.
func New(opts Options) *Intake {
	if opts.MemoryBytes <= 0 {
		opts.MemoryBytes = DefaultMemoryBytes
	}
	if opts.Descriptors <= 0 {
		opts.Descriptors = DefaultDescriptors
	}
	if opts.Log == nil {
		opts.Log = zap.NewNop()
	}
	held := int64(float64(opts.MemoryBytes) / heldShare)
	i := &Intake{
		opts: opts, clock: clock.New(), leases: make(map[memory.ID]*Lease),
		account: memory.New(memory.Config{
			Bytes: held, SmallBytes: held / smallShare, SmallLimit: smallBytes,
			MaxWaiting: int(opts.MemoryBytes / waitingShare / socketBytes),
		}),
	}
	i.metrics = newMetrics(opts.Registry, i)
	return i
}

// MaxConnections returns the number of connections that clients may have open at the main
// listener of the process. Others of its sockets are for upstreams, hosts and files.
func (i *Intake) MaxConnections() int {
	return min(i.opts.Descriptors/2, int(i.opts.MemoryBytes/connectionsShare/connectionBytes))
}

// Open returns a lease without memory. onEvict is called, at most once and without a lock,
// if the lease is evicted; the transfer that it is for must stop then.
func (i *Intake) Open(onEvict func()) *Lease {
	i.mu.Lock()
	defer i.mu.Unlock()
	l := &Lease{intake: i, onEvict: onEvict, id: i.account.Open(i.clock.Now())}
	i.leases[l.id] = l
	return l
}

// Stats returns what is held.
func (i *Intake) Stats() memory.Stats {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.account.Stats()
}

// apply wakes the leases that an outcome names. The caller holds mu, and calls the functions
// that it returns without it.
func (i *Intake) apply(out memory.Outcome) []func() {
	for _, id := range out.Granted {
		i.leases[id].wake(nil)
	}
	var evictions []func()
	for _, id := range out.Evicted {
		l := i.leases[id]
		l.evicted = true
		l.wake(errEvicted())
		evictions = append(evictions, l.onEvict)
	}
	return evictions
}

// update changes the account and passes on what follows.
func (i *Intake) update(change func(a *memory.Account) memory.Outcome) {
	i.mu.Lock()
	evictions := i.apply(change(i.account))
	i.mu.Unlock()
	for _, evict := range evictions {
		i.Refused(ReasonStalled)
		evict()
	}
}

// startTicking looks for stalled requests as long as others wait. The caller holds mu.
func (i *Intake) startTicking() {
	if i.ticking {
		return
	}
	i.ticking = true
	time.AfterFunc(tickInterval, i.tick)
}

func (i *Intake) tick() {
	i.update(func(a *memory.Account) memory.Outcome {
		out := a.Tick(i.clock.Now())
		i.ticking = false
		if a.Stats().Waiting > 0 {
			i.startTicking()
		}
		return out
	})
}

func errEvicted() *rollout.Error {
	return rollout.NewError(rollout.KindOverloaded, "the request was not received in time while others waited for its memory").WithNotRun()
}

// Lease is the memory of one request. Its methods may be called by one goroutine at a time.
type Lease struct {
	intake  *Intake
	id      memory.ID
	onEvict func()
	// The fields below are guarded by the mutex of the intake.

	// granted receives the outcome of the reservation that waits. It is nil if none does.
	granted chan error
	evicted bool
}

// Add charges the lease for memory that is in use already.
func (l *Lease) Add(bytes int64) {
	l.intake.update(func(a *memory.Account) memory.Outcome {
		a.Add(l.id, bytes)
		return memory.Outcome{}
	})
}

// Close gives the memory back.
func (l *Lease) Close() {
	l.intake.update(func(a *memory.Account) memory.Outcome {
		out := a.Close(l.id)
		delete(l.intake.leases, l.id)
		return out
	})
}

// Evicted reports whether the lease has been evicted.
func (l *Lease) Evicted() bool {
	l.intake.mu.Lock()
	defer l.intake.mu.Unlock()
	return l.evicted
}

// Moved records that bytes were transferred.
func (l *Lease) Moved(bytes int) {
	l.intake.mu.Lock()
	defer l.intake.mu.Unlock()
	l.intake.account.Moved(l.intake.clock.Now(), l.id, int64(bytes))
}

// Reserve waits until the lease may hold a total of bytes. It fails with KindOverloaded if
// that does not happen before the context ends.
func (l *Lease) Reserve(ctx context.Context, bytes int64) error {
	i := l.intake
	i.mu.Lock()
	granted, err := i.account.Reserve(l.id, bytes)
	if granted || err != nil {
		i.mu.Unlock()
		if err != nil {
			i.Refused(ReasonMemory)
		}
		return err
	}
	outcome := make(chan error, 1)
	l.granted = outcome
	i.startTicking()
	i.mu.Unlock()
	i.metrics.waits.Inc()
	select {
	case err := <-outcome:
		return err
	case <-ctx.Done():
	}
	i.update(func(a *memory.Account) memory.Outcome {
		l.granted = nil
		return a.StopWaiting(l.id)
	})
	select {
	case err := <-outcome:
		return err
	default:
	}
	i.Refused(ReasonMemory)
	return rollout.NewError(rollout.KindOverloaded, "no memory for %d bytes was free in time", bytes).WithCause(ctx.Err()).WithNotRun()
}

// Settle marks a transfer that has ended. The lease is not evicted any more.
func (l *Lease) Settle() {
	l.intake.mu.Lock()
	defer l.intake.mu.Unlock()
	l.intake.account.Settle(l.id)
}

// Shrink reduces the memory of the lease to a total of bytes.
func (l *Lease) Shrink(bytes int64) {
	l.intake.update(func(a *memory.Account) memory.Outcome { return a.Shrink(l.id, bytes) })
}

// Transfer marks a transfer that begins, which may be evicted.
func (l *Lease) Transfer() {
	l.intake.mu.Lock()
	defer l.intake.mu.Unlock()
	l.intake.account.Transfer(l.intake.clock.Now(), l.id)
}

// wake ends the wait of a reservation. The caller holds the mutex of the intake.
func (l *Lease) wake(err error) {
	if l.granted == nil {
		return
	}
	l.granted <- err
	l.granted = nil
}
