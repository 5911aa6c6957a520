package registry_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/registry"
)

func depart(ds ...registry.Departure) registry.Command {
	return registry.Command{Depart: &registry.RecordDepartures{Departures: ds}}
}

func assertDeparted(t *testing.T, s *registry.State, id string, born int64, now rollout.Millis, wantLeft, wantEnded bool) {
	t.Helper()
	if d, left := s.Departed(id, born, now); left != wantLeft || d.Ended != wantEnded {
		t.Fatalf("incarnation %d of %s at %d: left %v, ended %v, want %v and %v", born, id, now, left, d.Ended, wantLeft, wantEnded)
	}
}

func TestDepartureIsThatOfOneIncarnationAndAllBefore(t *testing.T) {
	s := registry.New()
	s.Apply(depart(registry.Departure{ID: "e", Born: 5}))
	assertDeparted(t, s, "e", 5, 0, true, false)
	assertDeparted(t, s, "e", 4, 0, true, true)
	assertDeparted(t, s, "e", 6, 0, false, false)
	s.Apply(depart(registry.Departure{ID: "e", Born: 5, Ended: true}, registry.Departure{ID: "e", Born: 4, Ended: true}, registry.Departure{ID: "e", Born: 5}))
	assertDeparted(t, s, "e", 5, 0, true, true)
	assertDeparted(t, s, "e", 6, 0, false, false)
}

// Guards against an upstream that is not used for good, because one of its ID ended whose start
// nobody knew.
func TestDepartureOfUnknownIncarnationIsForgottenInTime(t *testing.T) {
	s := registry.New()
	s.Apply(depart(registry.Departure{ID: "e", Born: 1_000, AtMS: 1_000, Ended: true, Presumed: true}))
	assertDeparted(t, s, "e", 900, 5_000, true, true)
	assertDeparted(t, s, "e", 1_100, 5_000, false, false)
	assertDeparted(t, s, "e", 900, 60_000, false, false)
}

func TestRepeatedDepartureIsKnown(t *testing.T) {
	s := registry.New()
	draining, ended := registry.Departure{ID: "e", Born: 5}, registry.Departure{ID: "e", Born: 5, Ended: true}
	for _, step := range []struct {
		d     registry.Departure
		known bool
	}{{draining, false}, {draining, true}, {ended, false}, {ended, true}, {draining, true}} {
		if got := s.HasDeparture(step.d); got != step.known {
			t.Fatalf("departure %+v is known: %v, want %v", step.d, got, step.known)
		}
		s.Apply(depart(step.d))
	}
}

func TestDeparturesAreBoundedAndRestored(t *testing.T) {
	s := registry.New()
	for i := range registry.MaxDepartures + 10 {
		s.Apply(depart(registry.Departure{ID: fmt.Sprint(i), Born: 1, Ended: true}))
	}
	var snapshot bytes.Buffer
	if err := s.Freeze()(&snapshot); err != nil {
		t.Fatal(err)
	}
	restored := registry.New()
	if err := restored.Restore(&snapshot); err != nil {
		t.Fatal(err)
	}
	for _, state := range []*registry.State{s, restored} {
		if len(state.Departures) != registry.MaxDepartures {
			t.Fatalf("%d departures, want %d", len(state.Departures), registry.MaxDepartures)
		}
		assertDeparted(t, state, "9", 1, 0, false, false)
		assertDeparted(t, state, "10", 1, 0, true, true)
	}
}
