package registry_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/document"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/quorum"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/registry"
)

func putDocument(version uint64, raw string) registry.Command {
	return registry.Command{Put: &registry.PutDocument{Raw: []byte(raw), Document: document.Document{Version: version}}}
}

func assertActive(t *testing.T, s *registry.State, version uint64, raw string) {
	t.Helper()
	if s.Document.Version != version || string(s.Raw) != raw {
		t.Fatalf("active: version %d %q, want %d %q", s.Document.Version, s.Raw, version, raw)
	}
}

func TestHighestVersionIsActive(t *testing.T) {
	s := registry.New()
	s.Apply(putDocument(5, "five"))
	s.Apply(putDocument(3, "three"))
	assertActive(t, s, 5, "five")
}

func TestFirstDocumentOfAVersionIsKept(t *testing.T) {
	s := registry.New()
	s.Apply(putDocument(5, "first"))
	s.Apply(putDocument(5, "second"))
	assertActive(t, s, 5, "first")
}

func TestNamedVersionDoesNotDecrease(t *testing.T) {
	s := registry.New()
	for _, v := range []uint64{2, 4, 3} {
		s.Apply(registry.Command{Name: &registry.NameVersion{Model: "m", Version: v}})
	}
	if s.Versions["m"] != 4 {
		t.Fatalf("version %d, want 4", s.Versions["m"])
	}
}

func TestClosedWindowKeepsItsCounts(t *testing.T) {
	s := registry.New()
	s.Apply(registry.Command{Close: &registry.CloseWindow{Window: 9, Requests: map[string]uint64{"a": 1}}})
	s.Apply(registry.Command{Sent: &registry.MarkWindowSent{Window: 9}})
	s.Apply(registry.Command{Close: &registry.CloseWindow{Window: 9, Requests: map[string]uint64{"a": 2}}})
	if w := s.Windows[9]; w.Requests["a"] != 1 || !w.Sent {
		t.Fatalf("window %+v", w)
	}
}

func TestOldWindowsAreDeletedAndStayClosed(t *testing.T) {
	s := registry.New()
	for w := uint64(1); w <= 200; w++ {
		s.Apply(registry.Command{Close: &registry.CloseWindow{Window: w}})
	}
	s.Apply(registry.Command{Close: &registry.CloseWindow{Window: 3}})
	if _, reopened := s.Windows[3]; reopened || len(s.Windows) > 70 {
		t.Fatalf("%d windows kept, window 3 among them: %v", len(s.Windows), reopened)
	}
}

func TestStoreIsFoundedOnce(t *testing.T) {
	s := registry.New()
	s.Apply(registry.Command{Found: &registry.FoundStore{Members: []quorum.Member{{ID: "a"}}}})
	s.Apply(registry.Command{Found: &registry.FoundStore{Members: []quorum.Member{{ID: "b"}}}})
	if s.Founders[0].ID != "a" {
		t.Fatalf("founders %v", s.Founders)
	}
}

func TestSnapshotRestoresTheState(t *testing.T) {
	s := registry.New()
	s.Apply(putDocument(5, "five"))
	s.Apply(registry.Command{Name: &registry.NameVersion{Model: "m", Version: 2}})
	s.Apply(registry.Command{Retire: &registry.RetireHost{Host: "h", Address: "x"}})
	s.Apply(registry.Command{Close: &registry.CloseWindow{Window: 9, Requests: map[string]uint64{"a": 1}}})
	var data bytes.Buffer
	if err := s.Freeze()(&data); err != nil {
		t.Fatal(err)
	}
	restored := registry.New()
	if err := restored.Restore(&data); err != nil {
		t.Fatal(err)
	}
	assertActive(t, restored, 5, "five")
	if restored.Versions["m"] != 2 || restored.Retiring["h"] != "x" || restored.Windows[9].Requests["a"] != 1 || restored.Revision != s.Revision {
		t.Fatalf("restored %+v", restored)
	}
}

func TestRefusalsExpireAndAreBounded(t *testing.T) {
	s := registry.New()
	s.Apply(registry.Command{Refuse: &registry.RefuseRequests{NowMS: 1, UntilMS: 10, Fingerprints: []string{"old"}}})
	before := s.Revision
	s.Apply(registry.Command{Refuse: &registry.RefuseRequests{NowMS: 2, UntilMS: 10, Fingerprints: []string{"old"}}})
	if s.Revision != before {
		t.Fatal("revision changed without a change of refusals")
	}
	s.Apply(registry.Command{Refuse: &registry.RefuseRequests{NowMS: 5, UntilMS: 20, Fingerprints: []string{"new"}}})
	if len(s.RefusedUntilMS) != 2 || s.RefusedUntilMS["new"] != 20 {
		t.Fatalf("refused %v, want old until 10 and new until 20", s.RefusedUntilMS)
	}
	s.Apply(registry.Command{Refuse: &registry.RefuseRequests{NowMS: 10}})
	if _, refused := s.RefusedUntilMS["old"]; refused || len(s.RefusedUntilMS) != 1 || s.Revision == before {
		t.Fatalf("refused %v at revision %d, want new alone at another revision than %d", s.RefusedUntilMS, s.Revision, before)
	}
	var many []string
	for i := range 2 * registry.MaxRefusals {
		many = append(many, fmt.Sprint(i))
	}
	s.Apply(registry.Command{Refuse: &registry.RefuseRequests{NowMS: 11, UntilMS: 21, Fingerprints: many}})
	if len(s.RefusedUntilMS) != registry.MaxRefusals {
		t.Fatalf("%d refusals, want %d", len(s.RefusedUntilMS), registry.MaxRefusals)
	}
}
