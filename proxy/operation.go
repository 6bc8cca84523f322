package proxy

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"os"
	"slices"
	"time"

	"tamarackcross/config"
	"tamarackcross/errs"
	"tamarackcross/route"
)

const (
	// noMemberWaitDivisor determines how long a request waits while no member can serve
	// it: the latency objective divided by it.
	noMemberWaitDivisor = 4
	// retryDelay is the time between attempts at a busy backend server: about the
	// duration of a short statement.
	retryDelay = 15 * time.Millisecond
	// retryAfter is the delay that a rejected caller is told: about the duration of a
	// promotion.
	retryAfter = time.Second
	// firstAttemptFraction of the time limit is given to the first attempt of a
	// read, so that a lost answer leaves time for another member.
	firstAttemptFraction = 0.55
)

// operation is one read, write or commit from its arrival to its answer.
type operation struct {
	session         *session
	req             Request
	writes          bool
	preparedName    string // name of the prepared statement in the session
	arrived         time.Time
	route           config.Route
	svc             *service
	attempts        int
	retryAfter      time.Duration // that a refusal beyond the cap of the customer tells, else 0
	notAdmitted     bool          // the admission queue of this instance rejected the last attempt
	replicationWait bool          // the member may delay the current attempt until it has applied the read bound
	needsLease      bool          // the current attempt relies on the member as the primary
	epoch           uint64        // of the lease under which the current attempt was sent
}

func (w *operation) now() time.Time { return w.session.srv.now() }

// deadline is when the statement must have ended.
func (w *operation) deadline() time.Time { return w.arrived.Add(w.route.Timeout) }

// noMemberDeadline is until when a request waits while no member can serve it.
func (w *operation) noMemberDeadline() time.Time {
	return w.arrived.Add(min(w.route.LatencyGoal/noMemberWaitDivisor, w.route.Timeout))
}

// admitBy is until when a request may wait in an admission queue.
func (w *operation) admitBy() time.Time {
	return w.arrived.Add(min(w.route.LatencyGoal, w.route.Timeout))
}

// admissionRequest describes the request to the admission queue of a backend server.
func (w *operation) admissionRequest(expected time.Duration) admissionRequest {
	return admissionRequest{caller: w.session.flow(), customer: w.session.customer, weight: w.session.flowWeight(), priority: w.priority(), startBy: w.admitBy(), expected: expected, gone: w.session.caller.Gone}
}

// customerPriorities is the number of priorities of customers that are told apart in queues.
const customerPriorities = 8

// priority orders the requests that wait for a backend server: by the priority of the
// route, at equal priority the statements of open transactions first, since these
// hold a connection and locks, and then by the priority of the customer. Lower values go first.
func (w *operation) priority() int {
	p := 2*w.route.Priority + 1
	if tx := w.session.tx; tx != nil && tx.conn != nil {
		p--
	}
	return p*customerPriorities + min(w.session.customerPriority, customerPriorities-1)
}

// backoff waits for d. It returns false at once if that would end after until, and
// false when ctx ends or the caller has left.
func (w *operation) backoff(ctx context.Context, d time.Duration, until time.Time) bool {
	if w.now().Add(d).After(until) {
		return false
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return !w.session.caller.Gone()
	case <-ctx.Done():
		return false
	}
}

// backendStatementName returns the name of a prepared statement on connections to
// backend servers. It is the same for all sessions, so that they share prepared
// statements.
func backendStatementName(s PreparedStatement) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s.Text))
	kind := "r"
	if s.Writes {
		kind = "w"
	}
	return fmt.Sprintf("%s%x", kind, h.Sum64())
}

// sessionSetup returns the commands that give a connection the values and the prepared
// statement of the session, and records their effect on it.
func (w *operation) sessionSetup(c *borrowedConn) []Command {
	var cmds []Command
	reset := c.dirty
	for name := range c.values {
		if _, ok := w.session.values[name]; !ok {
			reset = true
		}
	}
	name, stmt := "", PreparedStatement{}
	if w.preparedName != "" {
		stmt = w.session.prepared[w.preparedName]
		name = backendStatementName(stmt)
		if old, ok := c.prepared[name]; ok && old != stmt {
			reset = true
		}
	}
	if reset {
		cmds = append(cmds, Reset{})
		c.values, c.prepared, c.dirty = map[string]string{}, map[string]PreparedStatement{}, false
	}
	for k, v := range w.session.values {
		if old, ok := c.values[k]; !ok || old != v {
			cmds = append(cmds, SetValue{Name: k, Value: v})
			c.values[k] = v
		}
	}
	if name != "" {
		if _, ok := c.prepared[name]; !ok {
			cmds = append(cmds, PrepareStatement{Name: name, Statement: stmt})
			c.prepared[name] = stmt
		}
	}
	return cmds
}

