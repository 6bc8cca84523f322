// Package clock reads a monotonic clock that also advances while the machine is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, as a time.Time that counts from the Unix
// epoch and has no monotonic reading. It measures the age of what an instance knows, such as
// proofs of primary. The monotonic reading of time.Now stops while the machine is suspended,
// and the wall clock can jump, so neither of them can bound such an age.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
