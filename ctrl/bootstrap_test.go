package ctrl

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"tamarackcross/group"
	"tamarackcross/pgctl"
	"tamarackcross/state"
)

// TestBootstrapWithDiscardedLog guards against a first primary whose log ends in commits that an
// earlier promotion of the group discarded.
func TestBootstrapWithDiscardedLog(t *testing.T) {
	parse := func(text string) group.History {
		h, err := group.ParseHistory(text)
		if err != nil {
			t.Fatal(err)
		}
		return h
	}
	statuses := []pgctl.Status{
		{Member: "m1", Term: 1, Held: group.Position{Term: 1, Offset: 123}, History: parse("1@0")},
		{Member: "m2", Term: 2, Held: group.Position{Term: 1, Offset: 108}, History: parse("1@0,2@108")},
		{Member: "m3", Term: 1, Held: group.Position{Term: 1, Offset: 107}, History: parse("1@0")},
	}
	cmd, err := bootstrapCommand("db", []state.Member{{Name: "m1"}, {Name: "m2"}, {Name: "m3"}}, statuses)
	if err != nil {
		t.Fatal(err)
	}
	got := []string{cmd.History.String()}
	want := []string{"1@0,2@108,3@108"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	for _, st := range statuses[:2] {
		if st.Held != (group.Position{Term: 1, Offset: 108}) {
			t.Errorf("%s counts as holding %v", st.Member, st.Held)
		}
	}
}
