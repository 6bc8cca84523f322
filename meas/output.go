package meas

import (
	"encoding/json"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"
)

// Variant is the system that served the load.
type Variant string

// The variants: the entries, the baseline pooler, or a backend server itself.
const (
	Proxy    Variant = "tamarackcross"
	Baseline Variant = "baseline"
	Direct   Variant = "direct"
)

// Options are the parameters that are common to the experiments.
type Options struct {
	Seed     uint64
	Duration time.Duration // of the main part; 0 means the default of the experiment
	Quick    bool          // short run that only shows that the experiment works
	Log      zerolog.Logger
}

// duration returns the length of the main part of an experiment with the given
// defaults.
func (o Options) duration(standard, quick time.Duration) time.Duration {
	switch {
	case o.Duration > 0:
		return o.Duration
	case o.Quick:
		return quick
	}
	return standard
}

// Output collects the rows and figures of an experiment.
type Output struct {
	w       io.Writer
	rows    []json.RawMessage
	figures []figure
}

// NewOutput returns an Output that prints each row to w as a line of JSON.
func NewOutput(w io.Writer) *Output { return &Output{w: w} }

// row prints a result and stores it for the report.
func (o *Output) row(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	o.rows = append(o.rows, b)
	_, err = o.w.Write(append(b, '\n'))
	return err
}

// figure is a plot of the report.
type figure struct {
	title  string
	x, y   string
	series []series
}

// series is one curve of a figure.
type series struct {
	name   string
	points []point
}

type point struct{ x, y float64 }

func (o *Output) figure(f figure) { o.figures = append(o.figures, f) }

const (
	histogramMax    = int64(5 * time.Minute / time.Microsecond) // microseconds
	histogramDigits = 3                                         // significant digits
)

// latencies is a distribution of latencies.
type latencies struct{ h *hdrhistogram.Histogram }

func newLatencies() latencies {
	return latencies{hdrhistogram.New(1, histogramMax, histogramDigits)}
}

func (l latencies) add(d time.Duration) {
	_ = l.h.RecordValue(min(max(1, d.Microseconds()), histogramMax))
}

// quantile returns percentile q of the latencies in milliseconds.
func (l latencies) quantile(q float64) float64 {
	return float64(l.h.ValueAtQuantile(q)) / 1000
}

func (l latencies) mean() float64 { return l.h.Mean() / 1000 }

func (l latencies) count() int64 { return l.h.TotalCount() }

// curve returns the quantiles of the distribution for a figure.
func (l latencies) curve() []point {
	var out []point
	for _, q := range []float64{1, 5, 10, 25, 50, 75, 90, 95, 99, 99.9} {
		out = append(out, point{q, l.quantile(q)})
	}
	return out
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
