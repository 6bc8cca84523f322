package host

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestPeerCount guards against a control instance that wakes up and knows few
// instances: each would then take more connections than the servers accept.
func TestPeerCount(t *testing.T) {
	var p peerCount
	start := time.Unix(0, 0)
	var got []int
	for _, step := range []struct {
		after time.Duration
		n     int
	}{{0, 6}, {time.Second, 1}, {2 * time.Second, 6}, {3 * time.Second, 5}, {6500 * time.Millisecond, 5}, {8 * time.Second, 5}, {9 * time.Second, 7}} {
		got = append(got, p.count(step.n, start.Add(step.after)))
	}
	if diff := cmp.Diff([]int{6, 6, 6, 6, 6, 5, 7}, got); diff != "" {
		t.Fatal(diff)
	}
}
