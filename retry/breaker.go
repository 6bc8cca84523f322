package retry

import (
	"math/rand/v2"
	"time"
)

// State is the state of a circuit breaker.
type State int

// The states.
const (
	Closed State = iota
	Open
	HalfOpen
)

// String names the state.
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
	Failures  int           // consecutive failures that open the breaker
	ErrorRate float64       // part of the attempts in the window that opens it
	Volume    int           // attempts in the window below which the rate is ignored
	OpenTime  time.Duration // first time that it stays open; doubles with each failed probe
	MaxOpen   time.Duration // longest time that it stays open
	Probes    int           // attempts at a time while half-open, and successes that close it
	Ramp      time.Duration // time in which the weight of a returning member grows to 1
}

// DefaultSettings returns the settings used unless others are given. The first
// open time is short because a failover is to be over within 2 s.
func DefaultSettings() Settings {
	return Settings{
		Failures:  5,
		ErrorRate: 0.5,
		Volume:    20,
		OpenTime:  250 * time.Millisecond,
		MaxOpen:   5 * time.Second,
		Probes:    2,
		Ramp:      5 * time.Second,
	}
}

const (
	// The error rate is measured over windowSlices slices of sliceTime.
	windowSlices = 10
	sliceTime    = time.Second
	// jitterPart is the part of the open time by which it varies either way, so
	// that entries do not probe a member all at once.
	jitterPart = 0.25
	// minWeight is the weight at which a returning member starts.
	minWeight = 0.1
)

// breaker is the circuit breaker of one member.
type breaker struct {
	name        string
	state       State
	consecutive int
	window      window
	openedAt    time.Time
	until       time.Time // end of the open state, or of the wait for probes
	openTime    time.Duration
	probes      int // granted and not reported, while half-open
	successes   int // while half-open
	returned    time.Time
}

// advance makes an open breaker half-open when its time is over. Probes whose
// report never comes are forgotten after the open time.
func (b *breaker) advance(now time.Time) {
	if b.state == Closed || now.Before(b.until) {
		return
	}
	if b.state == Open {
		b.state, b.successes = HalfOpen, 0
	}
	b.probes = 0
	b.until = now.Add(b.openTime)
}

// usable reports whether the breaker lets an attempt through.
func (b *breaker) usable(s *Settings, now time.Time) bool {
	b.advance(now)
	switch b.state {
	case Closed:
		return true
	case HalfOpen:
		return b.probes < s.Probes
	default:
		return false
	}
}

func (b *breaker) succeed(s *Settings, now time.Time) {
	b.advance(now)
	b.consecutive = 0
	b.window.add(now, false)
	if b.state != HalfOpen {
		return
	}
	b.probes = max(0, b.probes-1)
	b.successes++
	if b.successes < s.Probes {
		return
	}
	b.state, b.openTime = Closed, 0
	b.window = window{}
	b.returned = now
}

func (b *breaker) fail(s *Settings, rnd *rand.Rand, now time.Time) {
	b.advance(now)
	b.consecutive++
	b.window.add(now, true)
	switch b.state {
	case HalfOpen:
		b.open(s, rnd, now)
	case Closed:
		failed, total := b.window.sum(now)
		tooMany := total >= s.Volume && float64(failed) >= s.ErrorRate*float64(total)
		if b.consecutive >= s.Failures || tooMany {
			b.open(s, rnd, now)
		}
	}
}

func (b *breaker) open(s *Settings, rnd *rand.Rand, now time.Time) {
	b.state = Open
	b.openedAt = now
	b.openTime = min(max(2*b.openTime, s.OpenTime), s.MaxOpen)
	varied := float64(b.openTime) * (1 - jitterPart + 2*jitterPart*rnd.Float64())
	b.until = now.Add(time.Duration(varied))
}

// errorRate returns the part of recent attempts that failed.
func (b *breaker) errorRate(now time.Time) float64 {
	failed, total := b.window.sum(now)
	if total == 0 {
		return 0
	}
	return float64(failed) / float64(total)
}

// weight grows linearly after the return of a member.
func (b *breaker) weight(s *Settings, now time.Time) float64 {
	passed := now.Sub(b.returned)
	if b.returned.IsZero() || passed >= s.Ramp {
		return 1
	}
	return minWeight + (1-minWeight)*max(0, passed.Seconds())/s.Ramp.Seconds()
}

// window counts attempts and failures over recent time.
type window struct {
	slices [windowSlices]slice
}

type slice struct {
	number int64 // of the slice in time
	failed int
	total  int
}

func (w *window) add(now time.Time, failed bool) {
	number := now.UnixNano() / int64(sliceTime)
	s := &w.slices[number%windowSlices]
	if s.number != number {
		*s = slice{number: number}
	}
	s.total++
	if failed {
		s.failed++
	}
}

func (w *window) sum(now time.Time) (failed, total int) {
	oldest := now.UnixNano()/int64(sliceTime) - windowSlices
	for _, s := range w.slices {
		if s.number > oldest {
			failed += s.failed
			total += s.total
		}
	}
	return failed, total
}
