package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the start of the machine, suspensions included.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // all kernels that Go supports have this clock
	}
	return time.Duration(ts.Nano())
}
