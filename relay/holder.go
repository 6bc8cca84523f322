package relay

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"tamarackcross/proxy"
)

// Holder serves other instances.
type Holder interface {
	// HandleDelegated serves one unit of work after another, until the link ends.
	HandleDelegated(proxy.Caller)
	// Newest returns the newest proof of a service.
	Newest(service string) (proxy.Proof, bool)
}

// Register adds the calls of a holder to mux.
func Register(mux *drpcmux.Mux, h Holder) error { return mux.Register(server{h}, description{}) }

// server answers the calls.
type server struct{ holder Holder }

// description lists the calls for drpc.
type description struct{}

// NumMethods returns the number of calls.
func (description) NumMethods() int { return 3 }

// Method describes one call.
func (description) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	switch n {
	case 0:
		return callServe, encoding{}, serve, server.streamed, true
	case 1:
		return callPing, encoding{}, answer(server.ping), server.ping, true
	case 2:
		return callProof, encoding{}, answer(server.newest), server.newest, true
	default:
		return "", nil, nil, nil, false
	}
}

func (s server) streamed(stream drpc.Stream) error {
	c := newCaller(stream)
	s.holder.HandleDelegated(c)
	return <-c.done
}

func (server) ping(context.Context, *ping) (*ping, error) { return &ping{}, nil }

func (s server) newest(_ context.Context, in *ask) (*proof, error) {
	p, ok := s.holder.Newest(in.Service)
	return &proof{
		Known: ok, Member: p.Member, Term: p.Position.Term, Offset: p.Position.Offset, Age: p.Age, Lags: p.Lags,
	}, nil
}

var errType = eris.New("relay: call with a wrong type")

func serve(srv any, _ context.Context, in1, _ any) (drpc.Message, error) {
	s, ok := srv.(server)
	stream, fits := in1.(drpc.Stream)
	if !ok || !fits {
		return nil, errType
	}
	return nil, s.streamed(stream)
}

func answer[In, Out any](f func(server, context.Context, *In) (*Out, error)) drpc.Receiver {
	return func(srv any, ctx context.Context, in1, _ any) (drpc.Message, error) {
		s, ok := srv.(server)
		in, fits := in1.(*In)
		if !ok || !fits {
			return nil, errType
		}
		return f(s, ctx, in)
	}
}

// caller is the codec of a link at the holder.
type caller struct {
	stream drpc.Stream
	in     chan proxy.Request
	stop   chan struct{}
	once   sync.Once
	done   chan error // receives the end of the reader
}

func newCaller(stream drpc.Stream) *caller {
	c := &caller{stream: stream, in: make(chan proxy.Request), stop: make(chan struct{}), done: make(chan error, 1)}
	go func() { c.done <- c.read() }()
	return c
}

// read takes requests off the stream until it ends.
func (c *caller) read() error {
	defer close(c.in)
	for {
		h := new(hop)
		if err := c.stream.MsgRecv(h, encoding{}); err != nil {
			return nil // the other end has closed the link
		}
		req, err := h.decode()
		if err != nil {
			return err
		}
		select {
		case c.in <- req:
		case <-c.stream.Context().Done():
			return nil
		case <-c.stop:
			return nil
		}
	}
}

// ReadStartup and Welcome have no counterpart on a link.
func (c *caller) ReadStartup(time.Duration) (database, user string, err error) { return "", "", nil }

// SendReady does nothing.
func (c *caller) SendReady() error { return nil }

// Refuse ends the link.
func (c *caller) Refuse(*proxy.Fault) error { return c.Close() }

// Next waits for a request.
func (c *caller) Next(limit time.Duration) (proxy.Request, error) {
	var idle <-chan time.Time
	if limit > 0 {
		t := time.NewTimer(limit)
		defer t.Stop()
		idle = t.C
	}
	select {
	case req, ok := <-c.in:
		if !ok {
			return proxy.Request{}, eris.New("relay: the link has ended")
		}
		return req, nil
	case <-idle:
		return proxy.Request{}, proxy.ErrIdle
	case <-c.stop:
		return proxy.Request{}, proxy.ErrInterrupted
	}
}

// Reply answers the newest request.
func (c *caller) Reply(a proxy.Answer) error { return c.stream.MsgSend(encodeAnswer(a), encoding{}) }

// Interrupt ends a wait for a request.
func (c *caller) Interrupt() { c.once.Do(func() { close(c.stop) }) }

// Close tells the other end that no further request is taken.
func (c *caller) Close() error {
	c.Interrupt()
	if err := c.stream.MsgSend(&reply{Closed: true}, encoding{}); err != nil {
		return err
	}
	return c.stream.CloseSend()
}
