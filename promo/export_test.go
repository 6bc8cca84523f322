package promo

import "tamarackcross/group"

// The options in this file disable a safety rule on purpose. Tests use them to
// show that their checks detect the resulting fault.

// WithoutClip compares the reported positions of fenced members without cutting
// off the part of their logs that a later term discarded.
func WithoutClip() Option {
	return func(c *config) {
		c.clip = func(_ group.History, p group.Position) group.Position { return p }
	}
}

// WithoutStoreCheck lets members that lost their data count in the majority.
func WithoutStoreCheck() Option { return func(c *config) { c.checkStore = false } }

// WithZoneQuorum sets the number of zones that must agree on a failure.
func WithZoneQuorum(n int) Option { return func(c *config) { c.zoneQuorum = n } }
