package inst

import (
	"context"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"

	"tamarackcross/ctlpb"
	"tamarackcross/pgctl"
)

const (
	linkQueue = 64                     // messages that wait for one peer; more are dropped
	linkLimit = 500 * time.Millisecond // for one message
	linkIdle  = 10 * time.Second       // an unused connection is closed after this
)

// links carries one-way messages to other instances. A connection is opened at
// first use and closed when idle, so that their number does not grow with the
// fleet. Losing a message is safe: digests repair what is missed.
type links struct {
	dial pgctl.DialFunc
	ctx  context.Context

	mu     sync.Mutex
	byAddr map[string]*link
	wg     sync.WaitGroup
}

type link struct {
	addr  string
	queue chan *ctlpb.SpreadEnvelope
}

func newLinks(ctx context.Context, dial pgctl.DialFunc) *links {
	return &links{dial: dial, ctx: ctx, byAddr: make(map[string]*link)}
}

// send queues a message to the instance at addr.
func (l *links) send(addr string, env *ctlpb.SpreadEnvelope) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		return
	}
	k := l.byAddr[addr]
	if k == nil {
		k = &link{addr: addr, queue: make(chan *ctlpb.SpreadEnvelope, linkQueue)}
		l.byAddr[addr] = k
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			l.run(k)
		}()
	}
	select {
	case k.queue <- env:
	default:
	}
}

// wait waits for the end of all goroutines after the context has ended.
func (l *links) wait() { l.wg.Wait() }

// run sends until the link was idle for linkIdle.
func (l *links) run(k *link) {
	var conn *drpcconn.Conn
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	idle := time.NewTimer(linkIdle)
	defer idle.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-idle.C:
			if l.retire(k) {
				return
			}
			idle.Reset(linkIdle)
		case env := <-k.queue:
			conn = l.deliver(conn, k.addr, env)
			idle.Reset(linkIdle)
		}
	}
}

// retire forgets an idle link, unless a message came in the meantime.
func (l *links) retire(k *link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(k.queue) > 0 {
		return false
	}
	delete(l.byAddr, k.addr)
	return true
}

// deliver sends one message and returns the connection to use next.
func (l *links) deliver(conn *drpcconn.Conn, addr string, env *ctlpb.SpreadEnvelope) *drpcconn.Conn {
	ctx, stop := context.WithTimeout(l.ctx, linkLimit)
	defer stop()
	if conn == nil {
		nc, err := l.dial(ctx, addr)
		if err != nil {
			return nil
		}
		conn = drpcconn.New(nc)
	}
	if _, err := ctlpb.NewDRPCPeerClient(conn).Spread(ctx, env); err != nil {
		_ = conn.Close()
		return nil
	}
	return conn
}
