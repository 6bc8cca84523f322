package share

import "time"

// Demand is the demand of an instance for units of one backend server.
type Demand struct {
	Busy         Amount    // units in use
	Waiting      Amount    // units waited for
	WaitingSince time.Time // when the oldest request began to wait, if any waits
}

// maxSentAsks is the number of Asks whose sending time is kept.
const maxSentAsks = 64

// LeaseHolder keeps the lease of one instance on units of one backend server. It is not
// safe for concurrent use. Usable may decrease in Ask (when units are returned), in
// Receive and at Expires. The instance has to apply the new value to its admission
// queue before it starts any request, and before it sends the Ask: a request that
// starts on a unit just returned would exceed the limit.
type LeaseHolder struct {
	name         string
	incarnation  uint64
	epoch        uint64 // newest epoch seen
	grantEpoch   uint64 // epoch of the grant in force
	grantSeq     uint64 // Seq of the grant in force
	allowed      Amount // units of the grant in force less those returned
	lease        time.Duration
	linger       time.Duration
	expires      time.Time // end of the grant in force by the clock of this instance
	contended    Contended
	contendedAt  time.Time // when others last waited for units
	number       uint64
	sentAt       [maxSentAsks]time.Time
	lastAsk      Ask
	counted      Amount    // units in use as counted by the broker, at the newest grant
	lastAnswered uint64    // number of the newest Ask that was answered by a grant
	idleSince    time.Time // when demand fell below the usable units, or zero
	fromReceipt  bool      // fault injected by tests: leases count from the receipt of the grant
}

// NewLeaseHolder returns a holder without units. Incarnation must be larger after
// each restart of the instance.
func NewLeaseHolder(name string, incarnation uint64) *LeaseHolder {
	return &LeaseHolder{name: name, incarnation: incarnation, lease: defaultLease, linger: defaultLinger}
}

// SawEpoch reports an epoch of ownership learned from the control state. The grant
// in force remains valid until it expires, but later grants of older epochs are
// rejected.
func (h *LeaseHolder) SawEpoch(epoch uint64) { h.epoch = max(h.epoch, epoch) }

// Usable returns how many units may be in use now. Running requests count against it,
// even if they already use more.
func (h *LeaseHolder) Usable(now time.Time) Amount {
	if !now.Before(h.expires) {
		return Amount{}
	}
	return h.allowed
}

// Expires returns when Usable becomes zero if no further grant arrives.
func (h *LeaseHolder) Expires() time.Time { return h.expires }

// Overdue reports whether running statements have to be cancelled, because the lease
// expired and could not be renewed for half of the linger time.
func (h *LeaseHolder) Overdue(now time.Time) bool {
	return !now.Before(h.expires.Add(h.linger / 2))
}

// Receive applies a grant and reports whether it was accepted. Grants that are of an
// older epoch, out of order or for another incarnation are rejected.
func (h *LeaseHolder) Receive(g Grant, now time.Time) bool {
	if g.Holder != h.name || g.Incarnation != h.incarnation || g.Epoch < h.epoch {
		return false
	}
	if g.Epoch == h.grantEpoch && g.Seq <= h.grantSeq {
		return false
	}
	if g.Answers == 0 || g.Answers > h.number || h.number-g.Answers >= maxSentAsks {
		return false
	}
	start := h.sentAt[g.Answers%maxSentAsks]
	if h.fromReceipt {
		start = now
	}
	h.epoch, h.grantEpoch, h.grantSeq = g.Epoch, g.Epoch, g.Seq
	h.lease, h.linger = g.Length, g.Linger
	h.expires = start.Add(g.Length - g.Length/driftDivisor)
	h.allowed = g.Amount.valid()
	h.contended = g.Contended
	if h.contended != (Contended{}) {
		h.contendedAt = now
	}
	h.counted = g.Counted
	h.lastAnswered = max(h.lastAnswered, g.Answers)
	return true
}

