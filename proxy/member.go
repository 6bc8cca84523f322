package proxy

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"tamarackcross/errs"
	"tamarackcross/group"
	"tamarackcross/roster"
)

const (
	// dialLimit bounds the opening of a connection: a new one takes 12 ms at the
	// users' backend servers, more under load.
	dialLimit = 400 * time.Millisecond
	// idleLimit is how long a connection may stay unused: half of the 60 s after
	// which the users' backend servers close it.
	idleLimit = 30 * time.Second
	// extraIdle is how long a connection beyond the equal share may stay unused, so
	// that other instances find room.
	extraIdle = time.Second
	// scarceIdle is the same where connections are scarce.
	scarceIdle = 300 * time.Millisecond
	// firstLag is assumed of a replica before anything is known.
	firstLag = 200 * time.Millisecond
	// lagMargin is added to the lag that was seen, since it is a lower bound.
	lagMargin = 30 * time.Millisecond
)

// backendConn is a pooled connection with the session state that it carries.
type backendConn struct {
	Conn
	member   *member
	ticket   ticket
	values   map[string]string
	prepared map[string]Shape
	used     time.Time
	dirty    bool // session values may differ from those recorded
}

// member is one start of a backend server as this instance sees it.
type member struct {
	dialer  Dialer
	target  Target
	start   roster.Start
	now     func() time.Time
	lane    *lane // for connections
	running *lane // for statements that take a slot
	prober  *prober
	observe func(*member, group.Position)
	closeIt context.CancelFunc
	ctx     context.Context

	mu        sync.Mutex
	entry     roster.Entry
	idle      []*backendConn
	quota     quota
	pace      pace
	dialAfter time.Time     // no connection is opened before
	lag       time.Duration // how far behind the primary it was at lagAt
	lagAt     time.Time
	failing   time.Time // first probe without an answer since the last one with, or zero
	drainedAt time.Time // when it was first known to leave
	standing  string    // as it was last logged
	keep      bool      // idle connections are kept
}

func newMember(ctx context.Context, d Dialer, e roster.Entry, slots int, now func() time.Time) *member {
	ctx, cancel := context.WithCancel(ctx)
	m := &member{
		dialer: d, target: Target{Addr: e.Addr, Service: e.Service, ID: e.ID}, start: e.Start(),
		now: now, lane: newLane(slots, now), running: newLane(max(leastPace, e.Slots), now), pace: newPace(e.Slots), ctx: ctx, closeIt: cancel, lag: firstLag, lagAt: now(),
	}
	m.update(e, now())
	return m
}

// newProbedMember returns a member that is probed until it is closed.
func (v *service) newProbedMember(e roster.Entry, slots int) *member {
	m := newMember(v.ctx, v.srv.dialer, e, slots, v.srv.now)
	m.observe = v.observe
	m.prober = newProber(v, m)
	return m
}

// update takes in what the server announced.
func (m *member) update(e roster.Entry, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e.State == roster.Draining && m.drainedAt.IsZero() {
		m.drainedAt = now
	}
	m.entry = e
}

func (m *member) snapshot() roster.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.entry
}

// borrow returns a connection.
func (m *member) borrow(ctx context.Context, a ask) (*backendConn, error) {
	m.adapt()
	t, err := m.lane.enter(ctx, a)
	if err != nil {
		return nil, err
	}
	if c := m.reuse(); c != nil {
		c.ticket = t
		return c, nil
	}
	c, err := m.dial(ctx)
	if err != nil {
		m.lane.leave(t)
		return nil, err
	}
	c.ticket = t
	return c, nil
}

// mostPart is the part of the connections of a server that one instance may hold,
// as a multiple of its equal share.
const mostPart = 3

// allot sets the equal share of the instance, and whether it keeps connections that
// are idle.
func (m *member) allot(share int, keep bool) {
	m.mu.Lock()
	m.quota.resize(share, mostPart*share)
	m.keep = keep
	limit := m.quota.limit
	m.mu.Unlock()
	m.lane.resize(limit)
}

// crowdedPause is how long no connection is opened after the server refused one:
// it counts those of a lost peer for 3 s.
const crowdedPause = 150 * time.Millisecond

func (m *member) mayDial() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.now().Before(m.dialAfter)
}

// adapt lets the quota follow demand.
func (m *member) adapt() {
	inUse, full := m.lane.full()
	now := m.now()
	m.mu.Lock()
	if full {
		m.quota.wanted(inUse, now)
	} else {
		m.quota.use(inUse, now)
	}
	limit := m.quota.limit
	m.mu.Unlock()
	m.lane.resize(limit)
}

// crowded records that the server accepts no more connections.
func (m *member) crowded() {
	inUse, _ := m.lane.full()
	m.mu.Lock()
	now := m.now()
	m.quota.refused(inUse, now)
	m.dialAfter = now.Add(crowdedPause)
	limit := m.quota.limit
	m.mu.Unlock()
	m.lane.resize(limit)
}

// reuse returns the connection that was used last, so that the others can age.
func (m *member) reuse() *backendConn {
	for {
		m.mu.Lock()
		n := len(m.idle)
		if n == 0 {
			m.mu.Unlock()
			return nil
		}
		c := m.idle[n-1]
		m.idle = m.idle[:n-1]
		m.mu.Unlock()
		if c.Alive() {
			return c
		}
		_ = c.Close()
	}
}

