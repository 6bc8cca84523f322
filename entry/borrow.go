package entry

import (
	"context"
	"time"
)

// loan is a connection together with the slot on which it is used.
type loan struct {
	member *member
	conn   *backendConn
	ticket uint64
	since  time.Time
}

// borrow takes a request through admission and routing and returns a connection
// to the chosen member.
func (c *session) borrow(ctx context.Context, req *request) (*loan, error) {
	req.attempts++
	if err := c.admit(req, time.Now()); err != nil {
		return nil, err
	}
	m, err := c.route(ctx, req)
	if err != nil {
		return nil, err
	}
	m.grow()
	ticket, err := m.gate.enter(ctx, c.admission(req))
	if err != nil {
		req.unowned = m.gate.load().unowned
		req.tried = append(req.tried, m.name)
		return nil, err
	}
	l := &loan{member: m, ticket: ticket, since: time.Now()}
	if l.conn, err = m.take(ctx); err != nil {
		l.free()
		m.settleHealth(err)
		return nil, err
	}
	return l, nil
}

// free gives the slot back. The connection goes its own way: it may be kept for
// an open transaction.
func (l *loan) free() { l.member.gate.leave(l.ticket, time.Since(l.since)) }

// handBack returns the connection of x, or keeps it for the transaction that is
// open on it.
func (c *session) handBack(x *execution, err error) {
	switch {
	case err != nil:
		x.b.tainted = true
	case x.req.pins:
		// Its state is that of this session from here on. A part of a request
		// that failed may have left state too, such as an advisory lock.
		x.b.tainted = true
	}
	if err == nil && x.status != statusIdle {
		open := x.req.open && x.status == 0
		c.tx = &openTx{conn: x.b, vars: c.vars, unsynced: open, implicit: open}
		c.tx.wrote, c.tx.pins, c.tx.failed = x.req.write, x.req.pins, x.failure != nil
		c.trackVars(x.req, x)
		return
	}
	x.b.member.put(x.b)
}
