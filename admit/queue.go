package admit

import (
	"time"

	"tamarackcross/errs"
)

// Offer adds a request to the queue. It is started, refused or left waiting;
// the decisions may concern other requests too.
func (q *Queue) Offer(r Request, now time.Time) []Decision {
	q.begin(now)
	if q.items[r.ID] != nil {
		return q.out
	}
	i := q.newItem(r)
	if !now.Before(i.latest) {
		q.refuse(i, q.limitReason(i))
		return q.out
	}
	l := &q.lanes[i.class]
	q.items[r.ID] = i
	l.add(i, now)
	q.expiry.push(i)
	q.dispatch(now)
	if i.flow != nil {
		q.bound(i, now)
	}
	return q.out
}

// Done reports that a started request has ended and gave its slot back. Took is
// the time for which it held the slot.
func (q *Queue) Done(id uint64, took time.Duration, now time.Time) []Decision {
	q.begin(now)
	i := q.items[id]
	if i == nil || !i.running {
		return q.out
	}
	l := &q.lanes[i.class]
	l.running--
	l.busy -= i.cost
	l.speed.observe(took, i.cost)
	delete(q.items, id)
	q.recycle(i)
	q.dispatch(now)
	return q.out
}

// Cancel reports that the caller of a request left. A waiting request is
// refused; a running one keeps its slot until Done.
func (q *Queue) Cancel(id uint64, now time.Time) []Decision {
	q.begin(now)
	if i := q.items[id]; i != nil && !i.running {
		q.evict(i, errs.ReasonCancelled)
	}
	q.dispatch(now)
	return q.out
}

// Grown reports that a running request turned out to be long. It counts as long
// work at once, also if long work then holds more than its share: no long work
// starts until it is below the share again.
func (q *Queue) Grown(id uint64, now time.Time) []Decision {
	q.begin(now)
	i := q.items[id]
	if i == nil || !i.running || i.class == Long {
		return q.out
	}
	q.lanes[Short].running--
	q.lanes[Short].busy -= i.cost
	i.class = Long
	i.cost = max(i.cost, q.lanes[Long].speed.service)
	q.lanes[Long].running++
	q.lanes[Long].busy += i.cost
	q.dispatch(now)
	return q.out
}

// Resize sets the number of slots. Requests that run beyond a smaller number
// end normally; nothing starts until they are below it.
func (q *Queue) Resize(slots int, now time.Time) []Decision {
	q.begin(now)
	q.slots = max(0, slots)
	q.dispatch(now)
	return q.out
}

// ResizeLong sets how many of the slots long work may hold, as leased from the
// owner of the backend server, which keeps the fleet-wide share and the last
// slot free of long work. A negative number returns to the share of the slots.
func (q *Queue) ResizeLong(slots int, now time.Time) []Decision {
	q.begin(now)
	q.longSlots = max(derived, slots)
	q.dispatch(now)
	return q.out
}

// SetLongShare applies a new share of long work at once.
func (q *Queue) SetLongShare(share float64, now time.Time) []Decision {
	q.begin(now)
	q.setLongShare(share)
	q.dispatch(now)
	return q.out
}

// SetMaxWait applies a new bound on the wait at once, also to waiting requests.
func (q *Queue) SetMaxWait(d time.Duration, now time.Time) []Decision {
	q.setMaxWait(d)
	for _, i := range q.expiry.list {
		i.latest = q.latest(i)
	}
	q.expiry.rebuild()
	for n := range q.lanes {
		for _, f := range q.lanes[n].flows {
			f.items.rebuild()
		}
	}
	q.begin(now)
	q.dispatch(now)
	return q.out
}

// Drain refuses every waiting request, for instance at a shutdown. Running
// requests are left to end.
func (q *Queue) Drain(reason errs.Reason, now time.Time) []Decision {
	q.begin(now)
	for q.expiry.len() > 0 {
		q.evict(q.expiry.list[0], reason)
	}
	return q.out
}

// Tick refuses the requests whose time is up.
func (q *Queue) Tick(now time.Time) []Decision {
	q.begin(now)
	q.dispatch(now)
	return q.out
}

// Wait returns how long a request of a class and priority that came now would wait
// for its start.
func (q *Queue) Wait(c Class, priority int) time.Duration {
	if q.Running() < q.slots {
		return 0
	}
	l := &q.lanes[c]
	return l.wait(l.upTo(priority).work, q.serving(c))
}

// Next returns when Tick is next useful, or the zero time if no request waits.
func (q *Queue) Next(time.Time) time.Time {
	if q.expiry.len() == 0 {
		return time.Time{}
	}
	return q.expiry.list[0].latest
}

