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
	loadPause  = 5 * time.Millisecond  // between the requests of a worker
	lostPause  = 20 * time.Millisecond // before a worker connects again
	callLimit  = 8 * time.Second       // for one request of a worker
	finalLimit = 15 * time.Second      // for a worker to learn the outcome of its last write
)

// load is callers that write and read in the background until it ends.
type load struct {
	s       *scene
	from    string
	entries []int
	cancel  context.CancelFunc
	wg      conc.WaitGroup

	mu       sync.Mutex
	workers  []*worker
	problems []string
}

// worker is one background caller and what it knows of its writes. Only its
// goroutine uses it until the load has ended, but for acked.
type worker struct {
	l       *load
	name    string
	c       *caller
	next    int
	acked   int            // guarded by load.mu
	floor   int            // lowest value of the counter that the session may see
	broken  int            // connections that ended during a request, without an answer
	outcome map[int]string // by attempt, of a plain writer
}

func (s *scene) startLoad(from string, entries []int, counts map[string]int) {
	ctx, cancel := context.WithCancel(s.ctx)
	l := &load{s: s, from: from, entries: entries, cancel: cancel}
	s.loads = append(s.loads, l)
	for _, kind := range []string{"keyed", "plain", "movers"} {
		run := map[string]func(*worker, context.Context){
			"keyed": (*worker).keyed, "plain": (*worker).plain, "movers": (*worker).move,
		}[kind]
		for i := range counts[kind] {
			w := &worker{l: l, name: fmt.Sprintf("load%d-%s-%d", len(s.loads), kind, i), next: i, outcome: make(map[int]string)}
			l.workers = append(l.workers, w)
			l.wg.Go(func() {
				if w.prepare(ctx) {
					run(w, ctx)
				}
				w.c.close()
			})
		}
	}
}

func (l *load) stop() {
	l.cancel()
	l.wg.Wait()
}

func (l *load) problem(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.problems = append(l.problems, fmt.Sprintf(format, args...))
}

// acks returns the number of acknowledged requests of each worker.
func (l *load) acks() []int {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []int
	for _, w := range l.workers {
		out = append(out, w.acked)
	}
	return out
}

// call sends one request, on a new connection to the next entry if there is
// none. It keeps the session token.
func (w *worker) call(ctx context.Context, sql string) answer {
	if w.c == nil || w.c.conn == nil || w.c.conn.IsClosed() {
		token := ""
		if w.c != nil {
			token = w.c.token
			w.c.close()
		}
		w.c = &caller{name: w.name, from: w.l.from, entry: w.l.entries[w.next%len(w.l.entries)], token: token}
		w.next++
		if a := w.c.connect(ctx, w.l.s); a.outcome != done {
			return answer{outcome: notRun, reason: "connect", text: a.text}
		}
	}
	a := w.c.exec(ctx, sql)
	if a.outcome == done {
		w.l.mu.Lock()
		w.acked++
		w.l.mu.Unlock()
		return a
	}
	if a.broken {
		w.broken++
	}
	return a
}

// insist repeats a request until it is done or its outcome is also. It goes on for a while after ctx
// has ended, so that the outcome is known in the end.
func (w *worker) insist(ctx context.Context, sql, also string) bool {
	var ended time.Time
	for {
		cctx, stop := context.WithTimeout(context.WithoutCancel(ctx), callLimit)
		a := w.call(cctx, sql)
		stop()
		if a.outcome == done || a.outcome == also {
			return true
		}
		if ctx.Err() != nil && ended.IsZero() {
			ended = time.Now()
		}
		if !ended.IsZero() && time.Since(ended) > finalLimit {
			w.l.problem("%s: outcome not known after %s: %+v", w.name, finalLimit, a)
			return false
		}
		time.Sleep(lostPause)
	}
}

const uniqueViolation = "error 23505"

func (w *worker) prepare(ctx context.Context) bool {
	return w.insist(ctx, "INSERT INTO counters (k, v) VALUES ('"+w.name+"', '0')", uniqueViolation)
}

func (w *worker) increment() string {
	return "UPDATE counters SET v = v + 1 WHERE k = '" + w.name + "'"
}

// keyed makes one increment after the other, each with a key and repeated
// through all entries until it is done.
func (w *worker) keyed(ctx context.Context) {
	for n := 1; ctx.Err() == nil; n++ {
		if !w.insist(ctx, fmt.Sprintf("SET tamarackcross.idempotency_key = '%s-%d'; %s", w.name, n, w.increment()), done) {
			return
		}
		w.floor++
		time.Sleep(loadPause)
	}
}

// plain inserts a row of its own in each attempt and never repeats one.
func (w *worker) plain(ctx context.Context) {
	for n := 1; ctx.Err() == nil; n++ {
		cctx, stop := context.WithTimeout(context.WithoutCancel(ctx), callLimit)
		a := w.call(cctx, fmt.Sprintf("INSERT INTO seen (k, v) VALUES ('%s-%d', '1')", w.name, n))
		stop()
		w.outcome[n] = a.outcome
		if a.outcome == uniqueViolation {
			w.l.problem("%s: attempt %d ran twice", w.name, n)
		}
		time.Sleep(loadPause)
	}
}

// move writes and reads one counter in a session that goes from entry to entry.
func (w *worker) move(ctx context.Context) {
	for ctx.Err() == nil {
		cctx, stop := context.WithTimeout(context.WithoutCancel(ctx), callLimit)
		if a := w.call(cctx, w.increment()); a.outcome == done {
			w.floor++
		}
		if w.c.conn != nil {
			_ = w.c.conn.Close(cctx)
		}
		for range 2 {
			w.read(cctx)
		}
		stop()
		time.Sleep(loadPause)
	}
}

func (w *worker) read(ctx context.Context) {
	a := w.call(ctx, "SELECT k, v FROM counters WHERE k = '"+w.name+"'")
	if a.outcome != done {
		return
	}
	got, err := strconv.Atoi(strings.TrimPrefix(a.rows, w.name+" "))
	if err != nil || got < w.floor {
		w.l.problem("%s: read %q below %d at entry-%d", w.name, a.rows, w.floor, w.c.entry+1)
		return
	}
	w.floor = got
}

// verify compares what was answered with what the primary holds.
func (w *worker) verify(m *emul.Member) {
	text, _ := m.Value("counters", w.name)
	v, err := strconv.Atoi(text)
	switch {
	case err != nil:
		w.l.problem("%s: counter is %q", w.name, text)
	case v < w.floor:
		w.l.problem("%s: acknowledged writes lost: %d of %d", w.name, w.floor-v, w.floor)
	case strings.Contains(w.name, "keyed") && v > w.floor:
		w.l.problem("%s: writes applied twice: %d", w.name, v-w.floor)
	}
	for n, outcome := range w.outcome {
		_, ran := m.Value("seen", fmt.Sprintf("%s-%d", w.name, n))
		if outcome == done && !ran {
			w.l.problem("%s: acknowledged write %d lost", w.name, n)
		}
		if outcome == notRun && ran {
			w.l.problem("%s: write %d reported as not run did run", w.name, n)
		}
	}
}

// brokenRequests returns the number of requests that ended without an answer.
func (l *load) brokenRequests() int {
	n := 0
	for _, w := range l.workers {
		n += w.broken
	}
	return n
}

// verify reports what the load found, with what the primary holds at the end.
func (l *load) verify(m *emul.Member) []string {
	for _, w := range l.workers {
		w.verify(m)
	}
	slices.Sort(l.problems)
	return l.problems
}
