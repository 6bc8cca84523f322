package entry

import (
	"context"
	"sync"
	"time"

	"tamarackcross/errs"
	"tamarackcross/fleet"
	"tamarackcross/group"
	"tamarackcross/pgctl"
	"tamarackcross/pool"
)

const (
	connectTimeout = 2 * time.Second        // for opening a connection
	probeReuse     = 200 * time.Millisecond // one probe answers for all requests within this
)

// member is one backend server as this entry uses it: its slots, its
// connections and what is known about its position.
type member struct {
	db          *database
	name        string
	zone        string
	addr        string
	dial        DialFunc
	connections int
	gate        *gate

	mu      sync.Mutex
	idle    []*backendConn
	open    int // connections that are open or being opened
	opening int // of these, opened ahead of demand
	nextID  uint64
	plan    *pool.Plan
	freed   chan struct{}
	closed  bool
	applied group.Position
	asOf    time.Time
	lag     time.Duration // from commit at the primary to visibility here
	leaveAt time.Time     // when the member was first seen to be leaving

	wanted    group.Position // newest position that a session waits for
	following bool

	probeMu sync.Mutex
	probed  time.Time
	alive   bool
}

func newMember(db *database, b Backend) *member {
	policy := db.srv.policies.Resolve(fleet.Scope{Database: db.name})
	m := &member{
		db:          db,
		name:        b.Name,
		zone:        b.Zone,
		addr:        b.Addr,
		dial:        db.srv.dial,
		connections: max(1, b.Connections),
		gate:        newGate(max(1, b.Slots), policy),
		freed:       make(chan struct{}),
		plan:        pool.New(pool.WithProbe(policy.ProbeInterval), pool.WithSpare(policy.IdleConnections), pool.WithSilence(policy.SilenceLimit)),
	}
	if db.srv.leases != nil {
		m.gate = newGate(0, policy)
		m.gate.Unowned(true)
		m.gate.lease = db.srv.leases.Join(db.name, b.Name, m.gate)
	}
	return m
}

// observe raises the position that the member is known to have applied.
func (m *member) observe(p group.Position, now time.Time) {
	m.mu.Lock()
	rose := m.applied.Less(p)
	if rose {
		m.applied = p
	}
	m.asOf = now
	waited := rose && !m.wanted.IsZero()
	m.mu.Unlock()
	if waited {
		m.db.move()
	}
}

// learn takes in the position from a report of the primary, and with it the lag.
func (m *member) learn(p group.Position, now time.Time) {
	lag := m.db.lagOf(p, now)
	m.mu.Lock()
	m.lag = lag
	m.mu.Unlock()
	m.observe(p, now)
}

func (m *member) position() (group.Position, time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.applied, m.asOf
}

// take returns an idle connection or opens one. It waits while the limit is
// reached. The caller holds a slot.
func (m *member) take(ctx context.Context) (*backendConn, error) {
	for {
		b, freed, err := m.tryTake()
		if err != nil {
			return nil, err
		}
		if b != nil {
			return b, nil
		}
		if freed == nil {
			return m.openConn(ctx)
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// tryTake returns an idle connection, or nothing when one may be opened, or the
// channel to wait on when the limit is reached.
func (m *member) tryTake() (*backendConn, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return nil, nil, errs.New(errs.NotRun, errs.ReasonNoMember, "backend server is gone")
	}
	if n := len(m.idle); n > 0 {
		b := m.idle[n-1]
		m.idle = m.idle[:n-1]
		return b, nil, nil
	}
	if m.open < m.limit() {
		m.open++
		return nil, nil, nil
	}
	return nil, m.freed, nil
}

// openConn opens a connection that tryTake has counted.
func (m *member) openConn(ctx context.Context) (*backendConn, error) {
	ctx, stop := context.WithTimeout(ctx, connectTimeout)
	defer stop()
	h, err := pgctl.Connect(ctx, m.dial, m.target())
	if err != nil {
		m.closedOne()
		return nil, errs.New(errs.NotRun, errs.ReasonConnect, "no connection to the backend server could be opened")
	}
	b := newBackendConn(m, h, time.Now())
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nextID++
	b.id = m.nextID
	return b, nil
}

func (m *member) closedOne() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open--
	m.wake()
}

// wake tells everyone who waits for a connection to try again. The caller
// holds mu.
func (m *member) wake() {
	close(m.freed)
	m.freed = make(chan struct{})
}

// put returns a connection. One whose state is in doubt is closed.
func (m *member) put(b *backendConn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if b.tainted || b.cancelled.Load() || m.closed || b.wc.Buffered() {
		m.open--
		b.close()
	} else {
		b.used = time.Now()
		m.idle = append(m.idle, b)
	}
	m.wake()
}

// dropIdle closes the idle connections, for instance after the path to the
// member was lost.
func (m *member) dropIdle() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, b := range m.idle {
		b.close()
		m.open--
	}
	m.idle = nil
	m.wake()
}

func (m *member) close() {
	m.gate.drain(errs.ReasonNoMember)
	if m.gate.lease != nil {
		m.gate.lease.Leave()
	}
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.dropIdle()
}

// probe asks the member for its status on a new connection of the control role.
// It tells a slow backend server, which answers, from a lost path.
func (m *member) probe(ctx context.Context, limit time.Duration, now time.Time) bool {
	m.probeMu.Lock()
	defer m.probeMu.Unlock()
	if now.Sub(m.probed) < probeReuse {
		return m.alive
	}
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	err := m.ping(ctx)
	m.probed, m.alive = time.Now(), err == nil
	return m.alive
}

func (m *member) ping(ctx context.Context) error {
	c, err := m.control(ctx)
	if err != nil {
		return err
	}
	defer c.Close()
	_, err = c.Status(ctx)
	return err
}

// target says how to reach the member with the credentials of the entry.
func (m *member) target() pgctl.Target {
	cred := m.db.srv.cred
	return pgctl.Target{Addr: m.addr, Database: m.db.name, User: cred.User, Password: cred.Password}
}

// control opens a connection of the control role.
func (m *member) control(ctx context.Context) (*pgctl.Conn, error) {
	return pgctl.Dial(ctx, m.dial, m.target())
}

// ask runs one statement of the proxy on a connection of its own.
func (m *member) ask(ctx context.Context, sql string) ([][]string, error) {
	c, err := m.control(ctx)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	return c.Query(ctx, sql)
}
