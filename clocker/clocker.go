// Package clocker reads a clock that goes on while the host is suspended.
//
// The monotonic clock of package time stands still during a suspension, so a lease or a proof of
// contact that is aged by it looks younger than it is. What bounds authority is aged by an Instant
// of this package.
//
// # Usage
//
//	acquired := clocker.Now()
//	if clocker.Now().Sub(acquired) > bound {
//		// The lease may be somebody else's by now.
//	}
package clocker

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point of the boot clock. The zero value is the start of the host.
type Instant time.Duration

// Now returns the present instant. Where the boot clock cannot be read it falls back to the time
// since the process started.
func Now() Instant {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		return Instant(time.Since(processStart))
	}
	return Instant(spec.Nano())
}

var processStart = time.Now()

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from other to i.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// Before says whether i is earlier than other.
func (i Instant) Before(other Instant) bool { return i < other }
