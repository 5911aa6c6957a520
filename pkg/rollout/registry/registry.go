// Package registry is the replicated state of control: the configuration in
// force, named weight versions, usage windows, and the hosts that store jobs.
package registry

import (
	"encoding/json"
	"io"
	"maps"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/document"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/quorum"
)

// windowsKept bounds the closed windows that are remembered.
const windowsKept = 64

// Command changes the state. One field is set.
type Command struct {
	Put    *Put          `json:",omitempty"`
	Name   *NamedVersion `json:",omitempty"`
	Close  *CloseWindow  `json:",omitempty"`
	Sent   *MarkSent     `json:",omitempty"`
	Found  *FoundStore   `json:",omitempty"`
	Retire *RetiredHost  `json:",omitempty"`
}

// Put brings a configuration into force.
type Put struct {
	// Raw holds the bytes that the operator sent.
	Raw      []byte
	Document document.Document
}

// NamedVersion names a weight version of a model.
type NamedVersion struct {
	Model   string
	Version uint64
}

// CloseWindow freezes the figures of a usage window.
type CloseWindow struct {
	Window   uint64
	Requests map[string]uint64
}

// MarkSent notes that a usage window has been accepted.
type MarkSent struct {
	Window uint64
}

// FoundStore names the first members of the job store.
type FoundStore struct {
	Members []quorum.Member
}

// RetiredHost is a host that is to store nothing.
type RetiredHost struct {
	Host    string
	Address string
}

// Window is a closed usage window.
type Window struct {
	Requests map[string]uint64
	Sent     bool
}

// State is the whole state. It is used by one thread at a time.
type State struct {
	// Raw and Document are of the highest version that was put.
	Raw      []byte
	Document document.Document
	// Versions holds the newest named version of each model.
	Versions map[string]uint64
	// Windows holds closed windows. Their figures never change.
	Windows map[uint64]Window
	// ClosedTo is the newest closed window.
	ClosedTo uint64
	// Founders are the first members of the job store.
	Founders []quorum.Member
	// Retiring holds the addresses of hosts that are to store nothing, by
	// host name.
	Retiring map[string]string
	// Revision rises with each change but of windows.
	Revision uint64
}

// New returns an empty state.
func New() *State {
	return &State{
		Versions: make(map[string]uint64), Windows: make(map[uint64]Window),
		Retiring: make(map[string]string),
	}
}

// Apply carries a command out.
func (s *State) Apply(c Command) {
	switch {
	case c.Put != nil:
		s.put(*c.Put)
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
	}
}

// Freeze returns a function that writes the present state.
func (s *State) Freeze() func(w io.Writer) error {
	data, err := json.Marshal(s)
	return func(w io.Writer) error {
		if err != nil {
			return rollout.NewError(rollout.KindStorage, "snapshot of control").WithCause(err)
		}
		_, werr := w.Write(data)
		return werr
	}
}

// Restore replaces the state by one that was written.
func (s *State) Restore(r io.Reader) error {
	next := New()
	if err := json.NewDecoder(r).Decode(next); err != nil {
		return rollout.NewError(rollout.KindStorage, "snapshot of control").WithCause(err)
	}
	*s = *next
	return nil
}

// closeWindow keeps the first figures of a window.
func (s *State) closeWindow(c CloseWindow) {
	if _, closed := s.Windows[c.Window]; closed || (s.ClosedTo > windowsKept && c.Window <= s.ClosedTo-windowsKept) {
		return
	}
	s.Windows[c.Window] = Window{Requests: c.Requests}
	s.ClosedTo = max(s.ClosedTo, c.Window)
	for w := range s.Windows {
		if w+windowsKept < s.ClosedTo {
			delete(s.Windows, w)
		}
	}
}

// put takes a configuration of a higher version. Of two of one version the
// first stands.
func (s *State) put(p Put) {
	if p.Document.Version <= s.Document.Version {
		return
	}
	s.Raw, s.Document = p.Raw, p.Document
	s.Revision++
}
