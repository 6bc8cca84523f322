// Package retry decides whether a failed attempt is repeated, and which members
// of a database take traffic: a retry budget, circuit breakers that never open
// for all members of a database, and a gradual return of members. Nothing in it
// is safe for concurrent use.
package retry

import (
	"maps"
	"math/rand/v2"
	"time"

	"tamarackcross/errs"
)

// Attempt describes an attempt that failed and may be repeated.
type Attempt struct {
	Reason   errs.Reason   // why it failed
	Tries    int           // attempts made so far, at least 1
	Deadline time.Time     // of the caller
	Expected time.Duration // of the next attempt
}

// Verdict is the decision on an Attempt: Again or Stop.
type Verdict interface{ verdict() }

// Again repeats the attempt after a pause.
type Again struct{ After time.Duration }

// Stop gives up, for lack of budget or of time.
type Stop struct{ Reason errs.Reason }

func (Again) verdict() {}
func (Stop) verdict()  {}

const (
	// defaultFraction bounds the extra load of retries to a tenth.
	defaultFraction = 0.1
	// defaultFloor lets a site with little traffic retry at all.
	defaultFloor = 1.0 // tokens per second
	// defaultBurst covers the requests in flight to one member when it is lost.
	defaultBurst = 20.0 // tokens
	// defaultTries bounds the attempts of one request.
	defaultTries = 3
	// The pause before the second retry; the first one goes to another member
	// and needs none.
	basePause = 5 * time.Millisecond
	maxPause  = 200 * time.Millisecond
)

// Budget is a token bucket filled by first attempts and, at a low rate, by
// time. Each retry takes one token.
type Budget struct {
	fraction float64
	floor    float64
	burst    float64
	tries    int
	tokens   float64
	filled   time.Time
	rnd      *rand.Rand
	allowed  map[errs.Reason]uint64
	denied   map[errs.Reason]uint64
}

// BudgetOption sets a parameter of a Budget.
type BudgetOption func(*Budget)

// WithFraction sets the tokens that one first attempt adds.
func WithFraction(f float64) BudgetOption { return func(b *Budget) { b.fraction = min(max(0, f), 1) } }

// WithFloor sets the tokens per second that are added without any traffic.
func WithFloor(perSecond float64) BudgetOption {
	return func(b *Budget) { b.floor = max(0, perSecond) }
}

// WithBurst sets the largest number of tokens.
func WithBurst(tokens float64) BudgetOption { return func(b *Budget) { b.burst = max(1, tokens) } }

// WithTries sets the largest number of attempts of one request.
func WithTries(n int) BudgetOption { return func(b *Budget) { b.tries = max(1, n) } }

// NewBudget returns a full budget. The seed determines the jitter of pauses.
func NewBudget(seed uint64, now time.Time, opts ...BudgetOption) *Budget {
	b := &Budget{
		fraction: defaultFraction,
		floor:    defaultFloor,
		burst:    defaultBurst,
		tries:    defaultTries,
		filled:   now,
		rnd:      rand.New(rand.NewPCG(seed, 0)),
		allowed:  make(map[errs.Reason]uint64),
		denied:   make(map[errs.Reason]uint64),
	}
	for _, opt := range opts {
		opt(b)
	}
	b.tokens = b.burst
	return b
}

// SetFraction applies a new fraction at once.
func (b *Budget) SetFraction(f float64) { WithFraction(f)(b) }

// First records a first attempt.
func (b *Budget) First() { b.tokens = min(b.burst, b.tokens+b.fraction) }

// Decide takes a token for the repetition of a, if the budget and the deadline
// allow it.
func (b *Budget) Decide(a Attempt, now time.Time) Verdict {
	b.fill(now)
	if a.Tries >= b.tries || b.tokens < 1 {
		b.denied[a.Reason]++
		return Stop{Reason: errs.ReasonRetryBudget}
	}
	pause := b.pause(a.Tries)
	if !now.Add(pause + a.Expected).Before(a.Deadline) {
		b.denied[a.Reason]++
		return Stop{Reason: errs.ReasonDeadline}
	}
	b.tokens--
	b.allowed[a.Reason]++
	return Again{After: pause}
}

// Allowed returns the number of retries per reason of the failed attempt.
func (b *Budget) Allowed() map[errs.Reason]uint64 { return maps.Clone(b.allowed) }

// Denied returns the number of retries not made, per reason of the failed attempt.
func (b *Budget) Denied() map[errs.Reason]uint64 { return maps.Clone(b.denied) }

func (b *Budget) fill(now time.Time) {
	passed := now.Sub(b.filled)
	if passed <= 0 {
		return
	}
	b.filled = now
	b.tokens = min(b.burst, b.tokens+passed.Seconds()*b.floor)
}

// pause doubles with each attempt and varies by half, so that requests that
// failed together do not return together.
func (b *Budget) pause(tries int) time.Duration {
	if tries <= 1 {
		return 0
	}
	full := min(basePause<<min(tries-2, 10), maxPause)
	return full/2 + time.Duration(b.rnd.Int64N(int64(full/2)+1))
}
