package job_test

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/job"
)

// uploadedItems are items with fields of all lengths.
func uploadedItems() []job.Item {
	items := []job.Item{{ID: "empty"}, {
		ID: "whole", Path: "/p", Headers: []job.HeaderField{{Name: "N", Value: "v"}, {Name: "M"}}, Body: []byte("body"), Tokens: 3,
		ExpectedTokens: 2, Group: "g", Scorer: &job.Scorer{ID: "s", Host: "h", Path: "/s", Body: []byte("scored")},
	}}
	for i := range 20 {
		items = append(items, job.Item{ID: fmt.Sprint(i), Body: bytes.Repeat([]byte{byte(i)}, 40*i+1)})
	}
	return items
}

// parts returns the items of a job in parts of some bytes.
func parts(t *testing.T, id string, size int, items []job.Item) []job.Command {
	t.Helper()
	var stream bytes.Buffer
	for _, it := range items {
		if err := job.WriteItem(&stream, it); err != nil {
			t.Fatal(err)
		}
	}
	var cs []job.Command
	for stream.Len() > 0 {
		p := bytes.Clone(stream.Next(size))
		cs = append(cs, job.Command{Part: &job.Part{JobID: id, Account: "a", Number: len(cs), Bytes: p, Digest: uint64(len(cs)) + 100, Memory: 7}})
	}
	return cs
}

// submitParts returns the submission that follows parts.
func submitParts(id string, parts, items int) job.Command {
	return job.Command{Submit: &job.Spec{ID: id, Account: "a", OwnTexts: true, Staged: &job.StagedItems{Parts: parts, Digest: uint64(parts) + 99, Items: items}}}
}

func assertItems(t *testing.T, m *job.StateMachine, id string, want []job.Item) {
	t.Helper()
	j := m.Jobs[id]
	if j == nil || j.Total != len(want) || len(j.Spec.Items) != len(want) || j.Spec.Staged != nil {
		t.Fatalf("got %.500v, want %d items", j, len(want))
	}
	for i, it := range j.Spec.Items {
		if !reflect.DeepEqual(it, want[i]) {
			t.Fatalf("item %d is %.500v, want %.500v", i, it, want[i])
		}
	}
	if len(m.Uploads) != 0 {
		t.Fatalf("uploads %v are left over", m.Uploads)
	}
}

// restored returns the state after a snapshot.
func restored(t *testing.T, m *job.StateMachine) *job.StateMachine {
	t.Helper()
	var snapshot bytes.Buffer
	if err := m.Freeze()(&snapshot); err != nil {
		t.Fatal(err)
	}
	next := job.NewStateMachine()
	if err := next.Restore(&snapshot); err != nil {
		t.Fatal(err)
	}
	return next
}

// Parts of any length give the items that were cut, also across a snapshot after each part.
func TestJobIsSubmittedInParts(t *testing.T) {
	items := uploadedItems()
	for _, size := range []int{1, 7, 100, 1 << 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			m, cs := job.NewStateMachine(), parts(t, "j", size, items)
			for i, c := range cs {
				mustApply(t, m, c)
				if i%50 == 0 {
					m = restored(t, m)
				}
			}
			mustApply(t, m, submitParts("j", len(cs), len(items)))
			assertItems(t, m, "j", items)
			assertItems(t, restored(t, m), "j", items)
		})
	}
}

// Guards against parts that come twice, out of order, or of two versions of a job.
func TestPartsAreTakenOnceAndInOrder(t *testing.T) {
	items := uploadedItems()
	m, cs := job.NewStateMachine(), parts(t, "j", 100, items)
	mustApply(t, m, cs[0], cs[1], cs[0], cs[1])
	assertKind(t, m.Apply(cs[3]), rollout.KindUnavailable)
	other := *cs[1].Part
	other.Digest++
	assertKind(t, m.Apply(job.Command{Part: &other}), rollout.KindConflict)
	foreign := *cs[2].Part
	foreign.Account = "b"
	assertKind(t, m.Apply(job.Command{Part: &foreign}), rollout.KindConflict)
	assertKind(t, m.Apply(submitParts("j", len(cs), len(items))), rollout.KindOverloaded)
	mustApply(t, m, cs[2:]...)
	assertKind(t, m.Apply(submitParts("j", len(cs), len(items)+1)), rollout.KindOverloaded)
	mustApply(t, m, submitParts("j", len(cs), len(items)))
	assertItems(t, m, "j", items)
	mustApply(t, m, submitParts("j", len(cs), len(items)), cs[0])
	assertItems(t, m, "j", items)
}

// Guards against a job that runs although its upload was dropped.
func TestDroppedUploadIsNotSubmitted(t *testing.T) {
	m, cs := job.NewStateMachine(), parts(t, "j", 100, uploadedItems())
	mustApply(t, m, cs...)
	mustApply(t, m, job.Command{Drop: &job.DropUploads{JobIDs: []string{"j"}}})
	assertKind(t, m.Apply(submitParts("j", len(cs), len(uploadedItems()))), rollout.KindOverloaded)
	if len(m.Jobs) != 0 {
		t.Fatalf("got jobs %v, want none", m.Jobs)
	}
}

// Guards against bytes that are no items and end a host when they are applied.
func TestPartThatIsNoStreamIsRefused(t *testing.T) {
	for name, text := range map[string]string{"length": strings.Repeat("\xff", 20), "item": "\x01\xff", "field too long": "\xff\xff\xff\xff\x7f"} {
		t.Run(name, func(t *testing.T) {
			m := job.NewStateMachine()
			assertKind(t, m.Apply(job.Command{Part: &job.Part{JobID: "j", Account: "a", Bytes: []byte(text)}}), rollout.KindInvalidInput)
			if len(m.Uploads) != 0 {
				t.Fatalf("uploads %v are left over", m.Uploads)
			}
		})
	}
}
