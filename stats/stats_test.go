package stats_test

import (
	"strings"
	"testing"

	"tamarackcross/stats"
)

// TestGauges guards against gauges that are computed although nobody reads the metrics, and
// against series of things that are gone.
func TestGauges(t *testing.T) {
	r := stats.New(map[string]string{"node": "n1"})
	calls, member := 0, "m1"
	r.Gauges(func(set stats.SetGauge) {
		calls++
		set("lag_seconds", map[string]string{"member": member}, 0.5)
	})
	if calls != 0 {
		t.Errorf("gauges were set %d times before the metrics were read", calls)
	}
	text := func() string {
		var b strings.Builder
		if err := r.WriteText(&b); err != nil {
			t.Fatal(err)
		}
		return b.String()
	}
	if got := text(); !strings.Contains(got, `tamarackcross_lag_seconds{member="m1",node="n1"} 0.5`) {
		t.Errorf("gauge is missing in\n%s", got)
	}
	member = "m2"
	if got := text(); strings.Contains(got, "m1\"") || !strings.Contains(got, `member="m2"`) {
		t.Errorf("series after the member changed:\n%s", got)
	}
}
