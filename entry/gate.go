package entry

import (
	"context"
	"sync"
	"time"

	"tamarackcross/admit"
	"tamarackcross/errs"
	"tamarackcross/fleet"
	"tamarackcross/share"
)

// gate carries the decisions of an admission queue to the goroutines that wait
// for them.
type gate struct {
	mu      sync.Mutex
	queue   *admit.Queue
	waiting map[uint64]chan admit.Decision
	nextID  uint64
	timer   *time.Timer
	armed   time.Time
	closed  bool
	usable  share.Amount
	maxWait time.Duration
	unowned bool
	lease   Lease // nil without sharing
}

func newGate(slots int, p fleet.Settings) *gate {
	g := &gate{
		queue:   admit.New(admit.WithSlots(slots), admit.WithMaxWait(p.QueueWait), admit.WithLongShare(p.LongShare)),
		waiting: make(map[uint64]chan admit.Decision),
		maxWait: p.QueueWait,
	}
	g.timer = time.AfterFunc(time.Hour, g.tick)
	g.timer.Stop()
	return g
}

// enter waits for a slot and returns the ticket that leave gives back.
func (g *gate) enter(ctx context.Context, r admit.Request) (uint64, error) {
	ch := make(chan admit.Decision, 1)
	now := time.Now()
	g.mu.Lock()
	if g.closed {
		g.mu.Unlock()
		return 0, errs.New(errs.NotRun, errs.ReasonNoMember, "backend server is gone")
	}
	g.nextID++
	r.ID = g.nextID
	g.waiting[r.ID] = ch
	g.deliver(g.queue.Offer(r, now))
	g.arm(now)
	waits := g.queue.Waiting() > 0
	g.mu.Unlock()
	if waits {
		g.changed()
	}
	select {
	case d := <-ch:
		return verdict(r.ID, d)
	case <-ctx.Done():
		return g.abandon(r.ID, ch, ctx.Err())
	}
}

func verdict(id uint64, d admit.Decision) (uint64, error) {
	switch d := d.(type) {
	case admit.Refuse:
		return 0, errs.New(errs.NotRun, d.Reason, "no slot of the backend server is free in time",
			errs.WithRetryAfter(d.RetryAfter))
	default:
		return id, nil
	}
}

// abandon takes a request out of the queue. A slot that was given in the
// meantime goes back.
func (g *gate) abandon(id uint64, ch chan admit.Decision, cause error) (uint64, error) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case d := <-ch:
		if _, ok := d.(admit.Start); ok {
			g.deliver(g.queue.Done(id, 0, now))
		}
	default:
		delete(g.waiting, id)
		g.deliver(g.queue.Cancel(id, now))
	}
	g.arm(now)
	return 0, cause
}

// leave gives a slot back after it was used for took.
func (g *gate) leave(id uint64, took time.Duration) {
	now := time.Now()
	g.mu.Lock()
	g.deliver(g.queue.Done(id, took, now))
	g.arm(now)
	g.mu.Unlock()
	g.changed()
}

// grown reports that running work turned out to be long.
func (g *gate) grown(id uint64) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.queue.Grown(id, now))
	g.arm(now)
}

// gateLoad is the state of a gate for routing and slot requests.
type gateLoad struct {
	slots   int
	running int
	waiting int
	unowned bool // nobody seems to hand out slots
}

func (g *gate) load() gateLoad {
	g.mu.Lock()
	defer g.mu.Unlock()
	return gateLoad{slots: g.queue.Slots(), running: g.queue.Running(), waiting: g.queue.Waiting(), unowned: g.unowned}
}

// drain refuses everything that waits.
func (g *gate) drain(reason errs.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	g.deliver(g.queue.Drain(reason, time.Now()))
	g.timer.Stop()
}

func (g *gate) tick() {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.armed = time.Time{}
	g.deliver(g.queue.Tick(now))
	g.arm(now)
}

// deliver hands decisions to the waiting goroutines. The caller holds mu.
func (g *gate) deliver(ds []admit.Decision) {
	for _, d := range ds {
		var id uint64
		switch d := d.(type) {
		case admit.Start:
			id = d.ID
		case admit.Refuse:
			id = d.ID
		}
		if ch, ok := g.waiting[id]; ok {
			ch <- d
			delete(g.waiting, id)
		}
	}
}

// arm sets the timer for the next useful tick. The caller holds mu.
func (g *gate) arm(now time.Time) {
	next := g.queue.Next(now)
	if next.IsZero() || g.closed || next.Equal(g.armed) {
		return
	}
	g.armed = next
	g.timer.Reset(max(0, next.Sub(now)))
}
