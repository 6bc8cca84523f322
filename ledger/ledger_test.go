package ledger_test

import (
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"

	"tamarackcross/group"
	"tamarackcross/ledger"
)

func apply(t *testing.T, l *ledger.Ledger, index uint64, c ledger.Command) any {
	t.Helper()
	data, err := ledger.Encode(c)
	if err != nil {
		t.Fatal(err)
	}
	return l.Apply(index, data)
}

// TestConfigVersions guards against a configuration that replaces one of a higher
// or equal version: the highest version stays, and a version that is not higher is
// acknowledged but changes nothing, even if its content differs.
func TestConfigVersions(t *testing.T) {
	l := ledger.New()
	var got []any
	for i, c := range []ledger.PutConfig{
		{Version: 5, Body: []byte("five")},
		{Version: 3, Body: []byte("three")},
		{Version: 5, Body: []byte("other")},
		{Version: 9, Body: []byte("nine")},
	} {
		got = append(got, apply(t, l, uint64(i+1), c))
	}
	want := []any{
		ledger.ConfigResult{Version: 5, Changed: true},
		ledger.ConfigResult{Version: 5},
		ledger.ConfigResult{Version: 5},
		ledger.ConfigResult{Version: 9, Changed: true},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
}

// TestFencingTokens guards against two promotion orders with the same fencing
// token, and against tokens that do not increase after a restart from a snapshot.
func TestFencingTokens(t *testing.T) {
	l := ledger.New()
	first := apply(t, l, 4, ledger.OrderPromotion{Service: "s", Target: "a"})
	apply(t, l, 5, ledger.PutConfig{Version: 2, Body: []byte("two")})
	restored := ledger.New()
	if err := restored.Restore(l.Snapshot()); err != nil {
		t.Fatal(err)
	}
	second := apply(t, restored, 6, ledger.OrderPromotion{Service: "s", Target: "b"})
	if diff := cmp.Diff([]any{ledger.PromotionResult{Token: 4}, ledger.PromotionResult{Token: 6}}, []any{first, second}); diff != "" {
		t.Fatal(diff)
	}
	cfg, _ := restored.Config()
	order, _ := restored.PromotionOrder("s")
	if cfg.Version != 2 || string(cfg.Body) != "two" {
		t.Fatalf("restored %+v", cfg)
	}
	if diff := cmp.Diff(ledger.PromotionOrder{Target: "b", Token: 6, Epoch: 6}, order); diff != "" {
		t.Fatal(diff)
	}
}

// TestOrdersOfOneTarget guards against an epoch that changes while the same member is ordered
// again, which would put acknowledged commits in doubt, and against open orders that a restart
// from a snapshot forgets.
func TestOrdersOfOneTarget(t *testing.T) {
	l := ledger.New()
	for index, target := range []string{"a", "b", "b"} {
		apply(t, l, uint64(index+1), ledger.OrderPromotion{Service: "s", Target: target, Track: true})
	}
	apply(t, l, 4, ledger.CloseOrders{Service: "s", Tokens: []uint64{2}})
	restored := ledger.New()
	if err := restored.Restore(l.Snapshot()); err != nil {
		t.Fatal(err)
	}
	order, _ := restored.PromotionOrder("s")
	want := ledger.PromotionOrder{Target: "b", Token: 3, Epoch: 2, Open: []ledger.OpenOrder{{Target: "a", Token: 1}, {Target: "b", Token: 3}}}
	if diff := cmp.Diff(want, order); diff != "" {
		t.Fatal(diff)
	}
}

// TestTermStarts guards against starts of terms that a restart from a snapshot, or a later leader, does
// not know.
func TestTermStarts(t *testing.T) {
	l := ledger.New()
	apply(t, l, 1, ledger.OrderPromotion{Service: "s", Target: "a", Held: group.Position{Term: 1, Offset: 8}})
	apply(t, l, 2, ledger.RecordTerm{Service: "s", Start: group.StartRange{Term: 2, Least: 8, Most: 12}})
	apply(t, l, 3, ledger.RecordTerm{Service: "s", Start: group.StartRange{Term: 2, Least: 0, Most: 9}})
	apply(t, l, 4, ledger.RecordTerm{Service: "other", Start: group.StartRange{Term: 4, Least: 70, Most: 70}})
	restored := ledger.New()
	if err := restored.Restore(l.Snapshot()); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(group.Starts{{Term: 2, Least: 8, Most: 9}}, restored.Starts("s")); diff != "" {
		t.Error(diff)
	}
	apply(t, restored, 5, ledger.RecordTerm{Service: "other", Start: group.StartRange{Term: 1, Least: 0, Most: 3}, Renewed: true})
	if diff := cmp.Diff(group.Starts{{Term: 1, Least: 0, Most: 3}}, restored.Starts("other")); diff != "" {
		t.Error(diff)
	}
	if order, _ := restored.PromotionOrder("s"); order.Held != (group.Position{Term: 1, Offset: 8}) {
		t.Errorf("the target of the order held %v", order.Held)
	}
}

// TestOpenResume guards against commands to receive again that a new leader, or one that restarts from a snapshot, does
// not know of, and against a late close that forgets newer ones.
func TestOpenResume(t *testing.T) {
	l := ledger.New()
	apply(t, l, 3, ledger.OpenResume{Service: "s"})
	apply(t, l, 4, ledger.OpenResume{Service: "s"})
	apply(t, l, 5, ledger.CloseResume{Service: "s", Token: 3})
	restored := ledger.New()
	if err := restored.Restore(l.Snapshot()); err != nil {
		t.Fatal(err)
	}
	if got := restored.Resume("s"); got != 4 {
		t.Errorf("token %d, want 4", got)
	}
	apply(t, restored, 6, ledger.CloseResume{Service: "s", Token: 4})
	if got := restored.Resume("s"); got != 0 {
		t.Errorf("token %d after it was closed, want 0", got)
	}
}

// TestMembers guards against members of a service that a restart forgets, against news of an earlier start, and against a
// list that grows without bound.
func TestMembers(t *testing.T) {
	l := ledger.New()
	index := uint64(0)
	record := func(members ...ledger.Member) {
		index++
		apply(t, l, index, ledger.RecordMembers{Service: "s", Members: members})
	}
	record(ledger.Member{ID: "a", Born: 1, Addr: "x"}, ledger.Member{ID: "b", Born: 1, Addr: "y"})
	record(ledger.Member{ID: "a", Born: 2, Addr: "z"})
	record(ledger.Member{ID: "a", Born: 1, Addr: "x", State: ledger.Ended})
	record(ledger.Member{ID: "b", Born: 1, Addr: "y", State: ledger.Ended})
	restored := ledger.New()
	if err := restored.Restore(l.Snapshot()); err != nil {
		t.Fatal(err)
	}
	want := []ledger.Member{{ID: "a", Born: 2, Addr: "z"}, {ID: "b", Born: 1, Addr: "y", State: ledger.Ended}}
	if diff := cmp.Diff(want, restored.Members("s")); diff != "" {
		t.Error(diff)
	}
	for i := range 100 {
		record(ledger.Member{ID: strconv.Itoa(i), Born: 1, State: ledger.Forgotten})
	}
	if n := len(l.Members("s")); n != 2+32 {
		t.Errorf("%d members are kept, want 34", n)
	}
	if got := l.Members("s"); got[0].ID != "a" || got[1].ID != "b" || got[len(got)-1].ID != "99" {
		t.Errorf("kept %v", got)
	}
	apply(t, l, index+1, ledger.DropMembers{Service: "s"})
	if got := l.ServicesWithMembers(); len(got) != 0 {
		t.Errorf("members of %v are left", got)
	}
}

// TestUndecodableCommand guards against an undecodable log entry that is applied
// or returns no result.
func TestUndecodableCommand(t *testing.T) {
	if _, ok := ledger.New().Apply(1, []byte("{")).(ledger.InvalidEntry); !ok {
		t.Fatal("the result of an undecodable entry is not InvalidEntry")
	}
}

// TestCapOwners guards against an owner of the caps that takes the loans of several former owners for
// those of one, also after a restart from a snapshot and if an entry is repeated.
func TestCapOwners(t *testing.T) {
	l := ledger.New()
	var got []any
	for i, c := range []ledger.Command{
		ledger.OpenCaps{Term: 2},
		ledger.OpenCaps{Term: 2},
		ledger.OpenCaps{Term: 5},
		ledger.OpenCaps{Term: 5},
		ledger.OpenCaps{Term: 6},
		ledger.SettleCaps{Term: 5},
		ledger.OpenCaps{Term: 7},
		ledger.SettleCaps{Term: 7},
		ledger.OpenCaps{Term: 9},
	} {
		result := apply(t, l, uint64(i+1), c)
		if opened, ok := result.(ledger.CapsOpened); ok {
			got = append(got, opened)
		}
		restored := ledger.New()
		if err := restored.Restore(l.Snapshot()); err != nil {
			t.Fatal(err)
		}
		l = restored
	}
	want := []any{
		ledger.CapsOpened{First: true}, ledger.CapsOpened{First: true}, ledger.CapsOpened{}, ledger.CapsOpened{}, ledger.CapsOpened{Former: 1}, ledger.CapsOpened{Former: 2}, ledger.CapsOpened{},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
