package entry

import (
	"context"
	"errors"
	"time"

	"tamarackcross/errs"
	"tamarackcross/learn"
)

// awaitResponse waits until the backend server sends something. It wakes at short
// intervals to check other conditions. After the silence limit a health probe on
// another connection tells a slow member from a silent connection; a primary that
// was replaced has a short grace period to answer; at the deadline the statement is
// cancelled.
func (x *execution) awaitResponse(ctx context.Context) error {
	if x.answerStarted {
		if err := x.session.flush(); err != nil {
			return errs.New(x.outcomeIfLost(), errs.ReasonCancelled, "caller left")
		}
	}
	start := time.Now()
	aliveAt := start
	var replacedAt time.Time
	for {
		now := time.Now()
		err := x.conn.wire.WaitReadable(earlier(now.Add(waitPollInterval), x.req.deadline))
		if err == nil {
			return nil
		}
		if !isTimeout(err) || errors.Is(ctx.Err(), context.Canceled) {
			return errs.New(x.outcomeIfLost(), errs.ReasonBackendLost, "connection to the backend server broke")
		}
		now = time.Now()
		x.checkLongRunning(now)
		switch {
		case !now.Before(x.req.deadline):
			return x.cancelExpired(ctx)
		case x.primaryReplaced() && replacedAt.IsZero():
			replacedAt = now
		case !replacedAt.IsZero() && now.Sub(replacedAt) >= replacedGrace:
			return errs.New(x.outcomeIfLost(), errs.ReasonStalePrimary, "the primary was replaced")
		case now.Sub(aliveAt) >= x.req.policy.SilenceLimit:
			if !x.conn.member.probeHealth(ctx, x.req.policy.SilenceLimit, now) || now.Sub(start) > x.maxSilence() {
				return errs.New(x.outcomeIfLost(), errs.ReasonBackendSilent, "backend server went silent")
			}
			aliveAt = time.Now()
		}
	}
}

// checkLongRunning reclassifies the request as long in the admission queue once it
// has run for longer than the threshold of the learner.
func (x *execution) checkLongRunning(now time.Time) {
	if x.markedLong || x.slotID == 0 {
		return
	}
	if x.session.srv.learner.ObserveRunning(x.req.fingerprint, now.Sub(x.startedAt), now) == learn.Long {
		x.markedLong = true
		x.conn.member.slots.reclassifyLong(x.slotID)
	}
}

const (
	waitPollInterval = 50 * time.Millisecond  // between checks while a statement runs
	replacedGrace    = 100 * time.Millisecond // for the answer of a primary that was replaced
)

// primaryReplaced reports whether the request needs the primary and the member has
// stopped being the primary since the execution began.
func (x *execution) primaryReplaced() bool {
	needed := x.req.needsPrimary() || x.session.tx != nil || x.preambleOnly
	return needed && x.primaryAtStart && !x.conn.member.isPrimary()
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// maxSilence returns how long the backend server may send nothing on this
// connection while it answers health probes on others. This connection alone may be
// silent. A statement that takes much longer than others of its shape is given up
// if that is safe: if it is a read, or a write whose outcome the idempotency key
// decides. Other statements wait until their deadline, because they may be waiting
// for a lock.
func (x *execution) maxSilence() time.Duration {
	keyed := x.forceSync || x.preambleOnly
	if x.req.highDuration == 0 || x.session.tx != nil || x.req.write && !keyed {
		return maxDeadline
	}
	return max(x.req.policy.SilenceLimit, time.Duration(x.req.policy.LongFactor*float64(x.req.highDuration)))
}

// cancelExpired cancels a statement whose deadline has passed and waits briefly for
// the backend server to confirm it, which proves that nothing was committed.
func (x *execution) cancelExpired(ctx context.Context) error {
	if x.req.deadline.IsZero() || x.cancelSent() {
		return errs.New(x.outcomeIfLost(), errs.ReasonDeadline, "statement did not end before its deadline")
	}
	x.req.cancelSent = true
	// The deadline of ctx has passed, since it is that of the statement.
	cancelCtx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelAnswerTimeout)
	defer stop()
	if err := x.conn.cancel(cancelCtx); err == nil {
		if err := x.conn.wire.WaitReadable(time.Now().Add(cancelAnswerTimeout)); err == nil {
			x.req.deadline = time.Now().Add(cancelAnswerTimeout)
			return nil
		}
	}
	return errs.New(x.outcomeIfLost(), errs.ReasonDeadline, "statement did not end before its deadline")
}

func (x *execution) cancelSent() bool { return x.req.cancelSent }

// frameTimeout bounds each wait for more bytes of a frame after its first byte.
const frameTimeout = 10 * time.Second

const cancelAnswerTimeout = 250 * time.Millisecond // for the answer to a cancel request
