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

// slotQueue is the admission queue for the slots of one member. It delivers the
// decisions of an admit.Queue to the goroutines that wait for them.
type slotQueue struct {
	mu      sync.Mutex
	queue   *admit.Queue
	waiting map[uint64]chan admit.Decision
	nextID  uint64
	timer   *time.Timer
	timerAt time.Time
	closed  bool
	usable  share.Amount  // slots that the lease allows
	maxWait time.Duration // longest queue wait while the slots have an owner
	unowned bool          // no instance seems to grant slots
	lease   Lease         // nil if the slots are not shared with other entries
}

func newSlotQueue(slots int, p fleet.Settings) *slotQueue {
	g := &slotQueue{
		queue:   admit.New(admit.WithSlots(slots), admit.WithMaxWait(p.QueueWait), admit.WithLongShare(p.LongShare)),
		waiting: make(map[uint64]chan admit.Decision),
		maxWait: p.QueueWait,
	}
	g.timer = time.AfterFunc(time.Hour, g.tick)
	g.timer.Stop()
	return g
}

// acquire waits for a slot and returns its ID, which release takes.
func (g *slotQueue) acquire(ctx context.Context, r admit.Request) (uint64, error) {
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
	g.deliverDecisions(g.queue.Offer(r, now))
	g.armTimer(now)
	waits := g.queue.Waiting() > 0
	g.mu.Unlock()
	if waits {
		g.notifyDemand()
	}
	select {
	case d := <-ch:
		return acquireResult(r.ID, d)
	case <-ctx.Done():
		return g.cancel(r.ID, ch, ctx.Err())
	}
}

func acquireResult(id uint64, d admit.Decision) (uint64, error) {
	switch d := d.(type) {
	case admit.Refuse:
		return 0, errs.New(errs.NotRun, d.Reason, "no slot of the backend server is free in time",
			errs.WithRetryAfter(d.RetryAfter))
	default:
		return id, nil
	}
}

// cancel removes a request from the queue. A slot that it was given in the meantime
// is returned.
func (g *slotQueue) cancel(id uint64, ch chan admit.Decision, cause error) (uint64, error) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case d := <-ch:
		if _, ok := d.(admit.Start); ok {
			g.deliverDecisions(g.queue.Done(id, 0, now))
		}
	default:
		delete(g.waiting, id)
		g.deliverDecisions(g.queue.Cancel(id, now))
	}
	g.armTimer(now)
	return 0, cause
}

// release returns a slot that was in use for took.
func (g *slotQueue) release(id uint64, took time.Duration) {
	now := time.Now()
	g.mu.Lock()
	g.deliverDecisions(g.queue.Done(id, took, now))
	g.armTimer(now)
	g.mu.Unlock()
	g.notifyDemand()
}

// reclassifyLong counts the request that uses a slot as long from now on.
func (g *slotQueue) reclassifyLong(id uint64) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliverDecisions(g.queue.MarkLong(id, now))
	g.armTimer(now)
}

// slotQueueLoad is the load of a slotQueue, for routing and for sizing the
// connection pool.
type slotQueueLoad struct {
	slots   int
	running int
	waiting int
	unowned bool // as in slotQueue
}

func (g *slotQueue) load() slotQueueLoad {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slotQueueLoad{slots: g.queue.Slots(), running: g.queue.Running(), waiting: g.queue.Waiting(), unowned: g.unowned}
}

// close refuses all waiting and future requests.
func (g *slotQueue) close(reason errs.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	g.deliverDecisions(g.queue.Drain(reason, time.Now()))
	g.timer.Stop()
}

func (g *slotQueue) tick() {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timerAt = time.Time{}
	g.deliverDecisions(g.queue.Tick(now))
	g.armTimer(now)
}

// deliverDecisions sends decisions to the waiting goroutines. The caller holds mu.
func (g *slotQueue) deliverDecisions(ds []admit.Decision) {
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

// armTimer sets the timer for the next time at which the queue may change by itself.
// The caller holds mu.
func (g *slotQueue) armTimer(now time.Time) {
	next := g.queue.NextTick(now)
	if next.IsZero() || g.closed || next.Equal(g.timerAt) {
		return
	}
	g.timerAt = next
	g.timer.Reset(max(0, next.Sub(now)))
}
