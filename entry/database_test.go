package entry_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"testing"

	"github.com/jackc/pgx/v5/pgconn"

	"tamarackcross/emul"
	"tamarackcross/entry"
	"tamarackcross/token"
)

// BenchmarkDatabase measures the memory of an entry for each database that it serves:
// the watch, the routing state and the members with one connection each.
func BenchmarkDatabase(b *testing.B) {
	const databases = 32
	ctx := context.Background()
	dir := entry.NewStaticDirectory()
	for i := range databases {
		name := fmt.Sprintf("app-%02d", i)
		g, err := emul.StartGroup(ctx, name, []string{"a", "b", "c"}, emul.WithConnectTime(0))
		if err != nil {
			b.Fatal(err)
		}
		defer g.Close()
		view := directoryOf(b, g)
		view.Database = name
		dir.Set(view)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	e := entry.New(dir, token.New(tokenKey))
	done := make(chan error, 1)
	go func() { done <- e.Serve(ctx, l) }()
	defer func() {
		_ = l.Close()
		e.Close()
		<-done
	}()
	before := memory()
	for i := range databases {
		useDatabase(b, l.Addr().String(), fmt.Sprintf("app-%02d", i))
	}
	for b.Loop() {
		runtime.Gosched()
	}
	b.ReportMetric(float64(memory()-before)/databases, "bytes/database")
}

// useDatabase makes the entry serve one read, which starts the watch of the database.
func useDatabase(b *testing.B, addr, name string) {
	b.Helper()
	c, err := pgconn.Connect(context.Background(), "postgres://app@"+addr+"/"+name+"?sslmode=disable")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = c.Close(context.Background()) }()
	if _, err := c.Exec(context.Background(), "SELECT v FROM t WHERE k = 'a'").ReadAll(); err != nil {
		b.Fatal(err)
	}
}

// memory returns the bytes of heap and stacks in use after garbage collection.
func memory() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
