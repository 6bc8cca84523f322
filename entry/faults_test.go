package entry_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"tamarackcross/emul"
	"tamarackcross/entry"
	"tamarackcross/fleet"
)

// withPolicy returns an option with the default settings as modified by change.
func withPolicy(t testing.TB, change func(*fleet.Settings)) entry.Option {
	t.Helper()
	s := fleet.Default().Resolve(fleet.Scope{})
	change(&s)
	d, err := fleet.New(s)
	if err != nil {
		t.Fatal(err)
	}
	return entry.WithPolicies(d)
}

func testContext(t testing.TB) context.Context {
	t.Helper()
	ctx, stop := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(stop)
	return ctx
}

// describeError returns the SQLSTATE and the detail of an error, or "ok".
func describeError(err error) string {
	var pe *pgconn.PgError
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &pe):
		return pe.Code + " " + pe.Detail
	}
	return "connection: " + err.Error()
}

func expectEqual(t testing.TB, what, want, got string) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

// mustRun executes statements, which must succeed, and returns the first value of the
// result of the last one.
func mustRun(t testing.TB, c *pgx.Conn, stmts ...string) string {
	t.Helper()
	var out string
	for _, sql := range stmts {
		rs, err := c.PgConn().Exec(testContext(t), sql).ReadAll()
		if err != nil {
			t.Fatalf("%s: %s", sql, describeError(err))
		}
		out = ""
		if last := rs[len(rs)-1]; len(last.Rows) > 0 {
			out = string(last.Rows[0][0])
		}
	}
	return out
}

func eventually(t testing.TB, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout / 2); !cond(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// faultDialer closes one connection to a backend server at the first write that
// contains text after armed was set: instead of the write, or with after set once
// the backend server has executed it.
type faultDialer struct {
	text  string
	after bool
	armed atomic.Bool
}

func (k *faultDialer) dial(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &faultConn{Conn: nc, dialer: k}, nil
}

type faultConn struct {
	net.Conn
	dialer *faultDialer
}

func (c *faultConn) Write(b []byte) (int, error) {
	if !bytes.Contains(b, []byte(c.dialer.text)) || !c.dialer.armed.CompareAndSwap(true, false) {
		return c.Conn.Write(b)
	}
	if c.dialer.after {
		_, _ = c.Conn.Write(b)
		time.Sleep(50 * time.Millisecond) // for the backend server to execute it
	}
	_ = c.Close()
	return 0, net.ErrClosed
}

// TestLostConnection guards against a write that is applied twice, or reported as
// not run although it ran, when the connection to the primary breaks before or after
// the write or its commit was sent.
func TestLostConnection(t *testing.T) {
	const insert = "INSERT INTO lost (k, v) VALUES ('w', '1')"
	for _, tt := range []struct {
		name, key, cut string
		after          bool
		want, rows     string
	}{
		{"write sent without key", "", insert, true, "08007 outcome=unknown reason=backend_lost", "1"},
		{"write not sent without key", "", insert, false, "08007 outcome=unknown reason=backend_lost", ""},
		{"write not sent with key", "k1", insert, false, "ok", "1"},
		{"write sent with key, commit not", "k2", insert, true, "ok", "1"},
		{"commit sent with key", "k3", "COMMIT", true, "ok", "1"},
		{"commit not sent with key", "k4", "COMMIT", false, "ok", "1"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := startSite(t)
			dialer := &faultDialer{text: tt.cut, after: tt.after}
			s.addEntry(t, entry.WithDial(dialer.dial))
			c := s.connect(t, 2, "")
			mustRun(t, c, "SELECT 1", "SET tamarackcross.idempotency_key = '"+tt.key+"'")
			dialer.armed.Store(true)
			_, err := c.PgConn().Exec(testContext(t), insert).ReadAll()
			expectEqual(t, "answer", tt.want, strings.TrimSuffix(describeError(err), " key="))
			time.Sleep(20 * time.Millisecond)
			expectEqual(t, "value", tt.rows, mustRun(t, s.connect(t, 0, ""), "SELECT v FROM lost WHERE k = 'w'"))
		})
	}
}

