package inst_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"tamarackcross/admin"
	"tamarackcross/emul"
	"tamarackcross/entry"
	"tamarackcross/errs"
	"tamarackcross/inst"
	"tamarackcross/site"
	"tamarackcross/state"
)

const database = "app"

var zones = []string{"zone-a", "zone-b", "zone-c"}

func startSite(t *testing.T, opts ...site.Option) *site.Site {
	t.Helper()
	s, err := site.Start(context.Background(), site.Plan{
		Zones: zones, Databases: []string{database}, Entries: 3, Control: 3, Slots: 5, Connections: 30,
	}, opts...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// connect opens a caller connection, from outside the emulated network.
func connect(t *testing.T, s *site.Site, i int, params string) *pgx.Conn {
	t.Helper()
	ctx, stop := context.WithTimeout(context.Background(), waitLimit)
	defer stop()
	c, err := pgx.Connect(ctx, "postgres://app@"+s.Addr(i)+"/"+database+"?sslmode=disable"+params)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close(context.Background()) })
	return c
}

func write(t *testing.T, c *pgx.Conn, key, value string) error {
	t.Helper()
	ctx, stop := context.WithTimeout(context.Background(), waitLimit)
	defer stop()
	_, err := c.Exec(ctx, "INSERT INTO rooms (k, v) VALUES ($1, $2)", key, value)
	return err
}

func read(t *testing.T, c *pgx.Conn, key string) (string, error) {
	t.Helper()
	ctx, stop := context.WithTimeout(context.Background(), waitLimit)
	defer stop()
	var got string
	err := c.QueryRow(ctx, "SELECT v FROM rooms WHERE k = $1", key).Scan(&got)
	return got, err
}

// refusal returns the outcome and the reason of a request that must not succeed.
func refusal(t *testing.T, err error) (outcome, reason string) {
	t.Helper()
	var pe *pgconn.PgError
	if !errors.As(err, &pe) {
		t.Fatalf("want a refusal, got %v", err)
	}
	for field := range strings.FieldsSeq(pe.Detail) {
		if v, ok := strings.CutPrefix(field, "outcome="); ok {
			outcome = v
		}
		if v, ok := strings.CutPrefix(field, "reason="); ok {
			reason = v
		}
	}
	return outcome, reason
}

// memberOf returns what an instance knows about a backend server.
func memberOf(in *inst.Instance, name string) state.Member {
	db, ok := in.Views().View().Group(database)
	if !ok {
		return state.Member{}
	}
	m, _ := db.Member(name)
	return m
}

func groupOf(t *testing.T, in *inst.Instance) entry.Group {
	t.Helper()
	g, ok := in.Views().Group(database)
	if !ok {
		t.Fatal("database is not known")
	}
	return g
}

// announce sends one announcement of a member as a backend server does.
func announce(t *testing.T, in *inst.Instance, m state.Member, leaving bool) {
	t.Helper()
	code := call(t, http.MethodPost, in.Admin(), "/v1/announce", admin.Announcement{
		Instance: m.Name, Incarnation: m.Incarnation, Store: m.Store, Database: database, Zone: m.Zone,
		Address: m.Address, Slots: int(m.Slots), Connections: int(m.Connections), TTLMillis: 60_000, Leaving: leaving,
	}, &struct{}{})
	if code != http.StatusOK {
		t.Fatalf("announcement of %s answered with status %d", m.Name, code)
	}
}

// everywhere waits until every instance sees the member as leaving or not.
func everywhere(t *testing.T, s *site.Site, name string, leaving bool) {
	t.Helper()
	await(t, fmt.Sprintf("%s leaving=%t on every instance", name, leaving), forceGoal, func() bool {
		return !slices.ContainsFunc(s.Instances(), func(in *inst.Instance) bool { return memberOf(in, name).Leaving != leaving })
	})
}

