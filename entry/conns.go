package entry

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"tamarackcross/pool"
)

const (
	maintainInterval = 250 * time.Millisecond // between looks at the connections of a database
	probeLimit       = time.Second            // for the answer to a probe of an idle connection
)

// maintain opens connections ahead of demand, closes those that are not needed
// and probes idle ones, until ctx ends.
func (db *database) maintain(ctx context.Context) {
	t := time.NewTicker(sampleInterval)
	defer t.Stop()
	var looked time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := time.Now()
		db.sample(ctx, now)
		if now.Sub(looked) < maintainInterval {
			continue
		}
		looked = now
		for _, m := range db.all() {
			m.maintain(ctx, now)
		}
	}
}

func (db *database) all() []*member {
	db.mu.Lock()
	defer db.mu.Unlock()
	out := make([]*member, 0, len(db.members))
	for _, m := range db.members {
		out = append(out, m)
	}
	return out
}

// maintain carries out what the plan of the connections asks for.
func (m *member) maintain(ctx context.Context, now time.Time) {
	load := m.gate.load()
	m.mu.Lock()
	view := pool.View{Opening: m.opening, Waiting: load.waiting, Limit: m.limit()}
	for _, b := range m.idle {
		view.Conns = append(view.Conns, pool.Conn{ID: b.id, Opened: b.opened, Used: b.used, Answered: b.used})
	}
	for range m.open - m.opening - len(m.idle) {
		view.Conns = append(view.Conns, pool.Conn{State: pool.Busy, Opened: now, Answered: now})
	}
	actions := m.plan.Step(view, now)
	m.mu.Unlock()
	for _, a := range actions {
		m.act(ctx, a)
	}
}

func (m *member) act(ctx context.Context, a pool.Action) {
	switch a := a.(type) {
	case pool.Open:
		m.openAhead(ctx, a.Count)
	case pool.Close:
		if b := m.pick(a.ID); b != nil {
			b.tainted = true
			m.put(b)
		}
	case pool.Probe:
		if b := m.pick(a.ID); b != nil {
			m.db.wg.Go(func() { m.probeConn(b) })
		}
	}
}

// pick takes an idle connection by its identifier.
func (m *member) pick(id uint64) *backendConn {
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

// probeConn sends an empty query on an idle connection, so that one whose path
// was lost is found before a request uses it.
func (m *member) probeConn(b *backendConn) {
	_ = b.wc.NetConn().SetDeadline(time.Now().Add(probeLimit))
	if err := b.roundTrip(); err != nil {
		b.tainted = true
		m.put(b)
		m.dropIdle()
		return
	}
	_ = b.wc.NetConn().SetDeadline(time.Time{})
	m.put(b)
}

// roundTrip waits for the answer to an empty query.
func (b *backendConn) roundTrip() error {
	if err := b.wc.Send(&pgproto3.Query{}); err != nil {
		return err
	}
	if err := b.wc.Flush(); err != nil {
		return err
	}
	for {
		f, err := b.wc.ReadFrame()
		if err != nil || f.Type == 'Z' {
			return err
		}
	}
}

// grow opens connections ahead of a rise of demand. It is called at each
// arrival.
func (m *member) grow() {
	load := m.gate.load()
	now := time.Now()
	m.mu.Lock()
	n := 0
	if !m.closed {
		n = m.plan.Grow(load.running+load.waiting, m.open-m.opening, m.opening, m.limit(), now)
	}
	m.mu.Unlock()
	if n > 0 {
		m.openAhead(m.db.ctx, n)
	}
}

// openAhead opens up to n connections in the background, within the limit.
func (m *member) openAhead(ctx context.Context, n int) {
	for range n {
		m.mu.Lock()
		allowed := !m.closed && m.open < m.limit() && ctx.Err() == nil
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

// limit returns the part of this entry in the connections of the member. The
// caller holds mu.
func (m *member) limit() int {
	return max(1, m.connections/max(1, m.db.srv.dir.Entries()))
}
