package route_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"tamarackcross/group"
	"tamarackcross/route"
)

// TestMain fixes the seed of the randomised tests, so that every run gives the
// same result.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "20000")
	os.Exit(m.Run())
}

var epoch = time.Unix(1_000_000, 0)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func parseFields(line string) (string, map[string]string) {
	parts := strings.Fields(line)
	m := map[string]string{}
	for _, part := range parts[1:] {
		k, v, _ := strings.Cut(part, "=")
		m[k] = v
	}
	return parts[0], m
}

func parseDuration(text string) time.Duration {
	if text == "" {
		return 0
	}
	return must(time.ParseDuration(text))
}

func parseNumber(text string) float64 {
	n, _ := strconv.ParseFloat(text, 64)
	return n
}

func parseGroup(input string) route.Group {
	g := route.Group{Samples: &route.Samples{}}
	for line := range strings.SplitSeq(input, "\n") {
		name, f := parseFields(line)
		switch name {
		case "group":
			g.History = must(group.ParseHistory(f["history"]))
			g.Term = g.History.Term()
			g.Primary = f["primary"]
			g.Penalty = parseDuration(f["penalty"])
		case "sample":
			g.Samples.Add(epoch.Add(parseDuration(f["at"])), must(group.ParsePosition(f["pos"])))
		default:
			g.Members = append(g.Members, route.Member{
				Name:         name,
				Zone:         f["zone"],
				Primary:      f["primary"] != "",
				Applied:      must(group.ParsePosition(f["applied"])),
				AsOf:         epoch.Add(parseDuration(f["asof"])),
				Lag:          parseDuration(f["lag"]),
				ApplyRate:    parseNumber(f["rate"]),
				Load:         parseNumber(f["load"]),
				QueueWait:    parseDuration(f["wait"]),
				Weight:       parseNumber(f["weight"]),
				BreakerOpen:  f["open"] != "",
				Leaving:      f["leaving"] != "",
				LeavingSince: epoch.Add(parseDuration(f["leaving"])),
			})
		}
	}
	return g
}

func parseQuery(line string) route.Query {
	kind, f := parseFields(line)
	q := route.Query{
		Write:    kind == "write",
		Zone:     f["zone"],
		Expected: parseDuration(f["expected"]),
		Waited:   parseDuration(f["waited"]),
	}
	if f["exclude"] != "" {
		q.Exclude = strings.Split(f["exclude"], ",")
	}
	if f["deadline"] != "" {
		q.Deadline = epoch.Add(parseDuration(f["deadline"]))
	}
	switch {
	case f["age"] != "":
		q.Bound = group.AgeBound{MaxAge: parseDuration(f["age"]), Position: must(group.ParsePosition(f["bound"]))}
	case f["bound"] != "":
		q.Bound = group.SessionBound{Position: must(group.ParsePosition(f["bound"]))}
	}
	return q
}

func describe(c route.Choice) string {
	switch c := c.(type) {
	case route.Use:
		out := fmt.Sprintf("use %s need=%s", c.Name, c.Required)
		if c.Confirm {
			out += " confirm"
		}
		return out
	case route.Wait:
		return fmt.Sprintf("wait %s need=%s until=%s", c.Name, c.Required, c.Until.Sub(epoch))
	case route.Reject:
		return fmt.Sprintf("reject %s retry=%s", c.Reason, c.RetryAfter)
	}
	return "none"
}

// TestScripts guards against choices that break the routing rules in section 6 of
// the design. Each script lists members, statements and the expected choices with
// their counts out of 1000.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		var g route.Group
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "group" {
				g = parseGroup(d.Input)
				return ""
			}
			var out strings.Builder
			rnd := rand.New(rand.NewPCG(1, 2))
			for line := range strings.SplitSeq(d.Input, "\n") {
				counts := map[string]int{}
				var order []string
				for range 1000 {
					c := describe(route.New().Pick(parseQuery(line), g, epoch, rnd))
					if counts[c]++; counts[c] == 1 {
						order = append(order, c)
					}
				}
				fmt.Fprintf(&out, "%s =>", line)
				for _, c := range order {
					fmt.Fprintf(&out, " %s (%d)", c, counts[c])
				}
				out.WriteString("\n")
			}
			return out.String()
		})
	})
}

