package ctrl

import (
	"context"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"

	"tamarackcross/ctlpb"
	"tamarackcross/raft"
)

const (
	wireQueue     = 256                    // messages that wait for one member; more are dropped
	wireRetry     = 50 * time.Millisecond  // between attempts to reach a member
	wireDialLimit = 500 * time.Millisecond // for one attempt
)

// wires carries messages to the other members, one connection for each. The
// log core repeats what is lost, so a full queue drops messages.
type wires struct {
	n *Node

	mu     sync.Mutex
	byID   map[raft.ID]*wire
	closed bool
}

// wire is the way to one member.
type wire struct {
	addr   string
	queue  chan *ctlpb.RaftMessage
	cancel context.CancelFunc
	done   chan error
}

func newWires(n *Node) *wires { return &wires{n: n, byID: make(map[raft.ID]*wire)} }

// send queues messages.
func (w *wires) send(msgs []raft.Message) {
	if len(msgs) == 0 {
		return
	}
	members := w.n.core.Status(w.n.now()).Members
	for _, m := range msgs {
		to := m.Head().To
		member, ok := members.Find(to)
		if !ok {
			member, ok = w.n.contact(to)
		}
		if !ok {
			continue
		}
		if l := w.to(to, member.Address); l != nil {
			select {
			case l.queue <- raft.ToProto(m):
			default:
			}
		}
	}
}

// to returns the wire to a member. One whose address changed is replaced.
func (w *wires) to(id raft.ID, addr string) *wire {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return nil
	}
	l := w.byID[id]
	if l != nil && l.addr == addr {
		return l
	}
	if l != nil {
		l.cancel()
	}
	ctx, cancel := context.WithCancel(w.n.ctx)
	l = &wire{addr: addr, queue: make(chan *ctlpb.RaftMessage, wireQueue), cancel: cancel, done: make(chan error, 1)}
	w.byID[id] = l
	go func() {
		l.done <- l.run(ctx, w.n.dial)
		close(l.done) // Close may be called twice
	}()
	return l
}

func (w *wires) close() {
	w.mu.Lock()
	w.closed = true
	all := w.byID
	w.mu.Unlock()
	for _, l := range all {
		l.cancel()
		<-l.done
	}
}

// run keeps a stream to the member open and sends what is queued.
func (l *wire) run(ctx context.Context, dial DialFunc) error {
	for ctx.Err() == nil {
		_ = l.stream(ctx, dial)
		select {
		case <-ctx.Done():
		case <-time.After(wireRetry):
			l.drain()
		}
	}
	return ctx.Err()
}

// drain drops what waited while the member was out of reach: it is out of date.
func (l *wire) drain() {
	for {
		select {
		case <-l.queue:
		default:
			return
		}
	}
}

func (l *wire) stream(ctx context.Context, dial DialFunc) error {
	dctx, stop := context.WithTimeout(ctx, wireDialLimit)
	nc, err := dial(dctx, l.addr)
	stop()
	if err != nil {
		return err
	}
	conn := drpcconn.New(nc)
	defer conn.Close()
	s, err := ctlpb.NewDRPCControlClient(conn).Raft(ctx)
	if err != nil {
		return err
	}
	for {
		select {
		case m := <-l.queue:
			_ = nc.SetWriteDeadline(time.Now().Add(wireDialLimit))
			if err := s.Send(m); err != nil {
				return err
			}
		case <-conn.Closed():
			return ErrStopped
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
