// Package learn estimates the duration of statements by statement shape and classifies
// shapes as short or long relative to the typical duration over all shapes. A shape is
// the set of statements with the same fingerprint.
package learn

import (
	"math/bits"
	"sync"
	"time"
)

// Class is the expected duration class of a statement.
type Class int

// The duration classes. A shape that has not been observed yet is Short.
const (
	Short Class = iota
	Long
)

// String returns the name of the class.
func (c Class) String() string {
	if c == Long {
		return "long"
	}
	return "short"
}

// Estimate holds the expected duration and the class of a shape.
type Estimate struct {
	Mean  time.Duration // decayed mean with limited outliers
	High  time.Duration // about the 95th percentile
	Class Class
	Known bool // a statement of the shape has ended, or has run for longer than the threshold
}

const (
	defaultShapes  = 8192
	defaultShards  = 16
	defaultFactor  = 8.0
	defaultTypical = 10 * time.Millisecond
	// defaultMinThreshold keeps statements of a few milliseconds short in workloads with
	// a very low typical duration: they delay others by less than a network round trip.
	defaultMinThreshold = 5 * time.Millisecond
	// defaultIdle and defaultHalfLife let the estimate of a shape decay while no
	// statement of the shape runs. Otherwise a shape with an estimate beyond the
	// deadlines of its callers would be rejected forever and never measured again.
	defaultIdle     = 10 * time.Second
	defaultHalfLife = 5 * time.Second
	// maxHalvings limits how often a decayed estimate is halved, so that the shift by
	// that number does not overflow.
	maxHalvings = 30
)

// Learner estimates durations by statement shape. It is safe for concurrent use: shapes
// are spread over shards, each with a lock of its own.
type Learner struct {
	shards   []shard
	shift    uint
	typical  typicalDuration
	idle     time.Duration
	halfLife time.Duration
}

type options struct {
	shapes       int
	shards       int
	factor       float64
	typical      time.Duration
	minThreshold time.Duration
	idle         time.Duration
	halfLife     time.Duration
}

// Option sets a parameter of a Learner.
type Option func(*options)

// WithShapes limits the number of shapes kept. When a shard is full, a new shape evicts
// the least recently used one.
func WithShapes(n int) Option { return func(o *options) { o.shapes = max(1, n) } }

// WithShards sets the number of shards, rounded up to a power of two.
func WithShards(n int) Option { return func(o *options) { o.shards = max(1, n) } }

// WithFactor sets how many times longer than the typical statement a long one is.
func WithFactor(f float64) Option { return func(o *options) { o.factor = max(1, f) } }

// WithInitialTypical sets the typical duration that is assumed before statements have
// been observed.
func WithInitialTypical(d time.Duration) Option { return func(o *options) { o.typical = max(1, d) } }

// WithMinThreshold sets the duration below which no statement is long.
func WithMinThreshold(d time.Duration) Option { return func(o *options) { o.minThreshold = max(1, d) } }

// WithIdleDecay sets how long a shape may be idle before its estimate decays, and the
// half-life of the decay.
func WithIdleDecay(idle, halfLife time.Duration) Option {
	return func(o *options) { o.idle, o.halfLife = max(0, idle), max(1, halfLife) }
}

