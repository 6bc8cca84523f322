package entry

import (
	"context"

	"tamarackcross/errs"
	"tamarackcross/group"
)

// rollbackTag is the answer to COMMIT of a failed transaction: nothing was
// committed, so there is no position to settle.
const rollbackTag = "ROLLBACK"

// settle decides whether an answer may go to the caller. A commit is
// acknowledged once a majority of the group holds its position; a read at the
// primary once its snapshot does, since data that a promotion could still
// discard must not be acted on.
func (c *session) settle(ctx context.Context, req *request, x *execution) error {
	if req.latest {
		return c.confirmLatest(ctx, x)
	}
	if !x.located {
		if !req.acknowledges(nil) || !req.wrote || x.tag == rollbackTag {
			return nil
		}
		return c.unknown(errs.ReasonProtocol, "backend server reported no position for the commit")
	}
	return c.awaitMajority(ctx, req, x)
}

func (c *session) awaitMajority(ctx context.Context, req *request, x *execution) error {
	db := x.b.member.db
	limit, stop := context.WithTimeout(ctx, req.policy.CommitTimeout)
	defer stop()
	for {
		changed := db.srv.dir.Changed()
		raised := db.raised()
		g, err := db.group()
		if err != nil {
			return err
		}
		if g.History.Contains(x.position) == group.Discarded {
			return errs.New(errs.NotRun, errs.ReasonBoundDiscarded, "commit was discarded by a change of primary")
		}
		if db.confirmed(x.position) {
			return nil
		}
		select {
		case <-raised:
		case <-changed:
		case <-limit.Done():
			return c.unknown(errs.ReasonNoMajority, "no majority confirmed the commit in time")
		}
	}
}

// raised returns a channel that is closed when the known majority rises.
func (db *database) raised() <-chan struct{} {
	db.mu.Lock()
	defer db.mu.Unlock()
	return db.changed
}

// confirmLatest proves with a majority round that the primary was not replaced
// before the read.
func (c *session) confirmLatest(ctx context.Context, x *execution) error {
	p, err := x.b.member.db.confirms.current(ctx)
	if err != nil {
		return asError(err)
	}
	if x.located && p.Less(x.position) {
		return errs.New(errs.NotRun, errs.ReasonNoPrimary, "the primary was replaced during the read")
	}
	return nil
}

// unknown is the answer for a write whose outcome cannot be told.
func (c *session) unknown(reason errs.Reason, text string) *errs.Error {
	return errs.New(errs.Unknown, reason, text, errs.WithKey(c.set.key))
}

// resolveLost turns the loss of a connection during a commit into what is known
// of its outcome. Without a key nothing more can be found out.
func (c *session) resolveLost(ctx context.Context, req *request, x *execution, e *errs.Error) *errs.Error {
	if e.Outcome() != errs.Unknown || c.set.key == "" {
		return e
	}
	return c.unknown(e.Reason(), e.Text())
}

// holds reports whether a snapshot at p covers everything up to need.
func (c *session) holds(p, need group.Position) bool {
	if need.IsZero() {
		return true
	}
	g, ok := c.srv.dir.Group(c.database)
	if !ok || p.Term > g.Term {
		return false // a term not known here may have discarded need
	}
	return g.History.Contains(p) == group.Kept && !p.Less(need)
}

// smallGroup is the largest group in which a replica that holds a position makes
// a majority together with the primary.
const smallGroup = 3

// unsettled reports whether a snapshot may still be discarded by a promotion.
func (c *session) unsettled(m *member, p group.Position, located bool) bool {
	if !located || m.db.confirmed(p) {
		return false
	}
	g, ok := m.db.srv.dir.Group(m.db.name)
	return ok && (g.Primary == m.name || len(g.Members) > smallGroup)
}

// primary reports whether the member is the primary as far as is known here.
func (m *member) primary() bool {
	g, ok := m.db.srv.dir.Group(m.db.name)
	return ok && g.Primary == m.name
}