// Ask returns the message to send to the broker, if one is due: a renewal, a request
// after demand has risen, a release, or the acknowledgement of a smaller grant.
// Returned units are no longer usable when Ask returns.
func (h *LeaseHolder) Ask(d Demand, now time.Time) (Ask, bool) {
	want := d.Busy.plus(d.Waiting)
	demand := h.usableDemand(d, now)
	h.updateIdle(demand, now)
	if !h.due(d, want, now) {
		return Ask{}, false
	}
	if h.shouldRelease(demand, now) {
		h.allowed = h.allowed.min(demand).valid()
		h.idleSince = time.Time{}
	}
	h.number++
	h.sentAt[h.number%maxSentAsks] = now
	a := Ask{
		Holder:      h.name,
		Incarnation: h.incarnation,
		Number:      h.number,
		Epoch:       h.epoch,
		Keep:        h.Usable(now),
		Busy:        d.Busy,
		Want:        want,
	}
	if h.grantEpoch == h.epoch {
		a.Applied = h.grantSeq
	}
	if !d.WaitingSince.IsZero() {
		a.Waiting = now.Sub(d.WaitingSince)
	}
	h.lastAsk = a
	return a, true
}

// NextChange returns the time at which the result of Ask or Usable next changes if neither
// a grant arrives nor demand changes. It returns the zero time if the holder neither
// has nor wants units.
func (h *LeaseHolder) NextChange(d Demand, now time.Time) time.Time {
	want := d.Busy.plus(d.Waiting)
	if want == (Amount{}) && h.quiescent(now) {
		return time.Time{}
	}
	next := h.lastSent().Add(h.lease / renewDivisor)
	if urgent := h.lastSent().Add(h.lease / minGapDivisor); h.urgent(d, want, now) {
		next = urgent
	}
	if now.Before(h.expires) && h.expires.Before(next) {
		next = h.expires
	}
	if next.Before(now) {
		return now
	}
	return next
}

func (h *LeaseHolder) lastSent() time.Time { return h.sentAt[h.number%maxSentAsks] }

func (h *LeaseHolder) due(d Demand, want Amount, now time.Time) bool {
	if want == (Amount{}) && h.quiescent(now) {
		return false
	}
	since := now.Sub(h.lastSent())
	if h.number == 0 || since >= h.lease/renewDivisor {
		return true
	}
	return since >= h.lease/minGapDivisor && h.urgent(d, want, now)
}

// quiescent reports whether the broker knows that the holder has and wants nothing, or
// has dropped what it counted for the holder.
func (h *LeaseHolder) quiescent(now time.Time) bool {
	if h.Usable(now) != (Amount{}) {
		return false
	}
	if now.Sub(h.expires) > MaxLease {
		return true
	}
	return h.lastAnswered == h.number && h.lastAsk.Want == (Amount{}) && h.counted == (Amount{})
}

// urgent reports whether an Ask should be sent before the next renewal: demand has
// risen above the usable units, others wait for units that the broker still counts
// for this holder, or units are returned.
func (h *LeaseHolder) urgent(d Demand, want Amount, now time.Time) bool {
	usable := h.Usable(now)
	if want.exceeds(usable) && want.exceeds(h.lastAsk.Want) {
		return true
	}
	if h.lastAnswered == h.number && h.contended.mask(h.counted).exceeds(d.Busy.max(usable)) {
		return true
	}
	return h.shouldRelease(h.usableDemand(d, now), now)
}

// usableDemand returns the part of the demand that can use units now: a waiting long
// request counts only if a unit for long requests is free.
func (h *LeaseHolder) usableDemand(d Demand, now time.Time) Amount {
	free := max(0, h.Usable(now).Long-d.Busy.Long)
	blocked := max(0, d.Waiting.Long-free)
	all := d.Busy.plus(d.Waiting)
	return Amount{Units: all.Units - blocked, Long: all.Long}
}

// updateIdle records since when the holder has had more units than it can use.
func (h *LeaseHolder) updateIdle(demand Amount, now time.Time) {
	switch {
	case !h.Usable(now).exceeds(demand):
		h.idleSince = time.Time{}
	case h.idleSince.IsZero():
		h.idleSince = now
	}
}

// shouldRelease reports whether unused units are to be returned to the broker: at once
// if others wait for them, otherwise after an idle time.
func (h *LeaseHolder) shouldRelease(demand Amount, now time.Time) bool {
	if !h.Usable(now).exceeds(demand) || h.idleSince.IsZero() {
		return false
	}
	if h.contended.mask(h.Usable(now)).exceeds(demand) {
		return true
	}
	keep := h.lease / uncontendedIdleDivisor
	if now.Sub(h.contendedAt) < uncontendedLeases*h.lease {
		keep = h.lease / contendedIdleDivisor
	}
	return now.Sub(h.idleSince) >= keep
}

// mask returns a with those numbers set to zero for which no other holder waits.
func (c Contended) mask(a Amount) Amount {
	if !c.Units {
		a.Units = 0
	}
	if !c.Long {
		a.Long = 0
	}
	return a
}
