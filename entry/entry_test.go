package entry_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"

	"tamarackcross/emul"
	"tamarackcross/entry"
	"tamarackcross/group"
)

// site is one group with two entries in front of it.
type site struct {
	group   *emul.Group
	dir     *entry.StaticDirectory
	entries []*entry.Server
	addrs   []string
}

func startSite(t testing.TB, opts ...emul.Option) *site {
	t.Helper()
	ctx := context.Background()
	g, err := emul.StartGroup(ctx, "app", []string{"a", "b", "c"}, opts...)
	if err != nil {
		t.Fatal(err)
	}
	s := &site{group: g, dir: entry.NewStaticDirectory(directoryOf(t, g))}
	t.Cleanup(func() { g.Close() })
	for _, zone := range []string{"a", "b"} {
		s.addEntry(t, entry.WithName("entry-"+zone), entry.WithZone(zone))
	}
	return s
}

func directoryOf(t testing.TB, g *emul.Group) entry.Group {
	t.Helper()
	h, err := group.NewHistory(group.TermStart{Term: 1})
	if err != nil {
		t.Fatal(err)
	}
	out := entry.Group{Database: "app", Term: 1, History: h}
	for i, m := range g.Servers() {
		if i == 0 {
			out.Primary = m.Member().Name()
		}
		out.Members = append(out.Members, entry.Backend{
			Name: m.Member().Name(), Zone: m.Zone(), Addr: m.Addr(), Slots: 5, Connections: 20,
		})
	}
	return out
}

func (s *site) connect(t testing.TB, i int, params string) *pgx.Conn {
	t.Helper()
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	defer stop()
	c, err := pgx.Connect(ctx, "postgres://app@"+s.addrs[i]+"/app?sslmode=disable"+params)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close(context.Background()) })
	return c
}

// TestReadYourWrites guards against a caller that does not see its own write after it
// has moved to another instance with its session token while the replicas apply with
// a lag.
func TestReadYourWrites(t *testing.T) {
	s := startSite(t, emul.WithApplyLag(100*time.Millisecond))
	ctx := context.Background()
	a := s.connect(t, 0, "")
	if _, err := a.Exec(ctx, "INSERT INTO rooms (k, v) VALUES ($1, $2)", "r1", "free"); err != nil {
		t.Fatal(err)
	}
	tok := a.PgConn().ParameterStatus("tamarackcross.token")
	if tok == "" {
		t.Fatal("no token was reported with the write")
	}
	b := s.connect(t, 1, "&tamarackcross.token="+tok)
	var got string
	if err := b.QueryRow(ctx, "SELECT v FROM rooms WHERE k = $1", "r1").Scan(&got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("free", got); diff != "" {
		t.Fatal(diff)
	}
}
