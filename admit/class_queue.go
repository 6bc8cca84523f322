package admit

import "time"

// item is one request that waits or runs.
type item struct {
	req      Request
	class    Class // in force; Grown changes it
	cost     time.Duration
	latest   time.Time // the request starts before this time or not at all
	seq      uint64
	flow     *flow // nil while running
	flowAt   int
	expiryAt int
	running  bool
}

func sooner(a, b *item) bool {
	if a.latest.Equal(b.latest) {
		return a.seq < b.seq
	}
	return a.latest.Before(b.latest)
}

func older(a, b *item) bool { return a.seq < b.seq }

func newer(a, b *item) bool { return a.seq > b.seq }

// flowKey names a flow.
type flowKey struct {
	caller   string
	priority int
}

// flow holds the waiting requests of one caller in one class and priority.
type flow struct {
	key   flowKey
	seq   uint64        // of the request that made the caller wait
	tag   time.Duration // virtual time at which the flow may start its next request
	work  time.Duration // sum of the costs that wait
	items heap[*item]
	at    int
}

// lane holds the waiting requests of one class. Callers of the highest priority that
// waits share it by start-time fair queueing: the caller with the smallest tag starts next, and its tag then
// advances by the cost of the request. A caller that starts to wait enters at
// the current virtual time, so a flood of another caller is not ahead of it.
type lane struct {
	order   Order
	maxWait time.Duration
	flows   map[flowKey]*flow
	levels  map[int]level // by priority
	active  heap[*flow]
	virtual time.Duration
	work    time.Duration // sum of the costs that wait
	waiting int
	running int
	busy    time.Duration // sum of the costs that run
	since   time.Time     // when a request last found nobody waiting
	speed   speed
	free    []*flow
}

func (l *lane) init(order Order) {
	l.order = order
	l.flows = make(map[flowKey]*flow)
	l.levels = make(map[int]level)
	l.active = heap[*flow]{less: earlier, place: func(f *flow, at int) { f.at = at }}
	l.speed.init()
}

// level sums up what waits in one priority.
type level struct {
	work    time.Duration
	waiting int
}

// upTo sums up what waits in priority p and higher ones.
func (l *lane) upTo(p int) level {
	var out level
	for priority, v := range l.levels {
		if priority <= p {
			out.work += v.work
			out.waiting += v.waiting
		}
	}
	return out
}

func (l *lane) count(i *item, n int) {
	p := i.req.Priority
	v := l.levels[p]
	v.work += time.Duration(n) * i.cost
	v.waiting += n
	if l.levels[p] = v; v.waiting == 0 {
		delete(l.levels, p)
	}
}

func earlier(a, b *flow) bool {
	if a.key.priority != b.key.priority {
		return a.key.priority < b.key.priority
	}
	if a.tag == b.tag {
		return a.seq < b.seq
	}
	return a.tag < b.tag
}

func (l *lane) newFlow() *flow {
	if n := len(l.free); n > 0 {
		f := l.free[n-1]
		l.free = l.free[:n-1]
		return f
	}
	f := &flow{items: heap[*item]{place: func(i *item, at int) { i.flowAt = at }}}
	switch l.order {
	case OldestFirst:
		f.items.less = older
	case NewestFirst:
		f.items.less = newer
	default:
		f.items.less = sooner
	}
	return f
}

func (l *lane) add(i *item, now time.Time) {
	if l.waiting == 0 {
		l.since = now
	}
	key := flowKey{caller: i.req.Caller, priority: i.req.Priority}
	f := l.flows[key]
	if f == nil {
		f = l.newFlow()
		f.key, f.tag, f.seq = key, l.virtual, i.seq
		l.flows[key] = f
		l.active.push(f)
	}
	i.flow = f
	f.items.push(i)
	f.work += i.cost
	l.work += i.cost
	l.waiting++
	l.count(i, 1)
}

