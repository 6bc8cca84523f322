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
	peerQueueSize   = 64                     // messages; when the queue is full, new ones are dropped
	sendTimeout     = 500 * time.Millisecond // for one message, with the dial
	peerIdleTimeout = 10 * time.Second       // after which an unused connection is closed
)

// peerConns sends one-way messages to other instances. It opens a connection at
// first use and closes it when idle, so that the number of connections does not
// grow with the fleet. A message may be lost: the state dissemination compares
// digests and fetches what is missing, and leases are renewed.
type peerConns struct {
	dial pgctl.DialFunc
	ctx  context.Context

	mu    sync.Mutex
	conns map[connKey]*peerConn
	wg    sync.WaitGroup
}

// connKey identifies a connection by the address of the instance and the kind
// of messages.
type connKey struct {
	addr  string
	lease bool
}

// peerConn is a connection to another instance with its send queue.
type peerConn struct {
	key   connKey
	queue chan message
}

// message is a one-way message to another instance: *ctlpb.SpreadEnvelope or
// *ctlpb.LeaseEnvelope.
type message interface{ GetFrom() string }

func newPeerConns(ctx context.Context, dial pgctl.DialFunc) *peerConns {
	return &peerConns{dial: dial, ctx: ctx, conns: make(map[connKey]*peerConn)}
}

// sendLease queues a message about leases. These messages have a connection of
// their own: behind a copy of the whole state they would be delayed.
func (l *peerConns) sendLease(addr string, m *ctlpb.LeaseEnvelope) {
	l.send(connKey{addr: addr, lease: true}, m)
}

// sendState queues a message of the state dissemination.
func (l *peerConns) sendState(addr string, m *ctlpb.SpreadEnvelope) { l.send(connKey{addr: addr}, m) }

// send queues a message and starts the goroutine of its connection if there is
// none. It drops the message if the queue is full.
func (l *peerConns) send(key connKey, m message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		return
	}
	k := l.conns[key]
	if k == nil {
		k = &peerConn{key: key, queue: make(chan message, peerQueueSize)}
		l.conns[key] = k
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			l.run(k)
		}()
	}
	select {
	case k.queue <- m:
	default:
	}
}

// wait waits for all goroutines, which end with the context.
func (l *peerConns) wait() { l.wg.Wait() }

// run sends queued messages until the connection was idle for peerIdleTimeout.
func (l *peerConns) run(k *peerConn) {
	var conn *drpcconn.Conn
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	idle := time.NewTimer(peerIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-idle.C:
			if l.removeIdle(k) {
				return
			}
			idle.Reset(peerIdleTimeout)
		case m := <-k.queue:
			if conn = l.deliver(conn, k.key.addr, m); conn == nil {
				k.discardQueued()
			}
			idle.Reset(peerIdleTimeout)
		}
	}
}

// discardQueued drops the messages that were queued while the peer did not answer.
// They are out of date, and each of them could delay later messages by half a second
// (sendTimeout).
func (k *peerConn) discardQueued() {
	for {
		select {
		case <-k.queue:
		default:
			return
		}
	}
}

// removeIdle removes an idle connection and returns true, unless a message has been
// queued in the meantime.
func (l *peerConns) removeIdle(k *peerConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(k.queue) > 0 {
		return false
	}
	delete(l.conns, k.key)
	return true
}

// deliver sends one message over conn, or over a new connection if conn is nil. It
// returns the connection for the next message, or nil after a failure.
func (l *peerConns) deliver(conn *drpcconn.Conn, addr string, m message) *drpcconn.Conn {
	ctx, stop := context.WithTimeout(l.ctx, sendTimeout)
	defer stop()
	if conn == nil {
		nc, err := l.dial(ctx, addr)
		if err != nil {
			return nil
		}
		conn = drpcconn.New(nc)
	}
	if err := call(ctx, ctlpb.NewDRPCPeerClient(conn), m); err != nil {
		_ = conn.Close()
		return nil
	}
	return conn
}

func call(ctx context.Context, c ctlpb.DRPCPeerClient, m message) (err error) {
	switch m := m.(type) {
	case *ctlpb.SpreadEnvelope:
		_, err = c.Spread(ctx, m)
	case *ctlpb.LeaseEnvelope:
		_, err = c.Lease(ctx, m)
	}
	return err
}
