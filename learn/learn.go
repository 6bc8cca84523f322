// Package learn keeps the durations learned per statement shape and classifies
// shapes as short or long relative to the typical duration over all shapes.
package learn

import (
	"math/bits"
	"sync"
	"time"
)

// Class is the expected size of a statement.
type Class int

// The classes. A shape never seen before is Short.
const (
	Short Class = iota
	Long
)

// String names the class.
func (c Class) String() string {
	if c == Long {
		return "long"
	}
	return "short"
}

// Estimate is what is known about a shape.
type Estimate struct {
	Mean  time.Duration // decayed mean, outliers limited
	High  time.Duration // about the 95th percentile
	Class Class
	Known bool // at least one statement of the shape has ended or run long
}

const (
	defaultShapes  = 8192
	defaultShards  = 16
	defaultFactor  = 8.0
	defaultTypical = 10 * time.Millisecond
	// defaultFloor keeps very fast workloads from calling a statement of a few
	// milliseconds long: it delays others less than one network round trip.
	defaultFloor = 5 * time.Millisecond
	// defaultIdle and defaultHalfLife age the estimate of a shape that no longer
	// runs. Without ageing, a shape learned as slower than its callers' deadlines
	// would be refused for ever and never measured again.
	defaultIdle     = 10 * time.Second
	defaultHalfLife = 5 * time.Second
	// maxHalvings bounds the shift by which an aged estimate shrinks.
	maxHalvings = 30
)

// Learner learns durations per statement shape. It is safe for concurrent use:
// shapes are spread over shards, each under its own lock.
type Learner struct {
	shards   []shard
	shift    uint
	typical  typical
	idle     time.Duration
	halfLife time.Duration
}

type options struct {
	shapes   int
	shards   int
	factor   float64
	typical  time.Duration
	floor    time.Duration
	idle     time.Duration
	halfLife time.Duration
}

// Option sets a parameter of a Learner.
type Option func(*options)

// WithShapes bounds the number of shapes kept; the least recently used shape of
// a shard makes room for a new one.
func WithShapes(n int) Option { return func(o *options) { o.shapes = max(1, n) } }

// WithShards sets the number of shards, rounded up to a power of two.
func WithShards(n int) Option { return func(o *options) { o.shards = max(1, n) } }

// WithFactor sets how many times longer than the typical statement a long one is.
func WithFactor(f float64) Option { return func(o *options) { o.factor = max(1, f) } }

// WithTypical sets the typical duration assumed before statements are measured.
func WithTypical(d time.Duration) Option { return func(o *options) { o.typical = max(1, d) } }

// WithFloor sets the duration below which no statement is long.
func WithFloor(d time.Duration) Option { return func(o *options) { o.floor = max(1, d) } }

// WithAgeing sets how long a shape may be idle before its estimate shrinks, and
// the time in which it then halves.
func WithAgeing(idle, halfLife time.Duration) Option {
	return func(o *options) { o.idle, o.halfLife = max(0, idle), max(1, halfLife) }
}

// New returns a Learner that knows no shape.
func New(opts ...Option) *Learner {
	o := options{
		shapes: defaultShapes, shards: defaultShards, factor: defaultFactor, typical: defaultTypical,
		floor: defaultFloor, idle: defaultIdle, halfLife: defaultHalfLife,
	}
	for _, opt := range opts {
		opt(&o)
	}
	logShards := bits.Len(uint(o.shards - 1))
	if 1<<logShards > o.shapes { // each shard keeps at least one shape
		logShards = bits.Len(uint(o.shapes)) - 1
	}
	l := &Learner{
		shards:   make([]shard, 1<<logShards),
		shift:    uint(64 - logShards),
		idle:     o.idle,
		halfLife: o.halfLife,
	}
	l.typical.init(o.typical, o.factor, o.floor)
	for i := range l.shards {
		l.shards[i].init(max(1, o.shapes>>logShards))
	}
	return l
}

// SetFactor applies a new factor at once; classes follow with the next
// observation of each shape.
func (l *Learner) SetFactor(f float64) { l.typical.setFactor(max(1, f)) }

// Threshold returns the duration above which work is long. The entry reports a
// statement that runs beyond it with Running.
func (l *Learner) Threshold() time.Duration { return time.Duration(l.typical.threshold.Load()) }

// Typical returns the median duration over recent statements of all shapes.
func (l *Learner) Typical() time.Duration { return time.Duration(l.typical.median.Load()) }

