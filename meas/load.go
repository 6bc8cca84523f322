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

// requestKind is the kind of a request; results are counted per kind.
type requestKind uint8

const (
	shortRead requestKind = iota
	shortWrite
	longRead
)

// arrival is one request of an open-loop load.
type arrival struct {
	at       time.Duration // since the start of the run
	entry    int
	database int
	kind     requestKind
	key      string // of a write
	sql      string
}

// status tells how a request ended.
type status uint8

const (
	answered   status = iota
	refused           // the error reports that it was not run
	unknown           // the error leaves the outcome open
	failed            // another error, or no answer
	notOffered        // not sent: no caller connection was free
)

// sample is the result of one arrival.
type sample struct {
	arrival
	latency time.Duration // since the arrival, not since the request was sent
	status  status
	reason  errs.Reason
}

// mix chooses the statement of an arrival.
type mix func(n int, rnd *rand.Rand) (k requestKind, key, sql string)

// openLoop generates an open-loop load: the rate of arrivals does not depend on the
// answers.
type openLoop struct {
	addrs     []string
	databases []string
	dial      dialer
	params    []param
	maxConns  int // caller connections per entry and database
	mix       mix
	seed      uint64

	ctx         context.Context
	cancel      context.CancelFunc
	startedAt   time.Time
	pools       []*callerPool
	wg          conc.WaitGroup
	inFlight    atomic.Int64 // arrivals without a result
	maxLateness time.Duration
	mu          sync.Mutex
	workers     []*worker
	notSent     []sample
}

// callerPool holds the caller connections to one entry for one database.
type callerPool struct {
	mu    sync.Mutex
	idle  []*worker
	conns int
}

// worker is one caller connection and its results.
type worker struct {
	loop     *openLoop
	pool     *callerPool
	arrivals chan arrival
	samples  []sample
}

const (
	dialTimeout       = 5 * time.Second
	drainTimeout      = 5 * time.Second // for answers after the last arrival
	drainPollInterval = 5 * time.Millisecond
)

// run generates arrivals for the duration d, at rate(t) per second at time t of the
// run, and returns all results.
func (l *openLoop) run(ctx context.Context, d time.Duration, rate func(time.Duration) float64) []sample {
	l.ctx, l.cancel = context.WithCancel(ctx)
	defer l.cancel()
	l.pools = make([]*callerPool, len(l.addrs)*len(l.databases))
	for i := range l.pools {
		l.pools[i] = &callerPool{}
	}
	l.startedAt = time.Now()
	l.generate(d, rate)
	l.drain()
	return l.collect()
}

// generate dispatches Poisson arrivals. Sleeps are rounded up to about a
// millisecond, so that at high rates arrivals are dispatched in batches. Latencies
// still count from the time of the arrival.
func (l *openLoop) generate(d time.Duration, rate func(time.Duration) float64) {
	rnd := rand.New(rand.NewPCG(l.seed, 1))
	at := time.Duration(0)
	for n := 0; l.ctx.Err() == nil; n++ {
		at += time.Duration(rnd.ExpFloat64() / rate(at) * float64(time.Second))
		if at >= d {
			return
		}
		arr := arrival{at: at, entry: rnd.IntN(len(l.addrs)), database: rnd.IntN(len(l.databases))}
		arr.kind, arr.key, arr.sql = l.mix(n, rnd)
		if wait := at - time.Since(l.startedAt); wait > 0 {
			time.Sleep(wait)
		}
		l.maxLateness = max(l.maxLateness, time.Since(l.startedAt)-at)
		l.dispatch(arr)
	}
}

// dispatch hands an arrival to an idle connection, or to a new one if the pool has
// fewer than maxConns.
func (l *openLoop) dispatch(arr arrival) {
	p := l.pools[arr.entry*len(l.databases)+arr.database]
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idle); n > 0 {
		w := p.idle[n-1]
		p.idle = p.idle[:n-1]
		l.inFlight.Add(1)
		w.arrivals <- arr
		return
	}
	if p.conns >= l.maxConns {
		l.notSent = append(l.notSent, sample{arrival: arr, status: notOffered})
		return
	}
	p.conns++
	l.inFlight.Add(1)
	w := &worker{loop: l, pool: p, arrivals: make(chan arrival, 1)}
	w.arrivals <- arr
	l.mu.Lock()
	l.workers = append(l.workers, w)
	l.mu.Unlock()
	l.wg.Go(func() { w.serve(l.ctx) })
}

// drain waits for the answers to requests in flight.
func (l *openLoop) drain() {
	end := time.Now().Add(drainTimeout)
	for l.inFlight.Load() > 0 && time.Now().Before(end) && l.ctx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
}

func (l *openLoop) collect() []sample {
	l.cancel()
	l.wg.Wait()
	all := l.notSent
	for _, w := range l.workers {
		all = append(all, w.samples...)
	}
	return all
}

// serve executes arrivals on one connection until the run ends or the connection
// fails.
func (w *worker) serve(ctx context.Context) {
	defer w.leavePool()
	select {
	case arr := <-w.arrivals:
		c, err := w.connect(ctx, arr)
		if err != nil {
			w.record(sample{arrival: arr, status: failed, latency: time.Since(w.loop.startedAt) - arr.at})
			return
		}
		stop := context.AfterFunc(ctx, c.close)
		defer stop()
		defer c.close()
		for w.execute(c, arr) {
			select {
			case arr = <-w.arrivals:
			case <-ctx.Done():
				return
			}
		}
	case <-ctx.Done():
	}
}

func (w *worker) leavePool() {
	w.pool.mu.Lock()
	defer w.pool.mu.Unlock()
	w.pool.conns--
}

func (w *worker) connect(ctx context.Context, arr arrival) (*simpleConn, error) {
	ctx, stop := context.WithTimeout(ctx, dialTimeout)
	defer stop()
	return openConn(ctx, w.loop.dial, w.loop.addrs[arr.entry], w.loop.databases[arr.database], w.loop.params...)
}

// execute runs one arrival and reports whether the connection can be used again.
func (w *worker) execute(c *simpleConn, arr arrival) bool {
	a, err := c.query(arr.sql)
	s := sample{arrival: arr, latency: time.Since(w.loop.startedAt) - arr.at}
	s.status, s.reason = classify(a, err)
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
	w.loop.inFlight.Add(-1)
}

// classify returns how a request ended, and the reason that its answer gives.
func classify(a answer, err error) (status, errs.Reason) {
	if err != nil {
		return failed, ""
	}
	if a.sqlState == "" {
		return answered, ""
	}
	outcome, reason := outcomeIn(a.detail)
	switch {
	case outcome == errs.NotRun:
		return refused, reason
	case reason != "" || a.sqlState == errs.SQLStateOutcomeUnknown:
		return unknown, reason
	}
	return failed, ""
}

// constantRate returns a rate function for openLoop.run that is always perSecond.
func constantRate(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}
