package promo

import "tamarackcross/group"

// The options of this file weaken a rule on purpose: tests use them to show
// that their checks find the fault.

// WithoutClip compares positions of fenced members as they are reported.
func WithoutClip() Option {
	return func(c *config) {
		c.clip = func(_ group.History, p group.Position) group.Position { return p }
	}
}

// WithoutStores counts members that lost their data.
func WithoutStores() Option { return func(c *config) { c.storeMatters = false } }

// WithZones sets the number of zones that must agree on a failure.
func WithZones(n int) Option { return func(c *config) { c.zones = n } }
