package host

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tamarackcross/event"
	"tamarackcross/stats"
)

// TestInstanceCount guards against instances that together open more connections than the
// backend servers accept. It happens if they adopt the number of instances from a control
// instance that was frozen or has just started, and so knows too few.
func TestInstanceCount(t *testing.T) {
	var c instanceCount
	start := time.Unix(0, 0)
	var got []int
	for _, step := range []struct {
		after time.Duration
		n     int
	}{{0, 6}, {time.Second, 1}, {2 * time.Second, 6}, {3 * time.Second, 5}, {6500 * time.Millisecond, 5}, {8 * time.Second, 5}, {9 * time.Second, 7}} {
		got = append(got, c.update(step.n, start.Add(step.after)))
	}
	if diff := cmp.Diff([]int{6, 6, 6, 6, 6, 5, 7}, got); diff != "" {
		t.Fatal(diff)
	}
}

// TestCountsAsIsolated guards against an instance that sends its callers away during an outage
// that affects all instances, and against one that keeps them behind a network partition.
func TestCountsAsIsolated(t *testing.T) {
	for _, tc := range []struct {
		name          string
		majority      bool
		known, proved int
		want          bool
	}{
		{"majority and all primaries", true, 8, 8, false},
		{"only control is lost", false, 8, 8, false},
		{"only primaries are lost", true, 8, 0, false},
		{"control and one primary of three are lost", false, 3, 2, false},
		{"a zone of three is isolated, with its own 3 of 8 primaries", false, 8, 3, true},
		{"the same zone, with half of the primaries", false, 8, 4, true},
		{"nothing is known yet", false, 0, 0, false},
	} {
		if got := countsAsIsolated(tc.majority, tc.known, tc.proved); got != tc.want {
			t.Errorf("%s: isolated %t, want %t", tc.name, got, tc.want)
		}
	}
}

// TestConfigSource guards against an entry that waits for the configuration of a control instance
// which has stopped to answer or has just failed, while others have it.
func TestConfigSource(t *testing.T) {
	now := time.Unix(100, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	c := newControlClients("", "a", nil, func() time.Time { return now }, event.Nop(), stats.New(nil))
	for _, cc := range []*controlClient{
		{addr: "frozen", configVersion: 9, lastAnswer: ago(2 * time.Second), zone: "a"},
		{addr: "far", configVersion: 8, lastAnswer: ago(100 * time.Millisecond), zone: "b"},
		{addr: "near", configVersion: 8, lastAnswer: ago(300 * time.Millisecond), zone: "a"},
		{addr: "behind", configVersion: 7, lastAnswer: now, zone: "a"},
	} {
		c.byAddr[cc.addr] = cc
	}
	var got []string
	failedAt := map[string]time.Time{}
	for range 5 {
		addr, version := c.configSource(6, "a", failedAt)
		got = append(got, fmt.Sprint(addr, " ", version))
		failedAt[addr] = now
	}
	c.byAddr["far"].lastAnswer = now.Add(time.Millisecond)
	addr, version := c.configSource(6, "a", failedAt)
	got = append(got, fmt.Sprint(addr, " ", version))
	if diff := cmp.Diff([]string{"near 8", "far 8", "behind 7", "frozen 9", " 0", "far 8"}, got); diff != "" {
		t.Fatal(diff)
	}
}