// TestLostTransaction guards against later statements of a transaction that run
// outside it after its backend connection broke.
func TestLostTransaction(t *testing.T) {
	s := startSite(t)
	dialer := &faultDialer{text: "'second'", after: true}
	s.addEntry(t, entry.WithDial(dialer.dial))
	c := s.connect(t, 2, "")
	mustRun(t, c, "BEGIN", "INSERT INTO t (k) VALUES ('first')")
	dialer.armed.Store(true)
	for _, tt := range []struct{ sql, want string }{
		{"INSERT INTO t (k) VALUES ('second')", "08006 outcome=not_run reason=backend_lost"},
		{"INSERT INTO t (k) VALUES ('third')", "25P02 outcome=not_run reason=backend_lost"},
		{"COMMIT", "ok"},
	} {
		_, err := c.PgConn().Exec(testContext(t), tt.sql).ReadAll()
		expectEqual(t, tt.sql, tt.want, describeError(err))
	}
	expectEqual(t, "rows", "", mustRun(t, c, "SELECT k FROM t"))
}

// TestIdempotencyKey guards against a write with a key that is applied twice, and
// against an outcome that differs between entries or does not agree with the data
// when the caller disconnects before the answer.
func TestIdempotencyKey(t *testing.T) {
	s := startSite(t)
	const insert = "INSERT INTO t (k) VALUES ('a')"
	for i := range 2 {
		c := s.connect(t, i, "&tamarackcross.idempotency_key=k1")
		tag, err := c.PgConn().Exec(testContext(t), insert).ReadAll()
		if err != nil {
			t.Fatal(describeError(err))
		}
		expectEqual(t, "tag", "INSERT 0 1", tag[0].CommandTag.String())
		_, err = c.PgConn().Exec(testContext(t), "INSERT INTO t (k) VALUES ('b')").ReadAll()
		expectEqual(t, "another statement", "22023 outcome=not_run reason=key_reuse", describeError(err))
		expectEqual(t, "outcome", "done", mustRun(t, c, "SHOW tamarackcross.outcome"))
		mustRun(t, c, "SET tamarackcross.idempotency_key = 'k2'")
		expectEqual(t, "outcome of nothing", "not_run", mustRun(t, c, "SHOW tamarackcross.outcome"))
	}
	// A caller disconnects before the answer; another entry reports the outcome.
	s.group.Member(0).SetServiceTime(100 * time.Millisecond)
	raw := dialRaw(t, s.addrs[0])
	raw.start(map[string]string{"user": "app", "database": "app", "tamarackcross.idempotency_key": "k3"})
	raw.fe.Send(&pgproto3.Query{String: "INSERT INTO t (k) VALUES ('left')"})
	_ = raw.fe.Flush()
	time.Sleep(150 * time.Millisecond) // BEGIN and the record have been sent
	_ = raw.nc.Close()
	c := s.connect(t, 1, "&tamarackcross.idempotency_key=k3")
	outcome := mustRun(t, c, "SHOW tamarackcross.outcome")
	expectEqual(t, "outcome and data agree", fmt.Sprint(outcome == "done"), fmt.Sprint(mustRun(t, c, "SELECT k FROM t WHERE k = 'left'") == "left"))
	expectEqual(t, "outcome is decided", "true", fmt.Sprint(outcome == "done" || outcome == "not_run"))
}

func (s *site) silenceConnections() {
	for _, m := range s.group.Servers() {
		m.Member().SilenceExisting()
	}
}

// TestSilentConnections guards against requests that wait forever on connections that
// have become silent. A read and a write with a key must succeed on a new connection;
// a write without a key must end at its deadline with an unknown outcome.
func TestSilentConnections(t *testing.T) {
	s := startSite(t)
	s.addEntry(t, withPolicy(t, func(p *fleet.Settings) { p.SilenceLimit = 100 * time.Millisecond }))
	for _, tt := range []struct{ name, key, sql, want string }{
		{"read", "", "SELECT v FROM t WHERE k = 'a'", "ok"},
		{"write with key", "k1", "INSERT INTO t (k, v) VALUES ('b', '2')", "ok"},
		{"write without key", "", "INSERT INTO t (k, v) VALUES ('c', '3')", "08007 outcome=unknown reason=deadline"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := s.connect(t, 2, "&tamarackcross.deadline=3s")
			for i := range 12 { // opens connections and makes the duration of the statement shape known
				mustRun(t, c, tt.sql[:6]+strings.Replace(tt.sql[6:], "'", fmt.Sprint("'warm", i), 1))
			}
			mustRun(t, c, "SET tamarackcross.idempotency_key = '"+tt.key+"'")
			s.silenceConnections()
			start := time.Now()
			_, err := c.PgConn().Exec(testContext(t), tt.sql).ReadAll()
			expectEqual(t, "answer", tt.want, describeError(err))
			if tt.name == "read" {
				for range 10 {
					mustRun(t, c, tt.sql)
				}
			}
			eventually(t, "no request failed on a silent connection", func() bool {
				return tt.want != "ok" || strings.Contains(metricsText(t, s.entries[2]), `reason="backend_silent"`)
			})
			if took := time.Since(start); took > 3500*time.Millisecond {
				t.Errorf("took %s", took)
			}
		})
	}
}

