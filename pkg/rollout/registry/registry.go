// Package registry implements the replicated state of the control service: the
// active configuration, the named weight version of each model, usage windows,
// and the founding and retiring hosts of the job store.
package registry

import (
	"encoding/json"
	"io"
	"maps"
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/document"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/quorum"
)

// windowRetention is the number of closed windows that are kept before the newest
// one.
const windowRetention = 64

// MaxRefusals bounds the refused requests. Each costs every host 64 bytes.
const MaxRefusals = 512

// Command is a change of the state. Exactly one field is set.
type Command struct {
	Put    *PutDocument    `json:",omitempty"`
	Name   *NameVersion    `json:",omitempty"`
	Close  *CloseWindow    `json:",omitempty"`
	Sent   *MarkWindowSent `json:",omitempty"`
	Found  *FoundStore     `json:",omitempty"`
	Retire *RetireHost     `json:",omitempty"`
	Refuse *RefuseRequests `json:",omitempty"`
	// Evacuate begins the evacuation of a failure domain, and EndEvacuation ends it.
	Evacuate      *Evacuation       `json:",omitempty"`
	EndEvacuation *Evacuation       `json:",omitempty"`
	Depart        *RecordDepartures `json:",omitempty"`
}

// PutDocument activates a configuration.
type PutDocument struct {
	// Raw is the configuration as sent by the operator.
	Raw      []byte
	Document document.Document
}

// NameVersion makes a weight version the one to serve for a model.
type NameVersion struct {
	Model   string
	Version uint64
}

// CloseWindow closes a usage window with its final counts.
type CloseWindow struct {
	Window   uint64
	Requests map[string]uint64
}

// MarkWindowSent records that the report of a usage window has been accepted.
type MarkWindowSent struct {
	Window uint64
}

// FoundStore sets the initial members of the job store.
type FoundStore struct {
	Members []quorum.Member
}

// RetireHost excludes a host from the members of the job store.
type RetireHost struct {
	Host    string
	Address string
}

// RefuseRequests refuses requests that crash upstreams, and ends the refusals that have
// expired.
type RefuseRequests struct {
	// NowMS and UntilMS are wall clock times of the leader.
	NowMS, UntilMS rollout.Millis
	Fingerprints   []string
}

// Evacuation names a failure domain whose upstreams get no new work.
type Evacuation struct {
	FailureDomain string
	// AtMS is the wall clock time of the leader.
	AtMS rollout.Millis
}

// evacuationRetentionMS is how long the end of an evacuation is remembered. It is many times
// the time for which upstreams are cold, also if the clocks of two leaders differ.
const evacuationRetentionMS rollout.Millis = 60_000

// Window is a closed usage window.
type Window struct {
	Requests map[string]uint64
	Sent     bool
}

// State is the whole replicated state. It is not safe for concurrent use.
type State struct {
	// Raw and Document are the configuration with the highest version.
	Raw      []byte
	Document document.Document
	// Versions holds the highest named version of each model.
	Versions map[string]uint64
	// Windows holds the closed windows by number. Their counts never change.
	Windows map[uint64]Window
	// ClosedTo is the number of the newest closed window.
	ClosedTo uint64
	// Founders are the initial members of the job store.
	Founders []quorum.Member
	// Retiring maps the name of each retired host to its address.
	Retiring map[string]string
	// RefusedUntilMS maps the fingerprint of each refused request to the wall clock time
	// at which the refusal expires.
	RefusedUntilMS map[string]rollout.Millis `json:",omitempty"`
	// Evacuated maps each evacuated failure domain to the wall clock time at which the
	// evacuation began.
	Evacuated map[string]rollout.Millis `json:",omitempty"`
	// EvacuationEndedMS maps each failure domain whose evacuation ended a short time ago
	// to the wall clock time at which it did.
	EvacuationEndedMS map[string]rollout.Millis `json:",omitempty"`
	// Departures holds the last departure of upstreams by their ID. It is replaced and never
	// changed.
	Departures map[string]Departure `json:",omitempty"`
	// LastDeparture is the number of the last departure.
	LastDeparture uint64 `json:",omitempty"`
	// Revision increases with every change except those of windows and departures.
	Revision uint64
}

// New returns an empty state.
func New() *State {
	return &State{
		Versions: make(map[string]uint64), Windows: make(map[uint64]Window),
		Retiring: make(map[string]string),
	}
}

