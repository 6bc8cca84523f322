// Package event provides the log. It names the fields of log lines, so that a request can be
// traced by its ID. It bounds the volume of the lines and buffers them, so that logging never
// delays a request.
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
	Instance    = "instance"
	Zone        = "zone"
	ID          = "id" // ID of the request, as chosen by the caller
	Database    = "database"
	Service     = "service"
	Member      = "member"    // ID of the backend server
	Primary     = "primary"   // ID of the member that last proved to be the primary
	Freshness   = "freshness" // freshness of the route
	Reason      = "reason"
	Code        = "code" // fault code sent to the caller
	Outcome     = "outcome"
	Attempts    = "try"         // number of attempts before this one
	Elapsed     = "after_ms"    // time since the request arrived
	TimeLeft    = "left_ms"     // time until the deadline of the request
	QueueWait   = "waited_ms"   // time spent waiting for a slot and a connection
	Required    = "need"        // required position of a read
	RequiredAge = "need_age_ms" // time since the primary held that position
	Lag         = "lag_ms"      // estimated replication lag of the member
	Version     = "version"     // version of the configuration
	Customer    = "customer"    // name of the customer of the caller
	Holder      = "holder"      // instance that a request was forwarded to
	Work        = "work"        // kind of work
)

// Values of the field Outcome.
const (
	OutcomeDone    = "done"
	OutcomeNotRun  = "not_run"
	OutcomeFailed  = "failed"  // the backend server ran it, and it failed
	OutcomeUnknown = "unknown" // it may have run; the answer was lost
)

const (
	// DefaultBytesPerSecond is the default limit for the lines of sampled requests, in bytes per
	// second. It allows some 30 lines per second, which take 1% of a core of the users'
	// machines.
	DefaultBytesPerSecond = 8 << 10
	// typicalLineBytes is the typical size of a line.
	typicalLineBytes = 280
	// hardLimitFactor is the multiple of the budget beyond which lines are dropped and counted.
	hardLimitFactor = 16
	// stateFraction is the fraction of that limit that is reserved for lines which do not
	// belong to a request. Under overload the lines of requests use up the rest.
	stateFraction = 0.25
	// bufferedLines is the number of lines that are buffered for a slow output.
	bufferedLines = 2000
)

// Log is a logger with a bounded volume. Lines of requests that succeed at the first attempt
// are sampled. All other lines are written up to a hard limit.
type Log struct {
	zerolog.Logger // for all lines but those of requests
	requests       zerolog.Logger
	sampler        *Sampler
	dropped        *atomic.Int64
	close          func() error
}

// Nop returns a Log that writes nothing.
func Nop() *Log {
	return &Log{Logger: zerolog.Nop(), requests: zerolog.Nop(), sampler: NewSampler(0), dropped: new(atomic.Int64), close: func() error { return nil }}
}

// New returns a Log that writes to w through a buffer. The lines of sampled requests take at
// most budget bytes per second, and all lines together hardLimitFactor times as many.
func New(w io.Writer, level zerolog.Level, budget int, now func() time.Time) *Log {
	l := &Log{sampler: NewSampler(budget), dropped: new(atomic.Int64)}
	d := diode.NewWriter(w, bufferedLines, 0, func(lost int) { l.dropped.Add(int64(lost)) })
	limit := hardLimitFactor * budget
	forState := int(stateFraction * float64(limit))
	logger := func(bytesPerSecond int) zerolog.Logger {
		limited := &limiter{w: d, bytesPerSecond: bytesPerSecond, now: now, dropped: l.dropped}
		return zerolog.New(limited).Level(level).With().Timestamp().Logger()
	}
	l.Logger, l.requests = logger(forState), logger(limit-forState)
	l.close = d.Close
	return l
}

// With returns a Log whose lines carry the fields that add sets. It shares sampling and
// buffer with l.
func (l *Log) With(add func(zerolog.Context) zerolog.Context) *Log {
	out := *l
	out.Logger, out.requests = add(l.Logger.With()).Logger(), add(l.requests.With()).Logger()
	return &out
}

// Request begins a line that belongs to a request of a caller.
func (l *Log) Request(level zerolog.Level) *zerolog.Event { return l.requests.WithLevel(level) }

// Panicked logs a panic, with its stack, that ended the work named by what, not the process.
func (l *Log) Panicked(what string, err error) {
	l.Error().Str(Work, what).Err(err).Msg("unexpected error; the work was given up")
}

// Sampled reports whether the lines of a request that succeeds at the first attempt are
// written: either all of them or none.
func (l *Log) Sampled(id string, now time.Time) bool { return l.sampler.Keep(id, now) }

// Dropped returns the number of lines that were lost to the hard limit or a full buffer.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// Close writes the buffered lines.
func (l *Log) Close() error { return l.close() }

// Sampler selects requests by a hash of their ID, at a rate that keeps their lines within
// the budget. Instances with the same rate select the same requests.
type Sampler struct {
	budget float64

	mu          sync.Mutex
	rate        float64 // fraction of the requests that is selected
	requests    float64 // in the current window of a second
	windowStart time.Time
}

// NewSampler returns a Sampler for a budget in bytes per second.
func NewSampler(budget int) *Sampler { return &Sampler{budget: float64(budget), rate: 1} }

// linesPerRequest is the number of lines of a request that succeeds at the first attempt.
const linesPerRequest = 2

// Keep reports whether the request with this ID is selected.
func (s *Sampler) Keep(id string, now time.Time) bool {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	s.mu.Lock()
	defer s.mu.Unlock()
	if d := now.Sub(s.windowStart); d >= time.Second {
		perSecond := s.requests / d.Seconds()
		s.rate = min(1, s.budget/max(1, perSecond*typicalLineBytes*linesPerRequest))
		s.requests, s.windowStart = 0, now
	}
	s.requests++
	return float64(h.Sum64())/math.MaxUint64 < s.rate
}

// limiter drops the lines beyond a number of bytes per second.
type limiter struct {
	w              io.Writer
	bytesPerSecond int // 0 for no limit
	now            func() time.Time
	dropped        *atomic.Int64

	mu          sync.Mutex
	windowBytes int
	windowStart time.Time
}

// Write writes a line, or drops and counts it. It never returns an error for a dropped line.
func (l *limiter) Write(line []byte) (int, error) {
	now := l.now()
	l.mu.Lock()
	if now.Sub(l.windowStart) >= time.Second {
		l.windowBytes, l.windowStart = 0, now
	}
	l.windowBytes += len(line)
	exceeded := l.bytesPerSecond > 0 && l.windowBytes > l.bytesPerSecond
	l.mu.Unlock()
	if exceeded {
		l.dropped.Add(1)
		return len(line), nil
	}
	return l.w.Write(line)
}
