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

// policy returns the default settings after change.
func policy(t testing.TB, change func(*fleet.Settings)) entry.Option {
	t.Helper()
	s := fleet.Default().Resolve(fleet.Scope{})
	change(&s)
	d, err := fleet.New(s)
	if err != nil {
		t.Fatal(err)
	}
	return entry.WithPolicies(d)
}

func bounded(t testing.TB) context.Context {
	t.Helper()
	ctx, stop := context.WithTimeout(context.Background(), testLimit)
	t.Cleanup(stop)
	return ctx
}

// failure returns SQLSTATE and detail of an error, or "ok".
func failure(err error) string {
	var pe *pgconn.PgError
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &pe):
		return pe.Code + " " + pe.Detail
	}
	return "connection: " + err.Error()
}

func expect(t testing.TB, what, want, got string) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

// run executes statements that must succeed and returns the first value of the
// last one.
func run(t testing.TB, c *pgx.Conn, stmts ...string) string {
	t.Helper()
	var out string
	for _, sql := range stmts {
		rs, err := c.PgConn().Exec(bounded(t), sql).ReadAll()
		if err != nil {
			t.Fatalf("%s: %s", sql, failure(err))
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
	for end := time.Now().Add(testLimit / 2); !cond(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// cutter breaks one connection to a backend server at the write that holds a
// text: before it is sent or after it ran.
type cutter struct {
	text  string
	after bool
	armed atomic.Bool
}

func (k *cutter) dial(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &cutConn{Conn: nc, k: k}, nil
}

type cutConn struct {
	net.Conn
	k *cutter
}

func (c *cutConn) Write(b []byte) (int, error) {
	if !bytes.Contains(b, []byte(c.k.text)) || !c.k.armed.CompareAndSwap(true, false) {
		return c.Conn.Write(b)
	}
	if c.k.after {
		_, _ = c.Conn.Write(b)
		time.Sleep(50 * time.Millisecond) // the backend server runs it
	}
	_ = c.Close()
	return 0, net.ErrClosed
}

// TestLostConnection guards against a write that is applied twice, or reported as
// not run although it ran, when the connection of the primary breaks.
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
			k := &cutter{text: tt.cut, after: tt.after}
			s.addEntry(t, entry.WithDial(k.dial))
			c := s.connect(t, 2, "")
			run(t, c, "SELECT 1", "SET tamarackcross.idempotency_key = '"+tt.key+"'")
			k.armed.Store(true)
			_, err := c.PgConn().Exec(bounded(t), insert).ReadAll()
			expect(t, "answer", tt.want, strings.TrimSuffix(failure(err), " key="))
			time.Sleep(20 * time.Millisecond)
			expect(t, "value", tt.rows, run(t, s.connect(t, 0, ""), "SELECT v FROM lost WHERE k = 'w'"))
		})
	}
}

// TestLostTransaction guards against statements that run outside of a transaction
// whose connection broke in the middle.
func TestLostTransaction(t *testing.T) {
	s := startSite(t)
	k := &cutter{text: "'second'", after: true}
	s.addEntry(t, entry.WithDial(k.dial))
	c := s.connect(t, 2, "")
	run(t, c, "BEGIN", "INSERT INTO t (k) VALUES ('first')")
	k.armed.Store(true)
	for _, tt := range []struct{ sql, want string }{
		{"INSERT INTO t (k) VALUES ('second')", "08006 outcome=not_run reason=backend_lost"},
		{"INSERT INTO t (k) VALUES ('third')", "25P02 outcome=not_run reason=backend_lost"},
		{"COMMIT", "ok"},
	} {
		_, err := c.PgConn().Exec(bounded(t), tt.sql).ReadAll()
		expect(t, tt.sql, tt.want, failure(err))
	}
	expect(t, "rows", "", run(t, c, "SELECT k FROM t"))
}

