// Package peer sends the messages of a quorum to its other members.
package peer

import (
	"context"
	"sync"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/internal/link"
	"github.com/coltsfootspoke/coltsfootspoke/internal/wire"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/quorum"
)

const (
	// queueCapacity limits the messages that are queued for one member. Further
	// messages are dropped; the quorum tolerates the loss of messages.
	queueCapacity  = 256
	deliverTimeout = time.Second
	// maxDeliveryBytes is the size of the entries from which a delivery takes no further
	// message.
	maxDeliveryBytes = 1 << 20
)

// Sender sends messages to the other members. Each member has a queue with its own
// goroutine, so that a slow member does not delay the others.
type Sender struct {
	ctx     context.Context
	dialer  *link.Dialer
	address string
	wait    sync.WaitGroup

	mu sync.Mutex
	// addresses holds the known addresses of members by ID.
	addresses map[quorum.MemberID]string
	queues    map[quorum.MemberID]chan quorum.Message
}

// New returns a sender that runs until the context ends. The address is that of
// this host; it is included in each delivery.
func New(ctx context.Context, dialer *link.Dialer, address string) *Sender {
	return &Sender{
		ctx: ctx, dialer: dialer, address: address,
		addresses: make(map[quorum.MemberID]string),
		queues:    make(map[quorum.MemberID]chan quorum.Message),
	}
}

// SetAddress sets the address of a member. It does nothing if the ID or the address
// is empty.
func (s *Sender) SetAddress(id quorum.MemberID, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id != "" && address != "" {
		s.addresses[id] = address
	}
}

// SetAddresses sets the addresses of all members.
func (s *Sender) SetAddresses(m quorum.Members) {
	for _, v := range m.Voters {
		s.SetAddress(v.ID, v.Address)
	}
	for _, l := range m.Learners {
		s.SetAddress(l.ID, l.Address)
	}
}

// Send queues messages for delivery. It does not block: messages for a full queue
// are dropped.
func (s *Sender) Send(ms []quorum.Message) {
	for _, m := range ms {
		select {
		case s.queue(m.To) <- m:
		default:
		}
	}
}

func (s *Sender) addressOf(id quorum.MemberID) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addresses[id]
}

// queue returns the queue of a member. On first use it creates the queue and starts
// its delivery.
func (s *Sender) queue(id quorum.MemberID) chan quorum.Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queues[id]
	if q == nil {
		q = make(chan quorum.Message, queueCapacity)
		s.queues[id] = q
		s.wait.Go(func() { s.deliverQueued(id, q) })
	}
	return q
}

// deliverQueued delivers the messages of one queue until the context ends.
func (s *Sender) deliverQueued(id quorum.MemberID, q chan quorum.Message) {
	for {
		select {
		case <-s.ctx.Done():
			return
		case m := <-q:
			s.deliver(id, drainQueue(m, q))
		}
	}
}

// deliver sends messages to a member in one call. It drops them if the address is
// unknown or the call fails.
func (s *Sender) deliver(id quorum.MemberID, ms []quorum.Message) {
	address := s.addressOf(id)
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, deliverTimeout)
	defer cancel()
	req := &wire.PeerMessages{Address: s.address}
	for _, m := range ms {
		req.Messages = append(req.Messages, toWire(m))
	}
	conn := s.dialer.Conn(ctx, address)
	_, _ = wire.NewDRPCControlClient(conn).Deliver(ctx, req)
}

// drainQueue returns the first message and those that are queued after it, as far as one
// delivery takes them.
func drainQueue(first quorum.Message, q chan quorum.Message) []quorum.Message {
	ms, size := []quorum.Message{first}, first.EntryBytes()
	for len(ms) < queueCapacity && size < maxDeliveryBytes {
		select {
		case m := <-q:
			ms = append(ms, m)
			size += m.EntryBytes()
		default:
			return ms
		}
	}
	return ms
}

// toWire converts a message to its wire form.
func toWire(m quorum.Message) *wire.PeerMessage {
	w := &wire.PeerMessage{
		Type: uint32(m.Type), From: string(m.From), To: string(m.To), Term: m.Term,
		PrevIndex: m.PrevIndex, PrevTerm: m.PrevTerm, Commit: m.Commit,
		Round: m.Round, Reject: m.Reject, Match: m.Match, Force: m.Force,
	}
	w.Entries = wire.FromEntries(m.Entries)
	if s := m.Snapshot; s != nil {
		w.Snapshot, _ = wire.FromSnapshot(s)
	}
	return w
}

// FromWire converts a message from its wire form.
func FromWire(w *wire.PeerMessage) (quorum.Message, error) {
	m := quorum.Message{
		Type: quorum.MessageType(w.Type), From: quorum.MemberID(w.From), To: quorum.MemberID(w.To), Term: w.Term,
		PrevIndex: w.PrevIndex, PrevTerm: w.PrevTerm, Commit: w.Commit,
		Round: w.Round, Reject: w.Reject, Match: w.Match, Force: w.Force,
	}
	m.Entries = wire.ToEntries(w.Entries)
	if w.Snapshot == nil {
		return m, nil
	}
	var err error
	m.Snapshot, err = wire.ToSnapshot(w.Snapshot)
	return m, err
}
