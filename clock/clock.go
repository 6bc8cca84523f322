// Package clock reads a steady clock that goes on while the machine is
// suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, as a time without a monotonic
// reading. The clock of time.Now stops during a suspension, and the time of day
// jumps, so neither can bound the age of knowledge.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
