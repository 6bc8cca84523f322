// Package stats counts what an instance does. There is one counter for each
// reason of a refusal and of a retry.
package stats

import (
	"fmt"
	"io"
	"maps"
	"math"
	"runtime/metrics"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"tamarackcross/errs"
)

// Registry is the metrics of one instance. Counters of the hot path are plain
// atomics that a tally scope reports from.
type Registry struct {
	scope    tally.Scope
	closer   io.Closer
	reporter *textReporter

	mu       sync.RWMutex
	refusals map[errs.Reason]tally.Counter
	retries  map[errs.Reason]tally.Counter

	readsReplica tally.Counter
	readsPrimary tally.Counter
	writes       tally.Counter
	callersGauge tally.Gauge
	callers      atomic.Int64
	counts       [3]atomic.Int64 // writes, reads by replicas, reads by primaries
}

// reportInterval is how often tally hands its counters to the reporter.
const reportInterval = time.Second

// New returns a registry whose metrics carry the given tags.
func New(tags map[string]string) *Registry {
	rep := &textReporter{values: make(map[string]float64), histograms: make(map[string]*histogram)}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "tamarackcross",
		Tags:            tags,
		Reporter:        rep,
		Separator:       "_",
		SanitizeOptions: &sanitize,
	}, reportInterval)
	return &Registry{
		scope:        scope,
		closer:       closer,
		reporter:     rep,
		refusals:     make(map[errs.Reason]tally.Counter),
		retries:      make(map[errs.Reason]tally.Counter),
		readsReplica: scope.Tagged(map[string]string{"role": "replica"}).Counter("reads"),
		readsPrimary: scope.Tagged(map[string]string{"role": "primary"}).Counter("reads"),
		writes:       scope.Counter("writes"),
		callersGauge: scope.Gauge("callers"),
	}
}

// Scope returns the tally scope, for metrics of other packages.
func (r *Registry) Scope() tally.Scope { return r.scope }

// Close stops the reporting.
func (r *Registry) Close() error { return r.closer.Close() }

// Refused counts a refusal.
func (r *Registry) Refused(reason errs.Reason) { r.counter(r.refusals, "refusals", reason).Inc(1) }

// Retried counts a retry.
func (r *Registry) Retried(reason errs.Reason) { r.counter(r.retries, "retries", reason).Inc(1) }

// latencyBuckets are the upper bounds of latency histograms: from a round trip in
// a zone to the longest deadline of the users.
var latencyBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond,
	800 * time.Millisecond, 1600 * time.Millisecond, 5 * time.Second,
}

// Observe adds a duration to the latency histogram of that name.
func (r *Registry) Observe(name string, d time.Duration) {
	r.scope.Histogram(name, latencyBuckets).RecordDuration(d)
}

// Runtime sets the gauges of the runtime.
func (r *Registry) Runtime() {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/sched/goroutines:goroutines"}}
	metrics.Read(samples)
	r.Gauge("memory_bytes", nil, float64(samples[0].Value.Uint64()))
	r.Gauge("goroutines", nil, float64(samples[1].Value.Uint64()))
}

// Gauge sets the gauge of that name and tags.
func (r *Registry) Gauge(name string, tags map[string]string, v float64) {
	r.scope.Tagged(tags).Gauge(name).Update(v)
}

// Counts are the requests answered since the start.
type Counts struct {
	Writes       int64
	ReadsReplica int64
	ReadsPrimary int64
}

// Write counts a write that was acknowledged.
func (r *Registry) Write() {
	r.counts[0].Add(1)
	r.writes.Inc(1)
}

// ReadReplica counts a read that a replica served.
func (r *Registry) ReadReplica() {
	r.counts[1].Add(1)
	r.readsReplica.Inc(1)
}

// ReadPrimary counts a read that a primary served.
func (r *Registry) ReadPrimary() {
	r.counts[2].Add(1)
	r.readsPrimary.Inc(1)
}

// Counts returns the requests answered since the start.
func (r *Registry) Counts() Counts {
	return Counts{
		Writes:       r.counts[0].Load(),
		ReadsReplica: r.counts[1].Load(),
		ReadsPrimary: r.counts[2].Load(),
	}
}

// CallerOpened counts a caller connection and returns the number open.
func (r *Registry) CallerOpened() int64 { return r.caller(1) }

// CallerClosed undoes CallerOpened.
func (r *Registry) CallerClosed() int64 { return r.caller(-1) }

func (r *Registry) caller(n int64) int64 {
	open := r.callers.Add(n)
	r.callersGauge.Update(float64(open))
	return open
}

