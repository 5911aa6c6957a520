// Package view keeps at each daemon a copy of what control has decided and
// knows: the configuration in force, the upstreams, the named weight versions
// and the hosts that store jobs.
package view

import (
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/document"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/poison"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/quorum"
)

// MethodWatch asks the leader of control for what has changed.
const MethodWatch = "Control.Watch"

// Role is the job of a daemon.
type Role string

// The roles.
const (
	RoleEntry   Role = "Entry"
	RoleControl Role = "Control"
	RoleStore   Role = "Store"
)

// Request asks for what has changed since the caller's copy.
type Request struct {
	Host          string
	Role          Role
	Address       string
	FailureDomain string
	// Epoch is the term of the leader that the copy is from.
	Epoch           uint64
	DocumentVersion uint64
	TableRevision   uint64
	FactsRevision   uint64
	// WaitMS is how long the leader may wait for a change.
	WaitMS rollout.Millis
	// Usage holds running totals of open usage windows.
	Usage *Usage `json:",omitempty"`
	// Store is set by hosts that store jobs.
	Store *StoreStatus `json:",omitempty"`
	// Crashes is nil when the leader has them.
	Crashes *Crashes `json:",omitempty"`
}

// Crashes holds the requests whose connections upstreams have broken off at a
// host.
type Crashes struct{ Sightings []poison.Sighting }

// Usage holds the running totals of one incarnation of an entry.
type Usage struct {
	Incarnation string
	// Windows holds requests by window and client account.
	Windows map[uint64]map[string]uint64
}

// StoreStatus is what a host that stores jobs says of its quorum.
type StoreStatus struct {
	Member quorum.MemberID
	// Blank is true while the host has never been a member of a quorum.
	Blank   bool
	Leading bool
	Term    uint64
	Members quorum.Members
	// Settled is true when Members is committed.
	Settled bool
	// FactsRevision is that of the facts which the host acts on.
	FactsRevision uint64
}

// Facts are small and rarely change.
type Facts struct {
	// Versions holds the newest named weight version of each model.
	Versions map[string]uint64
	Founders []quorum.Member
	// Retiring holds addresses of hosts that are to store nothing.
	Retiring []string
	// StoreLeader is the address of the host that leads the job store.
	StoreLeader string
	// Stores are the addresses of the members of the job store.
	Stores []string
	// StoreDomains holds the failure domain of each address in Stores.
	StoreDomains map[string]string
	// Controls are the addresses of the control hosts.
	Controls []string
	// Poisons are the fingerprints of requests that crash upstreams.
	Poisons []string `json:",omitempty"`
}

// Reply holds what has changed.
type Reply struct {
	Epoch uint64
	// Document is nil when the copy is current.
	Document *document.Document `json:",omitempty"`
	// Whole is true when Upstreams is the whole table.
	Whole         bool
	Upstreams     []discovery.Upstream `json:",omitempty"`
	TableRevision uint64
	// Facts is nil when the copy is current.
	Facts         *Facts `json:",omitempty"`
	FactsRevision uint64
}
