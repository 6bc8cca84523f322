package pool

import "time"

// Sizes of the demand history.
const (
	// riseSlot is the resolution of the rate of rise. It is half the cost of a
	// connection.
	riseSlot = 5 * time.Millisecond
	// riseSlots cover 80 ms: long enough to even out single statements, short
	// against a rise within one second.
	riseSlots = 16
)

// Demand follows how many statements need a connection at the same time. It is
// not safe for concurrent use.
type Demand struct {
	slots  [riseSlots]int // mean concurrency per slot, newest at head
	head   int
	filled int
	start  time.Time // of the newest slot
	sum    int
	count  int
	peak   int
	peakAt time.Time
}

// Observe records the number of running and waiting statements.
func (d *Demand) Observe(concurrent int, now time.Time) {
	if concurrent >= d.peak {
		d.peak = concurrent
		d.peakAt = now
	}
	d.turn(now)
	d.sum += concurrent
	d.count++
	d.slots[d.head] = d.sum / d.count
}

// turn moves to the slot of now. Slots without an observation repeat the last.
func (d *Demand) turn(now time.Time) {
	if d.filled == 0 || now.Sub(d.start) > riseSlots*riseSlot {
		*d = Demand{filled: 1, start: now, peak: d.peak, peakAt: d.peakAt}
		return
	}
	for now.Sub(d.start) >= riseSlot {
		last := d.slots[d.head]
		d.head = (d.head + 1) % riseSlots
		d.slots[d.head] = last
		d.filled = min(d.filled+1, riseSlots)
		d.start = d.start.Add(riseSlot)
		d.sum, d.count = 0, 0
	}
}

// Rise returns by how many statements demand grows per second: the difference
// of the means of the newer and the older half of the history, or 0.
func (d *Demand) Rise() float64 {
	half := d.filled / 2
	if half == 0 {
		return 0
	}
	newer, older := 0, 0
	for i := range half {
		newer += d.slots[(d.head-i+riseSlots)%riseSlots]
		older += d.slots[(d.head-half-i+2*riseSlots)%riseSlots]
	}
	perSlot := float64(newer-older) / float64(half*half)
	return max(0, perSlot/riseSlot.Seconds())
}

// Peak returns the highest concurrency within the last period. The peak decays
// to the present value only after a whole period below it.
func (d *Demand) Peak(period time.Duration, now time.Time) int {
	if now.Sub(d.peakAt) > period {
		d.peak = d.slots[d.head]
		d.peakAt = now
	}
	return d.peak
}
