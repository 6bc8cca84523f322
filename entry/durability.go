package entry

import (
	"context"

	"tamarackcross/errs"
	"tamarackcross/group"
	"tamarackcross/retry"
)

// rollbackTag is the command tag in the answer to COMMIT of a failed transaction.
// Nothing was committed, so there is no position to wait for.
const rollbackTag = "ROLLBACK"

// awaitDurable waits until an answer may be sent to the caller: for a commit until
// a majority of the group holds its position, for a read until a majority holds the
// position of its snapshot. Otherwise a promotion could discard data that the
// caller has seen.
func (c *session) awaitDurable(ctx context.Context, req *request, x *execution) error {
	if req.latest {
		return c.confirmLatest(ctx, req, x)
	}
	if !x.hasPosition {
		if !req.acknowledgesCommit(nil) || !req.txWrites || x.commandTag == rollbackTag {
			return nil
		}
		return c.unknownOutcome(errs.ReasonProtocol, "backend server reported no position for the commit")
	}
	return c.awaitMajority(ctx, req, x)
}

func (c *session) awaitMajority(ctx context.Context, req *request, x *execution) error {
	db := x.conn.member.db
	limit, stop := context.WithTimeout(ctx, req.policy.CommitTimeout)
	defer stop()
	for {
		changed := db.srv.dir.Changed()
		advanced := db.majorityAdvanced()
		state, err := db.durabilityOf(x.position)
		if err != nil {
			return err
		}
		switch state {
		case durable:
			return nil
		case discarded:
			return errs.New(errs.NotRun, errs.ReasonBoundDiscarded, "commit was discarded by a change of primary")
		}
		select {
		case <-advanced:
		case <-changed:
		case <-limit.Done():
			return c.unknownOutcome(errs.ReasonNoMajority, "no majority confirmed the commit in time")
		}
	}
}

// majorityAdvanced returns a channel that is closed when the known position of the
// majority advances.
func (db *database) majorityAdvanced() <-chan struct{} {
	db.mu.Lock()
	defer db.mu.Unlock()
	return db.majorityChanged
}

// confirmLatest confirms by a majority round that the member was still the primary
// when it served the read. A confirmation of its successor, or of the member itself in
// a later term, proves nothing.
func (c *session) confirmLatest(ctx context.Context, req *request, x *execution) error {
	r, err := x.conn.member.db.confirmer.confirmPrimary(ctx)
	for err != nil && c.mayConfirmAgain(ctx, req, x, asError(err)) {
		c.srv.stats.Retried(asError(err).Reason())
		r, err = x.conn.member.db.confirmer.confirmPrimary(ctx)
	}
	if err != nil {
		return asError(err)
	}
	if r.member != x.conn.member || r.term != x.term || r.position.Less(x.position) {
		return errs.New(errs.NotRun, errs.ReasonNoPrimary, "the primary was replaced during the read")
	}
	return nil
}

// mayConfirmAgain decides whether to run another round after one has failed, and waits for its backoff.
// The member has just served the read, so it may only be slow. A later round proves as much, as long
// as the term is the same.
func (c *session) mayConfirmAgain(ctx context.Context, req *request, x *execution, e *errs.Error) bool {
	if term, _ := x.conn.member.role(); term != x.term || e.Reason() != errs.ReasonNoPrimary {
		return false
	}
	again, ok := c.decideRetry(req, e.Reason()).(retry.Again)
	if !ok {
		return false
	}
	req.attempts++
	return c.awaitDirectoryChange(ctx, again.After)
}

// isPrimarySnapshot reports whether the snapshot of the execution is one of the
// primary. A member that was chosen for a term serves reads as a replica until it is
// promoted, and may not have applied yet what it holds. A snapshot from before the
// promotion is as good if it covers the start of the term.
func (x *execution) isPrimarySnapshot() bool {
	g, ok := x.session.srv.dir.Group(x.session.database)
	return ok && x.primaryAtStart && g.Term == x.term && g.History.CoversTermStart(x.position)
}

// unknownOutcome returns the error for a write whose outcome cannot be determined.
func (c *session) unknownOutcome(reason errs.Reason, text string) *errs.Error {
	return errs.New(errs.Unknown, reason, text, errs.WithKey(c.settings.key))
}

// lostCommitError returns the error for a request whose connection was lost. If the
// outcome is unknown and the session has an idempotency key, the error names the
// key, by which the caller can ask for the outcome. Without a key nothing more can
// be found out.
func (c *session) lostCommitError(ctx context.Context, req *request, x *execution, e *errs.Error) *errs.Error {
	if e.Outcome() != errs.Unknown || c.settings.key == "" {
		return e
	}
	return c.unknownOutcome(e.Reason(), e.Text())
}

// snapshotCovers reports whether a snapshot at p covers the required position.
func (c *session) snapshotCovers(p, required group.Position) bool {
	if required.IsZero() {
		return true
	}
	g, ok := c.srv.dir.Group(c.database)
	if !ok || p.Term > g.Term {
		return false // the unknown term may have discarded the required position
	}
	return g.History.StateOf(p) == group.Kept && !p.Less(required)
}

// pairMajorityGroupSize is the largest group in which the primary and one replica
// are a majority.
const pairMajorityGroupSize = 3

// mayBeDiscarded reports whether the data of a snapshot at p has been discarded by a
// promotion, or may still be, because no majority is known to hold p.
func (c *session) mayBeDiscarded(m *member, p group.Position, hasPosition bool) bool {
	if !hasPosition {
		return false
	}
	if state, err := m.db.durabilityOf(p); err == nil && state != notKnown {
		return state == discarded
	}
	g, ok := m.db.srv.dir.Group(m.db.name)
	return ok && (g.Primary == m.name || len(g.Members) > pairMajorityGroupSize)
}

// isPrimary reports whether the member is the primary according to the directory.
func (m *member) isPrimary() bool {
	_, primary := m.role()
	return primary
}

// role returns the term of the group and whether the member is its primary, according
// to the directory.
func (m *member) role() (term uint64, primary bool) {
	g, ok := m.db.srv.dir.Group(m.db.name)
	return g.Term, ok && g.Primary == m.name
}