// TestLeaving guards against new work for a backend server that is leaving
// (P7), a renewal that makes it forget that it is leaving, and one that stays
// away after a restart. The announcer of the site goes on renewing with the
// same incarnation and without leaving.
func TestLeaving(t *testing.T) {
	s := startSite(t)
	first := s.Instances()[0]
	primary := groupOf(t, first).Primary
	var replica string
	for _, srv := range s.Servers(database) {
		if srv.Member().Name() != primary {
			replica = srv.Member().Name()
		}
	}
	m := memberOf(first, replica)
	start := time.Now()
	announce(t, first, m, true)
	everywhere(t, s, replica, true)
	t.Logf("leaving is known everywhere after %s", time.Since(start))
	// Whatever reaches the member from now on does not end within its deadline.
	memberNamed(s, replica).SetService(waitLimit)
	for i := range s.Instances() {
		c := connect(t, s, i, "&tamarackcross.deadline=1s")
		for n := range 20 {
			if _, err := read(t, c, "none"); !errors.Is(err, pgx.ErrNoRows) {
				t.Fatalf("read %d through instance %d: %v", n, i, err)
			}
		}
	}
	if n := memberNamed(s, replica).Busy(); n != 0 {
		t.Fatalf("%d statements reached the leaving member", n)
	}
	renewals := 0
	await(t, "renewals of the same incarnation", waitLimit, func() bool {
		announce(t, first, m, false)
		renewals++
		return renewals == 10
	})
	if !memberOf(first, replica).Leaving {
		t.Fatal("a renewal with the same incarnation made the member forget that it is leaving")
	}
	m.Incarnation++
	start = time.Now()
	announce(t, first, m, false)
	everywhere(t, s, replica, false)
	t.Logf("the new incarnation is known everywhere after %s", time.Since(start))
}

// TestPrimaryLeaves guards against a leaving primary that keeps its role, and
// against a write lost by the planned change.
func TestPrimaryLeaves(t *testing.T) { primaryLeaves(t, "&default_query_exec_mode=simple_protocol") }

// TestPrimaryLeavesExtended guards against a write of the extended protocol that
// is answered with the error of the fenced primary in place of a retry.
func TestPrimaryLeavesExtended(t *testing.T) { primaryLeaves(t, "") }

func primaryLeaves(t *testing.T, params string) {
	t.Helper()
	s := startSite(t)
	first := s.Instances()[0]
	g := groupOf(t, first)
	c := connect(t, s, 0, params)
	if err := write(t, c, "k", "v"); err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	announce(t, first, memberOf(first, g.Primary), true)
	await(t, "another primary", waitLimit, func() bool { return groupOf(t, first).Primary != g.Primary })
	t.Logf("leaving primary replaced after %s", time.Since(start))
	got, err := read(t, c, "k")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("v", got); diff != "" {
		t.Fatal(diff)
	}
	if err := write(t, c, "k2", "v"); err != nil {
		t.Fatal(err)
	}
}

// memberNamed returns the emulated member of a name.
func memberNamed(s *site.Site, name string) *emul.Member {
	i := slices.IndexFunc(s.Servers(database), func(srv *emul.Server) bool { return srv.Member().Name() == name })
	return s.Servers(database)[i].Member()
}

// cutSite is a site with a zone, other than that of the primary, that is cut off
// from the others after a write that the replica of the zone has applied.
type cutSite struct {
	*site.Site
	cut, near int    // instances inside and outside the zone
	tok       string // of the session that wrote
}

// startCut cuts the zone. If known is set, the entry of the zone has learned
// before that its replica has the write.
func startCut(t *testing.T, known bool) cutSite {
	t.Helper()
	s := cutSite{Site: startSite(t, site.WithNetwork(emul.WithDeadPeerTime(time.Second)))}
	primary := memberNamed(s.Site, groupOf(t, s.Instances()[0]).Primary)
	at := slices.IndexFunc(s.Servers(database), func(srv *emul.Server) bool { return srv.Member() == primary })
	s.cut, s.near = (at+1)%len(zones), (at+2)%len(zones)
	c := connect(t, s.Site, s.near, "")
	if err := write(t, c, "k", "before"); err != nil {
		t.Fatal(err)
	}
	s.tok = c.PgConn().ParameterStatus("tamarackcross.token")
	want := primary.Status().Applied
	replica := s.Servers(database)[s.cut].Member()
	await(t, "the replica of the zone has the write", waitLimit, func() bool { return !replica.Status().Applied.Less(want) })
	if known {
		s.awaitKnown(t)
	}
	s.Network().Isolate(zones[s.cut])
	return s
}

func (s cutSite) awaitKnown(t *testing.T) {
	t.Helper()
	c := connect(t, s.Site, s.cut, "&tamarackcross.token="+s.tok)
	await(t, "the entry of the zone reads from its replica", waitLimit, func() bool {
		before := s.Entry(s.cut).Counts().ReadsReplica
		_, err := read(t, c, "k")
		return err == nil && s.Entry(s.cut).Counts().ReadsReplica > before
	})
}

