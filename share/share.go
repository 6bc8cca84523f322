// Package share leases the slots or connections of one backend server to the
// instances that use it. A Broker runs at the owner of the server and grants
// leases whose sum never exceeds the limit; a Holder runs at each instance and
// says how many units may be used right now.
//
// # Safety
//
// A holder counts the length of a lease from the time it sent the request, and
// stops a margin early, so by any clock within the drift it stops before the
// broker counts the units as free. The broker counts, per holder, the largest
// of the grants that the holder may have in force, of what the holder keeps and
// of what it reports as busy.
//
// Work that runs at the expiry of a lease: a holder renews while it has work,
// also when it is granted nothing, and the broker counts its busy units. A
// holder that cannot renew has the linger time: after half of it the work is
// Overdue and has to be cancelled, the other half is for the cancellation to
// take effect. The broker counts the units of a silent holder until its lease
// and the linger time have passed. For a holder that crashed or is frozen, the
// backend server has to end the work within the linger time after the lease: it
// notices the lost connection, or it enforces a limit on the statement. Where
// it does not, the work of that holder alone exceeds the limit until it ends.
//
// # Owners
//
// A grant with its linger time never reaches beyond MaxLease after the last
// Confirm of the ownership. A broker of a new epoch grants nothing until
// MaxLease and the drift allowance have passed, so grants of two epochs are
// never in force together, also if the former owner is still running.
package share

import "time"

// Amount counts units, either slots or connections. Long is the part of Units
// that may run long work.
type Amount struct{ Units, Long int }

// Ask is the message of a holder to the broker: a request, a renewal or a
// release.
type Ask struct {
	Holder      string
	Incarnation uint64 // larger after each restart of the holder
	Number      uint64 // increases with each Ask
	Epoch       uint64 // newest epoch that the holder has seen
	Applied     uint64 // newest grant in force at the holder, 0 if of another epoch
	Keep        Amount // the holder uses no more of the grants up to Applied
	Busy        Amount // in use
	Want        Amount // in use and waited for
	Waiting     time.Duration
}

// Grant is the message of the broker to a holder. It replaces earlier grants.
type Grant struct {
	Holder      string
	Incarnation uint64
	Epoch       uint64
	Seq         uint64
	Answers     uint64 // number of the Ask from whose sending Length counts
	Amount      Amount
	Length      time.Duration
	Linger      time.Duration
	Counted     Amount // what the broker counts as in use by the holder
	Contended   Contended
}

// Contended says whether other holders wait for units, of any kind or for long
// work.
type Contended struct{ Units, Long bool }

const (
	// MaxLease is the longest time for which a grant has effect, with the linger
	// time of work that runs at its expiry.
	MaxLease = time.Second
	// driftPart is the part of a time span, as a divisor, by which clocks may
	// disagree: the sum of the errors of two clocks must stay below a tenth.
	driftPart = 10

	defaultLease  = 200 * time.Millisecond
	defaultLinger = 300 * time.Millisecond
	minLease      = 20 * time.Millisecond
)

// The following are parts of the lease length, as divisors.
const (
	// quantumPart is how long a unit that rotates stays with one holder.
	quantumPart = 2
	// renewPart is how often a holder renews: three answers may be lost.
	renewPart = 4
	// idlePart is how long a holder keeps an idle unit after others have waited
	// for units within the last calmLeases leases. Without such contention it
	// keeps the unit for calmPart, so that a steady trickle of requests does not
	// ask for each of them.
	idlePart = 200
	calmPart = 1
	// gapPart is the shortest time between two messages to one peer.
	gapPart = 100
)

// calmLeases is the number of leases without contention after which holders keep
// idle units for longer.
const calmLeases = 25

func (a Amount) max(b Amount) Amount {
	return Amount{max(a.Units, b.Units), max(a.Long, b.Long)}
}

func (a Amount) min(b Amount) Amount {
	return Amount{min(a.Units, b.Units), min(a.Long, b.Long)}
}

func (a Amount) plus(b Amount) Amount { return Amount{a.Units + b.Units, a.Long + b.Long} }

func (a Amount) minus(b Amount) Amount { return Amount{a.Units - b.Units, a.Long - b.Long} }

// exceeds reports whether any part of a is larger than that of b.
func (a Amount) exceeds(b Amount) bool { return a.Units > b.Units || a.Long > b.Long }

// valid returns a without negative parts and with no more long units than units.
func (a Amount) valid() Amount {
	a = a.max(Amount{})
	return Amount{a.Units, min(a.Long, a.Units)}
}

// LongLimit returns the limit that keeps long work to a share of the units, at
// least one and never the last one. A single unit is open to long work.
func LongLimit(units int, share float64) int {
	if units <= 1 {
		return units
	}
	return min(max(1, int(share*float64(units))), units-1)
}
