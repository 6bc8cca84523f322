package proxy

import (
	"context"
	"errors"
	"sync"
	"time"

	"tamarackcross/errs"
	"tamarackcross/group"
	"tamarackcross/keep"
	"tamarackcross/roster"
)

const (
	// dialTimeout bounds the opening of a connection, which takes 12 ms at the backend
	// servers of the users and more under load.
	dialTimeout = 400 * time.Millisecond
	// initialLag is the lag assumed of a replica before anything is known.
	initialLag = 200 * time.Millisecond
	// lagMargin is added to an observed lag, which is only a lower bound.
	lagMargin = 30 * time.Millisecond
)

// backendConn is a pooled connection with the session state that it has.
type backendConn struct {
	Conn
	member   *member
	customer string // in whose name it was opened
	values   map[string]string
	prepared map[string]PreparedStatement
	lastUsed time.Time
	dirty    bool // the session state may differ from values and prepared
}

// borrowedConn is a connection with the permit of the request or transaction that uses it. Each loan
// has its own, so that the permit stays with its holder whoever uses the connection next.
type borrowedConn struct {
	*backendConn
	permit permit
	slot   permit // to run the next statement, if it was acquired before the connection was taken
}

// member is one incarnation of a backend server: a restart gives a new member.
type member struct {
	dialer         Dialer
	target         Target
	incarnation    roster.Incarnation
	now            func() time.Time
	connQueue      *admissionQueue // admits requests to connections
	statementQueue *admissionQueue // admits statements to slots of the server
	prober         *prober
	updateLag      func(*member, group.Position)
	use            *customerUse // of the service
	ending         *ending      // of the server
	cancel         context.CancelFunc
	ctx            context.Context

	mu            sync.Mutex
	entry         roster.Entry
	idle          []*backendConn
	inUse         int           // connections that are lent, or being opened
	meanDial      time.Duration // moving average of the time that a dial takes
	demand        *keep.Table   // of customers; nil if there are none
	quota         quota
	concurrency   concurrencyLimit
	noDialBefore  time.Time     // backoff after the server refused a connection
	lag           time.Duration // behind the primary, at lagUpdated
	lagUpdated    time.Time
	failingSince  time.Time // first unanswered probe since the last answer, or zero
	drainingSince time.Time // when it was first acknowledged that it is draining
	loggedStatus  string    // status in the last log line
	keepIdle      bool      // keep idle connections for the next request
}

func newMember(ctx context.Context, d Dialer, e roster.Entry, conns int, now func() time.Time) *member {
	ctx, cancel := context.WithCancel(ctx)
	m := &member{
		dialer: d, target: Target{Addr: e.Addr, Service: e.Service, ID: e.ID}, incarnation: e.Incarnation(),
		now: now, connQueue: newAdmissionQueue(conns, now), statementQueue: newAdmissionQueue(max(minConcurrency, e.Slots), now),
		use: newCustomerUse(nil), ending: newEnding(), concurrency: newConcurrencyLimit(e.Slots), ctx: ctx, cancel: cancel, lag: initialLag, lagUpdated: now(),
	}
	m.update(e, now())
	return m
}

// newProbedMember returns a member that is probed until it is closed.
func (v *service) newProbedMember(e roster.Entry, conns int) *member {
	m := newMember(v.ctx, v.srv.dialer, e, conns, v.srv.now)
	m.updateLag, m.use, m.ending = v.updateLag, v.use, v.srv.ending
	m.prober = newProber(v, m)
	return m
}

// update records the new roster entry of the server.
func (m *member) update(e roster.Entry, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e.State == roster.Draining && (m.drainingSince.IsZero() || e.LeavingSince.Before(m.drainingSince)) {
		m.drainingSince = e.LeavingSince
	}
	m.entry = e
}

// pastLeaveGrace reports whether the server has been leaving for so long that it must not receive any
// more requests.
func (m *member) pastLeaveGrace(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.drainingSince.IsZero() && now.Sub(m.drainingSince) > drainingPrimaryGrace
}

func (m *member) snapshot() roster.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.entry
}