// connect opens a session inside the zone with the token of the writer.
func (s cutSite) connect(t *testing.T) *pgx.Conn {
	t.Helper()
	return connect(t, s.Site, s.cut, "&tamarackcross.token="+s.tok+"&tamarackcross.deadline=1s")
}

// readsByBound reads several times inside the zone.
func (s cutSite) readsByBound(t *testing.T, c *pgx.Conn) {
	t.Helper()
	for range 10 {
		got, err := read(t, c, "k")
		if err != nil {
			t.Fatalf("read by bound inside the cut zone: %v", err)
		}
		if diff := cmp.Diff("before", got); diff != "" {
			t.Fatal(diff)
		}
	}
}

// TestZoneCut guards against a zone that stops serving what it can when it is
// cut off, that serves what it cannot, and that does not catch up (F15).
func TestZoneCut(t *testing.T) {
	s := startCut(t, true)
	c := s.connect(t)
	s.readsByBound(t, c)
	s.refuses(t, c)
	version := s.changeOutside(t)
	if v := s.Instances()[s.cut].Fleet().Version; v != 0 {
		t.Fatalf("the cut zone has version %d", v)
	}
	s.Network().Rejoin(zones[s.cut])
	took := await(t, "the zone has the change", forceGoal, func() bool { return s.Instances()[s.cut].Fleet().Version == version })
	t.Logf("the zone has the change %s after the cut ended", took)
}

// refuses checks that writes and reads of the latest state end with a reason.
func (s cutSite) refuses(t *testing.T, c *pgx.Conn) {
	t.Helper()
	// The first writes may have gone out on an open connection that is silent now.
	await(t, "a write is refused with proof that it did not run", waitLimit, func() bool {
		outcome, reason := refusal(t, write(t, c, "k2", "cut"))
		t.Logf("write inside the cut zone: outcome=%s reason=%s", outcome, reason)
		return outcome == string(errs.NotRun) && reason != ""
	})
	if _, err := c.Exec(context.Background(), "SET tamarackcross.read_bound = 'latest'"); err != nil {
		t.Fatal(err)
	}
	_, err := read(t, c, "k")
	outcome, reason := refusal(t, err)
	t.Logf("read of the latest state inside the cut zone: outcome=%s reason=%s", outcome, reason)
	if outcome != string(errs.NotRun) || reason == "" {
		t.Fatalf("the latest state cannot be read here, got %v", err)
	}
}

// changeOutside makes a change in the other zones and returns its version.
func (s cutSite) changeOutside(t *testing.T) uint64 {
	t.Helper()
	var r admin.ChangeResult
	change := admin.Change{ID: "c", Author: "test", Document: document(t, 3*time.Second)}
	await(t, "a change of the other zones", waitLimit, func() bool {
		var err error
		r, err = s.Instances()[s.near].Change(context.Background(), change)
		return err == nil
	})
	if !r.Accepted {
		t.Fatalf("change was not accepted: %+v", r)
	}
	return r.Version
}

// TestZoneCutUnknownReplica guards against an entry that fails reads by bound in
// a cut zone because it did not know before that its replica satisfies them.
func TestZoneCutUnknownReplica(t *testing.T) {
	s := startCut(t, false)
	s.readsByBound(t, s.connect(t))
}

// TestZoneCutWritesResume guards against a zone that refuses writes long after
// the cut ended.
func TestZoneCutWritesResume(t *testing.T) {
	s := startCut(t, true)
	c := s.connect(t)
	s.refuses(t, c)
	s.Network().Rejoin(zones[s.cut])
	took := await(t, "writes through the zone", forceGoal, func() bool { return write(t, c, "k3", "after") == nil })
	t.Logf("writes resumed %s after the cut ended", took)
}

// TestShutdown guards against an instance that hangs at a graceful shutdown once
// it has served a caller.
func TestShutdown(t *testing.T) {
	s := startSite(t)
	if err := write(t, connect(t, s, 0, ""), "k", "v"); err != nil {
		t.Fatal(err)
	}
	done := make(chan int64, 1)
	go func() { done <- s.Instances()[0].Shutdown(context.Background()) }()
	select {
	case <-done:
	case <-time.After(waitLimit):
		t.Fatalf("the shutdown has not ended after %s", waitLimit)
	}
}
