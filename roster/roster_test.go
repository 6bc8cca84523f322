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

// TestTable guards against a list that announcements make wrong when they come late, twice, from an
// earlier start of a server or from another writer. Each command may name its table with in=NAME.
func TestTable(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		tables := make(map[string]*roster.Table)
		now := time.Unix(0, 0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			name := "a"
			d.MaybeScanArgs(t, "in", &name)
			table := tables[name]
			if table == nil {
				table = roster.New()
				tables[name] = table
			}
			var out strings.Builder
			for line := range strings.SplitSeq(d.Input, "\n") {
				f := strings.Fields(line)
				switch d.Cmd {
				case "put":
					fmt.Fprintln(&out, table.Put(parseEntry(t, line), now))
				case "announce":
					fmt.Fprintln(&out, table.Announce(parseEntry(t, line), now))
				case "leave":
					fmt.Fprintln(&out, table.Leave(roster.Incarnation{ID: f[0], Born: int64(parseInt(t, f[1]))}, now))
				case "relay": // what the table named on the line has
					entries, _, _ := tables[line].Since(0)
					for _, e := range entries {
						table.Put(e.ForRelay(now), now)
					}
				case "started": // the instance of the table starts now
					table = roster.New(roster.WithStart(now))
					tables[name] = table
				case "ages":
					for _, e := range table.Members("db") {
						fmt.Fprintf(&out, "%s leaving for %v\n", e.ID, e.ForRelay(now).LeavingFor)
					}
					return out.String()
				case "wait":
					now = now.Add(parseDuration(t, line))
				case "each":
					announceEach(t, table, line, &now)
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

// announceEach announces an entry with increasing sequence numbers. The line is "period interval entry".
func announceEach(t *testing.T, table *roster.Table, line string, now *time.Time) {
	t.Helper()
	f := strings.SplitN(line, " ", 3)
	e, end := parseEntry(t, f[2]), now.Add(parseDuration(t, f[0]))
	for interval := parseDuration(t, f[1]); now.Before(end); e.Seq++ {
		*now = now.Add(interval)
		table.Announce(e, *now)
	}
}

func parseDuration(t *testing.T, text string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// parseEntry reads "id born seq addr [draining] [primary]".
func parseEntry(t *testing.T, line string) roster.Entry {
	t.Helper()
	f := strings.Fields(line)
	e := roster.Entry{Service: "db", ID: f[0], Born: int64(parseInt(t, f[1])), Seq: uint64(parseInt(t, f[2])), Addr: f[3]}
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

func parseInt(t *testing.T, text string) int {
	t.Helper()
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// TestOrder guards against instances with different lists: for servers that share
// no address, the order in which announcements arrive must not matter.
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
		permuted := rapid.Permutation(entries).Draw(t, "order")
		a, b := roster.New(), roster.New()
		for i := range entries {
			a.Put(entries[i], time.Time{})
			b.Put(permuted[i], time.Time{})
		}
		if diff := cmp.Diff(newestSeqs(a), newestSeqs(b)); diff != "" {
			t.Fatalf("lists differ (-original order +permuted):\n%s", diff)
		}
	})
}

// newestSeqs returns the newest Seq of each start of a server that is listed.
func newestSeqs(t *roster.Table) map[roster.Incarnation]uint64 {
	out := make(map[roster.Incarnation]uint64)
	for _, e := range t.Members("db") {
		out[e.Incarnation()] = e.Seq
	}
	return out
}

// TestLeaveReachesOthers guards against a server that has left but stays listed at the other
// instances, because its entry has the sequence number of its last announcement.
func TestLeaveReachesOthers(t *testing.T) {
	a, b := roster.New(), roster.New()
	e := roster.Entry{Service: "db", ID: "s", Born: 5, Seq: 3, Addr: "10.0.0.1:80"}
	a.Put(e, time.Time{})
	b.Put(e, time.Time{})
	a.Leave(e.Incarnation(), time.Time{})
	entries, _, _ := a.Since(0)
	for _, e := range entries {
		b.Put(e, time.Time{})
	}
	if diff := cmp.Diff([]roster.Entry(nil), b.Members("db")); diff != "" {
		t.Fatal(diff)
	}
}

// TestOrderAtOneAddress guards against instances that list different servers at an address: the order
// in which entries arrive must not matter.
func TestOrderAtOneAddress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var entries []roster.Entry
		for i := range rapid.IntRange(1, 12).Draw(t, "entries") {
			id := rapid.IntRange(0, 2).Draw(t, "id")
			entries = append(entries, roster.Entry{
				Service: "db", ID: strconv.Itoa(id), Addr: "1", Born: int64(rapid.IntRange(0, 2).Draw(t, "born")), Seq: uint64(i),
				State: roster.State(rapid.IntRange(0, 2).Draw(t, "state")), Claim: uint64(rapid.IntRange(0, 2).Draw(t, "claim")),
			})
		}
		permuted := rapid.Permutation(entries).Draw(t, "order")
		a, b := roster.New(), roster.New()
		for i := range entries {
			a.Put(entries[i], time.Time{})
			b.Put(permuted[i], time.Time{})
		}
		got := a.Members("db")
		if len(got) > 1 {
			t.Fatalf("%d servers are listed at one address", len(got))
		}
		if diff := cmp.Diff(got, b.Members("db")); diff != "" {
			t.Fatalf("lists differ (-original order +permuted):\n%s", diff)
		}
	})
}

// TestSince guards against changes that an instance waiting for them never gets,
// and against wake-ups by announcements that change nothing but Seq.
func TestSince(t *testing.T) {
	table := roster.New()
	table.Put(roster.Entry{ID: "a", Addr: "1", Seq: 1}, time.Time{})
	_, revision, changed := table.Since(0)
	table.Put(roster.Entry{ID: "a", Addr: "1", Seq: 2}, time.Time{})
	select {
	case <-changed:
		t.Fatal("an announcement that changes only Seq closed the channel")
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

// TestAddressAfterMove guards against a server that takes over the address which another one has
// left: it must neither displace that one nor, once that one has expired, end the process.
func TestAddressAfterMove(t *testing.T) {
	table := roster.New()
	start := time.Unix(0, 0)
	put := func(id string, born int64, seq uint64, addr string, now time.Time) {
		table.Put(roster.Entry{Service: "db", ID: id, Born: born, Seq: seq, Addr: addr}, now)
	}
	put("a", 5, 1, "10.0.0.1:80", start)
	put("a", 5, 2, "10.0.0.2:80", start)
	put("b", 6, 1, "10.0.0.1:80", start)
	var got []string
	for _, e := range table.Members("db") {
		got = append(got, e.ID+" "+e.Addr)
	}
	if diff := cmp.Diff([]string{"a 10.0.0.2:80", "b 10.0.0.1:80"}, got); diff != "" {
		t.Fatal(diff)
	}
	put("b", 6, 2, "10.0.0.3:80", start)
	later := start.Add(time.Hour)
	for i := range 49_999 { // one more than fit beside a and b, so that the silent ones expire
		put("x"+strconv.Itoa(i), 7, 1, "10.1.0.1:"+strconv.Itoa(i), later)
	}
	put("c", 8, 1, "10.0.0.1:80", later)
}
