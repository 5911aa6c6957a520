package rollout_test

import (
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// Guards against a kind of error whose status promises that a request has not run though it may
// have.
func TestStatusOfErrorIsTruthful(t *testing.T) {
	for k := rollout.KindInternal; k.Response() != rollout.Kind(255).Response() || k == rollout.KindInternal; k++ {
		e := rollout.NewError(k, "x")
		if status := e.Status(); rollout.PromisesNotRun(status) {
			t.Errorf("%v: status %d though the request may have run", k, status)
		}
		if got, want := e.WithNotRun().Status(), k.Response().Status; got != want {
			t.Errorf("%v: status %d of a request that has not run, want %d", k, got, want)
		}
	}
}

func TestResponseForCaller(t *testing.T) {
	header := []rollout.HeaderField{{Name: "retry-after", Value: "1"}, {Name: "X", Value: "y"}}
	for _, tc := range []struct {
		name   string
		in     rollout.UpstreamResponse
		status int
		stamp  string
		fields int
	}{
		{"success", rollout.UpstreamResponse{Status: 200, Stamp: "s", Header: header}, 200, "s", 2},
		{"failure", rollout.UpstreamResponse{Status: 500, Stamp: "s", Header: header}, 500, "s", 1},
		{"refusal without a statement", rollout.UpstreamResponse{Status: 503, Stamp: "s", Header: header}, 502, "", 1},
		{"refusal with a statement", rollout.UpstreamResponse{Status: 503, Stamp: "s", Header: header, NotRun: true}, 503, "s", 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := tc.in.ForCaller(); got.Status != tc.status || got.Stamp != tc.stamp || len(got.Header) != tc.fields {
				t.Errorf("got %+v, want status %d, stamp %q and %d fields", got, tc.status, tc.stamp, tc.fields)
			}
		})
	}
}
