package meas

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// CrestResult is one variant under a swing of the demand.
type CrestResult struct {
	Experiment    string        `json:"experiment"`
	Site          string        `json:"site"`
	Variant       Variant       `json:"variant"`
	Load          float64       `json:"load"` // of the crest, in capacities
	Seed          uint64        `json:"seed"`
	Offered       int64         `json:"offered"`
	Capacity      float64       `json:"capacity_per_s"` // slots by service time
	Sweep         []PhaseResult `json:"sweep"`          // constant loads
	Best          float64       `json:"best_goodput_per_s"`
	Phases        []PhaseResult `json:"phases"`
	GoodputRatio  float64       `json:"goodput_ratio"` // goodput at the crest by best
	NormalP99     float64       `json:"normal_p99_ms"`
	CrestP99      float64       `json:"crest_p99_ms"`
	BackMS        float64       `json:"back_to_normal_ms"`           // -1: not before the end of the run
	CrestBusy     float64       `json:"crest_slots_busy"`            // part of the slots in use at the members
	Retries       []ReasonCount `json:"retries_by_reason,omitempty"` // of the sweep and the run
	NotRunChecked int64         `json:"not_run_writes_checked"`
	NotRunRan     int64         `json:"not_run_but_ran"`
	DoneLost      int64         `json:"done_but_missing"`
	GeneratorLate float64       `json:"generator_late_ms"` // longest delay of an arrival
}

const (
	crestDeadline  = time.Second
	crestTable     = "crest"
	crestWrites    = 0.1 // of the arrivals
	crestNormal    = 0.5 // load before and after the crest, in capacities
	crestLoad      = 10  // load at the crest, in capacities
	crestRise      = time.Second
	crestAfter     = 3 * time.Second
	crestStep      = 100 * time.Millisecond // resolution of the return to normal
	crestReturn    = 1.5                    // p99 by normal p99 that counts as normal
	crestReturnRun = 3                      // steps in a row that show the return
	busyPoll       = 5 * time.Millisecond   // between looks at the slots
	crestEnough    = 0.95                   // answered by offered that counts as normal
	// crestCallers bounds the caller connections. Each takes two files of this
	// process, which may open 20,000.
	crestCallers = 7200
)

// sweepLoads are the constant loads, in capacities, among which the best
// goodput is sought.
var sweepLoads = []float64{0.7, 0.85, 1, 1.2}

// Crest measures the service during a swing of the demand to ten times the
// capacity, for the entries and for the baseline.
func Crest(ctx context.Context, out *Output, p Profile, o Options) error {
	var rows [2]CrestResult
	goodput := figure{title: "Goodput, " + p.Name, x: "s", y: "answered in time per s"}
	p99 := figure{title: "Latency of answers, " + p.Name, x: "s", y: "p99 in ms"}
	for i, v := range []Variant{Proxy, Baseline} {
		c := &crest{profile: p, o: o, times: crestTimesOf(o)}
		c.result = CrestResult{Experiment: "crest", Site: p.Name, Variant: v, Load: crestLoad, Seed: o.Seed}
		if err := c.run(ctx, v); err != nil {
			return err
		}
		if err := out.row(c.result); err != nil {
			return err
		}
		rows[i] = c.result
		good, slow := timeline(c.samples, c.times.total(), crestStep, crestDeadline)
		goodput.series = append(goodput.series, series{string(v), good})
		p99.series = append(p99.series, series{string(v), slow})
	}
	out.figure(goodput)
	out.figure(p99)
	return out.row(compareCrest(rows[0], rows[1]))
}

func compareCrest(a, b CrestResult) Comparison {
	return Comparison{
		Experiment: a.Experiment, Site: a.Site, Variant: ratioVariant, Load: a.Load, Seed: a.Seed,
		Figures: []Compared{
			compared("best_goodput_per_s", a.Best, b.Best),
			compared("goodput_ratio", a.GoodputRatio, b.GoodputRatio),
			compared("crest_p99_ms", a.CrestP99, b.CrestP99),
			compared("back_to_normal_ms", a.BackMS, b.BackMS),
		},
	}
}

// crestTimes are the lengths of the phases of a run.
type crestTimes struct{ sweep, normal, rise, peak, after time.Duration }

func crestTimesOf(o Options) crestTimes {
	peak := o.duration(5*time.Second, 500*time.Millisecond)
	if o.Quick {
		part := peak / 2
		return crestTimes{sweep: part, normal: part, rise: part, peak: peak, after: peak}
	}
	return crestTimes{sweep: 2 * time.Second, normal: 3 * time.Second, rise: crestRise, peak: peak, after: crestAfter}
}

func (t crestTimes) total() time.Duration { return t.normal + t.rise + t.peak + t.after }

// phases returns the phases of the run. The first half of the normal load
// warms up.
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

// rate is the offered load at t.
func (t crestTimes) rate(at time.Duration, capacity float64) float64 {
	switch {
	case at < t.normal || at >= t.normal+t.rise+t.peak:
		return crestNormal * capacity
	case at < t.normal+t.rise:
		part := (at - t.normal).Seconds() / t.rise.Seconds()
		return (crestNormal + part*(crestLoad-crestNormal)) * capacity
	}
	return crestLoad * capacity
}

type crest struct {
	profile Profile
	o       Options
	times   crestTimes
	b       *bench
	samples []sample
	result  CrestResult
}