// TestIdempotencyKey guards against a repeated write and against an outcome that
// changes with the entry that is asked.
func TestIdempotencyKey(t *testing.T) {
	s := startSite(t)
	const insert = "INSERT INTO t (k) VALUES ('a')"
	for i := range 2 {
		c := s.connect(t, i, "&tamarackcross.idempotency_key=k1")
		tag, err := c.PgConn().Exec(bounded(t), insert).ReadAll()
		if err != nil {
			t.Fatal(failure(err))
		}
		expect(t, "tag", "INSERT 0 1", tag[0].CommandTag.String())
		_, err = c.PgConn().Exec(bounded(t), "INSERT INTO t (k) VALUES ('b')").ReadAll()
		expect(t, "another statement", "22023 outcome=not_run reason=key_reuse", failure(err))
		expect(t, "outcome", "done", run(t, c, "SHOW tamarackcross.outcome"))
		run(t, c, "SET tamarackcross.idempotency_key = 'k2'")
		expect(t, "outcome of nothing", "not_run", run(t, c, "SHOW tamarackcross.outcome"))
	}
	// A caller leaves before the answer; another entry knows the outcome.
	s.group.Member(0).SetService(100 * time.Millisecond)
	raw := dialRaw(t, s.addrs[0])
	raw.start(map[string]string{"user": "app", "database": "app", "tamarackcross.idempotency_key": "k3"})
	raw.fe.Send(&pgproto3.Query{String: "INSERT INTO t (k) VALUES ('left')"})
	_ = raw.fe.Flush()
	time.Sleep(150 * time.Millisecond) // BEGIN and the record are on their way
	_ = raw.nc.Close()
	c := s.connect(t, 1, "&tamarackcross.idempotency_key=k3")
	outcome := run(t, c, "SHOW tamarackcross.outcome")
	expect(t, "outcome and data agree", fmt.Sprint(outcome == "done"), fmt.Sprint(run(t, c, "SELECT k FROM t WHERE k = 'left'") == "left"))
	expect(t, "outcome is decided", "true", fmt.Sprint(outcome == "done" || outcome == "not_run"))
}

func (s *site) silence() {
	for _, m := range s.group.Servers() {
		m.Member().Silence()
	}
}

// TestSilentConnections guards against requests that hang on connections whose
// path was lost: a read goes to a new one, a write is settled.
func TestSilentConnections(t *testing.T) {
	s := startSite(t)
	s.addEntry(t, policy(t, func(p *fleet.Settings) { p.SilenceLimit = 100 * time.Millisecond }))
	for _, tt := range []struct{ name, key, sql, want string }{
		{"read", "", "SELECT v FROM t WHERE k = 'a'", "ok"},
		{"write with key", "k1", "INSERT INTO t (k, v) VALUES ('b', '2')", "ok"},
		{"write without key", "", "INSERT INTO t (k, v) VALUES ('c', '3')", "08007 outcome=unknown reason=deadline"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := s.connect(t, 2, "&tamarackcross.deadline=3s")
			for i := range 12 { // opens connections and makes the shape known
				run(t, c, tt.sql[:6]+strings.Replace(tt.sql[6:], "'", fmt.Sprint("'warm", i), 1))
			}
			run(t, c, "SET tamarackcross.idempotency_key = '"+tt.key+"'")
			s.silence()
			start := time.Now()
			_, err := c.PgConn().Exec(bounded(t), tt.sql).ReadAll()
			expect(t, "answer", tt.want, failure(err))
			if tt.name == "read" {
				for range 10 {
					run(t, c, tt.sql)
				}
			}
			eventually(t, "no silent connection was met", func() bool {
				return tt.want != "ok" || strings.Contains(metrics(t, s.entries[2]), `reason="backend_silent"`)
			})
			if took := time.Since(start); took > 3500*time.Millisecond {
				t.Errorf("took %s", took)
			}
		})
	}
}

