package meas

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// ShortWorkResult is the row of one variant at one load, with and without long
// requests.
type ShortWorkResult struct {
	Experiment string      `json:"experiment"`
	Site       string      `json:"site"`
	Variant    Variant     `json:"variant"`
	Load       float64     `json:"load"` // fraction of the capacity, including long requests
	Seed       uint64      `json:"seed"`
	Offered    int64       `json:"offered"`
	Alone      PhaseResult `json:"short_alone"`
	Beside     PhaseResult `json:"short_beside_long"`
	Long       PhaseResult `json:"long"`
	RatioP50   float64     `json:"ratio_p50"`
	RatioP99   float64     `json:"ratio_p99"` // of short requests: beside long ones relative to alone
}

const (
	longDurationFactor = 50   // duration of a long request relative to a short one
	longShare          = 0.05 // fraction of the requests
	shortDeadline      = 5 * time.Second
	shortWarmup        = time.Second // for the entries to learn the durations
	shortWorkTable     = "work"
	// shortConns is the limit of caller connections, for the same reason as crestConns.
	shortConns = 4800
)

// shortLoads are the loads, as fractions of the capacity.
var shortLoads = []float64{0.5, 0.7}

// shortLoads returns the loads to run; a quick run has only the first.
func (o Options) shortLoads() []float64 {
	if o.Quick {
		return shortLoads[:1]
	}
	return shortLoads
}

// ShortWork measures how much long requests delay short ones.
func ShortWork(ctx context.Context, out *Output, p Profile, o Options) error {
	for _, load := range o.shortLoads() {
		fig := figure{title: fmt.Sprintf("Short requests, %s, load %g", p.Name, load), x: "percentile", y: "ms"}
		var rows [2]ShortWorkResult
		for i, v := range []Variant{Proxy, Baseline} {
			w := &shortWork{profile: p, o: o, variant: v, load: load}
			if err := w.run(ctx); err != nil {
				return err
			}
			if err := out.row(w.result); err != nil {
				return err
			}
			rows[i] = w.result
			fig.series = append(fig.series,
				series{string(v) + " alone", w.alone.curve()},
				series{string(v) + " beside long requests", w.beside.curve()})
		}
		out.figure(fig)
		if err := out.row(compareShortWork(rows[0], rows[1])); err != nil {
			return err
		}
	}
	return nil
}

func compareShortWork(a, b ShortWorkResult) Comparison {
	return Comparison{
		Experiment: a.Experiment, Site: a.Site, Variant: ratioVariant, Load: a.Load, Seed: a.Seed,
		Figures: []Compared{
			compare("short_alone_p99_ms", a.Alone.P99, b.Alone.P99),
			compare("short_beside_long_p99_ms", a.Beside.P99, b.Beside.P99),
			compare("ratio_p99", a.RatioP99, b.RatioP99),
		},
	}
}

type shortWork struct {
	profile       Profile
	o             Options
	variant       Variant
	load          float64
	alone, beside latencies
	result        ShortWorkResult
}

// run measures short requests alone and beside long ones, both at the same rate of
// short requests. Each run has a new site, so that the entries keep no learned
// durations.
func (w *shortWork) run(ctx context.Context) error {
	w.result = ShortWorkResult{
		Experiment: "shortwork", Site: w.profile.Name, Variant: w.variant, Load: w.load, Seed: w.o.Seed,
	}
	mean := 1 - longShare + longShare*longDurationFactor
	rate := w.load * w.profile.capacity() / mean
	measured := w.measuredPhase()
	alone, err := w.drive(ctx, rate*(1-longShare), measured.to, 0)
	if err != nil {
		return err
	}
	beside, err := w.drive(ctx, rate, measured.to, longShare)
	if err != nil {
		return err
	}
	r := &w.result
	r.Alone = measured.summarize(alone, shortDeadline, ofKind(shortRead))
	r.Beside = measured.summarize(beside, shortDeadline, ofKind(shortRead))
	r.Long = measured.summarize(beside, shortDeadline, ofKind(longRead))
	r.Alone.Phase, r.Beside.Phase, r.Long.Phase = "alone", "short", "long"
	r.Offered = r.Alone.Offered + r.Beside.Offered + r.Long.Offered
	r.RatioP50, r.RatioP99 = ratio(r.Beside.P50, r.Alone.P50), ratio(r.Beside.P99, r.Alone.P99)
	w.alone, w.beside = latenciesIn(alone, measured), latenciesIn(beside, measured)
	return nil
}

// measuredPhase returns the part of a run after the warm-up.
func (w *shortWork) measuredPhase() phase {
	d := w.o.duration(2*time.Second, 400*time.Millisecond)
	warmup := min(shortWarmup, d)
	return phase{from: warmup, to: warmup + d}
}

func (w *shortWork) drive(ctx context.Context, rate float64, d time.Duration, longShare float64) ([]sample, error) {
	b, err := startTestbed(ctx, w.profile, w.variant, w.o)
	if err != nil {
		return nil, err
	}
	defer b.close()
	plan := w.profile.Plan
	l := &openLoop{
		addrs: b.addrs, databases: plan.Databases, dial: callerDialer(b.site.Network(), "callers"),
		seed: w.o.Seed, maxConns: max(1, shortConns/(len(b.addrs)*len(plan.Databases))), mix: shortMix(longShare),
	}
	return l.run(ctx, d, constantRate(rate)), ctx.Err()
}

// shortMix returns a mix of point reads in which the fraction longShare are long
// reads. A long read sleeps at the server in addition to the service time that every
// statement takes.
func shortMix(longShare float64) mix {
	sleep := (longDurationFactor - 1) * serviceTime.Seconds()
	longSQL := fmt.Sprintf("SELECT pg_sleep(%g)", sleep)
	return func(_ int, rnd *rand.Rand) (requestKind, string, string) {
		if rnd.Float64() < longShare {
			return longRead, "", longSQL
		}
		return shortRead, "", "SELECT v FROM " + shortWorkTable + " WHERE k = 'row'"
	}
}

func ofKind(k requestKind) func(sample) bool { return func(s sample) bool { return s.kind == k } }

// latenciesIn returns the latencies of the answered short requests of a phase.
func latenciesIn(all []sample, p phase) latencies {
	out := newLatencies()
	for _, s := range all {
		if p.contains(s.at) && s.kind == shortRead && s.status == answered {
			out.add(s.latency)
		}
	}
	return out
}