// New returns a Learner without shapes.
func New(opts ...Option) *Learner {
	o := options{
		shapes: defaultShapes, shards: defaultShards, factor: defaultFactor, typical: defaultTypical,
		minThreshold: defaultMinThreshold, idle: defaultIdle, halfLife: defaultHalfLife,
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
	l.typical.init(o.typical, o.factor, o.minThreshold)
	for i := range l.shards {
		l.shards[i].init(max(1, o.shapes>>logShards))
	}
	return l
}

// SetFactor applies a new factor to the threshold at once. The class of each shape is
// updated with its next observation.
func (l *Learner) SetFactor(f float64) { l.typical.setFactor(max(1, f)) }

// Threshold returns the duration above which statements are long. A statement that
// runs for longer is reported with ObserveRunning while it still runs.
func (l *Learner) Threshold() time.Duration { return time.Duration(l.typical.threshold.Load()) }

// Typical returns the median duration over recent statements of all shapes.
func (l *Learner) Typical() time.Duration { return time.Duration(l.typical.median.Load()) }

// Lookup returns the estimate for a shape and marks the shape as recently used.
func (l *Learner) Lookup(fingerprint uint64, now time.Time) Estimate {
	s := l.shard(fingerprint)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.find(fingerprint)
	if e == nil {
		return Estimate{}
	}
	return Estimate{
		Mean:  l.decayed(e.mean, e.last, now),
		High:  l.decayed(e.high, e.last, now),
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

// ObserveRunning records that a statement is still running after ran, and returns the
// class of this statement from now on. A shape without completed statements becomes
// long as soon as ran exceeds the threshold. The class of any other shape depends on
// its completed statements alone, and only the running statement counts as long.
func (l *Learner) ObserveRunning(fingerprint uint64, ran time.Duration, now time.Time) Class {
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

// Len returns the number of shapes in all shards.
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

// shard returns the shard of a fingerprint by the high bits of a multiplicative hash,
// because fingerprints of similar statements may have the same low bits.
func (l *Learner) shard(fingerprint uint64) *shard {
	const goldenRatio64 = 0x9E3779B97F4A7C15
	return &l.shards[(fingerprint*goldenRatio64)>>l.shift]
}

// decayed returns the estimate v after the time for which its shape has been idle.
func (l *Learner) decayed(v float64, last, now time.Time) time.Duration {
	over := now.Sub(last) - l.idle
	if over <= 0 {
		return time.Duration(v)
	}
	halvings := min(maxHalvings, int64(over/l.halfLife))
	rest := float64(over%l.halfLife) / float64(l.halfLife)
	return time.Duration(v / float64(int64(1)<<halvings) * (1 - rest/2))
}

// shard holds the shapes of one part of the fingerprint space. The shapes are elements
// of a slice and form a doubly linked list by recency of use, so that observing a known
// shape allocates nothing.
type shard struct {
	mu           sync.Mutex
	index        map[uint64]int32
	shapes       []shapeStats
	limit        int
	head         int32 // most recently used
	tail         int32 // least recently used
	observations uint32
	_            [24]byte // padding: keeps the locks of adjacent shards on separate cache lines
}

const noIndex int32 = -1

func (s *shard) init(limit int) {
	s.index = make(map[uint64]int32)
	s.limit = limit
	s.head, s.tail = noIndex, noIndex
}

func (s *shard) observe(fingerprint uint64, took time.Duration, now time.Time) (*shapeStats, bool) {
	e := s.find(fingerprint)
	if e == nil {
		e = s.insert(fingerprint)
	}
	e.observe(took, now)
	s.observations++
	return e, s.observations <= initialSamples || s.observations%sampleEvery == 0
}

func (s *shard) find(fingerprint uint64) *shapeStats {
	i, ok := s.index[fingerprint]
	if !ok {
		return nil
	}
	if i != s.head {
		s.unlink(i)
		s.pushFront(i)
	}
	return &s.shapes[i]
}

func (s *shard) insert(fingerprint uint64) *shapeStats {
	var i int32
	if len(s.shapes) < s.limit {
		i = int32(len(s.shapes))
		s.shapes = append(s.shapes, shapeStats{})
	} else {
		i = s.tail
		s.unlink(i)
		delete(s.index, s.shapes[i].fingerprint)
	}
	s.shapes[i] = shapeStats{fingerprint: fingerprint}
	s.index[fingerprint] = i
	s.pushFront(i)
	return &s.shapes[i]
}

func (s *shard) unlink(i int32) {
	e := &s.shapes[i]
	if e.prev != noIndex {
		s.shapes[e.prev].next = e.next
	} else {
		s.head = e.next
	}
	if e.next != noIndex {
		s.shapes[e.next].prev = e.prev
	} else {
		s.tail = e.prev
	}
}

func (s *shard) pushFront(i int32) {
	e := &s.shapes[i]
	e.prev, e.next = noIndex, s.head
	if s.head != noIndex {
		s.shapes[s.head].prev = i
	}
	s.head = i
	if s.tail == noIndex {
		s.tail = i
	}
}
