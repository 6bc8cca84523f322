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

// connect opens a caller connection to instance i from outside the emulated network.
func connect(t *testing.T, s *site.Site, i int, params string) *pgx.Conn {
	t.Helper()
	ctx, stop := context.WithTimeout(context.Background(), waitTimeout)
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
	ctx, stop := context.WithTimeout(context.Background(), waitTimeout)
	defer stop()
	_, err := c.Exec(ctx, "INSERT INTO rooms (k, v) VALUES ($1, $2)", key, value)
	return err
}

func read(t *testing.T, c *pgx.Conn, key string) (string, error) {
	t.Helper()
	ctx, stop := context.WithTimeout(context.Background(), waitTimeout)
	defer stop()
	var got string
	err := c.QueryRow(ctx, "SELECT v FROM rooms WHERE k = $1", key).Scan(&got)
	return got, err
}

// refusal returns the outcome and the reason in the error of a request, which must
// have failed.
func refusal(t *testing.T, err error) (outcome, reason string) {
	t.Helper()
	var pe *pgconn.PgError
	if !errors.As(err, &pe) {
		t.Fatalf("want an error of the entry, got %v", err)
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

// memberOf returns the state of a backend server as an instance knows it.
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
		t.Fatal("the instance does not know the group of the database")
	}
	return g
}

// announce sends an announcement of a member to an instance, as the backend server
// itself does.
func announce(t *testing.T, in *inst.Instance, m state.Member, leaving bool) {
	t.Helper()
	code := call(t, http.MethodPost, in.AdminAddr(), "/v1/announce", admin.Announcement{
		Instance: m.Name, Incarnation: m.Incarnation, Store: m.Store, Database: database, Zone: m.Zone,
		Address: m.Address, Slots: int(m.Slots), Connections: int(m.Connections), TTLMillis: 60_000, Leaving: leaving,
	}, &struct{}{})
	if code != http.StatusOK {
		t.Fatalf("announcement of %s answered with status %d", m.Name, code)
	}
}

// awaitLeaving waits until Leaving of a member has the given value on all instances.
func awaitLeaving(t *testing.T, s *site.Site, name string, leaving bool) {
	t.Helper()
	await(t, fmt.Sprintf("%s leaving=%t on every instance", name, leaving), inForceTarget, func() bool {
		return !slices.ContainsFunc(s.Instances(), func(in *inst.Instance) bool { return memberOf(in, name).Leaving != leaving })
	})
}

// TestLeaving guards against requests that are still sent to a leaving backend
// server, a renewal that cancels the leaving of the same incarnation, and a
// restarted backend server that still counts as leaving. Meanwhile the announcer of
// the site keeps renewing with the same incarnation and without Leaving.
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
	awaitLeaving(t, s, replica, true)
	t.Logf("leaving is known on all instances after %s", time.Since(start))
	// A statement that reaches the member from now on misses its deadline.
	memberNamed(s, replica).SetServiceTime(waitTimeout)
	for i := range s.Instances() {
		c := connect(t, s, i, "&tamarackcross.deadline=1s")
		for n := range 20 {
			if _, err := read(t, c, "none"); !errors.Is(err, pgx.ErrNoRows) {
				t.Fatalf("read %d through instance %d: %v", n, i, err)
			}
		}
	}
	if n := memberNamed(s, replica).BusySlots(); n != 0 {
		t.Fatalf("%d statements reached the leaving member", n)
	}
	renewals := 0
	await(t, "renewals of the same incarnation", waitTimeout, func() bool {
		announce(t, first, m, false)
		renewals++
		return renewals == 10
	})
	if !memberOf(first, replica).Leaving {
		t.Fatal("a renewal of the same incarnation cancelled the leaving of the member")
	}
	m.Incarnation++
	start = time.Now()
	announce(t, first, m, false)
	awaitLeaving(t, s, replica, false)
	t.Logf("the new incarnation is known on all instances after %s", time.Since(start))
}

// TestPrimaryLeaves guards against a leaving primary that keeps its role, and
// against a write that is lost in the planned switchover.
func TestPrimaryLeaves(t *testing.T) { primaryLeaves(t, "&default_query_exec_mode=simple_protocol") }

// TestPrimaryLeavesExtended guards against a write over the extended protocol that
// fails with the error of the fenced primary instead of being retried.
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
	await(t, "another primary", waitTimeout, func() bool { return groupOf(t, first).Primary != g.Primary })
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

// memberNamed returns the emulated member with a name.
func memberNamed(s *site.Site, name string) *emul.Member {
	i := slices.IndexFunc(s.Servers(database), func(srv *emul.Server) bool { return srv.Member().Name() == name })
	return s.Servers(database)[i].Member()
}

// zoneCutSite is a site in which one zone, which is not that of the primary, is
// isolated from the others. Its replica has applied a write made before.
type zoneCutSite struct {
	*site.Site
	isolated, connected int    // indexes of an instance in the isolated zone and one outside
	token               string // of the session that made the write
}

// startZoneCut starts a site and isolates a zone. With replicaKnown the entry of the
// zone knows before that its replica has applied the write.
func startZoneCut(t *testing.T, replicaKnown bool) zoneCutSite {
	t.Helper()
	s := zoneCutSite{Site: startSite(t, site.WithNetwork(emul.WithDeadPeerTimeout(time.Second)))}
	primary := memberNamed(s.Site, groupOf(t, s.Instances()[0]).Primary)
	at := slices.IndexFunc(s.Servers(database), func(srv *emul.Server) bool { return srv.Member() == primary })
	s.isolated, s.connected = (at+1)%len(zones), (at+2)%len(zones)
	c := connect(t, s.Site, s.connected, "")
	if err := write(t, c, "k", "before"); err != nil {
		t.Fatal(err)
	}
	s.token = c.PgConn().ParameterStatus("tamarackcross.token")
	want := primary.Status().Applied
	replica := s.Servers(database)[s.isolated].Member()
	await(t, "the replica of the zone has the write", waitTimeout, func() bool { return !replica.Status().Applied.Less(want) })
	if replicaKnown {
		s.awaitReplicaRead(t)
	}
	s.Network().Isolate(zones[s.isolated])
	return s
}

