package entry

import (
	"context"
	"time"
)

// acquiredConn is a backend connection together with the slot for its use.
type acquiredConn struct {
	member *member
	conn   *backendConn
	slotID uint64
	since  time.Time
}

// acquire chooses a member for a request, waits in its admission queue for a slot
// and returns a connection to it.
func (c *session) acquire(ctx context.Context, req *request) (*acquiredConn, error) {
	req.attempts++
	if err := c.checkDeadline(req, time.Now()); err != nil {
		return nil, err
	}
	m, err := c.route(ctx, req)
	if err != nil {
		return nil, err
	}
	m.openForDemand()
	slotID, err := m.slots.acquire(ctx, c.admissionRequest(req))
	if err != nil {
		req.slotsUnowned = m.slots.load().unowned
		req.excludedMembers = append(req.excludedMembers, m.name)
		return nil, err
	}
	l := &acquiredConn{member: m, slotID: slotID, since: time.Now()}
	if l.conn, err = m.take(ctx); err != nil {
		l.releaseSlot()
		m.reportToBreaker(err)
		return nil, err
	}
	return l, nil
}

// releaseSlot returns the slot. The connection is returned separately, because it
// may be kept for an open transaction.
func (l *acquiredConn) releaseSlot() { l.member.slots.release(l.slotID, time.Since(l.since)) }

// returnConn returns the connection of x to the pool, or keeps it for the
// transaction that is open on it.
func (c *session) returnConn(x *execution, err error) {
	switch {
	case err != nil:
		x.conn.tainted = true
	case x.req.pins:
		// The connection has state of this session, even if the request failed: a
		// part of it may have taken an advisory lock, for instance.
		x.conn.tainted = true
	}
	if err == nil && x.status != statusIdle {
		open := x.req.keepsTxOpen && x.status == 0
		c.tx = &openTx{conn: x.conn, vars: c.vars, awaitsSync: open, implicit: open}
		c.tx.wrote, c.tx.pins, c.tx.failed = x.req.write, x.req.pins, x.failure != nil
		c.recordTxVars(x.req, x)
		return
	}
	x.conn.member.put(x.conn)
}