var errSessionSetup = errors.New("cannot set up the session values and prepared statement on the backend connection")

// setUpSession applies the session state to a connection in a step of its own, before
// a statement that must not run twice.
func (w *operation) setUpSession(c *borrowedConn) error {
	cmds := w.sessionSetup(c)
	if len(cmds) == 0 {
		return nil
	}
	answers, err := c.exec(w.deadline().Sub(w.now()), cmds...)
	if err != nil {
		return err
	}
	for _, a := range answers {
		if a.Fault != nil {
			return errSessionSetup
		}
	}
	return nil
}

// command returns the command that sends the statement of the caller. The member must
// hold the position of bound.
func (w *operation) command(bound readBound) Command {
	if st, ok := w.req.Statement.(Execute); ok {
		return RunPrepared{ID: w.req.ID, Name: backendStatementName(w.session.prepared[w.preparedName]), Args: st.Args, After: bound.position}
	}
	return Run{ID: w.req.ID, Text: w.req.Text, After: bound.position}
}

// readBound returns the bound of a read by the freshness of its route. It is unknown
// if only the primary can tell.
func (w *operation) readBound() readBound {
	switch w.route.Freshness {
	case config.Bounded:
		return w.svc.readBoundFor(w.arrived.Add(-w.route.MaxAge), timedPosition{})
	case config.Session:
		return w.svc.readBoundFor(w.arrived.Add(-w.route.MaxAge), w.session.lastCommits[w.route.Service])
	default:
		return readBound{}
	}
}

// placement is the member chosen for a read and the bound to be met there.
type placement struct {
	member *member
	bound  readBound
}

// routeQuery describes the request for the routing decision.
func (w *operation) routeQuery(now time.Time, exclude []string) route.Query {
	return route.Query{
		Zone: w.session.srv.zone, Deadline: w.deadline(), Waited: now.Sub(w.arrived), Exclude: exclude,
		Expected: w.svc.expectedDuration(w.session.database), Priority: w.priority(),
	}
}

// chooseMember returns a member for a read. It waits for one as long as its time
// limits allow.
func (w *operation) chooseMember(ctx context.Context, exclude []string) (placement, *Fault) {
	for {
		now := w.now()
		bound := w.readBound()
		if w.route.Freshness == config.Latest {
			return w.confirmPrimary(ctx, now)
		}
		switch choice := w.svc.pickMember(w.routeQuery(now, exclude), bound, w.session.customer, now).(type) {
		case route.Use:
			if choice.Confirm {
				return w.confirmPrimary(ctx, now)
			}
			if m := w.svc.member(choice.Name); m != nil {
				return placement{member: m, bound: bound}, nil
			}
		case route.Wait:
			if w.backoff(ctx, max(choice.Until.Sub(now), time.Millisecond), w.admitBy()) {
				continue
			}
			return placement{}, w.reject(errs.ReasonDeadline)
		case route.Reject:
			if !bound.known || len(exclude) > 0 {
				return w.confirmPrimary(ctx, now)
			}
			if !w.backoff(ctx, retryDelay, w.noMemberDeadline()) {
				return placement{}, w.reject(choice.Reason)
			}
		}
	}
}

// confirmPrimary waits for a proof of primary that begins after now. The member that
// gives it holds every commit acknowledged before that time.
func (w *operation) confirmPrimary(ctx context.Context, now time.Time) (placement, *Fault) {
	limit := w.noMemberDeadline()
	if limit.Before(now.Add(primarySearchInterval)) {
		limit = now.Add(primarySearchInterval)
	}
	p := w.svc.awaitProof(ctx, now, limit)
	if p.member == nil || p.member.pastLeaveGrace(w.now()) {
		return placement{}, w.reject(errs.ReasonNoPrimary)
	}
	return placement{member: p.member, bound: readBound{timedPosition: timedPosition{at: p.at}, known: true}}, nil
}

