package admit

import "time"

// item is a waiting or running request.
type item struct {
	req         Request
	class       Class         // req.Class, or Long once the request turned out to be long
	cost        time.Duration // expected duration, charged to the caller's flow
	latestStart time.Time     // the request is rejected if it has not started by then
	seq         uint64
	flow        *flow // nil while running
	flowIndex   int
	expiryIndex int
	running     bool
}

func latestStartBefore(a, b *item) bool {
	if a.latestStart.Equal(b.latestStart) {
		return a.seq < b.seq
	}
	return a.latestStart.Before(b.latestStart)
}

func arrivedBefore(a, b *item) bool { return a.seq < b.seq }

func arrivedAfter(a, b *item) bool { return a.seq > b.seq }

type flowKey struct {
	caller   string
	priority int
}

// flow holds the waiting requests of one caller in one class and priority.
type flow struct {
	key         flowKey
	seq         uint64        // of the request that created the flow
	startTag    time.Duration // virtual time at which the flow may start its next request
	waitingCost time.Duration // total cost of the waiting requests
	weight      float64
	since       time.Time // when its first waiting request arrived
	items       heap[*item]
	index       int // in classQueue.active
}

// classQueue holds the waiting requests of one class. The flows of the highest
// waiting priority share the slots by start-time fair queueing: the flow with the
// smallest start tag goes next, and its tag then advances by the cost of the
// request divided by the weight of the flow. A new flow starts at the current virtual time, so it does not wait
// behind all the requests with which another caller has flooded the queue.
type classQueue struct {
	order       Order
	maxWait     time.Duration
	flows       map[flowKey]*flow
	byPriority  map[int]priorityTotals
	active      heap[*flow] // flows with waiting requests, the next one first
	weight      float64     // total weight of the active flows
	virtualTime time.Duration
	waitingCost time.Duration // total cost of the waiting requests
	waiting     int
	running     int
	runningCost time.Duration // total cost of the running requests
	lastEmpty   time.Time     // when a request was last added to an empty queue
	service     serviceTime
	free        []*flow
}

func (l *classQueue) init(order Order) {
	l.order = order
	l.flows = make(map[flowKey]*flow)
	l.byPriority = make(map[int]priorityTotals)
	l.active = heap[*flow]{less: flowBefore, setIndex: func(f *flow, at int) { f.index = at }}
	l.service.init()
}

// priorityTotals describes the waiting requests of one priority.
type priorityTotals struct {
	waitingCost time.Duration
	waiting     int
}

// totalsUpTo returns the totals of priority p and all higher priorities.
func (l *classQueue) totalsUpTo(p int) priorityTotals {
	var out priorityTotals
	for priority, v := range l.byPriority {
		if priority <= p {
			out.waitingCost += v.waitingCost
			out.waiting += v.waiting
		}
	}
	return out
}

// addToTotals adds i to the totals of its priority n times; n is 1 or -1.
func (l *classQueue) addToTotals(i *item, n int) {
	p := i.req.Priority
	v := l.byPriority[p]
	v.waitingCost += time.Duration(n) * i.cost
	v.waiting += n
	if l.byPriority[p] = v; v.waiting == 0 {
		delete(l.byPriority, p)
	}
}

// weightOf returns the weight of the caller of a request.
func weightOf(r Request) float64 {
	if r.Weight > 0 {
		return r.Weight
	}
	return 1
}

func flowBefore(a, b *flow) bool {
	if a.key.priority != b.key.priority {
		return a.key.priority < b.key.priority
	}
	if a.startTag == b.startTag {
		return a.seq < b.seq
	}
	return a.startTag < b.startTag
}

func (l *classQueue) newFlow() *flow {
	if n := len(l.free); n > 0 {
		f := l.free[n-1]
		l.free = l.free[:n-1]
		return f
	}
	f := &flow{items: heap[*item]{setIndex: func(i *item, at int) { i.flowIndex = at }}}
	switch l.order {
	case OldestFirst:
		f.items.less = arrivedBefore
	case NewestFirst:
		f.items.less = arrivedAfter
	default:
		f.items.less = latestStartBefore
	}
	return f
}

func (l *classQueue) add(i *item, now time.Time) {
	if l.waiting == 0 {
		l.lastEmpty = now
	}
	key := flowKey{caller: i.req.Caller, priority: i.req.Priority}
	f := l.flows[key]
	if f == nil {
		f = l.newFlow()
		f.key, f.startTag, f.seq, f.weight, f.since = key, l.virtualTime, i.seq, weightOf(i.req), now
		l.flows[key] = f
		l.weight += f.weight
		l.active.push(f)
	}
	i.flow = f
	f.items.push(i)
	f.waitingCost += i.cost
	l.waitingCost += i.cost
	l.waiting++
	l.addToTotals(i, 1)
}

