package director

import (
	"slices"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/view"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/room"
)

// updateLarge decides which client accounts have had more than their share while others
// wanted more. The caller holds mu.
func (d *Director) updateLarge() {
	large := d.accountShares.Large(d.clock.Now(), d.weightOf)
	if slices.Equal(large, d.large) {
		return
	}
	d.large = large
	d.largeRevision++
	d.opts.Log.Info("LargeAccountsChanged", zap.Strings("Accounts", large))
	d.notifyWatches()
}

// weightOf returns the relative share of a client account. An account without a priority
// of its own counts as one of the highest. The caller holds mu.
func (d *Director) weightOf(account string) float64 {
	for _, a := range d.state.Document.Accounts {
		if a.Name == account && a.Priority != nil {
			return room.WeightOf(*a.Priority)
		}
	}
	return room.WeightOf(0)
}

// largeForReply returns the large accounts, or nil if there are none. The caller holds mu.
func (d *Director) largeForReply() *view.LargeAccounts {
	if len(d.large) == 0 {
		return nil
	}
	return &view.LargeAccounts{Revision: d.largeRevision, Accounts: d.large}
}

// lacksLarge reports whether a caller that follows the large accounts has others. The
// caller holds mu.
func (d *Director) lacksLarge(req view.Request) bool {
	if req.Large == nil {
		return false
	}
	current := uint64(0)
	if len(d.large) > 0 {
		current = d.largeRevision
	}
	return *req.Large != current
}
