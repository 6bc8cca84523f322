package emul

import (
	"syscall"
	"time"
)

// preciseSleep blocks a thread for d. The kernel adds about 50 us of slack.
func preciseSleep(d time.Duration) {
	ts := syscall.NsecToTimespec(int64(d))
	_ = syscall.Nanosleep(&ts, nil) // if a signal interrupts the sleep, it is shorter
}