// read runs a read outside a transaction. A read can be repeated safely.
func (w *operation) read(ctx context.Context) Answer {
	var exclude []string
	for {
		p, f := w.chooseMember(ctx, exclude)
		if f != nil {
			return w.session.refuse(f)
		}
		a, reason := w.readAt(ctx, p)
		if reason == "" {
			return a
		}
		if reason == errs.ReasonCancelled || reason == errs.ReasonCap || w.notAdmitted && (w.route.Freshness == config.Latest || slices.Contains(exclude, p.member.target.ID)) {
			return w.session.refuse(w.reject(reason))
		}
		w.recordRetry(reason, p.member)
		exclude = append(exclude, p.member.target.ID)
		if w.route.Freshness == config.Latest || len(exclude) > 2 {
			exclude = nil
			if !w.backoff(ctx, retryDelay, w.admitBy()) {
				return w.session.refuse(w.reject(reason))
			}
		}
		if !w.now().Before(w.deadline()) {
			return w.session.refuse(fault(Timeout, "no answer within the time limit"))
		}
	}
}

// readAt runs a read at one member. A reason in the result means that the read may be
// tried again.
func (w *operation) readAt(ctx context.Context, p placement) (Answer, errs.Reason) {
	w.logRouted(p)
	w.notAdmitted = false
	c, err := w.borrow(ctx, p.member)
	if err != nil {
		return Answer{}, w.handleBorrowError(p.member, err)
	}
	w.replicationWait = w.mayAwaitReplication(p)
	cmds := append(w.sessionSetup(c), w.command(p.bound))
	limit := w.deadline().Sub(w.now())
	if w.attempts == 0 {
		limit = time.Duration(float64(limit) * firstAttemptFraction)
	}
	answers, err := c.execAdmitted(ctx, w, limit, cmds...)
	if e := errs.As(err); e != nil {
		w.notAdmitted = true
		c.dirty = true // the commands of sessionSetup were not sent
		w.put(c, true)
		return Answer{}, e.Reason()
	}
	if err != nil {
		w.put(c, false)
		if !p.bound.position.IsZero() && isTimeout(err) {
			p.member.raiseLag(p.bound.at) // a replica answers only when it has the position
			return Answer{}, errs.ReasonBoundUnknown
		}
		w.svc.recordOutcome(p.member, false)
		return Answer{}, errs.ReasonBackendLost
	}
	w.svc.recordOutcome(p.member, true)
	a := answers[len(answers)-1]
	for _, before := range answers[:len(answers)-1] {
		if before.Fault != nil {
			w.put(c, false)
			return Answer{}, errs.ReasonBackendLost
		}
	}
	w.put(c, a.Status == Idle)
	if a.Fault == nil {
		w.recordServed(p.member)
		return Answer{Rows: a.Rows, Signature: a.Signature, Position: a.Position, Status: Idle}, ""
	}
	return w.handleReadFault(p, a)
}

