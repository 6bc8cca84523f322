package entry

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"tamarackcross/pool"
)

const (
	maintainInterval = 250 * time.Millisecond // between checks of the connections of a database
	idleProbeTimeout = time.Second            // for the answer to an empty query on an idle connection
)

// maintain takes samples of the confirmed position and opens connections in advance
// of demand, closes those that are not needed and probes idle ones, until ctx ends.
func (db *database) maintain(ctx context.Context) {
	t := time.NewTicker(sampleInterval)
	defer t.Stop()
	var lastMaintained time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := time.Now()
		db.sample(ctx, now)
		if now.Sub(lastMaintained) < maintainInterval {
			continue
		}
		lastMaintained = now
		for _, m := range db.allMembers() {
			m.maintain(ctx, now)
		}
	}
}

func (db *database) allMembers() []*member {
	db.mu.Lock()
	defer db.mu.Unlock()
	out := make([]*member, 0, len(db.members))
	for _, m := range db.members {
		out = append(out, m)
	}
	return out
}

// maintain performs the actions that the plan of the connection pool decides on.
func (m *member) maintain(ctx context.Context, now time.Time) {
	load := m.slots.load()
	m.mu.Lock()
	view := pool.View{Opening: m.opening, Waiting: load.waiting, Limit: m.connLimit()}
	for _, b := range m.idle {
		view.Conns = append(view.Conns, pool.Conn{ID: b.id, Opened: b.opened, LastUsed: b.used, LastReceived: b.used})
	}
	for range m.open - m.opening - len(m.idle) {
		view.Conns = append(view.Conns, pool.Conn{State: pool.Busy, Opened: now, LastReceived: now})
	}
	actions := m.plan.Step(view, now)
	m.mu.Unlock()
	for _, a := range actions {
		m.perform(ctx, a)
	}
}

func (m *member) perform(ctx context.Context, a pool.Action) {
	switch a := a.(type) {
	case pool.Open:
		m.openInAdvance(ctx, a.Count)
	case pool.Close:
		if b := m.takeIdle(a.ID); b != nil {
			b.tainted = true
			m.put(b)
		}
	case pool.Probe:
		if b := m.takeIdle(a.ID); b != nil {
			m.db.wg.Go(func() { m.probeConn(b) })
		}
	}
}

// takeIdle takes the idle connection with an ID out of the pool, or returns nil if
// it is not idle any more.
func (m *member) takeIdle(id uint64) *backendConn {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, b := range m.idle {
		if b.id == id {
			m.idle = append(m.idle[:i], m.idle[i+1:]...)
			return b
		}
	}
	return nil
}

// probeConn sends an empty query on an idle connection, so that a silent connection
// is found before a request uses it. If there is no answer, the other idle
// connections are closed too.
func (m *member) probeConn(b *backendConn) {
	_ = b.wire.NetConn().SetDeadline(time.Now().Add(idleProbeTimeout))
	if err := b.roundTrip(); err != nil {
		b.tainted = true
		m.put(b)
		m.dropIdle()
		return
	}
	_ = b.wire.NetConn().SetDeadline(time.Time{})
	m.put(b)
}

// roundTrip sends an empty query and waits for its answer.
func (b *backendConn) roundTrip() error {
	if err := b.wire.Send(&pgproto3.Query{}); err != nil {
		return err
	}
	if err := b.wire.Flush(); err != nil {
		return err
	}
	for {
		f, err := b.wire.ReadFrame()
		if err != nil || f.Type == 'Z' {
			return err
		}
	}
}

// openForDemand opens connections in advance if demand is rising. It is called at
// the arrival of each request.
func (m *member) openForDemand() {
	load := m.slots.load()
	now := time.Now()
	m.mu.Lock()
	n := 0
	if !m.closed {
		n = m.plan.Grow(load.running+load.waiting, m.open-m.opening, m.opening, m.connLimit(), now)
	}
	m.mu.Unlock()
	if n > 0 {
		m.openInAdvance(m.db.ctx, n)
	}
}

// openInAdvance opens up to n connections in the background, within the connection
// limit.
func (m *member) openInAdvance(ctx context.Context, n int) {
	for range n {
		m.mu.Lock()
		allowed := !m.closed && m.open < m.connLimit() && ctx.Err() == nil
		if allowed {
			m.open++
			m.opening++
		}
		m.mu.Unlock()
		if !allowed {
			return
		}
		m.db.wg.Go(func() {
			b, err := m.openConn(ctx)
			m.mu.Lock()
			m.opening--
			m.mu.Unlock()
			if err == nil {
				m.put(b)
			}
		})
	}
}

// connLimit returns the share of this entry in the connections that the member
// accepts. The caller holds mu.
func (m *member) connLimit() int {
	return max(1, m.connections/max(1, m.db.srv.dir.Entries()))
}
