// Package stats holds the metrics of an instance and writes them in the Prometheus text
// format. Refusals and retries are counted by reason.
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

// Registry holds the metrics of one instance. The counters on the hot path are plain atomics,
// which tally reports regularly. It is safe for concurrent use.
type Registry struct {
	scope    tally.Scope
	closer   io.Closer
	reporter *textReporter
	tags     map[string]string

	mu       sync.RWMutex
	gauges   []func(SetGauge)
	refusals map[errs.Reason]tally.Counter
	retries  map[errs.Reason]tally.Counter

	replicaReads tally.Counter
	primaryReads tally.Counter
	writes       tally.Counter
	callersGauge tally.Gauge
	callers      atomic.Int64
	answered     [3]atomic.Int64 // writes, reads by replicas, reads by primaries; for Counts
}

// prefix begins the name of each metric.
const prefix = "tamarackcross"

// reportInterval is the time between two reports of tally to the reporter.
const reportInterval = time.Second

// New returns a registry whose metrics carry the given tags.
func New(tags map[string]string) *Registry {
	reporter := &textReporter{values: make(map[string]float64), histograms: make(map[string]*histogram)}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          prefix,
		Tags:            tags,
		Reporter:        reporter,
		Separator:       "_",
		SanitizeOptions: &sanitizeOptions,
	}, reportInterval)
	return &Registry{
		scope:        scope,
		closer:       closer,
		reporter:     reporter,
		tags:         tags,
		refusals:     make(map[errs.Reason]tally.Counter),
		retries:      make(map[errs.Reason]tally.Counter),
		replicaReads: scope.Tagged(map[string]string{"role": "replica"}).Counter("reads"),
		primaryReads: scope.Tagged(map[string]string{"role": "primary"}).Counter("reads"),
		writes:       scope.Counter("writes"),
		callersGauge: scope.Gauge("callers"),
	}
}

// Scope returns the tally scope, to which other packages add their metrics.
func (r *Registry) Scope() tally.Scope { return r.scope }

// Close stops the reporting of tally.
func (r *Registry) Close() error { return r.closer.Close() }

// Refused counts a refused request.
func (r *Registry) Refused(reason errs.Reason) { r.counter(r.refusals, "refusals", reason).Inc(1) }

// Panicked counts a panic that ended the work for one request.
func (r *Registry) Panicked() { r.scope.Counter("panics").Inc(1) }

// Retried counts a retry of a request.
func (r *Registry) Retried(reason errs.Reason) { r.counter(r.retries, "retries", reason).Inc(1) }

// latencyBuckets are the upper bounds of the buckets of latency histograms. They range from
// the round-trip time in a zone to the longest deadline of the users.
var latencyBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond,
	800 * time.Millisecond, 1600 * time.Millisecond, 5 * time.Second,
}

// Observe adds a duration to the latency histogram with that name.
func (r *Registry) Observe(name string, d time.Duration) {
	r.scope.Histogram(name, latencyBuckets).RecordDuration(d)
}

// SetGauge sets the gauge with that name and tags.
type SetGauge func(name string, tags map[string]string, v float64)

// Gauges registers a function that sets gauges. It is called when the metrics are read, so that
// gauges cost nothing meanwhile. A gauge that it does not set any more is gone.
func (r *Registry) Gauges(f func(SetGauge)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gauges = append(r.gauges, f)
}

// gaugeLines returns the lines of the gauges.
func (r *Registry) gaugeLines() []string {
	r.mu.RLock()
	gauges := slices.Clone(r.gauges)
	r.mu.RUnlock()
	var out []string
	set := func(name string, tags map[string]string, v float64) {
		all := make(map[string]string, len(r.tags)+len(tags))
		maps.Copy(all, r.tags)
		maps.Copy(all, tags)
		out = append(out, fmt.Sprintf("%s %g", seriesName(prefix+"_"+name, all), v))
	}
	setRuntimeGauges(set)
	for _, f := range gauges {
		f(set)
	}
	return out
}

// setRuntimeGauges sets the gauges of the Go runtime: memory and goroutines.
func setRuntimeGauges(set SetGauge) {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/sched/goroutines:goroutines"}}
	metrics.Read(samples)
	set("memory_bytes", nil, float64(samples[0].Value.Uint64()))
	set("goroutines", nil, float64(samples[1].Value.Uint64()))
}

// Counts holds the numbers of requests answered since the start.
type Counts struct {
	Writes       int64
	ReadsReplica int64
	ReadsPrimary int64
}

// AddWrite counts an acknowledged write.
func (r *Registry) AddWrite() {
	r.answered[0].Add(1)
	r.writes.Inc(1)
}

