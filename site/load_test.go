package site_test

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"tamarackcross/emul"
)

const (
	requestInterval     = 5 * time.Millisecond  // between requests of a worker
	reconnectDelay      = 20 * time.Millisecond // before a worker retries
	requestTimeout      = 8 * time.Second       // for one request of a worker
	finalOutcomeTimeout = 15 * time.Second      // for a worker to learn the outcome of its last write
)

// load runs background callers that write and read until it is stopped.
type load struct {
	s       *scenario
	zone    string
	entries []int
	cancel  context.CancelFunc
	wg      conc.WaitGroup

	mu       sync.Mutex
	workers  []*worker
	problems []string
}

// worker is one background caller and the outcomes that it learned. Until the load
// is stopped only the goroutine of the worker uses it, except for acked.
type worker struct {
	load       *load
	name       string
	caller     *caller
	nextEntry  int
	acked      int            // guarded by load.mu
	minValue   int            // lowest counter value that a read of the session may return
	unanswered int            // requests whose connection ended without an answer
	outcomes   map[int]string // by attempt, of a plain worker
}

func (s *scenario) startLoad(zone string, entries []int, counts map[string]int) {
	ctx, cancel := context.WithCancel(s.ctx)
	l := &load{s: s, zone: zone, entries: entries, cancel: cancel}
	s.loads = append(s.loads, l)
	for _, kind := range []string{"keyed", "plain", "movers"} {
		run := map[string]func(*worker, context.Context){
			"keyed": (*worker).runKeyed, "plain": (*worker).runPlain, "movers": (*worker).runMover,
		}[kind]
		for i := range counts[kind] {
			w := &worker{load: l, name: fmt.Sprintf("load%d-%s-%d", len(s.loads), kind, i), nextEntry: i, outcomes: make(map[int]string)}
			l.workers = append(l.workers, w)
			l.wg.Go(func() {
				if w.createCounter(ctx) {
					run(w, ctx)
				}
				w.caller.close()
			})
		}
	}
}

func (l *load) stop() {
	l.cancel()
	l.wg.Wait()
}

func (l *load) reportProblem(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.problems = append(l.problems, fmt.Sprintf(format, args...))
}

// ackCounts returns the number of acknowledged requests of each worker.
func (l *load) ackCounts() []int {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []int
	for _, w := range l.workers {
		out = append(out, w.acked)
	}
	return out
}

// call sends one request. Without an open connection it first connects to the next
// entry, with the session token of the previous connection.
func (w *worker) call(ctx context.Context, sql string) answer {
	if w.caller == nil || w.caller.conn == nil || w.caller.conn.IsClosed() {
		token := ""
		if w.caller != nil {
			token = w.caller.token
			w.caller.close()
		}
		w.caller = &caller{name: w.name, zone: w.load.zone, entry: w.load.entries[w.nextEntry%len(w.load.entries)], token: token}
		w.nextEntry++
		if a := w.caller.connect(ctx, w.load.s); a.outcome != done {
			return answer{outcome: notRun, reason: "connect", text: a.text}
		}
	}
	a := w.caller.exec(ctx, sql)
	if a.outcome == done {
		w.load.mu.Lock()
		w.acked++
		w.load.mu.Unlock()
		return a
	}
	if a.unanswered {
		w.unanswered++
	}
	return a
}

// retryUntil repeats a request until its outcome is done or alsoAccepted. After ctx
// has ended it retries for finalOutcomeTimeout, so that the outcome of the last
// write is known.
func (w *worker) retryUntil(ctx context.Context, sql, alsoAccepted string) bool {
	var endedAt time.Time
	for {
		cctx, stop := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
		a := w.call(cctx, sql)
		stop()
		if a.outcome == done || a.outcome == alsoAccepted {
			return true
		}
		if ctx.Err() != nil && endedAt.IsZero() {
			endedAt = time.Now()
		}
		if !endedAt.IsZero() && time.Since(endedAt) > finalOutcomeTimeout {
			w.load.reportProblem("%s: outcome of the last write still unknown after %s: %+v", w.name, finalOutcomeTimeout, a)
			return false
		}
		time.Sleep(reconnectDelay)
	}
}

