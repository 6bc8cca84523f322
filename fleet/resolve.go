package fleet

import "math/bits"

// The parts that a scope can name, as bits of a set of parts.
const (
	partDatabase uint8 = 1 << iota
	partCaller
	partFingerprint
)

// partSets lists the sets of scope parts from the least to the most specific:
// fewer parts first; among sets of the same size, a database before a caller
// before a fingerprint.
var partSets = []uint8{
	partDatabase,
	partCaller,
	partFingerprint,
	partDatabase | partCaller,
	partDatabase | partFingerprint,
	partCaller | partFingerprint,
	partDatabase | partCaller | partFingerprint,
}

// index finds exceptions by scope. A set of parts that no exception has costs no
// lookup.
type index struct {
	byScope      map[Scope]*Overrides
	usedPartSets uint8 // bit n is set if an exception has the set of parts n+1
}

func newIndex(exceptions []Exception) index {
	x := index{byScope: make(map[Scope]*Overrides, len(exceptions))}
	for i := range exceptions {
		e := &exceptions[i]
		x.byScope[e.Scope] = &e.Set
		x.usedPartSets |= 1 << (e.Scope.parts() - 1)
	}
	return x
}

// Resolve returns the settings for a statement. Each field takes its value from
// the most specific exception that sets it. A scope with more parts is more
// specific; among scopes with equally many parts, fingerprint takes precedence
// over caller, and caller over database. Waits are limited to the resulting
// deadline, and idle connections to the greatest number of connections.
//
// Resolve does not allocate if no exception matches.
func (d *Document) Resolve(s Scope) Settings {
	if d.index.usedPartSets == 0 {
		return d.defaults
	}
	var matches [7]*Overrides
	n := d.index.match(s, &matches)
	if n == 0 {
		return d.defaults
	}
	return merge(d.defaults, matches[:n])
}

// match stores the overrides for s in matches, the least specific first, and
// returns their number.
func (x *index) match(s Scope, matches *[7]*Overrides) int {
	n := 0
	all := s.parts()
	for _, parts := range partSets {
		if parts&all != parts || x.usedPartSets&(1<<(parts-1)) == 0 {
			continue
		}
		if o, ok := x.byScope[s.restrictTo(parts)]; ok {
			matches[n] = o
			n++
		}
	}
	return n
}

func merge(s Settings, matches []*Overrides) Settings {
	for _, o := range matches {
		o.apply(&s)
	}
	s.clamp()
	return s
}

// parts returns the set of parts that the scope names.
func (s Scope) parts() uint8 {
	var parts uint8
	if s.Database != "" {
		parts |= partDatabase
	}
	if s.Caller != "" {
		parts |= partCaller
	}
	if s.Fingerprint != 0 {
		parts |= partFingerprint
	}
	return parts
}

// restrictTo returns the scope without the parts that are not in the given set.
func (s Scope) restrictTo(parts uint8) Scope {
	if parts&partDatabase == 0 {
		s.Database = ""
	}
	if parts&partCaller == 0 {
		s.Caller = ""
	}
	if parts&partFingerprint == 0 {
		s.Fingerprint = 0
	}
	return s
}

// apply copies the overridden fields to s. Its cost depends on their number only.
func (o *Overrides) apply(s *Settings) {
	for mask := o.mask; mask != 0; mask &= mask - 1 {
		fields[bits.TrailingZeros64(mask)].copy(s, &o.values)
	}
}

func (s *Settings) clamp() {
	s.QueueWait = min(s.QueueWait, s.Deadline)
	s.ReplicaWait = min(s.ReplicaWait, s.Deadline)
	s.IdleConnections = min(s.IdleConnections, s.MaxConnections)
}
