package promo_test

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"tamarackcross/group"
	"tamarackcross/promo"
)

// TestMain fixes the seed of the randomised tests, so that every run has the same
// result.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "1500")
	os.Exit(m.Run())
}

var epoch = time.Unix(1_000_000, 0)

var healths = map[string]promo.Health{"up": promo.Reachable, "down": promo.Unreachable, "stalled": promo.Stalled}

// parseOptional parses text with f, or returns the zero value if text is empty.
func parseOptional[T any](f func(string) (T, error), text string) T {
	var zero T
	if text == "" {
		return zero
	}
	v, err := f(text)
	if err != nil {
		panic(err)
	}
	return v
}

func parseUint(s string) (uint64, error) { return strconv.ParseUint(s, 10, 64) }

func parseFields(line string) (string, map[string]string) {
	parts := strings.Fields(line)
	m := map[string]string{}
	for _, part := range parts[1:] {
		k, v, _ := strings.Cut(part, "=")
		m[k] = v
	}
	return parts[0], m
}

func parseMember(line string) promo.Member {
	name, f := parseFields(line)
	return promo.Member{
		Name: name, Zone: f["zone"], Address: name + ":1", Store: f["store"],
		Voting: f["learner"] == "", Leaving: f["leaving"] != "",
	}
}

func parseEvent(line string, now time.Time) promo.Event {
	name, f := parseFields(line)
	term := parseOptional(parseUint, f["term"])
	position := parseOptional(group.ParsePosition, f["pos"])
	var err error
	if f["err"] != "" {
		err = errRefused
	}
	switch name {
	case "begun":
		return promo.Begun{Term: term}
	case "fenced":
		return promo.FenceResult{
			Member: f["member"], Term: term, HighestTerm: parseOptional(parseUint, f["seen"]),
			Store: f["store"], Position: position, Err: err,
		}
	case "completed":
		return promo.Completed{Term: term, Primary: f["primary"], History: parseOptional(group.ParseHistory, f["history"])}
	case "promoted":
		return promo.PromoteResult{Member: f["member"], Term: term, Err: err}
	case "follows":
		return promo.FollowResult{Member: f["member"], Term: term, Err: err}
	case "switch":
		return promo.Switch{To: f["to"]}
	case "confirmed":
		return promo.Confirmed{}
	case "live":
		var live promo.LiveEntries
		for zone, count := range f {
			live.Zones = append(live.Zones, promo.ZoneEntries{Zone: zone, Count: int(parseOptional(parseUint, count))})
		}
		return live
	case "tick":
		return promo.Tick{}
	}
	zone, _, _ := strings.Cut(name, "-")
	return promo.Report{
		Instance: name, Zone: zone, Member: f["member"], At: now.Add(-parseOptional(time.ParseDuration, f["old"])),
		Health: healths[f["is"]], Term: term, Position: position, NotReplicating: f["idle"] != "",
	}
}

func formatAction(a promo.Action) string {
	switch a := a.(type) {
	case promo.ProposeComplete:
		return fmt.Sprintf("complete %s %s", a.Primary, a.History)
	case promo.Promote:
		return fmt.Sprintf("promote %s %d %s", a.Member, a.Term, a.History)
	}
	return strings.ToLower(strings.TrimPrefix(fmt.Sprintf("%T%v", a, a), "promo."))
}

// TestScripts guards against wrong actions during failure detection, fencing,
// promotion, return of former primaries and planned switchovers. Each line of a
// script is "time event". The output adds "=>", the phase before the event in
// brackets, and the actions that the event causes.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		var m *promo.Machine
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			var logged promo.LoggedState
			for line := range strings.SplitSeq(d.Input, "\n") {
				if d.Cmd == "new" {
					name, f := parseFields(line)
					if name != "log" {
						logged.Members = append(logged.Members, parseMember(line))
						continue
					}
					logged.History = parseOptional(group.ParseHistory, f["history"])
					logged.Term = logged.History.Term()
					logged.Primary = f["primary"]
					logged.Pending = parseOptional(parseUint, f["pending"])
					continue
				}
				at, text, _ := strings.Cut(line, " ")
				now := epoch.Add(parseOptional(time.ParseDuration, at))
				fmt.Fprintf(&out, "%s => [%s]", line, m.Phase())
				for _, a := range m.Step(parseEvent(text, now), now) {
					fmt.Fprintf(&out, " %s;", formatAction(a))
				}
				out.WriteString("\n")
			}
			if d.Cmd == "new" {
				m = promo.New(logged, epoch)
			}
			return out.String()
		})
	})
}

// checkZoneQuorum sends random reports of three zones. It counts in early the terms
// that were proposed while fewer than two zones had a fresh report of a failure.
func checkZoneQuorum(early *int, opts ...promo.Option) func(t *rapid.T) {
	return func(t *rapid.T) {
		logged := promo.LoggedState{Term: 1, Primary: "a", Members: []promo.Member{{Name: "a", Voting: true}}}
		m := promo.New(logged, epoch, opts...)
		m.Step(promo.LiveEntries{Zones: []promo.ZoneEntries{{Zone: "x", Count: 1}, {Zone: "y", Count: 1}, {Zone: "z", Count: 1}}}, epoch)
		failed := map[string]time.Time{}
		now := epoch
		for range 30 {
			now = now.Add(time.Duration(rapid.IntRange(10, 200).Draw(t, "step")) * time.Millisecond)
			zone := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "zone")
			health := promo.Health(rapid.IntRange(0, 1).Draw(t, "health"))
			if delete(failed, zone); health == promo.Unreachable {
				failed[zone] = now
			}
			for _, a := range m.Step(promo.Report{Instance: zone, Zone: zone, Member: "a", At: now, Health: health}, now) {
				if _, ok := a.(promo.ProposeBegin); ok && countFresh(failed, now) < 2 {
					*early++
				}
			}
		}
	}
}

func countFresh(failed map[string]time.Time, now time.Time) int {
	n := 0
	for _, at := range failed {
		if now.Sub(at) < promo.DefaultReportTTL {
			n++
		}
	}
	return n
}

// TestOneZoneIsNotEnough guards against the replacement of a primary that only one
// zone cannot reach, for instance because that zone is partitioned off. With one
// zone made sufficient, the check must find early terms.
func TestOneZoneIsNotEnough(t *testing.T) {
	early, weakened := 0, 0
	rapid.Check(t, checkZoneQuorum(&early))
	rapid.Check(t, checkZoneQuorum(&weakened, promo.WithZoneQuorum(1)))
	if early > 0 {
		t.Errorf("%d terms were proposed with reports of a failure from fewer than two zones", early)
	}
	if weakened == 0 {
		t.Error("no term was proposed early although one zone is sufficient")
	}
}

// BenchmarkReport measures the processing of a report on a healthy database, the
// most frequent event of a Machine.
func BenchmarkReport(b *testing.B) {
	logged := promo.LoggedState{Term: 1, Primary: "a", Members: []promo.Member{{Name: "a", Voting: true}, {Name: "b", Voting: true}}}
	m := promo.New(logged, epoch)
	m.Step(promo.PromoteResult{Member: "a", Term: 1}, epoch)
	m.Step(promo.FollowResult{Member: "b", Term: 1}, epoch)
	r := promo.Report{Instance: "e", Zone: "x", Member: "a", At: epoch, Term: 1}
	b.ReportAllocs()
	for b.Loop() {
		m.Step(r, epoch)
	}
}
