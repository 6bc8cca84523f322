package entry

import (
	"context"
	"errors"
	"time"

	"tamarackcross/errs"
	"tamarackcross/learn"
)

// await waits for the backend server to send something. It looks up at short
// intervals: silence is told apart from slowness by a probe on another
// connection, a primary that was replaced gets a moment to answer, and at the
// deadline the statement is cancelled.
func (x *execution) await(ctx context.Context) error {
	if x.released {
		if err := x.c.flush(); err != nil {
			return errs.New(x.outcomeIfLost(), errs.ReasonCancelled, "caller left")
		}
	}
	start := time.Now()
	heard := start
	var replaced time.Time
	for {
		now := time.Now()
		err := x.b.wc.WaitReadable(earlier(now.Add(waitSlice), x.req.deadline))
		if err == nil {
			return nil
		}
		if !isTimeout(err) || errors.Is(ctx.Err(), context.Canceled) {
			return errs.New(x.outcomeIfLost(), errs.ReasonBackendLost, "connection to the backend server broke")
		}
		now = time.Now()
		x.noteGrowth(now)
		switch {
		case !now.Before(x.req.deadline):
			return x.expire(ctx)
		case x.replaced() && replaced.IsZero():
			replaced = now
		case !replaced.IsZero() && now.Sub(replaced) >= replacedGrace:
			return errs.New(x.outcomeIfLost(), errs.ReasonStalePrimary, "the primary was replaced")
		case now.Sub(heard) >= x.req.policy.SilenceLimit:
			if !x.b.member.probe(ctx, x.req.policy.SilenceLimit, now) || now.Sub(start) > x.silence() {
				return errs.New(x.outcomeIfLost(), errs.ReasonBackendSilent, "backend server went silent")
			}
			heard = time.Now()
		}
	}
}

// noteGrowth counts work that turns out to be long as long from now on.
func (x *execution) noteGrowth(now time.Time) {
	if x.grown || x.ticket == 0 {
		return
	}
	if x.c.srv.learner.Running(x.req.fingerprint, now.Sub(x.began), now) == learn.Long {
		x.grown = true
		x.b.member.gate.grown(x.ticket)
	}
}

const (
	waitSlice     = 50 * time.Millisecond  // between looks while a statement runs
	replacedGrace = 100 * time.Millisecond // for the answer of a primary that was replaced
)

// replaced reports whether the request needs the primary and the member is not
// the primary any more.
func (x *execution) replaced() bool {
	needed := x.req.onPrimary() || x.c.tx != nil || x.onlyBefore
	return needed && x.primaryAtStart && !x.b.member.primary()
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// silence is how long the backend server may send nothing although a probe
// reaches it. The path of this connection alone may be lost: a statement whose
// shape usually ends much sooner is taken for lost if nothing is at stake, that
// is for a read, or for a write that its key settles. Other statements wait for
// their deadline, since they may wait for a lock.
func (x *execution) silence() time.Duration {
	keyed := x.syncs || x.onlyBefore
	if x.req.usual == 0 || x.c.tx != nil || x.req.write && !keyed {
		return maxTimeout
	}
	return max(x.req.policy.SilenceLimit, time.Duration(x.req.policy.LongFactor*float64(x.req.usual)))
}

// expire cancels a statement whose deadline has passed and gives the backend
// server a moment to confirm it, which proves that nothing was committed.
func (x *execution) expire(ctx context.Context) error {
	if x.req.deadline.IsZero() || x.expired() {
		return errs.New(x.outcomeIfLost(), errs.ReasonDeadline, "statement did not end before its deadline")
	}
	x.req.cancelSent = true
	// The deadline of ctx is that of the statement and has passed.
	cctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelGrace)
	defer stop()
	if err := x.b.cancel(cctx); err == nil {
		if err := x.b.wc.WaitReadable(time.Now().Add(cancelGrace)); err == nil {
			x.req.deadline = time.Now().Add(cancelGrace)
			return nil
		}
	}
	return errs.New(x.outcomeIfLost(), errs.ReasonDeadline, "statement did not end before its deadline")
}

func (x *execution) expired() bool { return x.req.cancelSent }

// frameTimeout bounds each wait for the rest of a frame after its first byte.
const frameTimeout = 10 * time.Second

const cancelGrace = 250 * time.Millisecond // for the answer to a cancel request
