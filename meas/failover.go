package meas

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"tamarackcross/emul"
	"tamarackcross/errs"
	"tamarackcross/site"
)

// Loss is a way to lose a primary.
type Loss string

// The ways to lose a primary.
const (
	Killed Loss = "killed"
	Cut    Loss = "cut"
	Frozen Loss = "frozen"
)

// FailoverOptions are the parameters of the failover experiment.
type FailoverOptions struct {
	Losses int // of each kind, at the least
	Kinds  []Loss
	Log    zerolog.Logger
}

// FailoverResult is one line of output: the losses of one kind at one site.
type FailoverResult struct {
	Experiment   string  `json:"experiment"`
	Site         string  `json:"site"`
	Kind         Loss    `json:"kind"`
	Losses       int     `json:"losses"`
	MedianGapMS  float64 `json:"median_gap_ms"`
	P99GapMS     float64 `json:"p99_gap_ms"`
	MaxGapMS     float64 `json:"max_gap_ms"`
	Acknowledged int64   `json:"acknowledged"`
	Lost         int64   `json:"lost"`
	Doubled      int64   `json:"doubled"`
	Unknown      int64   `json:"unknown_answers"`
	NotRun       int64   `json:"not_run_answers"`
	Failed       string  `json:"failed,omitempty"`
}

const (
	writersPerDatabase = 6
	writePause         = 5 * time.Millisecond
	lossLimit          = 15 * time.Second // for writes to resume after a loss
	lossHold           = time.Second      // the member stays lost this long after writes resumed
	recoverLimit       = 20 * time.Second // for the lost member to follow again
	steadyTime         = 700 * time.Millisecond
)

// Failover loses the primaries of every database of the site again and again
// while writers write through all entries, and prints a line per kind of loss.
func Failover(ctx context.Context, w io.Writer, p Profile, o FailoverOptions) error {
	for _, kind := range o.Kinds {
		r, err := failoverKind(ctx, p, kind, o)
		if err != nil {
			return err
		}
		if err := json.NewEncoder(w).Encode(r); err != nil {
			return err
		}
	}
	return nil
}

func failoverKind(ctx context.Context, p Profile, kind Loss, o FailoverOptions) (FailoverResult, error) {
	s, err := site.Start(ctx, p.Plan,
		site.WithNetwork(p.latencies()...),
		site.WithMember(emul.WithConnectTime(p.Connect)),
		site.WithLog(o.Log))
	if err != nil {
		return FailoverResult{}, err
	}
	defer s.Close()
	f := &failover{s: s, kind: kind, log: o.Log, result: FailoverResult{Experiment: "failover", Site: p.Name, Kind: kind}}
	if err := f.run(ctx, o.Losses); err != nil {
		f.result.Failed = err.Error()
	}
	f.summarize()
	return f.result, nil
}

type failover struct {
	s      *site.Site
	kind   Loss
	loads  []*writeLoad
	gaps   []time.Duration
	log    zerolog.Logger
	result FailoverResult
}

func (f *failover) run(ctx context.Context, losses int) error {
	for _, db := range f.s.Plan().Databases {
		l, err := startWriteLoad(ctx, f.s, db)
		if err != nil {
			return err
		}
		f.loads = append(f.loads, l)
	}
	err := f.rounds(ctx, losses)
	if err != nil {
		f.log.Error().Err(err).Str("kind", string(f.kind)).Msg("losses ended early")
	}
	for _, l := range f.loads {
		l.stop()
	}
	for _, l := range f.loads {
		if verr := f.verify(l); err == nil {
			err = verr
		}
	}
	return err
}

// rounds loses the primaries of all databases at once until there were enough
// losses.
func (f *failover) rounds(ctx context.Context, losses int) error {
	for f.result.Losses < losses {
		time.Sleep(steadyTime)
		gaps := make([]time.Duration, len(f.loads))
		fails := make([]error, len(f.loads))
		var wg conc.WaitGroup
		for i, l := range f.loads {
			wg.Go(func() { gaps[i], fails[i] = f.lose(ctx, l) })
		}
		wg.Wait()
		for i := range gaps {
			f.result.Losses++
			if fails[i] != nil {
				return fails[i]
			}
			f.gaps = append(f.gaps, gaps[i])
		}
	}
	return nil
}

