package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"tamarackcross/mesh"
	"tamarackcross/proxy"
)

// Links is the client for other instances of the zone. It opens links to holders, and
// makes short calls on connections of their own.
type Links struct {
	dial mesh.DialFunc

	mu        sync.Mutex
	idleConns map[string]*drpcconn.Conn // by address; at most one idle connection each
}

// NewLinks returns a client that opens its connections with dial.
func NewLinks(dial mesh.DialFunc) *Links {
	return &Links{dial: dial, idleConns: make(map[string]*drpcconn.Conn)}
}

// Open opens a link to the holder at addr.
func (l *Links) Open(ctx context.Context, addr string) (proxy.Link, error) {
	nc, err := l.dial(ctx, addr)
	if err != nil {
		return nil, eris.Wrapf(err, "relay: connect to %s", addr)
	}
	conn := drpcconn.New(nc)
	sctx, cancel := context.WithCancel(context.Background())
	stream, err := conn.NewStream(sctx, callServe, encoding{})
	if err != nil {
		cancel()
		return nil, errors.Join(eris.Wrapf(err, "relay: open stream to %s", addr), conn.Close())
	}
	return &link{conn: conn, stream: stream, cancel: cancel}, nil
}

// Ping returns nil if the instance at addr answers.
func (l *Links) Ping(ctx context.Context, addr string) error {
	return l.call(ctx, addr, callPing, &ping{}, &ping{})
}

// call makes one drpc call. After a success its connection is kept for the next call to
// the same address, unless another call has put one back already.
func (l *Links) call(ctx context.Context, addr, name string, in, out any) error {
	l.mu.Lock()
	conn := l.idleConns[addr]
	delete(l.idleConns, addr)
	l.mu.Unlock()
	if conn == nil || isClosed(conn.Closed()) {
		nc, err := l.dial(ctx, addr)
		if err != nil {
			return eris.Wrapf(err, "relay: connect to %s", addr)
		}
		conn = drpcconn.New(nc)
	}
	if err := conn.Invoke(ctx, name, encoding{}, in, out); err != nil {
		return errors.Join(eris.Wrapf(err, "relay: call %s at %s", name, addr), conn.Close())
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.idleConns[addr] != nil {
		return conn.Close()
	}
	l.idleConns[addr] = conn
	return nil
}

// Close closes the idle connections. Open links are not affected.
func (l *Links) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	var errs []error
	for addr, conn := range l.idleConns {
		errs = append(errs, conn.Close())
		delete(l.idleConns, addr)
	}
	return errors.Join(errs...)
}

func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// link is a drpc stream to a holder, on a connection of its own.
type link struct {
	conn   *drpcconn.Conn
	stream drpc.Stream
	cancel context.CancelFunc
	once   sync.Once
}

// Exchange sends a request and waits at most limit for its answer. When the limit has
// passed, it closes the link.
func (l *link) Exchange(d proxy.Forwarded, limit time.Duration) (proxy.Answer, error) {
	h, err := encode(d)
	if err != nil {
		return proxy.Answer{}, errors.Join(proxy.ErrNotProcessed, err)
	}
	timer := time.AfterFunc(limit, func() { _ = l.Close() })
	defer timer.Stop()
	if err := l.stream.MsgSend(h, encoding{}); err != nil {
		return proxy.Answer{}, l.sendError(err)
	}
	r := new(reply)
	if err := l.stream.MsgRecv(r, encoding{}); err != nil {
		return proxy.Answer{}, eris.Wrap(err, "relay: receive answer")
	}
	if r.Closed {
		return proxy.Answer{}, proxy.ErrNotProcessed
	}
	return r.answer(), nil
}

// sendError returns the error of a request that could not be sent. It is
// ErrNotProcessed if the holder announced that it closes the link.
func (l *link) sendError(err error) error {
	r := new(reply)
	if rerr := l.stream.MsgRecv(r, encoding{}); rerr == nil && r.Closed {
		return proxy.ErrNotProcessed
	}
	return eris.Wrap(err, "relay: send request")
}

// Alive reports whether the link is open, as far as can be told without sending.
func (l *link) Alive() bool {
	return !isClosed(l.conn.Closed()) && !isClosed(l.stream.Context().Done())
}

// Close closes the link and its connection.
func (l *link) Close() error {
	var err error
	l.once.Do(func() {
		l.cancel()
		err = l.conn.Close()
	})
	return err
}
