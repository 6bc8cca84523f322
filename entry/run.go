package entry

import (
	"context"
	"time"

	"tamarackcross/admit"
	"tamarackcross/errs"
	"tamarackcross/shape"
)

// run takes a request through admit, route, borrow, execute, settle and reply.
// The error ends the session; everything else is answered to the caller.
func (c *session) run(ctx context.Context, req *request) error {
	if err := req.check(); err != nil {
		c.skipping = !req.ready
		return c.replyError(asError(err), req.ready)
	}
	dctx, stop := context.WithDeadline(ctx, req.deadline)
	defer stop()
	if c.tx != nil {
		return c.runInTx(dctx, req)
	}
	if c.set.key != "" && req.write && !req.begins {
		return c.runKeyed(dctx, req)
	}
	c.firstTry()
	for {
		x, err := c.attempt(dctx, req)
		if err == nil && !x.rejected() {
			return c.conclude(dctx, req, x)
		}
		e := rejection(x, err)
		if !c.mayRetry(dctx, req, x, e) {
			return c.giveUp(req, x, e)
		}
		c.srv.stats.Retried(e.Reason())
	}
}

// rejected reports whether the backend server ran nothing and said so before
// anything went to the caller.
func (x *execution) rejected() bool {
	return x.failure != nil && retryable(x.failure) && !x.released
}

// rejection is the error of an attempt that may be tried again.
func rejection(x *execution, err error) *errs.Error {
	if err != nil {
		return asError(err)
	}
	reason := errs.ReasonConnect
	if x.failure.Code == "25006" {
		reason = errs.ReasonStalePrimary
	}
	return errs.New(errs.NotRun, reason, x.failure.Message)
}

// attempt runs the request once. The execution is nil if no connection was
// borrowed.
func (c *session) attempt(ctx context.Context, req *request) (*execution, error) {
	req.attempts++
	if err := c.admit(req, time.Now()); err != nil {
		return nil, err
	}
	m, err := c.route(ctx, req)
	if err != nil {
		return nil, err
	}
	m.grow()
	ticket, err := m.gate.enter(ctx, c.admission(req))
	if err != nil {
		return nil, err
	}
	start := time.Now()
	defer func() { m.gate.leave(ticket, time.Since(start)) }()
	b, err := m.take(ctx)
	if err != nil {
		m.settleHealth(err)
		return nil, err
	}
	start = time.Now()
	x := c.newExecution(b, req)
	x.ticket = ticket
	err = c.execute(ctx, x)
	c.srv.learner.Observe(req.fingerprint, time.Since(start), time.Now())
	m.settleHealth(err)
	c.handBack(x, err)
	return x, err
}

// admission describes the request to the queue of a member.
func (c *session) admission(req *request) admit.Request {
	est := c.srv.learner.Lookup(req.fingerprint, req.arrived)
	return admit.Request{
		Caller:   c.caller,
		Class:    est.Class,
		Arrived:  req.arrived,
		Deadline: req.deadline,
		Expected: est.Mean,
	}
}

func (c *session) newExecution(b *backendConn, req *request) *execution {
	return &execution{c: c, b: b, req: req, checked: req.need.IsZero()}
}

// execute runs x so that a cancel request finds its connection.
func (c *session) execute(ctx context.Context, x *execution) error {
	c.setRunning(x.b)
	defer c.setRunning(nil)
	return x.run(ctx)
}

// handBack returns the connection of x, or keeps it for the transaction that is
// open on it.
func (c *session) handBack(x *execution, err error) {
	switch {
	case err != nil:
		x.b.tainted = true
	case x.req.pins && x.failure == nil:
		x.b.tainted = true // its state is that of this session from here on
	}
	if err == nil && x.status != statusIdle {
		c.tx = &openTx{conn: x.b, started: x.req.arrived, vars: c.vars}
		c.tx.wrote = x.req.write
		return
	}
	x.b.member.put(x.b)
}

