// Package bootclock reads the operating system's clock of the time since boot.
//
// Unlike the monotonic clock of the Go runtime, this clock advances while the VM
// is suspended, and unlike the wall clock it can't be set. It is used for the
// expiry of leases and for the age of state that a node has received from the log
// or from other nodes.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted. If the operating system has no
// boot clock, Now returns the time since the start of the process by the Go
// runtime's monotonic clock instead.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(started)
	}
	return time.Duration(ts.Nano())
}

// started is the time from which Now counts if there is no boot clock.
var started = time.Now()
