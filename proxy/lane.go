package proxy

import (
	"context"
	"sync"
	"time"

	"tamarackcross/admit"
	"tamarackcross/errs"
)

// lane lets requests borrow connections of one backend server, at most as many
// at a time as this instance may hold.
type lane struct {
	now func() time.Time

	mu      sync.Mutex
	queue   *admit.Queue
	nextID  uint64
	waiting map[uint64]chan admit.Decision
}

func newLane(slots int, now func() time.Time) *lane {
	return &lane{
		now:     now,
		queue:   admit.New(admit.WithSlots(slots)),
		waiting: make(map[uint64]chan admit.Decision),
	}
}

// ticket is the right to hold one connection.
type ticket struct {
	id    uint64
	start time.Time
}

// full reports whether a request would have to wait, and how many run.
func (l *lane) full() (inUse int, full bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.Running(), l.queue.Running() >= l.queue.Slots()
}

// ask is what a request tells the queue of itself.
type ask struct {
	caller   string
	priority int
	latest   time.Time     // at which it may start
	expected time.Duration // how long it holds its ticket, 0 if unknown
}

// enter waits for a ticket.
func (l *lane) enter(ctx context.Context, a ask) (ticket, error) {
	now := l.now()
	ch := make(chan admit.Decision, 1)
	l.mu.Lock()
	l.nextID++
	id := l.nextID
	l.waiting[id] = ch
	l.deliver(l.queue.Offer(admit.Request{
		ID: id, Caller: a.caller, Class: admit.Short, Arrived: now, Deadline: a.latest, Expected: a.expected, Priority: a.priority,
	}, now))
	l.mu.Unlock()
	timer := time.NewTimer(a.latest.Sub(now))
	defer timer.Stop()
	for {
		select {
		case d := <-ch:
			switch d := d.(type) {
			case admit.Start:
				return ticket{id: id, start: l.now()}, nil
			case admit.Refuse:
				return ticket{}, errs.New(errs.NotRun, d.Reason, "no connection is free", errs.WithRetryAfter(d.RetryAfter))
			}
		case <-timer.C:
			l.cancel(id)
		case <-ctx.Done():
			l.cancel(id)
		}
	}
}

// cancel ends a wait. The decision comes on the channel of the request.
func (l *lane) cancel(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deliver(l.queue.Cancel(id, l.now()))
}

// leave gives a ticket back.
func (l *lane) leave(t ticket) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deliver(l.queue.Done(t.id, now.Sub(t.start), now))
}

func (l *lane) resize(slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queue.Slots() != slots {
		l.deliver(l.queue.Resize(slots, l.now()))
	}
}

// wait returns how long a request that came now would wait for its ticket.
func (l *lane) wait(priority int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.Wait(admit.Short, priority)
}

// load is the number of running and waiting requests.
func (l *lane) load() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.Running() + l.queue.Waiting()
}

func (l *lane) deliver(ds []admit.Decision) {
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
