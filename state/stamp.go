// Package state implements the replicated state machine that executes the
// commands of the control log. It holds the versions of the configuration, the
// instances, the databases with their terms and members, and the owner of each
// member: the entry instance that grants the slots of the member to the others.
//
// The machine is deterministic and reads no clock. Its state is divided into
// sections: one for the configuration, one per instance and one per database.
// A View is an immutable copy of all sections that readers share without locks.
// Each applied command yields a Delta with the sections that it changed.
package state

import (
	"cmp"
	"fmt"
)

// Stamp is the version of a state: term and index of the last log entry that
// changed it.
type Stamp struct {
	Term  uint64
	Index uint64
}

// Compare orders s and t by term, then by index.
func (s Stamp) Compare(t Stamp) int {
	if c := cmp.Compare(s.Term, t.Term); c != 0 {
		return c
	}
	return cmp.Compare(s.Index, t.Index)
}

// Less reports whether s is older than t.
func (s Stamp) Less(t Stamp) bool { return s.Compare(t) < 0 }

// IsZero reports whether s is the stamp of the initial, empty state.
func (s Stamp) IsZero() bool { return s == Stamp{} }

// String formats the stamp as "term/index".
func (s Stamp) String() string { return fmt.Sprintf("%d/%d", s.Term, s.Index) }

// Kind says what a section describes.
type Kind uint8

// The kinds of sections.
const (
	KindConfig   Kind = 1
	KindInstance Kind = 2
	KindDatabase Kind = 3
	kindCount         = 4
)

// String returns the name of the kind.
func (k Kind) String() string {
	switch k {
	case KindConfig:
		return "config"
	case KindInstance:
		return "instance"
	case KindDatabase:
		return "database"
	default:
		return fmt.Sprintf("kind%d", uint8(k))
	}
}

// Key identifies a section. The configuration section has an empty name.
type Key struct {
	Kind Kind
	Name string
}

// Compare orders keys by kind, then by name.
func (k Key) Compare(l Key) int {
	if c := cmp.Compare(k.Kind, l.Kind); c != 0 {
		return c
	}
	return cmp.Compare(k.Name, l.Name)
}

// String formats the key as "kind/name".
func (k Key) String() string { return k.Kind.String() + "/" + k.Name }

// Change sets a section to Data, or removes it. Data must not be modified.
type Change struct {
	Key     Key
	Data    []byte
	Removed bool
}

// Delta holds the sections that the log entry at Stamp changed. Prev is the
// stamp of the state to which the delta applies. In a delta without changes
// both stamps are equal.
type Delta struct {
	Prev    Stamp
	Stamp   Stamp
	Changes []Change
}

// IsZero reports whether the delta contains no changes.
func (d Delta) IsZero() bool { return len(d.Changes) == 0 }
