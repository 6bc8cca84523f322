package pool

import "time"

// Parameters of the demand history.
const (
	// sampleInterval is half of DefaultConnectTime.
	sampleInterval = 5 * time.Millisecond
	// sampleCount covers 80 ms, which is long enough to even out single statements
	// and short compared with a rise within one second.
	sampleCount = 16
)

// Demand tracks the number of statements that need a connection at the same time.
// It is not safe for concurrent use.
type Demand struct {
	samples      [sampleCount]int // mean concurrency per interval, newest at head
	head         int
	filled       int
	start        time.Time // of the current interval
	currentSum   int
	currentCount int
	peak         int
	peakAt       time.Time
}

// Observe records the number of running and waiting statements.
func (d *Demand) Observe(concurrent int, now time.Time) {
	if concurrent >= d.peak {
		d.peak = concurrent
		d.peakAt = now
	}
	d.advance(now)
	d.currentSum += concurrent
	d.currentCount++
	d.samples[d.head] = d.currentSum / d.currentCount
}

// advance moves to the interval that contains now. Intervals without an
// observation repeat the sample before them.
func (d *Demand) advance(now time.Time) {
	if d.filled == 0 || now.Sub(d.start) > sampleCount*sampleInterval {
		*d = Demand{filled: 1, start: now, peak: d.peak, peakAt: d.peakAt}
		return
	}
	for now.Sub(d.start) >= sampleInterval {
		last := d.samples[d.head]
		d.head = (d.head + 1) % sampleCount
		d.samples[d.head] = last
		d.filled = min(d.filled+1, sampleCount)
		d.start = d.start.Add(sampleInterval)
		d.currentSum, d.currentCount = 0, 0
	}
}

// GrowthRate returns by how many statements per second demand grows, or 0 if it
// falls. It compares the means of the newer and the older half of the history.
func (d *Demand) GrowthRate() float64 {
	half := d.filled / 2
	if half == 0 {
		return 0
	}
	newer, older := 0, 0
	for i := range half {
		newer += d.samples[(d.head-i+sampleCount)%sampleCount]
		older += d.samples[(d.head-half-i+2*sampleCount)%sampleCount]
	}
	perSample := float64(newer-older) / float64(half*half)
	return max(0, perSample/sampleInterval.Seconds())
}

// Peak returns the highest concurrency within the last period. The peak falls to
// the current value only after a whole period below it.
func (d *Demand) Peak(period time.Duration, now time.Time) int {
	if now.Sub(d.peakAt) > period {
		d.peak = d.samples[d.head]
		d.peakAt = now
	}
	return d.peak
}
