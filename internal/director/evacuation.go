package director

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/registry"
)

const (
	methodEvacuate      = "Control.Evacuate"
	methodEndEvacuation = "Control.EndEvacuation"
)

// Evacuate orders that the upstreams of a failure domain get no new work. It returns once
// the order is committed. An order that is in force already is confirmed.
func (d *Director) Evacuate(ctx context.Context, domain string) error {
	_, err := callLeader(ctx, d, methodEvacuate, d.evacuate, registry.Evacuation{FailureDomain: domain})
	return err
}

// EndEvacuation takes the order to evacuate a failure domain back.
func (d *Director) EndEvacuation(ctx context.Context, domain string) error {
	_, err := callLeader(ctx, d, methodEndEvacuation, d.endEvacuation, registry.Evacuation{FailureDomain: domain})
	return err
}

func (d *Director) evacuate(ctx context.Context, e registry.Evacuation) (empty, error) {
	return d.changeEvacuation(ctx, e, true)
}

func (d *Director) endEvacuation(ctx context.Context, e registry.Evacuation) (empty, error) {
	return d.changeEvacuation(ctx, e, false)
}

// changeEvacuation begins or ends an evacuation, unless the state holds already.
func (d *Director) changeEvacuation(ctx context.Context, e registry.Evacuation, begin bool) (empty, error) {
	if err := d.checkDomain(e.FailureDomain); err != nil {
		return empty{}, err
	}
	d.mu.Lock()
	_, evacuated := d.state.Evacuated[e.FailureDomain]
	d.mu.Unlock()
	if evacuated == begin {
		return empty{}, d.confirmLeader()
	}
	e.AtMS = rollout.Millis(time.Now().UnixMilli())
	command := registry.Command{EndEvacuation: &e}
	if begin {
		command = registry.Command{Evacuate: &e}
	}
	err := d.propose(ctx, command)
	d.opts.Log.Info("EvacuationChanged", zap.String("FailureDomain", e.FailureDomain), zap.Bool("Evacuated", begin), zap.Error(err))
	return empty{}, err
}

// checkDomain returns an error if the deployment has no failure domain of a name. Without a
// list of failure domains, each one of a known upstream is valid, and each one that is or
// was evacuated, as an order that was accepted must not be refused when it is sent again.
func (d *Director) checkDomain(name string) error {
	if _, known := d.opts.Regions[name]; known {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	_, evacuated := d.state.Evacuated[name]
	_, ended := d.state.EvacuationEndedMS[name]
	if evacuated || ended || (len(d.opts.Regions) == 0 && d.table.HasDomain(name)) {
		return nil
	}
	return rollout.NewError(rollout.KindNotFound, "no failure domain %q", name)
}

// markColdAfterEvacuations marks the upstreams of the failure domains whose evacuation
// ended a short time ago as cold. A new leader may not have all that its predecessor knew of
// them. The caller holds mu.
func (d *Director) markColdAfterEvacuations() {
	for _, domain := range d.state.EvacuationsEnded(rollout.Millis(time.Now().UnixMilli())) {
		d.table.MarkCold(d.clock.Now(), domain)
	}
}

// syncColdPools passes the pools whose upstreams can be cold to the table. The caller holds
// mu.
func (d *Director) syncColdPools() {
	pools := make(map[string]discovery.ColdPool)
	for _, p := range d.state.Document.Pools {
		if p.CanBeCold() {
			pools[p.Name] = discovery.ColdPool{StartMS: p.ColdStartMS, Limit: d.opts.ColdBound.Rate(p.ColdPerSecond)}
		}
	}
	if d.table.SetColdPools(d.clock.Now(), pools) {
		d.notifyWatches()
	}
}