func (c *crest) run(ctx context.Context, v Variant) error {
	b, err := startBench(ctx, c.profile, v, c.o)
	if err != nil {
		return err
	}
	defer b.close()
	c.b = b
	c.result.Capacity = c.profile.capacity()
	c.sweep(ctx)
	l := c.load("run")
	busy := c.watchSlots(ctx)
	c.samples = l.run(ctx, c.times.total(), func(at time.Duration) float64 { return c.times.rate(at, c.result.Capacity) })
	c.result.CrestBusy = <-busy
	c.result.GeneratorLate = millis(l.late)
	c.result.Retries = b.retries()
	c.summarize()
	if err := c.verify(); err != nil {
		return err
	}
	return ctx.Err()
}

// watchSlots looks at the slots of all members during the crest and sends the
// mean part in use. Slots that are free under overload are capacity that the
// entries do not use.
func (c *crest) watchSlots(ctx context.Context) <-chan float64 {
	done := make(chan float64, 1)
	from := time.Now().Add(c.times.normal + c.times.rise)
	go func() {
		busy, looks := 0, 0
		for ctx.Err() == nil && time.Since(from) < c.times.peak {
			time.Sleep(busyPoll)
			if time.Now().Before(from) {
				continue
			}
			busy += c.busy()
			looks++
		}
		plan := c.profile.Plan
		done <- ratio(float64(busy), float64(looks*len(plan.Databases)*len(plan.Zones)*plan.Slots))
	}()
	return done
}

func (c *crest) busy() int {
	n := 0
	for _, db := range c.profile.Plan.Databases {
		for _, srv := range c.b.s.Servers(db) {
			n += srv.Member().Busy()
		}
	}
	return n
}

// load returns a generator. Callers reach the entries without the emulated
// network, whose queues would take most of the CPU time at this rate.
func (c *crest) load(name string) *openLoad {
	plan := c.profile.Plan
	return &openLoad{
		addrs: c.b.addrs, databases: plan.Databases, dial: plainDial, seed: c.o.Seed,
		params: []param{{"tamarackcross.deadline", crestDeadline.String()}},
		bound:  max(1, crestCallers/(len(c.b.addrs)*len(plan.Databases))),
		mix:    crestMix(name),
	}
}

func crestMix(name string) mix {
	return func(n int, rnd *rand.Rand) (kind, string, string) {
		if rnd.Float64() >= crestWrites {
			return shortRead, "", "SELECT v FROM " + crestTable + " WHERE k = 'row'"
		}
		key := fmt.Sprintf("%s-%d", name, n)
		return shortWrite, key, "INSERT INTO " + crestTable + " (k, v) VALUES ('" + key + "', '1')"
	}
}

// sweep finds the best goodput under a constant load. A first run warms up.
func (c *crest) sweep(ctx context.Context) {
	d := c.times.sweep
	c.load("warm-up").run(ctx, d/2, steady(crestNormal*c.result.Capacity))
	for i, load := range sweepLoads {
		all := c.load(fmt.Sprintf("sweep-%d", i)).run(ctx, d, steady(load*c.result.Capacity))
		// The queues fill at first, so that the first quarter is left out.
		r := phase{fmt.Sprintf("constant %g", load), d / 4, d}.summarize(all, crestDeadline, everything)
		c.result.Sweep = append(c.result.Sweep, r)
		c.result.Best = max(c.result.Best, r.Goodput)
	}
}

func (c *crest) summarize() {
	r := &c.result
	for _, p := range c.times.phases() {
		r.Phases = append(r.Phases, p.summarize(c.samples, crestDeadline, everything))
	}
	for _, p := range r.Phases {
		r.Offered += p.Offered
		switch p.Phase {
		case "normal":
			r.NormalP99 = p.P99
		case "crest":
			r.CrestP99 = p.P99
			r.GoodputRatio = ratio(p.Goodput, r.Best)
		}
	}
	r.BackMS = c.backToNormal()
}

// backToNormal returns the time after the crest from which p99 is close to
// that of the normal load and nearly everything is answered in time.
func (c *crest) backToNormal() float64 {
	end := c.times.normal + c.times.rise + c.times.peak
	run := 0
	for from := end; from+crestStep <= c.times.total(); from += crestStep {
		r := phase{from: from, to: from + crestStep}.summarize(c.samples, crestDeadline, everything)
		total := float64(r.Offered + r.NotOffered)
		if r.P99 > crestReturn*c.result.NormalP99 || float64(r.InTime) < crestEnough*total {
			run = 0
			continue
		}
		if run++; run == crestReturnRun {
			return millis(from - end - (crestReturnRun-1)*crestStep)
		}
	}
	return -1
}

// verify looks every write up at the primary: one called "not run" must not be
// there, and one that was acknowledged must be.
func (c *crest) verify() error {
	for i, db := range c.profile.Plan.Databases {
		srv, err := c.b.primary(db)
		if err != nil {
			return err
		}
		for _, s := range c.samples {
			if s.kind != shortWrite || s.database != i {
				continue
			}
			_, ran := srv.Member().Value(crestTable, s.key)
			c.result.check(s.verdict, ran)
		}
	}
	return nil
}

func (r *CrestResult) check(v verdict, ran bool) {
	switch v {
	case refused:
		r.NotRunChecked++
		if ran {
			r.NotRunRan++
		}
	case answered:
		if !ran {
			r.DoneLost++
		}
	}
}