// lose takes the primary of one database away, waits for writes to resume, and
// brings it back.
func (f *failover) lose(ctx context.Context, l *writeLoad) (time.Duration, error) {
	victim, err := f.primary(l.db)
	if err != nil {
		return 0, err
	}
	before := time.Now()
	l.mark(before)
	if err := f.takeAway(victim); err != nil {
		return 0, err
	}
	gap, err := l.awaitResume(before, func() bool { return f.replaced(l.db, victim) })
	if err != nil {
		return 0, eris.Wrapf(err, "%s of %s", f.kind, victim.Member().Name())
	}
	time.Sleep(lossHold)
	if err := f.bringBack(ctx, victim); err != nil {
		return 0, err
	}
	return gap, f.awaitFollowing(l.db)
}

func (f *failover) primary(db string) (*emul.Server, error) { return primaryOf(f.s, db) }

// replaced reports whether another member has been made the primary.
func (f *failover) replaced(db string, victim *emul.Server) bool {
	g, ok := f.s.Instances()[0].Views().Group(db)
	return ok && g.Primary != victim.Member().Name()
}

func (f *failover) takeAway(srv *emul.Server) error {
	switch f.kind {
	case Killed:
		return srv.Stop()
	case Cut:
		f.s.Network().Isolate(srv.Member().Name())
	case Frozen:
		srv.Member().Freeze()
	}
	return nil
}

func (f *failover) bringBack(ctx context.Context, srv *emul.Server) error {
	switch f.kind {
	case Killed:
		return srv.Start(ctx)
	case Cut:
		f.s.Network().Rejoin(srv.Member().Name())
	case Frozen:
		srv.Member().Thaw()
	}
	return nil
}

