package jobstore

import "testing"

func TestRunsWithoutEventsDelayNextRun(t *testing.T) {
	w := &workItem{}
	for run, want := range []bool{false, false, true, true} {
		w.recordBrokenRun(0)
		if delayed := w.retryDelay() > 0; delayed != want {
			t.Fatalf("after %d runs without an event: delayed is %v, want %v", run+1, delayed, want)
		}
	}
	w.recordBrokenRun(1)
	if w.retryDelay() > 0 {
		t.Fatal("the next run is delayed though the last run had an event")
	}
}
