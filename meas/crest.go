package meas

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// CrestResult is the row of one variant under a load peak. Loads are relative to
// the capacity of the site.
type CrestResult struct {
	Experiment          string        `json:"experiment"`
	Site                string        `json:"site"`
	Variant             Variant       `json:"variant"`
	Load                float64       `json:"load"` // at the peak
	Seed                uint64        `json:"seed"`
	Offered             int64         `json:"offered"`
	Capacity            float64       `json:"capacity_per_s"` // statements that all slots together can execute
	Sweep               []PhaseResult `json:"sweep"`          // runs under constant load
	BestGoodput         float64       `json:"best_goodput_per_s"`
	Phases              []PhaseResult `json:"phases"`
	GoodputRatio        float64       `json:"goodput_ratio"` // goodput at the peak relative to BestGoodput
	NormalP99           float64       `json:"normal_p99_ms"`
	PeakP99             float64       `json:"crest_p99_ms"`
	RecoveryMS          float64       `json:"back_to_normal_ms"`           // after the peak; -1 if not before the end of the run
	PeakSlotsBusy       float64       `json:"crest_slots_busy"`            // mean fraction of the members' slots in use at the peak
	Retries             []ReasonCount `json:"retries_by_reason,omitempty"` // during the sweep and the run
	NotRunChecked       int64         `json:"not_run_writes_checked"`
	NotRunExecuted      int64         `json:"not_run_but_ran"`
	DoneMissing         int64         `json:"done_but_missing"`
	GeneratorLatenessMS float64       `json:"generator_late_ms"` // greatest delay of an arrival by the generator
}

const (
	crestDeadline        = time.Second
	crestTable           = "crest"
	crestWriteShare      = 0.1 // fraction of the arrivals
	crestNormalLoad      = 0.5 // before and after the peak, relative to capacity
	crestPeakLoad        = 10  // relative to capacity
	crestRiseTime        = time.Second
	crestAfterTime       = 3 * time.Second
	recoveryStep         = 100 * time.Millisecond // interval at which recovery is checked
	recoveredP99Factor   = 1.5                    // p99 up to this multiple of the normal p99 counts as recovered
	recoveredSteps       = 3                      // consecutive steps that must meet the criteria
	slotPollInterval     = 5 * time.Millisecond   // between samples of the slots in use
	recoveredAnswerShare = 0.95                   // fraction answered in time that counts as recovered
	// crestConns is the limit of caller connections. Each takes two file descriptors
	// of this process, which may open 20,000.
	crestConns = 7200
)

// sweepLoads are the constant loads, relative to capacity, whose best goodput is the
// reference for the goodput at the peak.
var sweepLoads = []float64{0.7, 0.85, 1, 1.2}

// Crest measures goodput and latency during a load peak of ten times the capacity,
// through the entries and through the baseline.
func Crest(ctx context.Context, out *Output, p Profile, o Options) error {
	var rows [2]CrestResult
	goodput := figure{title: "Goodput, " + p.Name, x: "s", y: "answered in time per s"}
	p99 := figure{title: "Latency of answers, " + p.Name, x: "s", y: "p99 in ms"}
	for i, v := range []Variant{Proxy, Baseline} {
		c := &crest{profile: p, o: o, times: crestTimesOf(o)}
		c.result = CrestResult{Experiment: "crest", Site: p.Name, Variant: v, Load: crestPeakLoad, Seed: o.Seed}
		if err := c.run(ctx, v); err != nil {
			return err
		}
		if err := out.row(c.result); err != nil {
			return err
		}
		rows[i] = c.result
		goodputPoints, p99Points := timeline(c.samples, c.times.total(), recoveryStep, crestDeadline)
		goodput.series = append(goodput.series, series{string(v), goodputPoints})
		p99.series = append(p99.series, series{string(v), p99Points})
	}
	out.figure(goodput)
	out.figure(p99)
	return out.row(compareCrest(rows[0], rows[1]))
}