// TestDeadlineAndCancel guards against statements that outlive their deadline or a
// cancel request, and against a cancel that hits the next statement.
func TestDeadlineAndCancel(t *testing.T) {
	s := startSite(t)
	c := s.connect(t, 0, "&tamarackcross.deadline=200ms")
	_, err := c.PgConn().Exec(bounded(t), "SELECT pg_sleep(9)").ReadAll()
	expect(t, "deadline", "57014", failure(err)[:5])
	expect(t, "next", "1", run(t, c, "RESET tamarackcross.deadline", "SET tamarackcross.deadline = '5s'", "SELECT 1"))
	for range 3 {
		time.AfterFunc(50*time.Millisecond, func() { _ = c.PgConn().CancelRequest(context.Background()) })
		_, err = c.PgConn().Exec(bounded(t), "SELECT pg_sleep(9)").ReadAll()
		expect(t, "cancel", "57014", failure(err)[:5])
		expect(t, "next", "1", run(t, c, "SELECT 1"))
	}
	s.group.Member(0).SetService(time.Second)
	run(t, c, "SET tamarackcross.deadline = '100ms'")
	_, err = c.PgConn().Exec(bounded(t), "INSERT INTO t (k) VALUES ('late')").ReadAll()
	late := failure(err)
	s.group.Member(0).SetService(0)
	if strings.Contains(late, "not_run") || strings.HasPrefix(late, "57014") {
		expect(t, "row of "+late, "", run(t, c, "RESET tamarackcross.deadline", "SELECT k FROM t"))
	}
}

const megabyte = 1 << 20

// series returns a query whose answer has n rows of 1 KiB.
func series(n int) *pgproto3.Query {
	return &pgproto3.Query{String: fmt.Sprintf("SELECT repeat('x', 1024) FROM generate_series(1, %d)", n)}
}

