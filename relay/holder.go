package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"tamarackcross/proxy"
)

// Holder serves requests that other instances forward.
type Holder interface {
	// HandleForwarded serves the requests of one link, a unit of work at a time, until
	// the link ends.
	HandleForwarded(proxy.Caller)
}

// Register registers the drpc methods of a holder with mux.
func Register(mux *drpcmux.Mux, h Holder) error { return mux.Register(server{h}, description{}) }

// server adapts a Holder to drpc.
type server struct{ holder Holder }

// description lists the methods for drpc.
type description struct{}

// NumMethods returns the number of methods.
func (description) NumMethods() int { return 2 }

// Method describes the method with number n.
func (description) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	switch n {
	case 0:
		return callServe, encoding{}, streamReceiver, server.serveStream, true
	case 1:
		return callPing, encoding{}, unaryReceiver(server.ping), server.ping, true
	default:
		return "", nil, nil, nil, false
	}
}

func (s server) serveStream(stream drpc.Stream) error {
	c := newCodec(stream)
	s.holder.HandleForwarded(c)
	return <-c.readDone
}

func (server) ping(context.Context, *ping) (*ping, error) { return &ping{}, nil }

var errMessageType = eris.New("relay: drpc passed a message of the wrong type")

func streamReceiver(srv any, _ context.Context, in1, _ any) (drpc.Message, error) {
	s, ok := srv.(server)
	stream, fits := in1.(drpc.Stream)
	if !ok || !fits {
		return nil, errMessageType
	}
	return nil, s.serveStream(stream)
}

func unaryReceiver[In, Out any](f func(server, context.Context, *In) (*Out, error)) drpc.Receiver {
	return func(srv any, ctx context.Context, in1, _ any) (drpc.Message, error) {
		s, ok := srv.(server)
		in, fits := in1.(*In)
		if !ok || !fits {
			return nil, errMessageType
		}
		return f(s, ctx, in)
	}
}

// codec is the proxy.Caller of a link at the holder. Its caller is the instance at the
// other end of the stream.
type codec struct {
	stream      drpc.Stream
	requests    chan proxy.Request
	running     atomic.Bool // a request that Next returned has no answer yet
	interrupted chan struct{}
	once        sync.Once
	readDone    chan error // receives the result of read
}

func newCodec(stream drpc.Stream) *codec {
	c := &codec{stream: stream, requests: make(chan proxy.Request), interrupted: make(chan struct{}), readDone: make(chan error, 1)}
	go func() { c.readDone <- c.read() }()
	return c
}

// read passes the requests of the stream to Next until the stream ends.
func (c *codec) read() error {
	defer close(c.requests)
	for {
		h := new(forwardedRequest)
		if err := c.stream.MsgRecv(h, encoding{}); err != nil {
			return nil // the link has ended
		}
		req, err := h.decode()
		if err != nil {
			return err
		}
		select {
		case c.requests <- req:
		case <-c.stream.Context().Done():
			return nil
		case <-c.interrupted:
			return nil
		}
	}
}

// ReadStartup does nothing: a link has no startup message, and each request carries its
// database and user.
func (c *codec) ReadStartup(time.Duration) (database, user string, err error) { return "", "", nil }

// SendReady does nothing: the other instance awaits no message before its first request.
func (c *codec) SendReady() error { return nil }

// Refuse closes the link, without the fault: the other instance forwards the request to
// another holder.
func (c *codec) Refuse(*proxy.Fault) error {
	c.running.Store(false)
	return c.Close()
}

// Next waits for a request, at most limit if limit is not 0.
func (c *codec) Next(limit time.Duration) (proxy.Request, error) {
	var idle <-chan time.Time
	if limit > 0 {
		t := time.NewTimer(limit)
		defer t.Stop()
		idle = t.C
	}
	select {
	case req, ok := <-c.requests:
		if !ok {
			return proxy.Request{}, eris.New("relay: the link has ended and brings no further request")
		}
		c.running.Store(true)
		return req, nil
	case <-idle:
		return proxy.Request{}, proxy.ErrIdle
	case <-c.interrupted:
		return proxy.Request{}, proxy.ErrInterrupted
	}
}

// Reply answers the last request that Next returned.
func (c *codec) Reply(a proxy.Answer) error {
	if err := c.stream.MsgSend(encodeAnswer(a), encoding{}); err != nil {
		return err
	}
	c.running.Store(false)
	return nil
}

// Gone reports whether the other instance has closed the link, as it does when its caller leaves.
func (c *codec) Gone() bool { return isClosed(c.stream.Context().Done()) }

// Interrupt makes Next return ErrInterrupted. Close then says that no request was taken.
func (c *codec) Interrupt() { c.once.Do(func() { close(c.interrupted) }) }

// Close tells the other instance that no further request is processed, and closes the
// sending side of the stream. While a request runs, it says nothing: that one may have been processed.
func (c *codec) Close() error {
	c.Interrupt()
	if c.running.Load() {
		return c.stream.CloseSend()
	}
	if err := c.stream.MsgSend(&reply{Closed: true}, encoding{}); err != nil {
		return err
	}
	return c.stream.CloseSend()
}
