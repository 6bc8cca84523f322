package emul_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"tamarackcross/emul"
)

func benchmarkConn(b *testing.B, members int) *pgx.Conn {
	b.Helper()
	g, err := emul.StartGroup(b.Context(), "db", []string{"a", "b", "c"}[:members], emul.WithConnectTime(0))
	if err != nil {
		b.Fatal(err)
	}
	c, err := pgx.Connect(b.Context(), "postgres://app@"+g.Addr(0)+"/db?sslmode=disable")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		c.Close(b.Context())
		if err := g.Close(); err != nil {
			b.Error(err)
		}
	})
	return c
}

// BenchmarkRead measures one prepared read over loopback.
func BenchmarkRead(b *testing.B) {
	c := benchmarkConn(b, 1)
	var v string
	if _, err := c.Exec(b.Context(), "INSERT INTO t VALUES ('a', '1')"); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if err := c.QueryRow(b.Context(), "SELECT v FROM t WHERE k = $1", "a").Scan(&v); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkWrite measures one autocommit write in a group of three.
func BenchmarkWrite(b *testing.B) {
	c := benchmarkConn(b, 3)
	for b.Loop() {
		if _, err := c.Exec(b.Context(), "INSERT INTO t VALUES ($1, '1') ON CONFLICT (k) DO UPDATE SET v = '1'", "a"); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkNetwork measures one prepared read through a Network with a one-way
// latency of 0.5 ms.
func BenchmarkNetwork(b *testing.B) {
	n := emul.NewNetwork(emul.WithLatency("a", "b", 500*time.Microsecond))
	b.Cleanup(n.Close)
	g, err := emul.StartGroup(b.Context(), "db", []string{"a"}, emul.WithNetwork(n))
	if err != nil {
		b.Fatal(err)
	}
	cfg, err := pgx.ParseConfig("postgres://app@" + g.Addr(0) + "/db?sslmode=disable")
	if err != nil {
		b.Fatal(err)
	}
	dial := n.Dialer("entry", "b")
	cfg.DialFunc = func(ctx context.Context, _, addr string) (net.Conn, error) { return dial(ctx, addr) }
	c, err := pgx.ConnectConfig(b.Context(), cfg)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := c.Exec(b.Context(), "SELECT v FROM t WHERE k = $1", "a"); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkRows measures sending one row of a large result.
func BenchmarkRows(b *testing.B) {
	c := benchmarkConn(b, 1)
	rows, err := c.Query(b.Context(), "SELECT repeat('x', 100) FROM generate_series(1, 1000000000)")
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if !rows.Next() {
			b.Fatal(rows.Err())
		}
	}
}
