package state_test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"tamarackcross/fleet"
	"tamarackcross/group"
	"tamarackcross/state"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// line is one line of a script: a verb followed by key=value fields.
type line struct {
	t      *testing.T
	verb   string
	fields map[string]string
}

func parseLine(t *testing.T, text string) line {
	words := strings.Fields(text)
	l := line{t: t, verb: words[0], fields: make(map[string]string)}
	for _, w := range words[1:] {
		k, v, _ := strings.Cut(w, "=")
		l.fields[k] = v
	}
	return l
}

func (l line) text(k, fallback string) string {
	if v, ok := l.fields[k]; ok {
		return v
	}
	return fallback
}

func (l line) num(k string, fallback uint64) uint64 {
	l.t.Helper()
	n, err := strconv.ParseUint(l.text(k, strconv.FormatUint(fallback, 10)), 10, 64)
	if err != nil {
		l.t.Fatal(err)
	}
	return n
}

func (l line) list(k, fallback string) []string { return strings.Split(l.text(k, fallback), ",") }

func document(t testing.TB, age string) *fleet.Document {
	t.Helper()
	d, err := fleet.Default().WithDefault("max_age", age)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

var proposedAt = time.UnixMilli(1_800_000_000_000)

func (l line) command() state.Command {
	l.t.Helper()
	db, member, inc := l.text("db", "a"), l.text("m", ""), l.num("inc", 1)
	switch l.verb {
	case "config":
		at := proposedAt.Add(time.Duration(l.num("min", 0)) * time.Minute)
		return state.NewApplyConfig(l.text("id", ""), l.num("base", 0), document(l.t, l.text("age", "1s")), l.text("author", "kim"), at)
	case "register":
		return state.RegisterInstance{Instance: state.Instance{
			Name: l.text("i", ""), Incarnation: inc, Zone: l.text("zone", "z1"),
			Addresses: []string{"127.0.0.1:1"}, Roles: l.list("roles", state.RoleEntry),
		}}
	case "remove":
		return state.RemoveInstance{Instance: l.text("i", ""), Incarnation: inc}
	case "announce":
		return state.Announce{
			Database: db, Member: member, Incarnation: inc, Store: l.text("store", "s-"+member), Zone: l.text("zone", "z1"),
			Address: "127.0.0.1:2", Slots: uint32(l.num("slots", 3)), Connections: 30,
		}
	case "leave":
		return state.Leave{Database: db, Member: member, Incarnation: inc}
	case "expire":
		return state.Expire{Database: db, Member: member, Incarnation: inc}
	case "begin":
		return state.BeginPromotion{Database: db, ExpectedTerm: l.num("expected", 0), NewTerm: l.num("new", 0)}
	case "complete":
		return state.CompletePromotion{Database: db, Term: l.num("term", 0), Primary: member, StartOffset: l.num("start", 0)}
	case "caughtup":
		return state.MarkCaughtUp{Database: db, Member: member, Store: l.text("store", ""), Position: group.Position{Term: l.num("term", 0)}}
	case "bootstrap":
		h, err := group.ParseHistory(l.text("history", "1@0"))
		if err != nil {
			l.t.Fatal(err)
		}
		return state.BootstrapGroup{Database: db, Primary: l.text("primary", ""), History: h, Voters: l.list("voters", "")}
	case "retire":
		return state.RetireMember{Database: db, Member: member, Term: l.num("term", 0)}
	case "rebalance":
		return state.Rebalance{Zone: l.text("zone", "z1")}
	}
	l.t.Fatalf("unknown verb %s", l.verb)
	return nil
}

// roundTrip returns the command after encoding and decoding it as in the log.
func roundTrip(t testing.TB, c state.Command) state.Command {
	t.Helper()
	data, err := state.EncodeCommand(c)
	if err != nil {
		t.Fatal(err)
	}
	again, err := state.DecodeCommand(data)
	if err != nil {
		t.Fatal(err)
	}
	return again
}

func renderApplied(a state.ApplyResult) string {
	var keys []string
	for _, c := range a.Delta.Changes {
		sign := "+"
		if c.Removed {
			sign = "-"
		}
		keys = append(keys, sign+c.Key.String())
	}
	name := strings.TrimPrefix(fmt.Sprintf("%T", a.Result), "state.")
	return strings.TrimSpace(fmt.Sprintf("%s%+v %s", name, a.Result, strings.Join(keys, " ")))
}

func renderGroup(d *state.Database) string {
	var out strings.Builder
	fmt.Fprintf(&out, "term=%d begun=%d primary=%s majority=%d history=%s\n", d.Term(), d.BegunTerm(), d.Primary(), d.Majority(), d.History())
	for _, m := range d.Members() {
		fmt.Fprintf(&out, "%s inc=%d store=%s zone=%s leaving=%v gone=%v counts=%v owner=%s epoch=%d\n",
			m.Name, m.Incarnation, m.Store, m.Zone, m.Leaving, m.Gone, m.CountsInMajority(), m.Owner, m.Epoch)
	}
	return out.String()
}

// TestScripts guards against configuration changes that are lost or applied
// twice, leaving members that return to service, outdated promotions, members
// that count towards majorities without their data, and members that change
// their owner without need. After each apply step, a machine restored from a
// snapshot must be equal to the machine, and a view built from deltas to its view.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/script", func(t *testing.T, path string) {
		m := state.New()
		deltaView := state.Empty()
		var index uint64
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			switch d.Cmd {
			case "apply":
				for text := range strings.SplitSeq(d.Input, "\n") {
					index++
					a := m.Apply(state.Stamp{Term: 1, Index: index}, roundTrip(t, parseLine(t, text).command()))
					deltaView = applyDelta(t, deltaView, a.Delta)
					fmt.Fprintln(&out, renderApplied(a))
				}
				checkCopies(t, m, deltaView)
			case "fill":
				n := int(parseLine(t, "fill "+d.Input).num("n", 0))
				for i := range n {
					index++
					c := parseLine(t, d.Input+" id=fill-"+strconv.Itoa(i)).command()
					deltaView = applyDelta(t, deltaView, m.Apply(state.Stamp{Term: 1, Index: index}, c).Delta)
				}
			case "many":
				for i := range parseLine(t, "many "+d.CmdArgs[0].String()).num("n", 0) {
					index++
					c := parseLine(t, "announce m=n"+strconv.FormatUint(i, 10)).command()
					deltaView = applyDelta(t, deltaView, m.Apply(state.Stamp{Term: 1, Index: index}, c).Delta)
				}
			case "group":
				g, _ := m.View().Group(d.CmdArgs[0].Key)
				return renderGroup(g)
			case "config":
				c := m.View().Config()
				_, kept := m.Config(c.Version())
				fmt.Fprintf(&out, "version=%d id=%s max_age=%s kept=%v", c.Version(), c.ID(), c.Document().Defaults().MaxAge, kept)
			case "instances":
				var names []string
				for i := range m.View().Instances() {
					names = append(names, fmt.Sprintf("%s/%d", i.Name, i.Incarnation))
				}
				slices.Sort(names)
				return strings.Join(names, " ")
			case "again":
				a := m.Apply(state.Stamp{Term: 1, Index: index}, parseLine(t, d.Input).command())
				return renderApplied(a)
			default:
				d.Fatalf(t, "unknown command %s", d.Cmd)
			}
			return out.String()
		})
	})
}

func applyDelta(t testing.TB, v *state.View, d state.Delta) *state.View {
	t.Helper()
	if d.IsZero() {
		return v
	}
	next, err := v.Apply(state.DeltaOf(d.Proto()))
	if err != nil {
		t.Fatal(err)
	}
	return next
}

func checkCopies(t testing.TB, m *state.Machine, deltaView *state.View) {
	t.Helper()
	snap := m.Snapshot()
	r := state.New()
	if err := r.Restore(snap); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(snap, r.Snapshot()) || r.Digest() != m.Digest() {
		t.Fatal("the machine restored from the snapshot differs")
	}
	if deltaView.Digest() != m.View().Digest() || deltaView.Stamp() != m.View().Stamp() {
		t.Fatalf("the view built from deltas is at %s and differs from the machine at %s", deltaView.Stamp(), m.View().Stamp())
	}
}
