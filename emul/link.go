package emul

import (
	"bytes"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	transitLimit = 4 << 20  // bytes on the way in one direction; far above bandwidth times latency
	arrivedLimit = 1 << 20  // bytes that arrived and were not read
	readSize     = 32 << 10 // bytes of one read from the socket
)

// link is a connection through a Network. Data passes through a queue in each
// direction, which delays it by the latency and holds it while the ends are cut
// from each other.
type link struct {
	net.Conn
	n        *Network
	from, to place
	out      *queue // written, not yet on the socket
	in       *queue // from the socket, not yet arrived
	arrived  *queue // arrived, not yet read
	ctx      context.Context
	cancel   context.CancelFunc // ends the link and closes the socket
	silenced atomic.Bool
	closing  sync.Once
}

func newLink(n *Network, nc net.Conn, from, to place) *link {
	l := &link{
		Conn:    nc,
		n:       n,
		from:    from,
		to:      to,
		out:     newQueue(transitLimit),
		in:      newQueue(transitLimit),
		arrived: newQueue(arrivedLimit),
	}
	l.ctx, l.cancel = context.WithCancel(n.ctx)
	context.AfterFunc(l.ctx, l.drop)
	return l
}

// drop closes the socket and all queues.
func (l *link) drop() {
	l.Conn.Close()
	l.out.close()
	l.in.close()
	l.arrived.close()
	l.n.forget(l)
}

// Read returns data that has arrived.
func (l *link) Read(p []byte) (int, error) { return l.arrived.read(p) }

// Write sends a copy of p.
func (l *link) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	c := chunk{data: bytes.Clone(p), due: l.due()}
	if err := l.out.write(c); err != nil {
		return 0, err
	}
	return len(p), nil
}

// due is the arrival time of data sent now.
func (l *link) due() time.Time { return time.Now().Add(l.n.delay(l.from, l.to)) }

// Close ends the connection here at once. The far end learns it after the
// latency or, if nothing reaches it, when it takes its peer for dead.
func (l *link) Close() error {
	l.closing.Do(func() {
		l.arrived.close()
		l.out.end()
		timer := time.AfterFunc(l.n.deadPeer, l.cancel)
		context.AfterFunc(l.ctx, func() { timer.Stop() })
	})
	return nil
}

// SetDeadline sets both deadlines.
func (l *link) SetDeadline(t time.Time) error {
	l.arrived.setDeadline(t)
	l.out.setDeadline(t)
	return nil
}

// SetReadDeadline sets the deadline of Read.
func (l *link) SetReadDeadline(t time.Time) error {
	l.arrived.setDeadline(t)
	return nil
}

// SetWriteDeadline sets the deadline of Write.
func (l *link) SetWriteDeadline(t time.Time) error {
	l.out.setDeadline(t)
	return nil
}

// silence drops everything from now on. The far end takes its peer for dead
// after d; the end here notices nothing.
func (l *link) silence(d time.Duration) {
	if l.silenced.Swap(true) {
		return
	}
	timer := time.AfterFunc(d, func() { l.Conn.Close() })
	context.AfterFunc(l.ctx, func() { timer.Stop() })
}

// transit waits until a chunk arrives. It reports whether the link lasted.
func (l *link) transit(c chunk) bool {
	return l.n.clock.wait(l.ctx, c.due) && l.n.passable(l.ctx, l.from, l.to)
}

// sendLoop moves written data to the socket. After Close and the last data it
// ends the link, unless the link is silent.
func (l *link) sendLoop() {
	for {
		c, ok := l.out.pop()
		if !ok {
			break
		}
		if !l.transit(c) {
			return
		}
		if l.silenced.Load() {
			continue
		}
		if _, err := l.Conn.Write(c.data); err != nil {
			l.out.end()
			return
		}
	}
	if l.transit(chunk{due: l.due()}) && !l.silenced.Load() {
		l.cancel()
	}
}

// receiveLoop reads the socket. The end of the stream travels like data.
func (l *link) receiveLoop() {
	buf := make([]byte, readSize)
	for {
		n, err := l.Conn.Read(buf)
		if n > 0 {
			if l.in.push(chunk{data: bytes.Clone(buf[:n]), due: l.due()}) != nil {
				return
			}
		}
		if err != nil {
			_ = l.in.push(chunk{due: l.due(), err: err})
			return
		}
	}
}

// deliverLoop moves received data to the reader when it arrives.
func (l *link) deliverLoop() {
	for {
		c, ok := l.in.pop()
		if !ok || !l.transit(c) {
			return
		}
		if l.silenced.Load() {
			continue
		}
		if l.arrived.push(c) != nil || c.err != nil {
			return
		}
	}
}
