package meas

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"tamarackcross/errs"
)

// kind is the class of a request in the results.
type kind uint8

const (
	shortRead kind = iota
	shortWrite
	longRead
)

// job is one arrival of an open-loop load.
type job struct {
	at       time.Duration // since the start of the run
	entry    int
	database int
	kind     kind
	key      string // of a write
	sql      string
}

// verdict is how a request ended.
type verdict uint8

const (
	answered  verdict = iota
	refused           // the answer says that it was not run
	unknown           // the answer leaves the outcome open
	failed            // another error, or no answer
	unoffered         // no caller connection was free
)

// sample is the result of one job.
type sample struct {
	job
	took    time.Duration // from the arrival, not from the moment of sending
	verdict verdict
	reason  errs.Reason
}

// mix chooses the statement of an arrival.
type mix func(n int, rnd *rand.Rand) (k kind, key, sql string)

// openLoad sends arrivals at a rate that does not depend on the answers.
type openLoad struct {
	addrs     []string
	databases []string
	dial      dialer
	params    []param
	bound     int // caller connections per entry and database
	mix       mix
	seed      uint64

	ctx     context.Context
	cancel  context.CancelFunc
	start   time.Time
	pools   []*callerPool
	wg      conc.WaitGroup
	open    atomic.Int64 // jobs without a result
	late    time.Duration
	mu      sync.Mutex
	workers []*worker
	missed  []sample
}

// callerPool holds the caller connections to one entry for one database.
type callerPool struct {
	mu   sync.Mutex
	idle []*worker
	size int
}

// worker is one caller connection and its results.
type worker struct {
	l       *openLoad
	pool    *callerPool
	jobs    chan job
	samples []sample
}

const (
	dialLimit  = 5 * time.Second
	drainLimit = 5 * time.Second // for the answers after the last arrival
	drainPoll  = 5 * time.Millisecond
)

// run sends arrivals at rate(t) per second for d and returns all results.
func (l *openLoad) run(ctx context.Context, d time.Duration, rate func(time.Duration) float64) []sample {
	l.ctx, l.cancel = context.WithCancel(ctx)
	defer l.cancel()
	l.pools = make([]*callerPool, len(l.addrs)*len(l.databases))
	for i := range l.pools {
		l.pools[i] = &callerPool{}
	}
	l.start = time.Now()
	l.arrivals(d, rate)
	l.drain()
	return l.collect()
}

// arrivals makes the Poisson arrivals. Sleeps round up to about a millisecond,
// so that arrivals of a high rate leave in bunches; latencies count from the
// arrival all the same.
func (l *openLoad) arrivals(d time.Duration, rate func(time.Duration) float64) {
	rnd := rand.New(rand.NewPCG(l.seed, 1))
	at := time.Duration(0)
	for n := 0; l.ctx.Err() == nil; n++ {
		at += time.Duration(rnd.ExpFloat64() / rate(at) * float64(time.Second))
		if at >= d {
			return
		}
		j := job{at: at, entry: rnd.IntN(len(l.addrs)), database: rnd.IntN(len(l.databases))}
		j.kind, j.key, j.sql = l.mix(n, rnd)
		if wait := at - time.Since(l.start); wait > 0 {
			time.Sleep(wait)
		}
		l.late = max(l.late, time.Since(l.start)-at)
		l.dispatch(j)
	}
}

// dispatch gives a job to a free connection or opens one within the bound.
func (l *openLoad) dispatch(j job) {
	p := l.pools[j.entry*len(l.databases)+j.database]
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idle); n > 0 {
		w := p.idle[n-1]
		p.idle = p.idle[:n-1]
		l.open.Add(1)
		w.jobs <- j
		return
	}
	if p.size >= l.bound {
		l.missed = append(l.missed, sample{job: j, verdict: unoffered})
		return
	}
	p.size++
	l.open.Add(1)
	w := &worker{l: l, pool: p, jobs: make(chan job, 1)}
	w.jobs <- j
	l.mu.Lock()
	l.workers = append(l.workers, w)
	l.mu.Unlock()
	l.wg.Go(func() { w.serve(l.ctx) })
}

// drain waits for the answers that are under way.
func (l *openLoad) drain() {
	end := time.Now().Add(drainLimit)
	for l.open.Load() > 0 && time.Now().Before(end) && l.ctx.Err() == nil {
		time.Sleep(drainPoll)
	}
}

func (l *openLoad) collect() []sample {
	l.cancel()
	l.wg.Wait()
	all := l.missed
	for _, w := range l.workers {
		all = append(all, w.samples...)
	}
	return all
}

// serve sends jobs on one connection until the run or the connection ends.
func (w *worker) serve(ctx context.Context) {
	defer w.leave()
	select {
	case j := <-w.jobs:
		c, err := w.connect(ctx, j)
		if err != nil {
			w.record(sample{job: j, verdict: failed, took: time.Since(w.l.start) - j.at})
			return
		}
		stop := context.AfterFunc(ctx, c.close)
		defer stop()
		defer c.close()
		for w.do(c, j) {
			select {
			case j = <-w.jobs:
			case <-ctx.Done():
				return
			}
		}
	case <-ctx.Done():
	}
}

func (w *worker) leave() {
	w.pool.mu.Lock()
	defer w.pool.mu.Unlock()
	w.pool.size--
}

func (w *worker) connect(ctx context.Context, j job) (*line, error) {
	ctx, stop := context.WithTimeout(ctx, dialLimit)
	defer stop()
	return openLine(ctx, w.l.dial, w.l.addrs[j.entry], w.l.databases[j.database], w.l.params...)
}

// do runs one job and reports whether the connection can be used again.
func (w *worker) do(c *line, j job) bool {
	a, err := c.query(j.sql)
	s := sample{job: j, took: time.Since(w.l.start) - j.at}
	s.verdict, s.reason = judge(a, err)
	if err == nil {
		w.pool.mu.Lock()
		w.pool.idle = append(w.pool.idle, w)
		w.pool.mu.Unlock()
	}
	w.record(s)
	return err == nil
}

func (w *worker) record(s sample) {
	w.samples = append(w.samples, s)
	w.l.open.Add(-1)
}

// judge tells how a request ended from its answer.
func judge(a answer, err error) (verdict, errs.Reason) {
	if err != nil {
		return failed, ""
	}
	if a.state == "" {
		return answered, ""
	}
	outcome, reason := outcomeIn(a.detail)
	switch {
	case outcome == errs.NotRun:
		return refused, reason
	case reason != "" || a.state == errs.SQLStateOutcomeUnknown:
		return unknown, reason
	}
	return failed, ""
}

// steady is a constant rate.
func steady(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}
