package route

import (
	"sort"
	"time"

	"tamarackcross/group"
)

// maxSamples bounds the memory per database. When the list is full, every second
// sample of the older half is dropped: recent samples keep their full resolution,
// older ones become sparse.
const maxSamples = 128

type sample struct {
	at       time.Time
	position group.Position
}

// Samples records positions of the primary over time, to resolve read bounds
// given as an age. It is not safe for concurrent use.
type Samples struct {
	list []sample
}

// Add records that p covers everything committed before now. p is a position in
// the term of the primary that reported it, and a majority must have confirmed
// that primary at now or later. A sample that is not newer than the last one, or
// whose position is lower, is ignored.
func (s *Samples) Add(now time.Time, p group.Position) {
	if n := len(s.list); n > 0 {
		last := s.list[n-1]
		if !now.After(last.at) || p.Less(last.position) {
			return
		}
	}
	if len(s.list) == maxSamples {
		s.thin()
	}
	s.list = append(s.list, sample{at: now, position: p})
}

// thin drops every second sample of the older half. Lookups that would have
// returned a dropped sample return the next one, which covers more.
func (s *Samples) thin() {
	kept := s.list[:0]
	for i, x := range s.list {
		if i >= maxSamples/2 || i%2 == 1 {
			kept = append(kept, x)
		}
	}
	s.list = kept
}

// At returns the oldest sample taken at or after t by a primary of the given
// term or a later one. It covers everything committed before t. Samples of
// earlier terms are skipped, because a replaced primary does not know the commits
// of its successor.
func (s *Samples) At(t time.Time, term uint64) (group.Position, bool) {
	if s == nil {
		return group.Position{}, false
	}
	i := sort.Search(len(s.list), func(i int) bool {
		return !s.list[i].at.Before(t) && s.list[i].position.Term >= term
	})
	return s.get(i)
}

func (s *Samples) get(i int) (group.Position, bool) {
	if i == len(s.list) {
		return group.Position{}, false
	}
	return s.list[i].position, true
}

// Reached returns the time of the oldest sample at or beyond p. The primary
// reached p at that time or earlier.
func (s *Samples) Reached(p group.Position) (time.Time, bool) {
	if s == nil {
		return time.Time{}, false
	}
	i := sort.Search(len(s.list), func(i int) bool { return !s.list[i].position.Less(p) })
	if i == len(s.list) {
		return time.Time{}, false
	}
	return s.list[i].at, true
}
