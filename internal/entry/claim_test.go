package entry

import (
	"slices"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// Guards against refusals of two callers of one request: the attempt arrives late, the duplicate
// bars it, and the next claim leaves the only upstream of the pool out.
func TestUpstreamOfABarredAttemptIsTriedAgain(t *testing.T) {
	for name, tc := range map[string]struct {
		err  *rollout.Error
		want []string
	}{
		"barred by this caller":     {rollout.NewError(rollout.KindNotFound, "not begun").WithNotRun(), []string{"a"}},
		"barred by another caller":  {rollout.NewError(rollout.KindConflict, "barred").WithNotRun(), []string{"a"}},
		"upstream not reached":      {rollout.NewError(rollout.KindNoUpstream, "refused").WithNotRun(), []string{"a", "b"}},
		"upstream has no authority": {rollout.NewError(rollout.KindNoAuthority, "lease").WithNotRun(), []string{"a", "b"}},
		"attempt is unknown":        {rollout.NewError(rollout.KindNotFound, "may have run"), []string{"a", "b"}},
	} {
		t.Run(name, func(t *testing.T) {
			if got := withFailed([]string{"a"}, "b", tc.err); !slices.Equal(got, tc.want) {
				t.Fatalf("left out %v, want %v", got, tc.want)
			}
		})
	}
}
