package proxy

import (
	"context"
	"sync"
	"time"

	"tamarackcross/admit"
	"tamarackcross/errs"
)

// admissionQueue admits requests to the connections or statement slots of one backend
// server. It makes the decisions of an admit.Queue, which is not safe for concurrent
// use, available to goroutines that wait for them.
type admissionQueue struct {
	now func() time.Time

	mu      sync.Mutex
	queue   *admit.Queue
	nextID  uint64
	waiting map[uint64]chan admit.Decision
}

func newAdmissionQueue(slots int, now func() time.Time) *admissionQueue {
	return &admissionQueue{
		now:     now,
		queue:   admit.New(admit.WithSlots(slots)),
		waiting: make(map[uint64]chan admit.Decision),
	}
}

// permit is the right to hold one connection or slot. Its holder returns it with release, which
// has an effect only once.
type permit struct {
	queue *admissionQueue
	id    uint64
	start time.Time
}

func (p permit) release() { p.queue.release(p) }

// usage returns how many permits are in use, and whether a further request would wait.
func (l *admissionQueue) usage() (inUse int, full bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.Running(), l.queue.Running() >= l.queue.Slots()
}

// admissionRequest describes a request to the queue.
type admissionRequest struct {
	caller   string
	customer string // in whose name a connection is needed
	priority int
	startBy  time.Time     // latest time at which it may start
	expected time.Duration // how long it holds its permit, 0 if unknown
}

// acquire waits for a permit until startBy. An errs.Error gives the reason of a
// rejection.
func (l *admissionQueue) acquire(ctx context.Context, a admissionRequest) (permit, error) {
	now := l.now()
	ch := make(chan admit.Decision, 1)
	l.mu.Lock()
	l.nextID++
	id := l.nextID
	l.waiting[id] = ch
	l.deliver(l.queue.Offer(admit.Request{
		ID: id, Caller: a.caller, Class: admit.Short, Arrived: now, Deadline: a.startBy, Expected: a.expected, Priority: a.priority,
	}, now))
	l.mu.Unlock()
	timer := time.NewTimer(a.startBy.Sub(now))
	defer timer.Stop()
	for {
		select {
		case d := <-ch:
			switch d := d.(type) {
			case admit.Start:
				return permit{queue: l, id: id, start: l.now()}, nil
			case admit.Refuse:
				return permit{}, errs.New(errs.NotRun, d.Reason, "the admission queue of the backend server rejected the request", errs.WithRetryAfter(d.RetryAfter))
			}
		case <-timer.C:
			l.cancel(id)
		case <-ctx.Done():
			l.cancel(id)
		}
	}
}

// cancel ends the wait of a request. Its decision is delivered like any other.
func (l *admissionQueue) cancel(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deliver(l.queue.Cancel(id, l.now()))
}

// release returns a permit.
func (l *admissionQueue) release(p permit) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deliver(l.queue.Done(p.id, now.Sub(p.start), now))
}

func (l *admissionQueue) resize(slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queue.Slots() != slots {
		l.deliver(l.queue.Resize(slots, l.now()))
	}
}

// expectedWait returns how long a request that arrives now would wait for its permit.
func (l *admissionQueue) expectedWait(priority int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.ExpectedWait(admit.Short, priority)
}

// load returns the number of running and waiting requests.
func (l *admissionQueue) load() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.Running() + l.queue.Waiting()
}

// deliver passes decisions to the requests that wait for them.
func (l *admissionQueue) deliver(ds []admit.Decision) {
	for _, d := range ds {
		var id uint64
		switch d := d.(type) {
		case admit.Start:
			id = d.ID
		case admit.Refuse:
			id = d.ID
		}
		if ch := l.waiting[id]; ch != nil {
			delete(l.waiting, id)
			ch <- d
		}
	}
}