func (m *member) dial(ctx context.Context) (*backendConn, error) {
	if !m.mayDial() {
		return nil, errs.New(errs.NotRun, errs.ReasonQueueFull, "the backend server accepts no more connections")
	}
	ctx, stop := context.WithTimeout(ctx, dialLimit)
	defer stop()
	conn, err := m.dialer.Dial(ctx, m.target)
	if err != nil {
		var f *Fault
		if errors.As(err, &f) {
			if f.Code == TooManyConns {
				m.crowded()
			}
			return nil, err
		}
		return nil, errs.New(errs.NotRun, errs.ReasonConnect, err.Error())
	}
	m.observe(m, conn.Position())
	return &backendConn{Conn: conn, member: m, values: map[string]string{}, prepared: map[string]Shape{}}, nil
}

// put hands a connection back. One whose state is unknown is closed.
func (m *member) put(c *backendConn, clean bool) {
	now := m.now()
	c.used = now
	m.mu.Lock()
	keep := clean && m.ctx.Err() == nil
	if keep {
		m.idle = append(m.idle, c)
	}
	m.mu.Unlock()
	if !keep {
		_ = c.Close()
	}
	m.lane.leave(c.ticket)
}

// trim closes connections that have not been used for long.
func (m *member) trim(now time.Time) {
	m.mu.Lock()
	var old []*backendConn
	limit := idleLimit
	if len(m.idle) > m.quota.share/2 {
		limit = extraIdle
	}
	if !m.keep {
		limit = scarceIdle
	}
	m.idle = slices.DeleteFunc(m.idle, func(c *backendConn) bool {
		if now.Sub(c.used) < limit {
			return false
		}
		old = append(old, c)
		return true
	})
	m.mu.Unlock()
	for _, c := range old {
		_ = c.Close()
	}
}

// close ends the use of the server. Connections that are borrowed end when they
// are handed back.
func (m *member) close() {
	m.closeIt()
	<-m.prober.done
	m.mu.Lock()
	idle := m.idle
	m.idle = nil
	m.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// exec runs commands on a connection and records what the answers show.
func (c *backendConn) exec(limit time.Duration, cmds ...Command) ([]Answer, error) {
	out, err := c.Conn.Exec(limit, cmds...)
	if err == nil {
		c.member.observe(c.member, c.Position())
	}
	return out, err
}

// execute runs a statement that takes a slot, at the latest at latest. What is
// refused here has not been sent.
func (c *backendConn) execute(ctx context.Context, w *work, limit time.Duration, cmds ...Command) ([]Answer, error) {
	m := c.member
	t, err := m.running.enter(ctx, w.ask(w.svc.expected(w.session.database)))
	if err != nil {
		return nil, err
	}
	defer m.running.leave(t)
	sent := m.now()
	out, err := c.exec(limit, cmds...)
	if w.waits {
		return out, err
	}
	now := m.now()
	m.adjust(w.svc.delayOf(w.session.database, m, now.Sub(sent)), now)
	return out, err
}

// near reports whether a read can run at the server at once on a connection that
// this instance keeps to it.
func (m *member) near(zone string) bool {
	_, full := m.lane.full()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.keep && !full && m.entry.Zone == zone && !m.now().Before(m.dialAfter)
}

// crowdedNow reports whether the server keeps statements waiting.
func (m *member) crowdedNow() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pace.delay > fastDelay
}

// adjust lets the pace follow the delay of an answer.
func (m *member) adjust(delay time.Duration, now time.Time) {
	_, waiting := m.running.full()
	m.mu.Lock()
	m.pace.answered(delay, waiting, now)
	allowed := m.pace.allowed()
	m.mu.Unlock()
	m.running.resize(allowed)
}

// wait returns how long a statement that came now would wait, here and at the
// server. A delay that the pace allows says nothing: answers vary by as much.
func (m *member) wait(priority int) time.Duration {
	here := m.running.wait(priority)
	m.mu.Lock()
	defer m.mu.Unlock()
	return here + max(0, m.pace.delay-slowDelay)
}

// queued reports whether statements wait, here or at the server.
func (m *member) queued() bool {
	_, full := m.running.full()
	m.mu.Lock()
	defer m.mu.Unlock()
	return full || m.pace.delay > fastDelay
}

// forgetFailing drops what probes have shown.
func (m *member) forgetFailing() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failing = time.Time{}
}

// failingFor returns how long the server has not answered, or 0.
func (m *member) failingFor(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failing.IsZero() {
		return 0
	}
	return max(now.Sub(m.failing), 1)
}

// setLag records how far behind the primary the server is.
func (m *member) setLag(lag time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lag, m.lagAt = lag+lagMargin, now
}

// lacked records that the log did not hold what the primary had at at.
func (m *member) lacked(at time.Time) {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if behind := now.Sub(at); behind >= m.lag {
		m.lag, m.lagAt = behind+lagMargin, now
	}
}

// estimatedLag returns how far the server is believed to be behind.
func (m *member) estimatedLag() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lag
}
