package proxy

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestConcurrencyLimit guards against a limit that does not follow the queue of the
// server down and up again. Each line is "delay-ms waiting times", for answers 20 ms
// apart.
func TestConcurrencyLimit(t *testing.T) {
	datadriven.RunTest(t, "testloads/pace", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		var slots int
		d.ScanArgs(t, "slots", &slots)
		p := newConcurrencyLimit(slots)
		now := time.Unix(100, 0)
		for line := range strings.SplitSeq(d.Input, "\n") {
			var delay, times int
			var waiting bool
			if _, err := fmt.Sscan(line, &delay, &waiting, &times); err != nil {
				t.Fatal(err)
			}
			for range times {
				now = now.Add(20 * time.Millisecond)
				p.recordDelay(time.Duration(delay)*time.Millisecond, waiting, now)
			}
			fmt.Fprintf(&out, "%s: allowed %d\n", line, p.allowed())
		}
		return out.String()
	})
}

// TestDurationBaseline guards against a member that is always slow being compared with
// itself instead of the fastest member.
func TestDurationBaseline(t *testing.T) {
	var baseline durationBaseline
	baseline.record("fast", 10*time.Millisecond, false)
	if got := baseline.record("slow", 90*time.Millisecond, false); got != 80*time.Millisecond {
		t.Fatalf("delay %v, want 80ms", got)
	}
}

// TestDurationBaselineWhileCongested guards against a queue that lasts for minutes at a
// server becoming the baseline, and against a shorter duration being learnt too
// slowly.
func TestDurationBaselineWhileCongested(t *testing.T) {
	var baseline durationBaseline
	baseline.record("a", 20*time.Millisecond, false)
	for range 50 {
		baseline.record("a", 120*time.Millisecond, true)
	}
	if got := baseline.fastest(); got > 40*time.Millisecond {
		t.Fatalf("baseline %v after a second of queueing, want at most 40ms", got)
	}
	for range 100 {
		baseline.record("a", 10*time.Millisecond, true)
	}
	if got := baseline.fastest(); got > 11*time.Millisecond {
		t.Fatalf("baseline %v after shorter answers, want at most 11ms", got)
	}
}
