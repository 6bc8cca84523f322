// Package share divides the slots or connections of one backend server among the
// instances that use it, by means of leases. A Broker runs at the owner of the
// backend server, the instance that grants its leases, and never grants more than
// the limit in total. A lease holder runs at each instance that uses the backend
// server and says how many units (slots or connections) may be in use at present.
//
// # Safety
//
// A lease holder counts the length of a lease from the time at which it sent the
// request, and stops using the units a safety margin before the end. While the
// drift of the clocks stays within that margin, the holder stops before the broker
// counts the units as free. For each holder, the broker counts the maximum of the
// grants that may be in force, of the units that the holder keeps and of those that
// it reports as busy.
//
// Statements may still run when a lease expires. A holder renews its lease while
// statements run, even if it is granted nothing, and the broker counts its busy
// units. A holder that cannot renew has the linger time, a grace period after the
// lease: once half of it has passed, the statements are Overdue and have to be
// cancelled, and the other half is for the cancellation to take effect. The broker
// counts the units of a holder that it no longer hears from until the lease and the
// linger time have passed. If the holder has crashed or its process is frozen, the
// backend server has to end the statements within the linger time, either because
// it notices the lost connection or by a limit on the duration of statements. If it
// does not, the statements of that holder exceed the limit until they end.
//
// # Owners
//
// A grant, including its linger time, ends at most MaxLease after the last Confirm
// of the ownership. A broker of a new epoch grants nothing until MaxLease and the
// allowance for clock drift have passed. Grants of two epochs are therefore never
// in force at the same time, even if the former owner is still running.
package share

import "time"

// Amount is a number of units, either slots or connections. Long is how many of
// the Units may run long requests.
type Amount struct{ Units, Long int }

// Ask is the message by which a holder requests, renews or releases units at the
// broker.
type Ask struct {
	Holder      string
	Incarnation uint64        // larger after each restart of the holder
	Number      uint64        // incremented for each Ask
	Epoch       uint64        // newest epoch known to the holder
	Applied     uint64        // Seq of the newest grant in force at the holder, 0 if its epoch differs
	Keep        Amount        // what the holder may still use of the grants up to Applied
	Busy        Amount        // units in use
	Want        Amount        // units in use and waited for
	Waiting     time.Duration // how long the oldest request has waited
}

// Grant is the message by which the broker grants units to a holder. It replaces
// all earlier grants.
type Grant struct {
	Holder      string
	Incarnation uint64
	Epoch       uint64
	Seq         uint64
	Answers     uint64 // Number of the answered Ask; Length counts from its sending
	Amount      Amount
	Length      time.Duration
	Linger      time.Duration
	Counted     Amount // units that the broker counts as in use by the holder
	Contended   Contended
}

// Contended says whether other holders wait for units in general, and whether they
// wait for units that may run long requests.
type Contended struct{ Units, Long bool }

const (
	// MaxLease is the longest time for which a grant has effect, including the
	// linger time of statements that run when it expires.
	MaxLease = time.Second
	// driftDivisor is the allowance for clock drift: the errors of two clocks over a
	// time span must add up to less than the span divided by it.
	driftDivisor = 10

	defaultLease  = 200 * time.Millisecond
	defaultLinger = 300 * time.Millisecond
	minLease      = 20 * time.Millisecond
)

// The following times are the lease length divided by the constant.
const (
	// quantumDivisor gives the time for which a rotating unit stays with one holder.
	quantumDivisor = 2
	// renewDivisor gives the interval between renewals: a lease survives the loss of
	// three answers.
	renewDivisor = 4
	// contendedIdleDivisor gives the time for which a holder keeps an idle unit if
	// others have waited for units within the last uncontendedLeases leases.
	// Otherwise uncontendedIdleDivisor gives that time, so that a holder with a low
	// and steady rate of requests need not send an Ask for each of them.
	contendedIdleDivisor   = 200
	uncontendedIdleDivisor = 1
	// minGapDivisor gives the minimum time between two messages to one peer.
	minGapDivisor = 100
)

// uncontendedLeases is the number of lease lengths without contention after which
// holders keep idle units for longer.
const uncontendedLeases = 25

func (a Amount) max(b Amount) Amount {
	return Amount{max(a.Units, b.Units), max(a.Long, b.Long)}
}

func (a Amount) min(b Amount) Amount {
	return Amount{min(a.Units, b.Units), min(a.Long, b.Long)}
}

func (a Amount) plus(b Amount) Amount { return Amount{a.Units + b.Units, a.Long + b.Long} }

func (a Amount) minus(b Amount) Amount { return Amount{a.Units - b.Units, a.Long - b.Long} }

// exceeds reports whether a is larger than b in Units or in Long.
func (a Amount) exceeds(b Amount) bool { return a.Units > b.Units || a.Long > b.Long }

// valid raises negative numbers to zero and limits Long to Units.
func (a Amount) valid() Amount {
	a = a.max(Amount{})
	return Amount{a.Units, min(a.Long, a.Units)}
}

// LongLimit returns how many units may run long requests: the given share of them,
// but at least one, and at least one fewer than all. A single unit may run long
// requests.
func LongLimit(units int, share float64) int {
	if units <= 1 {
		return units
	}
	return min(max(1, int(share*float64(units))), units-1)
}
