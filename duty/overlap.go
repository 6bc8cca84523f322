package duty

import (
	"time"

	"tamarackcross/group"
)

// Succession tells what a promotion does to the former primary.
type Succession uint8

// The successions.
const (
	// Overlapping means that the former primary goes on to acknowledge commits until it is
	// asked to step down, or learns of its successor. The instances rely on a primary by
	// leases (package lease), which have to end before another member is promoted. It is the
	// zero value, because it is safe whatever a promotion does.
	Overlapping Succession = iota
	// Immediate means that the former primary stops at the moment of the promotion.
	Immediate
)

const (
	// deposeInterval is the time between attempts to make a former primary step down.
	deposeInterval = 500 * time.Millisecond
	// releaseStepDownInterval is the time between requests to the old primary to step down
	// while instances may rely on it.
	releaseStepDownInterval = 300 * time.Millisecond
	// releaseTimeout limits the wait for the release. Leases end sooner.
	releaseTimeout = 5 * time.Second
	// reorderDelay is how long the appointed member may not act as the primary before the
	// members are asked. A leader that has just been elected does not know whether the last
	// order was carried out.
	reorderDelay = 500 * time.Millisecond
)

// overlap is the state of a Supervisor that it has only where successions overlap.
type overlap struct {
	enabled         bool
	recalled        bool
	deposedAt       map[string]time.Time // when former primaries were last asked to step down
	stepDownAskedAt time.Time
}

// recall ends the reliance on the primary.
func (s *Supervisor) recall() []Action {
	if !s.overlap.enabled || s.overlap.recalled {
		return nil
	}
	s.overlap.recalled = true
	return []Action{Recall{}}
}

// restore allows reliance on the appointed primary again.
func (s *Supervisor) restore() []Action {
	if !s.overlap.recalled {
		return nil
	}
	s.overlap.recalled = false
	return []Action{Restore{}}
}

// release issues the token of the order at once, or as soon as no instance relies on the old
// primary any more.
func (s *Supervisor) release(now time.Time) []Action {
	if !s.overlap.enabled || s.view.MayPromote || s.target == s.view.Appointed {
		return s.issueToken(now)
	}
	s.enterPhase(awaitingRelease, now)
	return s.awaitRelease(now)
}

// awaitRelease asks the old primary to step down until no instance relies on it.
func (s *Supervisor) awaitRelease(now time.Time) []Action {
	switch {
	case s.pauses.overtaken:
		return s.retryLater(now)
	case s.view.MayPromote:
		return s.issueToken(now)
	case now.Sub(s.phaseSince) >= releaseTimeout:
		return s.retryLater(now)
	case s.oldPrimary == "" || now.Sub(s.overlap.stepDownAskedAt) < releaseStepDownInterval:
		return nil
	}
	s.overlap.stepDownAskedAt = now
	return []Action{Depose{ID: s.oldPrimary}}
}

// preferAppointed returns the appointed member as the successor if it answered that it does
// not act as the primary, since the order that names it may still be carried out. Otherwise
// it returns best.
func (s *Supervisor) preferAppointed(best Status) string {
	if !s.overlap.enabled || s.planned {
		return best.ID
	}
	m, listed := s.member(s.view.Appointed)
	if st, answered := s.statuses[s.view.Appointed]; listed && answered && st.Err == nil && !st.Primary && !m.Draining && !s.failing(m) && s.stateOf(st.Received) == group.Kept {
		return s.view.Appointed
	}
	return best.ID
}

// checkAppointed starts a replacement if the appointed primary is failing or draining, or
// does not act as the primary. Other members that do are asked to step down.
func (s *Supervisor) checkAppointed(now time.Time) []Action {
	m, listed := s.member(s.view.Appointed)
	out := s.deposeFormer(listed, now)
	switch {
	case listed && m.Primary && s.failing(m):
		return append(out, s.askStatuses(m.ID, false, now)...)
	case listed && m.Primary && m.Draining:
		return append(out, s.askStatuses(m.ID, true, now)...)
	case listed && m.Primary && s.view.Reassert:
		s.target, s.held = m.ID, group.Position{}
		return append(out, s.issueToken(now)...)
	case listed && m.Primary:
		return append(out, s.onWorkingPrimary(m, now)...)
	case s.noPrimarySince.IsZero():
		s.noPrimarySince = now
	case now.Sub(s.noPrimarySince) >= reorderDelay:
		if other := s.actingInstead(); !listed && other != "" {
			return append(out, s.askStatuses(other, true, now)...)
		}
		return append(out, s.askStatuses("", false, now)...)
	}
	return out
}

// actingInstead returns a member that acts as the primary although another one is appointed,
// or "". A primary that was started again under another ID is such a member.
func (s *Supervisor) actingInstead() string {
	for _, m := range s.view.Members {
		if m.Primary && m.ID != s.view.Appointed && !s.failing(m) {
			return m.ID
		}
	}
	return ""
}

// deposeFormer asks the members that act as the primary although another one is appointed to
// step down. While the appointed one is not listed, such a member may be the same server,
// started again under another ID.
func (s *Supervisor) deposeFormer(appointedListed bool, now time.Time) []Action {
	if !appointedListed {
		return nil
	}
	var out []Action
	for _, m := range s.view.Members {
		if !m.Primary || m.ID == s.view.Appointed || now.Sub(s.overlap.deposedAt[m.ID]) < deposeInterval {
			continue
		}
		if s.overlap.deposedAt == nil {
			s.overlap.deposedAt = make(map[string]time.Time)
		}
		s.overlap.deposedAt[m.ID] = now
		out = append(out, Depose{ID: m.ID})
	}
	return out
}
