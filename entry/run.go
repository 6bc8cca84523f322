package entry

import (
	"context"
	"strings"
	"time"

	"tamarackcross/errs"
	"tamarackcross/shape"
)

// run executes a request, retrying where that is safe, and answers the caller.
// Failures of the request are sent to the caller; the returned error ends the
// session.
func (c *session) run(ctx context.Context, req *request) error {
	if c.txLost {
		return c.runInLostTx(req)
	}
	if err := req.checkSupported(); err != nil {
		c.forgetUnanswered(req, true)
		return c.refuse(asError(err), req.endsWithReady)
	}
	reqCtx, stop := context.WithDeadline(ctx, req.deadline)
	defer stop()
	if c.tx != nil {
		return c.runInTx(reqCtx, req)
	}
	if c.settings.key != "" && req.write && !req.beginsTx {
		return c.runKeyed(reqCtx, req)
	}
	c.recordFirstAttempt()
	for {
		x, err := c.attempt(reqCtx, req)
		if err == nil && !x.rejected() {
			return c.completeRequest(reqCtx, req, x)
		}
		e := attemptError(x, err)
		if !c.mayRetry(reqCtx, req, x, e) {
			return c.failRequest(req, x, e)
		}
		c.srv.stats.Retried(e.Reason())
	}
}

// rejected reports whether the backend server refused the request without running
// it and nothing was sent to the caller yet.
func (x *execution) rejected() bool {
	return x.failure != nil && retryableResponse(x.failure) && !x.answerStarted
}

// attemptError returns the error of a failed or rejected attempt.
func attemptError(x *execution, err error) *errs.Error {
	if err != nil {
		return asError(err)
	}
	reason := errs.ReasonConnect
	if x.failure.Code == "25006" {
		reason = errs.ReasonStalePrimary
	}
	return errs.New(errs.NotRun, reason, x.failure.Message)
}

// attempt runs the request once. The execution is nil if no connection could be
// acquired.
func (c *session) attempt(ctx context.Context, req *request) (*execution, error) {
	l, err := c.acquire(ctx, req)
	if err != nil {
		return nil, err
	}
	defer l.releaseSlot()
	start := time.Now()
	x := c.newExecution(l.conn, req)
	x.slotID = l.slotID
	err = c.execute(ctx, x)
	if err == nil {
		c.srv.learner.Observe(req.fingerprint, time.Since(start), time.Now())
	}
	l.member.reportToBreaker(err)
	c.returnConn(x, err)
	return x, err
}

func (c *session) newExecution(b *backendConn, req *request) *execution {
	checked := req.requiredPosition.IsZero() && !req.latest && !(c.tx == nil && req.needsPrimary())
	return &execution{session: c, conn: b, req: req, snapshotChecked: checked}
}

// execute runs x and makes its connection known to cancel requests meanwhile.
func (c *session) execute(ctx context.Context, x *execution) error {
	c.setRunningConn(x.conn)
	defer c.setRunningConn(nil)
	return x.run(ctx)
}

// recordSet records a SET, RESET or DISCARD ALL of backend settings in v. A value
// that cannot be applied to other connections is ignored: the classifier marks its
// statement as leaving state on the connection.
func recordSet(v *sessionVars, st shape.Statement) {
	if isDiscardAll(st) {
		v.reset(allSettings)
		return
	}
	if st.Kind() != shape.Set || st.Local() || st.IsProxySetting() {
		return
	}
	if st.Reset() {
		v.reset(st.Name())
		return
	}
	_ = v.put(st.Name(), st.Value())
}

// isDiscardAll reports whether a statement is DISCARD ALL.
func isDiscardAll(st shape.Statement) bool {
	return st.Kind() == shape.Other && strings.EqualFold(strings.Join(strings.Fields(st.Text()), " "), "discard all")
}

// resetProxySettings applies RESET ALL and DISCARD ALL to the settings of the proxy
// and DISCARD ALL to the prepared statements. Connection pools send them before
// they hand the session to another user, who must not inherit an idempotency key
// or a deadline. The positions that the session saw are kept.
func (c *session) resetProxySettings(st shape.Statement) {
	if isDiscardAll(st) {
		clear(c.stmts)
	}
	if isDiscardAll(st) || st.Kind() == shape.Set && st.Reset() && st.Name() == allSettings {
		c.settings = c.startSettings
	}
}

// completeRequest handles a complete answer: it waits until the answer is durable
// where needed and sends what was held back.
func (c *session) completeRequest(ctx context.Context, req *request, x *execution) error {
	if x.status != 0 {
		c.status = x.status
	}
	if x.failure != nil {
		c.forgetUnanswered(req, false)
		return c.sendRest(req, x)
	}
	if c.tx == nil {
		for _, st := range req.stmts {
			recordSet(&c.vars, st)
			c.resetProxySettings(st)
		}
	}
	if x.holdTail || req.needsLatest() {
		if err := c.awaitDurable(ctx, req, x); err != nil {
			return c.failRequest(req, x, asError(err))
		}
	}
	c.countRequest(req, x)
	return c.sendRest(req, x)
}

func (c *session) countRequest(req *request, x *execution) {
	switch {
	case req.write:
		c.srv.stats.AddWrite()
	case req.hasRead() && x.conn.member.isPrimary():
		c.srv.stats.AddPrimaryRead()
	case req.hasRead():
		c.srv.stats.AddReplicaRead()
	}
}

// sendRest sends the held parts of the answer and ReadyForQuery.
func (c *session) sendRest(req *request, x *execution) error {
	if x.hasPosition && x.failure == nil {
		c.raisePosition(x.position)
		if err := c.reportToken(); err != nil {
			return err
		}
	}
	x.snapshotChecked = true
	if err := x.writePrefix(); err != nil {
		return err
	}
	if err := x.writeTail(); err != nil {
		return err
	}
	if req.endsWithReady {
		return c.send(c.ready())
	}
	c.skipToSync = x.failure != nil
	return c.flush()
}

// failRequest answers a failed request with its error. The error also follows rows
// that were already sent, so that the caller does not take a partial result for a
// complete one.
func (c *session) failRequest(req *request, x *execution, e *errs.Error) error {
	if x != nil && x.callerFrameCut {
		return errSessionEnded
	}
	if c.tx != nil {
		return c.abortTx(req, x, e)
	}
	c.forgetUnanswered(req, x == nil || !x.answerStarted)
	return c.refuse(e, req.endsWithReady)
}

func (r *request) needsLatest() bool { return r.latest }

// hasRead reports whether the request contains a read that a replica could serve.
func (r *request) hasRead() bool {
	for _, st := range r.stmts {
		if st.Kind() == shape.Read {
			return true
		}
	}
	return false
}
