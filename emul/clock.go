package emul

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// maxClockSleep is the longest single sleep of a clock. A waiter that is added
// during a sleep and is due before its end wakes late by up to this time.
const maxClockSleep = 250 * time.Microsecond

// clock wakes waiters more precisely than the timers of the Go runtime, which an
// idle process rounds up to a millisecond. One goroutine sleeps in short steps while
// there are waiters.
type clock struct {
	mu      sync.Mutex
	waiters waiterHeap
	added   chan struct{}
}

type waiter struct {
	due  time.Time
	wake chan struct{}
}

func newClock() *clock { return &clock{added: make(chan struct{}, 1)} }

// wait blocks until due. It reports false if ctx ended first.
func (c *clock) wait(ctx context.Context, due time.Time) bool {
	if time.Until(due) <= 0 {
		return ctx.Err() == nil
	}
	w := waiter{due: due, wake: make(chan struct{})}
	c.add(w)
	select {
	case <-w.wake:
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *clock) add(w waiter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	heap.Push(&c.waiters, w)
	select {
	case c.added <- struct{}{}:
	default:
	}
}

// run wakes waiters until ctx ends.
func (c *clock) run(ctx context.Context) {
	for ctx.Err() == nil {
		next, ok := c.wakeDue(time.Now())
		if ok {
			preciseSleep(min(next, maxClockSleep))
			continue
		}
		select {
		case <-c.added:
		case <-ctx.Done():
		}
	}
}

// wakeDue wakes the waiters that are due. It returns the time until the next one is
// due, and whether there is one.
func (c *clock) wakeDue(now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.waiters) > 0 {
		next := c.waiters[0].due.Sub(now)
		if next > 0 {
			return next, true
		}
		close(heap.Pop(&c.waiters).(waiter).wake)
	}
	return 0, false
}

// waiterHeap is a heap of waiters, the one that is due first on top.
type waiterHeap []waiter

func (h waiterHeap) Len() int           { return len(h) }
func (h waiterHeap) Less(i, j int) bool { return h[i].due.Before(h[j].due) }
func (h waiterHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *waiterHeap) Push(x any)        { *h = append(*h, x.(waiter)) }

func (h *waiterHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	*h = (*h)[:last]
	return w
}
