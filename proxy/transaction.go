package proxy

import (
	"context"
	"errors"
	"slices"

	"github.com/rs/zerolog"

	"tamarackcross/config"
	"tamarackcross/errs"
	"tamarackcross/event"
)

// runInTx runs a statement of the open transaction. The first statement opens it at a
// member or a holder.
func (w *operation) runInTx(ctx context.Context) Answer {
	tx := w.session.tx
	if w.writes && tx.readOnly {
		return w.session.fail(fault(ReadOnly, "the transaction only reads"))
	}
	if tx.unopened() {
		if f := w.takeUnitToken(ctx); f != nil {
			return w.session.fail(f)
		}
	}
	if tx.holderLink != nil || tx.conn == nil && w.session.forwards(w.svc) {
		if a, ok := w.forwardTx(ctx, false); ok {
			return a
		}
	}
	if tx.conn == nil {
		if f := w.openTx(ctx); f != nil {
			return w.session.fail(f)
		}
	}
	for {
		a, err := w.runAt(ctx, tx)
		if e := errs.As(err); e != nil {
			return w.session.fail(w.reject(e.Reason()))
		}
		if err != nil {
			return w.txConnLost(err)
		}
		if a.Fault == nil {
			tx.wrote = tx.wrote || w.writes
			w.recordServed(tx.conn.member)
			a.Status = InTx
			return a
		}
		if a.Fault.Code == Busy && a.Status == InTx && w.backoff(ctx, retryDelay, w.admitBy()) {
			w.recordRetry(errs.ReasonQueueFull, tx.conn.member)
			continue
		}
		if a.Fault.Code == ReadOnly {
			w.svc.clearPrimary(tx.conn.member.target.ID)
		}
		w.logFailed(a.Fault)
		return w.session.fail(a.Fault)
	}
}

// runAt sends the statement on the connection of the transaction.
func (w *operation) runAt(ctx context.Context, tx *transaction) (Answer, error) {
	if err := w.setUpSession(tx.conn); err != nil {
		return Answer{}, err
	}
	answers, err := tx.conn.execAdmitted(ctx, w, w.deadline().Sub(w.now()), w.command(readBound{}))
	if err != nil {
		return Answer{}, err
	}
	return answers[0], nil
}

// txConnLost answers a statement when the connection of the transaction was lost before
// its commit was sent. The backend server then rolls the transaction back.
func (w *operation) txConnLost(err error) Answer {
	tx := w.session.tx
	w.logEvent(zerolog.InfoLevel).Str(event.Member, tx.conn.member.target.ID).Err(err).
		Str(event.Outcome, event.OutcomeNotRun).Msg("transaction lost its connection")
	w.svc.recordOutcome(tx.conn.member, false)
	w.session.releaseTx(false)
	w.session.failed = true
	return w.session.refuse(fault(Aborted, "the connection of the transaction was lost"))
}

// openTx opens the transaction at a member. It may try several members, since no
// statement of the transaction has run yet.
func (w *operation) openTx(ctx context.Context) *Fault {
	var exclude []string
	for {
		p, f := w.placeTx(ctx, exclude)
		if f != nil {
			return f
		}
		reason := w.openTxAt(ctx, p)
		if reason == "" {
			return nil
		}
		if reason == errs.ReasonCap {
			return w.reject(reason)
		}
		primaryOnly := !w.session.tx.readOnly || w.route.Freshness == config.Latest
		if reason == errs.ReasonCancelled || w.notAdmitted && (primaryOnly || slices.Contains(exclude, p.member.target.ID)) {
			return w.reject(reason)
		}
		w.recordRetry(reason, p.member)
		exclude = append(exclude, p.member.target.ID)
		if len(exclude) > 2 || primaryOnly {
			exclude = nil
			if !w.backoff(ctx, retryDelay, w.admitBy()) {
				return w.reject(reason)
			}
		}
		if !w.now().Before(w.admitBy()) {
			return w.reject(reason)
		}
	}
}

// placeTx chooses a member for a read-only transaction, and else takes the primary.
func (w *operation) placeTx(ctx context.Context, exclude []string) (placement, *Fault) {
	if w.session.tx.readOnly {
		return w.chooseMember(ctx, exclude)
	}
	m, f := w.awaitPrimary(ctx)
	return placement{member: m}, f
}

