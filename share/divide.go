package share

import (
	"slices"
	"time"
)

// rotationState says whether a holder has one of the units that cannot be divided
// evenly and therefore rotate among the holders.
type rotationState struct {
	extra    bool          // has one unit more than the even share
	since    time.Time     // when the holder got that unit, or began to wait for it
	reported time.Duration // how long its oldest request has waited
}

// unitKind is a class of units that is divided separately.
type unitKind int

const (
	longUnits  unitKind = iota
	shortUnits          // all units but those reserved for long requests
)

// divide sets the target of each holder by max-min fair sharing of the limit
// according to demand. Units that are left over rotate, the longest wait first.
// Units for long requests are divided first and reserved: otherwise a holder whose
// only unit runs a long request would have no unit for short requests until it
// ends.
func (b *Broker) divide(now time.Time) {
	b.divideKind(longUnits, b.limit.Long, now)
	b.divideKind(shortUnits, b.limit.Units-b.reserve(), now)
	b.assignSpare()
	b.unmet = Amount{}
	for _, r := range b.order {
		b.unmet = b.unmet.plus(r.unmet())
	}
	b.free = b.limit.minus(b.total).max(Amount{})
}

// contended reports whether holders other than r wait for more units than are free.
func (b *Broker) contended(r *record) Contended {
	others := b.unmet.minus(r.unmet())
	return Contended{
		Units: others.Units > b.free.Units,
		Long:  others.Long > b.free.Long,
	}
}

// reserve reserves units for the long requests that run and, up to the limit for
// long requests, for those that may start. It returns the number of these units.
func (b *Broker) reserve() int {
	sum := 0
	for _, r := range b.order {
		r.reserved = min(r.inUse.Long, r.want.Long)
		sum += r.reserved
	}
	for _, r := range b.order {
		more := min(r.share[longUnits]-r.reserved, b.limit.Long-sum)
		if more > 0 {
			r.reserved += more
			sum += more
		}
	}
	return sum
}

func (b *Broker) divideKind(k unitKind, limit int, now time.Time) {
	limit = max(0, limit)
	perHolder, rest := b.fairShare(k, limit)
	b.candidates = b.candidates[:0]
	for _, r := range b.order {
		w := r.wanted(k)
		r.share[k] = min(w, perHolder)
		t := &r.rotation[k]
		if w <= perHolder {
			*t = rotationState{reported: t.reported}
			continue
		}
		if t.since.IsZero() {
			t.since = now.Add(-t.reported)
		}
		b.candidates = append(b.candidates, r)
	}
	b.rotate(k, rest, now)
}

// wanted returns the demand of r for units of kind k.
func (r *record) wanted(k unitKind) int {
	if k == longUnits {
		return r.want.Long
	}
	return r.want.Units - r.want.Long
}

// unmet returns how many units r could use beyond those it holds.
func (r *record) unmet() Amount {
	demand := Amount{Units: r.wanted(shortUnits) + r.reserved, Long: r.want.Long}
	return demand.minus(r.held).max(Amount{})
}

// target returns how many units r should hold.
func (r *record) target() Amount {
	return Amount{
		Units: r.share[shortUnits] + r.reserved + r.spare.Units,
		Long:  r.share[longUnits] + r.spare.Long,
	}.valid()
}

// hasShare reports whether r has been granted its share of the units of kind k.
func (r *record) hasShare(k unitKind) bool {
	if k == longUnits {
		return r.granted.Long >= r.share[longUnits]
	}
	return r.granted.Units >= r.share[shortUnits]+r.reserved
}

// assignSpare lets holders keep units that nobody wants, so that a holder with a low
// and steady rate of requests need not send an Ask for each of them.
func (b *Broker) assignSpare() {
	rest := b.limit
	for _, r := range b.order {
		r.spare = Amount{}
		rest = rest.minus(r.target())
	}
	for _, r := range b.order {
		rest = rest.max(Amount{})
		r.spare = r.held.minus(r.target()).max(Amount{}).min(rest)
		rest = rest.minus(r.spare)
	}
}

// fairShare returns the largest number of units of kind k that every holder can get,
// unless it wants fewer, and how many units are left over.
func (b *Broker) fairShare(k unitKind, limit int) (perHolder, rest int) {
	low, high := 0, limit
	for low < high {
		mid := (low + high + 1) / 2
		if b.sumCappedAt(k, mid) <= limit {
			low = mid
		} else {
			high = mid - 1
		}
	}
	return low, limit - b.sumCappedAt(k, low)
}

// sumCappedAt returns the total demand when that of each holder is capped.
func (b *Broker) sumCappedAt(k unitKind, maxUnits int) int {
	sum := 0
	for _, r := range b.order {
		sum += min(r.wanted(k), maxUnits)
	}
	return sum
}

// rotate gives one extra unit each to as many candidates as units are left over
// (rest). Candidates that have had an extra unit for less than the quantum come
// first, then those without one in the order of their waiting time, then those
// whose quantum has ended.
func (b *Broker) rotate(k unitKind, rest int, now time.Time) {
	quantum := b.lease / quantumDivisor
	slices.SortStableFunc(b.candidates, func(x, y *record) int {
		tx, ty := &x.rotation[k], &y.rotation[k]
		if c := tx.rank(quantum, now) - ty.rank(quantum, now); c != 0 {
			return c
		}
		return tx.since.Compare(ty.since)
	})
	for n, r := range b.candidates {
		t := &r.rotation[k]
		extra := n < rest
		if extra {
			r.share[k]++
		}
		if extra != t.extra || extra && !r.hasShare(k) {
			t.extra, t.since = extra, now // the quantum starts with the grant
		}
	}
}

// rank returns the priority of a candidate for an extra unit, the lowest first.
func (t *rotationState) rank(quantum time.Duration, now time.Time) int {
	switch {
	case t.extra && now.Sub(t.since) < quantum:
		return 0
	case !t.extra:
		return 1
	default:
		return 2
	}
}
