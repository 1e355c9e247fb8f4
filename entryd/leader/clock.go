package leader

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns a steady time that also counts while the machine is suspended, which Go's monotonic clock does not.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every Linux since 2.6.39 has this clock; without it leases cannot be kept safely.
		panic("leader: no boot time clock: " + err.Error())
	}
	return time.Unix(ts.Unix())
}
