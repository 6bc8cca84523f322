package retry_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"tamarackcross/errs"
	"tamarackcross/retry"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "7")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var origin = time.Unix(1_800_000_000, 0)

// TestScripts guards against breakers that open too late or stay open, a database
// without a usable member, and retries beyond the budget or the deadline.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		now := origin
		g, b := retry.NewGroup(1), retry.NewBudget(1, now)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			name, times, ms, attempts := "", 1, 0, 1
			for key, dst := range map[string]any{"m": &name, "times": &times, "ms": &ms, "tries": &attempts} {
				d.MaybeScanArgs(t, key, dst)
			}
			out := ""
			for range times {
				switch d.Cmd {
				case "members":
					var names []string
					for _, a := range d.CmdArgs {
						names = append(names, a.Key)
					}
					g.SetMembers(names)
				case "fail":
					g.Failed(name, now)
				case "ok":
					g.Succeeded(name, now)
				case "allow":
					out += fmt.Sprintln(g.Allow(name, now))
				case "returned":
					g.Returned(name, now)
				case "wait":
					now = now.Add(time.Duration(ms) * time.Millisecond)
				case "show":
					for _, m := range []string{"a", "b", "c"} {
						out += fmt.Sprintf("%s %s usable=%v weight=%.2f\n", m, g.State(m, now), g.Usable(m, now), g.Weight(m, now))
					}
				case "first":
					b.RecordFirst()
				case "retry":
					a := retry.Attempt{Reason: errs.ReasonBackendLost, Attempts: attempts, Deadline: now.Add(time.Duration(ms) * time.Millisecond), Expected: 10 * time.Millisecond}
					out += fmt.Sprintf("%+v ", b.Decide(a, now))
				case "counts":
					out = fmt.Sprint(b.Allowed(), b.Denied())
				default:
					d.Fatalf(t, "unknown command %s", d.Cmd)
				}
			}
			return out
		})
	})
}

// TestOneUsable guards against a database none of whose members is usable, and
// against open breakers that never allow a probe.
func TestOneUsable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, now := retry.NewGroup(rapid.Uint64().Draw(t, "seed")), origin
		names := []string{"a", "b", "c"}[:rapid.IntRange(1, 3).Draw(t, "members")]
		g.SetMembers(names)
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			name := rapid.SampledFrom(names).Draw(t, "name")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				g.Succeeded(name, now)
			case 1:
				now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
			case 2:
				g.Allow(name, now)
			default:
				g.Failed(name, now)
			}
			usable := 0
			for _, n := range names {
				if g.Usable(n, now) {
					usable++
				}
			}
			if usable == 0 {
				t.Fatal("no member is usable")
			}
		}
		now = now.Add(2 * retry.DefaultSettings().MaxOpenTime)
		for _, n := range names {
			if !g.Usable(n, now) {
				t.Fatalf("%s is not usable after twice the maximum open time", n)
			}
		}
	})
}

// TestBudget guards against retries that multiply the load. Their number must not
// exceed the full bucket plus the tokens added by time and by first attempts.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now := retry.NewBudget(1, origin), origin
		firsts, retries := 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "events") {
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			case 1:
				b.RecordFirst()
				firsts++
			default:
				if _, ok := b.Decide(retry.Attempt{Attempts: 1, Deadline: now.Add(time.Second)}, now).(retry.Again); ok {
					retries++
				}
			}
		}
		if most := 20 + now.Sub(origin).Seconds() + 0.1*float64(firsts); float64(retries) > most+0.01 {
			t.Fatalf("%d retries for %d first attempts, want at most %v", retries, firsts, most)
		}
	})
}

func BenchmarkAllow(b *testing.B) {
	g := retry.NewGroup(1)
	g.SetMembers([]string{"a", "b", "c"})
	b.ReportAllocs()
	for b.Loop() {
		g.Allow("b", origin)
		g.Succeeded("b", origin)
	}
}

func BenchmarkDecide(b *testing.B) {
	k := retry.NewBudget(1, origin, retry.WithRatio(1))
	a := retry.Attempt{Reason: errs.ReasonConnect, Attempts: 2, Deadline: origin.Add(time.Second)}
	b.ReportAllocs()
	for b.Loop() {
		k.RecordFirst()
		k.Decide(a, origin)
	}
}
