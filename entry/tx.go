package entry

import (
	"context"
	"time"

	"tamarackcross/errs"
)

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
