package share

import "time"

// Broker grants leases of the units of one backend server. It is not safe for
// concurrent use. The grants that a method returns are valid until the next
// call of a method.
type Broker struct {
	epoch      uint64
	total      Amount // of the counts of all records
	limit      Amount
	lease      time.Duration
	linger     time.Duration
	notBefore  time.Time // no grants are made before this time
	confirmed  time.Time // latest time at which the ownership was known to be in force
	deposed    bool      // a holder has seen a newer epoch
	seq        uint64    // of the newest grant to any holder; not per record, since records are deleted and created again
	records    map[holderID]*record
	order      []*record // in the order of their first Ask
	unmet      Amount    // units that holders could use beyond those they hold
	free       Amount    // units free after the last call of divide
	out        []Grant
	candidates []*record // for the units left over; the memory is reused
}

type holderID struct {
	name        string
	incarnation uint64
}

// BrokerOption sets a parameter of a Broker.
type BrokerOption func(*Broker)

// WithLease sets the length of leases and the linger time of statements that run
// when a lease expires. The two add up to at most MaxLease.
func WithLease(lease, linger time.Duration) BrokerOption {
	return func(b *Broker) { b.SetLease(lease, linger) }
}

// WithoutFormerOwner makes the broker grant without an initial wait. It may only be used
// for a backend server that has never had an owner.
func WithoutFormerOwner() BrokerOption { return func(b *Broker) { b.notBefore = time.Time{} } }

