package duty

import (
	"maps"
	"slices"
	"time"

	"tamarackcross/group"
)

// Where commits wait for replicas, the old primary goes on to acknowledge commits until a promotion
// takes effect, as long as one replica receives them. A successor that is chosen by what it has
// received must not lack any of them. So the replicas are paused first, and asked after that: from
// then on nothing is acknowledged, and the positions hold until the promotion.
//
// A member that starts meanwhile could receive commits too. It does so once its announcement has been
// acknowledged, so it is not admitted until the promotion has taken effect, and paused in case it
// receives nevertheless.

const (
	// syncedStartDelay is the time that a new leader gives members which its predecessor admitted to
	// announce themselves again: one heartbeat interval of the backend servers and a margin.
	syncedStartDelay = 1500 * time.Millisecond
	// lateOrderLimit is how long after it was issued the platform may carry out an order to which it
	// gave no answer.
	lateOrderLimit = 13 * time.Second
	// auditInterval is the time between checks for replicas that were left paused.
	auditInterval = 2 * time.Second
	// resumeInterval is the time between attempts to resume the replicas.
	resumeInterval = 500 * time.Millisecond
)

// pauses is the state of a Supervisor that concerns paused replicas.
type pauses struct {
	term      uint64           // of the last pause
	replicas  map[string]int64 // starts of the replicas that may be paused, by ID
	notBefore time.Time        // no replacement is started earlier
	order     uint64           // token of the newest order
	orderedAt time.Time        // when it was first seen
	overtaken bool             // a member that started since the pause holds more than the target
	auditedAt time.Time
	resumedAt time.Time
}

// synced reports whether commits wait for replicas.
func (s *Supervisor) synced() bool { return s.view.SyncReplicas > 0 }

// pauseReplicas makes all members but the old primary stop receiving. All must have answered.
func (s *Supervisor) pauseReplicas(now time.Time) []Action {
	if _, ok := s.successor(now); !ok {
		return append(s.noteDiscarded(), s.retryLater(now)...)
	}
	// A replica that has missed a promotion may refuse a term that is not above the newest one.
	s.pauses.term, s.pauses.overtaken = s.starts().Newest()+1, false
	for _, st := range s.statuses {
		s.pauses.term = max(s.pauses.term, st.Term+1)
	}
	s.statuses = make(map[string]Status)
	s.enterPhase(pausing, now)
	var out []Action
	for _, m := range s.view.Members {
		if m.ID != s.oldPrimary {
			out = append(out, s.pause(m))
		}
	}
	return out
}

func (s *Supervisor) pause(m Member) Action {
	if s.pauses.replicas == nil {
		s.pauses.replicas = make(map[string]int64)
	}
	s.pauses.replicas[m.ID] = m.Born
	return Pause{ID: m.ID, Term: s.pauses.term}
}

// allPaused reports whether all members but the old primary answered that they are paused.
func (s *Supervisor) allPaused() bool {
	return !slices.ContainsFunc(s.view.Members, func(m Member) bool {
		st, answered := s.statuses[m.ID]
		return m.ID != s.oldPrimary && (!answered || st.Err != nil || st.PausedTerm != s.pauses.term)
	})
}

// onPaused goes on once all replicas are paused.
func (s *Supervisor) onPaused(now time.Time) []Action {
	if !s.allPaused() {
		note := Note{Text: "replicas did not stop receiving, so that the old primary may acknowledge commits", Member: s.oldPrimary, Statuses: s.sortedStatuses()}
		return append(s.retryLater(now), note)
	}
	return s.chooseTarget(now)
}

// pauseNewcomers pauses members that have started since the replicas were paused. They could
// receive commits of the old primary before the promotion takes effect.
func (s *Supervisor) pauseNewcomers() []Action {
	if s.planned || len(s.pauses.replicas) == 0 {
		return nil
	}
	var out []Action
	for _, m := range s.view.Members {
		if _, answered := s.statuses[m.ID]; answered && s.phase == pausing {
			continue
		}
		if born, paused := s.pauses.replicas[m.ID]; m.ID != s.oldPrimary && !m.Primary && (!paused || born != m.Born) {
			out = append(out, s.pause(m))
		}
	}
	return out
}