// TestLatestReadAfterSilence guards against a read of the latest state that is refused after all
// connections have become silent, although new ones work: since the primary, which alone may serve
// it, is left out after the first attempt, or since it is confirmed on a silent connection.
func TestLatestReadAfterSilence(t *testing.T) {
	s := startSite(t)
	s.addEntry(t, withPolicy(t, func(p *fleet.Settings) { p.SilenceLimit = 100 * time.Millisecond }))
	c := s.connect(t, 2, "&tamarackcross.deadline=3s&tamarackcross.read_bound=latest")
	for range 12 { // opens connections and makes the duration of the statement shape known
		mustRun(t, c, "SELECT v FROM t WHERE k = 'a'")
	}
	s.silenceConnections()
	_, err := c.PgConn().Exec(testContext(t), "SELECT v FROM t WHERE k = 'a'").ReadAll()
	expectEqual(t, "answer", "ok", describeError(err))
}

// TestDeadlineAndCancel guards against statements that run on after their deadline or
// a cancel request, and against a cancel request that cancels the next statement of
// the connection.
func TestDeadlineAndCancel(t *testing.T) {
	s := startSite(t)
	c := s.connect(t, 0, "&tamarackcross.deadline=200ms")
	_, err := c.PgConn().Exec(testContext(t), "SELECT pg_sleep(9)").ReadAll()
	expectEqual(t, "deadline", "57014", describeError(err)[:5])
	expectEqual(t, "next", "1", mustRun(t, c, "RESET tamarackcross.deadline", "SET tamarackcross.deadline = '5s'", "SELECT 1"))
	for range 3 {
		time.AfterFunc(50*time.Millisecond, func() { _ = c.PgConn().CancelRequest(context.Background()) })
		_, err = c.PgConn().Exec(testContext(t), "SELECT pg_sleep(9)").ReadAll()
		expectEqual(t, "cancel", "57014", describeError(err)[:5])
		expectEqual(t, "next", "1", mustRun(t, c, "SELECT 1"))
	}
	s.group.Member(0).SetServiceTime(time.Second)
	mustRun(t, c, "SET tamarackcross.deadline = '100ms'")
	_, err = c.PgConn().Exec(testContext(t), "INSERT INTO t (k) VALUES ('late')").ReadAll()
	late := describeError(err)
	s.group.Member(0).SetServiceTime(0)
	if strings.Contains(late, "not_run") || strings.HasPrefix(late, "57014") {
		expectEqual(t, "row of "+late, "", mustRun(t, c, "RESET tamarackcross.deadline", "SELECT k FROM t"))
	}
}

const megabyte = 1 << 20

// largeQuery returns a query with a result of n rows of 1 KiB.
func largeQuery(n int) *pgproto3.Query {
	return &pgproto3.Query{String: fmt.Sprintf("SELECT repeat('x', 1024) FROM generate_series(1, %d)", n)}
}

// TestLargeResult guards against an entry that holds a whole result in memory, and
// against the stall limit closing the connection of a caller that reads slowly but
// steadily.
func TestLargeResult(t *testing.T) {
	const size, stall = 40 * megabyte, 200 * time.Millisecond
	s := startSite(t)
	s.addEntry(t, entry.WithStallLimit(stall))
	c := dialRaw(t, s.addrs[2])
	_ = c.nc.(*net.TCPConn).SetReadBuffer(megabyte / 8)
	c.start(map[string]string{"user": "app", "database": "app"})
	time.Sleep(stall * 3 / 2) // longer than the stall limit, which must not apply to an idle caller
	var before, now runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	c.fe.Send(largeQuery(size / 1024))
	_ = c.fe.Flush()
	buf := make([]byte, megabyte)
	var most uint64
	total, start := 0, time.Now()
	for total < size {
		_ = c.nc.SetReadDeadline(time.Now().Add(testTimeout))
		n, err := io.ReadFull(c.nc, buf)
		if err != nil {
			t.Fatalf("after %d bytes: %v", total, err)
		}
		total += n
		if total < 20*megabyte {
			time.Sleep(stall / 8)
		}
		runtime.ReadMemStats(&now)
		most = max(most, now.HeapInuse)
	}
	if took := time.Since(start); took < 2*stall {
		t.Errorf("the caller was not slow: %s", took)
	}
	grown := int64(most) - int64(before.HeapInuse)
	t.Logf("heap grew by %d KiB for %d MiB", grown/1024, size/megabyte)
	if grown > 16*megabyte {
		t.Errorf("heap grew by %d bytes", grown)
	}
}

