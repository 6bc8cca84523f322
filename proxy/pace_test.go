package proxy

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestPace replays a server whose queue grows and empties: "delay-ms waiting times"
// for answers that come 20 ms apart.
func TestPace(t *testing.T) {
	datadriven.RunTest(t, "testloads/pace", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		var slots int
		d.ScanArgs(t, "slots", &slots)
		p := newPace(slots)
		now := time.Unix(100, 0)
		for line := range strings.SplitSeq(d.Input, "\n") {
			var delay, times int
			var waiting bool
			if _, err := fmt.Sscan(line, &delay, &waiting, &times); err != nil {
				t.Fatal(err)
			}
			for range times {
				now = now.Add(20 * time.Millisecond)
				p.answered(time.Duration(delay)*time.Millisecond, waiting, now)
			}
			fmt.Fprintf(&out, "%s: allowed %d\n", line, p.allowed())
		}
		return out.String()
	})
}

// TestUsual guards that a member that is slow throughout is measured against the
// fastest one.
func TestUsual(t *testing.T) {
	var u usual
	u.took("fast", 10*time.Millisecond, false)
	if got := u.took("slow", 90*time.Millisecond, false); got != 80*time.Millisecond {
		t.Fatalf("delay %v, want 80ms", got)
	}
}

// TestUsualWhileCrowded guards that a queue that lasts for minutes at a server does
// not pass for the usual time, and that a shorter time is learnt at once.
func TestUsualWhileCrowded(t *testing.T) {
	var u usual
	u.took("a", 20*time.Millisecond, false)
	for range 50 {
		u.took("a", 120*time.Millisecond, true)
	}
	if got := u.least(); got > 40*time.Millisecond {
		t.Fatalf("usual time %v after a second of queueing, want at most 40ms", got)
	}
	for range 100 {
		u.took("a", 10*time.Millisecond, true)
	}
	if got := u.least(); got > 11*time.Millisecond {
		t.Fatalf("usual time %v after shorter answers, want at most 11ms", got)
	}
}
