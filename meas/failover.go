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

// Loss is a kind of failure of a primary.
type Loss string

// The kinds of loss: the process of the member ends, its network is cut off, or the
// process is frozen.
const (
	Killed Loss = "killed"
	Cut    Loss = "cut"
	Frozen Loss = "frozen"
)

// FailoverOptions are the parameters of the failover experiment.
type FailoverOptions struct {
	Losses int // minimum for each kind
	Kinds  []Loss
	Log    zerolog.Logger
}

// FailoverResult is the row for the losses of one kind at one site.
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
	writeInterval      = 5 * time.Millisecond
	resumeTimeout      = 15 * time.Second // for writes to resume after a loss
	holdAfterResume    = time.Second      // time from resumed writes to the restore of the lost member
	recoveryTimeout    = 20 * time.Second // for a restored member to follow the new primary
	steadyBeforeLoss   = 700 * time.Millisecond
)

// Failover repeatedly fails the primaries of all databases of a site while writers
// write through all entries. It prints one row for each kind of loss.
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
		site.WithNetwork(p.networkOptions()...),
		site.WithMember(emul.WithConnectTime(p.ConnectTime)),
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
	err := f.loseRepeatedly(ctx, losses)
	if err != nil {
		f.log.Error().Err(err).Str("kind", string(f.kind)).Msg("failover experiment stopped before the requested number of losses; its row holds the losses so far")
	}
	for _, l := range f.loads {
		l.stop()
	}
	for _, l := range f.loads {
		if verifyErr := f.verify(l); err == nil {
			err = verifyErr
		}
	}
	return err
}

// loseRepeatedly fails the primaries of all databases at the same time, round by
// round, until the requested number of losses is reached.
func (f *failover) loseRepeatedly(ctx context.Context, losses int) error {
	for f.result.Losses < losses {
		time.Sleep(steadyBeforeLoss)
		gaps := make([]time.Duration, len(f.loads))
		lossErrors := make([]error, len(f.loads))
		var wg conc.WaitGroup
		for i, l := range f.loads {
			wg.Go(func() { gaps[i], lossErrors[i] = f.loseAndRestore(ctx, l) })
		}
		wg.Wait()
		for i := range gaps {
			f.result.Losses++
			if lossErrors[i] != nil {
				return lossErrors[i]
			}
			f.gaps = append(f.gaps, gaps[i])
		}
	}
	return nil
}

// loseAndRestore fails the primary of one database, waits for writes to resume and
// restores the member. It returns the longest gap between acknowledged writes.
func (f *failover) loseAndRestore(ctx context.Context, l *writeLoad) (time.Duration, error) {
	lost, err := f.primary(l.db)
	if err != nil {
		return 0, err
	}
	lostAt := time.Now()
	l.resetAcks(lostAt)
	if err := f.failPrimary(lost); err != nil {
		return 0, err
	}
	gap, err := l.awaitResume(lostAt, func() bool { return f.replaced(l.db, lost) })
	if err != nil {
		return 0, eris.Wrapf(err, "%s of %s", f.kind, lost.Member().Name())
	}
	time.Sleep(holdAfterResume)
	if err := f.restore(ctx, lost); err != nil {
		return 0, err
	}
	return gap, f.awaitFollowing(l.db)
}

func (f *failover) primary(db string) (*emul.Server, error) { return primaryOf(f.s, db) }

// replaced reports whether another member has become the primary.
func (f *failover) replaced(db string, lost *emul.Server) bool {
	g, ok := f.s.Instances()[0].Views().Group(db)
	return ok && g.Primary != lost.Member().Name()
}