func (l *lane) drop(i *item) {
	f := i.flow
	i.flow = nil
	f.items.remove(i.flowAt)
	f.work -= i.cost
	l.work -= i.cost
	l.waiting--
	l.count(i, -1)
	if f.items.len() > 0 {
		return
	}
	l.active.remove(f.at)
	delete(l.flows, f.key)
	f.key = flowKey{}
	l.free = append(l.free, f)
}

// head returns the request that starts next, or nil.
func (l *lane) head() *item {
	if l.active.len() == 0 {
		return nil
	}
	return l.active.list[0].items.list[0]
}

// take removes the request that starts next and charges its caller.
func (l *lane) take() *item {
	i := l.head()
	f := i.flow
	l.virtual = max(l.virtual, f.tag)
	f.tag += i.cost
	l.active.fix(f.at)
	l.drop(i)
	return i
}

// limit returns the cap on waiting requests: twice what the slots can serve
// within the longest wait.
func (l *lane) limit(slots int) int {
	n := 2 * l.maxWait * time.Duration(max(1, slots)) / l.speed.service
	return int(min(max(n, minWaiting), maxWaiting))
}

// crowded reports whether the memory for waiting requests is used up for the
// caller of i. Half of the cap is open to everyone; beyond it each caller has an
// equal part, so that one caller cannot use up the memory of the others.
func (l *lane) crowded(i *item, slots int) bool {
	limit := l.limit(slots)
	if l.upTo(i.req.Priority).waiting <= limit/2 && l.waiting <= 4*limit {
		return false
	}
	part := max(1, limit/2/l.active.len())
	return i.flow.items.len() > part || l.waiting > 4*limit
}

// ahead returns the work that starts before i: at most all that waits, and at
// most what its own caller has waiting times the number of callers that take
// turns with it.
func (l *lane) ahead(i *item) time.Duration {
	own := i.flow.work
	if i.flowAt == 0 {
		own = i.cost
	}
	turns := own * time.Duration(l.active.len())
	return min(l.upTo(i.req.Priority).work, turns) - i.cost
}

// wait converts work ahead into time, given the number of slots that serve it.
// A running request is on average half done.
func (l *lane) wait(ahead time.Duration, slots int) time.Duration {
	work := float64(ahead + l.busy/2)
	return time.Duration(work * l.speed.ratio / float64(max(1, slots)))
}

// standingPart is the part of the longest wait that stays open to new requests
// while the queue is standing.
const standingPart = 4

// standing reports whether the queue has not been empty for a time that a burst
// or a slot rotation does not explain. A standing queue adds delay to every
// request without adding throughput, so it is kept short.
func (l *lane) standing(now time.Time) bool { return now.Sub(l.since) > l.maxWait }

// hopeless reports whether i would end after its deadline at the measured
// speed. While nothing of the class runs, i may start if its own expected
// duration allows it, because only that measures a backend server that has
// recovered.
func (l *lane) hopeless(i *item, now time.Time) bool {
	if l.running == 0 || l.speed.ratio <= 1 {
		return false
	}
	takes := time.Duration(float64(i.cost) * l.speed.ratio)
	return !now.Add(takes).Before(i.req.Deadline)
}

// speed compares measured with expected durations. The ratio corrects the
// estimated wait while the expected durations are off.
type speed struct {
	service  time.Duration // decayed mean of the measured durations
	expected time.Duration // decayed mean of what was expected of them
	ratio    float64
}

const (
	speedWeight = 16
	// outlierRatio limits the effect of one request that waited for a lock.
	outlierRatio = 8
	minRatio     = 1.0 / 8
	maxRatio     = 8
)

func (s *speed) init() {
	s.service, s.expected, s.ratio = defaultService, defaultService, 1
}

func (s *speed) observe(took, expected time.Duration) {
	took = min(took, outlierRatio*s.service)
	s.service = max(1, s.service+(took-s.service)/speedWeight)
	s.expected = max(1, s.expected+(expected-s.expected)/speedWeight)
	s.ratio = min(max(float64(s.service)/float64(s.expected), minRatio), maxRatio)
}