func (l *classQueue) remove(i *item) {
	f := i.flow
	i.flow = nil
	f.items.remove(i.flowIndex)
	f.waitingCost -= i.cost
	l.waitingCost -= i.cost
	l.waiting--
	l.addToTotals(i, -1)
	if f.items.len() > 0 {
		return
	}
	l.active.remove(f.index)
	l.weight -= f.weight
	if l.active.len() == 0 {
		l.weight = 0 // without what rounding has left
	}
	delete(l.flows, f.key)
	f.key = flowKey{}
	l.free = append(l.free, f)
}

// head returns the request that starts next, or nil.
func (l *classQueue) head() *item {
	if l.active.len() == 0 {
		return nil
	}
	return l.active.list[0].items.list[0]
}

// dequeue removes the request that starts next and charges its cost to its flow.
func (l *classQueue) dequeue() *item {
	i := l.head()
	f := i.flow
	l.virtualTime = max(l.virtualTime, f.startTag)
	f.startTag += time.Duration(float64(i.cost) / f.weight)
	l.active.fix(f.index)
	l.remove(i)
	return i
}

// waitingLimit returns the limit on waiting requests, which bounds the memory of the
// queue: twice the number that the slots can serve within the maximum wait.
func (l *classQueue) waitingLimit(slots int) int {
	n := 2 * l.maxWait * time.Duration(max(1, slots)) / l.service.measured
	return int(min(max(n, minWaitingLimit), maxWaitingLimit))
}

// overLimit reports whether the caller of i has used up its share of the limit on
// waiting requests. The first half of the limit is open to every caller; the
// other half is divided by weight, so that one caller cannot take all of it. All
// priorities together hold at most four times the limit.
func (l *classQueue) overLimit(i *item, slots int) bool {
	limit := l.waitingLimit(slots)
	if l.totalsUpTo(i.req.Priority).waiting <= limit/2 && l.waiting <= 4*limit {
		return false
	}
	share := max(1, int(float64(limit/2)*i.flow.weight/l.weight))
	return i.flow.items.len() > share || l.waiting > 4*limit
}

// costAhead returns the total cost of the requests that start before i. It is at
// most the cost of everything that waits, and at most what the flows that take turns
// with that of i are served, by their weights, until its waiting requests have started.
func (l *classQueue) costAhead(i *item) time.Duration {
	ownCost := i.flow.waitingCost
	if i.flowIndex == 0 {
		ownCost = i.cost
	}
	allTurns := time.Duration(float64(ownCost) * l.weight / i.flow.weight)
	return min(l.totalsUpTo(i.req.Priority).waitingCost, allTurns) - i.cost
}

// expectedWait converts the cost of the requests ahead into a wait, given the
// number of slots that serve them. Running requests are assumed to be half done.
func (l *classQueue) expectedWait(costAhead time.Duration, slots int) time.Duration {
	cost := float64(costAhead + l.runningCost/2)
	return time.Duration(cost * l.service.ratio / float64(max(1, slots)))
}

// standingWaitDivisor shortens the maximum wait to a quarter for new requests
// while there is a standing queue.
const standingWaitDivisor = 4

// isStanding reports whether the queue of i has been non-empty for longer than a burst
// or the transfer of a slot between entries explains. A standing queue delays
// every request without adding throughput, so it is kept short. Callers with weights
// have queues of their own: that of one which sends too much does not count for others.
func (l *classQueue) isStanding(i *item, now time.Time) bool {
	since := l.lastEmpty
	if i.req.Weight > 0 {
		since = i.flow.since
	}
	return now.Sub(since) > l.maxWait
}

// missesDeadline reports whether i would end after its deadline, judged by the
// measured service time. While no request of the class runs, only the expected
// duration of i counts: without a new measurement, a backend server that has
// recovered would be taken for slow forever.
func (l *classQueue) missesDeadline(i *item, now time.Time) bool {
	if l.running == 0 || l.service.ratio <= 1 {
		return false
	}
	duration := time.Duration(float64(i.cost) * l.service.ratio)
	return !now.Add(duration).Before(i.req.Deadline)
}

// serviceTime compares measured with expected durations of requests. The ratio
// corrects the expected wait when the expected durations are wrong.
type serviceTime struct {
	measured time.Duration // exponentially weighted mean of the measured durations
	expected time.Duration // exponentially weighted mean of the expected durations
	ratio    float64
}

const (
	ewmaDivisor = 16
	// outlierRatio limits the effect of a single request that was blocked on a lock.
	outlierRatio = 8
	minRatio     = 1.0 / 8
	maxRatio     = 8
)

func (s *serviceTime) init() {
	s.measured, s.expected, s.ratio = defaultServiceTime, defaultServiceTime, 1
}

func (s *serviceTime) observe(took, expected time.Duration) {
	took = min(took, outlierRatio*s.measured)
	s.measured = max(1, s.measured+(took-s.measured)/ewmaDivisor)
	s.expected = max(1, s.expected+(expected-s.expected)/ewmaDivisor)
	s.ratio = min(max(float64(s.measured)/float64(s.expected), minRatio), maxRatio)
}