func (f *failover) failPrimary(srv *emul.Server) error {
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

func (f *failover) restore(ctx context.Context, srv *emul.Server) error {
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

// awaitFollowing waits until all members of the database are in the term that the
// instances know and only the primary of that term has the role.
func (f *failover) awaitFollowing(db string) error {
	deadline := time.Now().Add(recoveryTimeout)
	var statuses []string
	for time.Now().Before(deadline) {
		statuses = statuses[:0]
		g, ok := f.s.Instances()[0].Views().Group(db)
		following := ok
		for _, srv := range f.s.Servers(db) {
			st := srv.Member().Status()
			statuses = append(statuses, fmt.Sprintf("%s %s term %d held %s", st.Member, st.Role, st.Term, st.Held))
			following = following && st.Term == g.Term && (st.Role == emul.Primary) == (st.Member == g.Primary)
		}
		if following {
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return eris.Errorf("a member of %s does not follow after %s: %v", db, recoveryTimeout, statuses)
}

// verify compares the acknowledged writes with the data of the primary. Each
// acknowledged key must be stored, and the counter of each writer must equal its
// number of acknowledged writes.
func (f *failover) verify(l *writeLoad) error {
	srv, err := f.primary(l.db)
	if err != nil {
		return err
	}
	for _, wr := range l.writers {
		f.result.Acknowledged += wr.acked
		f.result.Unknown += wr.unknown
		f.result.NotRun += wr.notRun
		for _, key := range wr.ackedKeys {
			if _, ok := srv.Member().Value("tamarackcross_keys", key); !ok {
				f.result.Lost++
			}
		}
		text, _ := srv.Member().Value("counters", wr.name)
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return eris.Errorf("counter of %s is %q", wr.name, text)
		}
		if n > wr.acked {
			f.result.Doubled += n - wr.acked
		}
		if n < wr.acked {
			f.result.Lost += wr.acked - n
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

	mu     sync.Mutex
	acks   []time.Time // acknowledgements since resetAcks
	newAck chan struct{}
}

type writer struct {
	name      string
	ackedKeys []string
	acked     int64
	unknown   int64
	notRun    int64
}

func startWriteLoad(ctx context.Context, s *site.Site, db string) (*writeLoad, error) {
	ctx, cancel := context.WithCancel(ctx)
	l := &writeLoad{s: s, db: db, cancel: cancel, newAck: make(chan struct{}, 1)}
	for i := range writersPerDatabase {
		wr := &writer{name: fmt.Sprintf("%s-writer-%d", db, i)}
		l.writers = append(l.writers, wr)
		if err := l.createCounter(ctx, wr, i); err != nil {
			cancel()
			return nil, err
		}
	}
	for i, wr := range l.writers {
		l.wg.Go(func() { l.write(ctx, wr, i) })
	}
	return l, nil
}

func (l *writeLoad) createCounter(ctx context.Context, wr *writer, i int) error {
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

// write performs one logical write after another and retries each until it is
// acknowledged.
func (l *writeLoad) write(ctx context.Context, wr *writer, i int) {
	dial := callerDialer(l.s.Network(), wr.name)
	next := i
	for n := 0; ; n++ {
		key := fmt.Sprintf("%s-%d", wr.name, n)
		for {
			if n > 0 && ctx.Err() != nil {
				return
			}
			if l.writeOnConn(ctx, wr, dial, next, &n, &key) {
				return
			}
			next++ // the next attempt uses another entry
		}
	}
}

// writeOnConn writes on one connection until that fails, and reports whether the
// load has ended. A write whose answer was lost is retried with the same key on the
// next connection, also after the load was stopped, so that every outcome is known.
func (l *writeLoad) writeOnConn(ctx context.Context, wr *writer, dial dialer, entryIndex int, n *int, key *string) bool {
	noCancel := context.WithoutCancel(ctx)
	connCtx, stop := context.WithTimeout(noCancel, 2*time.Second)
	defer stop()
	c, err := connect(connCtx, dial, l.s.Addr(entryIndex%l.s.Plan().Entries), l.db, "")
	if err != nil {
		return false
	}
	defer func() { _ = c.Close(connCtx) }()
	for {
		writeCtx, endWrite := context.WithTimeout(noCancel, 10*time.Second)
		_, err := c.Exec(writeCtx, "SET tamarackcross.idempotency_key = '"+*key+"'; UPDATE counters SET v = v + 1 WHERE k = '"+wr.name+"'")
		endWrite()
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
			time.Sleep(writeInterval)
			continue
		}
		l.acknowledged()
		wr.acked++
		wr.ackedKeys = append(wr.ackedKeys, *key)
		if ctx.Err() != nil {
			return true
		}
		*n++
		*key = fmt.Sprintf("%s-%d", wr.name, *n)
		time.Sleep(writeInterval)
	}
}

func (l *writeLoad) acknowledged() {
	l.mu.Lock()
	l.acks = append(l.acks, time.Now())
	l.mu.Unlock()
	select {
	case l.newAck <- struct{}{}:
	default:
	}
}

// resetAcks discards the acknowledgements before a loss.
func (l *writeLoad) resetAcks(time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acks = l.acks[:0]
}

// awaitResume waits until the primary is replaced and writes are acknowledged
// steadily again. It returns the longest gap between acknowledgements since the
// loss.
func (l *writeLoad) awaitResume(lostAt time.Time, replaced func() bool) (time.Duration, error) {
	deadline := lostAt.Add(resumeTimeout)
	var replacedAt time.Time
	for time.Now().Before(deadline) {
		time.Sleep(2 * time.Millisecond)
		if replacedAt.IsZero() {
			if replaced() {
				replacedAt = time.Now()
			}
			continue
		}
		if gap, ok := l.longestGap(lostAt, replacedAt); ok {
			return gap, nil
		}
	}
	return 0, eris.Errorf("writes did not resume within %s", resumeTimeout)
}

const (
	resumedAfterAcks = 30                     // consecutive acknowledgements after which writes count as resumed
	maxAckPause      = 100 * time.Millisecond // a longer pause restarts the count
)

// longestGap returns the longest time between acknowledgements since the loss. It
// reports whether writes have resumed after the primary was replaced.
func (l *writeLoad) longestGap(lostAt, replacedAt time.Time) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	longest, lastAck, acksInRow := time.Duration(0), lostAt, 0
	for _, at := range l.acks {
		d := at.Sub(lastAck)
		longest = max(longest, d)
		lastAck = at
		switch {
		case d > maxAckPause:
			acksInRow = 0
		case at.After(replacedAt):
			acksInRow++
		}
	}
	return longest, acksInRow >= resumedAfterAcks
}
