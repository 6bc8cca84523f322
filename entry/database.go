package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"tamarackcross/errs"
	"tamarackcross/group"
	"tamarackcross/pgctl"
	"tamarackcross/retry"
	"tamarackcross/route"
)

// databaseTable holds the databases that this entry serves. A database is added
// at its first use.
type databaseTable struct {
	mu sync.RWMutex
	m  map[string]*database
}

func (t *databaseTable) init() { t.m = make(map[string]*database) }

func (t *databaseTable) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, db := range t.m {
		db.close()
	}
	t.m = make(map[string]*database) // a second close finds nothing
}

// database returns the runtime state of a database, made at first use.
func (s *Server) database(name string) (*database, error) {
	s.databases.mu.RLock()
	db := s.databases.m[name]
	s.databases.mu.RUnlock()
	if db != nil {
		return db, nil
	}
	s.databases.mu.Lock()
	defer s.databases.mu.Unlock()
	if db = s.databases.m[name]; db != nil {
		return db, nil
	}
	if _, ok := s.dir.Group(name); !ok {
		return nil, errs.New(errs.NotRun, errs.ReasonUnknownDB, "database \""+name+"\" is not known")
	}
	if s.ctx.Err() != nil {
		return nil, errs.New(errs.NotRun, errs.ReasonShutdown, "instance is shutting down")
	}
	db = newDatabase(s, name)
	s.databases.m[name] = db
	return db, nil
}

// Watch follows the primary of a database and reports on it, as it does for a
// database that callers use.
func (s *Server) Watch(database string) error {
	_, err := s.database(database)
	return err
}

// database is what an entry knows about one group while it serves it.
type database struct {
	srv  *Server
	name string

	mu       sync.Mutex
	members  map[string]*member
	majority group.Position // newest position known to be held by a majority
	heard    time.Time      // when the primary last answered the watch
	changed  chan struct{}  // closed at each rise of majority
	moved    chan struct{}  // closed when a member is seen to have applied more
	samples  route.Samples  // positions of the primary over time
	sampled  time.Time      // when the last sample was taken
	lastRead time.Time      // when the last read came
	seen     route.Samples  // positions of the primary as the watch saw them, to estimate lag
	balance  *route.Balance
	rnd      *rand.Rand

	breakers *retry.Group
	budget   *retry.Budget
	// listed are the members that the breakers know, as of listedTerm.
	listed     []string
	listedTerm uint64

	policy   *route.Policy
	confirms confirmer
	ctx      context.Context
	cancel   context.CancelFunc
	wg       conc.WaitGroup // goroutines that follow a member
	done     chan error     // receives the end of the watch
}

func newDatabase(s *Server, name string) *database {
	ctx, cancel := context.WithCancel(s.ctx)
	db := &database{
		srv:      s,
		name:     name,
		members:  make(map[string]*member),
		changed:  make(chan struct{}),
		moved:    make(chan struct{}),
		balance:  route.NewBalance(),
		rnd:      newRand(s.seed, s.name+name),
		policy:   route.New(),
		breakers: retry.NewGroup(s.seed),
		budget:   retry.NewBudget(s.seed, time.Now()),
		ctx:      ctx,
		cancel:   cancel,
		done:     make(chan error, 1),
	}
	db.confirms.init(db)
	go func() {
		db.done <- db.watch(ctx)
		close(db.done) // a shutdown closes the database twice
	}()
	db.wg.Go(func() { db.maintain(ctx) })
	return db
}

func (db *database) close() {
	db.cancel()
	<-db.done
	db.confirms.close()
	db.wg.Wait()
	db.mu.Lock()
	defer db.mu.Unlock()
	for _, m := range db.members {
		m.close()
	}
}

// group returns what is known about the group now.
func (db *database) group() (Group, error) {
	g, ok := db.srv.dir.Group(db.name)
	if !ok {
		return Group{}, errs.New(errs.NotRun, errs.ReasonUnknownDB, "database \""+db.name+"\" is not known")
	}
	return g, nil
}

// member returns the runtime state of a member. A member whose address changed
// starts afresh.
func (db *database) member(b Backend) *member {
	db.mu.Lock()
	defer db.mu.Unlock()
	return db.memberLocked(b)
}

func (db *database) memberLocked(b Backend) *member {
	m := db.members[b.Name]
	if m != nil && m.addr == b.Addr {
		return m
	}
	if m != nil {
		m.close()
	}
	m = newMember(db, b)
	db.members[b.Name] = m
	return m
}

const (
	watchPoll    = 200 * time.Millisecond // longest time that the primary holds a watch call
	watchTimeout = 450 * time.Millisecond // a watch call without an answer by then has failed
	watchRetry   = 25 * time.Millisecond  // between attempts to reach the primary
)

// watch follows the positions of the group at its primary until ctx ends.
func (db *database) watch(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := db.srv.dir.Changed()
		if err := db.watchPrimary(ctx); err != nil && ctx.Err() == nil {
			db.srv.log.Debug().Err(err).Str("database", db.name).Msg("watch of the primary ended")
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(watchRetry):
		}
	}
	return ctx.Err()
}

var errReplaced = eris.New("primary was replaced")