// borrow waits for admission and returns an idle or a new connection.
func (m *member) borrow(ctx context.Context, a admissionRequest) (*borrowedConn, error) {
	m.adaptQuota()
	permit, err := m.connQueue.acquire(ctx, a)
	if err != nil {
		return nil, err
	}
	slot, err := m.awaitSlot(ctx, a)
	if err != nil {
		permit.release()
		return nil, err
	}
	c, err := m.takeOrDial(ctx, a.customer)
	if err != nil {
		slot.release()
		permit.release()
		return nil, err
	}
	return &borrowedConn{c, permit, slot}, nil
}

// takeOrDial returns an idle or a new connection.
func (m *member) takeOrDial(ctx context.Context, customer string) (*backendConn, error) {
	c := m.takeIdle(customer)
	m.recordBorrowed(customer, c != nil)
	if c != nil {
		return c, nil
	}
	m.makeRoom()
	c, err := m.dial(ctx, customer)
	if m.replaceIdle(err) {
		c, err = m.dial(ctx, customer)
	}
	if err != nil {
		m.recordReturned(customer)
	}
	return c, err
}

// maxShareFactor bounds the connections of one instance to a server, as a multiple of
// its equal share.
const maxShareFactor = 3

// setShare sets the equal share of the instance, whether it keeps idle connections, and
// whether the share is fixed.
func (m *member) setShare(share int, keepIdle, fixed bool) {
	ceiling := maxShareFactor * share
	if fixed {
		ceiling = share
	}
	m.mu.Lock()
	m.quota.resize(share, ceiling)
	m.keepIdle = keepIdle
	limit := m.quota.limit
	m.mu.Unlock()
	m.connQueue.resize(limit)
}

// dialBackoff is how long no connection is opened after the server refused one. The
// server counts the connections of a lost instance for another 3 s.
const dialBackoff = 150 * time.Millisecond

func (m *member) canDial() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.now().Before(m.noDialBefore)
}

// adaptQuota adjusts the connection quota to demand.
func (m *member) adaptQuota() {
	inUse, full := m.connQueue.usage()
	now := m.now()
	m.mu.Lock()
	if full {
		m.quota.recordWait(inUse, now)
	} else {
		m.quota.recordUse(inUse, now)
	}
	limit := m.quota.limit
	m.mu.Unlock()
	m.connQueue.resize(limit)
}

// recordConnRefused records that the server accepts no more connections, and lowers
// the quota.
func (m *member) recordConnRefused() {
	inUse, _ := m.connQueue.usage()
	m.mu.Lock()
	now := m.now()
	m.quota.recordRefusal(inUse, now)
	m.use.refused.Add(1)
	m.noDialBefore = now.Add(dialBackoff)
	limit := m.quota.limit
	m.mu.Unlock()
	m.connQueue.resize(limit)
}

func (m *member) dial(ctx context.Context, customer string) (*backendConn, error) {
	if !m.canDial() {
		return nil, errs.New(errs.NotRun, errs.ReasonQueueFull, "the backend server accepts no more connections")
	}
	ctx, stop := context.WithTimeout(ctx, dialTimeout)
	defer stop()
	target := m.target
	target.Customer = customer
	began := m.now()
	conn, err := m.dialer.Dial(ctx, target)
	if err != nil {
		var f *Fault
		if errors.As(err, &f) {
			if f.Code == TooManyConns {
				m.recordConnRefused()
			}
			return nil, err
		}
		return nil, errs.New(errs.NotRun, errs.ReasonConnect, err.Error())
	}
	m.recordDial(m.now().Sub(began))
	m.updateLag(m, conn.Position())
	return &backendConn{Conn: conn, member: m, customer: customer, values: map[string]string{}, prepared: map[string]PreparedStatement{}}, nil
}

// put returns a connection to the pool, and its permit. A connection whose state is unknown is
// closed. The caller must not use it any more: another session may have borrowed it.
func (m *member) put(c *borrowedConn, clean bool) {
	now := m.now()
	c.lastUsed = now
	m.mu.Lock()
	reusable := clean && m.ctx.Err() == nil
	if reusable {
		m.idle = append(m.idle, c.backendConn)
	}
	m.mu.Unlock()
	if !reusable {
		_ = c.Close()
	}
	m.recordReturned(c.customer)
	c.slot.release()
	c.permit.release()
}

