package jobstore

import "testing"

func TestItemThatCrashesEnginesIsHeldBack(t *testing.T) {
	w := &work{}
	for run, want := range []bool{false, false, true, true} {
		w.broke(0)
		if held := w.breakPause() > 0; held != want {
			t.Fatalf("held back after %d runs that broke off: %v", run+1, held)
		}
	}
	w.broke(1)
	if w.breakPause() > 0 {
		t.Fatal("held back after an engine has generated an event")
	}
}
