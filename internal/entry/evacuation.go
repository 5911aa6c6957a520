package entry

import (
	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/claim"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/ledger"
)

// poolEvacuated reports whether all upstreams of a pool are evacuated.
func (e *entry) poolEvacuated(pool string) bool {
	e.routeMu.Lock()
	defer e.routeMu.Unlock()
	_, all := e.router.Evacuated(pool)
	return all
}

// refuseWaiting rejects the waiting requests of pools whose upstreams are all
// evacuated. It is called repeatedly, because a request may begin to wait after the
// evacuation was applied.
func (e *entry) refuseWaiting() {
	e.routeMu.Lock()
	pools := e.router.FullyEvacuatedPools()
	e.routeMu.Unlock()
	for _, pool := range pools {
		e.admission.Refuse(pool, evacuatedError(pool))
	}
}

// checkEvacuated rejects a request if all upstreams of its pool are evacuated. A
// request that may run only once attaches to its attempt if there is one already,
// because what runs at an evacuated upstream ends.
func (e *entry) checkEvacuated(x *exchange) error {
	if !e.poolEvacuated(x.pool) {
		return nil
	}
	if !x.needsClaim() || x.account.Name == "" {
		return e.routeError(x, 0)
	}
	found, err := propose[claim.Claim](x.ctx, e, ledger.Command{FindClaim: &claim.Find{
		Account: x.account.Name, RequestID: x.requestID, Digest: x.fingerprint,
	}})
	if err != nil {
		return err
	}
	if found.Attempt == "" {
		return e.routeError(x, 0)
	}
	x.claimed = &claimedAttempt{claim: found}
	return nil
}

// routeError logs that no upstream was found for a request and returns the error for
// it.
func (e *entry) routeError(x *exchange, tried int) error {
	e.routeMu.Lock()
	domains, all := e.router.Evacuated(x.pool)
	e.routeMu.Unlock()
	fields := []zap.Field{
		zap.String("Request", x.id), zap.String("Pool", x.pool), zap.Uint64("MinVersion", x.minVersion), zap.Int("Tried", tried),
	}
	if len(domains) > 0 {
		fields = append(fields, zap.Strings("Evacuated", domains))
	}
	e.log.Info("RouteFailed", fields...)
	if all {
		return evacuatedError(x.pool)
	}
	return rollout.NewError(rollout.KindNoUpstream, "pool %s has no available upstream", x.pool).WithNotRun()
}

func evacuatedError(pool string) *rollout.Error {
	return rollout.NewError(rollout.KindNoUpstream, "all upstreams of pool %s are evacuated", pool).WithNotRun()
}
