package entry

import (
	"context"
	"time"

	"tamarackcross/errs"
	"tamarackcross/retry"
)

// recordFirstAttempt adds to the retry budget of the database, which grows with the
// number of first attempts.
func (c *session) recordFirstAttempt() {
	db, err := c.srv.database(c.database)
	if err != nil {
		return
	}
	db.mu.Lock()
	defer db.mu.Unlock()
	db.budget.RecordFirst()
}

// mayRetry decides whether to make another attempt and waits for its backoff. A
// retry is safe if the request did not run and nothing was sent to the caller; for
// a write that must be proved. Time and retry budget must be left too, with two
// exceptions: a read for which a replica was behind the read bound goes to the
// primary at once, and waiting for a new primary needs no budget.
func (c *session) mayRetry(ctx context.Context, req *request, x *execution, e *errs.Error) bool {
	if ctx.Err() != nil || e.Outcome() != errs.NotRun || x != nil && x.answerStarted {
		return false
	}
	if e.Reason() == errs.ReasonBelowBound {
		req.primaryOnly = true
		return true
	}
	anotherMember := e.Reason() == errs.ReasonQueueFull && req.slotsUnowned && !req.needsPrimary()
	if !retryableReason(e.Reason()) && !anotherMember {
		return false
	}
	if x != nil {
		x.conn.member.dropIdle()
		req.excludedMembers = append(req.excludedMembers, x.conn.member.name)
	}
	decision := c.decideRetry(req, e.Reason())
	if req.needsPrimary() || req.primaryOnly {
		return c.awaitPrimary(ctx, req, decision)
	}
	again, ok := decision.(retry.Again)
	if !ok {
		return false
	}
	return c.awaitDirectoryChange(ctx, again.After)
}

// retryableReason reports whether the cause of a failure is a member or the path to
// it, so that another member or a later attempt may succeed.
func retryableReason(r errs.Reason) bool {
	switch r {
	case errs.ReasonStalePrimary, errs.ReasonNoPrimary, errs.ReasonConnect, errs.ReasonBackendLost, errs.ReasonBackendSilent:
		return true
	}
	return false
}

func (c *session) decideRetry(req *request, reason errs.Reason) retry.Decision {
	db, err := c.srv.database(c.database)
	if err != nil {
		return retry.Stop{Reason: reason}
	}
	est := c.srv.learner.Lookup(req.fingerprint, req.arrived)
	db.mu.Lock()
	defer db.mu.Unlock()
	db.budget.SetRatio(req.policy.RetryBudget)
	return db.budget.Decide(retry.Attempt{
		Reason: reason, Attempts: req.attempts, Deadline: req.deadline, Expected: est.Mean,
	}, time.Now())
}

// minPrimaryBackoff is the shortest backoff before a retry at the same primary.
const minPrimaryBackoff = 20 * time.Millisecond

// awaitPrimary waits until another member is the primary. If the retry budget
// allows it, the wait also ends after the backoff, for a retry at the same primary.
// Without budget the request only waits for the change, which puts no load on the
// backend servers.
func (c *session) awaitPrimary(ctx context.Context, req *request, decision retry.Decision) bool {
	var timer <-chan time.Time
	if again, ok := decision.(retry.Again); ok {
		timer = time.After(max(minPrimaryBackoff, again.After))
	}
	for {
		changed := c.srv.dir.Changed()
		g, ok := c.srv.dir.Group(c.database)
		if ok && g.Term != req.term {
			req.term = g.Term
			req.excludedMembers = nil
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

// awaitDirectoryChange waits until the directory changes, but no longer than d. It
// returns false if ctx ends.
func (c *session) awaitDirectoryChange(ctx context.Context, d time.Duration) bool {
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

// reportToBreaker reports the result of an attempt to the circuit breaker of the
// member.
func (m *member) reportToBreaker(err error) {
	now := time.Now()
	m.db.mu.Lock()
	defer m.db.mu.Unlock()
	if e := errs.As(err); e != nil && retryableReason(e.Reason()) {
		m.db.breakers.Failed(m.name, now)
		return
	}
	m.db.breakers.Succeeded(m.name, now)
}