func compareCrest(a, b CrestResult) Comparison {
	return Comparison{
		Experiment: a.Experiment, Site: a.Site, Variant: ratioVariant, Load: a.Load, Seed: a.Seed,
		Figures: []Compared{
			compare("best_goodput_per_s", a.BestGoodput, b.BestGoodput),
			compare("goodput_ratio", a.GoodputRatio, b.GoodputRatio),
			compare("crest_p99_ms", a.PeakP99, b.PeakP99),
			compare("back_to_normal_ms", a.RecoveryMS, b.RecoveryMS),
		},
	}
}

// crestTimes are the lengths of the phases of a run.
type crestTimes struct{ sweep, normal, rise, peak, after time.Duration }

func crestTimesOf(o Options) crestTimes {
	peak := o.duration(5*time.Second, 500*time.Millisecond)
	if o.Quick {
		length := peak / 2
		return crestTimes{sweep: length, normal: length, rise: length, peak: peak, after: peak}
	}
	return crestTimes{sweep: 2 * time.Second, normal: 3 * time.Second, rise: crestRiseTime, peak: peak, after: crestAfterTime}
}

func (t crestTimes) total() time.Duration { return t.normal + t.rise + t.peak + t.after }

// phases returns the phases of the run. The first half of the normal load is a
// warm-up and in no phase.
func (t crestTimes) phases() []phase {
	rise, peak := t.normal, t.normal+t.rise
	end := peak + t.peak
	return []phase{
		{"normal", t.normal / 2, rise},
		{"rise", rise, peak},
		{"crest", peak, end},
		{"after", end, t.total()},
	}
}

// load returns the offered load at a time of the run, in requests per second.
func (t crestTimes) load(at time.Duration, capacity float64) float64 {
	switch {
	case at < t.normal || at >= t.normal+t.rise+t.peak:
		return crestNormalLoad * capacity
	case at < t.normal+t.rise:
		fraction := (at - t.normal).Seconds() / t.rise.Seconds()
		return (crestNormalLoad + fraction*(crestPeakLoad-crestNormalLoad)) * capacity
	}
	return crestPeakLoad * capacity
}

type crest struct {
	profile Profile
	o       Options
	times   crestTimes
	testbed *testbed
	samples []sample
	result  CrestResult
}

func (c *crest) run(ctx context.Context, v Variant) error {
	b, err := startTestbed(ctx, c.profile, v, c.o)
	if err != nil {
		return err
	}
	defer b.close()
	c.testbed = b
	c.result.Capacity = c.profile.capacity()
	c.sweep(ctx)
	l := c.newLoop("run")
	busy := c.sampleSlots(ctx)
	c.samples = l.run(ctx, c.times.total(), func(at time.Duration) float64 { return c.times.load(at, c.result.Capacity) })
	c.result.PeakSlotsBusy = <-busy
	c.result.GeneratorLatenessMS = millis(l.maxLateness)
	c.result.Retries = b.retries()
	c.summarize()
	if err := c.verify(); err != nil {
		return err
	}
	return ctx.Err()
}

// sampleSlots polls the slots of all members during the peak and sends the mean
// fraction in use. Slots that are free under overload are capacity that the entries
// leave unused.
func (c *crest) sampleSlots(ctx context.Context) <-chan float64 {
	done := make(chan float64, 1)
	from := time.Now().Add(c.times.normal + c.times.rise)
	go func() {
		busy, polls := 0, 0
		for ctx.Err() == nil && time.Since(from) < c.times.peak {
			time.Sleep(slotPollInterval)
			if time.Now().Before(from) {
				continue
			}
			busy += c.busySlots()
			polls++
		}
		plan := c.profile.Plan
		done <- ratio(float64(busy), float64(polls*len(plan.Databases)*len(plan.Zones)*plan.Slots))
	}()
	return done
}

func (c *crest) busySlots() int {
	n := 0
	for _, db := range c.profile.Plan.Databases {
		for _, srv := range c.testbed.site.Servers(db) {
			n += srv.Member().BusySlots()
		}
	}
	return n
}

