package learn

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// meanWeight is the inverse weight of a new duration in the decayed mean.
	meanWeight = 8
	// outlierRatio limits one duration to this multiple of the mean, so that a
	// single statement that waited for a lock does not turn its shape long.
	outlierRatio = 4
	// outlierAfter is the number of observations from which the limit applies.
	outlierAfter = 4
	// highUp and highDown move the high quantile in log space. Their exponents
	// are in the ratio 19:1, so the estimate rests at the 95th percentile.
	highUp   = 1.2092495976572515 // exp(0.19)
	highDown = 0.9900498337491681 // exp(-0.01)
	// backFactor is the part of the threshold below which a long shape turns
	// short again. The gap keeps a shape near the threshold from flapping.
	backFactor = 0.5
)

type entry struct {
	fingerprint uint64
	mean        float64 // ns
	high        float64 // ns
	last        time.Time
	count       uint32
	class       Class
	prev, next  int32
}

func (e *entry) observe(took time.Duration, now time.Time) {
	v := float64(took)
	e.last = now
	if e.count == 0 {
		e.count = 1
		e.mean, e.high = v, v
		return
	}
	e.count = min(e.count+1, math.MaxUint32-1)
	if v > e.high {
		e.high = min(v, e.high*highUp)
	} else {
		e.high = max(v, e.high*highDown)
	}
	if e.count > outlierAfter {
		v = min(v, e.mean*outlierRatio)
	}
	e.mean += (v - e.mean) / float64(min(e.count, meanWeight))
}

func (e *entry) reclassify(threshold time.Duration) Class {
	limit := float64(threshold)
	if e.class == Long {
		limit *= backFactor
	}
	e.class = Short
	if e.mean > limit {
		e.class = Long
	}
	return e.class
}

const (
	// Buckets of a quarter octave place the median within 19%, which is far
	// finer than the factor between typical and long.
	bucketsPerOctave = 4
	octaves          = 36 // 1 ns to about 68 s
	buckets          = bucketsPerOctave * octaves
	// window is the number of samples after which all counts are halved, so that
	// the median follows a change of workload within about as many samples.
	window = 1024
	// priorSamples is the weight of the assumed typical duration at the start.
	priorSamples = 8
	// Each shard passes its first samples on, then one in sampleEvery: the shared
	// histogram stays off the path of most statements.
	sampleAll   = 16
	sampleEvery = 8
)

// typical estimates the median duration over all shapes by a decayed histogram.
type typical struct {
	mu        sync.Mutex
	counts    [buckets]uint32
	total     uint32
	factor    float64
	floor     time.Duration
	median    atomic.Int64 // ns
	threshold atomic.Int64 // ns
}

func (t *typical) init(start time.Duration, factor float64, floor time.Duration) {
	t.factor, t.floor = factor, floor
	t.counts[bucketOf(start)] = priorSamples
	t.total = priorSamples
	t.median.Store(int64(start))
	t.update()
}

func (t *typical) setFactor(f float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.factor = f
	t.update()
}

func (t *typical) add(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[bucketOf(d)]++
	t.total++
	if t.total >= window {
		t.halve()
	}
	t.median.Store(int64(t.middle()))
	t.update()
}

func (t *typical) halve() {
	t.total = 0
	for i := range t.counts {
		t.counts[i] /= 2
		t.total += t.counts[i]
	}
}

func (t *typical) middle() time.Duration {
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

func (t *typical) update() {
	limit := time.Duration(float64(t.median.Load()) * t.factor)
	t.threshold.Store(int64(max(limit, t.floor)))
}

func bucketOf(d time.Duration) int {
	i := int(math.Log2(float64(max(1, d))) * bucketsPerOctave)
	return min(i, buckets-1)
}
