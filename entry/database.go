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

// databaseTable holds the databases that this entry has served. A database is
// added when it is first used.
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
	t.m = make(map[string]*database) // so that a second close does nothing
}

// database returns the state of a database and creates it at first use.
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

// Watch starts watching the primary of a database for the observer, as it happens
// for a database that callers use.
func (s *Server) Watch(database string) error {
	_, err := s.database(database)
	return err
}

// database is the state of one database group that this entry serves.
type database struct {
	srv  *Server
	name string

	mu                sync.Mutex
	members           map[string]*member
	majorityPosition  group.Position // newest position that a majority is known to hold
	primaryAnsweredAt time.Time      // last answer of the primary to a watch call or confirmation
	majorityChanged   chan struct{}  // closed when majorityPosition advances
	appliedChanged    chan struct{}  // closed when an awaited member has applied more
	confirmedSamples  route.Samples  // positions of the primary confirmed by a majority, for read bounds by age
	lastSample        time.Time      // when the last confirmed sample was requested
	lastRead          time.Time      // when the last read arrived
	watchSamples      route.Samples  // positions of the primary reported by the watch, for estimating replication lag
	balance           *route.Balance
	rnd               *rand.Rand

	breakers *retry.Group
	budget   *retry.Budget
	// breakerMembers are the members with a circuit breaker, as of breakerTerm.
	breakerMembers []string
	breakerTerm    uint64

	policy    *route.Policy
	confirmer confirmer
	ctx       context.Context
	cancel    context.CancelFunc
	wg        conc.WaitGroup // background goroutines of the database and its members
	done      chan error     // receives the result of the watch
}

func newDatabase(s *Server, name string) *database {
	ctx, cancel := context.WithCancel(s.ctx)
	db := &database{
		srv:             s,
		name:            name,
		members:         make(map[string]*member),
		majorityChanged: make(chan struct{}),
		appliedChanged:  make(chan struct{}),
		balance:         route.NewBalance(),
		rnd:             newRand(s.seed, s.name+name),
		policy:          route.New(),
		breakers:        retry.NewGroup(s.seed),
		budget:          retry.NewBudget(s.seed, time.Now()),
		ctx:             ctx,
		cancel:          cancel,
		done:            make(chan error, 1),
	}
	db.confirmer.init(db)
	go func() {
		db.done <- db.watch(ctx)
		close(db.done) // so that close can be called twice
	}()
	db.wg.Go(func() { db.maintain(ctx) })
	return db
}

func (db *database) close() {
	db.cancel()
	<-db.done
	db.confirmer.close()
	db.wg.Wait()
	db.mu.Lock()
	defer db.mu.Unlock()
	for _, m := range db.members {
		m.close()
	}
}

// group returns the group from the directory.
func (db *database) group() (Group, error) {
	g, ok := db.srv.dir.Group(db.name)
	if !ok {
		return Group{}, errs.New(errs.NotRun, errs.ReasonUnknownDB, "database \""+db.name+"\" is not known")
	}
	return g, nil
}

// member returns the state of a member and creates it at first use. If its address
// has changed, the old state is discarded.
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
	watchPoll          = 200 * time.Millisecond // longest time that the primary delays the answer to a watch call
	watchTimeout       = 450 * time.Millisecond // for the answer to a watch call
	watchRetryInterval = 25 * time.Millisecond  // between attempts to watch the primary
)

// watch reads the positions of the members from the primary until ctx ends.
func (db *database) watch(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := db.srv.dir.Changed()
		if err := db.watchPrimary(ctx); err != nil && ctx.Err() == nil {
			db.srv.log.Debug().Err(err).Str("database", db.name).Msg("watch of the primary failed or the primary changed; connecting again")
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(watchRetryInterval):
		}
	}
	return ctx.Err()
}

var errPrimaryReplaced = eris.New("primary was replaced")

// watchPrimary watches one primary until a call fails or the primary is replaced.
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
			return errPrimaryReplaced
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
	return db.member(b).dialControl(ctx)
}

// watchOnce waits until the primary reports new positions and returns the position
// that a majority holds.
func (db *database) watchOnce(ctx context.Context, c *pgctl.Conn, after group.Position) (group.Position, error) {
	ctx, stop := context.WithTimeout(ctx, watchTimeout)
	defer stop()
	reports, err := c.Watch(ctx, after, watchPoll)
	if err != nil {
		return after, err
	}
	return db.recordReports(reports, time.Now()), nil
}