// AddReplicaRead counts a read served by a replica.
func (r *Registry) AddReplicaRead() {
	r.answered[1].Add(1)
	r.replicaReads.Inc(1)
}

// AddPrimaryRead counts a read served by a primary.
func (r *Registry) AddPrimaryRead() {
	r.answered[2].Add(1)
	r.primaryReads.Inc(1)
}

// Counts returns the numbers of requests answered since the start.
func (r *Registry) Counts() Counts {
	return Counts{
		Writes:       r.answered[0].Load(),
		ReadsReplica: r.answered[1].Load(),
		ReadsPrimary: r.answered[2].Load(),
	}
}

// CallerOpened counts an opened caller connection and returns the number of open ones.
func (r *Registry) CallerOpened() int64 { return r.addCallers(1) }

// CallerClosed counts a closed caller connection and returns the number of open ones.
func (r *Registry) CallerClosed() int64 { return r.addCallers(-1) }

func (r *Registry) addCallers(n int64) int64 {
	open := r.callers.Add(n)
	r.callersGauge.Update(float64(open))
	return open
}

// counter returns the counter for a reason, and creates it at its first use.
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

// WriteText writes the metrics in the Prometheus text exposition format, sorted by series.
func (r *Registry) WriteText(w io.Writer) error {
	lines := append(r.reporter.lines(), r.gaugeLines()...)
	slices.Sort(lines)
	for _, line := range lines {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return err
		}
	}
	return nil
}

var sanitizeOptions = tally.SanitizeOptions{
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

// textReporter is the tally reporter that accumulates the values for WriteText.
type textReporter struct {
	mu         sync.Mutex
	values     map[string]float64    // by series
	histograms map[string]*histogram // by series, without the bucket
}

// histogram is a latency histogram. Its counts are the samples of each bucket, by upper bound.
type histogram struct {
	name   string
	tags   map[string]string
	counts map[time.Duration]int64
}

// lines returns the lines of the histogram, with cumulative buckets.
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
		out = append(out, fmt.Sprintf("%s %d", seriesName(h.name+"_seconds_bucket", tags), total))
	}
	return append(out, fmt.Sprintf("%s %d", seriesName(h.name+"_seconds_count", h.tags), total))
}

// add adds v to the value of a series, or sets the value if set is true.
func (t *textReporter) add(name string, tags map[string]string, v float64, set bool) {
	key := seriesName(name, tags)
	t.mu.Lock()
	defer t.mu.Unlock()
	if set {
		t.values[key] = v
		return
	}
	t.values[key] += v
}

// seriesName returns the name of a series with its sorted labels.
func seriesName(name string, tags map[string]string) string {
	fields := make([]string, 0, len(tags))
	for k, v := range tags {
		fields = append(fields, fmt.Sprintf("%s=%q", k, v))
	}
	slices.Sort(fields)
	return name + "{" + strings.Join(fields, ",") + "}"
}

// lines returns the lines of all series.
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
	return out
}

// ReportCounter adds to a counter its increase since the last report.
func (t *textReporter) ReportCounter(name string, tags map[string]string, v int64) {
	t.add(name, tags, float64(v), false)
}

// ReportGauge sets the value of a gauge.
func (t *textReporter) ReportGauge(name string, tags map[string]string, v float64) {
	t.add(name, tags, v, true)
}

// ReportTimer adds a duration to the sum of a timer, and 1 to its count.
func (t *textReporter) ReportTimer(name string, tags map[string]string, d time.Duration) {
	t.add(name+"_seconds_sum", tags, d.Seconds(), false)
	t.add(name+"_seconds_count", tags, 1, false)
}

// ReportHistogramValueSamples adds samples to a bucket of a histogram of values.
func (t *textReporter) ReportHistogramValueSamples(name string, tags map[string]string, _ tally.Buckets, _, upper float64, samples int64) {
	t.add(fmt.Sprintf("%s_bucket_%g", name, upper), tags, float64(samples), false)
}

// ReportHistogramDurationSamples adds samples to a bucket of a latency histogram.
func (t *textReporter) ReportHistogramDurationSamples(name string, tags map[string]string, _ tally.Buckets, _, upper time.Duration, samples int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := seriesName(name, tags)
	h := t.histograms[key]
	if h == nil {
		h = &histogram{name: name, tags: tags, counts: make(map[time.Duration]int64)}
		t.histograms[key] = h
	}
	h.counts[upper] += samples
}

// Capabilities returns the capabilities of the reporter.
func (t *textReporter) Capabilities() tally.Capabilities { return t }

// Reporting returns true: the reporter accepts values.
func (*textReporter) Reporting() bool { return true }

// Tagging returns true: the reporter supports tags.
func (*textReporter) Tagging() bool { return true }

// Flush does nothing, because reported values are stored at once.
func (*textReporter) Flush() {}
