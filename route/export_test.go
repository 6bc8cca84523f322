package route

import "tamarackcross/group"

// WithOffsetOnlyBounds compares offsets without regard to the history. This is
// wrong on purpose: a test uses it to show that its checks detect the fault.
func WithOffsetOnlyBounds() Option {
	return func(p *Policy) {
		p.covers = func(_ group.History, have, required group.Position) bool { return have.Offset >= required.Offset }
	}
}
