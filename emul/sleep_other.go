//go:build !linux

package emul

import "time"

// preciseSleep sleeps as precisely as the runtime allows.
func preciseSleep(d time.Duration) { time.Sleep(d) }
