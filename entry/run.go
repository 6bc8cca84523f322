package entry

import (
	"context"
	"strings"
	"time"

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
	l, err := c.borrow(ctx, req)
	if err != nil {
		return nil, err
	}
	defer l.free()
	start := time.Now()
	x := c.newExecution(l.conn, req)
	x.ticket = l.ticket
	err = c.execute(ctx, x)
	c.srv.learner.Observe(req.fingerprint, time.Since(start), time.Now())
	l.member.settleHealth(err)
	c.handBack(x, err)
	return x, err
}

func (c *session) newExecution(b *backendConn, req *request) *execution {
	return &execution{c: c, b: b, req: req, checked: req.need.IsZero() && !(c.tx == nil && req.onPrimary())}
}

// execute runs x so that a cancel request finds its connection.
func (c *session) execute(ctx context.Context, x *execution) error {
	c.setRunning(x.b)
	defer c.setRunning(nil)
	return x.run(ctx)
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
