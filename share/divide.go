package share

import (
	"slices"
	"time"
)

// turn is the place of a holder in the rotation of the units that cannot be
// divided evenly.
type turn struct {
	extra    bool          // has one unit more than the even part
	since    time.Time     // when that began, or when the holder began to wait
	reported time.Duration // how long its oldest request waits
}

// kind selects what is divided.
type kind int

const (
	longUnits  kind = iota
	shortUnits      // all units but those reserved for long work
)

// divide sets the target of each holder: the max-min fair division of the limit
// by demand. The units left over rotate by the longest wait. Long work is
// divided first and its units are set apart: a holder whose only unit runs long
// work would otherwise have none for its short work until that ends.
func (b *Broker) divide(now time.Time) {
	b.divideKind(longUnits, b.limit.Long, now)
	b.divideKind(shortUnits, b.limit.Units-b.reserve(), now)
	b.leave()
	b.missing = Amount{}
	for _, r := range b.order {
		b.missing = b.missing.plus(r.missing())
	}
	b.free = b.limit.minus(b.total).max(Amount{})
}

// contended reports whether holders other than r wait for more than is free.
func (b *Broker) contended(r *record) Contended {
	others := b.missing.minus(r.missing())
	return Contended{
		Units: others.Units > b.free.Units,
		Long:  others.Long > b.free.Long,
	}
}

// reserve sets units apart for the long work that runs and, up to the limit of
// long work, for long work that may start. It returns their number.
func (b *Broker) reserve() int {
	sum := 0
	for _, r := range b.order {
		r.reserved = min(r.inUse.Long, r.want.Long)
		sum += r.reserved
	}
	for _, r := range b.order {
		more := min(r.part[longUnits]-r.reserved, b.limit.Long-sum)
		if more > 0 {
			r.reserved += more
			sum += more
		}
	}
	return sum
}

func (b *Broker) divideKind(k kind, limit int, now time.Time) {
	limit = max(0, limit)
	level, rest := b.level(k, limit)
	b.fair = b.fair[:0]
	for _, r := range b.order {
		w := r.wanted(k)
		r.part[k] = min(w, level)
		t := &r.turns[k]
		if w <= level {
			*t = turn{reported: t.reported}
			continue
		}
		if t.since.IsZero() {
			t.since = now.Add(-t.reported)
		}
		b.fair = append(b.fair, r)
	}
	b.rotate(k, rest, now)
}

// wanted returns the demand of r.
func (r *record) wanted(k kind) int {
	if k == longUnits {
		return r.want.Long
	}
	return r.want.Units - r.want.Long
}

// missing returns what r could use beyond what it holds.
func (r *record) missing() Amount {
	need := Amount{Units: r.wanted(shortUnits) + r.reserved, Long: r.want.Long}
	return need.minus(r.held).max(Amount{})
}

// target returns what r should have by its parts.
func (r *record) target() Amount {
	return Amount{
		Units: r.part[shortUnits] + r.reserved + r.spare.Units,
		Long:  r.part[longUnits] + r.spare.Long,
	}.valid()
}

// served reports whether r has been granted its part.
func (r *record) served(k kind) bool {
	if k == longUnits {
		return r.granted.Long >= r.part[longUnits]
	}
	return r.granted.Units >= r.part[shortUnits]+r.reserved
}

// leave lets holders keep units that nobody wants, so that a holder with a
// steady trickle of requests does not ask for each of them.
func (b *Broker) leave() {
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

// level returns the largest number of units that each holder can get up to its
// demand, and how many units are left over.
func (b *Broker) level(k kind, limit int) (level, rest int) {
	low, high := 0, limit
	for low < high {
		mid := (low + high + 1) / 2
		if b.sumAt(k, mid) <= limit {
			low = mid
		} else {
			high = mid - 1
		}
	}
	return low, limit - b.sumAt(k, low)
}

func (b *Broker) sumAt(k kind, level int) int {
	sum := 0
	for _, r := range b.order {
		sum += min(r.wanted(k), level)
	}
	return sum
}

// rotate gives one unit each to rest of the candidates: to those that have had
// theirs for less than the quantum, then to those that wait longest, then to
// those whose quantum is over.
func (b *Broker) rotate(k kind, rest int, now time.Time) {
	quantum := b.lease / quantumPart
	slices.SortStableFunc(b.fair, func(x, y *record) int {
		tx, ty := &x.turns[k], &y.turns[k]
		if c := tx.rank(quantum, now) - ty.rank(quantum, now); c != 0 {
			return c
		}
		return tx.since.Compare(ty.since)
	})
	for n, r := range b.fair {
		t := &r.turns[k]
		extra := n < rest
		if extra {
			r.part[k]++
		}
		if extra != t.extra || extra && !r.served(k) {
			t.extra, t.since = extra, now // the quantum starts with the grant
		}
	}
}

func (t *turn) rank(quantum time.Duration, now time.Time) int {
	switch {
	case t.extra && now.Sub(t.since) < quantum:
		return 0
	case !t.extra:
		return 1
	default:
		return 2
	}
}
