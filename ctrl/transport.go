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
	sendQueueLen   = 256                    // messages queued for one member; more are dropped
	reconnectDelay = 50 * time.Millisecond  // between two attempts to connect to a member
	peerTimeout    = 500 * time.Millisecond // of one connection attempt, one Hello call and one write
)

// transport sends Raft messages to the other members over one connection each. If
// a queue is full, messages are dropped: the Raft core sends lost ones again.
type transport struct {
	n *Node

	mu     sync.Mutex
	peers  map[raft.ID]*peer
	closed bool
}

// peer is the send queue and connection to one member.
type peer struct {
	addr   string
	queue  chan *ctlpb.RaftMessage
	cancel context.CancelFunc
	done   chan error
}

func newTransport(n *Node) *transport { return &transport{n: n, peers: make(map[raft.ID]*peer)} }

// send queues messages for their recipients. Messages to a member whose address is
// not known are dropped.
func (t *transport) send(msgs []raft.Message) {
	if len(msgs) == 0 {
		return
	}
	members := t.n.core.Status(t.n.now()).Members
	for _, m := range msgs {
		to := m.Head().To
		member, ok := members.Find(to)
		if !ok {
			member, ok = t.n.discoveredMember(to)
		}
		if !ok {
			continue
		}
		if p := t.peerFor(to, member.Address); p != nil {
			select {
			case p.queue <- raft.ToProto(m):
			default:
			}
		}
	}
}

// peerFor returns the peer of a member. It is replaced by a new one if the address
// of the member changed. After close the result is nil.
func (t *transport) peerFor(id raft.ID, addr string) *peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil
	}
	p := t.peers[id]
	if p != nil && p.addr == addr {
		return p
	}
	if p != nil {
		p.cancel()
	}
	ctx, cancel := context.WithCancel(t.n.ctx)
	p = &peer{addr: addr, queue: make(chan *ctlpb.RaftMessage, sendQueueLen), cancel: cancel, done: make(chan error, 1)}
	t.peers[id] = p
	go func() {
		p.done <- p.run(ctx, t.n.dial)
		close(p.done) // Node.Close may be called twice
	}()
	return p
}

// close closes all connections and waits for their goroutines.
func (t *transport) close() {
	t.mu.Lock()
	t.closed = true
	peers := t.peers
	t.mu.Unlock()
	for _, p := range peers {
		p.cancel()
		<-p.done
	}
}

// run keeps a connection to the member open and sends the queued messages.
func (p *peer) run(ctx context.Context, dial DialFunc) error {
	for ctx.Err() == nil {
		_ = p.connectAndSend(ctx, dial)
		select {
		case <-ctx.Done():
		case <-time.After(reconnectDelay):
			p.discardQueued()
		}
	}
	return ctx.Err()
}

// discardQueued drops the messages that were queued while the member was not
// reachable, because they are out of date.
func (p *peer) discardQueued() {
	for {
		select {
		case <-p.queue:
		default:
			return
		}
	}
}

// connectAndSend opens a connection and sends queued messages until it fails.
func (p *peer) connectAndSend(ctx context.Context, dial DialFunc) error {
	dctx, stop := context.WithTimeout(ctx, peerTimeout)
	nc, err := dial(dctx, p.addr)
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
		case m := <-p.queue:
			_ = nc.SetWriteDeadline(time.Now().Add(peerTimeout))
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
