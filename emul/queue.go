package emul

import (
	"net"
	"os"
	"sync"
	"time"
)

// chunk is data that arrives at due. A chunk with err ends its direction.
type chunk struct {
	data []byte
	due  time.Time
	err  error
}

// queue is one direction of a link. It holds a bounded number of bytes.
type queue struct {
	limit int

	mu       sync.Mutex
	changed  *sync.Cond
	chunks   []chunk
	size     int
	lastDue  time.Time
	ended    bool // no more chunks are accepted; those queued are delivered
	closed   bool // nothing is accepted or delivered
	deadline time.Time
	timer    *time.Timer
}

func newQueue(limit int) *queue {
	q := &queue{limit: limit}
	q.changed = sync.NewCond(&q.mu)
	return q
}

// write appends a chunk and waits while the queue is full, until the deadline.
func (q *queue) write(c chunk) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	for q.full() && !q.expired() {
		q.changed.Wait()
	}
	if q.expired() {
		return os.ErrDeadlineExceeded
	}
	return q.add(c)
}

// push appends a chunk and waits while the queue is full. It ignores the
// deadline.
func (q *queue) push(c chunk) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	for q.full() {
		q.changed.Wait()
	}
	return q.add(c)
}

func (q *queue) full() bool { return q.size >= q.limit && !q.ended && !q.closed }

// add appends a chunk, which never becomes due before the chunk ahead of it.
// The caller holds mu.
func (q *queue) add(c chunk) error {
	if q.ended || q.closed {
		return net.ErrClosed
	}
	if c.due.Before(q.lastDue) {
		c.due = q.lastDue
	}
	q.lastDue = c.due
	q.chunks = append(q.chunks, c)
	q.size += len(c.data)
	q.changed.Broadcast()
	return nil
}

// pop removes the first chunk and waits for it. It ignores the deadline.
func (q *queue) pop() (chunk, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.chunks) == 0 && !q.ended && !q.closed {
		q.changed.Wait()
	}
	if q.closed || len(q.chunks) == 0 {
		return chunk{}, false
	}
	c := q.chunks[0]
	q.chunks = q.chunks[1:]
	q.size -= len(c.data)
	q.changed.Broadcast()
	return c, true
}

// read copies queued data to p and waits for it until the deadline.
func (q *queue) read(p []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.chunks) == 0 && !q.closed && !q.expired() {
		q.changed.Wait()
	}
	switch {
	case q.closed:
		return 0, net.ErrClosed
	case q.expired():
		return 0, os.ErrDeadlineExceeded
	case q.chunks[0].err != nil:
		return 0, q.chunks[0].err
	}
	first := &q.chunks[0]
	n := copy(p, first.data)
	first.data = first.data[n:]
	q.size -= n
	if len(first.data) == 0 {
		q.chunks = q.chunks[1:]
	}
	q.changed.Broadcast()
	return n, nil
}

// end lets the queued chunks be delivered and refuses new ones.
func (q *queue) end() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ended = true
	q.changed.Broadcast()
}

// close drops the queued chunks.
func (q *queue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.chunks = nil
	q.changed.Broadcast()
}

func (q *queue) setDeadline(t time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.timer != nil {
		q.timer.Stop()
		q.timer = nil
	}
	q.deadline = t
	if !t.IsZero() {
		q.timer = time.AfterFunc(time.Until(t), func() {
			q.mu.Lock()
			defer q.mu.Unlock()
			q.changed.Broadcast()
		})
	}
	q.changed.Broadcast()
}

// expired reports whether the deadline has passed. The caller holds mu.
func (q *queue) expired() bool {
	return !q.deadline.IsZero() && !time.Now().Before(q.deadline)
}
