package group

import (
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// TermStart is the start of a term: the term continues the log after Offset. Entries of
// earlier terms beyond Offset were discarded.
type TermStart struct {
	Term   uint64
	Offset uint64
}

// PositionState tells whether a position is part of the log of a group.
type PositionState int

// Values of PositionState.
const (
	// Unknown means the history does not contain the term of the position.
	Unknown PositionState = iota
	// Kept means the position is in the log, or may still be appended to it in
	// the current term.
	Kept
	// Discarded means the position belonged to the end of a log that a later term
	// discarded.
	Discarded
)

// String returns the name of the state.
func (s PositionState) String() string {
	switch s {
	case Kept:
		return "kept"
	case Discarded:
		return "discarded"
	default:
		return "unknown"
	}
}

// History lists where each term of a group started, oldest first.
type History struct {
	starts []TermStart
}

// NewHistory returns a history of the given starts, which must be ordered by
// strictly increasing term.
func NewHistory(starts ...TermStart) (History, error) {
	for i := 1; i < len(starts); i++ {
		if starts[i].Term <= starts[i-1].Term {
			return History{}, eris.Errorf("history: term %d is not greater than the preceding term %d", starts[i].Term, starts[i-1].Term)
		}
	}
	return History{starts: slices.Clone(starts)}, nil
}

// Starts returns a copy of the starts, oldest first.
func (h History) Starts() []TermStart { return slices.Clone(h.starts) }

// Term returns the newest term, or 0 for an empty history.
func (h History) Term() uint64 {
	if len(h.starts) == 0 {
		return 0
	}
	return h.starts[len(h.starts)-1].Term
}

// Append returns the history extended by one start.
func (h History) Append(s TermStart) (History, error) {
	return NewHistory(append(h.Starts(), s)...)
}

// StateOf returns whether p is part of the log. A position is discarded if any
// later term started at a lower offset.
func (h History) StateOf(p Position) PositionState {
	if p.IsZero() {
		return Kept
	}
	i := slices.IndexFunc(h.starts, func(s TermStart) bool { return s.Term == p.Term })
	if i < 0 {
		return Unknown
	}
	for _, later := range h.starts[i+1:] {
		if p.Offset > later.Offset {
			return Discarded
		}
	}
	return Kept
}

// CoversTermStart reports whether p is part of the log, at or beyond the start of the newest term.
func (h History) CoversTermStart(p Position) bool {
	if h.StateOf(p) != Kept {
		return false
	}
	return len(h.starts) == 0 || p.Offset >= h.starts[len(h.starts)-1].Offset
}

// String formats the history as "term@offset" fields separated by commas.
func (h History) String() string {
	fields := make([]string, 0, len(h.starts))
	for _, s := range h.starts {
		fields = append(fields, strings.Replace(Position(s).String(), "/", "@", 1))
	}
	return strings.Join(fields, ",")
}

// ParseHistory parses the format of History.String.
func ParseHistory(text string) (History, error) {
	if text == "" {
		return History{}, nil
	}
	var starts []TermStart
	for field := range strings.SplitSeq(text, ",") {
		p, err := ParsePosition(strings.Replace(field, "@", "/", 1))
		if err != nil {
			return History{}, eris.Wrap(err, "history")
		}
		starts = append(starts, TermStart(p))
	}
	return NewHistory(starts...)
}

// Clip returns the end of the part of a log ending at p that no later term
// discarded. The log of a member that missed a promotion may go beyond it.
func (h History) Clip(p Position) Position {
	i := slices.IndexFunc(h.starts, func(s TermStart) bool { return s.Term > p.Term })
	if i < 0 {
		return p
	}
	for _, later := range h.starts[i:] {
		p.Offset = min(p.Offset, later.Offset)
	}
	return p
}
