// Package bootclock tells the time since boot.
//
// Unlike the runtime's monotonic clock it goes on while the VM is suspended,
// and unlike the time of day nobody can set it. Ages of beliefs and the ends of
// leases are judged by it.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot. It falls back to the monotonic clock where
// the kernel has no boot clock.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(started)
	}
	return time.Duration(ts.Nano())
}

// started is the base of the fallback.
var started = time.Now()