func (r *Registry) counter(m map[errs.Reason]tally.Counter, name string, reason errs.Reason) tally.Counter {
	r.mu.RLock()
	c, ok := m[reason]
	r.mu.RUnlock()
	if ok {
		return c
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if c, ok = m[reason]; !ok {
		c = r.scope.Tagged(map[string]string{"reason": string(reason)}).Counter(name)
		m[reason] = c
	}
	return c
}

// WriteText writes the metrics in the text exposition format, sorted.
func (r *Registry) WriteText(w io.Writer) error {
	for _, line := range r.reporter.lines() {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return err
		}
	}
	return nil
}

var sanitize = tally.SanitizeOptions{
	NameCharacters: tally.ValidCharacters{
		Ranges:     tally.AlphanumericRange,
		Characters: tally.UnderscoreCharacters,
	},
	KeyCharacters: tally.ValidCharacters{
		Ranges:     tally.AlphanumericRange,
		Characters: tally.UnderscoreCharacters,
	},
	ValueCharacters: tally.ValidCharacters{
		Ranges:     tally.AlphanumericRange,
		Characters: tally.UnderscoreDashDotCharacters,
	},
	ReplacementCharacter: '_',
}

// textReporter accumulates what tally reports.
type textReporter struct {
	mu         sync.Mutex
	values     map[string]float64
	histograms map[string]*histogram
}

// histogram is the samples of one latency histogram by upper bound.
type histogram struct {
	name   string
	tags   map[string]string
	counts map[time.Duration]int64
}

// lines renders the histogram with cumulative buckets.
func (h *histogram) lines() []string {
	var out []string
	total := int64(0)
	for _, upper := range slices.Sorted(maps.Keys(h.counts)) {
		total += h.counts[upper]
		tags := maps.Clone(h.tags)
		if tags == nil {
			tags = make(map[string]string)
		}
		tags["le"] = strconv.FormatFloat(upper.Seconds(), 'g', -1, 64)
		if upper == math.MaxInt64 {
			tags["le"] = "+Inf"
		}
		out = append(out, fmt.Sprintf("%s %d", series(h.name+"_seconds_bucket", tags), total))
	}
	return append(out, fmt.Sprintf("%s %d", series(h.name+"_seconds_count", h.tags), total))
}

func (t *textReporter) add(name string, tags map[string]string, v float64, reset bool) {
	key := series(name, tags)
	t.mu.Lock()
	defer t.mu.Unlock()
	if reset {
		t.values[key] = v
		return
	}
	t.values[key] += v
}

func series(name string, tags map[string]string) string {
	fields := make([]string, 0, len(tags))
	for k, v := range tags {
		fields = append(fields, fmt.Sprintf("%s=%q", k, v))
	}
	slices.Sort(fields)
	return name + "{" + strings.Join(fields, ",") + "}"
}

func (t *textReporter) lines() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]string, 0, len(t.values))
	for k, v := range t.values {
		out = append(out, fmt.Sprintf("%s %g", k, v))
	}
	for _, h := range t.histograms {
		out = append(out, h.lines()...)
	}
	slices.Sort(out)
	return out
}

// ReportCounter adds the increase of a counter.
func (t *textReporter) ReportCounter(name string, tags map[string]string, v int64) {
	t.add(name, tags, float64(v), false)
}

// ReportGauge sets a gauge.
func (t *textReporter) ReportGauge(name string, tags map[string]string, v float64) {
	t.add(name, tags, v, true)
}

// ReportTimer adds the duration to the sum and one to the count of a timer.
func (t *textReporter) ReportTimer(name string, tags map[string]string, d time.Duration) {
	t.add(name+"_seconds_sum", tags, d.Seconds(), false)
	t.add(name+"_seconds_count", tags, 1, false)
}

// ReportHistogramValueSamples adds samples to a bucket.
func (t *textReporter) ReportHistogramValueSamples(name string, tags map[string]string, _ tally.Buckets, _, upper float64, samples int64) {
	t.add(fmt.Sprintf("%s_bucket_%g", name, upper), tags, float64(samples), false)
}

// ReportHistogramDurationSamples adds samples to a bucket.
func (t *textReporter) ReportHistogramDurationSamples(name string, tags map[string]string, _ tally.Buckets, _, upper time.Duration, samples int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := series(name, tags)
	h := t.histograms[key]
	if h == nil {
		h = &histogram{name: name, tags: tags, counts: make(map[time.Duration]int64)}
		t.histograms[key] = h
	}
	h.counts[upper] += samples
}

// Capabilities returns the reporter itself, which reports and tags.
func (t *textReporter) Capabilities() tally.Capabilities { return t }

// Reporting says that the reporter reports.
func (*textReporter) Reporting() bool { return true }

// Tagging says that the reporter keeps tags.
func (*textReporter) Tagging() bool { return true }

// Flush has nothing to do: values are kept as they are reported.
func (*textReporter) Flush() {}
