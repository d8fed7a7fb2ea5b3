package core

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a time on a monotonic clock that also advances while the VM is suspended. Instants of
// different processes can't be compared.
type Instant time.Duration

// Now reads CLOCK_BOOTTIME. The runtime's monotonic clock stops while a VM is suspended, which would
// make data look fresher than it is after the VM resumes.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call only fails without this clock, which Linux has since 2.6.39.
		panic("CLOCK_BOOTTIME: " + err.Error())
	}
	return Instant(ts.Nano())
}

// Add returns i+d.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns i-j.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }
