// Package peer sends the quorum's messages to other control hosts.
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
	// outboxLength bounds the messages that wait for one peer. More are
	// dropped; the log is robust against loss.
	outboxLength   = 256
	deliverTimeout = time.Second
)

// Sender sends messages to the other members, each from a thread of its
// own.
type Sender struct {
	ctx     context.Context
	dialer  *link.Dialer
	address string
	wait    sync.WaitGroup

	mu sync.Mutex
	// addresses of the members that are known, by ID.
	addresses map[quorum.MemberID]string
	outboxes  map[quorum.MemberID]chan quorum.Message
}

// New returns a sender that tells its own address with each message.
func New(ctx context.Context, dialer *link.Dialer, address string) *Sender {
	return &Sender{
		ctx: ctx, dialer: dialer, address: address,
		addresses: make(map[quorum.MemberID]string),
		outboxes:  make(map[quorum.MemberID]chan quorum.Message),
	}
}

// SetAddress notes the address of a member.
func (p *Sender) SetAddress(id quorum.MemberID, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if id != "" && address != "" {
		p.addresses[id] = address
	}
}

// SetAddresses notes the addresses of all members.
func (p *Sender) SetAddresses(m quorum.Members) {
	for _, v := range m.Voters {
		p.SetAddress(v.ID, v.Address)
	}
	for _, l := range m.Learners {
		p.SetAddress(l.ID, l.Address)
	}
}

// Send queues messages. It never blocks.
func (p *Sender) Send(ms []quorum.Message) {
	for _, m := range ms {
		select {
		case p.outbox(m.To) <- m:
		default:
		}
	}
}

func (p *Sender) addressOf(id quorum.MemberID) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addresses[id]
}

func (p *Sender) outbox(id quorum.MemberID) chan quorum.Message {
	p.mu.Lock()
	defer p.mu.Unlock()
	box := p.outboxes[id]
	if box == nil {
		box = make(chan quorum.Message, outboxLength)
		p.outboxes[id] = box
		p.wait.Go(func() { p.pump(id, box) })
	}
	return box
}

// pump delivers the messages of one outbox until the context ends.
func (p *Sender) pump(id quorum.MemberID, box chan quorum.Message) {
	for {
		select {
		case <-p.ctx.Done():
			return
		case m := <-box:
			p.deliver(id, collect(m, box))
		}
	}
}

func (p *Sender) deliver(id quorum.MemberID, ms []quorum.Message) {
	address := p.addressOf(id)
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(p.ctx, deliverTimeout)
	defer cancel()
	req := &wire.PeerMessages{Address: p.address}
	for _, m := range ms {
		req.Messages = append(req.Messages, toWire(m))
	}
	conn := p.dialer.Conn(ctx, address)
	_, _ = wire.NewDRPCControlClient(conn).Deliver(ctx, req)
}

// collect takes the messages that wait behind the first.
func collect(first quorum.Message, box chan quorum.Message) []quorum.Message {
	ms := []quorum.Message{first}
	for len(ms) < outboxLength {
		select {
		case m := <-box:
			ms = append(ms, m)
		default:
			return ms
		}
	}
	return ms
}

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

// FromWire reads a message.
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
