package route

import "tamarackcross/group"

// WithNumericBounds compares offsets without the history. It is wrong on
// purpose: tests use it to show that their checks find the fault.
func WithNumericBounds() Option {
	return func(p *Policy) {
		p.covers = func(_ group.History, have, need group.Position) bool { return have.Offset >= need.Offset }
	}
}
