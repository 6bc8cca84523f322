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
	transitLimitBytes = 4 << 20  // data in flight in one direction; far above bandwidth times latency
	arrivedLimitBytes = 1 << 20  // data that has arrived and is not yet read
	readBufferBytes   = 32 << 10 // size of one read from the socket
)

// link is a connection through a Network. Data passes through a queue in each
// direction, which delays it by the latency and holds it back while the two ends are
// cut off from each other.
type link struct {
	net.Conn
	n        *Network
	from, to endpoint
	out      *queue // written by the user of the link, not yet to the socket
	in       *queue // read from the socket, not yet arrived
	arrived  *queue // arrived, not yet read by the user of the link
	ctx      context.Context
	cancel   context.CancelFunc // ends the link and closes the socket
	silenced atomic.Bool
	closing  sync.Once
}

func newLink(n *Network, nc net.Conn, from, to endpoint) *link {
	l := &link{
		Conn:    nc,
		n:       n,
		from:    from,
		to:      to,
		out:     newQueue(transitLimitBytes),
		in:      newQueue(transitLimitBytes),
		arrived: newQueue(arrivedLimitBytes),
	}
	l.ctx, l.cancel = context.WithCancel(n.ctx)
	context.AfterFunc(l.ctx, l.closeAll)
	return l
}

// closeAll closes the socket and all queues, and removes the link from the network.
func (l *link) closeAll() {
	l.Conn.Close()
	l.out.close()
	l.in.close()
	l.arrived.close()
	l.n.removeLink(l)
}

// Read returns data that has arrived, and waits for some if there is none.
func (l *link) Read(p []byte) (int, error) { return l.arrived.read(p) }

// Write queues a copy of p. It waits while too much data is in flight.
func (l *link) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	c := chunk{data: bytes.Clone(p), due: l.arrivalTime()}
	if err := l.out.write(c); err != nil {
		return 0, err
	}
	return len(p), nil
}

// arrivalTime returns when data that is sent now arrives.
func (l *link) arrivalTime() time.Time { return time.Now().Add(l.n.latencyBetween(l.from, l.to)) }

// Close closes the near end at once. The far end is closed after the latency or, if
// nothing reaches it, after the dead peer timeout.
func (l *link) Close() error {
	l.closing.Do(func() {
		l.arrived.close()
		l.out.closeWrite()
		timer := time.AfterFunc(l.n.deadPeerTimeout, l.cancel)
		context.AfterFunc(l.ctx, func() { timer.Stop() })
	})
	return nil
}

// SetDeadline sets the deadlines of Read and Write.
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

// silence drops all data from now on. The far end is closed after d, and the near
// end gets no error.
func (l *link) silence(d time.Duration) {
	if l.silenced.Swap(true) {
		return
	}
	timer := time.AfterFunc(d, func() { l.Conn.Close() })
	context.AfterFunc(l.ctx, func() { timer.Stop() })
}

// waitArrival waits until c is due and the two ends reach each other. It reports
// false if the link ended first.
func (l *link) waitArrival(c chunk) bool {
	return l.n.clock.wait(l.ctx, c.due) && l.n.waitReachable(l.ctx, l.from, l.to)
}

// sendLoop moves written data to the socket. Once the link is closed and its last
// data is sent, it ends the link, unless the link is silent.
func (l *link) sendLoop() {
	for {
		c, ok := l.out.pop()
		if !ok {
			break
		}
		if !l.waitArrival(c) {
			return
		}
		if l.silenced.Load() {
			continue
		}
		if _, err := l.Conn.Write(c.data); err != nil {
			l.out.closeWrite()
			return
		}
	}
	if l.waitArrival(chunk{due: l.arrivalTime()}) && !l.silenced.Load() {
		l.cancel()
	}
}

// receiveLoop reads from the socket. The end of the stream is delayed like data.
func (l *link) receiveLoop() {
	buf := make([]byte, readBufferBytes)
	for {
		n, err := l.Conn.Read(buf)
		if n > 0 {
			if l.in.push(chunk{data: bytes.Clone(buf[:n]), due: l.arrivalTime()}) != nil {
				return
			}
		}
		if err != nil {
			_ = l.in.push(chunk{due: l.arrivalTime(), err: err})
			return
		}
	}
}

// deliverLoop hands received data to the reader once it arrives.
func (l *link) deliverLoop() {
	for {
		c, ok := l.in.pop()
		if !ok || !l.waitArrival(c) {
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
