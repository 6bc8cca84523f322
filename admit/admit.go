// Package admit decides which requests get the slots of one backend server at
// one entry: a queue bounded in time, with deadlines, early refusal, a cap on
// long work and fairness between callers.
package admit

import (
	"time"

	"tamarackcross/errs"
	"tamarackcross/learn"
)

// Class is the expected size of a request.
type Class = learn.Class

// The classes of requests.
const (
	Short = learn.Short
	Long  = learn.Long
)

// Request asks for one slot. ID must be unique among the requests that wait or
// run. Expected is 0 if nothing is known about the duration.
type Request struct {
	ID       uint64
	Caller   string
	Class    Class
	Arrived  time.Time
	Deadline time.Time
	Expected time.Duration
	// Priority orders requests of one class: 0 goes first. Work of a lower priority
	// starts when none of a higher one waits.
	Priority int
}

// Decision is the outcome for one request: Start or Refuse. Each request
// offered gets exactly one.
type Decision interface{ decision() }

// Start gives the request a slot. The caller of the queue reports the end of
// the work with Done.
type Start struct{ ID uint64 }

// Refuse ends the request before it ran.
type Refuse struct {
	ID         uint64
	Reason     errs.Reason
	RetryAfter time.Duration
}

func (Start) decision()  {}
func (Refuse) decision() {}

// Order is the order in which the waiting requests of one caller start.
type Order int

// The orders. DeadlineFirst is the default, see BenchmarkOrders.
const (
	DeadlineFirst Order = iota
	OldestFirst
	NewestFirst
)

const (
	// defaultMaxWait is longer than a slot rotation between entries (one lease
	// length of 200 ms) and short enough for the queue to drain well within 1 s
	// of the end of a crest.
	defaultMaxWait = 250 * time.Millisecond
	// longWaitFactor makes long work wait longer than short work: one long
	// statement ahead in the queue already takes more than the short wait.
	longWaitFactor = 10
	// defaultLongShare keeps long work to one of five slots.
	defaultLongShare = 0.25
	// defaultService is the duration assumed until the first request has ended.
	defaultService = 10 * time.Millisecond
	// minRetryAfter keeps callers from returning faster than a network round trip.
	minRetryAfter = 10 * time.Millisecond
	// minWaiting and maxWaiting bound the cap on waiting requests that follows
	// from the time bound.
	minWaiting = 32
	maxWaiting = 16384
)

// Option sets a parameter of a Queue.
type Option func(*Queue)

// WithSlots sets the initial number of slots.
func WithSlots(n int) Option { return func(q *Queue) { q.slots = max(0, n) } }

// WithMaxWait bounds the time that short work waits; long work waits up to ten
// times as long. The deadline of a request bounds its wait in any case.
func WithMaxWait(d time.Duration) Option { return func(q *Queue) { q.setMaxWait(d) } }

// WithLongShare bounds the share of the slots that long work may use.
func WithLongShare(share float64) Option { return func(q *Queue) { q.setLongShare(share) } }

// WithOrder sets the order among the waiting requests of one caller.
func WithOrder(o Order) Option { return func(q *Queue) { q.order = o } }

// Queue is the queue in front of the slots of one backend server. It is not
// safe for concurrent use. The decisions that a method returns are valid until
// the next call of a method.
type Queue struct {
	slots     int
	longShare float64
	longSlots int // explicit cap on long work, or derived
	order     Order
	lanes     [2]lane // by class
	items     map[uint64]*item
	expiry    heap[*item]
	seq       uint64
	out       []Decision
	free      []*item
}

// derived is the value of longSlots while the cap follows from the share.
const derived = -1

// New returns an empty queue without slots, unless WithSlots gives it some.
func New(opts ...Option) *Queue {
	q := &Queue{
		longShare: defaultLongShare,
		longSlots: derived,
		items:     make(map[uint64]*item),
		expiry:    heap[*item]{less: sooner, place: func(i *item, at int) { i.expiryAt = at }},
	}
	q.setMaxWait(defaultMaxWait)
	for _, opt := range opts {
		opt(q)
	}
	for i := range q.lanes {
		q.lanes[i].init(q.order)
	}
	return q
}

// Slots returns the number of slots in force.
func (q *Queue) Slots() int { return q.slots }

// Running returns the number of requests that hold a slot.
func (q *Queue) Running() int { return q.lanes[Short].running + q.lanes[Long].running }

// RunningLong returns the number of requests of long work that hold a slot.
func (q *Queue) RunningLong() int { return q.lanes[Long].running }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return q.lanes[Short].waiting + q.lanes[Long].waiting }

// WaitingLong returns the number of waiting requests of long work.
func (q *Queue) WaitingLong() int { return q.lanes[Long].waiting }

// OldestWaiting returns when the request that waits longest for its place in
// the queue arrived, or the zero time. It is exact under OldestFirst and the
// arrival of a request at the head of the queue otherwise.
func (q *Queue) OldestWaiting() time.Time {
	var oldest time.Time
	for i := range q.lanes {
		head := q.lanes[i].head()
		if head != nil && (oldest.IsZero() || head.req.Arrived.Before(oldest)) {
			oldest = head.req.Arrived
		}
	}
	return oldest
}

// LongLimit returns how many slots long work may hold. Without an explicit
// limit it is the share of the slots, at least one and never the last slot. A
// single slot runs long work only while no short work waits.
func (q *Queue) LongLimit() int {
	if q.longSlots != derived {
		return min(q.longSlots, q.slots)
	}
	if q.slots <= 1 {
		return q.slots
	}
	return min(max(1, int(q.longShare*float64(q.slots))), q.slots-1)
}

func (q *Queue) setMaxWait(d time.Duration) {
	q.lanes[Short].maxWait = max(0, d)
	q.lanes[Long].maxWait = longWaitFactor * max(0, d)
}

func (q *Queue) setLongShare(share float64) { q.longShare = min(max(0, share), 1) }
