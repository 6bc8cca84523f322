package duty

import (
	"time"

	"tamarackcross/group"
)

// A promotion discards what the promoted member has not received. A member that was cut off meanwhile
// still has it, and its position may be beyond that of a member that has only missed the new term. If
// it were promoted, commits that callers already miss would come back, and those of the term between
// would be gone. Positions do not show this, so control keeps where terms started.

const (
	// observeInterval is the time between status requests to a primary whose term is not recorded.
	observeInterval = 500 * time.Millisecond
	// unclearTimeout limits the wait for further members while all that answered may have a
	// discarded log.
	unclearTimeout = 3 * time.Second
)

// terms is the state of a Supervisor that concerns the starts of terms.
type terms struct {
	primary      string // whose term is recorded
	born         int64  // its start
	askedAt      time.Time
	unclearSince time.Time // when the successor was first one whose log may be discarded
}

// observeTerm requests the status of a primary whose term is not recorded yet. Before the first order
// there is nothing to record.
func (s *Supervisor) observeTerm(m Member, now time.Time) []Action {
	recorded := s.terms.primary == m.ID && s.terms.born == m.Born
	if s.view.Ordered == "" || recorded || now.Sub(s.terms.askedAt) < observeInterval {
		return nil
	}
	s.terms.askedAt = now
	return []Action{AskStatus{ID: m.ID}}
}

// recordTerm records where the term of a primary that answered started, unless that is known.
func (s *Supervisor) recordTerm(st Status) []Action {
	m, listed := s.member(st.ID)
	if st.Err != nil || !st.Primary || !listed || s.view.Ordered == "" {
		return nil
	}
	// Terms never decrease, so a group that was set up anew leads. A former primary may still act as one where
	// successions overlap.
	renewed := !s.overlap.enabled && s.view.Starts.Newest() > st.Term
	if _, known := s.view.Starts.Of(st.Term); known && !renewed {
		s.terms.primary, s.terms.born = m.ID, m.Born
		return nil
	}
	start := group.StartRange{Term: st.Term, Most: st.Received.Offset}
	switch {
	case st.Received.Term < st.Term: // it has committed nothing yet
		start.Least = st.Received.Offset
	case s.view.Ordered == st.ID && s.view.Held.Term < st.Term:
		start.Least = s.view.Held.Offset
		if s.synced() && !s.view.Held.IsZero() {
			start.Most = start.Least // it received nothing between the decision and the promotion
		}
	}
	return []Action{RecordTerm{Start: start, Renewed: renewed}}
}

// starts returns where terms started. If the member that the newest order names has led and its term was not
// recorded, that term started at the position that the member held, or beyond unless commits wait for replicas.
func (s *Supervisor) starts() group.Starts {
	starts, held := s.view.Starts, s.view.Held
	led := s.view.Ordered != "" && s.view.Ordered == s.oldPrimary && !s.assumed
	if !led || held.IsZero() || starts.Newest() > held.Term {
		return starts
	}
	start := group.StartRange{Term: held.Term + 1, Least: held.Offset, Most: group.StartUnknown}
	if s.synced() {
		start.Most = start.Least
	}
	return starts.With(start)
}

// stateOf returns whether the log of a member that has received p was discarded in part.
func (s *Supervisor) stateOf(p group.Position) group.PositionState { return s.starts().StateOf(p) }

// isKept reports whether the log of a member that answered was certainly not discarded in part.
func (s *Supervisor) isKept(st Status) bool { return s.stateOf(st.Received) == group.Kept }

// precedes reports whether a member that has received p is a better successor than one that has
// received q. Logs that were kept come first, and the longest of them. Of logs that may have been
// discarded the shortest is the likeliest to have been kept.
func (s *Supervisor) precedes(p, q group.Position) bool {
	pKept, qKept := s.stateOf(p) == group.Kept, s.stateOf(q) == group.Kept
	switch {
	case pKept != qKept:
		return pKept
	case pKept:
		return q.Less(p)
	default:
		return p.Less(q)
	}
}

// awaitClearLog reports whether to wait for members that have not answered, since the log of the best
// one that did may have been discarded.
func (s *Supervisor) awaitClearLog(best Status, now time.Time) bool {
	if s.stateOf(best.Received) == group.Kept {
		return false
	}
	if s.terms.unclearSince.IsZero() {
		s.terms.unclearSince = now
	}
	missing := false
	for _, m := range s.view.Members {
		st, answered := s.statuses[m.ID]
		missing = missing || m.ID != s.oldPrimary && (!answered || st.Err != nil)
	}
	return missing && now.Sub(s.terms.unclearSince) < unclearTimeout
}

// noteDiscarded tells operators that no member is promoted although some answered.
func (s *Supervisor) noteDiscarded() []Action {
	for _, st := range s.statuses {
		if st.Err == nil && s.stateOf(st.Received) != group.Kept {
			return []Action{Note{Text: "no member is promoted: logs that answered were discarded by an earlier promotion, or may have been", Member: s.oldPrimary, Statuses: s.sortedStatuses()}}
		}
	}
	return nil
}
