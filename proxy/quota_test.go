package proxy

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestQuota guards against a quota that does not grow under demand, does not fall back
// when the server refuses connections, or does not shrink when demand ends. Idle
// transactions hold connections meanwhile.
func TestQuota(t *testing.T) {
	datadriven.RunTest(t, "testloads/quota", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		var q quota
		now := time.Unix(100, 0)
		for line := range strings.SplitSeq(d.Input, "\n") {
			var kind string
			var n, times int
			if _, err := fmt.Sscan(line, &kind, &n, &times); err != nil {
				t.Fatal(err)
			}
			for range times {
				switch kind {
				case "resize":
					q.resize(n, 3*n)
				case "wanted":
					q.recordWait(min(n, q.limit), now)
				case "refused":
					q.recordRefusal(n, now)
				case "use":
					q.recordUse(n, now)
				}
				now = now.Add(25 * time.Millisecond)
			}
			fmt.Fprintf(&out, "%s: limit %d\n", line, q.limit)
		}
		return out.String()
	})
}
