package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"tamarackcross/group"
	"tamarackcross/mesh"
	"tamarackcross/proxy"
)

// Links opens links to other instances.
type Links struct {
	dial mesh.DialFunc

	mu    sync.Mutex
	calls map[string]*drpcconn.Conn
}

// NewLinks returns links over connections that dial opens.
func NewLinks(dial mesh.DialFunc) *Links {
	return &Links{dial: dial, calls: make(map[string]*drpcconn.Conn)}
}

// Open opens a link to the instance at addr.
func (l *Links) Open(ctx context.Context, addr string) (proxy.Link, error) {
	nc, err := l.dial(ctx, addr)
	if err != nil {
		return nil, eris.Wrapf(err, "relay: reach %s", addr)
	}
	conn := drpcconn.New(nc)
	sctx, cancel := context.WithCancel(context.Background())
	stream, err := conn.NewStream(sctx, callServe, encoding{})
	if err != nil {
		cancel()
		return nil, errors.Join(eris.Wrapf(err, "relay: open at %s", addr), conn.Close())
	}
	return &link{conn: conn, stream: stream, cancel: cancel}, nil
}

// Ping asks the instance at addr whether it answers.
func (l *Links) Ping(ctx context.Context, addr string) error {
	return l.call(ctx, addr, callPing, &ping{}, &ping{})
}

// Newest returns the newest proof that the instance at addr has of a service.
func (l *Links) Newest(ctx context.Context, addr, service string) (proxy.Proof, error) {
	out := new(proof)
	if err := l.call(ctx, addr, callProof, &ask{Service: service}, out); err != nil {
		return proxy.Proof{}, err
	}
	if !out.Known {
		return proxy.Proof{}, errUnknown
	}
	return proxy.Proof{
		Member: out.Member, Position: group.Position{Term: out.Term, Offset: out.Offset}, Age: out.Age, Lags: out.Lags,
	}, nil
}

var errUnknown = eris.New("relay: the instance has no proof of the service")

// call makes one call. Its connection is kept for the next one.
func (l *Links) call(ctx context.Context, addr, name string, in, out any) error {
	l.mu.Lock()
	conn := l.calls[addr]
	delete(l.calls, addr)
	l.mu.Unlock()
	if conn == nil || isClosed(conn.Closed()) {
		nc, err := l.dial(ctx, addr)
		if err != nil {
			return eris.Wrapf(err, "relay: reach %s", addr)
		}
		conn = drpcconn.New(nc)
	}
	if err := conn.Invoke(ctx, name, encoding{}, in, out); err != nil {
		return errors.Join(eris.Wrapf(err, "relay: call %s at %s", name, addr), conn.Close())
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.calls[addr] != nil {
		return conn.Close()
	}
	l.calls[addr] = conn
	return nil
}

// Close closes what is kept for calls.
func (l *Links) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	var errs []error
	for addr, conn := range l.calls {
		errs = append(errs, conn.Close())
		delete(l.calls, addr)
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

// link is one stream to a holder.
type link struct {
	conn   *drpcconn.Conn
	stream drpc.Stream
	cancel context.CancelFunc
	once   sync.Once
}

// Exchange passes on a request and waits for its answer.
func (l *link) Exchange(d proxy.Delegated, limit time.Duration) (proxy.Answer, error) {
	h, err := encode(d)
	if err != nil {
		return proxy.Answer{}, errors.Join(proxy.ErrNotProcessed, err)
	}
	cut := time.AfterFunc(limit, func() { _ = l.Close() })
	defer cut.Stop()
	if err := l.stream.MsgSend(h, encoding{}); err != nil {
		return proxy.Answer{}, l.refusal(err)
	}
	r := new(reply)
	if err := l.stream.MsgRecv(r, encoding{}); err != nil {
		return proxy.Answer{}, eris.Wrap(err, "relay: answer")
	}
	if r.Closed {
		return proxy.Answer{}, proxy.ErrNotProcessed
	}
	return r.answer(), nil
}

// refusal looks whether the holder closed the link before a request could be sent.
func (l *link) refusal(err error) error {
	r := new(reply)
	if rerr := l.stream.MsgRecv(r, encoding{}); rerr == nil && r.Closed {
		return proxy.ErrNotProcessed
	}
	return eris.Wrap(err, "relay: request")
}

// Alive reports whether the link is open as far as is known here.
func (l *link) Alive() bool {
	return !isClosed(l.conn.Closed()) && !isClosed(l.stream.Context().Done())
}

// Close ends the link.
func (l *link) Close() error {
	var err error
	l.once.Do(func() {
		l.cancel()
		err = l.conn.Close()
	})
	return err
}
