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

const shortWait = 30 * time.Millisecond // how long a test waits for an answer that must not come

func queryValue(t *testing.T, c *pgx.Conn, sql string) string {
	t.Helper()
	var answer string
	if err := c.QueryRow(testContext(t), sql).Scan(&answer); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
	return answer
}

// execInBackground runs sql and delivers its error. The end of the test cancels the
// statement.
func execInBackground(t *testing.T, c *pgx.Conn, sql string) <-chan error {
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

func expectNoAnswer(t *testing.T, result <-chan error) {
	t.Helper()
	select {
	case err := <-result:
		t.Fatalf("the statement was answered, error: %v", err)
	case <-time.After(shortWait):
	}
}

// TestFreeze guards against a frozen member that answers or accepts connections, and
// against a freeze that loses a commit in flight or runs it twice.
func TestFreeze(t *testing.T) {
	g := startGroup(t, 3)
	m := g.Member(0)
	c, control := connect(t, "app", g.Addr(0)), connect(t, "tamarackcross", g.Addr(0))
	m.SetServiceTime(shortWait)
	inFlight := execInBackground(t, c, "INSERT INTO t VALUES ('a', '1')")
	eventually(t, func() bool { return m.BusySlots() == 1 })
	m.Freeze()
	confirm := execInBackground(t, control, "SELECT group_confirm(1, 0, 10)")
	expectNoAnswer(t, inFlight)
	expectNoAnswer(t, confirm)
	ctx, cancel := context.WithTimeout(context.Background(), shortWait)
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

// TestFrozenPrimaryIsReplaced guards against a primary that was replaced while it
// was frozen and confirms its term or a write after it resumes, or still commits
// once it is fenced.
func TestFrozenPrimaryIsReplaced(t *testing.T) {
	g := startGroup(t, 3)
	c, control := connect(t, "app", g.Addr(0)), connect(t, "tamarackcross", g.Addr(0))
	g.Member(0).Freeze()
	confirm := make(chan string, 1)
	go func() { confirm <- queryValue(t, control, "SELECT group_confirm(1, 0, 100)") }()
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
	if got := queryValue(t, control, "SELECT group_confirm(1, 1, 20)"); got != "f" {
		t.Error("a replaced primary confirmed a write")
	}
	if _, err := g.Member(0).Fence(2); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Exec(testContext(t), "INSERT INTO t VALUES ('b', '1')"); sqlStateOf(err) != "25006" {
		t.Errorf("got %v, want 25006", err)
	}
}

// TestSilence guards against silenced connections that still answer, and against
// replicas that do not reconnect after theirs were silenced.
func TestSilence(t *testing.T) {
	g := startGroup(t, 3)
	old := connect(t, "app", g.Addr(0))
	g.Member(0).SilenceExisting()
	result := execInBackground(t, old, "SELECT 1")
	c := connect(t, "app", g.Addr(0))
	exec(t, c, "INSERT INTO t VALUES ('a', '1')")
	if got := queryValue(t, connect(t, "tamarackcross", g.Addr(0)), "SELECT group_confirm(1, 1, 20000)"); got != "t" {
		t.Error("replicas did not reconnect")
	}
	expectNoAnswer(t, result)
}

// TestApplyLag guards against a replica that applies entries before its apply lag
// has passed, and against an apply lag that delays the acknowledgement.
func TestApplyLag(t *testing.T) {
	g := startGroup(t, 3)
	g.Member(1).SetApplyLag(time.Hour)
	g.Member(2).SetApplyLag(time.Hour)
	exec(t, connect(t, "app", g.Addr(0)), "INSERT INTO t VALUES ('a', '1')")
	control := connect(t, "tamarackcross", g.Addr(0))
	if got := queryValue(t, control, "SELECT group_confirm(1, 1, 20000)"); got != "t" {
		t.Error("entries that the replicas hold were not acknowledged")
	}
	if applied := g.Member(1).Status().Applied; !applied.IsZero() {
		t.Errorf("applied %s, want nothing", applied)
	}
	g.Member(1).SetApplyLag(0)
	eventually(t, func() bool { return g.Member(1).Status().Applied.Offset == 1 })
}

// TestWipe guards against a member that lost its data and keeps its store identity,
// or that cannot follow the primary afterwards.
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
		t.Errorf("after the loss of the data: store %s (before: %s), held %s", st.Store, before, st.Held)
	}
	if err := g.Servers()[2].Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	if _, err := m.Follow(testContext(t), 1, g.Addr(0)); err != nil {
		t.Fatal(err)
	}
	eventually(t, func() bool { return m.Status().Held.Offset == 1 })
}

// TestAnnounce guards against announcements that are not renewed, have wrong fields,
// or do not say that the server is leaving.
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

// TestNetwork guards against cuts that return errors or lose data, against a latency
// below the configured one, and against silence of existing connections that also
// affects new ones.
func TestNetwork(t *testing.T) {
	const latency = 5 * time.Millisecond
	n := emul.NewNetwork(emul.WithLatency("a", "b", latency), emul.WithDeadPeerTimeout(time.Second))
	defer n.Close()
	g := startGroup(t, 3, emul.WithNetwork(n))
	dial := func() *pgx.Conn {
		cfg, err := pgx.ParseConfig(fmt.Sprintf("postgres://app@%s/db?sslmode=disable", g.Addr(0)))
		if err != nil {
			t.Fatal(err)
		}
		dialNetwork := n.Dialer("entry-1", "b")
		cfg.DialFunc = func(ctx context.Context, _, addr string) (net.Conn, error) { return dialNetwork(ctx, addr) }
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
	if got := queryValue(t, c, "SELECT repeat('x', 5000000)"); len(got) != 5000000 {
		t.Errorf("got %d bytes of 5000000", len(got))
	}
	n.Cut("a", "b")
	result := execInBackground(t, c, "INSERT INTO t VALUES ('b', '1')")
	expectNoAnswer(t, result)
	ctx, cancel := context.WithTimeout(context.Background(), shortWait)
	defer cancel()
	if _, err := n.Dialer("entry-1", "b")(ctx, g.Addr(0)); err == nil {
		t.Error("a connection was opened through a cut")
	}
	n.Heal("a", "b")
	if err := <-result; err != nil {
		t.Error(err)
	}
	n.SilenceExisting("entry-1", "a")
	result = execInBackground(t, c, "SELECT 1")
	exec(t, dial(), "SELECT 1")
	expectNoAnswer(t, result)
	n.Isolate("a") // the replicas in b and c no longer reach the primary
	if got := queryValue(t, connect(t, "tamarackcross", g.Addr(0)), "SELECT group_confirm(1, 0, 50)"); got != "f" {
		t.Error("a round was confirmed without a majority")
	}
	n.Rejoin("a")
	if got := queryValue(t, connect(t, "tamarackcross", g.Addr(0)), "SELECT group_confirm(1, 0, 20000)"); got != "t" {
		t.Error("the replicas did not reconnect")
	}
}
