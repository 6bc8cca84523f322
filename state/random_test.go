package state_test

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"pgregory.net/rapid"

	"tamarackcross/group"
	"tamarackcross/state"
)

// verbs lists the commands to draw from. A verb that occurs more often is drawn
// more often. The names in the commands come from small sets, so that many
// commands concern the same member or instance.
var verbs = strings.Fields("config config register register remove announce announce announce leave expire " +
	"begin begin complete complete caughtup bootstrap retire rebalance")

func drawCommand(t *rapid.T) state.Command {
	pick := func(label string, of ...string) string { return rapid.SampledFrom(of).Draw(t, label) }
	num := func(label string, high uint64) uint64 { return rapid.Uint64Range(0, high).Draw(t, label) }
	db, member := pick("db", "a", "b"), pick("member", "m1", "m2", "m3", "m4")
	inc, zone := num("inc", 3), pick("zone", "z1", "z2")
	store := fmt.Sprintf("s%d", inc/2)
	switch pick("verb", verbs...) {
	case "config":
		return state.ApplyConfig{ID: pick("id", "c1", "c2", "c3", "c4", "c5"), Base: num("base", 3), Document: []byte(pick("doc", "{}", "defaults: {}")), Author: "kim", At: proposedAt}
	case "register":
		return state.RegisterInstance{Instance: state.Instance{Name: pick("i", "e1", "e2", "e3"), Incarnation: inc, Zone: zone, Roles: []string{pick("role", "entry", "entry", "control")}}}
	case "remove":
		return state.RemoveInstance{Instance: pick("i", "e1", "e2", "e3"), Incarnation: inc}
	case "announce":
		return state.Announce{Database: db, Member: member, Incarnation: inc, Store: store, Zone: zone, Address: "x"}
	case "leave":
		return state.Leave{Database: db, Member: member, Incarnation: inc}
	case "expire":
		return state.Expire{Database: db, Member: member, Incarnation: inc}
	case "begin":
		expected := num("expected", 5)
		return state.BeginPromotion{Database: db, ExpectedTerm: expected, NewTerm: expected + 1}
	case "complete":
		return state.CompletePromotion{Database: db, Term: num("term", 6), Primary: member, StartOffset: num("start", 100)}
	case "caughtup":
		return state.MarkCaughtUp{Database: db, Member: member, Store: store, Position: group.Position{Term: num("term", 6)}}
	case "bootstrap":
		h, _ := group.NewHistory(group.TermStart{Term: 1})
		return state.BootstrapGroup{Database: db, Primary: "m1", History: h, Voters: []string{"m1", "m2", "m3"}}
	case "retire":
		return state.RetireMember{Database: db, Member: member, Term: num("term", 6)}
	default:
		return state.Rebalance{Zone: zone}
	}
}

// commands draws a history of commands in which database a is bootstrapped and
// database b may not be.
var commands = rapid.Custom(func(t *rapid.T) []state.Command {
	var list []state.Command
	for _, m := range []string{"m1", "m2", "m3"} {
		list = append(list, state.Announce{Database: "a", Member: m, Store: "s0", Zone: "z1", Address: "x"})
	}
	h, _ := group.NewHistory(group.TermStart{Term: 1})
	list = append(list, state.BootstrapGroup{Database: "a", Primary: "m1", History: h, Voters: []string{"m1", "m2", "m3"}})
	return append(list, rapid.SliceOfN(rapid.Custom(drawCommand), 80, 150).Draw(t, "commands")...)
})

type applyFunc func(*state.Machine, state.Stamp, state.Command) state.ApplyResult

// checker checks the invariants of the state after each command. It holds what
// they need from earlier commands.
type checker struct {
	m         *state.Machine
	deltaView *state.View
	results   map[string]state.Result
	begun     map[string]bool
}

// run applies the commands and returns the first violation of an invariant.
func run(apply applyFunc, list []state.Command) error {
	c := checker{m: state.New(), deltaView: state.Empty(), results: make(map[string]state.Result), begun: make(map[string]bool)}
	for i, cmd := range list {
		old := c.m.View()
		a := apply(c.m, state.Stamp{Term: uint64(1 + i/50), Index: uint64(i + 1)}, cmd)
		if !a.Delta.IsZero() {
			next, err := c.deltaView.Apply(a.Delta)
			if err != nil {
				return err
			}
			c.deltaView = next
		}
		if err := c.step(cmd, a.Result, old, c.m.View()); err != nil {
			return eris.Wrapf(err, "command %d %+v", i, cmd)
		}
	}
	return c.compareCopies()
}

