package core

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a moment on a clock that also counts while the VM is suspended. Instants of different
// processes can't be compared.
type Instant time.Duration

// Now reads CLOCK_BOOTTIME. The runtime's monotonic clock stands still while a VM is suspended, so
// that data would look fresher than it is after the VM resumes.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call only fails where the clock doesn't exist, which Linux has had since 2.6.39.
		panic("CLOCK_BOOTTIME: " + err.Error())
	}
	return Instant(ts.Nano())
}

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from j to i.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }
