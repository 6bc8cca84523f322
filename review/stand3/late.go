package main

import "time"

// The time after which a member carries out an order that it left unanswered.
const (
	minLate = 2 * time.Second
	maxLate = 12 * time.Second
)

// lateOrder lets one member leave one order to receive again unanswered, and carry it out late.
type lateOrder struct {
	member *member // nil if none does
	taken  bool
}

// takeLate reports whether an order is left unanswered. If so, it is carried out once the member has been
// paused again, but not before minLate, and at the latest after maxLate.
func (m *member) takeLate(order string) bool {
	g := m.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if order != "RESUME" || g.late.member != m || g.late.taken {
		return false
	}
	g.late.taken = true
	received := time.Now()
	g.rec.note("%s leaves RESUME unanswered", m.id)
	go func() {
		time.Sleep(minLate)
		for time.Since(received) < maxLate {
			g.mu.Lock()
			paused := m.pausedTerm != 0
			g.mu.Unlock()
			if paused {
				time.Sleep(50 * time.Millisecond)
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		m.pausedTerm = 0
		g.rec.note("%s carries out the RESUME of %.1f s ago; %s", m.id, time.Since(received).Seconds(), g.describe())
	}()
	return true
}
