package entry

import (
	"context"
	"strings"
	"time"

	"tamarackcross/admit"
	"tamarackcross/errs"
	"tamarackcross/shape"
)

// run takes a request through admit, route, borrow, execute, settle and reply.
// The error ends the session; everything else is answered to the caller.
func (c *session) run(ctx context.Context, req *request) error {
	if c.lost {
		return c.runLost(req)
	}
	if err := req.check(); err != nil {
		c.forgetUnanswered(req, true)
		return c.refuse(asError(err), req.ready)
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
	req.usual = 0
	if est.Known {
		req.usual = est.High
	}
	return admit.Request{
		Caller:   c.caller,
		Class:    est.Class,
		Arrived:  time.Now(), // the wait in a queue starts anew with each attempt
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
	case x.req.pins:
		// Its state is that of this session from here on. A part of a request
		// that failed may have left state too, such as an advisory lock.
		x.b.tainted = true
	}
	if err == nil && x.status != statusIdle {
		open := x.req.open && x.status == 0
		c.tx = &openTx{conn: x.b, vars: c.vars, unsynced: open, implicit: open}
		c.tx.wrote, c.tx.pins, c.tx.failed = x.req.write, x.req.pins, x.failure != nil
		c.trackVars(x.req, x)
		return
	}
	x.b.member.put(x.b)
}

// runInTx runs a request on the connection of the open transaction.
func (c *session) runInTx(ctx context.Context, req *request) error {
	tx := c.tx
	req.wrote = tx.wrote || req.write
	if tx.implicit && (tx.wrote || req.write) {
		if c.set.key != "" {
			return c.abortTx(req, nil, errs.New(errs.NotRun, errs.ReasonUnsupported, "an idempotency key cannot be used with Flush"))
		}
		req.commits = req.commits || req.ready && !tx.failed
	}
	if req.commits && c.set.key != "" && tx.wrote {
		return c.commitKeyed(ctx, req)
	}
	m := tx.conn.member
	ticket, err := m.gate.enter(ctx, c.admission(req))
	if err != nil {
		return c.abortTx(req, nil, asError(err))
	}
	start := time.Now()
	x := c.newExecution(tx.conn, req)
	x.checked = true
	x.ticket = ticket
	x.holding = tx.implicit && req.commits
	err = c.execute(ctx, x)
	m.gate.leave(ticket, time.Since(start))
	if err != nil {
		return c.abortTx(req, x, c.resolveLost(ctx, req, x, asError(err)))
	}
	tx.wrote, tx.pins = tx.wrote || req.write, tx.pins || req.pins
	tx.failed = tx.failed || x.failure != nil
	tx.unsynced = req.open
	tx.implicit = tx.implicit && req.open
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
	if x.req.commits && x.failure == nil && x.tag != rollbackTag {
		c.vars = tx.vars
	}
	if tx.pins || x.req.pins {
		tx.conn.tainted = true
	}
	tx.conn.vars = c.vars.applied
	tx.conn.member.put(tx.conn)
}

// abortTx ends the transaction after its connection was lost or refused: the
// connection is closed, so the backend server rolls back what was not
// committed. Unless the request was to end the transaction, the caller must end
// it before anything else runs.
func (c *session) abortTx(req *request, x *execution, e *errs.Error) error {
	if x != nil && x.broken {
		return errDone
	}
	c.forgetUnanswered(req, x == nil || !x.released)
	if req.ends {
		c.dropTx()
	}
	return c.refuse(e, req.ready)
}

// runLost answers a request in a transaction that failed and whose connection is
// gone, as a backend server does in a failed transaction.
func (c *session) runLost(req *request) error {
	if !req.ends || req.begins || len(req.stmts) != 1 {
		c.forgetUnanswered(req, true)
		e := errs.New(errs.NotRun, errs.ReasonBackendLost, "the transaction failed; nothing runs until it is ended",
			errs.WithState(stateFailedTx))
		return c.refuse(e, req.ready)
	}
	c.lost = false
	c.status = statusIdle
	if err := c.answerTag(req, rollbackTag); err != nil {
		return err
	}
	if !req.ready {
		return c.flush()
	}
	return c.send(c.ready())
}

const stateFailedTx = "25P02" // SQLSTATE in_failed_sql_transaction

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
	if discards(st) {
		v.drop(allSettings)
		return
	}
	if st.Kind() != shape.Set || st.Local() || st.Own() {
		return
	}
	if st.Reset() {
		v.drop(st.Name())
		return
	}
	_ = v.put(st.Name(), st.Value())
}

// discards reports whether a statement is DISCARD ALL.
func discards(st shape.Statement) bool {
	return st.Kind() == shape.Other && strings.EqualFold(strings.Join(strings.Fields(st.Text()), " "), "discard all")
}

// applyReset carries out the part of RESET ALL and DISCARD ALL that concerns the
// entry. Pools of connections send them before another user gets the session,
// which must not inherit an idempotency key or a deadline. The vector stays.
func (c *session) applyReset(st shape.Statement) {
	if discards(st) {
		clear(c.stmts)
	}
	if discards(st) || st.Kind() == shape.Set && st.Reset() && st.Name() == allSettings {
		c.set = c.start
	}
}

// conclude settles an answer that came whole and passes on what was held back.
func (c *session) conclude(ctx context.Context, req *request, x *execution) error {
	if x.status != 0 {
		c.status = x.status
	}
	if x.failure != nil {
		c.forgetUnanswered(req, false)
		return c.finish(req, x)
	}
	if c.tx == nil {
		for _, st := range req.stmts {
			applySet(&c.vars, st)
			c.applyReset(st)
		}
	}
	if x.holding || req.isLatest() {
		if err := c.settle(ctx, req, x); err != nil {
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
		c.raise(x.position)
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
	if c.tx != nil {
		return c.abortTx(req, x, e)
	}
	c.forgetUnanswered(req, x == nil || !x.released)
	return c.refuse(e, req.ready)
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
