package admit

import (
	"time"

	"tamarackcross/errs"
)

// Offer adds a request to the queue. The request starts, waits or is refused;
// the returned decisions may include other requests.
func (q *Queue) Offer(r Request, now time.Time) []Decision {
	q.beginEvent(now)
	if q.items[r.ID] != nil {
		return q.decisions
	}
	i := q.newItem(r)
	if !now.Before(i.latestStart) {
		q.refuse(i, q.limitReason(i))
		return q.decisions
	}
	l := &q.classes[i.class]
	q.items[r.ID] = i
	l.add(i, now)
	q.expiry.push(i)
	q.dispatch(now)
	if i.flow != nil {
		q.limitWait(i, now)
	}
	return q.decisions
}

// Done reports that a started request has ended and released its slot after
// holding it for took.
func (q *Queue) Done(id uint64, took time.Duration, now time.Time) []Decision {
	q.beginEvent(now)
	i := q.items[id]
	if i == nil || !i.running {
		return q.decisions
	}
	l := &q.classes[i.class]
	l.running--
	l.runningCost -= i.cost
	l.service.observe(took, i.cost)
	delete(q.items, id)
	q.recycle(i)
	q.dispatch(now)
	return q.decisions
}

// Cancel reports that the caller no longer waits for a request. A waiting request
// is refused; a running one keeps its slot until Done.
func (q *Queue) Cancel(id uint64, now time.Time) []Decision {
	q.beginEvent(now)
	if i := q.items[id]; i != nil && !i.running {
		q.evict(i, errs.ReasonCancelled)
	}
	q.dispatch(now)
	return q.decisions
}

// MarkLong counts a running request as long from now on, because it turned out to be
// long. Long requests may then hold more slots than their limit; no other one
// starts until they are below it again.
func (q *Queue) MarkLong(id uint64, now time.Time) []Decision {
	q.beginEvent(now)
	i := q.items[id]
	if i == nil || !i.running || i.class == Long {
		return q.decisions
	}
	q.classes[Short].running--
	q.classes[Short].runningCost -= i.cost
	i.class = Long
	i.cost = max(i.cost, q.classes[Long].service.measured)
	q.classes[Long].running++
	q.classes[Long].runningCost += i.cost
	q.dispatch(now)
	return q.decisions
}

// Resize sets the number of slots. If more requests are running, they end
// normally and none starts until fewer than slots are running.
func (q *Queue) Resize(slots int, now time.Time) []Decision {
	q.beginEvent(now)
	q.slots = max(0, slots)
	q.dispatch(now)
	return q.decisions
}

// ResizeLong sets how many of the slots long requests may hold. The number is
// leased from the owner of the backend server, which enforces the share of long
// requests over all entries and keeps the last slot for short ones. A negative
// number restores the limit derived from the share of the slots.
func (q *Queue) ResizeLong(slots int, now time.Time) []Decision {
	q.beginEvent(now)
	q.longSlots = max(longSlotsFromShare, slots)
	q.dispatch(now)
	return q.decisions
}

// SetLongShare changes the share of the slots that long requests may use.
func (q *Queue) SetLongShare(share float64, now time.Time) []Decision {
	q.beginEvent(now)
	q.setLongShare(share)
	q.dispatch(now)
	return q.decisions
}

// SetMaxWait changes the maximum wait, also for requests that already wait.
func (q *Queue) SetMaxWait(d time.Duration, now time.Time) []Decision {
	q.setMaxWait(d)
	for _, i := range q.expiry.list {
		i.latestStart = q.latestStart(i)
	}
	q.expiry.rebuild()
	for n := range q.classes {
		for _, f := range q.classes[n].flows {
			f.items.rebuild()
		}
	}
	q.beginEvent(now)
	q.dispatch(now)
	return q.decisions
}

// Drain refuses every waiting request, for instance at shutdown. Running requests
// are not affected.
func (q *Queue) Drain(reason errs.Reason, now time.Time) []Decision {
	q.beginEvent(now)
	for q.expiry.len() > 0 {
		q.evict(q.expiry.list[0], reason)
	}
	return q.decisions
}

// Tick refuses the requests that can no longer start in time, and starts others
// in free slots.
func (q *Queue) Tick(now time.Time) []Decision {
	q.beginEvent(now)
	q.dispatch(now)
	return q.decisions
}

// ExpectedWait returns the expected wait of a request of the class and priority that
// arrives now. It does not block.
func (q *Queue) ExpectedWait(c Class, priority int) time.Duration {
	if q.Running() < q.slots {
		return 0
	}
	l := &q.classes[c]
	return l.expectedWait(l.totalsUpTo(priority).waitingCost, q.slotsFor(c))
}

// NextTick returns when Tick should be called next, or the zero time if no request
// waits.
func (q *Queue) NextTick(time.Time) time.Time {
	if q.expiry.len() == 0 {
		return time.Time{}
	}
	return q.expiry.list[0].latestStart
}

// beginEvent clears the decisions of the previous event and refuses the requests
// that can no longer start in time, so that the event does not start them.
func (q *Queue) beginEvent(now time.Time) {
	q.decisions = q.decisions[:0]
	for q.expiry.len() > 0 {
		i := q.expiry.list[0]
		if now.Before(i.latestStart) {
			return
		}
		q.evict(i, q.limitReason(i))
	}
}

