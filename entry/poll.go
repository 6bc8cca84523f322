package entry

import (
	"context"
	"time"

	"tamarackcross/group"
	"tamarackcross/pgctl"
)

const pollTimeout = 500 * time.Millisecond // for one call that waits until a replica has applied more

// pollUntil polls the applied position of a replica in the background until it
// reaches the required one. One goroutine per member serves all waiting sessions.
func (m *member) pollUntil(required group.Position) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.awaitedPosition.Less(required) {
		m.awaitedPosition = required
	}
	if m.polling || m.closed || !m.applied.Less(m.awaitedPosition) {
		return
	}
	m.polling = true
	m.db.wg.Go(func() { m.pollLoop(m.db.ctx) })
}

// pollLoop polls until the awaited position is reached or a call fails. After a
// failure a session that still waits starts it again.
func (m *member) pollLoop(ctx context.Context) {
	defer m.pollEnded()
	c, err := m.dialControl(ctx)
	if err != nil {
		return
	}
	defer c.Close()
	for ctx.Err() == nil {
		applied, _ := m.position()
		if !m.behindAwaited(applied) {
			return
		}
		if err := m.pollOnce(ctx, c, applied); err != nil {
			return
		}
	}
}

func (m *member) behindAwaited(applied group.Position) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return applied.Less(m.awaitedPosition)
}

func (m *member) pollEnded() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.polling = false
	m.awaitedPosition = group.Position{}
}

// pollOnce waits until the member has applied more than applied.
func (m *member) pollOnce(ctx context.Context, c *pgctl.Conn, applied group.Position) error {
	ctx, stop := context.WithTimeout(ctx, pollTimeout)
	defer stop()
	p, err := c.Applied(ctx, applied, watchPoll)
	if err != nil {
		return err
	}
	m.recordApplied(p, time.Now())
	return nil
}
