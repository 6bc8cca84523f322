package spread

import (
	"slices"
	"time"

	"tamarackcross/state"
)

// ReceiveBackward receives m on a core that lets an old delta replace its state.
// It shows that the check of forward movement can fail.
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

// ReceiveFirst receives m on a core that starts with the first answer instead
// of the highest. It shows that the check of the start procedure can fail.
func ReceiveFirst(c *Core, m Message, now time.Time) []Action {
	if s, ok := m.(Summary); ok && c.join != nil && c.join.asked[s.From] {
		c.join.asked = map[string]bool{s.From: true}
	}
	return c.Receive(m, now)
}
