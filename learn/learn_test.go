package learn_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"tamarackcross/learn"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "7")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var start = time.Unix(1_800_000_000, 0)

// TestLearner guards against shapes that are classified late, flap between the classes,
// or are rejected forever because their estimate does not decay while they are idle.
func TestLearner(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		l := learn.New()
		now := start
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var fp uint64
			var text string
			times := 1
			d.MaybeScanArgs(t, "fp", &fp)
			d.MaybeScanArgs(t, "d", &text)
			d.MaybeScanArgs(t, "times", &times)
			dur, _ := time.ParseDuration(text)
			switch d.Cmd {
			case "new":
				shapes := 8
				d.MaybeScanArgs(t, "shapes", &shapes)
				l = learn.New(learn.WithShapes(shapes), learn.WithShards(1))
			case "observe":
				var classes strings.Builder
				for range times {
					classes.WriteString(l.Observe(fp, dur, now).String()[:1])
				}
				return classes.String()
			case "running":
				return l.ObserveRunning(fp, dur, now).String()
			case "wait":
				now = now.Add(dur)
			case "factor":
				l.SetFactor(float64(times))
				return l.Threshold().Round(time.Millisecond).String()
			case "show":
				e := l.Lookup(fp, now)
				return fmt.Sprintf("mean=%v high=%v %s known=%v shapes=%d", e.Mean.Round(time.Millisecond),
					e.High.Round(time.Millisecond), e.Class, e.Known, l.Len())
			default:
				d.Fatalf(t, "unknown command %s", d.Cmd)
			}
			return ""
		})
	})
}

// TestBounds guards against unbounded memory and against estimates outside the range of
// the observed durations.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 20).Draw(t, "limit")
		l := learn.New(learn.WithShapes(limit), learn.WithShards(4))
		low, high := map[uint64]time.Duration{}, map[uint64]time.Duration{}
		for range rapid.IntRange(1, 200).Draw(t, "n") {
			fp := rapid.Uint64Range(0, 40).Draw(t, "fp")
			d := time.Duration(rapid.Int64Range(1, int64(2*time.Second)).Draw(t, "d"))
			if low[fp] == 0 || d < low[fp] {
				low[fp] = d
			}
			high[fp] = max(high[fp], d)
			l.Observe(fp, d, start)
			e := l.Lookup(fp, start)
			if e.Mean < low[fp]-1 || e.Mean > high[fp] || e.High < low[fp]-1 || e.High > high[fp] {
				t.Fatalf("estimate %+v outside [%v, %v]", e, low[fp], high[fp])
			}
			if l.Len() > limit {
				t.Fatalf("%d shapes kept, limit %d", l.Len(), limit)
			}
		}
	})
}

func BenchmarkLookup(b *testing.B) {
	l := learn.New()
	for fp := range uint64(1000) {
		l.Observe(fp, time.Millisecond, start)
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for fp := uint64(0); pb.Next(); fp = (fp + 7) % 1000 {
			l.Lookup(fp, start)
		}
	})
}

func BenchmarkObserve(b *testing.B) {
	l := learn.New()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for fp := uint64(0); pb.Next(); fp = (fp + 7) % 1000 {
			l.Observe(fp, time.Millisecond, start)
		}
	})
}
