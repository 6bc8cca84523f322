package share

import "time"

// Demand is what an instance needs of one backend server.
type Demand struct {
	Busy    Amount    // in use
	Waiting Amount    // waited for
	Since   time.Time // when the oldest request began to wait, if any waits
}

// maxSent is the number of Asks whose sending time is remembered.
const maxSent = 64

// Holder is the side of one instance in the leases of one backend server. It is
// not safe for concurrent use. Usable may drop in Ask (units given back), in
// Receive and at Expires. The instance has to apply it to its queue before it
// starts anything else, and before it sends the Ask: a request started on a unit
// that was just given back would exceed the limit.
type Holder struct {
	name        string
	incarnation uint64
	epoch       uint64 // newest epoch seen
	granted     uint64 // epoch of the grant in force
	seq         uint64 // of the grant in force
	allowed     Amount
	lease       time.Duration
	linger      time.Duration
	expires     time.Time // end of the grant in force by the own clock
	contended   Contended
	tense       time.Time // when others last waited for units
	number      uint64
	sent        [maxSent]time.Time
	last        Ask       // newest Ask
	counted     Amount    // by the broker, at the newest grant
	answered    uint64    // newest Ask that a grant answers
	idle        time.Time // since when less is wanted than allowed, or zero
	fromReceipt bool      // weakens the holder in tests
}

// NewHolder returns a holder without units. Incarnation must be larger after
// each restart of the instance.
func NewHolder(name string, incarnation uint64) *Holder {
	return &Holder{name: name, incarnation: incarnation, lease: defaultLease, linger: defaultLinger}
}

// SawEpoch reports an epoch of ownership learned from the control state. The
// grant in force keeps its time; new grants of older epochs are refused.
func (h *Holder) SawEpoch(epoch uint64) { h.epoch = max(h.epoch, epoch) }

// Usable returns how many units may be in use now. Work that already runs
// counts against it, also where it is more.
func (h *Holder) Usable(now time.Time) Amount {
	if !now.Before(h.expires) {
		return Amount{}
	}
	return h.allowed
}

// Expires returns when Usable drops to zero unless a grant arrives.
func (h *Holder) Expires() time.Time { return h.expires }

// Overdue reports whether work that still runs has to be cancelled, because the
// lease could not be renewed for half of the linger time.
func (h *Holder) Overdue(now time.Time) bool {
	return !now.Before(h.expires.Add(h.linger / 2))
}

// Receive takes over a grant and reports whether it was accepted. Grants of an
// older epoch, out of order or for another incarnation are refused.
func (h *Holder) Receive(g Grant, now time.Time) bool {
	if g.Holder != h.name || g.Incarnation != h.incarnation || g.Epoch < h.epoch {
		return false
	}
	if g.Epoch == h.granted && g.Seq <= h.seq {
		return false
	}
	if g.Answers == 0 || g.Answers > h.number || h.number-g.Answers >= maxSent {
		return false
	}
	start := h.sent[g.Answers%maxSent]
	if h.fromReceipt {
		start = now
	}
	h.epoch, h.granted, h.seq = g.Epoch, g.Epoch, g.Seq
	h.lease, h.linger = g.Length, g.Linger
	h.expires = start.Add(g.Length - g.Length/driftPart)
	h.allowed = g.Amount.valid()
	h.contended = g.Contended
	if h.contended != (Contended{}) {
		h.tense = now
	}
	h.counted = g.Counted
	h.answered = max(h.answered, g.Answers)
	return true
}

