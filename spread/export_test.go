package spread

import (
	"slices"
	"time"

	"tamarackcross/state"
)

// ReceiveBackward is Receive with a fault: an old delta replaces the state by an older
// one. It shows that the check that stamps never go back can fail.
func ReceiveBackward(c *Core, m Message, now time.Time) []Action {
	if p, ok := m.(Push); ok && p.Delta.Stamp.Less(c.stamp()) {
		old := state.Empty()
		if v, err := old.Replace(p.Delta.Prev, slices.Collect(c.View().Sections())); err == nil {
			old = v
		}
		c.view.Store(old)
	}
	return c.Receive(m, now)
}

// ReceiveFirst is Receive with a fault: the start procedure takes the first answer
// instead of the newest state. It shows that the check of that procedure can fail.
func ReceiveFirst(c *Core, m Message, now time.Time) []Action {
	if s, ok := m.(Summary); ok && c.startup != nil && c.startup.unanswered[s.From] {
		c.startup.unanswered = map[string]bool{s.From: true}
	}
	return c.Receive(m, now)
}
