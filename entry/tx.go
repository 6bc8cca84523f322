package entry

import (
	"context"
	"time"

	"tamarackcross/errs"
)

// runInTx runs a request on the connection of the open transaction.
func (c *session) runInTx(ctx context.Context, req *request) error {
	tx := c.tx
	req.txWrites = tx.wrote || req.write
	if tx.implicit && (tx.wrote || req.write) {
		if c.settings.key != "" {
			return c.abortTx(req, nil, errs.New(errs.NotRun, errs.ReasonUnsupported, "an idempotency key cannot be used with Flush"))
		}
		req.commits = req.commits || req.endsWithReady && !tx.failed
	}
	if req.commits && c.settings.key != "" && tx.wrote {
		return c.commitKeyed(ctx, req)
	}
	m := tx.conn.member
	if err := c.requireSeen(ctx, req, m.db); err != nil {
		return c.abortTx(req, nil, asError(err))
	}
	slotID, err := m.slots.acquire(ctx, c.admissionRequest(req))
	if err != nil {
		return c.abortTx(req, nil, asError(err))
	}
	start := time.Now()
	x := c.newExecution(tx.conn, req)
	x.slotID = slotID
	x.holdTail = tx.implicit && req.commits
	err = c.execute(ctx, x)
	m.slots.release(slotID, time.Since(start))
	if err != nil {
		return c.abortTx(req, x, c.lostCommitError(ctx, req, x, asError(err)))
	}
	tx.wrote, tx.pins = tx.wrote || req.write, tx.pins || req.pins
	tx.failed = tx.failed || x.failure != nil
	tx.awaitsSync = req.keepsTxOpen
	tx.implicit = tx.implicit && req.keepsTxOpen
	c.recordTxVars(req, x)
	if x.status == statusIdle {
		c.endTx(x)
	}
	return c.completeRequest(ctx, req, x)
}

// requireSeen makes the reads of a request in a transaction cover the position of the session. The
// member may have been replaced as the primary when the transaction began, or not be promoted yet.
func (c *session) requireSeen(ctx context.Context, req *request, db *database) error {
	if !req.hasRead() {
		return nil
	}
	p, err := c.readPosition(ctx, db)
	req.requiredPosition = p
	return err
}

// endTx returns the connection of a transaction that has ended to the pool.
func (c *session) endTx(x *execution) {
	tx := c.tx
	c.tx = nil
	if x.req.commits && x.failure == nil && x.commandTag != rollbackTag {
		c.vars = tx.vars
	}
	if tx.pins || x.req.pins {
		tx.conn.tainted = true
	}
	tx.conn.member.put(tx.conn)
}

// abortTx fails the transaction after a request in it failed or was refused. Its
// connection is closed, so the backend server rolls back what was not committed.
// Unless the request itself ends the transaction, the caller must end it before
// other statements run.
func (c *session) abortTx(req *request, x *execution, e *errs.Error) error {
	if x != nil && x.callerFrameCut {
		return errSessionEnded
	}
	c.forgetUnanswered(req, x == nil || !x.answerStarted)
	if req.endsTx {
		c.dropTx()
	}
	return c.refuse(e, req.endsWithReady)
}

// runInLostTx answers a request in a failed transaction whose connection is closed,
// in the way of a backend server: it refuses everything but COMMIT and ROLLBACK.
func (c *session) runInLostTx(req *request) error {
	if !req.endsTx || req.beginsTx || len(req.stmts) != 1 {
		c.forgetUnanswered(req, true)
		e := errs.New(errs.NotRun, errs.ReasonBackendLost, "the transaction failed; nothing runs until it is ended",
			errs.WithSQLState(sqlStateFailedTx))
		return c.refuse(e, req.endsWithReady)
	}
	c.txLost = false
	c.status = statusIdle
	if err := c.sendCommandTag(req, rollbackTag); err != nil {
		return err
	}
	if !req.endsWithReady {
		return c.flush()
	}
	return c.send(c.ready())
}

const sqlStateFailedTx = "25P02" // SQLSTATE in_failed_sql_transaction

// recordTxVars records SET statements of backend settings inside a transaction. The
// session keeps them only if the transaction commits.
func (c *session) recordTxVars(req *request, x *execution) {
	if x.failure != nil || c.tx == nil {
		return
	}
	for _, st := range req.stmts {
		recordSet(&c.tx.vars, st)
	}
}
