package e2e

import (
	"fmt"
	"testing"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/internal/demo"
)

// startTrainer runs a trainer in the background until it has received all steps.
func startTrainer(d *deployment, steps, samples int) chan error {
	done := make(chan error, 1)
	tr := &demo.Trainer{
		URLs: d.layout.EntryURLs, Key: "cfs_trainer", Group: "drafts",
		Steps: steps, Samples: samples, MaxTokens: 60, Publish: true,
	}
	go func() {
		ctx, cancel := contextWithTimeout(d.t, 2*waitTimeout)
		defer cancel()
		r, err := tr.Run(ctx)
		if err == nil && (r.Samples != steps*samples || r.Repeated > 0) {
			err = fmt.Errorf("trainer received %+v, want %d samples without repeats", r, steps*samples)
		}
		done <- err
	}()
	return done
}

func TestStepsCompleteDespiteCrashes(t *testing.T) {
	d := deploy(t, demo.DefaultOptions())
	done := startTrainer(d, 5, 48)
	for _, name := range []string{"entry-1", d.leader(), "agent-2", "entry-2", "engine-3"} {
		time.Sleep(700 * time.Millisecond)
		d.kill(name)
		time.Sleep(300 * time.Millisecond)
		d.start(name)
	}
	must(t, <-done)
}

func TestNoStaleSampleAfterStalenessIsLowered(t *testing.T) {
	d := deploy(t, demo.DefaultOptions())
	p := &manualTrainer{deployment: d}
	p.publish(1)
	p.post("s1", 16)
	eventually(t, "all samples are queued", waitTimeout, func() bool {
		return len(d.do("show samples where Group = drafts").Table.Rows) >= 16
	})
	p.publish(2)
	p.publish(3)
	d.do("set group drafts staleness 0")
	p.assertFresh(t, 3, 16)
}

func TestFailedWeightSwapIsRetried(t *testing.T) {
	o := demo.DefaultOptions()
	o.Upstreams = append([]demo.Upstream(nil), o.Upstreams...)
	o.Upstreams[0].Args = []string{"--fail-swaps=2"}
	d := deploy(t, o)
	d.do("set group drafts staleness 0")
	p := &manualTrainer{deployment: d}
	p.publish(1)
	p.post("s1", 16)
	p.assertFresh(t, 1, 16)
	eventually(t, "a weight swap fails", waitTimeout, func() bool { return d.logContains("agent-1", "Event=WeightSwapFailed") })
	eventually(t, "all engines have version 1", waitTimeout, func() bool {
		return len(d.do("show upstreams where Versions = drafts:1").Table.Rows) == 3
	})
}

func TestPoisonSampleDoesNotStallStep(t *testing.T) {
	o := demo.DefaultOptions()
	o.Upstreams = append([]demo.Upstream(nil), o.Upstreams...)
	for i := range 3 {
		o.Upstreams[i].Args = []string{"--crash-on=boom"}
	}
	d := deploy(t, o)
	p := &manualTrainer{deployment: d}
	p.send("steps", `{"Step":"s1","Samples":12,"MaxTokens":8,"Prompts":["a","b","c","boom","d","e"]}`)
	got := make(map[int]string)
	eventually(t, "the step is complete", 2*waitTimeout, func() bool {
		d.restartExited("engine-1", "engine-2", "engine-3")
		for _, s := range p.pull() {
			p.cursor = s.Position
			if s.Void != "stale" && s.Void != "lost" {
				got[s.Index] = s.Void
			}
		}
		return len(got) == 12
	})
	for index, void := range got {
		if (index%6 == 3) != (void == "poisoned") {
			t.Errorf("sample %d has void reason %q", index, void)
		}
	}
}

// restartExited restarts the processes that have exited on their own.
func (d *deployment) restartExited(names ...string) {
	for _, name := range names {
		if exited(d, name) {
			_ = d.procs[name].Wait()
			d.start(name)
		}
	}
}

func TestKeyWithdrawalStopsSampling(t *testing.T) {
	d := deploy(t, demo.DefaultOptions())
	p := &manualTrainer{deployment: d}
	p.send("steps", `{"Step":"s1","Samples":12,"MaxTokens":60000,"Prompts":["a"]}`)
	total := func() int {
		return d.countRunning("engine-1") + d.countRunning("engine-2") + d.countRunning("engine-3")
	}
	eventually(t, "all samples are being generated", waitTimeout, func() bool { return total() == 12 })
	d.do("withdraw key trainer-1")
	eventually(t, "no sample is being generated", withdrawalLimit, func() bool { return total() == 0 })
}

func TestStepTakeoverFromKilledEntry(t *testing.T) {
	testStepTakeover(t, func(d *deployment) { d.kill("entry-1") })
}

// Guards against a step that nobody runs because its entry is back under its name before
// its lease has expired, without knowing of the step.
func TestStepTakeoverFromRestartedEntry(t *testing.T) {
	testStepTakeover(t, func(d *deployment) {
		d.kill("entry-1")
		d.start("entry-1")
	})
}

// testStepTakeover checks that the other entries complete a step of entry-1 once that has
// lost it.
func testStepTakeover(t *testing.T, lose func(*deployment)) {
	t.Helper()
	d := deploy(t, demo.DefaultOptions())
	p := &manualTrainer{deployment: d}
	p.send("steps", `{"Step":"step-1","Samples":24,"MaxTokens":1500,"Prompts":["a"]}`)
	eventually(t, "entry-1 owns the step", waitTimeout, func() bool {
		return len(d.do("show steps where Entry = entry-1").Table.Rows) == 1
	})
	lose(d)
	tr := &demo.Trainer{URLs: d.layout.EntryURLs[1:], Key: "cfs_trainer", Group: "drafts", Steps: 1, Samples: 24, MaxTokens: 10}
	ctx, cancel := contextWithTimeout(t, 2*waitTimeout)
	defer cancel()
	r, err := tr.Run(ctx)
	if err != nil || r.Samples != 24 || r.Repeated > 0 {
		t.Fatalf("trainer received %+v, error %v, want 24 samples without repeats", r, err)
	}
}