func drawPosition(t *rapid.T, label string) group.Position {
	return group.Position{
		Term:   rapid.Uint64Range(0, 4).Draw(t, label+"Term"),
		Offset: rapid.Uint64Range(0, 30).Draw(t, label+"Offset"),
	}
}

func drawGroup(t *rapid.T) route.Group {
	g := route.Group{Samples: &route.Samples{}}
	var starts []group.TermStart
	for term := uint64(1); term <= rapid.Uint64Range(1, 3).Draw(t, "term"); term++ {
		starts = append(starts, group.TermStart{Term: term, Offset: rapid.Uint64Range(0, 20).Draw(t, "start")})
	}
	g.History = must(group.NewHistory(starts...))
	g.Term = g.History.Term()
	g.Primary = rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "primary")
	for _, name := range []string{"a", "b", "c", "d"} {
		g.Members = append(g.Members, route.Member{
			Name:         name,
			Zone:         rapid.SampledFrom([]string{"x", "y"}).Draw(t, "zone"),
			Primary:      rapid.Bool().Draw(t, "claims"),
			Applied:      drawPosition(t, "applied"),
			AsOf:         epoch,
			Lag:          time.Duration(rapid.IntRange(0, 300).Draw(t, "lag")) * time.Millisecond,
			Load:         rapid.Float64Range(0, 3).Draw(t, "load"),
			BreakerOpen:  rapid.Bool().Draw(t, "open"),
			Leaving:      rapid.Bool().Draw(t, "leaving"),
			LeavingSince: epoch.Add(-time.Duration(rapid.IntRange(0, 3).Draw(t, "left")) * time.Second),
			Weight:       rapid.Float64Range(0, 1).Draw(t, "weight"),
		})
	}
	for i := range rapid.IntRange(0, 4).Draw(t, "samples") {
		g.Samples.Add(epoch.Add(time.Duration(i-4)*100*time.Millisecond), drawPosition(t, "sample"))
	}
	return g
}

// logOffset returns how much of the current log a position covers, and whether the
// position is part of that log. It walks the starts of the later terms.
func logOffset(h group.History, p group.Position) (uint64, bool) {
	known := p.IsZero()
	for _, s := range h.Starts() {
		known = known || s.Term == p.Term
		if s.Term > p.Term && p.Offset > s.Offset && !p.IsZero() {
			return 0, false
		}
	}
	return p.Offset, known
}

// violation describes the rule that a choice breaks, or returns "".
func violation(q route.Query, g route.Group, c route.Choice) string {
	u, used := c.(route.Use)
	if !used {
		return ""
	}
	m := g.Members[int(u.Name[0]-'a')]
	if m.Leaving && epoch.Sub(m.LeavingSince) > route.DefaultLeaveGrace {
		return "sent to a leaving member after the grace period"
	}
	if q.Write {
		return ruleIf(m.Name != g.Primary, "write sent to a replica")
	}
	var at group.Position
	switch b := q.Bound.(type) {
	case group.SessionBound:
		at = b.Position
	case group.AgeBound:
		at = b.Position
	default:
		return ruleIf(m.Name != g.Primary || !u.Confirm, "read with the bound latest sent to a member that is not a confirmed primary")
	}
	requiredOffset, kept := logOffset(g.History, at)
	appliedOffset, known := logOffset(g.History, m.Applied)
	aged, isAge := q.Bound.(group.AgeBound)
	switch {
	case !kept:
		return "read served although its bound is not part of the log"
	case isAge && !u.Confirm && !coversSample(g, u.Required, aged.MaxAge):
		return "required position does not cover the commits before the age limit"
	case m.Name == g.Primary:
		return ""
	case m.Primary || m.Leaving:
		return "read sent to a replaced primary or a leaving member"
	}
	return ruleIf(!known || appliedOffset < max(requiredOffset, u.Required.Offset), "below the bound")
}