// close ends the use of the server. Borrowed connections are closed when they are put
// back. The prober ends after the probe that is under way.
func (m *member) close() {
	m.cancel()
	m.mu.Lock()
	idle := m.idle
	m.idle = nil
	m.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// exec runs commands on a connection and updates the lag of the member from the
// position in the answer.
func (c *backendConn) exec(limit time.Duration, cmds ...Command) ([]Answer, error) {
	if !c.member.ending.begin(c) {
		return nil, ErrNotSent
	}
	out, err := c.Conn.Exec(limit, cmds...)
	c.member.ending.done(c)
	if err == nil {
		c.member.updateLag(c.member, c.Position())
	}
	return out, err
}

// execAdmitted waits for a statement slot and runs a statement. limit bounds the wait
// for the answer. If the admission queue rejects it, or a lease that it needs is missing, an
// errs.Error says so and nothing has been sent.
func (c *borrowedConn) execAdmitted(ctx context.Context, w *operation, limit time.Duration, cmds ...Command) ([]Answer, error) {
	m, slot := c.member, c.slot
	if c.slot = (permit{}); slot == c.slot {
		var err error
		if slot, err = m.statementQueue.acquire(ctx, w.admissionRequest(w.svc.expectedDuration(w.session.database))); err != nil {
			return nil, err
		}
	}
	defer slot.release()
	if err := w.requireCustomer(); err != nil {
		return nil, err
	}
	if w.needsLease {
		if err := w.requireLease(m); err != nil {
			return nil, err
		}
	}
	if w.session.tx == nil {
		if m.pastLeaveGrace(m.now()) {
			return nil, errs.New(errs.NotRun, errs.ReasonNoPrimary, "the backend server is about to stop")
		}
		if err := w.requireToken(ctx); err != nil {
			return nil, err
		}
	}
	sent := m.now()
	out, err := c.exec(limit, cmds...)
	if w.session.tx == nil {
		w.spendToken(out, err)
	}
	if w.replicationWait {
		return out, err
	}
	now := m.now()
	m.use.recordStatement(now.Sub(sent))
	m.adjustConcurrency(w.svc.queueDelay(w.session.database, m, now.Sub(sent)), now)
	return out, err
}

// canServeLocally reports whether the server is in the given zone and a read can run
// there at once on a connection that this instance keeps.
func (m *member) canServeLocally(zone string) bool {
	_, full := m.connQueue.usage()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.keepIdle && !full && m.entry.Zone == zone && !m.now().Before(m.noDialBefore)
}

// congested reports whether statements wait in the queue of the server.
func (m *member) congested() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.concurrency.meanDelay > lowQueueDelay
}

// adjustConcurrency updates the concurrency limit with the queue delay of an answer.
func (m *member) adjustConcurrency(delay time.Duration, now time.Time) {
	_, full := m.statementQueue.usage()
	m.mu.Lock()
	m.concurrency.recordDelay(delay, full, now)
	allowed := m.concurrency.allowed()
	m.mu.Unlock()
	m.statementQueue.resize(allowed)
}

// expectedWait returns how long a statement that arrives now would wait, here and at
// the server. Server delays within highQueueDelay are ignored, since answer times vary
// by as much without a queue.
func (m *member) expectedWait(priority int) time.Duration {
	localWait := m.statementQueue.expectedWait(priority)
	m.mu.Lock()
	defer m.mu.Unlock()
	return localWait + max(0, m.concurrency.meanDelay-highQueueDelay)
}

// hasQueue reports whether statements wait, here or at the server.
func (m *member) hasQueue() bool {
	_, full := m.statementQueue.usage()
	m.mu.Lock()
	defer m.mu.Unlock()
	return full || m.concurrency.meanDelay > lowQueueDelay
}

// clearFailing discards the outcomes of earlier probes.
func (m *member) clearFailing() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failingSince = time.Time{}
}

// failingFor returns how long the server has not answered probes, or 0.
func (m *member) failingFor(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failingSince.IsZero() {
		return 0
	}
	return max(now.Sub(m.failingSince), 1)
}

// setLag sets how far the server is behind the primary.
func (m *member) setLag(lag time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lag, m.lagUpdated = lag+lagMargin, now
}

// raiseLag records that the log did not include what the primary held at heldAt.
func (m *member) raiseLag(heldAt time.Time) {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if behind := now.Sub(heldAt); behind >= m.lag {
		m.lag, m.lagUpdated = behind+lagMargin, now
	}
}

func (m *member) estimatedLag() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lag
}