// openTxAt opens the transaction at one member. A member that opens one for writes is the
// primary at that moment, if a lease names it where one is needed. An empty reason means
// success.
func (w *operation) openTxAt(ctx context.Context, p placement) errs.Reason {
	w.logRouted(p)
	w.notAdmitted = false
	c, err := w.borrow(ctx, p.member)
	if err != nil {
		return w.handleBorrowError(p.member, err)
	}
	if err := w.setUpSession(c); err != nil {
		w.put(c, false)
		return errs.ReasonBackendLost
	}
	tx := w.session.tx
	if !tx.readOnly {
		if err := w.requireLease(p.member); err != nil {
			w.put(c, true)
			return errs.ReasonNoPrimary
		}
		tx.epoch = w.epoch
	}
	if err := w.requireToken(ctx); err != nil {
		w.put(c, true)
		return errs.ReasonCap
	}
	answers, err := c.exec(min(dialTimeout, w.deadline().Sub(w.now())), BeginTx{ReadOnly: tx.readOnly, After: p.bound.position})
	w.spendToken(answers, err)
	if err != nil {
		w.put(c, false)
		w.svc.recordOutcome(p.member, false)
		return errs.ReasonBackendLost
	}
	a := answers[0]
	if a.Fault == nil {
		tx.conn, w.session.borrowed = c, nil
		return ""
	}
	w.put(c, a.Status == Idle)
	switch a.Fault.Code {
	case ReadOnly:
		w.svc.clearPrimary(p.member.target.ID)
		return errs.ReasonStalePrimary
	case Lagging:
		p.member.raiseLag(p.bound.at)
		return errs.ReasonBoundUnknown
	}
	return errs.ReasonQueueFull
}

// commit sends the commit of the caller to the member of the transaction.
func (w *operation) commit(ctx context.Context) Answer {
	tx := w.session.tx
	m := tx.conn.member
	w.needsLease = tx.wrote
	for {
		answers, err := tx.conn.execAdmitted(ctx, w, w.deadline().Sub(w.now()), Run{ID: w.req.ID, Text: w.req.Text})
		if e := errs.As(err); e != nil {
			w.session.abort()
			w.session.failed = false
			return w.session.refuse(w.reject(e.Reason()))
		}
		if err != nil {
			return w.commitAnswerLost(err)
		}
		a := answers[0]
		if a.Fault != nil && a.Fault.Code == Busy && a.Status == InTx && w.backoff(ctx, retryDelay, w.admitBy()) {
			w.recordRetry(errs.ReasonQueueFull, m)
			continue
		}
		if a.Fault != nil {
			return w.commitRefused(a)
		}
		if tx.wrote && (w.epoch != tx.epoch || !w.confirmed(ctx, m)) {
			w.session.releaseTx(a.Status == Idle)
			return w.session.refuse(w.inDoubt(m, errUnconfirmed))
		}
		if tx.wrote {
			w.session.recordCommit(w.route.Service, timedPosition{at: w.now(), position: a.Position})
		}
		w.session.releaseTx(a.Status == Idle)
		w.recordServed(m)
		a.Status = Idle
		return a
	}
}

// commitAnswerLost answers a commit whose connection was lost. Its outcome is in doubt
// only if the transaction wrote and the commit may have been sent.
func (w *operation) commitAnswerLost(err error) Answer {
	tx := w.session.tx
	w.svc.recordOutcome(tx.conn.member, false)
	f := fault(Aborted, "the connection was lost, nothing was written")
	if tx.wrote && !errors.Is(err, ErrNotSent) {
		f = w.inDoubt(tx.conn.member, err)
	}
	w.session.releaseTx(false)
	return w.session.refuse(f)
}

// commitRefused answers a commit that the backend server refused. A transaction that is
// still open is rolled back before the caller gets the answer.
func (w *operation) commitRefused(a Answer) Answer {
	m := w.session.tx.conn.member
	if a.Fault.Code == ReadOnly {
		w.svc.clearPrimary(m.target.ID)
	}
	w.logFailed(a.Fault)
	if a.Status == Idle {
		w.session.releaseTx(true)
	} else {
		w.session.abort()
		w.session.failed = false
	}
	return w.session.refuse(a.Fault)
}
