package meas

import (
	"context"
	"math"
	"time"

	"github.com/sourcegraph/conc"
)

// ReplicasResult is one variant under a mix of writes and reads with lag.
type ReplicasResult struct {
	Experiment   string        `json:"experiment"`
	Site         string        `json:"site"`
	Variant      Variant       `json:"variant"`
	Loop         Loop          `json:"loop"`
	Load         float64       `json:"load"` // asked for, in capacities
	Seed         uint64        `json:"seed"`
	Offered      int64         `json:"offered"`
	NotOffered   int64         `json:"not_offered"`
	Reads        int64         `json:"reads"`
	Writes       int64         `json:"writes"`
	ReplicaShare float64       `json:"replica_share"`
	Mean         float64       `json:"mean_ms"` // of reads
	P50          float64       `json:"p50_ms"`
	P99          float64       `json:"p99_ms"`
	WriteP99     float64       `json:"write_p99_ms"`
	Checked      int64         `json:"reads_checked"`
	Older        int64         `json:"reads_older_than_session"`
	AgeChecked   int64         `json:"age_reads_checked"`
	AgeOlder     int64         `json:"age_reads_older_than_bound"`
	AgeRefused   []ReasonCount `json:"age_reads_refused_by_reason,omitempty"`
	Refused      []ReasonCount `json:"refused_by_reason,omitempty"`
	Retries      []ReasonCount `json:"retries_by_reason,omitempty"` // warm-up included
	Errors       int64         `json:"errors"`
}

// Loop is how requests arrive.
type Loop string

// The loops: in a closed one each session sends its next request some time
// after the answer, in an open one arrivals do not depend on answers.
const (
	Closed Loop = "closed"
	Open   Loop = "open"
)

const (
	replicasWrites   = 0.1 // of the requests
	replicasLoad     = 0.3 // of the capacity
	replicasThink    = 100 * time.Millisecond
	replicasWarmup   = time.Second            // without measurement
	lagHighest       = 500 * time.Millisecond // of the swing, from 0
	lagPeriod        = 4 * time.Second        // of the swing
	lagStep          = 20 * time.Millisecond  // between changes of the lag
	sessionsReserve  = 2                      // sessions of the open loop by those that are busy
	sessionsExpected = 60 * time.Millisecond  // answer time by which sessions are counted
)

// Replicas measures the share of the reads that replicas serve while the lag
// swings, and looks for reads older than their bound.
func Replicas(ctx context.Context, out *Output, p Profile, o Options) error {
	for _, loop := range []Loop{Closed, Open} {
		fig := figure{title: "Latency of reads, " + p.Name + ", " + string(loop) + " loop", x: "percentile", y: "ms"}
		var rows [2]ReplicasResult
		for i, v := range []Variant{Proxy, Baseline} {
			r := &replicas{profile: p, o: o, loop: loop, variant: v}
			if err := r.run(ctx); err != nil {
				return err
			}
			if err := out.row(r.result); err != nil {
				return err
			}
			rows[i] = r.result
			fig.series = append(fig.series, series{string(v), r.reads.curve()})
		}
		out.figure(fig)
		if err := out.row(compareReplicas(rows[0], rows[1])); err != nil {
			return err
		}
	}
	return nil
}

func compareReplicas(a, b ReplicasResult) Comparison {
	return Comparison{
		Experiment: a.Experiment, Site: a.Site, Variant: ratioVariant, Load: a.Load, Seed: a.Seed,
		Figures: []Compared{
			compared("replica_share", a.ReplicaShare, b.ReplicaShare),
			compared("mean_ms", a.Mean, b.Mean),
			compared("p50_ms", a.P50, b.P50),
			compared("p99_ms", a.P99, b.P99),
			compared("reads_older_than_session", float64(a.Older), float64(b.Older)),
			compared("age_reads_older_than_bound", float64(a.AgeOlder), float64(b.AgeOlder)),
		},
	}
}

type replicas struct {
	profile Profile
	o       Options
	loop    Loop
	variant Variant
	b       *bench
	reads   latencies
	result  ReplicasResult
}

func (r *replicas) run(ctx context.Context) error {
	b, err := startBench(ctx, r.profile, r.variant, r.o)
	if err != nil {
		return err
	}
	defer b.close()
	r.b = b
	r.result = ReplicasResult{
		Experiment: "replicas", Site: r.profile.Name, Variant: r.variant,
		Loop: r.loop, Load: replicasLoad, Seed: r.o.Seed,
	}
	bctx, stop := context.WithCancel(ctx)
	var wg conc.WaitGroup
	wg.Go(func() { b.swingLag(bctx) })
	clocks := r.startClocks(bctx, &wg)
	err = r.measure(ctx)
	stop()
	wg.Wait()
	for _, c := range clocks {
		r.result.AgeChecked += c.checked
		r.result.AgeOlder += c.older
		r.result.Errors += c.errors
		r.result.AgeRefused = addReasons(r.result.AgeRefused, c.reasons)
	}
	return err
}

