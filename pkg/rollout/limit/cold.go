package limit

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
// second. What may be used in one second is what is granted in a second and the time for
// which a permit is valid, and the credit that may have been saved up before.
func (b ColdBound) Rate(tolerated float64) float64 {
	const (
		grantedS = 1 + float64(PermitMS)/1_000
		savedS   = float64(saveMS) / 1_000
	)
	bound := b.PerSecond(tolerated)
	rate := bound / (grantedS + savedS)
	if rate*savedS < minSaved {
		rate = max(0, bound-minSaved) / grantedS
	}
	return max(minLimit, min(tolerated, rate))
}