// recordReports records the positions that the primary reported and returns the
// position that a majority holds.
func (db *database) recordReports(reports []pgctl.MemberPositions, now time.Time) group.Position {
	g, err := db.group()
	if err != nil {
		return group.Position{}
	}
	var majority group.Position
	for _, r := range reports {
		if r.Member == g.Primary {
			db.mu.Lock()
			db.watchSamples.Add(now, r.Held)
			db.mu.Unlock()
		}
	}
	for _, r := range reports {
		if b, ok := g.Member(r.Member); ok {
			db.member(b).recordReport(r.Applied, now)
		}
		db.raiseMajority(r.Majority, now)
		majority = r.Majority
	}
	return majority
}

const (
	sampleInterval = 100 * time.Millisecond // between samples of the confirmed position
	sampleWindow   = 10 * time.Second       // samples are taken for this long after a read
)

// sample records a position of the primary for read bounds by age. A majority round
// that starts after now confirms it; without that, an isolated primary that has been
// replaced would make old data look fresh.
func (db *database) sample(ctx context.Context, now time.Time) {
	if !db.sampleDue(now) {
		return
	}
	p, err := db.confirmer.currentPosition(ctx)
	if err != nil {
		return
	}
	db.mu.Lock()
	defer db.mu.Unlock()
	db.confirmedSamples.Add(now, p)
}

func (db *database) sampleDue(now time.Time) bool {
	db.mu.Lock()
	defer db.mu.Unlock()
	if now.Sub(db.lastRead) > sampleWindow || now.Sub(db.lastSample) < sampleInterval {
		return false
	}
	db.lastSample = now
	return true
}

// recordRead records the arrival of a read, after which samples are taken.
func (db *database) recordRead(now time.Time) {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.lastRead = now
}

// notifyApplied wakes the sessions that wait for a member to apply more.
func (db *database) notifyApplied() {
	db.mu.Lock()
	defer db.mu.Unlock()
	close(db.appliedChanged)
	db.appliedChanged = make(chan struct{})
}

// estimateLag estimates how long ago the primary reached p, or returns 0 if that is
// not known or a majority holds nothing newer.
func (db *database) estimateLag(p group.Position, now time.Time) time.Duration {
	db.mu.Lock()
	defer db.mu.Unlock()
	if !p.Less(db.majorityPosition) {
		return 0
	}
	at, ok := db.watchSamples.Reached(p)
	if !ok {
		return 0
	}
	return now.Sub(at)
}

// raiseMajority records an answer of the primary that says that a majority holds p.
func (db *database) raiseMajority(p group.Position, now time.Time) {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.primaryAnsweredAt = now
	if !db.majorityPosition.Less(p) {
		return
	}
	db.majorityPosition = p
	close(db.majorityChanged)
	db.majorityChanged = make(chan struct{})
}

// durability tells whether a position survives promotions.
type durability int

const (
	notKnown  durability = iota // no majority is known to hold it
	durable                     // a majority holds it
	discarded                   // a later term discarded it
)

// durabilityOf returns what is known about p. The position of the majority is read before the
// history: in the other order it may be one of a later term, which compares as newer than a position
// that this term has discarded.
func (db *database) durabilityOf(p group.Position) (durability, error) {
	db.mu.Lock()
	majority := db.majorityPosition
	db.mu.Unlock()
	g, err := db.group()
	if err != nil {
		return notKnown, err
	}
	state := g.History.StateOf(p)
	switch {
	case state == group.Discarded:
		return discarded, nil
	case majority.Less(p):
		return notKnown, nil
	case majority.Term == p.Term, majority.Term <= g.Term && state == group.Kept:
		return durable, nil
	}
	return notKnown, nil
}

// Observation is what an entry found out about the primary of a database.
type Observation struct {
	Database  string
	Member    string
	Term      uint64
	Reachable bool
	Stalled   bool // it answers, but does not act as the primary
	Position  group.Position
	At        time.Time
}

// observeFailure reports to the observer that the watch of the primary failed. A
// member that answers with an error is reachable but does not act as the primary.
func (db *database) observeFailure(b Backend, term uint64, err error) {
	answered := pgctl.SQLState(err) != ""
	db.observe(Observation{Member: b.Name, Term: term, Reachable: answered, Stalled: answered})
}

func (db *database) observe(o Observation) {
	if db.srv.observer == nil {
		return
	}
	db.mu.Lock()
	o.Position = db.majorityPosition
	db.mu.Unlock()
	o.Database, o.At = db.name, time.Now()
	db.srv.observer.Observe(o)
}

// primaryMember returns the primary according to the directory.
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