// measure warms up, and runs the sessions with measurement.
func (r *replicas) measure(ctx context.Context) error {
	rate := replicasLoad * r.profile.capacity()
	d := r.o.duration(8*time.Second, 500*time.Millisecond)
	warmup := min(replicasWarmup, d)
	all := r.sessions(rate)
	defer closeSessions(all)
	if err := r.drive(ctx, all, rate, warmup); err != nil {
		return err
	}
	for _, s := range all {
		s.forget()
	}
	before := r.b.counts()
	if err := r.drive(ctx, all, rate, d); err != nil {
		return err
	}
	r.result.ReplicaShare = r.b.replicaShare(before)
	r.result.Retries = r.b.retries()
	r.summarize(all)
	return nil
}

// sessions returns enough sessions for the rate: each takes the think time and
// the time of an answer per request.
func (r *replicas) sessions(rate float64) []*session {
	n := int(rate * (replicasThink + sessionsExpected/2).Seconds())
	if r.loop == Open {
		n = int(rate * sessionsReserve * sessionsExpected.Seconds())
	}
	all := make([]*session, max(1, n))
	for i := range all {
		all[i] = newSession(r, i)
	}
	return all
}

// drive runs the sessions for d.
func (r *replicas) drive(ctx context.Context, all []*session, rate float64, d time.Duration) error {
	ctx, stop := context.WithTimeout(ctx, d)
	defer stop()
	if r.loop == Open {
		r.driveOpen(ctx, all, rate)
	} else {
		driveClosed(ctx, all)
	}
	if ctx.Err() == context.Canceled {
		return ctx.Err()
	}
	return nil
}

func driveClosed(ctx context.Context, all []*session) {
	var wg conc.WaitGroup
	for _, s := range all {
		wg.Go(func() {
			// Sessions start at different moments, and think for different times.
			for s.think(ctx) {
				s.step(time.Now())
			}
		})
	}
	wg.Wait()
}

// driveOpen gives each arrival to a free session.
func (r *replicas) driveOpen(ctx context.Context, all []*session, rate float64) {
	free := make(chan *session, len(all))
	for _, s := range all {
		free <- s
	}
	var wg conc.WaitGroup
	defer wg.Wait()
	rnd := newSeeded(r.o.Seed, 1)
	at := time.Now()
	for {
		at = at.Add(time.Duration(rnd.ExpFloat64() / rate * float64(time.Second)))
		if !sleepUntil(ctx, at) {
			return
		}
		select {
		case s := <-free:
			arrival := at
			wg.Go(func() {
				s.step(arrival)
				free <- s
			})
		default:
			r.result.NotOffered++
		}
	}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	if d := time.Until(at); d > 0 {
		time.Sleep(d)
	}
	return ctx.Err() == nil
}

func (r *replicas) summarize(all []*session) {
	r.reads = newLatencies()
	writes := newLatencies()
	reasons := make(reasonCounts)
	for _, s := range all {
		r.result.Offered += s.offered
		r.result.Checked += s.checked
		r.result.Older += s.older
		r.result.Errors += s.errors
		r.reads.h.Merge(s.reads.h)
		writes.h.Merge(s.writes.h)
		for reason, n := range s.refused {
			reasons[reason] += n
		}
	}
	x := &r.result
	x.Reads, x.Writes = r.reads.count(), writes.count()
	x.Mean, x.P50, x.P99 = r.reads.mean(), r.reads.quantile(50), r.reads.quantile(99)
	x.WriteP99 = writes.quantile(99)
	x.Refused = sortedReasons(reasons)
}

// swingLag moves the lag of each member between 0 and its highest value, each
// member at another point of the swing.
func (b *bench) swingLag(ctx context.Context) {
	start := time.Now()
	t := time.NewTicker(lagStep)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		turn := time.Since(start).Seconds() / lagPeriod.Seconds()
		for d, db := range b.profile.Plan.Databases {
			all := b.s.Servers(db)
			for i, srv := range all {
				phase := float64(d*len(all)+i) / float64(len(all)*len(b.profile.Plan.Databases))
				part := (1 + math.Sin(2*math.Pi*(turn+phase))) / 2
				srv.Member().SetApplyLag(time.Duration(part * float64(lagHighest)))
			}
		}
	}
}
