// Package view replicates the state of the control leader to each daemon: the
// active configuration, the upstreams, the newest weight versions and the hosts
// of the job store.
package view

import (
	"encoding/json"

	"github.com/coltsfootspoke/coltsfootspoke/internal/pack"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/document"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/limit"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/poison"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/quorum"
)

// MethodWatch is the long poll by which a daemon reads changes from the control
// leader.
const MethodWatch = "Control.Watch"

// MethodReportCrashes sends broken connections to the control leader that can't wait for
// the next watch request.
const MethodReportCrashes = "Control.ReportCrashes"

// Role is the function of a daemon in the deployment.
type Role string

// The roles.
const (
	RoleEntry   Role = "Entry"
	RoleControl Role = "Control"
	RoleStore   Role = "Store"
)

// Request is a watch request. It asks for the changes since the caller's copy of
// the state and reports the caller's status.
type Request struct {
	Host          string
	Role          Role
	Address       string
	FailureDomain string
	// Epoch is the term of the leader that sent the caller's copy.
	Epoch           uint64
	DocumentVersion uint64
	TableRevision   uint64
	FactsRevision   uint64
	// AcceptsPacked is true if the caller understands Reply.PackedDocument.
	AcceptsPacked bool `json:",omitempty"`
	// CopyAgeMS is the time since a leader last confirmed the copy, or negative if none has.
	CopyAgeMS rollout.Millis `json:",omitempty"`
	// WaitMS is the maximum time that the leader waits for a change.
	WaitMS rollout.Millis
	// Usage holds the request totals of usage windows that are still open.
	Usage *Usage `json:",omitempty"`
	// Store is set by hosts that store jobs.
	Store *StoreStatus `json:",omitempty"`
	// BrokenConnections is nil if the leader has received the current ones.
	BrokenConnections *BrokenConnections `json:"Crashes,omitempty"`
	// Leaving is nil if the leader has received the current ones.
	Leaving *LeavingUpstreams `json:",omitempty"`
}

// LeavingUpstreams holds the upstreams whose responses to a host said that they leave.
type LeavingUpstreams struct {
	Incarnations []discovery.Incarnation
}

// BrokenConnections holds the requests of a host whose connections broke while an
// upstream ran them.
type BrokenConnections struct {
	// Incarnation identifies the process of the daemon that saw them.
	Incarnation string `json:",omitempty"`
	// Revision increases with each change of the connections.
	Revision    uint64                    `json:",omitempty"`
	Connections []poison.BrokenConnection `json:"Sightings"`
}

// CrashReport is a request that sends the broken connections of a daemon.
type CrashReport struct {
	Host              string
	Role              Role
	BrokenConnections BrokenConnections
}

// Usage holds the request totals of one incarnation of an entry.
type Usage struct {
	Incarnation string
	// Windows holds the number of requests by window and client account.
	Windows map[uint64]map[string]uint64
}

// StoreStatus is the state of a host's member of the job store quorum.
type StoreStatus struct {
	Member quorum.MemberID
	// Blank is true until the host first becomes a member of a quorum.
	Blank   bool
	Leading bool
	Term    uint64
	Members quorum.Members
	// Settled is true if Members is committed.
	Settled bool
	// FactsRevision is the revision of the facts that the host has applied.
	FactsRevision uint64
}

// Facts is the part of the control state that is small and rarely changes. It is
// always sent whole.
type Facts struct {
	// Versions holds the newest named weight version of each model.
	Versions map[string]uint64
	Founders []quorum.Member
	// Retiring holds the addresses of hosts that are being removed from the job
	// store.
	Retiring []string
	// StoreLeader is the address of the leader of the job store.
	StoreLeader string
	// Stores holds the addresses of the members of the job store.
	Stores []string
	// StoreDomains holds the failure domain of each address in Stores.
	StoreDomains map[string]string
	// Controls holds the addresses of the control hosts.
	Controls []string
	// Poisons holds the fingerprints of requests that crash upstreams.
	Poisons []string `json:",omitempty"`
	// Evacuated holds the failure domains whose upstreams get no new work.
	Evacuated []string `json:",omitempty"`
}

// Reply holds the changes since the caller's copy.
type Reply struct {
	Epoch uint64
	// HeldMS is the time from the receipt of the request to this reply. The reply
	// includes every change that was committed before it, so the caller's copy is
	// confirmed for the time at which it sent the request plus HeldMS.
	HeldMS rollout.Millis `json:",omitempty"`
	// Document is nil if the caller's copy is current.
	Document *document.Document `json:",omitempty"`
	// PackedDocument is Document as PackDocument encodes it. The leader encodes a
	// document once for all hosts; a reply holds one of the two.
	PackedDocument []byte `json:",omitempty"`
	// DocumentAgeMS is the time from the commit of the document to this reply, or 0
	// if the leader restored the document instead of committing it.
	DocumentAgeMS rollout.Millis `json:",omitempty"`
	// Whole is true if Upstreams is the whole table instead of the changes.
	Whole         bool
	Upstreams     []discovery.Upstream `json:",omitempty"`
	TableRevision uint64
	// Facts is nil if the caller's copy is current.
	Facts         *Facts `json:",omitempty"`
	FactsRevision uint64
	// ColdShare is the caller's share if it loses control, or nil if no upstream can be cold.
	// Hosts that store jobs get none.
	ColdShare *limit.Share `json:",omitempty"`
	// Senders describes the entries to control hosts.
	Senders []limit.Sender `json:",omitempty"`
}

// PackDocument encodes a document for Reply.PackedDocument.
func PackDocument(packer *pack.Packer, d document.Document) ([]byte, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return nil, rollout.NewError(rollout.KindInternal, "encode document %d", d.Version).WithCause(err)
	}
	return packer.Pack(data), nil
}

// unpackDocument decodes PackedDocument into Document, if it is set.
func (r *Reply) unpackDocument(packer *pack.Packer) error {
	if len(r.PackedDocument) == 0 {
		return nil
	}
	data, err := packer.Unpack(r.PackedDocument)
	if err != nil {
		return err
	}
	r.Document = &document.Document{}
	if err := json.Unmarshal(data, r.Document); err != nil {
		return rollout.NewError(rollout.KindInvalidInput, "decode document of %d bytes", len(data)).WithCause(err)
	}
	return nil
}
