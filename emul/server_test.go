package emul_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"tamarackcross/emul"
)

const testLimit = 30 * time.Second // a test that takes longer has failed

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
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

// eventually waits until cond holds.
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

func stateOf(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return fmt.Sprint(err)
}

// TestExtendedProtocol guards against a server that pgx cannot use with its
// default prepared statements and binary integers.
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
