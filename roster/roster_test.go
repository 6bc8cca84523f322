package roster_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"tamarackcross/roster"
)

// TestTable plays scripts of announcements that come late, twice or from another
// start of a server.
func TestTable(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		table := roster.New()
		now := time.Unix(0, 0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			for line := range strings.SplitSeq(d.Input, "\n") {
				switch d.Cmd {
				case "put":
					fmt.Fprintln(&out, table.Put(parseEntry(t, line), now))
				case "leave":
					f := strings.Fields(line)
					fmt.Fprintln(&out, table.Leave(roster.Start{ID: f[0], Born: int64(number(t, f[1]))}, now))
				default:
					d.Fatalf(t, "unknown command %s", d.Cmd)
				}
			}
			for _, e := range table.Members("db") {
				fmt.Fprintf(&out, "  %s born=%d seq=%d %s %s primary=%v\n", e.ID, e.Born, e.Seq, e.Addr, e.State, e.Primary)
			}
			return out.String()
		})
	})
}

// parseEntry reads "id born seq addr [draining] [primary]".
func parseEntry(t *testing.T, line string) roster.Entry {
	t.Helper()
	f := strings.Fields(line)
	e := roster.Entry{Service: "db", ID: f[0], Born: int64(number(t, f[1])), Seq: uint64(number(t, f[2])), Addr: f[3]}
	for _, word := range f[4:] {
		switch word {
		case "draining":
			e.State = roster.Draining
		case "primary":
			e.Primary = true
		}
	}
	return e
}

func number(t *testing.T, text string) int {
	t.Helper()
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// TestOrder guards against lists that depend on the order in which announcements
// of servers with addresses of their own arrive.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var entries []roster.Entry
		for i := range rapid.IntRange(1, 12).Draw(t, "entries") {
			id := rapid.IntRange(0, 2).Draw(t, "id")
			entries = append(entries, roster.Entry{
				Service: "db", ID: strconv.Itoa(id), Addr: strconv.Itoa(id), Born: int64(rapid.IntRange(0, 2).Draw(t, "born")),
				Seq: uint64(i), State: roster.State(rapid.IntRange(0, 1).Draw(t, "state")),
			})
		}
		mixed := rapid.Permutation(entries).Draw(t, "order")
		a, b := roster.New(), roster.New()
		for i := range entries {
			a.Put(entries[i], time.Time{})
			b.Put(mixed[i], time.Time{})
		}
		if diff := cmp.Diff(starts(a), starts(b)); diff != "" {
			t.Fatalf("lists differ (-in order +mixed):\n%s", diff)
		}
	})
}

// starts lists which start of each server is known, with its newest number.
func starts(t *roster.Table) map[roster.Start]uint64 {
	out := make(map[roster.Start]uint64)
	for _, e := range t.Members("db") {
		out[e.Start()] = e.Seq
	}
	return out
}

// TestSince guards against changes that an instance never hears of.
func TestSince(t *testing.T) {
	table := roster.New()
	table.Put(roster.Entry{ID: "a", Addr: "1", Seq: 1}, time.Time{})
	_, revision, changed := table.Since(0)
	table.Put(roster.Entry{ID: "a", Addr: "1", Seq: 2}, time.Time{})
	select {
	case <-changed:
		t.Fatal("an announcement that changes nothing woke the readers")
	default:
	}
	table.Put(roster.Entry{ID: "a", Addr: "1", Seq: 3, Primary: true}, time.Time{})
	<-changed
	got, _, _ := table.Since(revision)
	want := []roster.Entry{{ID: "a", Addr: "1", Seq: 3, Primary: true}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
}
