package leader

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot as a [time.Time]. Unlike Go's monotonic clock it advances while the machine is
// suspended, so a lease cannot seem valid after a suspension that outlasted it. Compare its values only with each
// other.
func Now() time.Time { return clock() }

// clock is replaced by tests in virtual time.
var clock = bootTime

func bootTime() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every Linux since 2.6.39 has this clock; leases are not safe without it.
		panic("leader: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Unix(ts.Unix())
}
