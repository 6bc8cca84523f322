package emul

import (
	"net"
	"os"
	"sync"
	"time"
)

// chunk is a piece of data that arrives at due. A chunk with err ends its direction
// of the link.
type chunk struct {
	data []byte
	due  time.Time
	err  error
}

// queue holds the data of one direction of a link. Its size in bytes is limited.
type queue struct {
	limit int

	mu          sync.Mutex
	changed     *sync.Cond
	chunks      []chunk
	size        int
	lastDue     time.Time
	writeClosed bool // no new chunks are accepted; queued ones are delivered
	closed      bool // chunks are neither accepted nor delivered
	deadline    time.Time
	timer       *time.Timer
}

func newQueue(limit int) *queue {
	q := &queue{limit: limit}
	q.changed = sync.NewCond(&q.mu)
	return q
}

// write appends a chunk. While the queue is full, it waits until the deadline.
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

// push appends a chunk. While the queue is full, it waits without regard to the
// deadline.
func (q *queue) push(c chunk) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	for q.full() {
		q.changed.Wait()
	}
	return q.add(c)
}

func (q *queue) full() bool { return q.size >= q.limit && !q.writeClosed && !q.closed }

// add appends a chunk, which becomes due no earlier than the chunk before it. The
// caller holds mu.
func (q *queue) add(c chunk) error {
	if q.writeClosed || q.closed {
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

// pop waits for the first chunk and removes it, without regard to the deadline.
func (q *queue) pop() (chunk, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.chunks) == 0 && !q.writeClosed && !q.closed {
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

// read waits for data until the deadline and copies it to p.
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

// closeWrite rejects new chunks from now on. Queued ones are still delivered.
func (q *queue) closeWrite() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.writeClosed = true
	q.changed.Broadcast()
}

// close discards the queued chunks and rejects new ones.
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