// dispatch starts waiting requests while slots are free.
func (q *Queue) dispatch(now time.Time) {
	for q.Running() < q.slots {
		l := q.nextClass()
		if l == nil {
			return
		}
		i := l.head()
		if l.missesDeadline(i, now) {
			q.evict(i, errs.ReasonDeadline)
			continue
		}
		q.start(l.dequeue())
	}
}

// nextClass returns the class that starts the next request, or nil. Waiting long
// requests go first: their limit keeps them from delaying short ones, and behind
// short ones they would never run during a load peak.
func (q *Queue) nextClass() *classQueue {
	if q.classes[Long].waiting > 0 && q.longMayStart() {
		return &q.classes[Long]
	}
	if q.classes[Short].waiting > 0 {
		return &q.classes[Short]
	}
	return nil
}

func (q *Queue) longMayStart() bool {
	if q.longSlots == longSlotsFromShare && q.slots == 1 && q.classes[Short].waiting > 0 {
		return false
	}
	return q.classes[Long].running < q.LongLimit()
}

func (q *Queue) start(i *item) {
	q.expiry.remove(i.expiryIndex)
	i.running = true
	l := &q.classes[i.class]
	l.running++
	l.runningCost += i.cost
	q.decisions = append(q.decisions, Start{ID: i.req.ID})
}

// limitWait refuses the waiting request i if its expected wait is too long.
func (q *Queue) limitWait(i *item, now time.Time) {
	l := &q.classes[i.class]
	if l.overLimit(i, q.slots) {
		q.evict(q.victim(i), errs.ReasonQueueFull)
		return
	}
	wait := l.expectedWait(l.costAhead(i), q.slotsFor(i.class))
	switch {
	case !now.Add(wait).Before(i.latestStart):
		q.evict(i, q.limitReason(i))
	case wait > l.maxWait/standingWaitDivisor && l.isStanding(i, now) && q.order != NewestFirst:
		q.evict(i, errs.ReasonQueueFull)
	}
}

// victim returns the request to refuse when i exceeds the limit on waiting
// requests.
func (q *Queue) victim(i *item) *item {
	if q.order == NewestFirst {
		return q.expiry.list[0]
	}
	return i
}

// slotsFor returns the number of slots that serve a class while requests of it
// wait.
func (q *Queue) slotsFor(c Class) int {
	if c == Long {
		return max(1, q.LongLimit())
	}
	long := &q.classes[Long]
	longSlots := max(long.running, min(q.LongLimit(), long.running+long.waiting))
	return max(1, q.slots-longSlots)
}

func (q *Queue) evict(i *item, reason errs.Reason) {
	q.classes[i.class].remove(i)
	q.expiry.remove(i.expiryIndex)
	delete(q.items, i.req.ID)
	q.refuse(i, reason)
}

func (q *Queue) refuse(i *item, reason errs.Reason) {
	l := &q.classes[i.class]
	after := max(minRetryAfter, l.expectedWait(l.waitingCost, q.slotsFor(i.class)))
	q.decisions = append(q.decisions, Refuse{ID: i.req.ID, Reason: reason, RetryAfter: jitter(after, i.req.ID)})
	q.recycle(i)
}

// jitter varies d by up to a quarter either way, by a hash of the request ID, so
// that callers refused together do not retry at the same time.
func jitter(d time.Duration, id uint64) time.Duration {
	const goldenRatio = 0x9E3779B97F4A7C15
	fraction := float64((id*goldenRatio)>>40) / (1 << 24)
	return time.Duration(float64(d) * (0.75 + fraction/2))
}

// latestStart returns the time before which i must start to finish by its
// deadline and to stay within the maximum wait.
func (q *Queue) latestStart(i *item) time.Time {
	byDeadline := i.req.Deadline.Add(-i.req.Expected)
	byWait := i.req.Arrived.Add(q.classes[i.class].maxWait)
	if byDeadline.Before(byWait) {
		return byDeadline
	}
	return byWait
}

// limitReason returns the reason for refusing i at its latest start: the deadline
// or the maximum wait, whichever comes first.
func (q *Queue) limitReason(i *item) errs.Reason {
	if i.latestStart.Before(i.req.Arrived.Add(q.classes[i.class].maxWait)) {
		return errs.ReasonDeadline
	}
	return errs.ReasonQueueFull
}

func (q *Queue) newItem(r Request) *item {
	i := q.allocItem()
	q.seq++
	*i = item{req: r, class: r.Class, cost: r.Expected, seq: q.seq}
	if i.cost <= 0 {
		i.cost = q.classes[r.Class].service.measured
	}
	i.latestStart = q.latestStart(i)
	return i
}

func (q *Queue) allocItem() *item {
	n := len(q.freeItems)
	if n == 0 {
		return new(item)
	}
	i := q.freeItems[n-1]
	q.freeItems = q.freeItems[:n-1]
	return i
}

func (q *Queue) recycle(i *item) {
	*i = item{}
	q.freeItems = append(q.freeItems, i)
}
