package job_test

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/job"
)

// assertText checks the stored text of an item of a job.
func assertText(t *testing.T, m *job.StateMachine, id, item, want string) {
	t.Helper()
	if got := string(bytes.Join(m.Text(m.Jobs[id], item).Chunks, []byte("\n"))); got != want {
		t.Fatalf("job %s has the text %q of %s, want %q", id, got, item, want)
	}
}

func endJob(id string) job.Command { return job.Command{End: &job.End{JobID: id, Account: "a"}} }

// Guards against results with events twice or missing: two open jobs with the same item wrote
// to one stored text, and a piece of one run was appended to the chunks of the other.
func TestOpenJobsWithTheSameItemKeepSeparateTexts(t *testing.T) {
	m := newStateMachine(t)
	mustApply(t, m, submit("k", "a", "i1"),
		extendText("i1", 0, "1", "2"),
		ofJob("k", extendText("i1", 0, "1")),
		extendText("i1", 1, "3"),
		ofJob("k", extendText("i1", 1, "2", "3", "4")),
		ofJob("k", finishItem("i1", 2, "5")),
		finishItem("i1", 2, "4", "5"),
	)
	assertOutputs(t, m, "j", "1\n2\n3\n4\n5")
	assertOutputs(t, m, "k", "1\n2\n3\n4\n5")
}

// Guards against the same with any order of the pieces, ends, copies and snapshots: each of
// three jobs writes the events of its own run, or resumes at the end of the text that it was
// given.
func TestTextsAreWholeInAnyOrderOfPieces(t *testing.T) {
	const events = 12
	rapid.Check(t, func(rt *rapid.T) {
		m := job.NewStateMachine()
		chunks, next := make(map[string]int), make(map[string]int)
		for range rapid.IntRange(10, 60).Draw(rt, "steps") {
			id := rapid.SampledFrom([]string{"j", "k", "l"}).Draw(rt, "job")
			j := m.Jobs[id]
			switch rapid.IntRange(0, 9).Draw(rt, "step") {
			case 0:
				if j == nil {
					mustApply(t, m, submit(id, "a", "i1"))
					text := m.Text(m.Jobs[id], "i1")
					chunks[id], next[id] = len(text.Chunks), int(text.LastID)
				}
			case 1:
				if j != nil {
					mustApply(t, m, endJob(id))
				}
			case 2:
				var snapshot bytes.Buffer
				if err := m.Freeze()(&snapshot); err != nil {
					rt.Fatal(err)
				}
				if err := m.Restore(&snapshot); err != nil {
					rt.Fatal(err)
				}
			default:
				if j == nil || next[id] == events {
					continue
				}
				last := min(events, next[id]+rapid.IntRange(1, 4).Draw(rt, "events"))
				var texts []string
				for e := next[id] + 1; e <= last; e++ {
					texts = append(texts, fmt.Sprint(e))
				}
				c := ofJob(id, extendText("i1", chunks[id], texts...))
				c.Extend.Piece.LastID = uint64(last)
				if last == events {
					f := ofJob(id, finishItem("i1", chunks[id], texts...))
					f.Finish.Piece.LastID = uint64(last)
					c = f
				}
				if err := m.Apply(c); err == nil {
					chunks[id], next[id] = chunks[id]+1, last
				} else if !j.Ended {
					rt.Fatalf("job %s: %v", id, err)
				}
			}
		}
		for id, j := range m.Jobs {
			for _, r := range j.Results {
				if got := strings.Split(string(bytes.Join(r.Chunks, []byte("\n"))), "\n"); !slices.Equal(got, []string{"1", "2", "3", "4", "5", "6", "7", "8", "9", "10", "11", "12"}) {
					rt.Fatalf("job %s has the output %v", id, got)
				}
			}
		}
	})
}

func TestJobStartsWithLongestTextOfTheSameRequest(t *testing.T) {
	m := newStateMachine(t)
	mustApply(t, m, submit("k", "a", "i1"), extendText("i1", 0, "1"), ofJob("k", extendText("i1", 0, "1", "2")), submit("l", "a", "i1"))
	assertText(t, m, "l", "i1", "1\n2")
	assertText(t, m, "j", "i1", "1")
	assertText(t, m, "k", "i1", "1\n2")
	old := submit("n", "a", "i1")
	old.Submit.MinVersion = 4
	mustApply(t, m, old)
	assertText(t, m, "n", "i1", "")
}

// Guards against the text of another request: the ID of an item may be used again.
func TestTextOfAnotherRequestWithTheSameIDIsNotUsed(t *testing.T) {
	change := map[string]func(*job.Spec){
		"body":   func(s *job.Spec) { s.Items[0].Body = []byte("other") },
		"path":   func(s *job.Spec) { s.Items[0].Path = "/other" },
		"header": func(s *job.Spec) { s.Items[0].Headers = []job.HeaderField{{Name: "n", Value: "v"}} },
		"model":  func(s *job.Spec) { s.Model = "other" },
	}
	for name, f := range change {
		t.Run(name, func(t *testing.T) {
			m := newStateMachine(t)
			next := submit("k", "a", "i1")
			f(next.Submit)
			mustApply(t, m, extendText("i1", 0, "1"), endJob("j"), next)
			assertText(t, m, "k", "i1", "")
		})
	}
}

// Guards against a late piece of a job that has ended in the text of the job that uses the item
// next, in whichever order the two write.
func TestPieceOfEndedJobNeverReachesTheNextJob(t *testing.T) {
	m := newStateMachine(t)
	mustApply(t, m, endJob("j"), submit("k", "a", "i1"), extendText("i1", 0, "late"), ofJob("k", extendText("i1", 0, "1")))
	assertText(t, m, "k", "i1", "1")
	mustApply(t, m, ofJob("k", finishItem("i1", 1, "2")))
	assertOutputs(t, m, "k", "1\n2")
}

// Guards against a log of an earlier release that is applied differently after an upgrade.
func TestJobsOfEarlierReleasesShareTexts(t *testing.T) {
	m := job.NewStateMachine()
	mustApply(t, m, sharing(submit("j", "a", "i1")), extendText("i1", 0, "1"), endJob("j"), sharing(submit("k", "a", "i1")), ofJob("k", extendText("i1", 1, "2")))
	assertText(t, m, "k", "i1", "1\n2")
	assertKind(t, m.Apply(extendText("i1", 2, "late")), rollout.KindConflict)
	mustApply(t, m, ofJob("k", finishItem("i1", 2, "3")), endJob("k"), submit("l", "a", "i1"))
	assertOutputs(t, m, "k", "1\n2\n3")
	assertText(t, m, "l", "i1", "1\n2\n3")
}
