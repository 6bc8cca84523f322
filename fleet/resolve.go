package fleet

import "math/bits"

// The parts of a scope, as bits of a shape.
const (
	partDatabase uint8 = 1 << iota
	partCaller
	partFingerprint
)

// shapes lists the combinations of scope parts from the least specific to the
// most specific: fewer parts first; among equally many parts, a database before
// a caller before a fingerprint.
var shapes = []uint8{
	partDatabase,
	partCaller,
	partFingerprint,
	partDatabase | partCaller,
	partDatabase | partFingerprint,
	partCaller | partFingerprint,
	partDatabase | partCaller | partFingerprint,
}

// index finds exceptions by scope. Shapes without exceptions cost no lookup.
type index struct {
	byScope map[Scope]*Overrides
	used    uint8 // bit n is set when shape n+1 has exceptions
}

func newIndex(exceptions []Exception) index {
	x := index{byScope: make(map[Scope]*Overrides, len(exceptions))}
	for i := range exceptions {
		e := &exceptions[i]
		x.byScope[e.Scope] = &e.Set
		x.used |= 1 << (e.Scope.shape() - 1)
	}
	return x
}

// Resolve returns the settings for a statement. Each field takes its value from
// the most specific exception that sets it: more scope parts win; among equally
// many, fingerprint wins over caller, and caller over database. Waits are cut
// to the resulting deadline, and idle connections to the connection limit.
//
// A statement that no exception matches costs no allocation.
func (d *Document) Resolve(s Scope) Settings {
	if d.index.used == 0 {
		return d.defaults
	}
	var hits [7]*Overrides
	n := d.index.match(s, &hits)
	if n == 0 {
		return d.defaults
	}
	return merge(d.defaults, hits[:n])
}

// match collects the overrides for s, the least specific first.
func (x *index) match(s Scope, hits *[7]*Overrides) int {
	n := 0
	whole := s.shape()
	for _, shape := range shapes {
		if shape&whole != shape || x.used&(1<<(shape-1)) == 0 {
			continue
		}
		if o, ok := x.byScope[s.keep(shape)]; ok {
			hits[n] = o
			n++
		}
	}
	return n
}

func merge(s Settings, hits []*Overrides) Settings {
	for _, o := range hits {
		o.apply(&s)
	}
	s.clamp()
	return s
}

// shape returns the parts that the scope names.
func (s Scope) shape() uint8 {
	var shape uint8
	if s.Database != "" {
		shape |= partDatabase
	}
	if s.Caller != "" {
		shape |= partCaller
	}
	if s.Fingerprint != 0 {
		shape |= partFingerprint
	}
	return shape
}

// keep returns the scope reduced to the parts of shape.
func (s Scope) keep(shape uint8) Scope {
	if shape&partDatabase == 0 {
		s.Database = ""
	}
	if shape&partCaller == 0 {
		s.Caller = ""
	}
	if shape&partFingerprint == 0 {
		s.Fingerprint = 0
	}
	return s
}

// apply copies the overridden fields, at a cost that grows only with their
// number.
func (o *Overrides) apply(s *Settings) {
	for set := o.set; set != 0; set &= set - 1 {
		fields[bits.TrailingZeros64(set)].copy(s, &o.values)
	}
}

func (s *Settings) clamp() {
	s.QueueWait = min(s.QueueWait, s.Deadline)
	s.ReplicaWait = min(s.ReplicaWait, s.Deadline)
	s.IdleConnections = min(s.IdleConnections, s.MaxConnections)
}
