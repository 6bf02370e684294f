// Package clocker reads a clock that advances while the host is suspended.
//
// The monotonic clock of package time stops during a suspension. An age that is measured with it, such as the
// age of a lease or of the last contact with the store, is too low after a suspension. Code that may act only
// for a bounded time after it acquired a lease or last reached the store measures that time with an Instant of
// this package.
//
// # Usage
//
//	acquired := clocker.Now()
//	if clocker.Now().Sub(acquired) > bound {
//		// The lease may have expired, and another daemon may hold one.
//	}
package clocker

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a time of the boot clock, counted from the boot of the host.
type Instant time.Duration

// Now returns the current instant. If the boot clock cannot be read, it returns the time since the process
// started.
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

// Before reports whether i is earlier than other.
func (i Instant) Before(other Instant) bool { return i < other }
