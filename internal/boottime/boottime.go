// Package boottime reads a clock that also advances while the machine is
// suspended. Leases and the age of table data are measured with it, because the
// Go runtime's monotonic clock stops during a suspension.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of the clock, as the time since boot. Instants of different
// machines are not comparable. The zero Instant is earlier than any reading.
type Instant time.Duration

// Now returns the current reading of the clock. It panics if the kernel does not
// support CLOCK_BOOTTIME.
func Now() Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("boottime: the kernel does not support CLOCK_BOOTTIME: " + err.Error())
	}
	return Instant(t.Nano())
}

// Sub returns the duration t-u.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// Add returns the instant t+d.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Before reports whether t is earlier than u.
func (t Instant) Before(u Instant) bool { return t < u }

// IsZero reports whether t is the zero Instant, which is no reading of the clock.
func (t Instant) IsZero() bool { return t == 0 }
