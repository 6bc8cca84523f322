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

// kind selects the part of an amount that is divided.
type kind int

const (
	allUnits kind = iota
	longUnits
)

func (k kind) of(a Amount) int {
	if k == longUnits {
		return a.Long
	}
	return a.Units
}

func (k kind) set(a *Amount, n int) {
	if k == longUnits {
		a.Long = n
		return
	}
	a.Units = n
}

// divide sets the target of each holder: the max-min fair division of the limit
// by demand. The units left over rotate by the longest wait.
func (b *Broker) divide(now time.Time) {
	want := b.Wanted()
	b.contended = want.exceeds(b.limit)
	b.divideKind(allUnits, now)
	b.divideKind(longUnits, now)
}

func (b *Broker) divideKind(k kind, now time.Time) {
	limit := k.of(b.limit)
	level, rest := b.level(k, limit)
	b.fair = b.fair[:0]
	for _, r := range b.order {
		w := k.wanted(r)
		k.set(&r.target, min(w, level))
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

// wanted returns the demand of r. Long work is bounded by the units that r gets.
func (k kind) wanted(r *record) int {
	if k == longUnits {
		return min(r.want.Long, r.target.Units)
	}
	return r.want.Units
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
		sum += min(k.wanted(r), level)
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
			k.set(&r.target, k.of(r.target)+1)
		}
		if extra != t.extra || extra && k.of(r.granted) < k.of(r.target) {
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