func (s zoneCutSite) awaitReplicaRead(t *testing.T) {
	t.Helper()
	c := connect(t, s.Site, s.isolated, "&tamarackcross.token="+s.token)
	await(t, "the entry of the zone reads from its replica", waitTimeout, func() bool {
		before := s.Entry(s.isolated).Counts().ReadsReplica
		_, err := read(t, c, "k")
		return err == nil && s.Entry(s.isolated).Counts().ReadsReplica > before
	})
}

// connect opens a session in the isolated zone with the token of the write.
func (s zoneCutSite) connect(t *testing.T) *pgx.Conn {
	t.Helper()
	return connect(t, s.Site, s.isolated, "&tamarackcross.token="+s.token+"&tamarackcross.deadline=1s")
}

// readsByBound checks that reads in the isolated zone return the write.
func (s zoneCutSite) readsByBound(t *testing.T, c *pgx.Conn) {
	t.Helper()
	for range 10 {
		got, err := read(t, c, "k")
		if err != nil {
			t.Fatalf("read with a read bound in the isolated zone: %v", err)
		}
		if diff := cmp.Diff("before", got); diff != "" {
			t.Fatal(diff)
		}
	}
}

// TestZoneCut guards against an isolated zone that fails reads which its replica
// can serve, accepts writes or serves reads of the latest state, or does not catch
// up with a configuration change after the isolation has ended.
func TestZoneCut(t *testing.T) {
	s := startZoneCut(t, true)
	c := s.connect(t)
	s.readsByBound(t, c)
	s.checkRefusals(t, c)
	version := s.changeOutside(t)
	if v := s.Instances()[s.isolated].Fleet().Version; v != 0 {
		t.Fatalf("the isolated zone has version %d, which was made outside", v)
	}
	s.Network().Rejoin(zones[s.isolated])
	took := await(t, "the zone has the change", inForceTarget, func() bool { return s.Instances()[s.isolated].Fleet().Version == version })
	t.Logf("the zone has the change %s after the isolation ended", took)
}

// checkRefusals checks that writes and reads of the latest state in the isolated
// zone fail with outcome not_run and a reason.
func (s zoneCutSite) checkRefusals(t *testing.T, c *pgx.Conn) {
	t.Helper()
	// The outcome of the first writes may be unknown, because they were sent on a
	// connection that was open before and is silent now.
	await(t, "a write fails with outcome not_run and a reason", waitTimeout, func() bool {
		outcome, reason := refusal(t, write(t, c, "k2", "cut"))
		t.Logf("write in the isolated zone: outcome=%s reason=%s", outcome, reason)
		return outcome == string(errs.NotRun) && reason != ""
	})
	if _, err := c.Exec(context.Background(), "SET tamarackcross.read_bound = 'latest'"); err != nil {
		t.Fatal(err)
	}
	_, err := read(t, c, "k")
	outcome, reason := refusal(t, err)
	t.Logf("read of the latest state in the isolated zone: outcome=%s reason=%s", outcome, reason)
	if outcome != string(errs.NotRun) || reason == "" {
		t.Fatalf("read of the latest state in the isolated zone: want outcome not_run with a reason, got %v", err)
	}
}

// changeOutside submits a configuration change outside the isolated zone and returns
// its version.
func (s zoneCutSite) changeOutside(t *testing.T) uint64 {
	t.Helper()
	var r admin.ChangeResult
	change := admin.Change{ID: "c", Author: "test", Document: document(t, 3*time.Second)}
	await(t, "a configuration change outside the isolated zone", waitTimeout, func() bool {
		var err error
		r, err = s.Instances()[s.connected].Change(context.Background(), change)
		return err == nil
	})
	if !r.Accepted {
		t.Fatalf("change was not accepted: %+v", r)
	}
	return r.Version
}

// TestZoneCutUnknownReplica guards against an entry in an isolated zone that fails
// reads which its replica can serve, because it did not know before the isolation
// that the replica has applied the required position.
func TestZoneCutUnknownReplica(t *testing.T) {
	s := startZoneCut(t, false)
	s.readsByBound(t, s.connect(t))
}

// TestZoneCutWritesResume guards against an entry that still rejects writes long
// after the isolation of its zone has ended.
func TestZoneCutWritesResume(t *testing.T) {
	s := startZoneCut(t, true)
	c := s.connect(t)
	s.checkRefusals(t, c)
	s.Network().Rejoin(zones[s.isolated])
	took := await(t, "writes through the zone", inForceTarget, func() bool { return write(t, c, "k3", "after") == nil })
	t.Logf("writes resumed %s after the isolation ended", took)
}

// TestShutdown guards against a graceful shutdown that does not end after the
// instance has served a caller.
func TestShutdown(t *testing.T) {
	s := startSite(t)
	if err := write(t, connect(t, s, 0, ""), "k", "v"); err != nil {
		t.Fatal(err)
	}
	done := make(chan int64, 1)
	go func() { done <- s.Instances()[0].Shutdown(context.Background()) }()
	select {
	case <-done:
	case <-time.After(waitTimeout):
		t.Fatalf("the shutdown has not ended after %s", waitTimeout)
	}
}