func ruleIf(broken bool, rule string) string {
	if broken {
		return rule
	}
	return ""
}

// coversSample reports whether the required position reaches some sample of the
// current term that was taken at or after the age limit.
func coversSample(g route.Group, required group.Position, limit time.Duration) bool {
	for age := time.Duration(0); age <= limit; age += time.Millisecond {
		p, ok := g.Samples.At(epoch.Add(-age), g.Term)
		if ok && required.Offset >= p.Offset {
			return true
		}
	}
	return false
}

func checkPick(p *route.Policy, report func(t *rapid.T, broken string)) func(t *rapid.T) {
	return func(t *rapid.T) {
		g := drawGroup(t)
		q := route.Query{Write: rapid.Bool().Draw(t, "write"), Zone: "x"}
		at := drawPosition(t, "bound")
		q.Bound = rapid.SampledFrom([]group.Bound{
			group.SessionBound{Position: at},
			group.AgeBound{MaxAge: 250 * time.Millisecond, Position: at},
			group.LatestBound{},
		}).Draw(t, "kind")
		c := p.Pick(q, g, epoch, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)))
		report(t, violation(q, g, c))
	}
}

// TestNeverBelowBound guards against reads sent to members whose known position
// does not cover the bound, and against statements sent to members that must not
// receive any.
func TestNeverBelowBound(t *testing.T) {
	rapid.Check(t, checkPick(route.New(), func(t *rapid.T, broken string) {
		if broken != "" {
			t.Fatal(broken)
		}
	}))
}

// TestBelowBoundIsCaught shows that the checks of TestNeverBelowBound fail for a
// policy that compares offsets without regard to the history.
func TestBelowBoundIsCaught(t *testing.T) {
	caught := 0
	rapid.Check(t, checkPick(route.New(route.WithOffsetOnlyBounds()), func(_ *rapid.T, broken string) {
		if broken == "below the bound" {
			caught++
		}
	}))
	if caught == 0 {
		t.Error("the checks did not detect positions compared without the history")
	}
}

// TestSamplesCover guards against a lookup in a thinned list that returns a sample
// from before the requested time, which would not cover everything committed by
// then.
func TestSamplesCover(t *testing.T) {
	s := &route.Samples{}
	const count = 10_000
	for i := range uint64(count) {
		s.Add(epoch.Add(time.Duration(i)*time.Millisecond), group.Position{Term: 1, Offset: i})
	}
	for i := range uint64(count) {
		p, ok := s.At(epoch.Add(time.Duration(i)*time.Millisecond), 1)
		if !ok || p.Offset < i {
			t.Fatalf("At(%d ms) = %v %v", i, p, ok)
		}
	}
	if p, _ := s.At(epoch.Add((count-50)*time.Millisecond), 1); p.Offset != count-50 {
		t.Errorf("At of a recent time = %v, want the sample taken at that time", p)
	}
	if _, ok := s.At(epoch, 2); ok {
		t.Error("At returned a sample of an earlier term")
	}
}

func BenchmarkPick(b *testing.B) {
	h := must(group.ParseHistory("1@0,2@8"))
	g := route.Group{Term: 2, History: h, Primary: "a", Members: []route.Member{
		{Name: "a", Zone: "x", Primary: true}, {Name: "b", Zone: "y", Applied: group.Position{Term: 2, Offset: 30}}, {Name: "c", Zone: "x"},
	}}
	q := route.Query{Zone: "x", Bound: group.SessionBound{Position: group.Position{Term: 2, Offset: 20}}}
	p, rnd := route.New(), rand.New(rand.NewPCG(1, 2))
	b.ReportAllocs()
	for b.Loop() {
		p.Pick(q, g, epoch, rnd)
	}
}