// runInTx runs a request on the connection of the open transaction.
func (c *session) runInTx(ctx context.Context, req *request) error {
	if req.commits && c.set.key != "" && c.tx.wrote {
		return c.commitKeyed(ctx, req)
	}
	tx := c.tx
	m := tx.conn.member
	r := c.admission(req)
	r.Arrived = tx.started
	ticket, err := m.gate.enter(ctx, r)
	if err != nil {
		return c.abortTx(req, asError(err))
	}
	start := time.Now()
	x := c.newExecution(tx.conn, req)
	x.checked = true
	x.ticket = ticket
	err = c.execute(ctx, x)
	m.gate.leave(ticket, time.Since(start))
	if err != nil {
		return c.abortTx(req, c.resolveLost(ctx, req, x, asError(err)))
	}
	tx.wrote = tx.wrote || req.write
	c.trackVars(req, x)
	if x.status == statusIdle {
		c.endTx(x)
	}
	return c.conclude(ctx, req, x)
}

// endTx returns the connection of a transaction that ended.
func (c *session) endTx(x *execution) {
	tx := c.tx
	c.tx = nil
	if x.req.commits && x.failure == nil && x.tag != "ROLLBACK" {
		c.vars = tx.vars
	}
	if x.req.pins {
		tx.conn.tainted = true
	}
	tx.conn.vars = c.vars.applied
	tx.conn.member.put(tx.conn)
}

// abortTx ends the transaction after its connection was lost or refused: the
// connection is closed, so the backend server rolls back what was not
// committed.
func (c *session) abortTx(req *request, e *errs.Error) error {
	tx := c.tx
	c.tx = nil
	tx.conn.tainted = true
	tx.conn.member.put(tx.conn)
	c.status = statusIdle
	if !req.ready {
		c.skipping = true
	}
	return c.replyError(e, req.ready)
}

// trackVars follows SET statements of backend settings inside a transaction;
// they last only if it commits.
func (c *session) trackVars(req *request, x *execution) {
	if x.failure != nil || c.tx == nil {
		return
	}
	for _, st := range req.stmts {
		applySet(&c.tx.vars, st)
	}
}

// applySet records a SET of a backend setting. A setting that cannot be carried
// to other connections is left alone: the classifier pins it.
func applySet(v *sessionVars, st shape.Statement) {
	if st.Kind() != shape.Set || st.Local() || st.Own() {
		return
	}
	if st.Reset() {
		v.drop(st.Name())
		return
	}
	_ = v.put(st.Name(), st.Value())
}

// conclude settles an answer that came whole and passes on what was held back.
func (c *session) conclude(ctx context.Context, req *request, x *execution) error {
	c.status = x.status
	if x.failure != nil {
		return c.finish(req, x)
	}
	if c.tx == nil {
		for _, st := range req.stmts {
			applySet(&c.vars, st)
		}
	}
	if x.holding || req.isLatest() {
		if err := c.settle(ctx, req, x); err != nil && c.tx != nil {
			return c.abortTx(req, asError(err))
		} else if err != nil {
			return c.giveUp(req, x, asError(err))
		}
	}
	c.count(req, x)
	return c.finish(req, x)
}

func (c *session) count(req *request, x *execution) {
	switch {
	case req.write:
		c.srv.stats.Write()
	case req.reads() && x.b.member.primary():
		c.srv.stats.ReadPrimary()
	case req.reads():
		c.srv.stats.ReadReplica()
	}
}

// finish sends what is left of the answer.
func (c *session) finish(req *request, x *execution) error {
	if x.located && x.failure == nil {
		c.vector = c.vector.With(c.database, x.position)
		if err := c.reportToken(); err != nil {
			return err
		}
	}
	x.checked = true
	if err := x.writePrefix(); err != nil {
		return err
	}
	if err := x.writeTail(); err != nil {
		return err
	}
	if req.ready {
		return c.send(c.ready())
	}
	c.skipping = x.failure != nil
	return c.flush()
}

// giveUp answers a request that failed. Rows that already went out are followed
// by the error, so that the caller never takes a part for the whole.
func (c *session) giveUp(req *request, x *execution, e *errs.Error) error {
	if x != nil && x.broken {
		return errDone
	}
	c.status = statusIdle
	if !req.ready {
		c.skipping = true
	}
	return c.replyError(e, req.ready)
}

// admit refuses what cannot start at all.
func (c *session) admit(req *request, now time.Time) error {
	if !now.Before(req.deadline) {
		return errs.New(errs.NotRun, errs.ReasonDeadline, "request could not start before its deadline")
	}
	return nil
}

func (r *request) isLatest() bool { return r.latest }

// reads reports whether the request holds a read that a replica could serve.
func (r *request) reads() bool {
	for _, st := range r.stmts {
		if st.Kind() == shape.Read {
			return true
		}
	}
	return false
}
