package keep_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"tamarackcross/keep"
)

// TestKeep guards against closing the connection of a customer that is about to use it.
func TestKeep(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		start := time.Unix(0, 0)
		table, now := keep.New(), start
		var idle []keep.Idle
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			customer, n := "", 1
			d.MaybeScanArgs(t, "customer", &customer)
			d.MaybeScanArgs(t, "n", &n)
			switch d.Cmd {
			case "reset":
				table, now, idle = keep.New(), start, nil
			case "use": // n requests at a time, every so often
				every, times := time.Second, 1
				d.MaybeScanArgs(t, "times", &times)
				if d.HasArg("every") {
					var text string
					d.ScanArgs(t, "every", &text)
					every, _ = time.ParseDuration(text)
				}
				for range times {
					for range n {
						table.Borrowed(customer, now)
					}
					for range n {
						table.Returned(customer, now)
					}
					now = now.Add(every)
				}
				return fmt.Sprintf("%.1f a second\n", table.Rate(customer, now))
			case "take":
				for range n {
					table.Borrowed(customer, now)
				}
				return fmt.Sprintf("%d in use\n", table.InUse(customer))
			case "idle":
				idle = nil
				for _, line := range strings.Fields(d.Input) {
					name, age, _ := strings.Cut(line, "=")
					unused, _ := time.ParseDuration(age)
					idle = append(idle, keep.Idle{Customer: name, LastUsed: now.Add(-unused)})
				}
			case "victim":
				return strconv.Itoa(table.Victim(idle, now)) + "\n"
			case "expired":
				var share int
				d.ScanArgs(t, "share", &share)
				return fmt.Sprintln(table.Expired(idle, n, share, now))
			default:
				d.Fatalf(t, "unknown command %s", d.Cmd)
			}
			return ""
		})
	})
}

// TestExpiredKeepsShare guards against closing connections within the share, and against keeping
// one beyond it that nobody is expected to use.
func TestExpiredKeepsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now := keep.New(), time.Unix(0, 0)
		for range rapid.IntRange(0, 60).Draw(t, "uses") {
			c := rapid.StringMatching(`[a-d]`).Draw(t, "customer")
			table.Borrowed(c, now)
			if rapid.Bool().Draw(t, "returned") {
				table.Returned(c, now)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
		}
		var idle []keep.Idle
		for range rapid.IntRange(0, 12).Draw(t, "idle") {
			idle = append(idle, keep.Idle{
				Customer: rapid.StringMatching(`[a-e]`).Draw(t, "idle customer"),
				LastUsed: now.Add(-time.Duration(rapid.IntRange(0, 35).Draw(t, "s")) * time.Second),
			})
		}
		inUse, share := rapid.IntRange(0, 6).Draw(t, "in use"), rapid.IntRange(1, 12).Draw(t, "share")
		expired := table.Expired(idle, inUse, share, now)
		if !slices.IsSorted(expired) || len(slices.Compact(slices.Clone(expired))) != len(expired) {
			t.Fatalf("indexes %v", expired)
		}
		for i, c := range idle {
			unused, closed := now.Sub(c.LastUsed), slices.Contains(expired, i)
			switch {
			case unused >= keep.DefaultIdleLimit && !closed:
				t.Fatalf("a connection unused for %s stays", unused)
			case unused < keep.DefaultExcessLimit && closed:
				t.Fatalf("a connection unused for %s is closed", unused)
			case unused < keep.DefaultIdleLimit && closed && len(idle)+inUse <= share:
				t.Fatalf("a connection within the share is closed")
			}
		}
		if len(idle) > 0 {
			i := table.Victim(idle, now)
			for _, c := range idle {
				if c.Customer == idle[i].Customer && c.LastUsed.Before(idle[i].LastUsed) {
					t.Fatalf("victim %d of %v is not the longest unused one of its customer", i, idle)
				}
			}
		}
	})
}

func BenchmarkVictim(b *testing.B) {
	table, now := keep.New(), time.Unix(0, 0)
	var idle []keep.Idle
	for i := range 15 {
		c := fmt.Sprint("customer-", i)
		table.Borrowed(c, now)
		table.Returned(c, now)
		idle = append(idle, keep.Idle{Customer: c, LastUsed: now})
	}
	for b.Loop() {
		table.Victim(idle, now)
	}
}
