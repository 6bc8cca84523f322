// Package admit implements the admission queue that an entry keeps for each
// backend server. It decides which requests get the server's slots: the wait is
// bounded, requests that would miss their deadline are rejected early, long
// requests are limited to a share of the slots, and callers are treated fairly.
package admit

import (
	"time"

	"tamarackcross/errs"
	"tamarackcross/learn"
)

// Class tells whether a request is expected to be short or long.
type Class = learn.Class

// The classes of requests.
const (
	Short = learn.Short
	Long  = learn.Long
)

// Request asks for one slot. ID must be unique among the waiting and running
// requests. Expected is the expected duration, or 0 if it is unknown.
type Request struct {
	ID       uint64
	Caller   string
	Class    Class
	Arrived  time.Time
	Deadline time.Time
	Expected time.Duration
	// Priority orders the requests of one class; 0 is the highest. A request
	// starts only while no request of a higher priority waits.
	Priority int
	// Weight is the part of the slots that the caller gets, in proportion to the weights of the other
	// callers that wait. All requests of a caller have the same weight; 0 stands for 1.
	Weight float64
}

// Decision is the outcome for one request, Start or Refuse. Each offered request
// gets exactly one.
type Decision interface{ decision() }

// Start gives the request a slot. The user of the queue calls Done when the
// request has ended.
type Start struct{ ID uint64 }

// Refuse rejects the request before it has run.
type Refuse struct {
	ID         uint64
	Reason     errs.Reason
	RetryAfter time.Duration
}

func (Start) decision()  {}
func (Refuse) decision() {}

// Order is the order in which the waiting requests of one caller start.
type Order int

// The available orders. DeadlineFirst is the default; BenchmarkOrders compares
// them.
const (
	DeadlineFirst Order = iota
	OldestFirst
	NewestFirst
)

const (
	// defaultMaxWait is longer than it takes to lease a slot to another entry
	// (one lease length of 200 ms), and short enough for the queue to drain well
	// within 1 s after a load peak.
	defaultMaxWait = 250 * time.Millisecond
	// longWaitFactor multiplies the maximum wait for long requests, because a
	// single long statement ahead in the queue takes longer than the maximum
	// wait of short ones.
	longWaitFactor = 10
	// defaultLongShare limits long requests to one of five slots.
	defaultLongShare = 0.25
	// defaultServiceTime is the duration assumed before any request has ended.
	defaultServiceTime = 10 * time.Millisecond
	// minRetryAfter keeps rejected callers from retrying within less than a
	// network round trip.
	minRetryAfter = 10 * time.Millisecond
	// minWaitingLimit and maxWaitingLimit bound the limit on waiting requests that
	// is derived from the maximum wait.
	minWaitingLimit = 32
	maxWaitingLimit = 16384
)

// Option configures a Queue.
type Option func(*Queue)

// WithSlots sets the initial number of slots.
func WithSlots(n int) Option { return func(q *Queue) { q.slots = max(0, n) } }

// WithMaxWait sets the maximum wait of short requests; long ones wait up to ten
// times as long. No request waits beyond its deadline.
func WithMaxWait(d time.Duration) Option { return func(q *Queue) { q.setMaxWait(d) } }

// WithLongShare sets the share of the slots that long requests may use.
func WithLongShare(share float64) Option { return func(q *Queue) { q.setLongShare(share) } }

// WithOrder sets the order in which the waiting requests of one caller start.
func WithOrder(o Order) Option { return func(q *Queue) { q.order = o } }

// Queue is the admission queue for the slots of one backend server. It is not
// safe for concurrent use. The decisions returned by a method are valid until
// the next method call.
type Queue struct {
	slots     int
	longShare float64
	longSlots int // limit on slots of long requests, or longSlotsFromShare
	order     Order
	classes   [2]classQueue // by class
	items     map[uint64]*item
	expiry    heap[*item]
	seq       uint64
	decisions []Decision
	freeItems []*item
}

// longSlotsFromShare is the value of Queue.longSlots while the limit is derived
// from longShare.
const longSlotsFromShare = -1

// New returns an empty queue. It has no slots unless WithSlots is given.
func New(opts ...Option) *Queue {
	q := &Queue{
		longShare: defaultLongShare,
		longSlots: longSlotsFromShare,
		items:     make(map[uint64]*item),
		expiry:    heap[*item]{less: latestStartBefore, setIndex: func(i *item, at int) { i.expiryIndex = at }},
	}
	q.setMaxWait(defaultMaxWait)
	for _, opt := range opts {
		opt(q)
	}
	for i := range q.classes {
		q.classes[i].init(q.order)
	}
	return q
}

// Slots returns the current number of slots.
func (q *Queue) Slots() int { return q.slots }

// Running returns the number of requests that hold a slot.
func (q *Queue) Running() int { return q.classes[Short].running + q.classes[Long].running }

// RunningLong returns the number of long requests that hold a slot.
func (q *Queue) RunningLong() int { return q.classes[Long].running }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return q.classes[Short].waiting + q.classes[Long].waiting }

// WaitingLong returns the number of waiting long requests.
func (q *Queue) WaitingLong() int { return q.classes[Long].waiting }

// OldestWaiting returns the arrival time of the oldest request at the head of
// the queues of both classes, or the zero time if none waits. It is the oldest
// waiting request only under OldestFirst.
func (q *Queue) OldestWaiting() time.Time {
	var oldest time.Time
	for i := range q.classes {
		head := q.classes[i].head()
		if head != nil && (oldest.IsZero() || head.req.Arrived.Before(oldest)) {
			oldest = head.req.Arrived
		}
	}
	return oldest
}

// LongLimit returns how many slots long requests may hold. Without an explicit
// limit it is their share of the slots, at least one, and leaves one slot to
// short requests. A single slot runs a long request only while no short one
// waits.
func (q *Queue) LongLimit() int {
	if q.longSlots != longSlotsFromShare {
		return min(q.longSlots, q.slots)
	}
	if q.slots <= 1 {
		return q.slots
	}
	return min(max(1, int(q.longShare*float64(q.slots))), q.slots-1)
}

func (q *Queue) setMaxWait(d time.Duration) {
	q.classes[Short].maxWait = max(0, d)
	q.classes[Long].maxWait = longWaitFactor * max(0, d)
}

func (q *Queue) setLongShare(share float64) { q.longShare = min(max(0, share), 1) }
