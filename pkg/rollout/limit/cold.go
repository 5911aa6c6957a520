package limit

import (
	"math"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/document"
)

// ColdBound bounds the requests that a cold upstream gets in a second from all hosts
// together: the rate that it tolerates times Overage, plus Tolerance.
type ColdBound struct {
	Overage, Tolerance float64
}

// PerSecond returns how many requests a cold upstream that tolerates a rate may get in any
// second.
func (b ColdBound) PerSecond(tolerated float64) float64 {
	return max(1, tolerated*max(b.Overage, 1)+b.Tolerance)
}

// Rate returns the rate at which permits may be granted for a cold upstream, in permits a
// second.
func (b ColdBound) Rate(tolerated float64) float64 {
	return rateWithin(b.PerSecond(tolerated), tolerated)
}

// HalfRate is Rate for one half of the bound. The leader of the job store uses the other half
// for items, without permits.
func (b ColdBound) HalfRate(tolerated float64) float64 {
	return rateWithin(b.PerSecond(tolerated)/2, tolerated/2)
}

// rateWithin returns the highest rate of permits up to the tolerated one that keeps to a
// bound. What may be used in one second is what is granted in a second and the time for which
// a permit is valid, and the credit that may have been saved up before.
func rateWithin(bound, tolerated float64) float64 {
	const (
		grantedS = float64(coldWindowMS) / 1_000
		savedS   = float64(saveMS) / 1_000
	)
	rate := bound / (grantedS + savedS)
	if rate*savedS < minSaved {
		rate = max(0, bound-minSaved) / grantedS
	}
	return max(minLimit, min(tolerated, rate))
}

// ShareRate returns the rate at which a cold upstream may get requests from all entries that
// have lost control together, and again from the leader of the job store. The requests of each
// keep to one half of the bound in any second.
func (b ColdBound) ShareRate(tolerated float64) float64 {
	// turnsInWindow is below this number of turns at a rate just below this one.
	const below = 0.999
	most := math.Floor(b.PerSecond(tolerated)/2) * below * 1_000 / float64(coldWindowMS)
	return min(b.Rate(tolerated)/2, most)
}

// ShareRates returns ShareRate for each pool whose upstreams can be cold.
func (b ColdBound) ShareRates(pools []document.Pool) map[string]float64 {
	rates := make(map[string]float64)
	for _, p := range pools {
		if p.CanBeCold() {
			rates[p.Name] = b.ShareRate(p.ColdPerSecond)
		}
	}
	return rates
}

// Permits is what may be granted for a cold upstream.
type Permits struct {
	// Rate is in permits a second. Absent is the part of it that is left out for hosts that
	// control does not hear of.
	Rate, Absent float64
	// Most is the number of permits in any second and the time for which one is valid.
	Most int
}

// Permits returns what may be granted for a cold upstream of a pool while hosts are absent.
// Of the bound for engines, one half is left for the leader of the job store, which sends
// items without permits.
func (b ColdBound) Permits(p document.Pool, absent Absence) Permits {
	bound, share := b.PerSecond(p.ColdPerSecond), b.ShareRate(p.ColdPerSecond)
	left := share * absent.entries
	if len(p.Models) > 0 {
		rate := b.HalfRate(p.ColdPerSecond)
		return Permits{Rate: rate, Absent: min(1, left/rate), Most: max(0, int(bound/2)-absent.burst(share))}
	}
	rate, most := b.Rate(p.ColdPerSecond), int(bound)-absent.burst(share)
	if absent.store {
		left += share
		most -= turnsInWindow(share)
	}
	return Permits{Rate: rate, Absent: min(1, left/rate), Most: max(0, most)}
}
