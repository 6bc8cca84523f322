package emul_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"tamarackcross/emul"
	"tamarackcross/group"
)

const quiet = 30 * time.Millisecond // an answer that must not come is awaited this long

func ask(t *testing.T, c *pgx.Conn, sql string) string {
	t.Helper()
	var answer string
	if err := c.QueryRow(testContext(t), sql).Scan(&answer); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
	return answer
}

// background runs sql and delivers its error. The statement ends with the test.
func background(t *testing.T, c *pgx.Conn, sql string) <-chan error {
	ctx, cancel := context.WithCancel(context.Background())
	result, ended := make(chan error, 1), make(chan struct{})
	go func() {
		defer close(ended)
		_, err := c.Exec(ctx, sql)
		result <- err
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return result
}

func expectQuiet(t *testing.T, result <-chan error) {
	t.Helper()
	select {
	case err := <-result:
		t.Fatalf("an answer came: %v", err)
	case <-time.After(quiet):
	}
}

// TestFreeze guards against a frozen member that answers, and against a commit
// in flight that is lost or run twice by the freeze.
func TestFreeze(t *testing.T) {
	g := startGroup(t, 3)
	m := g.Member(0)
	c, control := connect(t, "app", g.Addr(0)), connect(t, "tamarackcross", g.Addr(0))
	m.SetService(quiet)
	inFlight := background(t, c, "INSERT INTO t VALUES ('a', '1')")
	eventually(t, func() bool { return m.Busy() == 1 })
	m.Freeze()
	confirm := background(t, control, "SELECT group_confirm(1, 0, 10)")
	expectQuiet(t, inFlight)
	expectQuiet(t, confirm)
	ctx, cancel := context.WithTimeout(context.Background(), quiet)
	defer cancel()
	if _, err := pgx.Connect(ctx, "postgres://app@"+g.Addr(0)+"/db?sslmode=disable"); err == nil {
		t.Error("a frozen member accepted a connection")
	}
	m.Thaw()
	if err := <-inFlight; err != nil {
		t.Error(err)
	}
	if err := <-confirm; err != nil {
		t.Error(err)
	}
	if held := m.Status().Held; held != (group.Position{Term: 1, Offset: 1}) {
		t.Errorf("held %s, want 1/1", held)
	}
}

// TestFrozenPrimaryIsReplaced guards against a replaced primary that confirms
// or commits anything after it resumes.
func TestFrozenPrimaryIsReplaced(t *testing.T) {
	g := startGroup(t, 3)
	c, control := connect(t, "app", g.Addr(0)), connect(t, "tamarackcross", g.Addr(0))
	g.Member(0).Freeze()
	confirm := make(chan string, 1)
	go func() { confirm <- ask(t, control, "SELECT group_confirm(1, 0, 100)") }()
	for _, i := range []int{1, 2} {
		if _, err := g.Member(i).Fence(2); err != nil {
			t.Fatal(err)
		}
	}
	h, err := group.ParseHistory("1@0,2@0")
	if err != nil {
		t.Fatal(err)
	}
	if err := g.Member(1).Promote(2, h); err != nil {
		t.Fatal(err)
	}
	g.Member(0).Thaw()
	if got := <-confirm; got != "f" {
		t.Error("a replaced primary confirmed its term")
	}
	exec(t, c, "INSERT INTO t VALUES ('a', '1')") // not acknowledged: no majority follows
	if got := ask(t, control, "SELECT group_confirm(1, 1, 20)"); got != "f" {
		t.Error("a replaced primary confirmed a write")
	}
	if _, err := g.Member(0).Fence(2); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Exec(testContext(t), "INSERT INTO t VALUES ('b', '1')"); stateOf(err) != "25006" {
		t.Errorf("got %v, want 25006", err)
	}
}

// TestSilence guards against open connections that still answer after Silence,
// and against replication that does not recover.
func TestSilence(t *testing.T) {
	g := startGroup(t, 3)
	old := connect(t, "app", g.Addr(0))
	g.Member(0).Silence()
	result := background(t, old, "SELECT 1")
	c := connect(t, "app", g.Addr(0))
	exec(t, c, "INSERT INTO t VALUES ('a', '1')")
	if got := ask(t, connect(t, "tamarackcross", g.Addr(0)), "SELECT group_confirm(1, 1, 20000)"); got != "t" {
		t.Error("replicas did not reconnect")
	}
	expectQuiet(t, result)
}

// TestApplyLag guards against a replica that applies what it holds at once, and
// against a lag that delays the acknowledgement.
func TestApplyLag(t *testing.T) {
	g := startGroup(t, 3)
	g.Member(1).SetApplyLag(time.Hour)
	g.Member(2).SetApplyLag(time.Hour)
	exec(t, connect(t, "app", g.Addr(0)), "INSERT INTO t VALUES ('a', '1')")
	control := connect(t, "tamarackcross", g.Addr(0))
	if got := ask(t, control, "SELECT group_confirm(1, 1, 20000)"); got != "t" {
		t.Error("held entries were not acknowledged")
	}
	if applied := g.Member(1).Status().Applied; !applied.IsZero() {
		t.Errorf("applied %s, want nothing", applied)
	}
	g.Member(1).SetApplyLag(0)
	eventually(t, func() bool { return g.Member(1).Status().Applied.Offset == 1 })
}

// TestWipe guards against a member that lost its data and keeps its identity.
func TestWipe(t *testing.T) {
	g := startGroup(t, 3)
	exec(t, connect(t, "app", g.Addr(0)), "INSERT INTO t VALUES ('a', '1')")
	m := g.Member(2)
	eventually(t, func() bool { return m.Status().Held.Offset == 1 })
	before := m.Status().Store
	if err := g.Servers()[2].Stop(); err != nil {
		t.Fatal(err)
	}
	m.Wipe()
	if st := m.Status(); st.Store == before || !st.Held.IsZero() {
		t.Errorf("after the loss: store %s (was %s), held %s", st.Store, before, st.Held)
	}
	if err := g.Servers()[2].Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	if _, err := m.Follow(testContext(t), 1, g.Addr(0)); err != nil {
		t.Fatal(err)
	}
	eventually(t, func() bool { return m.Status().Held.Offset == 1 })
}

// TestAnnounce guards against announcements that are not renewed or that do not
// say that the server is leaving.
func TestAnnounce(t *testing.T) {
	received := make(chan emul.Announcement, 100)
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var a emul.Announcement
		if err := json.NewDecoder(r.Body).Decode(&a); err != nil || r.URL.Path != "/v1/announce" {
			t.Errorf("%s: %v", r.URL.Path, err)
		}
		received <- a
	}))
	defer web.Close()
	g := startGroup(t, 1)
	a := emul.NewAnnouncer(g.Servers()[0], []string{web.URL}, emul.WithTTL(300*time.Millisecond), emul.WithIncarnation(7))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- a.Run(ctx) }()
	<-received
	first := <-received
	want := emul.Announcement{
		Instance: "db-1", Incarnation: 7, Store: g.Member(0).Status().Store, Database: "db", Zone: "a",
		Address: g.Addr(0), Slots: emul.DefaultSlots, Connections: emul.DefaultConnections, TTLMillis: 300,
	}
	if first != want {
		t.Errorf("got %+v, want %+v", first, want)
	}
	a.Leave()
	for !(<-received).Leaving {
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// TestNetwork guards against cuts that return errors or lose data, against
// latency below its setting, and against silence that reaches new connections.
func TestNetwork(t *testing.T) {
	const latency = 5 * time.Millisecond
	n := emul.NewNetwork(emul.WithLatency("a", "b", latency), emul.WithDeadPeerTime(time.Second))
	defer n.Close()
	g := startGroup(t, 3, emul.WithNetwork(n))
	dial := func() *pgx.Conn {
		cfg, err := pgx.ParseConfig(fmt.Sprintf("postgres://app@%s/db?sslmode=disable", g.Addr(0)))
		if err != nil {
			t.Fatal(err)
		}
		through := n.Dialer("entry-1", "b")
		cfg.DialFunc = func(ctx context.Context, _, addr string) (net.Conn, error) { return through(ctx, addr) }
		c, err := pgx.ConnectConfig(testContext(t), cfg)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close(context.Background()) })
		return c
	}
	c := dial()
	started := time.Now()
	exec(t, c, "INSERT INTO t VALUES ('a', '1')")
	if took := time.Since(started); took < 2*latency {
		t.Errorf("a round trip took %v, want at least %v", took, 2*latency)
	}
	if got := ask(t, c, "SELECT repeat('x', 5000000)"); len(got) != 5000000 {
		t.Errorf("got %d bytes of 5000000", len(got))
	}
	n.Cut("a", "b")
	result := background(t, c, "INSERT INTO t VALUES ('b', '1')")
	expectQuiet(t, result)
	ctx, cancel := context.WithTimeout(context.Background(), quiet)
	defer cancel()
	if _, err := n.Dialer("entry-1", "b")(ctx, g.Addr(0)); err == nil {
		t.Error("a connection opened through a cut")
	}
	n.Heal("a", "b")
	if err := <-result; err != nil {
		t.Error(err)
	}
	n.SilenceExisting("entry-1", "a")
	result = background(t, c, "SELECT 1")
	exec(t, dial(), "SELECT 1")
	expectQuiet(t, result)
	n.Isolate("a") // the replicas in b and c lose the primary
	if got := ask(t, connect(t, "tamarackcross", g.Addr(0)), "SELECT group_confirm(1, 0, 50)"); got != "f" {
		t.Error("a round was confirmed without a majority")
	}
	n.Rejoin("a")
	if got := ask(t, connect(t, "tamarackcross", g.Addr(0)), "SELECT group_confirm(1, 0, 20000)"); got != "t" {
		t.Error("the replicas did not come back")
	}
}
