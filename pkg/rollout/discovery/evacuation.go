package discovery

import (
	"maps"
	"slices"
)

// WithEvacuated returns the upstreams with those of the evacuated failure domains as
// draining, so that they get no new work. It does not change us.
func WithEvacuated(us map[string]Upstream, domains []string) map[string]Upstream {
	if len(domains) == 0 {
		return us
	}
	next := maps.Clone(us)
	for id, u := range next {
		if u.State == StateReady && slices.Contains(domains, u.FailureDomain) {
			u.State = StateDraining
			next[id] = u
		}
	}
	return next
}
