package job_test

import (
	"bytes"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/job"
)

// Guards against stored texts whose software version is lost or guessed.
func TestSnapshotKeepsSoftwareVersionOfText(t *testing.T) {
	m := newStateMachine(t)
	piece := extendText("i1", 0, "1")
	piece.Extend.Piece.Software = "v1"
	mustApply(t, m, piece)
	var snapshot bytes.Buffer
	if err := m.Freeze()(&snapshot); err != nil {
		t.Fatal(err)
	}
	restored := job.NewStateMachine()
	if err := restored.Restore(&snapshot); err != nil {
		t.Fatal(err)
	}
	for name, state := range map[string]*job.StateMachine{"applied": m, "restored": restored} {
		if got := state.Text(state.Jobs["j"], "i1").Software; got != "v1" {
			t.Errorf("%s: software version %q, want v1", name, got)
		}
	}
}

// Guards against logs of earlier releases, whose pieces have no software version, that
// can't be read or count to a version.
func TestPieceWithoutSoftwareVersionIsOfUnknownVersion(t *testing.T) {
	data, err := cbor.Marshal(map[string]any{"Extend": map[string]any{
		"JobID": "j", "ItemID": "i1", "Piece": map[string]any{"From": 0, "Chunk": []byte("1"), "LastID": 1, "Versions": []uint64{3}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	var c job.Command
	if err := cbor.Unmarshal(data, &c); err != nil {
		t.Fatal(err)
	}
	m := newStateMachine(t)
	mustApply(t, m, c)
	if text := m.Text(m.Jobs["j"], "i1"); text.LastID != 1 || text.Software != "" {
		t.Fatalf("text %+v, want one event of an unknown software version", text)
	}
}
