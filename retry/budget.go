// Package retry decides whether a failed attempt is retried and which members of a
// database receive traffic. It provides a retry budget and circuit breakers. At
// least one member of a database always stays usable, and a member that returns
// gets its traffic back gradually. Nothing in the package is safe for concurrent
// use.
package retry

import (
	"maps"
	"math/rand/v2"
	"time"

	"tamarackcross/errs"
)

// Attempt describes a failed attempt that may be retried.
type Attempt struct {
	Reason   errs.Reason   // why it failed
	Attempts int           // attempts made so far, at least 1
	Deadline time.Time     // of the caller
	Expected time.Duration // of the next attempt
}

// Decision is the decision on a failed Attempt: Again or Stop.
type Decision interface{ decision() }

// Again retries the attempt after a delay.
type Again struct{ After time.Duration }

// Stop gives up: the attempts or the retry budget are used up, or the next attempt
// could not end by the deadline.
type Stop struct{ Reason errs.Reason }

func (Again) decision() {}
func (Stop) decision()  {}

const (
	// defaultRatio limits the extra load of retries to a tenth.
	defaultRatio = 0.1
	// defaultTokensPerSecond allows retries at sites with little traffic.
	defaultTokensPerSecond = 1.0
	// defaultBurst, in tokens, covers the requests in flight at one member when it
	// fails.
	defaultBurst = 20.0
	// defaultMaxAttempts limits the attempts of one request.
	defaultMaxAttempts = 3
	// baseBackoff precedes the second retry. The first one goes to another member
	// and needs no backoff.
	baseBackoff = 5 * time.Millisecond
	maxBackoff  = 200 * time.Millisecond
)

// Budget is a retry budget, implemented as a token bucket. First attempts add
// tokens, and a few are added per second; each retry takes one.
type Budget struct {
	ratio           float64
	tokensPerSecond float64
	burst           float64
	maxAttempts     int
	tokens          float64
	lastRefill      time.Time
	rnd             *rand.Rand
	allowed         map[errs.Reason]uint64
	denied          map[errs.Reason]uint64
}

// BudgetOption configures a Budget.
type BudgetOption func(*Budget)

// WithRatio sets the ratio of retries to first attempts, which is the number of
// tokens that each first attempt adds.
func WithRatio(f float64) BudgetOption { return func(b *Budget) { b.ratio = min(max(0, f), 1) } }

// WithTokensPerSecond sets the number of tokens that are added per second even
// without traffic.
func WithTokensPerSecond(perSecond float64) BudgetOption {
	return func(b *Budget) { b.tokensPerSecond = max(0, perSecond) }
}

// WithBurst sets the maximum number of tokens.
func WithBurst(tokens float64) BudgetOption { return func(b *Budget) { b.burst = max(1, tokens) } }

// WithMaxAttempts sets the maximum number of attempts of one request.
func WithMaxAttempts(n int) BudgetOption { return func(b *Budget) { b.maxAttempts = max(1, n) } }

// NewBudget returns a full budget. The seed determines the jitter of the backoff.
func NewBudget(seed uint64, now time.Time, opts ...BudgetOption) *Budget {
	b := &Budget{
		ratio:           defaultRatio,
		tokensPerSecond: defaultTokensPerSecond,
		burst:           defaultBurst,
		maxAttempts:     defaultMaxAttempts,
		lastRefill:      now,
		rnd:             rand.New(rand.NewPCG(seed, 0)),
		allowed:         make(map[errs.Reason]uint64),
		denied:          make(map[errs.Reason]uint64),
	}
	for _, opt := range opts {
		opt(b)
	}
	b.tokens = b.burst
	return b
}

// SetRatio changes the ratio of retries to first attempts.
func (b *Budget) SetRatio(f float64) { WithRatio(f)(b) }

// RecordFirst records the first attempt of a request.
func (b *Budget) RecordFirst() { b.tokens = min(b.burst, b.tokens+b.ratio) }

// Decide takes a token for a retry of a if the budget and the deadline allow it.
func (b *Budget) Decide(a Attempt, now time.Time) Decision {
	b.refill(now)
	if a.Attempts >= b.maxAttempts || b.tokens < 1 {
		b.denied[a.Reason]++
		return Stop{Reason: errs.ReasonRetryBudget}
	}
	delay := b.backoff(a.Attempts)
	if !now.Add(delay + a.Expected).Before(a.Deadline) {
		b.denied[a.Reason]++
		return Stop{Reason: errs.ReasonDeadline}
	}
	b.tokens--
	b.allowed[a.Reason]++
	return Again{After: delay}
}

// Allowed returns the number of allowed retries by the reason why the attempt
// before failed.
func (b *Budget) Allowed() map[errs.Reason]uint64 { return maps.Clone(b.allowed) }

// Denied returns the number of denied retries by the reason why the attempt before
// failed.
func (b *Budget) Denied() map[errs.Reason]uint64 { return maps.Clone(b.denied) }

func (b *Budget) refill(now time.Time) {
	elapsed := now.Sub(b.lastRefill)
	if elapsed <= 0 {
		return
	}
	b.lastRefill = now
	b.tokens = min(b.burst, b.tokens+elapsed.Seconds()*b.tokensPerSecond)
}

// backoff returns the delay before the next attempt. It doubles with each attempt,
// and up to half of it is random, so that requests that failed together are not
// retried together.
func (b *Budget) backoff(attempts int) time.Duration {
	if attempts <= 1 {
		return 0
	}
	full := min(baseBackoff<<min(attempts-2, 10), maxBackoff)
	return full/2 + time.Duration(b.rnd.Int64N(int64(full/2)+1))
}