// Ask returns the message to send to the broker, if one is due: a renewal, a
// request after demand has risen, a release, or the report that a smaller grant
// is in force. Units given back are no longer usable when Ask returns.
func (h *Holder) Ask(d Demand, now time.Time) (Ask, bool) {
	want := d.Busy.plus(d.Waiting)
	need := h.need(d, now)
	h.noteIdle(need, now)
	if !h.due(d, want, now) {
		return Ask{}, false
	}
	if h.gives(need, now) {
		h.allowed = h.allowed.min(need).valid()
		h.idle = time.Time{}
	}
	h.number++
	h.sent[h.number%maxSent] = now
	a := Ask{
		Holder:      h.name,
		Incarnation: h.incarnation,
		Number:      h.number,
		Epoch:       h.epoch,
		Keep:        h.Usable(now),
		Busy:        d.Busy,
		Want:        want,
	}
	if h.granted == h.epoch {
		a.Applied = h.seq
	}
	if !d.Since.IsZero() {
		a.Waiting = now.Sub(d.Since)
	}
	h.last = a
	return a, true
}

// Next returns when Ask or Usable next change without an event, or the zero
// time if the holder neither has nor wants units.
func (h *Holder) Next(d Demand, now time.Time) time.Time {
	want := d.Busy.plus(d.Waiting)
	if want == (Amount{}) && h.settled(now) {
		return time.Time{}
	}
	next := h.lastSent().Add(h.lease / renewPart)
	if urgent := h.lastSent().Add(h.lease / gapPart); h.urgent(d, want, now) {
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

func (h *Holder) lastSent() time.Time { return h.sent[h.number%maxSent] }

func (h *Holder) due(d Demand, want Amount, now time.Time) bool {
	if want == (Amount{}) && h.settled(now) {
		return false
	}
	since := now.Sub(h.lastSent())
	if h.number == 0 || since >= h.lease/renewPart {
		return true
	}
	return since >= h.lease/gapPart && h.urgent(d, want, now)
}

// settled reports whether the broker knows that the holder has and wants
// nothing, or has forgotten what it counted for it.
func (h *Holder) settled(now time.Time) bool {
	if h.Usable(now) != (Amount{}) {
		return false
	}
	if now.Sub(h.expires) > MaxLease {
		return true
	}
	return h.answered == h.number && h.last.Want == (Amount{}) && h.counted == (Amount{})
}

// urgent reports whether the broker should know of a change before the next
// renewal: demand above what is usable has risen, others wait for units that
// the broker still counts here, or units are given back.
func (h *Holder) urgent(d Demand, want Amount, now time.Time) bool {
	usable := h.Usable(now)
	if want.exceeds(usable) && want.exceeds(h.last.Want) {
		return true
	}
	if h.answered == h.number && h.contended.part(h.counted).exceeds(d.Busy.max(usable)) {
		return true
	}
	return h.gives(h.need(d, now), now)
}

// need returns the part of the demand that can use units now: waiting long work
// needs a unit only if a long one is free for it.
func (h *Holder) need(d Demand, now time.Time) Amount {
	free := max(0, h.Usable(now).Long-d.Busy.Long)
	idle := max(0, d.Waiting.Long-free)
	all := d.Busy.plus(d.Waiting)
	return Amount{Units: all.Units - idle, Long: all.Long}
}

func (h *Holder) noteIdle(need Amount, now time.Time) {
	switch {
	case !h.Usable(now).exceeds(need):
		h.idle = time.Time{}
	case h.idle.IsZero():
		h.idle = now
	}
}

// gives reports whether units that are not wanted are given back: at once if
// others wait, otherwise after a short idle time.
func (h *Holder) gives(need Amount, now time.Time) bool {
	if !h.Usable(now).exceeds(need) || h.idle.IsZero() {
		return false
	}
	if h.contended.part(h.Usable(now)).exceeds(need) {
		return true
	}
	keep := h.lease / calmPart
	if now.Sub(h.tense) < calmLeases*h.lease {
		keep = h.lease / idlePart
	}
	return now.Sub(h.idle) >= keep
}

// part returns the parts of a that others wait for.
func (c Contended) part(a Amount) Amount {
	if !c.Units {
		a.Units = 0
	}
	if !c.Long {
		a.Long = 0
	}
	return a
}