// newLoop returns a load generator. Its callers bypass the emulated network, whose
// queues would take most of the CPU time at this rate.
func (c *crest) newLoop(name string) *openLoop {
	plan := c.profile.Plan
	return &openLoop{
		addrs: c.testbed.addrs, databases: plan.Databases, dial: dialTCP, seed: c.o.Seed,
		params:   []param{{"tamarackcross.deadline", crestDeadline.String()}},
		maxConns: max(1, crestConns/(len(c.testbed.addrs)*len(plan.Databases))),
		mix:      crestMix(name),
	}
}

func crestMix(name string) mix {
	return func(n int, rnd *rand.Rand) (requestKind, string, string) {
		if rnd.Float64() >= crestWriteShare {
			return shortRead, "", "SELECT v FROM " + crestTable + " WHERE k = 'row'"
		}
		key := fmt.Sprintf("%s-%d", name, n)
		return shortWrite, key, "INSERT INTO " + crestTable + " (k, v) VALUES ('" + key + "', '1')"
	}
}

// sweep finds the best goodput under constant load, after a warm-up run.
func (c *crest) sweep(ctx context.Context) {
	d := c.times.sweep
	c.newLoop("warm-up").run(ctx, d/2, constantRate(crestNormalLoad*c.result.Capacity))
	for i, load := range sweepLoads {
		all := c.newLoop(fmt.Sprintf("sweep-%d", i)).run(ctx, d, constantRate(load*c.result.Capacity))
		// The first quarter, in which the queues fill up, is not counted.
		r := phase{fmt.Sprintf("constant %g", load), d / 4, d}.summarize(all, crestDeadline, allSamples)
		c.result.Sweep = append(c.result.Sweep, r)
		c.result.BestGoodput = max(c.result.BestGoodput, r.Goodput)
	}
}

func (c *crest) summarize() {
	r := &c.result
	for _, p := range c.times.phases() {
		r.Phases = append(r.Phases, p.summarize(c.samples, crestDeadline, allSamples))
	}
	for _, p := range r.Phases {
		r.Offered += p.Offered
		switch p.Phase {
		case "normal":
			r.NormalP99 = p.P99
		case "crest":
			r.PeakP99 = p.P99
			r.GoodputRatio = ratio(p.Goodput, r.BestGoodput)
		}
	}
	r.RecoveryMS = c.recoveryTime()
}

// recoveryTime returns how many milliseconds after the peak p99 is close to that of
// the normal load again and nearly all requests are answered in time. It returns -1
// if that is not reached before the end of the run.
func (c *crest) recoveryTime() float64 {
	end := c.times.normal + c.times.rise + c.times.peak
	inRow := 0
	for from := end; from+recoveryStep <= c.times.total(); from += recoveryStep {
		r := phase{from: from, to: from + recoveryStep}.summarize(c.samples, crestDeadline, allSamples)
		total := float64(r.Offered + r.NotOffered)
		if r.P99 > recoveredP99Factor*c.result.NormalP99 || float64(r.InTime) < recoveredAnswerShare*total {
			inRow = 0
			continue
		}
		if inRow++; inRow == recoveredSteps {
			return millis(from - end - (recoveredSteps-1)*recoveryStep)
		}
	}
	return -1
}

// verify looks up the row of every write at the primary. A row must be missing if
// the write was reported as not run, and present if it was acknowledged.
func (c *crest) verify() error {
	for i, db := range c.profile.Plan.Databases {
		srv, err := c.testbed.primary(db)
		if err != nil {
			return err
		}
		for _, s := range c.samples {
			if s.kind != shortWrite || s.database != i {
				continue
			}
			_, found := srv.Member().Value(crestTable, s.key)
			c.result.countWrite(s.status, found)
		}
	}
	return nil
}

func (r *CrestResult) countWrite(v status, found bool) {
	switch v {
	case refused:
		r.NotRunChecked++
		if found {
			r.NotRunExecuted++
		}
	case answered:
		if !found {
			r.DoneMissing++
		}
	}
}
