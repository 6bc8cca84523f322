package entry

import (
	"context"
	"time"

	"tamarackcross/errs"
	"tamarackcross/retry"
)

// firstTry feeds the retry budget of the database.
func (c *session) firstTry() {
	db, err := c.srv.database(c.database)
	if err != nil {
		return
	}
	db.mu.Lock()
	defer db.mu.Unlock()
	db.budget.First()
}

// mayRetry decides whether another attempt is safe and worth it: nothing may
// have run, nothing may have gone to the caller, and time and budget must be
// left. A write is tried again only with proof that it did not run.
func (c *session) mayRetry(ctx context.Context, req *request, x *execution, e *errs.Error) bool {
	if ctx.Err() != nil || e.Outcome() != errs.NotRun || x != nil && x.released {
		return false
	}
	if e.Reason() == errs.ReasonBelowBound {
		req.primaryOnly = true
		return true
	}
	elsewhere := e.Reason() == errs.ReasonQueueFull && req.unowned && !req.onPrimary()
	if !repeatable(e.Reason()) && !elsewhere {
		return false
	}
	if x != nil {
		x.b.member.dropIdle()
		req.tried = append(req.tried, x.b.member.name)
	}
	verdict := c.decide(req, e.Reason())
	if req.onPrimary() || req.primaryOnly {
		return c.awaitPrimary(ctx, req, verdict)
	}
	again, ok := verdict.(retry.Again)
	if !ok {
		return false
	}
	return c.awaitChange(ctx, again.After)
}

// repeatable reports reasons that lie with a member or the path to it, so that
// another member, or a later attempt, may do better.
func repeatable(r errs.Reason) bool {
	switch r {
	case errs.ReasonStalePrimary, errs.ReasonNoPrimary, errs.ReasonConnect, errs.ReasonBackendLost, errs.ReasonBackendSilent:
		return true
	}
	return false
}

func (c *session) decide(req *request, reason errs.Reason) retry.Verdict {
	db, err := c.srv.database(c.database)
	if err != nil {
		return retry.Stop{Reason: reason}
	}
	est := c.srv.learner.Lookup(req.fingerprint, req.arrived)
	db.mu.Lock()
	defer db.mu.Unlock()
	db.budget.SetFraction(req.policy.RetryBudget)
	return db.budget.Decide(retry.Attempt{
		Reason: reason, Tries: req.attempts, Deadline: req.deadline, Expected: est.Mean,
	}, time.Now())
}

// primaryPause is the shortest wait before another attempt at the same primary.
const primaryPause = 20 * time.Millisecond

// awaitPrimary waits for another primary. While the budget allows it the same
// one is tried again; without budget the request waits for the change alone,
// which costs the backend servers nothing.
func (c *session) awaitPrimary(ctx context.Context, req *request, verdict retry.Verdict) bool {
	var timer <-chan time.Time
	if again, ok := verdict.(retry.Again); ok {
		timer = time.After(max(primaryPause, again.After))
	}
	for {
		changed := c.srv.dir.Changed()
		g, ok := c.srv.dir.Group(c.database)
		if ok && g.Term != req.term {
			req.term = g.Term
			req.tried = nil
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-timer:
			return true
		case <-changed:
		}
	}
}

// awaitChange waits for the time, or less if the directory changes.
func (c *session) awaitChange(ctx context.Context, d time.Duration) bool {
	changed := c.srv.dir.Changed()
	if d <= 0 {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-time.After(d):
	}
	return true
}

// settleHealth reports the end of an attempt to the breaker of the member.
func (m *member) settleHealth(err error) {
	now := time.Now()
	m.db.mu.Lock()
	defer m.db.mu.Unlock()
	if e := errs.As(err); e != nil && repeatable(e.Reason()) {
		m.db.breakers.Failed(m.name, now)
		return
	}
	m.db.breakers.Succeeded(m.name, now)
}
