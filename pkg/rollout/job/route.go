package job

import "github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/document"

// RouteInForce is the route of a job under the configuration of a version. Its host and prefix
// identify it; its name may be given to another route.
type RouteInForce struct {
	Route           document.Route
	DocumentVersion uint64
}

// SetRoute records the route of a job under a newer configuration. It is the last one if a
// later configuration removes the route.
type SetRoute struct {
	Writer string
	JobID  string
	Route  RouteInForce
}

func (m *StateMachine) setRoute(s SetRoute) error {
	if err := m.checkWriter(s.Writer); err != nil {
		return err
	}
	j := m.Jobs[s.JobID]
	if j == nil || j.Ended || (j.Route != nil && s.Route.DocumentVersion <= j.Route.DocumentVersion) {
		return nil
	}
	j.Route = &s.Route
	return nil
}