// mayAwaitReplication reports whether the member may delay the read until it has
// applied the position of the read bound. Such a delay says nothing about its queue.
func (w *operation) mayAwaitReplication(p placement) bool {
	return !p.bound.position.IsZero() && w.now().Sub(p.bound.at) < 2*p.member.estimatedLag()
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// handleReadFault records a fault that a member returned for a read. It returns the
// reason if the read may be tried again, else the answer to the caller.
func (w *operation) handleReadFault(p placement, a Answer) (Answer, errs.Reason) {
	switch a.Fault.Code {
	case Lagging:
		p.member.raiseLag(p.bound.at)
		return Answer{}, errs.ReasonBoundUnknown
	case Busy:
		return Answer{}, errs.ReasonQueueFull
	case ReadOnly:
		return Answer{}, errs.ReasonStalePrimary
	case Moved, NoStatement, TooManyConns:
		return Answer{}, errs.ReasonConnect
	case ExecFailed:
		if w.attempts == 0 {
			return Answer{}, errs.ReasonBackendLost
		}
	}
	w.logFailed(a.Fault)
	return w.session.refuse(a.Fault), ""
}

// borrow borrows a connection to the member. The session gives it back if the operation ends
// without doing so.
func (w *operation) borrow(ctx context.Context, m *member) (*borrowedConn, error) {
	a := w.admissionRequest(0)
	a.runs = w.svc.expectedDuration(w.session.database)
	c, err := m.borrow(ctx, a)
	w.session.borrowed = c
	return c, err
}

func (w *operation) put(c *borrowedConn, clean bool) {
	w.session.borrowed = nil
	c.member.put(c, clean)
}

// handleBorrowError records why no connection was borrowed and returns the reason.
func (w *operation) handleBorrowError(m *member, err error) errs.Reason {
	if e := errs.As(err); e != nil && e.Reason() != errs.ReasonConnect {
		w.notAdmitted = true
		return e.Reason()
	}
	var f *Fault
	if errors.As(err, &f) && (f.Code == Busy || f.Code == TooManyConns) {
		return errs.ReasonConnect // the server answers
	}
	w.svc.recordOutcome(m, false)
	return errs.ReasonConnect
}

// awaitPrimary returns the member that last proved to be the primary. If there is none
// or it does not answer, it waits for a new proof.
func (w *operation) awaitPrimary(ctx context.Context) (*member, *Fault) {
	w.svc.recordDirectUse()
	if m := w.svc.primaryMember(); m != nil && m.failingFor(w.now()) == 0 && !m.pastLeaveGrace(w.now()) {
		if _, ok := w.svc.covers(m, w.now()); ok {
			return m, nil
		}
	}
	p, f := w.confirmPrimary(ctx, w.now())
	return p.member, f
}

// write runs a write outside a transaction. It is sent again only if it is proved that
// it has not run.
func (w *operation) write(ctx context.Context) Answer {
	for {
		m, f := w.awaitPrimary(ctx)
		if f != nil {
			return w.session.refuse(f)
		}
		a, reason := w.writeAt(ctx, m)
		if reason == "" {
			return a
		}
		if w.notAdmitted {
			return w.session.refuse(w.reject(reason))
		}
		w.recordRetry(reason, m)
		if !w.backoff(ctx, retryDelay, w.admitBy()) {
			return w.session.refuse(w.reject(reason))
		}
	}
}

// writeAt runs a write at one member. A reason in the result means that the write has
// not run and may be tried again.
func (w *operation) writeAt(ctx context.Context, m *member) (Answer, errs.Reason) {
	w.logRouted(placement{member: m})
	w.notAdmitted = false
	c, err := w.borrow(ctx, m)
	if err != nil {
		return Answer{}, w.handleBorrowError(m, err)
	}
	if err := w.setUpSession(c); err != nil {
		w.put(c, false)
		return Answer{}, errs.ReasonBackendLost
	}
	w.needsLease = true
	answers, err := c.execAdmitted(ctx, w, w.deadline().Sub(w.now()), w.command(readBound{}))
	if e := errs.As(err); e != nil {
		w.notAdmitted = e.Reason() != errs.ReasonNoPrimary
		w.put(c, true)
		return Answer{}, e.Reason()
	}
	if errors.Is(err, ErrNotSent) {
		w.put(c, false)
		return Answer{}, errs.ReasonBackendLost
	}
	if err != nil {
		w.put(c, false)
		w.svc.recordOutcome(m, false)
		return w.session.refuse(w.inDoubt(m, err)), ""
	}
	w.svc.recordOutcome(m, true)
	a := answers[0]
	w.put(c, a.Status == Idle)
	if a.Fault == nil && !w.confirmed(ctx, m) {
		return w.session.refuse(w.inDoubt(m, errUnconfirmed)), ""
	}
	if a.Fault == nil {
		w.session.recordCommit(w.route.Service, timedPosition{at: w.now(), position: a.Position})
		w.recordServed(m)
		a.Status = Idle
		return a, ""
	}
	switch {
	case a.Fault.Code == ReadOnly:
		w.svc.clearPrimary(m.target.ID)
		return Answer{}, errs.ReasonStalePrimary
	case a.Fault.Code.notRun():
		return Answer{}, errs.ReasonQueueFull
	}
	w.logFailed(a.Fault)
	return w.session.refuse(a.Fault), ""
}

var errUnconfirmed = errors.New("another member may have become the primary before the answer")

// recordOutcome reports the outcome of an attempt to the circuit breaker of the member.
func (v *service) recordOutcome(m *member, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if ok {
		v.breakers.Succeeded(m.target.ID, v.srv.now())
		return
	}
	v.breakers.Failed(m.target.ID, v.srv.now())
	if v.controlProbes && v.primary == m.target.ID {
		v.primary = "" // no probe of this instance would notice that it is lost
	}
}
