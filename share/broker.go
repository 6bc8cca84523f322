package share

import "time"

// Broker grants leases of the units of one backend server. It is not safe for
// concurrent use. The grants that a method returns are valid until the next
// call of a method.
type Broker struct {
	epoch     uint64
	total     Amount // sum of what the records count
	limit     Amount
	lease     time.Duration
	linger    time.Duration
	quiet     time.Time // nothing is granted before
	confirmed time.Time
	deposed   bool
	seq       uint64 // newest grant, over all holders: records come and go
	records   map[holderID]*record
	order     []*record // in the order of their first Ask
	missing   Amount    // what holders could use beyond what they hold
	free      Amount    // at the last division
	out       []Grant
	fair      []*record // candidates of the fair division, kept to be reused
}

type holderID struct {
	name        string
	incarnation uint64
}

// BrokerOption sets a parameter of a Broker.
type BrokerOption func(*Broker)

// WithLease sets the length of leases and the linger time of work that runs at
// their expiry. Together they are at most MaxLease.
func WithLease(lease, linger time.Duration) BrokerOption {
	return func(b *Broker) { b.SetLease(lease, linger) }
}

// WithoutFormer makes the broker grant at once. It is only for a backend server
// that never had an owner before.
func WithoutFormer() BrokerOption { return func(b *Broker) { b.quiet = time.Time{} } }

// NewBroker returns the broker of an epoch of ownership, learned at now. It
// grants from the end of the longest grant of the epoch before, and only while
// Confirm shows that the ownership is still in force.
func NewBroker(epoch uint64, limit Amount, now time.Time, opts ...BrokerOption) *Broker {
	b := &Broker{
		epoch:   epoch,
		limit:   limit.valid(),
		lease:   defaultLease,
		linger:  defaultLinger,
		quiet:   now.Add(MaxLease + MaxLease/driftPart),
		records: make(map[holderID]*record),
	}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Epoch returns the epoch of the broker.
func (b *Broker) Epoch() uint64 { return b.epoch }

// Confirm reports that the ownership was in force at a time, for instance when
// a round to the control log that verified it was started.
func (b *Broker) Confirm(at time.Time) {
	if at.After(b.confirmed) {
		b.confirmed = at
	}
}

// SetLease applies new lengths to the grants from now on.
func (b *Broker) SetLease(lease, linger time.Duration) {
	b.lease = min(max(lease, minLease), MaxLease)
	b.linger = min(max(linger, 0), MaxLease-b.lease)
}

// SetLimit applies a new limit. Grants beyond a smaller limit end with their
// renewal or expiry.
func (b *Broker) SetLimit(limit Amount, now time.Time) []Grant {
	b.limit = limit.valid()
	return b.Tick(now)
}

// Request answers an Ask. The grants may be for other holders too.
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
	r.accept(a, b.epoch, now, now.Add(b.lease+b.linger))
	b.expire(now)
	b.divide(now)
	b.grant(r, b.room(r), now)
	b.push(now)
	return b.out
}

// Release forgets a holder that has left and runs nothing any more.
func (b *Broker) Release(holder string, incarnation uint64, now time.Time) []Grant {
	if r := b.records[holderID{holder, incarnation}]; r != nil {
		r.clear()
	}
	return b.Tick(now)
}

// Tick hands out what has expired.
func (b *Broker) Tick(now time.Time) []Grant {
	b.out = b.out[:0]
	b.expire(now)
	if b.deposed || !b.owns(now) {
		return nil
	}
	b.divide(now)
	b.push(now)
	return b.out
}

// Next returns when Tick is next useful, or the zero time.
func (b *Broker) Next(now time.Time) time.Time {
	switch {
	case len(b.order) == 0:
		return time.Time{}
	case b.missing.exceeds(Amount{}):
		return now.Add(b.lease / gapPart)
	default:
		return now.Add(b.lease / renewPart)
	}
}

// Granted returns the sum of what the holders may have in use.
func (b *Broker) Granted(now time.Time) Amount {
	var sum Amount
	for _, r := range b.order {
		sum = sum.plus(r.counted(now))
	}
	return sum
}

// Wanted returns the sum of what the live holders want.
func (b *Broker) Wanted() Amount {
	var sum Amount
	for _, r := range b.order {
		sum = sum.plus(r.want)
	}
	return sum
}

func (b *Broker) owns(now time.Time) bool {
	return !now.Before(b.quiet) && b.length(now) >= minLease
}

// length returns the length of a grant made now: with its linger time it ends
// within MaxLease after the ownership was last confirmed.
func (b *Broker) length(now time.Time) time.Duration {
	return min(b.lease, b.confirmed.Add(MaxLease-b.linger).Sub(now))
}

// record returns the record of the holder, or nil for an incarnation that has
// been replaced.
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
		r.want = Amount{} // an earlier incarnation has ended
	}
	r := &record{id: id}
	b.records[id] = r
	b.order = append(b.order, r)
	return r
}

// expire counts what the holders may have in use, and forgets holders that are silent and have nothing in use any more. A
// silent holder wants nothing, so it takes no part in the division.
func (b *Broker) expire(now time.Time) {
	kept := b.order[:0]
	b.total = Amount{}
	for _, r := range b.order {
		if now.Sub(r.heard) > b.lease {
			r.want = Amount{}
		}
		r.count = r.counted(now)
		if r.want == (Amount{}) && r.count == (Amount{}) && now.Sub(r.heard) > b.lease {
			delete(b.records, r.id)
			continue
		}
		b.total = b.total.plus(r.count)
		kept = append(kept, r)
	}
	clear(b.order[len(kept):])
	b.order = kept
}

// room returns what r may be granted now: its target, limited by what all
// others may have in use.
func (b *Broker) room(r *record) Amount {
	others := b.total.minus(r.count)
	return r.target().min(b.limit.minus(others)).valid()
}

func (b *Broker) grant(r *record, amount Amount, now time.Time) {
	length := b.length(now)
	b.seq++
	r.issued(b.seq, amount, now, now.Add(length+b.linger))
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

// push sends grants to the other holders: first less to those above their part,
// while others wait, then more to those below it. A holder that has not asked
// for half a lease is left to its next Ask, because a grant counts from there.
func (b *Broker) push(now time.Time) {
	for _, r := range b.order {
		recent := now.Sub(r.grantedAt) < b.lease/gapPart
		if !recent && b.reachable(r, now) && b.reduces(r) {
			b.grant(r, r.held.min(r.target()).valid(), now)
		}
	}
	for _, r := range b.order {
		if !r.target().exceeds(r.held) || !b.reachable(r, now) {
			continue
		}
		if amount := b.room(r); amount.exceeds(r.held) {
			b.grant(r, amount, now)
		}
	}
}

func (b *Broker) reduces(r *record) bool {
	over := r.held.minus(r.target())
	contended := b.contended(r)
	return contended.Units && over.Units > 0 || contended.Long && over.Long > 0
}

func (b *Broker) reachable(r *record, now time.Time) bool {
	return now.Sub(r.heard) <= b.lease/2
}
