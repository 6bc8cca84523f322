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

func (p permit) release() {
	if p.queue != nil {
		p.queue.release(p)
	}
}

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
	weight   float64
	priority int
	startBy  time.Time     // latest time at which it may start
	expected time.Duration // how long it holds its permit, 0 if unknown
	runs     time.Duration // how long its statement is expected to run, 0 if unknown
	gone     func() bool   // reports whether the caller has left; nil if that is not known
}

func (a admissionRequest) callerLeft() bool { return a.gone != nil && a.gone() }

// goneCheckInterval is the time between checks whether the caller of a waiting request has left.
const goneCheckInterval = 30 * time.Millisecond

// acquire waits for a permit until startBy, or until the caller has left. An errs.Error gives the
// reason of a rejection.
func (l *admissionQueue) acquire(ctx context.Context, a admissionRequest) (permit, error) {
	now := l.now()
	ch := make(chan admit.Decision, 1)
	l.mu.Lock()
	l.nextID++
	id := l.nextID
	l.waiting[id] = ch
	l.deliver(l.queue.Offer(admit.Request{
		ID: id, Caller: a.caller, Class: admit.Short, Arrived: now, Deadline: a.startBy, Expected: a.expected, Priority: a.priority, Weight: a.weight,
	}, now))
	l.mu.Unlock()
	select {
	case d := <-ch:
		return l.permitOf(id, d)
	default:
	}
	return l.await(ctx, id, a, ch)
}

// await waits for the decision on a request that did not get one at once.
func (l *admissionQueue) await(ctx context.Context, id uint64, a admissionRequest, decided <-chan admit.Decision) (permit, error) {
	timer := time.NewTimer(a.startBy.Sub(l.now()))
	defer timer.Stop()
	goneCheck := time.NewTicker(goneCheckInterval)
	defer goneCheck.Stop()
	checked := false
	for {
		select {
		case d := <-decided:
			p, err := l.permitOf(id, d)
			if err == nil && checked && a.callerLeft() {
				p.release()
				err = errCallerLeft
			}
			return p, err
		case <-goneCheck.C:
			if checked = true; a.callerLeft() {
				l.cancel(id)
			}
		case <-timer.C:
			l.cancel(id)
		case <-ctx.Done():
			l.cancel(id)
		}
	}
}

// permitOf returns the permit that a decision grants.
func (l *admissionQueue) permitOf(id uint64, d admit.Decision) (permit, error) {
	switch d := d.(type) {
	case admit.Start:
		return permit{queue: l, id: id, start: l.now()}, nil
	case admit.Refuse:
		return permit{}, errs.New(errs.NotRun, d.Reason, "the admission queue of the backend server rejected the request", errs.WithRetryAfter(d.RetryAfter))
	default:
		return permit{}, errs.New(errs.NotRun, errs.ReasonQueueFull, "the admission queue made an unknown decision")
	}
}

var errCallerLeft = errs.New(errs.NotRun, errs.ReasonCancelled, "the caller left while its request waited")

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
