package meas

import (
	"context"
	"math"
	"time"

	"github.com/sourcegraph/conc"
)

// ReplicasResult is the row of one variant under a mix of reads and writes while the
// replication lag varies.
type ReplicasResult struct {
	Experiment   string        `json:"experiment"`
	Site         string        `json:"site"`
	Variant      Variant       `json:"variant"`
	Loop         Loop          `json:"loop"`
	Load         float64       `json:"load"` // requested, relative to the capacity of the site
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
	Stale        int64         `json:"reads_older_than_session"`
	AgeChecked   int64         `json:"age_reads_checked"`
	AgeStale     int64         `json:"age_reads_older_than_bound"`
	AgeRefused   []ReasonCount `json:"age_reads_refused_by_reason,omitempty"`
	Refused      []ReasonCount `json:"refused_by_reason,omitempty"`
	Retries      []ReasonCount `json:"retries_by_reason,omitempty"` // including the warm-up
	Errors       int64         `json:"errors"`
}

// Loop is how requests arrive.
type Loop string

// The loops. In a closed loop each session sends its next request a think time after
// the answer; in an open loop arrivals do not depend on answers.
const (
	Closed Loop = "closed"
	Open   Loop = "open"
)

const (
	replicasWriteShare = 0.1 // fraction of the requests
	replicasLoad       = 0.3 // relative to capacity
	replicasThinkTime  = 100 * time.Millisecond
	replicasWarmup     = time.Second            // not measured
	maxLag             = 500 * time.Millisecond // the lag oscillates between 0 and this
	lagPeriod          = 4 * time.Second        // of the oscillation
	lagUpdateInterval  = 20 * time.Millisecond  // between changes of the lag
	sessionsPerBusy    = 2                      // sessions for each one expected to be busy, in the open loop
	expectedAnswerTime = 60 * time.Millisecond  // estimate for the number of sessions
)

// Replicas measures the share of reads that replicas serve while the replication lag
// oscillates, and counts reads that are older than their read bound.
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
			compare("replica_share", a.ReplicaShare, b.ReplicaShare),
			compare("mean_ms", a.Mean, b.Mean),
			compare("p50_ms", a.P50, b.P50),
			compare("p99_ms", a.P99, b.P99),
			compare("reads_older_than_session", float64(a.Stale), float64(b.Stale)),
			compare("age_reads_older_than_bound", float64(a.AgeStale), float64(b.AgeStale)),
		},
	}
}

type replicas struct {
	profile Profile
	o       Options
	loop    Loop
	variant Variant
	testbed *testbed
	reads   latencies
	result  ReplicasResult
}

func (r *replicas) run(ctx context.Context) error {
	b, err := startTestbed(ctx, r.profile, r.variant, r.o)
	if err != nil {
		return err
	}
	defer b.close()
	r.testbed = b
	r.result = ReplicasResult{
		Experiment: "replicas", Site: r.profile.Name, Variant: r.variant,
		Loop: r.loop, Load: replicasLoad, Seed: r.o.Seed,
	}
	backgroundCtx, stop := context.WithCancel(ctx)
	var wg conc.WaitGroup
	wg.Go(func() { b.oscillateLag(backgroundCtx) })
	checks := r.startAgeChecks(backgroundCtx, &wg)
	err = r.measure(ctx)
	stop()
	wg.Wait()
	for _, c := range checks {
		r.result.AgeChecked += c.checked
		r.result.AgeStale += c.stale
		r.result.Errors += c.errors
		r.result.AgeRefused = addReasons(r.result.AgeRefused, c.reasons)
	}
	return err
}

// measure runs the sessions for a warm-up and then for the measurement.
func (r *replicas) measure(ctx context.Context) error {
	rate := replicasLoad * r.profile.capacity()
	d := r.o.duration(8*time.Second, 500*time.Millisecond)
	warmup := min(replicasWarmup, d)
	sessions := r.sessions(rate)
	defer closeSessions(sessions)
	if err := r.drive(ctx, sessions, rate, warmup); err != nil {
		return err
	}
	for _, s := range sessions {
		s.resetCounts()
	}
	before := r.testbed.counters()
	if err := r.drive(ctx, sessions, rate, d); err != nil {
		return err
	}
	r.result.ReplicaShare = r.testbed.replicaShare(before)
	r.result.Retries = r.testbed.retries()
	r.summarize(sessions)
	return nil
}

// sessions returns enough sessions for the given rate. In the closed loop a request
// takes a session the think time and half the expected answer time; in the open loop
// there are sessionsPerBusy sessions for each request expected in flight.
func (r *replicas) sessions(rate float64) []*session {
	n := int(rate * (replicasThinkTime + expectedAnswerTime/2).Seconds())
	if r.loop == Open {
		n = int(rate * sessionsPerBusy * expectedAnswerTime.Seconds())
	}
	all := make([]*session, max(1, n))
	for i := range all {
		all[i] = newSession(r, i)
	}
	return all
}

// drive runs the sessions for the duration d.
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
			// The think time before the first request spreads the starts of the sessions.
			for s.think(ctx) {
				s.sendRequest(time.Now())
			}
		})
	}
	wg.Wait()
}

// driveOpen hands each arrival to an idle session. Without one it is not offered.
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
				s.sendRequest(arrival)
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
		r.result.Stale += s.stale
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

// oscillateLag moves the apply lag of each member between 0 and maxLag, with a
// different phase for each member.
func (b *testbed) oscillateLag(ctx context.Context) {
	start := time.Now()
	t := time.NewTicker(lagUpdateInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		cycles := time.Since(start).Seconds() / lagPeriod.Seconds()
		for d, db := range b.profile.Plan.Databases {
			all := b.site.Servers(db)
			for i, srv := range all {
				phase := float64(d*len(all)+i) / float64(len(all)*len(b.profile.Plan.Databases))
				fraction := (1 + math.Sin(2*math.Pi*(cycles+phase))) / 2
				srv.Member().SetApplyLag(time.Duration(fraction * float64(maxLag)))
			}
		}
	}
}
