// Package event names the fields of log lines and bounds their volume, so that a
// request can be followed by its id and logging never delays one.
package event

import (
	"hash/fnv"
	"io"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// Fields of log lines.
const (
	Instance  = "instance"
	Zone      = "zone"
	ID        = "id" // of the request, as the caller chose it
	Database  = "database"
	Service   = "service"
	Member    = "member"    // backend server
	Primary   = "primary"   // backend server that last proved to be the primary
	Freshness = "freshness" // of the route
	Reason    = "reason"
	Code      = "code" // sent to the caller
	Outcome   = "outcome"
	Try       = "try"         // attempts before this one
	After     = "after_ms"    // since the request arrived
	Left      = "left_ms"     // until its time limit
	Waited    = "waited_ms"   // for a connection and a slot
	Need      = "need"        // position that the log of the member must hold
	NeedAge   = "need_age_ms" // since the primary held that position
	Lag       = "lag_ms"      // estimated, of the member
	Version   = "version"     // of the configuration
	Holder    = "holder"      // instance that a request was passed on to
)

// Outcomes of a request.
const (
	Done    = "done"
	NotRun  = "not_run"
	Failed  = "failed"  // the backend server ran it and it failed
	InDoubt = "unknown" // it may have run
)

const (
	// DefaultBudget is the bytes a second that lines of requests without trouble may
	// take: some 30 lines a second, 1% of a core of the users' machines.
	DefaultBudget = 8 << 10
	// lineBytes is the usual size of a line.
	lineBytes = 280
	// hardFactor is the multiple of the budget beyond which lines of any kind are
	// dropped and counted.
	hardFactor = 16
	// buffer is the lines that wait for a slow output.
	buffer = 2000
)

// Log is a log whose volume is bounded.
type Log struct {
	zerolog.Logger
	sampler *Sampler
	dropped *atomic.Int64
	close   func() error
}

// Nop returns a log that writes nothing.
func Nop() *Log {
	return &Log{Logger: zerolog.Nop(), sampler: NewSampler(0), dropped: new(atomic.Int64), close: func() error { return nil }}
}

// New returns a log that writes to w through a buffer, and lines of requests
// without trouble within budget bytes a second.
func New(w io.Writer, level zerolog.Level, budget int, now func() time.Time) *Log {
	l := &Log{sampler: NewSampler(budget), dropped: new(atomic.Int64)}
	d := diode.NewWriter(w, buffer, 0, func(missed int) { l.dropped.Add(int64(missed)) })
	limited := &limiter{w: d, budget: hardFactor * budget, now: now, dropped: l.dropped}
	l.Logger = zerolog.New(limited).Level(level).With().Timestamp().Logger()
	l.close = d.Close
	return l
}

// With returns a log whose lines carry the fields that add sets.
func (l *Log) With(add func(zerolog.Context) zerolog.Context) *Log {
	out := *l
	out.Logger = add(l.Logger.With()).Logger()
	return &out
}

// Sampled reports whether the lines of a request without trouble are written: for
// one request all of them are, or none.
func (l *Log) Sampled(id string, now time.Time) bool { return l.sampler.Keep(id, now) }

// Dropped returns how many lines were dropped.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// Close writes what waits.
func (l *Log) Close() error { return l.close() }

// Sampler chooses requests by a hash of their id, so that their lines fit the
// budget. All instances choose the same ones at the same share.
type Sampler struct {
	budget float64

	mu    sync.Mutex
	share float64 // of the requests that are kept
	seen  float64 // requests in this second
	since time.Time
}

// NewSampler returns a sampler for a budget in bytes a second.
func NewSampler(budget int) *Sampler { return &Sampler{budget: float64(budget), share: 1} }

// linesPerRequest is how many lines a request without trouble writes.
const linesPerRequest = 2

// Keep reports whether the lines of a request are kept.
func (s *Sampler) Keep(id string, now time.Time) bool {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	s.mu.Lock()
	defer s.mu.Unlock()
	if d := now.Sub(s.since); d >= time.Second {
		perSecond := s.seen / d.Seconds()
		s.share = min(1, s.budget/max(1, perSecond*lineBytes*linesPerRequest))
		s.seen, s.since = 0, now
	}
	s.seen++
	return float64(h.Sum64())/math.MaxUint64 < s.share
}

// limiter drops lines beyond a number of bytes a second.
type limiter struct {
	w       io.Writer
	budget  int
	now     func() time.Time
	dropped *atomic.Int64

	mu    sync.Mutex
	used  int
	since time.Time
}

// Write passes a line on, or drops it.
func (l *limiter) Write(line []byte) (int, error) {
	now := l.now()
	l.mu.Lock()
	if now.Sub(l.since) >= time.Second {
		l.used, l.since = 0, now
	}
	l.used += len(line)
	over := l.budget > 0 && l.used > l.budget
	l.mu.Unlock()
	if over {
		l.dropped.Add(1)
		return len(line), nil
	}
	return l.w.Write(line)
}
