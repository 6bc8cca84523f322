package entry

import "time"

// Policy is what the fleet configuration says for one statement of one caller.
type Policy struct {
	Deadline        time.Duration // for a statement, when the caller sets none
	MaxWait         time.Duration // longest wait in a queue
	Confirm         time.Duration // longest wait for a majority to hold a commit
	Silence         time.Duration // longest silence of a backend server before it is probed
	IdleTransaction time.Duration // longest idle time inside a transaction
	CallerStall     time.Duration // longest time that a caller takes nothing off its connection
	Handshake       time.Duration // longest time for startup and authentication
	MaxFrame        int           // largest message of a caller, in bytes
	ReplicaWait     time.Duration // longest wait for a replica to reach a bound
	LongShare       float64       // part of the slots that long work may hold
	RetryBudget     float64       // retries as a fraction of first tries
}

// DefaultPolicy returns the policy of an instance that has no fleet
// configuration yet.
func DefaultPolicy() Policy {
	return Policy{
		Deadline:        5 * time.Second,
		MaxWait:         2 * time.Second,
		Confirm:         3 * time.Second,
		Silence:         time.Second,
		IdleTransaction: 60 * time.Second,
		CallerStall:     30 * time.Second,
		Handshake:       10 * time.Second,
		MaxFrame:        16 << 20,
		ReplicaWait:     50 * time.Millisecond,
		LongShare:       0.4,
		RetryBudget:     0.1,
	}
}

// Scope is what selects the exceptions that apply to a statement.
type Scope struct {
	Database    string
	Caller      string
	Fingerprint uint64
}

// Policies resolves the policy for a scope. It is called for each statement
// and must be cheap and safe for concurrent use.
type Policies interface {
	Resolve(Scope) Policy
}

// FixedPolicy is the same policy for every scope.
type FixedPolicy Policy

// Resolve returns the policy.
func (p FixedPolicy) Resolve(Scope) Policy { return Policy(p) }
