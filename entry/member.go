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
	connectTimeout = 2 * time.Second        // for opening a backend connection
	probeCacheTTL  = 200 * time.Millisecond // how long the result of a health probe is reused
)

// member is the state of one backend server at this entry: the admission queue for
// its slots, the connection pool and the position that it has applied.
type member struct {
	db          *database
	name        string
	zone        string
	addr        string
	dial        DialFunc
	connections int // limit of the member, divided among the entries
	slots       *slotQueue

	mu           sync.Mutex
	idle         []*backendConn
	open         int // connections that are open or being opened
	opening      int // of these, being opened in advance of demand
	nextID       uint64
	plan         *pool.Plan
	connFreed    chan struct{} // closed when a connection or room for one becomes free
	closed       bool
	applied      group.Position
	asOf         time.Time     // when applied was last reported
	lag          time.Duration // replication lag: from commit at the primary to visibility at the member
	leavingSince time.Time     // when the member was first seen to be leaving

	awaitedPosition group.Position // newest position for which a session waits, zero if none
	polling         bool           // pollLoop runs

	probeMu  sync.Mutex
	probedAt time.Time
	probeOK  bool
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
		slots:       newSlotQueue(max(1, b.Slots), policy),
		connFreed:   make(chan struct{}),
		plan:        pool.New(pool.WithProbeInterval(policy.ProbeInterval), pool.WithSpareConns(policy.IdleConnections), pool.WithSilenceLimit(policy.SilenceLimit)),
	}
	if db.srv.leases != nil {
		m.slots = newSlotQueue(0, policy)
		m.slots.SetUnowned(true)
		m.slots.lease = db.srv.leases.Join(db.name, b.Name, m.slots)
	}
	return m
}

// recordApplied records that the member has applied p as of now.
func (m *member) recordApplied(p group.Position, now time.Time) {
	m.mu.Lock()
	advanced := m.applied.Less(p)
	if advanced {
		m.applied = p
	}
	m.asOf = now
	awaited := advanced && !m.awaitedPosition.IsZero()
	m.mu.Unlock()
	if awaited {
		m.db.notifyApplied()
	}
}

// recordReport records the position of the member from a report of the primary and
// updates its replication lag.
func (m *member) recordReport(p group.Position, now time.Time) {
	lag := m.db.estimateLag(p, now)
	m.mu.Lock()
	m.lag = lag
	m.mu.Unlock()
	m.recordApplied(p, now)
}

func (m *member) position() (group.Position, time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.applied, m.asOf
}

// take returns an idle connection or opens one. It waits while the connection limit
// is reached. The caller must hold a slot.
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

// tryTake returns an idle connection, or the channel to wait on if the connection
// limit is reached. If both are nil it has counted a connection that the caller
// must open.
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
	if m.open < m.connLimit() {
		m.open++
		return nil, nil, nil
	}
	return nil, m.connFreed, nil
}

// openConn opens a connection that is already counted in open.
func (m *member) openConn(ctx context.Context) (*backendConn, error) {
	ctx, stop := context.WithTimeout(ctx, connectTimeout)
	defer stop()
	h, err := pgctl.Connect(ctx, m.dial, m.target())
	if err != nil {
		m.connClosed()
		return nil, errs.New(errs.NotRun, errs.ReasonConnect, "no connection to the backend server could be opened")
	}
	b := newBackendConn(m, h, time.Now())
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nextID++
	b.id = m.nextID
	return b, nil
}

func (m *member) connClosed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open--
	m.wakeWaiters()
}

// wakeWaiters wakes the requests that wait for a connection. The caller holds mu.
func (m *member) wakeWaiters() {
	close(m.connFreed)
	m.connFreed = make(chan struct{})
}

// put returns a connection to the pool, or closes it if its state is uncertain.
func (m *member) put(b *backendConn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if b.tainted || b.cancelled.Load() || m.closed || b.wire.Buffered() {
		m.open--
		b.close()
	} else {
		b.used = time.Now()
		m.idle = append(m.idle, b)
	}
	m.wakeWaiters()
}

// dropIdle closes the idle connections, which may be silent after a failure of the
// member or of the path to it.
func (m *member) dropIdle() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, b := range m.idle {
		b.close()
		m.open--
	}
	m.idle = nil
	m.wakeWaiters()
}

func (m *member) close() {
	m.slots.close(errs.ReasonNoMember)
	if m.slots.lease != nil {
		m.slots.lease.Leave()
	}
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.dropIdle()
}

// probeHealth reports whether the member answers a status call on a new control
// connection. A slow backend server still answers; one that cannot be reached does
// not.
func (m *member) probeHealth(ctx context.Context, limit time.Duration, now time.Time) bool {
	m.probeMu.Lock()
	defer m.probeMu.Unlock()
	if now.Sub(m.probedAt) < probeCacheTTL {
		return m.probeOK
	}
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	err := m.ping(ctx)
	m.probedAt, m.probeOK = time.Now(), err == nil
	return m.probeOK
}

func (m *member) ping(ctx context.Context) error {
	c, err := m.dialControl(ctx)
	if err != nil {
		return err
	}
	defer c.Close()
	_, err = c.Status(ctx)
	return err
}

// target returns the address of the member and the credentials for it.
func (m *member) target() pgctl.Target {
	cred := m.db.srv.credentials
	return pgctl.Target{Addr: m.addr, Database: m.db.name, User: cred.User, Password: cred.Password}
}

// dialControl opens a control connection to the member, for group functions and
// statements of the proxy itself. They do not wait for a slot.
func (m *member) dialControl(ctx context.Context) (*pgctl.Conn, error) {
	return pgctl.Dial(ctx, m.dial, m.target())
}

// queryOnce runs one statement of the proxy on a control connection of its own.
func (m *member) queryOnce(ctx context.Context, sql string) ([][]string, error) {
	c, err := m.dialControl(ctx)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	return c.Query(ctx, sql)
}
