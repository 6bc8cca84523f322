package entry

import (
	"context"
	"time"

	"tamarackcross/group"
	"tamarackcross/pgctl"
)

const followTimeout = 500 * time.Millisecond // of one call that waits for a replica

// follow keeps asking a replica for the position that it has applied until it
// reaches need. One goroutine per member serves all sessions that wait.
func (m *member) follow(need group.Position) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.wanted.Less(need) {
		m.wanted = need
	}
	if m.following || m.closed || !m.applied.Less(m.wanted) {
		return
	}
	m.following = true
	m.db.wg.Go(func() { m.followLoop(m.db.ctx) })
}

// followLoop ends when the wanted position is reached, and on any failure: a
// session that still waits starts it again.
func (m *member) followLoop(ctx context.Context) {
	defer m.followed()
	c, err := m.control(ctx)
	if err != nil {
		return
	}
	defer c.Close()
	for ctx.Err() == nil {
		applied, _ := m.position()
		if !m.wants(applied) {
			return
		}
		if err := m.followOnce(ctx, c, applied); err != nil {
			return
		}
	}
}

func (m *member) wants(applied group.Position) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return applied.Less(m.wanted)
}

func (m *member) followed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.following = false
	m.wanted = group.Position{}
}

// followOnce waits until the member has applied more than applied.
func (m *member) followOnce(ctx context.Context, c *pgctl.Conn, applied group.Position) error {
	ctx, stop := context.WithTimeout(ctx, followTimeout)
	defer stop()
	p, err := c.Applied(ctx, applied, watchPoll)
	if err != nil {
		return err
	}
	m.observe(p, time.Now())
	return nil
}