// TestStalledCaller guards against a caller that reads nothing of its result and
// thereby keeps a slot and a connection of a backend server.
func TestStalledCaller(t *testing.T) {
	s := startSite(t)
	s.addEntry(t, entry.WithStallLimit(200*time.Millisecond))
	c := dialRaw(t, s.addrs[2])
	c.start(map[string]string{"user": "app", "database": "app"})
	busy := func() (n int) {
		for i := range 3 {
			n += s.group.Member(i).BusySlots()
		}
		return n
	}
	c.fe.Send(largeQuery(200_000))
	_ = c.fe.Flush()
	eventually(t, "the query never started", func() bool { return busy() > 0 })
	eventually(t, "the slot was not freed", func() bool { return busy() == 0 })
	expectEqual(t, "next", "1", mustRun(t, s.connect(t, 2, ""), "SELECT 1"))
}

// TestLimits guards against connections over the limit of callers being accepted, and
// against half-open handshakes and idle transactions that are never ended.
func TestLimits(t *testing.T) {
	const limit = 200 * time.Millisecond
	s := startSite(t)
	s.addEntry(t, entry.WithMaxCallers(2), entry.WithIdleTransactionLimit(limit),
		withPolicy(t, func(p *fleet.Settings) { p.HandshakeLimit = limit }))
	half := dialRaw(t, s.addrs[2])
	_, _ = half.nc.Write([]byte{0, 0})
	expectEqual(t, "half-open handshake", "(closed)\n", half.read(5*limit))
	time.Sleep(limit / 4) // for the entry to notice the closed connection

	a, b := s.connect(t, 2, ""), s.connect(t, 2, "")
	_, err := pgx.Connect(testContext(t), "postgres://app@"+s.addrs[2]+"/app?sslmode=disable")
	expectEqual(t, "too many callers", "53300 outcome=not_run reason=too_many", describeError(err))
	mustRun(t, a, "BEGIN", "INSERT INTO t (k) VALUES ('a')", "COMMIT")
	mustRun(t, b, "BEGIN", "INSERT INTO t (k) VALUES ('b')")
	time.Sleep(2 * limit)
	expectEqual(t, "idle after a transaction", "1", mustRun(t, a, "SELECT 1"))
	_, err = b.PgConn().Exec(testContext(t), "SELECT 1").ReadAll()
	if err == nil {
		t.Error("an idle transaction was not ended")
	}
	expectEqual(t, "rows", "a", mustRun(t, a, "SELECT k FROM t"))
}

// TestShutdown guards against a shutdown that interrupts a request in flight, or that
// waits for idle callers and half-open handshakes.
func TestShutdown(t *testing.T) {
	s := startSite(t)
	e := s.addEntry(t)
	busy, idle := s.connect(t, 2, ""), dialRaw(t, s.addrs[2])
	idle.start(map[string]string{"user": "app", "database": "app"})
	dialRaw(t, s.addrs[2])
	done := make(chan error, 1)
	go func() {
		_, err := busy.PgConn().Exec(context.Background(), "SELECT pg_sleep(0.4)").ReadAll()
		done <- err
	}()
	time.Sleep(100 * time.Millisecond)
	left := make(chan int64, 1)
	go func() { left <- e.Shutdown(testContext(t)) }()
	expectEqual(t, "idle caller", "ERROR FATAL 57P01: instance is shutting down (outcome=not_run reason=shutdown), (closed)\n", idle.read(testTimeout))
	expectEqual(t, "request in flight", "ok", describeError(<-done))
	start := time.Now()
	expectEqual(t, "interrupted requests", "0", fmt.Sprint(<-left))
	if took := time.Since(start); took > time.Second {
		t.Errorf("shutdown took %s after the last request", took)
	}
	e.Close() // an instance closes it a second time
}