// Lookup returns what is known about a shape and marks it as used.
func (l *Learner) Lookup(fingerprint uint64, now time.Time) Estimate {
	s := l.shard(fingerprint)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.find(fingerprint)
	if e == nil {
		return Estimate{}
	}
	return Estimate{
		Mean:  l.aged(e.mean, e.last, now),
		High:  l.aged(e.high, e.last, now),
		Class: e.class,
		Known: true,
	}
}

// Observe records the duration of a statement that ended and returns the class
// of its shape.
func (l *Learner) Observe(fingerprint uint64, took time.Duration, now time.Time) Class {
	took = max(1, took)
	s := l.shard(fingerprint)
	s.mu.Lock()
	e, sampled := s.observe(fingerprint, took, now)
	class := e.reclassify(l.Threshold())
	s.mu.Unlock()
	if sampled {
		l.typical.add(took)
	}
	return class
}

// Running records that a statement is still running after ran, and returns how
// the statement counts from now on. A shape without completed statements turns
// long as soon as ran passes the threshold; a known shape is judged by its
// completed statements, only the running statement counts as long.
func (l *Learner) Running(fingerprint uint64, ran time.Duration, now time.Time) Class {
	if ran <= l.Threshold() {
		return Short
	}
	s := l.shard(fingerprint)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.find(fingerprint)
	if e == nil {
		e = s.insert(fingerprint)
	}
	if e.count == 0 {
		e.mean, e.high = float64(ran), float64(ran)
		e.last = now
		e.class = Long
	}
	return Long
}

// Len returns the number of shapes kept.
func (l *Learner) Len() int {
	n := 0
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		n += len(s.index)
		s.mu.Unlock()
	}
	return n
}

// shard spreads fingerprints by the high bits of a multiplicative hash, because
// fingerprints of similar statements may share their low bits.
func (l *Learner) shard(fingerprint uint64) *shard {
	const golden = 0x9E3779B97F4A7C15
	return &l.shards[(fingerprint*golden)>>l.shift]
}

func (l *Learner) aged(v float64, last, now time.Time) time.Duration {
	over := now.Sub(last) - l.idle
	if over <= 0 {
		return time.Duration(v)
	}
	halvings := min(maxHalvings, int64(over/l.halfLife))
	rest := float64(over%l.halfLife) / float64(l.halfLife)
	return time.Duration(v / float64(int64(1)<<halvings) * (1 - rest/2))
}

// shard holds the shapes of one part of the fingerprint space. The entries form
// a doubly linked list by recency over a fixed slab, so that observing a known
// shape allocates nothing.
type shard struct {
	mu      sync.Mutex
	index   map[uint64]int32
	entries []entry
	limit   int
	head    int32 // most recently used
	tail    int32 // least recently used
	sample  uint32
	_       [24]byte // keeps neighbouring locks on separate cache lines
}

const none int32 = -1

func (s *shard) init(limit int) {
	s.index = make(map[uint64]int32)
	s.limit = limit
	s.head, s.tail = none, none
}

func (s *shard) observe(fingerprint uint64, took time.Duration, now time.Time) (*entry, bool) {
	e := s.find(fingerprint)
	if e == nil {
		e = s.insert(fingerprint)
	}
	e.observe(took, now)
	s.sample++
	return e, s.sample <= sampleAll || s.sample%sampleEvery == 0
}

func (s *shard) find(fingerprint uint64) *entry {
	i, ok := s.index[fingerprint]
	if !ok {
		return nil
	}
	if i != s.head {
		s.unlink(i)
		s.pushFront(i)
	}
	return &s.entries[i]
}

func (s *shard) insert(fingerprint uint64) *entry {
	var i int32
	if len(s.entries) < s.limit {
		i = int32(len(s.entries))
		s.entries = append(s.entries, entry{})
	} else {
		i = s.tail
		s.unlink(i)
		delete(s.index, s.entries[i].fingerprint)
	}
	s.entries[i] = entry{fingerprint: fingerprint}
	s.index[fingerprint] = i
	s.pushFront(i)
	return &s.entries[i]
}

func (s *shard) unlink(i int32) {
	e := &s.entries[i]
	if e.prev != none {
		s.entries[e.prev].next = e.next
	} else {
		s.head = e.next
	}
	if e.next != none {
		s.entries[e.next].prev = e.prev
	} else {
		s.tail = e.prev
	}
}

func (s *shard) pushFront(i int32) {
	e := &s.entries[i]
	e.prev, e.next = none, s.head
	if s.head != none {
		s.entries[s.head].prev = i
	}
	s.head = i
	if s.tail == none {
		s.tail = i
	}
}
