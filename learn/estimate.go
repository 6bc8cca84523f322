package learn

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// meanInverseWeight is the reciprocal of the weight that a new duration has in the
	// exponentially decayed mean.
	meanInverseWeight = 8
	// outlierRatio limits the duration that enters the mean to this multiple of the
	// mean. Otherwise a single statement that waited for a lock would make its shape
	// long.
	outlierRatio = 4
	// outlierMinCount is the number of observations after which outlierRatio applies.
	outlierMinCount = 4
	// highStepUp and highStepDown are the factors by which the estimate of the high
	// quantile moves. Their exponents are in the ratio 19:1, so that the estimate is
	// stable at the 95th percentile.
	highStepUp   = 1.2092495976572515 // exp(0.19)
	highStepDown = 0.9900498337491681 // exp(-0.01)
	// hysteresisFactor is the fraction of the threshold below which a long shape becomes
	// short again. It keeps a shape near the threshold from flapping between the
	// classes.
	hysteresisFactor = 0.5
)

// shapeStats holds the estimates for one shape, as an element of the list of its shard.
type shapeStats struct {
	fingerprint uint64
	mean        float64 // ns
	high        float64 // ns
	last        time.Time
	count       uint32
	class       Class
	prev, next  int32
}

func (e *shapeStats) observe(took time.Duration, now time.Time) {
	v := float64(took)
	e.last = now
	if e.count == 0 {
		e.count = 1
		e.mean, e.high = v, v
		return
	}
	e.count = min(e.count+1, math.MaxUint32-1)
	if v > e.high {
		e.high = min(v, e.high*highStepUp)
	} else {
		e.high = max(v, e.high*highStepDown)
	}
	if e.count > outlierMinCount {
		v = min(v, e.mean*outlierRatio)
	}
	e.mean += (v - e.mean) / float64(min(e.count, meanInverseWeight))
}

func (e *shapeStats) reclassify(threshold time.Duration) Class {
	limit := float64(threshold)
	if e.class == Long {
		limit *= hysteresisFactor
	}
	e.class = Short
	if e.mean > limit {
		e.class = Long
	}
	return e.class
}

const (
	// With buckets of a quarter octave (a factor of 1.19) the median is accurate to
	// 19%, which is much less than the factor between typical and long statements.
	bucketsPerOctave = 4
	octaves          = 36 // 1 ns to about 68 s
	buckets          = bucketsPerOctave * octaves
	// decayWindow is the number of samples after which all counts are halved. The median
	// follows a change of the workload within about as many samples.
	decayWindow = 1024
	// priorSamples is the weight of the initial typical duration, in samples.
	priorSamples = 8
	// Each shard adds its first initialSamples durations to the shared histogram, and
	// then one in sampleEvery, so that most statements do not take the lock of the
	// histogram.
	initialSamples = 16
	sampleEvery    = 8
)

// typicalDuration estimates the median duration over all shapes by a histogram whose
// counts decay, and derives the threshold of long statements from it.
type typicalDuration struct {
	mu           sync.Mutex
	counts       [buckets]uint32
	total        uint32
	factor       float64
	minThreshold time.Duration
	median       atomic.Int64 // ns
	threshold    atomic.Int64 // ns
}

func (t *typicalDuration) init(start time.Duration, factor float64, minThreshold time.Duration) {
	t.factor, t.minThreshold = factor, minThreshold
	t.counts[bucketOf(start)] = priorSamples
	t.total = priorSamples
	t.median.Store(int64(start))
	t.updateThreshold()
}

func (t *typicalDuration) setFactor(f float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.factor = f
	t.updateThreshold()
}

func (t *typicalDuration) add(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[bucketOf(d)]++
	t.total++
	if t.total >= decayWindow {
		t.halveCounts()
	}
	t.median.Store(int64(t.computeMedian()))
	t.updateThreshold()
}

func (t *typicalDuration) halveCounts() {
	t.total = 0
	for i := range t.counts {
		t.counts[i] /= 2
		t.total += t.counts[i]
	}
}

func (t *typicalDuration) computeMedian() time.Duration {
	half := (t.total + 1) / 2
	seen := uint32(0)
	for i, n := range t.counts {
		seen += n
		if seen >= half {
			return time.Duration(math.Exp2((float64(i) + 0.5) / bucketsPerOctave))
		}
	}
	return 0
}

func (t *typicalDuration) updateThreshold() {
	limit := time.Duration(float64(t.median.Load()) * t.factor)
	t.threshold.Store(int64(max(limit, t.minThreshold)))
}

func bucketOf(d time.Duration) int {
	i := int(math.Log2(float64(max(1, d))) * bucketsPerOctave)
	return min(i, buckets-1)
}