// begin clears the decisions of the previous event and refuses what can no
// longer finish in time, so that no event starts such a request.
func (q *Queue) begin(now time.Time) {
	q.out = q.out[:0]
	for q.expiry.len() > 0 {
		i := q.expiry.list[0]
		if now.Before(i.latest) {
			return
		}
		q.evict(i, q.limitReason(i))
	}
}

// dispatch starts waiting requests while there are free slots.
func (q *Queue) dispatch(now time.Time) {
	for q.Running() < q.slots {
		l := q.next()
		if l == nil {
			return
		}
		i := l.head()
		if l.hopeless(i, now) {
			q.evict(i, errs.ReasonDeadline)
			continue
		}
		q.start(l.take())
	}
}

// next returns the lane that starts a request, or nil. Long work that waits
// takes its share first: the cap keeps it from delaying short work, and behind
// short work it would never run at the crest.
func (q *Queue) next() *lane {
	if q.lanes[Long].waiting > 0 && q.longMayStart() {
		return &q.lanes[Long]
	}
	if q.lanes[Short].waiting > 0 {
		return &q.lanes[Short]
	}
	return nil
}

func (q *Queue) longMayStart() bool {
	if q.longSlots == derived && q.slots == 1 && q.lanes[Short].waiting > 0 {
		return false
	}
	return q.lanes[Long].running < q.LongLimit()
}

func (q *Queue) start(i *item) {
	q.expiry.remove(i.expiryAt)
	i.running = true
	l := &q.lanes[i.class]
	l.running++
	l.busy += i.cost
	q.out = append(q.out, Start{ID: i.req.ID})
}

// bound refuses a request that has to wait if its wait would be too long.
func (q *Queue) bound(i *item, now time.Time) {
	l := &q.lanes[i.class]
	if l.crowded(i, q.slots) {
		q.evict(q.victim(i), errs.ReasonQueueFull)
		return
	}
	wait := l.wait(l.ahead(i), q.serving(i.class))
	switch {
	case !now.Add(wait).Before(i.latest):
		q.evict(i, q.limitReason(i))
	case wait > l.maxWait/standingPart && l.standing(now) && q.order != NewestFirst:
		q.evict(i, errs.ReasonQueueFull)
	}
}

// victim returns the request that leaves a crowded queue in place of i.
func (q *Queue) victim(i *item) *item {
	if q.order == NewestFirst {
		return q.expiry.list[0]
	}
	return i
}

// serving returns the number of slots that serve a class while it waits.
func (q *Queue) serving(c Class) int {
	if c == Long {
		return max(1, q.LongLimit())
	}
	long := &q.lanes[Long]
	taken := max(long.running, min(q.LongLimit(), long.running+long.waiting))
	return max(1, q.slots-taken)
}

func (q *Queue) evict(i *item, reason errs.Reason) {
	q.lanes[i.class].drop(i)
	q.expiry.remove(i.expiryAt)
	delete(q.items, i.req.ID)
	q.refuse(i, reason)
}

func (q *Queue) refuse(i *item, reason errs.Reason) {
	l := &q.lanes[i.class]
	after := max(minRetryAfter, l.wait(l.work, q.serving(i.class)))
	q.out = append(q.out, Refuse{ID: i.req.ID, Reason: reason, RetryAfter: spread(after, i.req.ID)})
	q.recycle(i)
}

// spread varies d by up to a quarter either way, by a hash of the request, so
// that callers refused together do not return together.
func spread(d time.Duration, id uint64) time.Duration {
	const golden = 0x9E3779B97F4A7C15
	part := float64((id*golden)>>40) / (1 << 24)
	return time.Duration(float64(d) * (0.75 + part/2))
}

// latest returns the time before which i must start: early enough to finish by
// its deadline, and within the bound on the wait.
func (q *Queue) latest(i *item) time.Time {
	byDeadline := i.req.Deadline.Add(-i.req.Expected)
	byWait := i.req.Arrived.Add(q.lanes[i.class].maxWait)
	if byDeadline.Before(byWait) {
		return byDeadline
	}
	return byWait
}

// limitReason names the limit that i ran into.
func (q *Queue) limitReason(i *item) errs.Reason {
	if i.latest.Before(i.req.Arrived.Add(q.lanes[i.class].maxWait)) {
		return errs.ReasonDeadline
	}
	return errs.ReasonQueueFull
}

func (q *Queue) newItem(r Request) *item {
	i := q.unused()
	q.seq++
	*i = item{req: r, class: r.Class, cost: r.Expected, seq: q.seq}
	if i.cost <= 0 {
		i.cost = q.lanes[r.Class].speed.service
	}
	i.latest = q.latest(i)
	return i
}

func (q *Queue) unused() *item {
	n := len(q.free)
	if n == 0 {
		return new(item)
	}
	i := q.free[n-1]
	q.free = q.free[:n-1]
	return i
}

func (q *Queue) recycle(i *item) {
	*i = item{}
	q.free = append(q.free, i)
}