// NewBroker returns the broker of an epoch of ownership that the instance learned of
// at now. The broker begins to grant when the longest possible grant of the previous
// epoch has ended, and grants only while Confirm shows that the ownership is still
// in force.
func NewBroker(epoch uint64, limit Amount, now time.Time, opts ...BrokerOption) *Broker {
	b := &Broker{
		epoch:     epoch,
		limit:     limit.valid(),
		lease:     defaultLease,
		linger:    defaultLinger,
		notBefore: now.Add(MaxLease + MaxLease/driftDivisor),
		records:   make(map[holderID]*record),
	}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Epoch returns the epoch of the broker.
func (b *Broker) Epoch() uint64 { return b.epoch }

// Confirm reports that the ownership was in force at the given time, for example at
// the start of a round trip to the control log that verified it.
func (b *Broker) Confirm(at time.Time) {
	if at.After(b.confirmed) {
		b.confirmed = at
	}
}

// SetLease sets the lease length and the linger time of later grants.
func (b *Broker) SetLease(lease, linger time.Duration) {
	b.lease = min(max(lease, minLease), MaxLease)
	b.linger = min(max(linger, 0), MaxLease-b.lease)
}

// SetLimit applies a new limit. If it is smaller, grants above it end when they are
// renewed or expire.
func (b *Broker) SetLimit(limit Amount, now time.Time) []Grant {
	b.limit = limit.valid()
	return b.Tick(now)
}

// Request answers an Ask. The result may include grants for other holders.
func (b *Broker) Request(a Ask, now time.Time) []Grant {
	b.out = b.out[:0]
	if a.Epoch > b.epoch {
		b.deposed = true
	}
	if b.deposed || !b.owns(now) {
		return nil
	}
	r := b.record(a)
	if r == nil || a.Number <= r.number {
		return nil
	}
	r.applyAsk(a, b.epoch, now, now.Add(b.lease+b.linger))
	b.expire(now)
	b.divide(now)
	b.grant(r, b.grantable(r), now)
	b.pushGrants(now)
	return b.out
}

// Release frees the units of a holder that has left and has no running statements.
func (b *Broker) Release(holder string, incarnation uint64, now time.Time) []Grant {
	if r := b.records[holderID{holder, incarnation}]; r != nil {
		r.clear()
	}
	return b.Tick(now)
}

// Tick grants units that have become free because leases expired.
func (b *Broker) Tick(now time.Time) []Grant {
	b.out = b.out[:0]
	b.expire(now)
	if b.deposed || !b.owns(now) {
		return nil
	}
	b.divide(now)
	b.pushGrants(now)
	return b.out
}

// NextTick returns the time at which Tick should be called next, or the zero time if
// there are no holders.
func (b *Broker) NextTick(now time.Time) time.Time {
	switch {
	case len(b.order) == 0:
		return time.Time{}
	case b.unmet.exceeds(Amount{}):
		return now.Add(b.lease / minGapDivisor)
	default:
		return now.Add(b.lease / renewDivisor)
	}
}

// Granted returns the total number of units that holders may have in use.
func (b *Broker) Granted(now time.Time) Amount {
	var sum Amount
	for _, r := range b.order {
		sum = sum.plus(r.counted(now))
	}
	return sum
}

// Wanted returns the total demand of the holders whose lease has not expired.
func (b *Broker) Wanted() Amount {
	var sum Amount
	for _, r := range b.order {
		sum = sum.plus(r.want)
	}
	return sum
}

// owns reports whether the broker may grant leases now.
func (b *Broker) owns(now time.Time) bool {
	return !now.Before(b.notBefore) && b.length(now) >= minLease
}

// length returns the length of a grant made now. The grant and its linger time end
// at most MaxLease after the ownership was last confirmed.
func (b *Broker) length(now time.Time) time.Duration {
	return min(b.lease, b.confirmed.Add(MaxLease-b.linger).Sub(now))
}

// record returns the record of the holder that sent a, or nil if a newer incarnation
// of the holder is known.
func (b *Broker) record(a Ask) *record {
	id := holderID{a.Holder, a.Incarnation}
	if r := b.records[id]; r != nil {
		return r
	}
	for _, r := range b.order {
		if r.id.name != a.Holder {
			continue
		}
		if r.id.incarnation > a.Incarnation {
			return nil
		}
		r.want = Amount{} // the earlier incarnation has ended
	}
	r := &record{id: id}
	b.records[id] = r
	b.order = append(b.order, r)
	return r
}

// expire updates the count of units that each holder may have in use. The demand of a
// holder that has sent nothing for a lease length is set to zero, so that it gets no
// units, and its record is deleted once it can have nothing in use.
func (b *Broker) expire(now time.Time) {
	kept := b.order[:0]
	b.total = Amount{}
	for _, r := range b.order {
		if now.Sub(r.lastHeard) > b.lease {
			r.want = Amount{}
		}
		r.count = r.counted(now)
		if r.want == (Amount{}) && r.count == (Amount{}) && now.Sub(r.lastHeard) > b.lease {
			delete(b.records, r.id)
			continue
		}
		b.total = b.total.plus(r.count)
		kept = append(kept, r)
	}
	clear(b.order[len(kept):])
	b.order = kept
}

// grantable returns what r may be granted now: its target, limited to the units that
// no other holder may have in use.
func (b *Broker) grantable(r *record) Amount {
	others := b.total.minus(r.count)
	return r.target().min(b.limit.minus(others)).valid()
}

func (b *Broker) grant(r *record, amount Amount, now time.Time) {
	length := b.length(now)
	b.seq++
	r.addGrant(b.seq, amount, now, now.Add(length+b.linger))
	b.total = b.total.minus(r.count)
	r.count = r.counted(now)
	b.total = b.total.plus(r.count)
	b.out = append(b.out, Grant{
		Holder:      r.id.name,
		Incarnation: r.id.incarnation,
		Epoch:       b.epoch,
		Seq:         b.seq,
		Answers:     r.number,
		Amount:      amount,
		Length:      length,
		Linger:      b.linger,
		Counted:     r.count,
		Contended:   b.contended(r),
	})
}

// pushGrants sends grants to holders that did not ask: first smaller ones to those
// above their target while others wait, then larger ones to those below it. A holder
// without an Ask in the last half of a lease length gets its grant with its next Ask,
// because a grant counts from the Ask that it answers.
func (b *Broker) pushGrants(now time.Time) {
	for _, r := range b.order {
		recent := now.Sub(r.grantedAt) < b.lease/minGapDivisor
		if !recent && b.heardRecently(r, now) && b.mustShrink(r) {
			b.grant(r, r.held.min(r.target()).valid(), now)
		}
	}
	for _, r := range b.order {
		if !r.target().exceeds(r.held) || !b.heardRecently(r, now) {
			continue
		}
		if amount := b.grantable(r); amount.exceeds(r.held) {
			b.grant(r, amount, now)
		}
	}
}

// mustShrink reports whether r holds more than its target of units for which other
// holders wait.
func (b *Broker) mustShrink(r *record) bool {
	over := r.held.minus(r.target())
	contended := b.contended(r)
	return contended.Units && over.Units > 0 || contended.Long && over.Long > 0
}

func (b *Broker) heardRecently(r *record, now time.Time) bool {
	return now.Sub(r.lastHeard) <= b.lease/2
}