const uniqueViolation = "error 23505"

func (w *worker) createCounter(ctx context.Context) bool {
	return w.retryUntil(ctx, "INSERT INTO counters (k, v) VALUES ('"+w.name+"', '0')", uniqueViolation)
}

func (w *worker) incrementSQL() string {
	return "UPDATE counters SET v = v + 1 WHERE k = '" + w.name + "'"
}

// runKeyed increments a counter again and again. Each increment has an idempotency
// key and is retried through all entries until it is done.
func (w *worker) runKeyed(ctx context.Context) {
	for n := 1; ctx.Err() == nil; n++ {
		if !w.retryUntil(ctx, fmt.Sprintf("SET tamarackcross.idempotency_key = '%s-%d'; %s", w.name, n, w.incrementSQL()), done) {
			return
		}
		w.minValue++
		time.Sleep(requestInterval)
	}
}

// runPlain inserts a new row in each attempt, without a key, and never retries.
func (w *worker) runPlain(ctx context.Context) {
	for n := 1; ctx.Err() == nil; n++ {
		cctx, stop := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
		a := w.call(cctx, fmt.Sprintf("INSERT INTO seen (k, v) VALUES ('%s-%d', '1')", w.name, n))
		stop()
		w.outcomes[n] = a.outcome
		if a.outcome == uniqueViolation {
			w.load.reportProblem("%s: write %d ran twice", w.name, n)
		}
		time.Sleep(requestInterval)
	}
}

// runMover increments and reads one counter in a session that moves to another
// entry after each write.
func (w *worker) runMover(ctx context.Context) {
	for ctx.Err() == nil {
		cctx, stop := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
		if a := w.call(cctx, w.incrementSQL()); a.outcome == done {
			w.minValue++
		}
		if w.caller.conn != nil {
			_ = w.caller.conn.Close(cctx)
		}
		for range 2 {
			w.read(cctx)
		}
		stop()
		time.Sleep(requestInterval)
	}
}

func (w *worker) read(ctx context.Context) {
	a := w.call(ctx, "SELECT k, v FROM counters WHERE k = '"+w.name+"'")
	if a.outcome != done {
		return
	}
	got, err := strconv.Atoi(strings.TrimPrefix(a.rows, w.name+" "))
	if err != nil || got < w.minValue {
		w.load.reportProblem("%s: read %q, older than the value %d that the session has seen, at entry-%d", w.name, a.rows, w.minValue, w.caller.entry+1)
		return
	}
	w.minValue = got
}

// verify compares the answers that the worker got with the data of the primary.
func (w *worker) verify(m *emul.Member) {
	text, _ := m.Value("counters", w.name)
	v, err := strconv.Atoi(text)
	switch {
	case err != nil:
		w.load.reportProblem("%s: counter holds %q, not a number", w.name, text)
	case v < w.minValue:
		w.load.reportProblem("%s: %d of %d acknowledged writes are lost", w.name, w.minValue-v, w.minValue)
	case strings.Contains(w.name, "keyed") && v > w.minValue:
		w.load.reportProblem("%s: %d writes were applied twice", w.name, v-w.minValue)
	}
	for n, outcome := range w.outcomes {
		_, ran := m.Value("seen", fmt.Sprintf("%s-%d", w.name, n))
		if outcome == done && !ran {
			w.load.reportProblem("%s: acknowledged write %d is lost", w.name, n)
		}
		if outcome == notRun && ran {
			w.load.reportProblem("%s: write %d ran although it was reported as not run", w.name, n)
		}
	}
}

func (l *load) unansweredRequests() int {
	n := 0
	for _, w := range l.workers {
		n += w.unanswered
	}
	return n
}

// verify checks every worker against the data of the primary and returns all
// problems that the load found.
func (l *load) verify(m *emul.Member) []string {
	for _, w := range l.workers {
		w.verify(m)
	}
	slices.Sort(l.problems)
	return l.problems
}
