package clock

import (
	"golang.org/x/sys/unix"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// Boottime is a clock that includes the time during which the host was
// suspended. Leases use it, because a host that resumes must detect that its
// lease has expired. Its times count from the boot of the host, not from the Unix
// epoch, so they cannot be compared with those of System or of other hosts.
type Boottime struct{}

// Now implements rollout.Clock.
func (Boottime) Now() rollout.Millis {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: read CLOCK_BOOTTIME: " + err.Error())
	}
	return rollout.Millis(ts.Nano() / 1e6)
}