// Apply executes a command.
func (s *State) Apply(c Command) {
	switch {
	case c.Put != nil:
		s.putDocument(*c.Put)
	case c.Name != nil:
		if c.Name.Version > s.Versions[c.Name.Model] {
			s.Versions = maps.Clone(s.Versions)
			s.Versions[c.Name.Model] = c.Name.Version
			s.Revision++
		}
	case c.Close != nil:
		s.closeWindow(*c.Close)
	case c.Sent != nil:
		if w, ok := s.Windows[c.Sent.Window]; ok {
			w.Sent = true
			s.Windows[c.Sent.Window] = w
		}
	case c.Found != nil:
		if len(s.Founders) == 0 {
			s.Founders = c.Found.Members
			s.Revision++
		}
	case c.Retire != nil:
		s.Retiring = maps.Clone(s.Retiring)
		s.Retiring[c.Retire.Host] = c.Retire.Address
		s.Revision++
	case c.Refuse != nil:
		s.refuse(*c.Refuse)
	case c.Evacuate != nil:
		s.evacuate(*c.Evacuate)
	case c.EndEvacuation != nil:
		s.endEvacuation(*c.EndEvacuation)
	case c.Depart != nil:
		s.recordDepartures(c.Depart.Departures)
	}
}

// evacuate begins an evacuation. One that has begun already stays as it is.
func (s *State) evacuate(e Evacuation) {
	if _, evacuated := s.Evacuated[e.FailureDomain]; evacuated {
		return
	}
	s.Evacuated = withEntry(s.Evacuated, e.FailureDomain, e.AtMS)
	s.Revision++
}

// endEvacuation ends an evacuation, if there is one.
func (s *State) endEvacuation(e Evacuation) {
	if _, evacuated := s.Evacuated[e.FailureDomain]; !evacuated {
		return
	}
	s.Evacuated = maps.Clone(s.Evacuated)
	delete(s.Evacuated, e.FailureDomain)
	s.EvacuationEndedMS = withEntry(s.EvacuationEndedMS, e.FailureDomain, e.AtMS)
	maps.DeleteFunc(s.EvacuationEndedMS, func(_ string, at rollout.Millis) bool { return e.AtMS-at > evacuationRetentionMS })
	s.Revision++
}

// EvacuatedDomains returns the evacuated failure domains, sorted.
func (s *State) EvacuatedDomains() []string { return slices.Sorted(maps.Keys(s.Evacuated)) }

// EvacuationsEnded returns the failure domains whose evacuation ended within
// evacuationRetentionMS of a wall clock time, sorted.
func (s *State) EvacuationsEnded(now rollout.Millis) []string {
	recent := maps.Clone(s.EvacuationEndedMS)
	maps.DeleteFunc(recent, func(_ string, at rollout.Millis) bool { return now-at > evacuationRetentionMS })
	return slices.Sorted(maps.Keys(recent))
}

// withEntry returns a copy of a map with an entry.
func withEntry(m map[string]rollout.Millis, key string, value rollout.Millis) map[string]rollout.Millis {
	next := maps.Clone(m)
	if next == nil {
		next = make(map[string]rollout.Millis)
	}
	next[key] = value
	return next
}

// Freeze returns a function that writes a snapshot of the current state.
func (s *State) Freeze() func(w io.Writer) error {
	data, err := json.Marshal(s)
	return func(w io.Writer) error {
		if err != nil {
			return rollout.NewError(rollout.KindStorage, "encode snapshot of control state").WithCause(err)
		}
		_, werr := w.Write(data)
		return werr
	}
}

// Restore replaces the state with a snapshot.
func (s *State) Restore(r io.Reader) error {
	next := New()
	if err := json.NewDecoder(r).Decode(next); err != nil {
		return rollout.NewError(rollout.KindStorage, "decode snapshot of control state").WithCause(err)
	}
	*s = *next
	return nil
}

// closeWindow stores the counts of a window. A window that is closed already
// keeps its counts, and one too old to be kept is ignored.
func (s *State) closeWindow(c CloseWindow) {
	if _, closed := s.Windows[c.Window]; closed || (s.ClosedTo > windowRetention && c.Window <= s.ClosedTo-windowRetention) {
		return
	}
	s.Windows[c.Window] = Window{Requests: c.Requests}
	s.ClosedTo = max(s.ClosedTo, c.Window)
	for w := range s.Windows {
		if w+windowRetention < s.ClosedTo {
			delete(s.Windows, w)
		}
	}
}

// refuse adds refusals and removes those that have expired. If there are too many, those
// that expire first are removed.
func (s *State) refuse(r RefuseRequests) {
	next := maps.Clone(s.RefusedUntilMS)
	if next == nil {
		next = make(map[string]rollout.Millis)
	}
	for _, f := range r.Fingerprints {
		next[f] = r.UntilMS
	}
	maps.DeleteFunc(next, func(_ string, until rollout.Millis) bool { return until <= r.NowMS })
	for len(next) > MaxRefusals {
		first := ""
		for f, until := range next {
			if first == "" || until < next[first] || (until == next[first] && f < first) {
				first = f
			}
		}
		delete(next, first)
	}
	if maps.Equal(next, s.RefusedUntilMS) {
		return
	}
	s.RefusedUntilMS = next
	s.Revision++
}

// putDocument activates a configuration with a higher version. If two have the
// same version, the first is kept.
func (s *State) putDocument(p PutDocument) {
	if p.Document.Version <= s.Document.Version {
		return
	}
	s.Raw, s.Document = p.Raw, p.Document
	s.Revision++
}
