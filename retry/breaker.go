package retry

import (
	"math/rand/v2"
	"time"
)

// State is the state of a circuit breaker.
type State int

// The states of a circuit breaker.
const (
	Closed State = iota
	Open
	HalfOpen
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Open:
		return "open"
	case HalfOpen:
		return "half-open"
	default:
		return "closed"
	}
}

// Settings are the parameters of circuit breakers.
type Settings struct {
	Failures    int           // consecutive failures that open the breaker
	ErrorRate   float64       // fraction of failed attempts in the window that opens the breaker
	MinAttempts int           // attempts in the window below which ErrorRate is ignored
	OpenTime    time.Duration // initial open time; doubles when a probe fails
	MaxOpenTime time.Duration // maximum open time
	Probes      int           // concurrent attempts while half-open, and successes that close the breaker
	RampTime    time.Duration // time in which the weight of a returned member grows to 1
}

// DefaultSettings returns the default settings. The initial open time is short
// because a failover has to be complete within 2 s.
func DefaultSettings() Settings {
	return Settings{
		Failures:    5,
		ErrorRate:   0.5,
		MinAttempts: 20,
		OpenTime:    250 * time.Millisecond,
		MaxOpenTime: 5 * time.Second,
		Probes:      2,
		RampTime:    5 * time.Second,
	}
}

const (
	// The error rate is measured over windowBuckets buckets of bucketDuration each.
	windowBuckets  = 10
	bucketDuration = time.Second
	// jitterFraction is the fraction of the open time by which it varies either way,
	// so that entries do not all probe a member at the same time.
	jitterFraction = 0.25
	// initialWeight is the weight of a member that has just returned.
	initialWeight = 0.1
)

// breaker is the circuit breaker of one member.
type breaker struct {
	name                string
	state               State
	consecutiveFailures int
	recent              window
	openedAt            time.Time
	waitUntil           time.Time // end of the open state or, while half-open, of the wait for probe results
	openTime            time.Duration
	probesInFlight      int // allowed but not yet reported, while half-open
	probeSuccesses      int // while half-open
	returnedAt          time.Time
}

// advance makes an open breaker half-open once its open time has passed. While
// half-open, probes that are not reported within the open time no longer count, so
// that a lost result does not block further probes.
func (b *breaker) advance(now time.Time) {
	if b.state == Closed || now.Before(b.waitUntil) {
		return
	}
	if b.state == Open {
		b.state, b.probeSuccesses = HalfOpen, 0
	}
	b.probesInFlight = 0
	b.waitUntil = now.Add(b.openTime)
}

// usable reports whether the breaker allows an attempt.
func (b *breaker) usable(s *Settings, now time.Time) bool {
	b.advance(now)
	switch b.state {
	case Closed:
		return true
	case HalfOpen:
		return b.probesInFlight < s.Probes
	default:
		return false
	}
}

func (b *breaker) succeed(s *Settings, now time.Time) {
	b.advance(now)
	b.consecutiveFailures = 0
	b.recent.add(now, false)
	if b.state != HalfOpen {
		return
	}
	b.probesInFlight = max(0, b.probesInFlight-1)
	b.probeSuccesses++
	if b.probeSuccesses < s.Probes {
		return
	}
	b.state, b.openTime = Closed, 0
	b.recent = window{}
	b.returnedAt = now
}

func (b *breaker) fail(s *Settings, rnd *rand.Rand, now time.Time) {
	b.advance(now)
	b.consecutiveFailures++
	b.recent.add(now, true)
	switch b.state {
	case HalfOpen:
		b.open(s, rnd, now)
	case Closed:
		failed, total := b.recent.sum(now)
		rateExceeded := total >= s.MinAttempts && float64(failed) >= s.ErrorRate*float64(total)
		if b.consecutiveFailures >= s.Failures || rateExceeded {
			b.open(s, rnd, now)
		}
	}
}

func (b *breaker) open(s *Settings, rnd *rand.Rand, now time.Time) {
	b.state = Open
	b.openedAt = now
	b.openTime = min(max(2*b.openTime, s.OpenTime), s.MaxOpenTime)
	jittered := float64(b.openTime) * (1 - jitterFraction + 2*jitterFraction*rnd.Float64())
	b.waitUntil = now.Add(time.Duration(jittered))
}

// errorRate returns the fraction of recent attempts that failed.
func (b *breaker) errorRate(now time.Time) float64 {
	failed, total := b.recent.sum(now)
	if total == 0 {
		return 0
	}
	return float64(failed) / float64(total)
}

// weight returns the fraction of its normal traffic that the member should get. It
// grows linearly after the member has returned.
func (b *breaker) weight(s *Settings, now time.Time) float64 {
	elapsed := now.Sub(b.returnedAt)
	if b.returnedAt.IsZero() || elapsed >= s.RampTime {
		return 1
	}
	return initialWeight + (1-initialWeight)*max(0, elapsed.Seconds())/s.RampTime.Seconds()
}

// window counts recent attempts and failures in a ring of buckets.
type window struct {
	buckets [windowBuckets]bucket
}

type bucket struct {
	number int64 // start of the bucket since the Unix epoch, in units of bucketDuration
	failed int
	total  int
}

func (w *window) add(now time.Time, failed bool) {
	number := now.UnixNano() / int64(bucketDuration)
	b := &w.buckets[number%windowBuckets]
	if b.number != number {
		*b = bucket{number: number}
	}
	b.total++
	if failed {
		b.failed++
	}
}

func (w *window) sum(now time.Time) (failed, total int) {
	oldest := now.UnixNano()/int64(bucketDuration) - windowBuckets
	for _, b := range w.buckets {
		if b.number > oldest {
			failed += b.failed
			total += b.total
		}
	}
	return failed, total
}
