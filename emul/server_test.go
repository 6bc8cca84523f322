package emul_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sourcegraph/conc"

	"tamarackcross/emul"
)

const testTimeout = 30 * time.Second // limit of one step of a test

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func startGroup(t *testing.T, n int, opts ...emul.Option) *emul.Group {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	zones := []string{"a", "b", "c"}[:n]
	g, err := emul.StartGroup(ctx, "db", zones, append([]emul.Option{emul.WithConnectTime(0)}, opts...)...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := g.Close(); err != nil {
			t.Error(err)
		}
	})
	return g
}

func connect(t *testing.T, user, addr string) *pgx.Conn {
	t.Helper()
	c, err := pgx.Connect(testContext(t), fmt.Sprintf("postgres://%s@%s/db?sslmode=prefer", user, addr))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(context.Background()) })
	return c
}

func exec(t *testing.T, c *pgx.Conn, sql string, args ...any) {
	t.Helper()
	if _, err := c.Exec(testContext(t), sql, args...); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
}

// eventually waits until cond holds, and fails the test if it does not in time.
func eventually(t *testing.T, cond func() bool) {
	t.Helper()
	ctx := testContext(t)
	for !cond() {
		select {
		case <-ctx.Done():
			t.Fatal("condition did not hold in time")
		case <-time.After(time.Millisecond):
		}
	}
}

func sqlStateOf(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return fmt.Sprint(err)
}

// TestExtendedProtocol guards against a server that pgx cannot use with its
// defaults: prepared statements and binary integers.
func TestExtendedProtocol(t *testing.T) {
	g := startGroup(t, 1)
	c := connect(t, "app", g.Addr(0))
	ctx := testContext(t)
	exec(t, c, "INSERT INTO t (k, v) VALUES ($1, $2)", "a", "1")
	if got := c.PgConn().ParameterStatus("group_position"); got != "1/1" {
		t.Errorf("position %q, want 1/1", got)
	}
	var v string
	if err := c.QueryRow(ctx, "SELECT v FROM t WHERE k = $1", "a").Scan(&v); err != nil || v != "1" {
		t.Errorf("got %q, %v", v, err)
	}
	var n int64
	if err := c.QueryRow(ctx, "SELECT count(*) FROM t").Scan(&n); err != nil || n != 1 {
		t.Errorf("got %d, %v", n, err)
	}
	sum := int64(0)
	rows, err := c.Query(ctx, "SELECT generate_series(1, 1000)")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := pgx.ForEachRow(rows, []any{&n}, func() error { sum += n; return nil }); err != nil || sum != 500500 {
		t.Errorf("sum %d, %v", sum, err)
	}
}

// TestBatchIsOneTransaction guards against a pipelined batch whose statements commit
// one by one. An error of the last statement must roll back the first.
func TestBatchIsOneTransaction(t *testing.T) {
	g := startGroup(t, 1)
	c := connect(t, "app", g.Addr(0))
	exec(t, c, "INSERT INTO t VALUES ('a', '1')")
	var b pgx.Batch
	b.Queue("INSERT INTO t VALUES ($1, '1')", "b")
	b.Queue("INSERT INTO t VALUES ($1, '1')", "a")
	err := c.SendBatch(testContext(t), &b).Close()
	if sqlStateOf(err) != "23505" {
		t.Errorf("got %v, want 23505", err)
	}
	if _, ok := g.Member(0).Value("t", "b"); ok {
		t.Error("the first statement of a failed batch was committed")
	}
	exec(t, c, "SELECT 1")
}

