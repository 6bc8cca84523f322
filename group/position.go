// Package group defines the types that describe a replicated database group: log
// positions, the history of its terms, and read bounds.
package group

import (
	"cmp"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// Position is a place in the log of a group. Positions compare by term first: an
// offset has no meaning without its term.
type Position struct {
	Term   uint64
	Offset uint64
}

// Compare orders p and q by term, then by offset.
func (p Position) Compare(q Position) int {
	if c := cmp.Compare(p.Term, q.Term); c != 0 {
		return c
	}
	return cmp.Compare(p.Offset, q.Offset)
}

// Less reports whether p comes before q.
func (p Position) Less(q Position) bool { return p.Compare(q) < 0 }

// IsZero reports whether p is the position before the first entry.
func (p Position) IsZero() bool { return p == Position{} }

// String formats the position as "term/offset".
func (p Position) String() string {
	return strconv.FormatUint(p.Term, 10) + "/" + strconv.FormatUint(p.Offset, 10)
}

// ParsePosition parses the format of Position.String.
func ParsePosition(s string) (Position, error) {
	term, offset, found := strings.Cut(s, "/")
	if !found {
		return Position{}, eris.Errorf("position %q: want term/offset", s)
	}
	t, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return Position{}, eris.Errorf("position %q: term is not a number", s)
	}
	o, err := strconv.ParseUint(offset, 10, 64)
	if err != nil {
		return Position{}, eris.Errorf("position %q: offset is not a number", s)
	}
	return Position{Term: t, Offset: o}, nil
}