// awaitFollowing waits until every member of the database is in the term of
// the log and one is its primary.
func (f *failover) awaitFollowing(db string) error {
	limit := time.Now().Add(recoverLimit)
	var seen []string
	for time.Now().Before(limit) {
		seen = seen[:0]
		g, ok := f.s.Instances()[0].Views().Group(db)
		settled := ok
		for _, srv := range f.s.Servers(db) {
			st := srv.Member().Status()
			seen = append(seen, fmt.Sprintf("%s %s term %d held %s", st.Member, st.Role, st.Term, st.Held))
			settled = settled && st.Term == g.Term && (st.Role == emul.Primary) == (st.Member == g.Primary)
		}
		if settled {
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return eris.Errorf("a member of %s does not follow after %s: %v", db, recoverLimit, seen)
}

// verify compares what was acknowledged with what the primary holds: each
// acknowledged key must be there, and the counter of each writer must be equal
// to its number of acknowledged writes.
func (f *failover) verify(l *writeLoad) error {
	srv, err := f.primary(l.db)
	if err != nil {
		return err
	}
	for _, wr := range l.writers {
		f.result.Acknowledged += wr.done
		f.result.Unknown += wr.unknown
		f.result.NotRun += wr.notRun
		for _, key := range wr.keys {
			if _, ok := srv.Member().Value("tamarackcross_keys", key); !ok {
				f.result.Lost++
			}
		}
		text, _ := srv.Member().Value("counters", wr.name)
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return eris.Errorf("counter of %s is %q", wr.name, text)
		}
		if n > wr.done {
			f.result.Doubled += n - wr.done
		}
		if n < wr.done {
			f.result.Lost += wr.done - n
		}
	}
	return nil
}

func (f *failover) summarize() {
	if len(f.gaps) == 0 {
		return
	}
	slices.Sort(f.gaps)
	f.result.MedianGapMS = millis(f.gaps[len(f.gaps)/2])
	f.result.P99GapMS = millis(f.gaps[(len(f.gaps)*99+99)/100-1])
	f.result.MaxGapMS = millis(f.gaps[len(f.gaps)-1])
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// writeLoad writes to one database through all entries.
type writeLoad struct {
	s       *site.Site
	db      string
	writers []*writer
	cancel  context.CancelFunc
	wg      conc.WaitGroup

	mu    sync.Mutex
	acks  []time.Time // acknowledgements since the last mark
	fresh chan struct{}
}

type writer struct {
	name    string
	keys    []string
	done    int64
	unknown int64
	notRun  int64
}

func startWriteLoad(ctx context.Context, s *site.Site, db string) (*writeLoad, error) {
	ctx, cancel := context.WithCancel(ctx)
	l := &writeLoad{s: s, db: db, cancel: cancel, fresh: make(chan struct{}, 1)}
	for i := range writersPerDatabase {
		wr := &writer{name: fmt.Sprintf("%s-writer-%d", db, i)}
		l.writers = append(l.writers, wr)
		if err := l.prepare(ctx, wr, i); err != nil {
			cancel()
			return nil, err
		}
	}
	for i, wr := range l.writers {
		l.wg.Go(func() { l.write(ctx, wr, i) })
	}
	return l, nil
}

func (l *writeLoad) prepare(ctx context.Context, wr *writer, i int) error {
	dial := callerDialer(l.s.Network(), wr.name)
	c, err := connect(ctx, dial, l.s.Addr(i%l.s.Plan().Entries), l.db, "")
	if err != nil {
		return err
	}
	defer func() { _ = c.Close(ctx) }()
	_, err = c.Exec(ctx, "INSERT INTO counters (k, v) VALUES ('"+wr.name+"', '0')")
	return err
}

func (l *writeLoad) stop() {
	l.cancel()
	l.wg.Wait()
}

// write makes one logical write after the other, each until it is known to be
// done.
func (l *writeLoad) write(ctx context.Context, wr *writer, i int) {
	dial := callerDialer(l.s.Network(), wr.name)
	next := i
	for n := 0; ; n++ {
		key := fmt.Sprintf("%s-%d", wr.name, n)
		for {
			if n > 0 && ctx.Err() != nil {
				return
			}
			if l.session(ctx, wr, dial, next, &n, &key) {
				return
			}
			next++ // the next attempt goes through another entry
		}
	}
}

// session writes on one connection until it fails. It reports whether the
// experiment has ended. A write whose answer was lost is sent again with its
// key after the connection was replaced, and finished even at the end, so that
// every outcome is known.
func (l *writeLoad) session(ctx context.Context, wr *writer, dial dialer, entry int, n *int, key *string) bool {
	background := context.WithoutCancel(ctx)
	cctx, stop := context.WithTimeout(background, 2*time.Second)
	defer stop()
	c, err := connect(cctx, dial, l.s.Addr(entry%l.s.Plan().Entries), l.db, "")
	if err != nil {
		return false
	}
	defer func() { _ = c.Close(cctx) }()
	for {
		wctx, end := context.WithTimeout(background, 10*time.Second)
		_, err := c.Exec(wctx, "SET tamarackcross.idempotency_key = '"+*key+"'; UPDATE counters SET v = v + 1 WHERE k = '"+wr.name+"'")
		end()
		if err != nil {
			outcome, _ := outcomeOf(err)
			if outcome == errs.NotRun {
				wr.notRun++
			} else {
				wr.unknown++
			}
			if c.IsClosed() {
				return false
			}
			time.Sleep(writePause)
			continue
		}
		l.acknowledged()
		wr.done++
		wr.keys = append(wr.keys, *key)
		if ctx.Err() != nil {
			return true
		}
		*n++
		*key = fmt.Sprintf("%s-%d", wr.name, *n)
		time.Sleep(writePause)
	}
}

func (l *writeLoad) acknowledged() {
	l.mu.Lock()
	l.acks = append(l.acks, time.Now())
	l.mu.Unlock()
	select {
	case l.fresh <- struct{}{}:
	default:
	}
}

// mark forgets the acknowledgements before a loss.
func (l *writeLoad) mark(time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acks = l.acks[:0]
}

// awaitResume returns the longest time between two acknowledgements after the
// loss, once the primary was replaced and writes have gone on for a while.
func (l *writeLoad) awaitResume(lost time.Time, replaced func() bool) (time.Duration, error) {
	limit := lost.Add(lossLimit)
	var since time.Time
	for time.Now().Before(limit) {
		time.Sleep(2 * time.Millisecond)
		if since.IsZero() {
			if replaced() {
				since = time.Now()
			}
			continue
		}
		if gap, ok := l.gap(lost, since); ok {
			return gap, nil
		}
	}
	return 0, eris.Errorf("writes did not resume within %s", lossLimit)
}

const (
	resumedAcks = 30                     // acknowledgements without a pause that show that writes go on
	pauseLimit  = 100 * time.Millisecond // a longer pause starts the count again
)

// gap returns the longest time between acknowledgements since the loss, and
// whether enough of them came after since.
func (l *writeLoad) gap(lost, since time.Time) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	longest, last, run := time.Duration(0), lost, 0
	for _, at := range l.acks {
		d := at.Sub(last)
		longest = max(longest, d)
		last = at
		switch {
		case d > pauseLimit:
			run = 0
		case at.After(since):
			run++
		}
	}
	return longest, run >= resumedAcks
}