func metricsText(t testing.TB, e *entry.Server) string {
	var b bytes.Buffer
	if err := e.Stats().WriteText(&b); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

// TestLongTransaction guards against refusing a statement because its transaction
// began longer ago than the maximum queue wait.
func TestLongTransaction(t *testing.T) {
	s := startSite(t)
	s.addEntry(t, withPolicy(t, func(p *fleet.Settings) { p.QueueWait = 50 * time.Millisecond }))
	c := s.connect(t, 2, "")
	mustRun(t, c, "BEGIN", "INSERT INTO t (k) VALUES ('a')")
	time.Sleep(100 * time.Millisecond)
	mustRun(t, c, "INSERT INTO t (k) VALUES ('b')", "COMMIT")
}

// TestReadBounds guards against a read that returns data older than its read bound
// allows while the replicas apply with a lag.
func TestReadBounds(t *testing.T) {
	s := startSite(t, emul.WithApplyLag(300*time.Millisecond))
	w := s.connect(t, 0, "")
	for i, tt := range []struct {
		name, params string
		wait         time.Duration
	}{
		{"new session", "", 0},
		{"latest", "&tamarackcross.read_bound=latest", 0},
		{"latest by options", "&options=-c%20tamarackcross.read_bound%3Dlatest", 0},
		{"age", "&tamarackcross.max_age=50ms", 100 * time.Millisecond},
		{"token", "&tamarackcross.token=TOKEN", 0},
	} {
		// The session begins before the write; the token of the write follows later.
		r := s.connect(t, 1, strings.Replace(tt.params, "TOKEN", w.PgConn().ParameterStatus("tamarackcross.token"), 1))
		mustRun(t, w, fmt.Sprintf("INSERT INTO t (k, v) VALUES ('k%d', 'seen')", i))
		if tt.name == "token" {
			mustRun(t, r, "SET tamarackcross.token = '"+w.PgConn().ParameterStatus("tamarackcross.token")+"'")
		}
		time.Sleep(tt.wait)
		expectEqual(t, tt.name, "seen", mustRun(t, r, fmt.Sprintf("SELECT v FROM t WHERE k = 'k%d'", i)))
	}
}

// TestConcurrentSessions guards against answers and prepared statements of one session
// that reach another session, when many sessions share few backend connections.
func TestConcurrentSessions(t *testing.T) {
	const sessions, rounds = 12, 15
	s := startSite(t)
	errc := make(chan error, sessions)
	for i := range sessions {
		c := s.connect(t, i%2, "")
		go func() { errc <- runMixedLoad(c, i, rounds) }()
	}
	for range sessions {
		if err := <-errc; err != nil {
			t.Error(err)
		}
	}
	c := s.connect(t, 0, "&tamarackcross.read_bound=latest")
	rows, err := c.PgConn().Exec(testContext(t), "SELECT k FROM pairs").ReadAll()
	if err != nil {
		t.Fatal(err)
	}
	want := sessions * rounds // two rows for each committed transaction
	if rounds%2 == 1 {
		want += sessions
	}
	expectEqual(t, "rows", fmt.Sprint(want), fmt.Sprint(len(rows[0].Rows)))
}

// TestConnectionsOfTwoEntries guards against entries that together open more connections than a
// backend server accepts. A session may be refused for want of a connection, not because the
// server refused one.
func TestConnectionsOfTwoEntries(t *testing.T) {
	const sessions = 36
	s := startSite(t)
	errc := make(chan error, sessions)
	for i := range sessions {
		c := s.connect(t, i%2, "")
		go func() { errc <- holdTransaction(c, i) }()
	}
	for range sessions {
		var refused *pgconn.PgError
		if err := <-errc; err != nil && (!errors.As(err, &refused) || refused.Code != "53300") {
			t.Error(err)
		}
	}
}

// holdTransaction keeps a transaction that has written open for a while.
func holdTransaction(c *pgx.Conn, id int) error {
	ctx := context.Background()
	tx, err := c.Begin(ctx)
	if err != nil {
		return err
	}
	if _, err := tx.Exec(ctx, "INSERT INTO pairs (k, v) VALUES ($1, 'v')", fmt.Sprint("held-", id)); err != nil {
		return err
	}
	time.Sleep(100 * time.Millisecond)
	return tx.Commit(ctx)
}

// runMixedLoad alternates transactions of two writes, every second of which rolls
// back, with reads that return a value of the session.
func runMixedLoad(c *pgx.Conn, id, rounds int) error {
	ctx := context.Background()
	for n := range rounds {
		tx, err := c.Begin(ctx)
		if err != nil {
			return err
		}
		for part := range 2 {
			if _, err := tx.Exec(ctx, "INSERT INTO pairs (k, v) VALUES ($1, $2)", fmt.Sprint(id, "-", n, "-", part), "v"); err != nil {
				return err
			}
		}
		end := tx.Commit
		if n%2 == 1 {
			end = tx.Rollback
		}
		if err := end(ctx); err != nil {
			return err
		}
		var got string
		want := fmt.Sprint(id, "/", n)
		if err := c.QueryRow(ctx, "SELECT repeat($1, 1)", want).Scan(&got); err != nil || got != want {
			return fmt.Errorf("session %d got %q, want %q: %w", id, got, want, err)
		}
	}
	return nil
}
