package group

import (
	"cmp"
	"math"
	"slices"
)

// StartRange is what is known of where a term started: after an offset from Least to Most. The log
// goes on there, and entries of earlier terms beyond were discarded.
type StartRange struct {
	Term  uint64
	Least uint64
	Most  uint64
}

// StartUnknown is the Most of a term of which nothing was seen yet.
const StartUnknown = math.MaxUint64

// maxStarts is the number of terms that Starts keeps.
const maxStarts = 64

// Starts lists where the terms of a group started, oldest first. Terms may be missing.
type Starts []StartRange

// With returns the list with what is known of a term added. What was known of it before holds on.
func (s Starts) With(r StartRange) Starts {
	out := slices.Clone(s)
	i, found := slices.BinarySearchFunc(out, r.Term, func(e StartRange, term uint64) int { return cmp.Compare(e.Term, term) })
	if found {
		out[i].Least, out[i].Most = max(out[i].Least, r.Least), min(out[i].Most, r.Most)
		return out
	}
	out = slices.Insert(out, i, r)
	return out[max(0, len(out)-maxStarts):]
}

// Until returns the terms up to the given one.
func (s Starts) Until(term uint64) Starts {
	return slices.DeleteFunc(slices.Clone(s), func(r StartRange) bool { return r.Term > term })
}

// Newest returns the newest term, or 0 for an empty list.
func (s Starts) Newest() uint64 {
	if len(s) == 0 {
		return 0
	}
	return s[len(s)-1].Term
}

// Of returns what is known of a term.
func (s Starts) Of(term uint64) (r StartRange, known bool) {
	for _, r := range s {
		if r.Term == term {
			return r, true
		}
	}
	return StartRange{}, false
}

// StateOf returns whether a log that ends at p was not cut off by a later term: Kept, Discarded if
// its end was, or Unknown if it may have been.
func (s Starts) StateOf(p Position) PositionState {
	state := Kept
	for _, r := range s {
		switch {
		case r.Term <= p.Term || p.Offset <= r.Least:
		case p.Offset > r.Most:
			return Discarded
		default:
			state = Unknown
		}
	}
	return state
}

// Clip returns the end of the part of a log ending at p that certainly no later term cut off.
func (s Starts) Clip(p Position) Position {
	for _, r := range s {
		if r.Term > p.Term {
			p.Offset = min(p.Offset, r.Least)
		}
	}
	return p
}

// ClipMost returns the end of the part of a log ending at p that no later term cut off for certain.
func (s Starts) ClipMost(p Position) Position {
	for _, r := range s {
		if r.Term > p.Term {
			p.Offset = min(p.Offset, r.Most)
		}
	}
	return p
}
