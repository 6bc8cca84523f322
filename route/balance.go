package route

import "time"

// Defaults of a Balance.
const (
	// DefaultTarget leaves a margin above the replica share goal of 0.95.
	DefaultTarget = 0.97

	minPenalty  = 100 * time.Microsecond
	maxPenalty  = 2 * time.Second
	balanceGain = 1.0 / 16
	// initialPenalty is near the value at which the share settles while the lag
	// swings to 500 ms: an entry sees too few reads to get there fast from below.
	initialPenalty = 300 * time.Millisecond
)

// Balance adapts the penalty of reads at the primary so that replicas serve the
// target share of the reads. The reads with the longest expected waits go to
// the primary, the others wait. It is not safe for concurrent use.
type Balance struct {
	target  float64
	penalty time.Duration
}

// BalanceOption changes a Balance.
type BalanceOption func(*Balance)

// WithTarget sets the share of reads that replicas are to serve.
func WithTarget(share float64) BalanceOption { return func(b *Balance) { b.target = share } }

// NewBalance returns a Balance.
func NewBalance(opts ...BalanceOption) *Balance {
	b := &Balance{target: DefaultTarget, penalty: initialPenalty}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Note records where a read was sent. The penalty rises with each read at the
// primary and falls with each read at a replica, at rates that cancel out at
// the target share.
func (b *Balance) Note(primary bool) {
	change := -balanceGain * (1 - b.target)
	if primary {
		change = balanceGain * b.target
	}
	b.penalty += time.Duration(change * float64(b.penalty))
	b.penalty = min(max(b.penalty, minPenalty), maxPenalty)
}

// Penalty returns the current cost of a read at the primary, for Group.Penalty.
func (b *Balance) Penalty() time.Duration { return b.penalty }
