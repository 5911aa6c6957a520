package registry_test

import (
	"bytes"
	"slices"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/registry"
)

func evacuate(domain string, at rollout.Millis) registry.Command {
	return registry.Command{Evacuate: &registry.Evacuation{FailureDomain: domain, AtMS: at}}
}

func endEvacuation(domain string, at rollout.Millis) registry.Command {
	return registry.Command{EndEvacuation: &registry.Evacuation{FailureDomain: domain, AtMS: at}}
}

func assertEvacuated(t *testing.T, s *registry.State, want ...string) {
	t.Helper()
	if got := s.EvacuatedDomains(); !slices.Equal(got, want) {
		t.Errorf("evacuated domains: %v, want %v", got, want)
	}
}

// Guards against a resent order that counts as a new one, which would wake all watches.
func TestResentEvacuationChangesNothing(t *testing.T) {
	s := registry.New()
	s.Apply(evacuate("d2", 1))
	s.Apply(evacuate("d1", 2))
	revision := s.Revision
	s.Apply(evacuate("d1", 3))
	s.Apply(endEvacuation("d3", 3))
	assertEvacuated(t, s, "d1", "d2")
	if s.Revision != revision {
		t.Errorf("revision is %d after resent orders, want %d", s.Revision, revision)
	}
	s.Apply(endEvacuation("d1", 4))
	assertEvacuated(t, s, "d2")
}

// Guards against an evacuation that is lost with the log that a snapshot replaces.
func TestEvacuationsSurviveSnapshot(t *testing.T) {
	s := registry.New()
	s.Apply(evacuate("d1", 1))
	s.Apply(evacuate("d2", 1))
	s.Apply(endEvacuation("d2", 2))
	var snapshot bytes.Buffer
	if err := s.Freeze()(&snapshot); err != nil {
		t.Fatal(err)
	}
	restored := registry.New()
	if err := restored.Restore(&snapshot); err != nil {
		t.Fatal(err)
	}
	assertEvacuated(t, restored, "d1")
	if got := restored.EvacuationsEnded(3); !slices.Equal(got, []string{"d2"}) {
		t.Errorf("ended evacuations: %v, want [d2]", got)
	}
}

// Guards against a snapshot of an earlier release that can't be read, or that a later
// evacuation can't be added to.
func TestSnapshotWithoutEvacuationsIsReadable(t *testing.T) {
	s := registry.New()
	if err := s.Restore(bytes.NewBufferString(`{"Versions":{},"Windows":{},"Retiring":{},"Revision":3}`)); err != nil {
		t.Fatal(err)
	}
	s.Apply(evacuate("d1", 1))
	assertEvacuated(t, s, "d1")
}

// Guards against upstreams that count as cold at each change of the leader for ever.
func TestEndOfEvacuationIsForgotten(t *testing.T) {
	s := registry.New()
	s.Apply(evacuate("d1", 1))
	s.Apply(endEvacuation("d1", 2))
	if got := s.EvacuationsEnded(2 + 61_000); len(got) != 0 {
		t.Errorf("ended evacuations after a minute: %v, want none", got)
	}
}
