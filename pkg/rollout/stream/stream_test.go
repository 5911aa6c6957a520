package stream

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
)

// streamMachine is the state machine of the property test. It applies commands
// to one stream in random order and simulates a trainer that sometimes loses a
// response and pulls again with the same cursor.
type streamMachine struct {
	streams *Streams
	group   catalog.Group
	cursor  uint64
	// received counts the samples that the trainer received for each index of
	// each step.
	received map[string]int
	// step is the number of the step that was opened last.
	step int
}

const stepSize = 4

func (m *streamMachine) Open(t *rapid.T) {
	m.step++
	m.open(t, m.step)
}

func (m *streamMachine) OpenAgain(t *rapid.T) {
	if m.step > 0 {
		m.open(t, rapid.IntRange(1, m.step).Draw(t, "step"))
	}
}

func (m *streamMachine) open(t *rapid.T, step int) {
	st, err := m.streams.OpenStep(OpenStep{Group: "g", Step: fmt.Sprint(step), Size: stepSize, Entry: "e"})
	if err != nil || len(st.Positions) != stepSize {
		t.Fatalf("open step: %+v, %v", st, err)
	}
}

func (m *streamMachine) Commit(t *rapid.T) {
	if m.step == 0 {
		return
	}
	v := rapid.Uint64Range(0, m.group.Version).Draw(t, "version")
	c := CommitSample{
		Group: "g", Step: fmt.Sprint(rapid.IntRange(1, m.step).Draw(t, "step")), Index: rapid.IntRange(0, stepSize-1).Draw(t, "index"),
		Attempt: fmt.Sprint(rapid.Uint64().Draw(t, "attempt")), Versions: []uint64{v, m.group.Version},
	}
	got, err := m.streams.CommitSample(m.group, c)
	if err != nil {
		return
	}
	if got.Stale != (v < m.group.OldestUsable()) && !got.Duplicate {
		t.Fatalf("commit with version %d, oldest usable %d: %+v", v, m.group.OldestUsable(), got)
	}
}

func (m *streamMachine) Publish(t *rapid.T) {
	m.group = m.group.WithVersion(m.group.Version + rapid.Uint64Range(1, 3).Draw(t, "by"))
}

func (m *streamMachine) SetBound(t *rapid.T) {
	m.group = m.group.WithStalenessBound(rapid.Uint64Range(0, 4).Draw(t, "bound"))
}

func (m *streamMachine) Lose(t *rapid.T) {
	for _, s := range m.streams.group("g").Samples {
		if rapid.Bool().Draw(t, "lose") {
			m.streams.LoseSample(LoseSample{Group: "g", Position: s.Position, Attempt: s.Attempt})
		}
	}
}

func (m *streamMachine) Pull(t *rapid.T) {
	out, err := m.streams.Handover(m.group, Handover{Group: "g", After: m.cursor, Max: rapid.IntRange(1, 6).Draw(t, "max")})
	if err != nil {
		t.Fatal(err)
	}
	if rapid.Bool().Draw(t, "response lost") {
		return
	}
	for _, s := range out.Samples {
		if s.Position != m.cursor+1 {
			t.Fatalf("received position %d after %d", s.Position, m.cursor)
		}
		m.cursor = s.Position
		if s.Void != "" {
			continue
		}
		if slices.Min(s.Versions) < m.group.OldestUsable() {
			t.Fatalf("received stale sample %+v, oldest usable version %d", s, m.group.OldestUsable())
		}
		m.received[fmt.Sprintf("%s/%d", s.Step, s.Index)]++
	}
}

func (m *streamMachine) Check(t *rapid.T) {
	for id, n := range m.received {
		if n > 1 {
			t.Fatalf("sample %s received %d times", id, n)
		}
	}
}

func TestEachSampleIsReceivedAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &streamMachine{streams: New(), group: catalog.Group{Name: "g", StalenessBound: 2, Version: 1}, received: make(map[string]int)}
		t.Repeat(map[string]func(*rapid.T){
			"": m.Check, "open": m.Open, "openAgain": m.OpenAgain, "commit": m.Commit, "publish": m.Publish,
			"bound": m.SetBound, "lose": m.Lose, "pull": m.Pull,
		})
	})
}

func TestRefusedSampleFillsItsIndex(t *testing.T) {
	s := New()
	g := catalog.Group{Name: "g"}
	if _, err := s.OpenStep(OpenStep{Group: "g", Step: "1", Size: 1}); err != nil {
		t.Fatal(err)
	}
	if _, err := s.CommitSample(g, CommitSample{Group: "g", Step: "1", Refused: "poisoned"}); err != nil {
		t.Fatal(err)
	}
	out, err := s.Handover(g.WithVersion(9), Handover{Group: "g", Max: 9})
	if err != nil || len(out.Samples) != 1 || out.Samples[0].Void != "poisoned" || len(out.OpenSteps) != 0 {
		t.Fatalf("handover returned %+v, %v", out, err)
	}
}

func TestHandoverRejectsCursorOutsideStream(t *testing.T) {
	s := New()
	g := catalog.Group{Name: "g", StalenessBound: 9}
	if _, err := s.OpenStep(OpenStep{Group: "g", Step: "1", Size: 2}); err != nil {
		t.Fatal(err)
	}
	for i := range 2 {
		if _, err := s.CommitSample(g, CommitSample{Group: "g", Step: "1", Index: i, Versions: []uint64{0}}); err != nil {
			t.Fatal(err)
		}
	}
	for _, tc := range []struct {
		name  string
		after uint64
		ok    bool
	}{{"ahead", 3, false}, {"at the end", 2, true}, {"behind", 1, false}} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := s.Handover(g, Handover{Group: "g", After: tc.after, Max: 9})
			if (err == nil) != tc.ok {
				t.Fatalf("error %v", err)
			}
		})
	}
}