// noteOvertaken records that a member which has started since the pause received commits that the target
// lacks. Unless the order has been sent, the members are asked again.
func (s *Supervisor) noteOvertaken(st Status) []Action {
	if !s.synced() || s.planned || st.Err != nil || st.ID == s.target || s.pauses.overtaken || !s.held.Less(st.Received) {
		return nil
	}
	s.pauses.overtaken = true
	return []Action{Note{Text: "a member that started after the pause holds more than the target of the promotion", Member: st.ID, Statuses: []Status{st}}}
}

// Admits reports whether a new member may start to receive. If commits wait for replicas, it must not
// while a promotion may take effect that was decided without it.
func (s *Supervisor) Admits(now time.Time) bool {
	switch {
	case !s.synced():
		return true
	case s.phase != watching:
		return s.planned // the primary steps down, and its successor has to hold all that it acknowledged
	}
	return !s.orderPending(now)
}

// recordOrder records when the newest order was first seen.
func (s *Supervisor) recordOrder(now time.Time) {
	if s.view.Order != s.pauses.order {
		s.pauses.order, s.pauses.orderedAt = s.view.Order, now
	}
}

// orderPending reports whether the newest order may still be carried out.
func (s *Supervisor) orderPending(now time.Time) bool {
	m, listed := s.member(s.view.Ordered)
	return listed && !m.Primary && now.Sub(s.pauses.orderedAt) < lateOrderLimit
}

// recordPause records whether a member that answered is paused. While a promotion is under way, one
// that did not answer is paused again.
func (s *Supervisor) recordPause(st Status) {
	m, listed := s.member(st.ID)
	switch {
	case !listed:
	case st.Err != nil && s.phase <= pausing:
	case st.Err != nil || st.PausedTerm == 0:
		delete(s.pauses.replicas, st.ID)
	default:
		if s.pauses.replicas == nil {
			s.pauses.replicas = make(map[string]int64)
		}
		s.pauses.replicas[st.ID] = m.Born
	}
}

// keepReceiving makes sure that the replicas of a primary that works are not paused: by a
// replacement that was given up, or by one of an earlier leader of control.
func (s *Supervisor) keepReceiving(primary string, now time.Time) []Action {
	for id := range s.pauses.replicas {
		if _, listed := s.member(id); !listed || id == primary {
			delete(s.pauses.replicas, id)
		}
	}
	switch {
	case len(s.pauses.replicas) == 0 && (!s.synced() || now.Sub(s.pauses.auditedAt) < auditInterval):
		return nil
	case len(s.pauses.replicas) == 0:
		s.pauses.auditedAt = now
		return s.auditReplicas(primary)
	case s.orderedInstead(primary) != "":
		// The order may still be carried out, and its target lacks what the primary would
		// acknowledge once the replicas receive again.
		return s.askStatuses(primary, false, now)
	case now.Sub(s.pauses.resumedAt) < resumeInterval:
		return nil
	}
	s.pauses.resumedAt = now
	return s.resumeReplicas()
}

func (s *Supervisor) auditReplicas(primary string) []Action {
	var out []Action
	for _, m := range s.view.Members {
		if m.ID != primary {
			out = append(out, AskStatus{ID: m.ID})
		}
	}
	return out
}

// resumeReplicas makes the paused replicas receive again.
func (s *Supervisor) resumeReplicas() []Action {
	var out []Action
	for _, id := range slices.Sorted(maps.Keys(s.pauses.replicas)) {
		out = append(out, Resume{ID: id})
	}
	return out
}

// orderedInstead returns the member that the newest promotion order names, if it is listed and is
// not the given primary.
func (s *Supervisor) orderedInstead(primary string) string {
	if _, listed := s.member(s.view.Ordered); !listed || s.view.Ordered == primary {
		return ""
	}
	return s.view.Ordered
}

// preferOrdered returns the target of the newest order in place of best, if it answered and has
// received as much, or will do so. The order may still be carried out.
func (s *Supervisor) preferOrdered(best Status) string {
	ordered := s.orderedInstead(s.oldPrimary)
	st, answered := s.statuses[ordered]
	m, listed := s.member(ordered)
	switch {
	case !s.synced() || !listed || !answered || st.Err != nil || st.Primary || m.Draining || s.failing(m) || s.stateOf(st.Received) != group.Kept:
		return best.ID
	case !s.planned && st.Received.Less(best.Received):
		return best.ID
	}
	return ordered
}