// TestLargeResult guards against an answer that is held in memory, and against a
// slow caller that loses its connection although it reads all the time.
func TestLargeResult(t *testing.T) {
	const size, stall = 40 * megabyte, 200 * time.Millisecond
	s := startSite(t)
	s.addEntry(t, entry.WithStallLimit(stall))
	c := dialRaw(t, s.addrs[2])
	_ = c.nc.(*net.TCPConn).SetReadBuffer(megabyte / 8)
	c.start(map[string]string{"user": "app", "database": "app"})
	time.Sleep(stall * 3 / 2) // longer than the limit of a single wait
	var before, now runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	c.fe.Send(series(size / 1024))
	_ = c.fe.Flush()
	buf := make([]byte, megabyte)
	var most uint64
	total, start := 0, time.Now()
	for total < size {
		_ = c.nc.SetReadDeadline(time.Now().Add(testLimit))
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

// TestStalledCaller guards against a caller that takes nothing and thereby holds a
// slot and a connection of a backend server.
func TestStalledCaller(t *testing.T) {
	s := startSite(t)
	s.addEntry(t, entry.WithStallLimit(200*time.Millisecond))
	c := dialRaw(t, s.addrs[2])
	c.start(map[string]string{"user": "app", "database": "app"})
	busy := func() (n int) {
		for i := range 3 {
			n += s.group.Member(i).Busy()
		}
		return n
	}
	c.fe.Send(series(200_000))
	_ = c.fe.Flush()
	eventually(t, "the query never started", func() bool { return busy() > 0 })
	eventually(t, "the slot was not freed", func() bool { return busy() == 0 })
	expect(t, "next", "1", run(t, s.connect(t, 2, ""), "SELECT 1"))
}

// TestLimits guards the limits of callers, handshakes and idle transactions.
func TestLimits(t *testing.T) {
	const limit = 200 * time.Millisecond
	s := startSite(t)
	s.addEntry(t, entry.WithMaxCallers(2), entry.WithIdleTransactionLimit(limit),
		policy(t, func(p *fleet.Settings) { p.HandshakeLimit = limit }))
	half := dialRaw(t, s.addrs[2])
	_, _ = half.nc.Write([]byte{0, 0})
	expect(t, "half-open handshake", "(closed)\n", half.read(5*limit))
	time.Sleep(limit / 4) // the entry counts it as closed

	a, b := s.connect(t, 2, ""), s.connect(t, 2, "")
	_, err := pgx.Connect(bounded(t), "postgres://app@"+s.addrs[2]+"/app?sslmode=disable")
	expect(t, "too many callers", "53300 outcome=not_run reason=too_many", failure(err))
	run(t, a, "BEGIN", "INSERT INTO t (k) VALUES ('a')", "COMMIT")
	run(t, b, "BEGIN", "INSERT INTO t (k) VALUES ('b')")
	time.Sleep(2 * limit)
	expect(t, "idle after a transaction", "1", run(t, a, "SELECT 1"))
	_, err = b.PgConn().Exec(bounded(t), "SELECT 1").ReadAll()
	if err == nil {
		t.Error("an idle transaction was not ended")
	}
	expect(t, "rows", "a", run(t, a, "SELECT k FROM t"))
}

// TestShutdown guards against a shutdown that cuts a request in flight, or that
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
	go func() { left <- e.Shutdown(bounded(t)) }()
	expect(t, "idle caller", "ERROR FATAL 57P01: instance is shutting down (outcome=not_run reason=shutdown), (closed)\n", idle.read(testLimit))
	expect(t, "request in flight", "ok", failure(<-done))
	start := time.Now()
	expect(t, "requests cut", "0", fmt.Sprint(<-left))
	if took := time.Since(start); took > time.Second {
		t.Errorf("shutdown took %s after the last request", took)
	}
	e.Close() // once more, as an instance does
}

func metrics(t testing.TB, e *entry.Server) string {
	var b bytes.Buffer
	if err := e.Stats().WriteText(&b); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

// TestLongTransaction guards against a statement that is refused because its
// transaction is older than the longest wait in a queue.
func TestLongTransaction(t *testing.T) {
	s := startSite(t)
	s.addEntry(t, policy(t, func(p *fleet.Settings) { p.QueueWait = 50 * time.Millisecond }))
	c := s.connect(t, 2, "")
	run(t, c, "BEGIN", "INSERT INTO t (k) VALUES ('a')")
	time.Sleep(100 * time.Millisecond)
	run(t, c, "INSERT INTO t (k) VALUES ('b')", "COMMIT")
}

// TestReadBounds guards against a read that is older than its session allows
// while the replicas lag.
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
		// The session was open before the write, except for its token.
		r := s.connect(t, 1, strings.Replace(tt.params, "TOKEN", w.PgConn().ParameterStatus("tamarackcross.token"), 1))
		run(t, w, fmt.Sprintf("INSERT INTO t (k, v) VALUES ('k%d', 'seen')", i))
		if tt.name == "token" {
			run(t, r, "SET tamarackcross.token = '"+w.PgConn().ParameterStatus("tamarackcross.token")+"'")
		}
		time.Sleep(tt.wait)
		expect(t, tt.name, "seen", run(t, r, fmt.Sprintf("SELECT v FROM t WHERE k = 'k%d'", i)))
	}
}

// TestConcurrentSessions guards against answers and statements of one session that
// reach another, with prepared statements over few backend connections.
func TestConcurrentSessions(t *testing.T) {
	const sessions, rounds = 12, 15
	s := startSite(t)
	errc := make(chan error, sessions)
	for i := range sessions {
		c := s.connect(t, i%2, "")
		go func() { errc <- mixed(c, i, rounds) }()
	}
	for range sessions {
		if err := <-errc; err != nil {
			t.Error(err)
		}
	}
	c := s.connect(t, 0, "&tamarackcross.read_bound=latest")
	rows, err := c.PgConn().Exec(bounded(t), "SELECT k FROM pairs").ReadAll()
	if err != nil {
		t.Fatal(err)
	}
	want := sessions * rounds // two rows for each of the transactions that committed
	if rounds%2 == 1 {
		want += sessions
	}
	expect(t, "rows", fmt.Sprint(want), fmt.Sprint(len(rows[0].Rows)))
}

// mixed runs transactions of two writes, every second of which rolls back, and
// reads that echo a value.
func mixed(c *pgx.Conn, id, rounds int) error {
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