func (c *checker) step(cmd state.Command, r state.Result, old, next *state.View) error {
	if next.Config().Version() < old.Config().Version() {
		return eris.New("configuration version decreased")
	}
	_, refused := r.(state.Refused)
	switch cmd := cmd.(type) {
	case state.ApplyConfig:
		key := fmt.Sprintf("%s %d %s", cmd.ID, cmd.Base, cmd.Document)
		if first, ok := c.results[key]; ok && first != r {
			return eris.Errorf("two results for one change: %+v and %+v", first, r)
		}
		c.results[key] = r
	case state.BeginPromotion:
		key := fmt.Sprintf("%s %d", cmd.Database, cmd.ExpectedTerm)
		if !refused && c.begun[key] {
			return eris.Errorf("two promotions from term %d", cmd.ExpectedTerm)
		}
		c.begun[key] = c.begun[key] || !refused
	case state.CompletePromotion:
		d, ok := old.Group(cmd.Database)
		if !refused && (!ok || !d.Promoting() || d.BegunTerm() != cmd.Term) {
			return eris.New("completed a promotion that was not begun")
		}
	}
	for d := range next.Databases() {
		if was, ok := old.Group(d.Name()); ok {
			if err := checkGroup(was, d); err != nil {
				return err
			}
		}
		if err := checkOwners(next, d); err != nil {
			return err
		}
	}
	return nil
}

func checkGroup(old, next *state.Database) error {
	if next.BegunTerm() < old.BegunTerm() || !strings.HasPrefix(next.History().String(), old.History().String()) {
		return eris.Errorf("history changed from %s to %s without extending it, or the begun term decreased", old.History(), next.History())
	}
	for _, m := range next.Members() {
		was, ok := old.Member(m.Name)
		switch {
		case !ok:
		case m.Incarnation < was.Incarnation || m.Epoch < was.Epoch:
			return eris.Errorf("incarnation or epoch decreased: %+v, %+v", was, m)
		case m.Owner != was.Owner && m.Epoch == was.Epoch:
			return eris.Errorf("new owner in the same epoch: %+v, %+v", was, m)
		case was.Leaving && !m.Leaving && m.Incarnation == was.Incarnation:
			return eris.Errorf("member is no longer leaving without a new incarnation: %+v", m)
		case m.CountsInMajority() && !was.CountsInMajority() && m.Store != was.Store && m.Store != was.VoterStore:
			return eris.Errorf("a member with a new store counts before it has caught up: %+v", m)
		}
	}
	return nil
}

func checkOwners(v *state.View, d *state.Database) error {
	live := make(map[string][]string)
	var all []string
	for i := range v.Instances() {
		if i.HasRole(state.RoleEntry) {
			live[i.Zone] = append(live[i.Zone], i.Name)
			all = append(all, i.Name)
		}
	}
	for _, m := range d.Members() {
		permitted := live[m.Zone]
		if len(permitted) == 0 {
			permitted = all
		}
		if m.Owner == "" && len(permitted) > 0 || m.Owner != "" && !slices.Contains(permitted, m.Owner) {
			return eris.Errorf("wrong owner of %+v, allowed are %v", m, permitted)
		}
	}
	return nil
}

// compareCopies compares the machine with one restored from its snapshot, and its
// view with the one built from deltas.
func (c *checker) compareCopies() error {
	r := state.New()
	if err := r.Restore(c.m.Snapshot()); err != nil {
		return err
	}
	if !bytes.Equal(r.Snapshot(), c.m.Snapshot()) || r.Digest() != c.m.Digest() {
		return eris.New("the machine restored from the snapshot differs")
	}
	if c.deltaView.Digest() != c.m.View().Digest() || c.deltaView.Stamp() != c.m.View().Stamp() {
		return eris.New("the view built from deltas differs")
	}
	return nil
}

// TestRandomCommands guards against an order of commands that violates an
// invariant of the state, such as a term that decreases, two results for one
// change, or an owner in the wrong zone.
func TestRandomCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := run((*state.Machine).Apply, commands.Draw(t, "history")); err != nil {
			t.Fatal(err)
		}
	})
}

