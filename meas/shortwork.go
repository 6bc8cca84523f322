package meas

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// ShortWorkResult is one variant at one load, with and without long work.
type ShortWorkResult struct {
	Experiment string      `json:"experiment"`
	Site       string      `json:"site"`
	Variant    Variant     `json:"variant"`
	Load       float64     `json:"load"` // of the slots, long work included
	Seed       uint64      `json:"seed"`
	Offered    int64       `json:"offered"`
	Alone      PhaseResult `json:"short_alone"`
	Short      PhaseResult `json:"short_beside_long"`
	Long       PhaseResult `json:"long"`
	RatioP50   float64     `json:"ratio_p50"`
	RatioP99   float64     `json:"ratio_p99"` // of short work, with by without long work
}

const (
	longFactor     = 50   // duration of long work by that of short work
	longPart       = 0.05 // of the requests
	shortDeadline  = 5 * time.Second
	shortWarmup    = time.Second // in which the entries learn the durations
	shortWorkTable = "work"
	// shortCallers bounds the caller connections, as crestCallers does.
	shortCallers = 4800
)

// shortLoads are the loads, in parts of the slots.
var shortLoads = []float64{0.5, 0.7}

// shortLoads leaves out all but the first load of a quick run.
func (o Options) shortLoads() []float64 {
	if o.Quick {
		return shortLoads[:1]
	}
	return shortLoads
}

// ShortWork measures how much long work delays short work.
func ShortWork(ctx context.Context, out *Output, p Profile, o Options) error {
	for _, load := range o.shortLoads() {
		fig := figure{title: fmt.Sprintf("Short work, %s, load %g", p.Name, load), x: "percentile", y: "ms"}
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
				series{string(v) + " beside long work", w.beside.curve()})
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
			compared("short_alone_p99_ms", a.Alone.P99, b.Alone.P99),
			compared("short_beside_long_p99_ms", a.Short.P99, b.Short.P99),
			compared("ratio_p99", a.RatioP99, b.RatioP99),
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

// run measures the short work alone and beside long work, at the same rate of
// short work and on a fresh site each, so that nothing learned carries over.
func (w *shortWork) run(ctx context.Context) error {
	w.result = ShortWorkResult{
		Experiment: "shortwork", Site: w.profile.Name, Variant: w.variant, Load: w.load, Seed: w.o.Seed,
	}
	mean := 1 - longPart + longPart*longFactor
	rate := w.load * w.profile.capacity() / mean
	measured := w.phase()
	alone, err := w.drive(ctx, rate*(1-longPart), measured.to, 0)
	if err != nil {
		return err
	}
	beside, err := w.drive(ctx, rate, measured.to, longPart)
	if err != nil {
		return err
	}
	r := &w.result
	r.Alone = measured.summarize(alone, shortDeadline, ofKind(shortRead))
	r.Short = measured.summarize(beside, shortDeadline, ofKind(shortRead))
	r.Long = measured.summarize(beside, shortDeadline, ofKind(longRead))
	r.Alone.Phase, r.Short.Phase, r.Long.Phase = "alone", "short", "long"
	r.Offered = r.Alone.Offered + r.Short.Offered + r.Long.Offered
	r.RatioP50, r.RatioP99 = ratio(r.Short.P50, r.Alone.P50), ratio(r.Short.P99, r.Alone.P99)
	w.alone, w.beside = distribution(alone, measured), distribution(beside, measured)
	return nil
}

// phase is the measured part of a run.
func (w *shortWork) phase() phase {
	d := w.o.duration(2*time.Second, 400*time.Millisecond)
	warmup := min(shortWarmup, d)
	return phase{from: warmup, to: warmup + d}
}

func (w *shortWork) drive(ctx context.Context, rate float64, d time.Duration, long float64) ([]sample, error) {
	b, err := startBench(ctx, w.profile, w.variant, w.o)
	if err != nil {
		return nil, err
	}
	defer b.close()
	plan := w.profile.Plan
	l := &openLoad{
		addrs: b.addrs, databases: plan.Databases, dial: callerDialer(b.s.Network(), "callers"),
		seed: w.o.Seed, bound: max(1, shortCallers/(len(b.addrs)*len(plan.Databases))), mix: shortMix(long),
	}
	return l.run(ctx, d, steady(rate)), ctx.Err()
}

// shortMix mixes point reads with the given part of long reads. A long read
// sleeps at the server on top of the service time of every statement.
func shortMix(long float64) mix {
	sleep := (longFactor - 1) * serviceTime.Seconds()
	longSQL := fmt.Sprintf("SELECT pg_sleep(%g)", sleep)
	return func(_ int, rnd *rand.Rand) (kind, string, string) {
		if rnd.Float64() < long {
			return longRead, "", longSQL
		}
		return shortRead, "", "SELECT v FROM " + shortWorkTable + " WHERE k = 'row'"
	}
}

func ofKind(k kind) func(sample) bool { return func(s sample) bool { return s.kind == k } }

// distribution returns the latencies of the short work answered in a phase.
func distribution(all []sample, p phase) latencies {
	out := newLatencies()
	for _, s := range all {
		if p.holds(s.at) && s.kind == shortRead && s.verdict == answered {
			out.add(s.took)
		}
	}
	return out
}
