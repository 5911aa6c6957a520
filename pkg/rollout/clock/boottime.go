package clock

import (
	"golang.org/x/sys/unix"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// Boottime is a clock that also counts the time during which the machine was
// suspended. Leases are kept by it: a host that wakes up must see that its
// lease has run out. Its origin is the boot of the machine.
type Boottime struct{}

// Now implements rollout.Clock.
func (Boottime) Now() rollout.Millis {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: no CLOCK_BOOTTIME: " + err.Error())
	}
	return rollout.Millis(ts.Nano() / 1e6)
}