// watchPrimary follows one primary until it fails or is replaced.
func (db *database) watchPrimary(ctx context.Context) error {
	g, err := db.group()
	if err != nil {
		return err
	}
	b, ok := g.Member(g.Primary)
	if !ok {
		return errs.New(errs.NotRun, errs.ReasonNoPrimary, "no primary is known")
	}
	c, err := db.dialWatch(ctx, b)
	if err != nil {
		db.observeFailure(b, g.Term, err)
		return err
	}
	defer c.Close()
	var after group.Position
	for ctx.Err() == nil {
		now, ok := db.srv.dir.Group(db.name)
		if !ok || now.Term != g.Term || now.Primary != g.Primary {
			return errReplaced
		}
		if after, err = db.watchOnce(ctx, c, after); err != nil {
			db.observeFailure(b, g.Term, err)
			return err
		}
		db.observe(Observation{Member: b.Name, Term: g.Term, Reachable: true})
	}
	return ctx.Err()
}

func (db *database) dialWatch(ctx context.Context, b Backend) (*pgctl.Conn, error) {
	ctx, stop := context.WithTimeout(ctx, watchTimeout)
	defer stop()
	return db.member(b).control(ctx)
}

// watchOnce waits for news from the primary and returns the position that a
// majority holds.
func (db *database) watchOnce(ctx context.Context, c *pgctl.Conn, after group.Position) (group.Position, error) {
	ctx, stop := context.WithTimeout(ctx, watchTimeout)
	defer stop()
	reports, err := c.Watch(ctx, after, watchPoll)
	if err != nil {
		return after, err
	}
	return db.learn(reports, time.Now()), nil
}

// learn takes in what the primary reported.
func (db *database) learn(reports []pgctl.Report, now time.Time) group.Position {
	g, err := db.group()
	if err != nil {
		return group.Position{}
	}
	var top group.Position
	for _, r := range reports {
		if r.Member == g.Primary {
			db.mu.Lock()
			db.seen.Add(now, r.Held)
			db.mu.Unlock()
		}
	}
	for _, r := range reports {
		if b, ok := g.Member(r.Member); ok {
			db.member(b).learn(r.Applied, now)
		}
		db.raise(r.Majority, now)
		top = r.Majority
	}
	return top
}

const (
	sampleInterval = 100 * time.Millisecond // between samples of the position of the primary
	sampleFor      = 10 * time.Second       // samples are taken this long after a read
)

// sample records a position of the primary for bounds by age. It is confirmed
// by a majority round that starts after now: without it, an isolated primary
// would make old data look fresh.
func (db *database) sample(ctx context.Context, now time.Time) {
	if !db.sampleDue(now) {
		return
	}
	p, err := db.confirms.current(ctx)
	if err != nil {
		return
	}
	db.mu.Lock()
	defer db.mu.Unlock()
	db.samples.Add(now, p)
}

func (db *database) sampleDue(now time.Time) bool {
	db.mu.Lock()
	defer db.mu.Unlock()
	if now.Sub(db.lastRead) > sampleFor || now.Sub(db.sampled) < sampleInterval {
		return false
	}
	db.sampled = now
	return true
}

// noteRead records a read, for which samples are taken.
func (db *database) noteRead(now time.Time) {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.lastRead = now
}

// move wakes the sessions that wait for a member.
func (db *database) move() {
	db.mu.Lock()
	defer db.mu.Unlock()
	close(db.moved)
	db.moved = make(chan struct{})
}

// lagOf estimates how long ago the primary reached p.
func (db *database) lagOf(p group.Position, now time.Time) time.Duration {
	db.mu.Lock()
	defer db.mu.Unlock()
	if !p.Less(db.majority) {
		return 0
	}
	at, ok := db.seen.Reached(p)
	if !ok {
		return 0
	}
	return now.Sub(at)
}

// raise records that a majority holds p.
func (db *database) raise(p group.Position, now time.Time) {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.heard = now
	if !db.majority.Less(p) {
		return
	}
	db.majority = p
	close(db.changed)
	db.changed = make(chan struct{})
}

// confirmed reports whether a majority is known to hold p.
func (db *database) confirmed(p group.Position) bool {
	db.mu.Lock()
	defer db.mu.Unlock()
	return !db.majority.Less(p)
}

// Observation is what an entry found out about a member.
type Observation struct {
	Database  string
	Member    string
	Term      uint64
	Reachable bool
	Stalled   bool // answers, but a majority confirms nothing
	Position  group.Position
	At        time.Time
}

// observeFailure reports that the watch of the primary failed. A member that
// answers with an error is reachable but does not act as the primary.
func (db *database) observeFailure(b Backend, term uint64, err error) {
	answered := pgctl.Code(err) != ""
	db.observe(Observation{Member: b.Name, Term: term, Reachable: answered, Stalled: answered})
}

func (db *database) observe(o Observation) {
	if db.srv.observer == nil {
		return
	}
	db.mu.Lock()
	o.Position = db.majority
	db.mu.Unlock()
	o.Database, o.At = db.name, time.Now()
	db.srv.observer.Observe(o)
}

// primaryMember returns the primary that is known now.
func (db *database) primaryMember() (*member, error) {
	g, err := db.group()
	if err != nil {
		return nil, err
	}
	b, ok := g.Member(g.Primary)
	if !ok {
		return nil, errs.New(errs.NotRun, errs.ReasonNoPrimary, "no primary is known")
	}
	return db.member(b), nil
}
