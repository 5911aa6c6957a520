package clock

import (
	"golang.org/x/sys/unix"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// Boottime is a clock that includes the time during which the host was
// suspended. Leases use it, because a host that resumes must detect that its
// lease has expired. The clock starts at the boot of the host.
type Boottime struct{}

// Now implements rollout.Clock.
func (Boottime) Now() rollout.Millis {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: read CLOCK_BOOTTIME: " + err.Error())
	}
	return rollout.Millis(ts.Nano() / 1e6)
}
