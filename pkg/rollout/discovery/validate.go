package discovery

import (
	"net/netip"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	// maxTextBytes bounds each text of an announcement, as every host keeps all upstreams.
	maxTextBytes = 256
	// maxModels bounds the models of an engine.
	maxModels = 256
	// maxSlots is far beyond what an upstream runs at a time. Sums of slots must not overflow.
	maxSlots = 1 << 20
	// maxBornAheadMS is how far in the future the start of an upstream may be, by the clock of
	// the host that checks it. An incarnation in the far future would keep all later ones out.
	maxBornAheadMS rollout.Millis = 10 * 60 * 1_000
)

// ValidateBorn returns an error unless a number can be the start time of an upstream, at a wall
// clock time.
func ValidateBorn(born int64, now rollout.Millis) error {
	if born <= 0 || rollout.Millis(born) > now+maxBornAheadMS {
		return rollout.NewError(rollout.KindInvalidInput, "start time %d of an upstream at %d", born, now)
	}
	return nil
}

// Validate returns an error unless hosts can use the announcement, at a wall clock time.
func (u Upstream) Validate(now rollout.Millis) error {
	for name, text := range map[string]string{"ID": u.ID, "pool": u.Pool} {
		if text == "" {
			return u.invalid("the %s is empty", name)
		}
	}
	for name, text := range map[string]string{"ID": u.ID, "pool": u.Pool, "failure domain": u.FailureDomain, "software version": u.Software} {
		if len(text) > maxTextBytes {
			return u.invalid("the %s has %d bytes, at most %d are allowed", name, len(text), maxTextBytes)
		}
	}
	// The ID is sent in a header field.
	for _, c := range []byte(u.ID) {
		if c <= ' ' || c > '~' {
			return u.invalid("the ID has the byte %#02x", c)
		}
	}
	if address, err := netip.ParseAddrPort(u.Address); err != nil || address.Port() == 0 {
		return u.invalid("the address %.64q is no IP address with a port", u.Address)
	}
	if u.Slots <= 0 || u.Slots > maxSlots {
		return u.invalid("%d slots, want 1 to %d", u.Slots, maxSlots)
	}
	if err := ValidateBorn(u.Born, now); err != nil {
		return u.invalid("the start time is not valid").WithCause(err)
	}
	if len(u.Models) > maxModels {
		return u.invalid("%d models, at most %d are allowed", len(u.Models), maxModels)
	}
	for _, m := range u.Models {
		if len(m.Name) > maxTextBytes {
			return u.invalid("the name of a model has %d bytes, at most %d are allowed", len(m.Name), maxTextBytes)
		}
	}
	return nil
}

func (u Upstream) invalid(format string, args ...any) *rollout.Error {
	return rollout.NewError(rollout.KindInvalidInput, "announcement of %.64q: "+format, append([]any{u.ID}, args...)...)
}
