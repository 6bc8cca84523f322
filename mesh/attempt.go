package mesh

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcconn"
)

// dialResult is the result of one attempt to connect.
type dialResult struct {
	conn net.Conn
	err  error
}

// dialOverlapping opens a connection. It starts an attempt every dialTimeout and returns the
// result of the one that ends first.
func dialOverlapping(ctx context.Context, dial DialFunc, addr string) (net.Conn, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	results := make(chan dialResult)
	attempt := func() {
		conn, err := dial(ctx, addr)
		select {
		case results <- dialResult{conn: conn, err: err}:
		case <-ctx.Done():
			if err == nil {
				_ = conn.Close()
			}
		}
	}
	next := time.NewTicker(dialTimeout)
	defer next.Stop()
	go attempt()
	for {
		select {
		case r := <-results:
			return r.conn, r.err
		case <-next.C:
			go attempt()
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

type (
	openFunc func(ctx context.Context) (*drpcconn.Conn, error)
	// invokeFunc makes one call on a connection and stores the reply in out.
	invokeFunc[Out any] func(ctx context.Context, conn *drpcconn.Conn, out *Out) error
)

// invokeResult is the result of one attempt to call. conn is open if err is nil.
type invokeResult[Out any] struct {
	conn *drpcconn.Conn
	out  *Out
	err  error
}

// invokeOnce makes one attempt to call, on the connection kept unless it is nil.
func invokeOnce[Out any](ctx context.Context, kept *drpcconn.Conn, open openFunc, invoke invokeFunc[Out]) invokeResult[Out] {
	r := invokeResult[Out]{conn: kept, out: new(Out)}
	if r.conn == nil {
		if r.conn, r.err = open(ctx); r.err != nil {
			return r
		}
	}
	if r.err = invoke(ctx, r.conn, r.out); r.err != nil {
		_ = r.conn.Close()
	}
	return r
}

// attemptInterval is the time after which another attempt starts of a call that is not held.
const attemptInterval = 1500 * time.Millisecond

// invokeOverlapping starts an attempt to call every interval unless one is connecting, the first
// one on the connection kept. It returns the first success, or the error of the last attempt under
// way.
func invokeOverlapping[Out any](ctx context.Context, kept *drpcconn.Conn, open openFunc, invoke invokeFunc[Out], interval time.Duration) invokeResult[Out] {
	ctx, stop := context.WithCancel(ctx)
	var connecting atomic.Int32
	countedOpen := func(ctx context.Context) (*drpcconn.Conn, error) {
		connecting.Add(1)
		defer connecting.Add(-1)
		return open(ctx)
	}
	results, pending := make(chan invokeResult[Out]), 0
	attempt := func(kept *drpcconn.Conn) {
		pending++
		go func() { results <- invokeOnce(ctx, kept, countedOpen, invoke) }()
	}
	next := time.NewTicker(interval)
	defer next.Stop()
	attempt(kept)
	for {
		select {
		case <-next.C:
			if connecting.Load() == 0 {
				attempt(nil)
			}
		case r := <-results:
			if pending--; r.err == nil || pending == 0 {
				stop()
				discard(results, pending)
				return r
			}
		}
	}
}

// discard waits for n results and closes their connections.
func discard[Out any](results <-chan invokeResult[Out], n int) {
	for range n {
		if r := <-results; r.err == nil {
			_ = r.conn.Close()
		}
	}
}