// TestApplyAfterRestore guards against a machine that executes commands
// differently after a restore, for example because an index was not rebuilt.
func TestApplyAfterRestore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kept, restored := state.New(), state.New()
		for i, c := range commands.Draw(t, "history") {
			at := state.Stamp{Term: 1, Index: uint64(i + 1)}
			if i%4 == 0 {
				next := state.New()
				if err := next.Restore(restored.Snapshot()); err != nil {
					t.Fatal(err)
				}
				restored = next
			}
			want, got := kept.Apply(at, c), restored.Apply(at, c)
			if fmt.Sprint(want) != fmt.Sprint(got) {
				t.Fatalf("%+v: result %v, but %v after a restore", c, want, got)
			}
		}
	})
}

// TestChecksCanFail guards against checks that pass whatever the machine does. A
// machine from which one rule was removed must fail the check of the rule in one
// of the drawn histories.
func TestChecksCanFail(t *testing.T) {
	for name, c := range map[string]struct {
		apply applyFunc
		want  string
	}{
		"forgetful":  {state.ApplyForgettingResults, "two results for one change"},
		"uncompared": {state.ApplyWithoutTermCheck, "two promotions from term"},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range 200 {
				if err := run(c.apply, commands.Example(seed)); err != nil && strings.Contains(err.Error(), c.want) {
					return
				}
			}
			t.Fatalf("no history failed with %q", c.want)
		})
	}
}

// TestDocumentOfNewerRelease guards against an instance that loses its settings
// when a newer release writes a document that the instance cannot decode.
func TestDocumentOfNewerRelease(t *testing.T) {
	m := state.New()
	m.Apply(state.Stamp{Term: 1, Index: 1}, state.NewApplyConfig("c1", 0, document(t, "7s"), "kim", proposedAt))
	m.Apply(state.Stamp{Term: 1, Index: 2}, state.ApplyConfig{ID: "c2", Base: 1, Document: []byte("new_section: 1"), Author: "kim", At: proposedAt})
	v := m.View()
	if v.Config().Version() != 2 || v.Config().Err() == nil || v.Document().Defaults().MaxAge != 7*time.Second {
		t.Fatalf("version %d, error %v, max age %s", v.Config().Version(), v.Config().Err(), v.Document().Defaults().MaxAge)
	}
}

// TestOlderSnapshot guards against a restore that replaces the state with an
// older one.
func TestOlderSnapshot(t *testing.T) {
	m := state.New()
	old := m.Snapshot()
	m.Apply(state.Stamp{Term: 1, Index: 1}, state.NewApplyConfig("c1", 0, document(t, "7s"), "kim", proposedAt))
	if err := m.Restore(old); !errors.Is(err, state.ErrOlderSnapshot) || m.View().Config().Version() != 1 {
		t.Fatalf("error %v, version %d", err, m.View().Config().Version())
	}
}

// FuzzDecodeCommand guards against a panic on arbitrary log entries, and against
// a command that is different after encoding and decoding.
func FuzzDecodeCommand(f *testing.F) {
	for _, c := range []state.Command{
		state.NewApplyConfig("c1", 1, document(f, "1s"), "kim", proposedAt),
		state.Announce{Database: "a", Member: "m", Incarnation: 1, Store: "s", Zone: "z", Address: "x", Slots: 3},
		state.CompletePromotion{Database: "a", Term: 2, Primary: "m", StartOffset: 9},
	} {
		data, err := state.EncodeCommand(c)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := state.DecodeCommand(data)
		if err != nil {
			return
		}
		if again := roundTrip(t, c); fmt.Sprintf("%#v", again) != fmt.Sprintf("%#v", c) {
			t.Fatalf("%#v became %#v", c, again)
		}
		state.New().Apply(state.Stamp{Term: 1, Index: 1}, c)
	})
}

// FuzzRestore guards against a panic on a damaged snapshot, and against a refused
// snapshot that changes the machine.
func FuzzRestore(f *testing.F) {
	m := state.New()
	m.Apply(state.Stamp{Term: 1, Index: 1}, state.Announce{Database: "a", Member: "m", Incarnation: 1, Store: "s", Zone: "z", Address: "x"})
	m.Apply(state.Stamp{Term: 1, Index: 2}, state.NewApplyConfig("c1", 0, document(f, "1s"), "kim", proposedAt))
	f.Add(m.Snapshot())
	f.Fuzz(func(t *testing.T, data []byte) {
		r := state.New()
		if err := r.Restore(data); err != nil && r.Digest() != state.New().Digest() {
			t.Fatal("a refused snapshot changed the machine")
		}
	})
}
