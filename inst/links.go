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

	mu    sync.Mutex
	byKey map[linkKey]*link
	wg    sync.WaitGroup
}

// linkKey names a link: the instance and the kind of messages.
type linkKey struct {
	addr  string
	lease bool
}

type link struct {
	key   linkKey
	queue chan message
}

// message is a one-way message to another instance: *ctlpb.SpreadEnvelope or
// *ctlpb.LeaseEnvelope.
type message interface{ GetFrom() string }

func newLinks(ctx context.Context, dial pgctl.DialFunc) *links {
	return &links{dial: dial, ctx: ctx, byKey: make(map[linkKey]*link)}
}

// sendLease queues a message about leases. They have a connection of their own,
// since a copy of the state on the same one would delay them.
func (l *links) sendLease(addr string, env *ctlpb.LeaseEnvelope) {
	l.send(linkKey{addr: addr, lease: true}, env)
}

// sendState queues a message of the state dissemination.
func (l *links) sendState(addr string, env *ctlpb.SpreadEnvelope) { l.send(linkKey{addr: addr}, env) }

func (l *links) send(key linkKey, env message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		return
	}
	k := l.byKey[key]
	if k == nil {
		k = &link{key: key, queue: make(chan message, linkQueue)}
		l.byKey[key] = k
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
			if conn = l.deliver(conn, k.key.addr, env); conn == nil {
				k.drain()
			}
			idle.Reset(linkIdle)
		}
	}
}

// drain drops what waited while the peer was out of reach. It is out of date, and
// sending it one by one would delay what follows by half a second each.
func (k *link) drain() {
	for {
		select {
		case <-k.queue:
		default:
			return
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
	delete(l.byKey, k.key)
	return true
}

// deliver sends one message and returns the connection to use next.
func (l *links) deliver(conn *drpcconn.Conn, addr string, env message) *drpcconn.Conn {
	ctx, stop := context.WithTimeout(l.ctx, linkLimit)
	defer stop()
	if conn == nil {
		nc, err := l.dial(ctx, addr)
		if err != nil {
			return nil
		}
		conn = drpcconn.New(nc)
	}
	if err := call(ctx, ctlpb.NewDRPCPeerClient(conn), env); err != nil {
		_ = conn.Close()
		return nil
	}
	return conn
}

func call(ctx context.Context, c ctlpb.DRPCPeerClient, env message) (err error) {
	switch env := env.(type) {
	case *ctlpb.SpreadEnvelope:
		_, err = c.Spread(ctx, env)
	case *ctlpb.LeaseEnvelope:
		_, err = c.Lease(ctx, env)
	}
	return err
}
