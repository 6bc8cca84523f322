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

// inTransaction runs a statement of the open transaction.
func (w *work) inTransaction(ctx context.Context) Answer {
	tx := w.session.tx
	if w.writes && tx.readOnly {
		return w.session.fail(fault(ReadOnly, "the transaction only reads"))
	}
	if tx.held != nil || tx.conn == nil && w.session.delegates(w.svc) {
		if a, ok := w.delegateTx(ctx, false); ok {
			return a
		}
	}
	if tx.conn == nil {
		if f := w.open(ctx); f != nil {
			return w.session.fail(f)
		}
	}
	for {
		a, err := w.runAt(ctx, tx)
		if e := errs.As(err); e != nil {
			return w.session.fail(w.refused(e.Reason()))
		}
		if err != nil {
			return w.lostTx(err)
		}
		if a.Fault == nil {
			tx.wrote = tx.wrote || w.writes
			w.served(tx.conn.member)
			a.Status = InTx
			return a
		}
		if a.Fault.Code == Busy && a.Status == InTx && w.pause(ctx, retryPause, w.latest()) {
			w.retry(errs.ReasonQueueFull, tx.conn.member)
			continue
		}
		if a.Fault.Code == ReadOnly {
			w.svc.deposed(tx.conn.member.target.ID)
		}
		w.failed(a.Fault)
		return w.session.fail(a.Fault)
	}
}

// runAt sends the statement on the connection of the transaction.
func (w *work) runAt(ctx context.Context, tx *transaction) (Answer, error) {
	if err := w.prepare(tx.conn); err != nil {
		return Answer{}, err
	}
	answers, err := tx.conn.execute(ctx, w, w.end().Sub(w.now()), w.command(need{}))
	if err != nil {
		return Answer{}, err
	}
	return answers[0], nil
}

// lostTx answers after the connection of a transaction was lost before its
// commit was sent: the backend server rolls it back.
func (w *work) lostTx(err error) Answer {
	tx := w.session.tx
	w.line(zerolog.InfoLevel).Str(event.Member, tx.conn.member.target.ID).Err(err).
		Str(event.Outcome, event.NotRun).Msg("transaction lost its connection")
	w.svc.judge(tx.conn.member, false)
	w.session.dropTx(false)
	w.session.failed = true
	return w.session.refuse(fault(Aborted, "the connection of the transaction was lost"))
}

// open opens the transaction at a member. Nothing of it has run before, so it
// may be tried at several.
func (w *work) open(ctx context.Context) *Fault {
	var exclude []string
	for {
		p, f := w.placeOf(ctx, exclude)
		if f != nil {
			return f
		}
		reason := w.openAt(ctx, p)
		if reason == "" {
			return nil
		}
		alone := !w.session.tx.readOnly || w.route.Freshness == config.Latest
		if w.shed && (alone || slices.Contains(exclude, p.member.target.ID)) {
			return w.refused(reason)
		}
		w.retry(reason, p.member)
		exclude = append(exclude, p.member.target.ID)
		if len(exclude) > 2 || alone {
			exclude = nil
			if !w.pause(ctx, retryPause, w.latest()) {
				return w.refused(reason)
			}
		}
		if !w.now().Before(w.latest()) {
			return w.refused(reason)
		}
	}
}

func (w *work) placeOf(ctx context.Context, exclude []string) (placement, *Fault) {
	if w.session.tx.readOnly {
		return w.choose(ctx, exclude)
	}
	m, f := w.primary(ctx)
	return placement{member: m}, f
}

// openAt opens the transaction at one member. A member that opens one for writes
// is the primary at that moment.
func (w *work) openAt(ctx context.Context, p placement) errs.Reason {
	w.routed(p)
	w.shed = false
	c, err := p.member.borrow(ctx, w.ask(0))
	if err != nil {
		return w.failedBorrow(p.member, err)
	}
	if err := w.prepare(c); err != nil {
		p.member.put(c, false)
		return errs.ReasonBackendLost
	}
	tx := w.session.tx
	answers, err := c.exec(min(dialLimit, w.end().Sub(w.now())), BeginTx{ReadOnly: tx.readOnly, After: p.need.position})
	if err != nil {
		p.member.put(c, false)
		w.svc.judge(p.member, false)
		return errs.ReasonBackendLost
	}
	a := answers[0]
	if a.Fault == nil {
		tx.conn = c
		return ""
	}
	p.member.put(c, a.Status == Idle)
	switch a.Fault.Code {
	case ReadOnly:
		w.svc.deposed(p.member.target.ID)
		return errs.ReasonStalePrimary
	case Lagging:
		p.member.lacked(p.need.at)
		return errs.ReasonBoundUnknown
	}
	return errs.ReasonQueueFull
}

// commit sends the commit of the caller.
func (w *work) commit(ctx context.Context) Answer {
	tx := w.session.tx
	m := tx.conn.member
	for {
		answers, err := tx.conn.execute(ctx, w, w.end().Sub(w.now()), Run{ID: w.req.ID, Text: w.req.Text})
		if e := errs.As(err); e != nil {
			w.session.abort()
			w.session.failed = false
			return w.session.refuse(w.refused(e.Reason()))
		}
		if err != nil {
			return w.lostCommit(err)
		}
		a := answers[0]
		if a.Fault != nil && a.Fault.Code == Busy && a.Status == InTx && w.pause(ctx, retryPause, w.latest()) {
			w.retry(errs.ReasonQueueFull, m)
			continue
		}
		if a.Fault != nil {
			return w.refusedCommit(a)
		}
		if tx.wrote {
			w.session.committed(w.route.Service, timedPosition{at: w.now(), position: a.Position})
		}
		w.session.dropTx(a.Status == Idle)
		w.served(m)
		a.Status = Idle
		return a
	}
}

// lostCommit answers when the answer to a commit was lost.
func (w *work) lostCommit(err error) Answer {
	tx := w.session.tx
	w.svc.judge(tx.conn.member, false)
	f := fault(Aborted, "the connection was lost, nothing was written")
	if tx.wrote && !errors.Is(err, ErrNotSent) {
		f = w.doubt(tx.conn.member, err)
	}
	w.session.dropTx(false)
	return w.session.refuse(f)
}

// refusedCommit answers when the backend server refused a commit. What has not
// been committed is rolled back before the caller hears of it.
func (w *work) refusedCommit(a Answer) Answer {
	m := w.session.tx.conn.member
	if a.Fault.Code == ReadOnly {
		w.svc.deposed(m.target.ID)
	}
	w.failed(a.Fault)
	if a.Status == Idle {
		w.session.dropTx(true)
	} else {
		w.session.abort()
		w.session.failed = false
	}
	return w.session.refuse(a.Fault)
}
