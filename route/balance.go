package route

import "time"

// Defaults of a Balance.
const (
	// DefaultReplicaShare leaves a margin above the goal that replicas serve 0.95
	// of the reads.
	DefaultReplicaShare = 0.97

	minPenalty  = 100 * time.Microsecond
	maxPenalty  = 2 * time.Second
	penaltyGain = 1.0 / 16
	// initialPenalty is near the value that the penalty reaches while the lag
	// varies up to 500 ms. An entry routes too few reads to get there quickly
	// from a lower value.
	initialPenalty = 300 * time.Millisecond
)

// Balance adjusts the penalty of reads at the primary so that replicas serve a
// target share of the reads. Reads with the longest expected waits then go to the
// primary and the others wait for a replica. It is not safe for concurrent use.
type Balance struct {
	targetShare float64
	penalty     time.Duration
}

// BalanceOption configures a Balance.
type BalanceOption func(*Balance)

// WithReplicaShare sets the target share of reads served by replicas.
func WithReplicaShare(share float64) BalanceOption { return func(b *Balance) { b.targetShare = share } }

// NewBalance returns a Balance with the given options.
func NewBalance(opts ...BalanceOption) *Balance {
	b := &Balance{targetShare: DefaultReplicaShare, penalty: initialPenalty}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Record records whether a read was sent to the primary. The penalty rises with
// each read at the primary and falls with each read at a replica, at rates that
// cancel out at the target share.
func (b *Balance) Record(primary bool) {
	change := -penaltyGain * (1 - b.targetShare)
	if primary {
		change = penaltyGain * b.targetShare
	}
	b.penalty += time.Duration(change * float64(b.penalty))
	b.penalty = min(max(b.penalty, minPenalty), maxPenalty)
}

// Penalty returns the current cost added to a read at the primary, to be used as
// Group.Penalty.
func (b *Balance) Penalty() time.Duration { return b.penalty }