// TestPortalLimit guards against rows that are lost at a row limit, and against a
// commit position that is sent after CommandComplete.
func TestPortalLimit(t *testing.T) {
	g := startGroup(t, 1)
	h, err := connect(t, "app", g.Addr(0)).PgConn().Hijack()
	if err != nil {
		t.Fatal(err)
	}
	defer h.Conn.Close()
	h.Frontend.Send(&pgproto3.Parse{Query: "SELECT generate_series($1, $2)"})
	h.Frontend.Send(&pgproto3.Describe{ObjectType: 'S'})
	h.Frontend.Send(&pgproto3.Bind{Parameters: [][]byte{[]byte("1"), []byte("3")}})
	h.Frontend.Send(&pgproto3.Execute{MaxRows: 2})
	h.Frontend.Send(&pgproto3.Execute{MaxRows: 2})
	h.Frontend.Send(&pgproto3.Parse{Name: "w", Query: "INSERT INTO t VALUES ('a', '1')"})
	h.Frontend.Send(&pgproto3.Bind{PreparedStatement: "w"})
	h.Frontend.Send(&pgproto3.Describe{ObjectType: 'P'})
	h.Frontend.Send(&pgproto3.Execute{})
	h.Frontend.Send(&pgproto3.Sync{})
	h.Frontend.Send(&pgproto3.Bind{PreparedStatement: "none"})
	h.Frontend.Send(&pgproto3.Execute{})
	h.Frontend.Send(&pgproto3.Sync{})
	if err := h.Frontend.Flush(); err != nil {
		t.Fatal(err)
	}
	var got []string
	for ready := 0; ready < 2; {
		msg, err := h.Frontend.Receive()
		if err != nil {
			t.Fatal(err)
		}
		name := strings.TrimPrefix(fmt.Sprintf("%T", msg), "*pgproto3.")
		switch msg := msg.(type) {
		case *pgproto3.ParameterStatus:
			name = msg.Value
		case *pgproto3.ErrorResponse:
			name = msg.Code
		case *pgproto3.ReadyForQuery:
			ready++
		}
		got = append(got, name)
	}
	want := strings.Fields(`ParseComplete ParameterDescription RowDescription BindComplete
		0/0 DataRow DataRow PortalSuspended DataRow CommandComplete
		ParseComplete BindComplete NoData 1/1 CommandComplete ReadyForQuery 26000 ReadyForQuery`)
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// TestConflictWaits guards against two transactions that both insert the same key.
// The second must wait for the first and see its outcome.
func TestConflictWaits(t *testing.T) {
	for _, end := range []string{"COMMIT", "ROLLBACK"} {
		g := startGroup(t, 1, emul.WithSlots(1))
		first, second := connect(t, "app", g.Addr(0)), connect(t, "app", g.Addr(0))
		exec(t, first, "BEGIN")
		exec(t, first, "INSERT INTO t VALUES ('a', 'first')")
		result := make(chan error, 1)
		go func() {
			_, err := second.Exec(context.Background(), "INSERT INTO t VALUES ('a', 'second')")
			result <- err
		}()
		exec(t, first, "SELECT 1") // the waiting insert must not hold the only slot
		select {
		case err := <-result:
			t.Fatalf("the second insert did not wait: %v", err)
		case <-time.After(20 * time.Millisecond):
		}
		exec(t, first, end)
		err := <-result
		if committed := end == "COMMIT"; committed != (sqlStateOf(err) == "23505") {
			t.Errorf("after %s: %v", end, err)
		}
	}
}

// TestCancel guards against statements that cannot be cancelled while they
// sleep, wait for a slot or wait for a lock.
func TestCancel(t *testing.T) {
	g := startGroup(t, 1, emul.WithSlots(1))
	holder := connect(t, "app", g.Addr(0))
	exec(t, holder, "BEGIN")
	exec(t, holder, "INSERT INTO t VALUES ('a', '1')")
	sleep, slot, lock := connect(t, "app", g.Addr(0)), connect(t, "app", g.Addr(0)), connect(t, "app", g.Addr(0))
	results := make(map[*pgx.Conn]chan error)
	start := func(c *pgx.Conn, sql string) {
		result := make(chan error, 1)
		results[c] = result
		go func() {
			_, err := c.Exec(context.Background(), sql)
			result <- err
		}()
	}
	start(sleep, "SELECT pg_sleep(100)")
	eventually(t, func() bool { return g.Member(0).BusySlots() == 1 })
	start(lock, "INSERT INTO t VALUES ('a', '2')")
	start(slot, "SELECT 1")
	for _, c := range []*pgx.Conn{lock, slot, sleep} {
		var err error
		eventually(t, func() bool { // a cancel request that arrives before its statement has no effect
			if err := c.PgConn().CancelRequest(testContext(t)); err != nil {
				t.Fatal(err)
			}
			select {
			case err = <-results[c]:
				return true
			default:
				return false
			}
		})
		if sqlStateOf(err) != "57014" {
			t.Errorf("got %v, want 57014", err)
		}
	}
	exec(t, holder, "COMMIT")
}

// TestConnectionLimit guards against a connection limit that also applies to the
// roles for control and replication.
func TestConnectionLimit(t *testing.T) {
	g := startGroup(t, 1, emul.WithConnections(1), emul.WithSlots(1))
	first := connect(t, "app", g.Addr(0))
	_, err := pgx.Connect(testContext(t), "postgres://app@"+g.Addr(0)+"/db?sslmode=disable")
	if sqlStateOf(err) != "53300" {
		t.Errorf("got %v, want 53300", err)
	}
	exec(t, connect(t, "tamarackcross", g.Addr(0)), "SHOW group_status")
	if err := first.Close(testContext(t)); err != nil {
		t.Fatal(err)
	}
	eventually(t, func() bool {
		c, err := pgx.Connect(testContext(t), "postgres://app@"+g.Addr(0)+"/db?sslmode=disable")
		return err == nil && c.Close(testContext(t)) == nil
	})
}

// TestSlots guards against more statements that execute at the same time than there
// are slots.
func TestSlots(t *testing.T) {
	const clients, slots, service = 6, 2, 10 * time.Millisecond
	g := startGroup(t, 1, emul.WithSlots(slots), emul.WithServiceTime(service))
	started := time.Now()
	var wg conc.WaitGroup
	for range clients {
		c := connect(t, "app", g.Addr(0))
		wg.Go(func() {
			if _, err := c.Exec(context.Background(), "SELECT 1"); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	if took, least := time.Since(started), clients/slots*service; took < least {
		t.Errorf("%d statements took %v in %d slots, want at least %v", clients, took, slots, least)
	}
}
