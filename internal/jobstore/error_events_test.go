package jobstore

import (
	"strings"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// Guards against completed results with the text of an error, or without their last events: the
// engine that is to go on with a text answers with something else.
func TestErrorOfNextEngineNeverReachesTheText(t *testing.T) {
	for name, ids := range map[string][]uint64{
		"error as an event":        {0},
		"error and then events":    {0, 3, 4, 5},
		"events are missing":       {4, 5},
		"an event is missing":      {3, 5},
		"only events before":       {1},
		"start without its events": {1, 3},
	} {
		t.Run(name, func(t *testing.T) {
			s, f := newLeader(t, func(x rollout.UpstreamRequest, run int) *fault {
				switch {
				case strings.HasPrefix(x.AttemptID, "score-"):
					return nil
				case run == 1:
					return &fault{breakAfter: 2}
				case run == 2:
					return &fault{ids: ids}
				}
				return nil
			})
			for id, r := range runJob(t, s, newSpec("j", 1, "i1")) {
				assertCompleted(t, r)
				assertRuns(t, f, id, 3)
			}
		})
	}
}

// Guards against texts that hold the events of two runs, because neither has IDs.
func TestTextWithoutEventIDsStartsAnew(t *testing.T) {
	s, _ := newLeader(t, func(x rollout.UpstreamRequest, run int) *fault {
		if strings.HasPrefix(x.AttemptID, "score-") || run > 1 {
			return nil
		}
		return &fault{ids: []uint64{0, 0}, breakAfter: 2}
	})
	for _, r := range runJob(t, s, newSpec("j", 1, "i1")) {
		assertCompleted(t, r)
	}
}
