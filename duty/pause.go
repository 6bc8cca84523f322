package duty

import (
	"maps"
	"slices"
	"time"
)

// Where commits wait for replicas, the old primary goes on to acknowledge commits until a promotion
// takes effect, as long as one replica receives them. A successor that is chosen by what it has
// received must not lack any of them. So the replicas are paused first, and asked after that: from
// then on nothing is acknowledged, and the positions hold until the promotion.
//
// A member that starts meanwhile could receive commits too. It does so once its announcement has been
// acknowledged, so it is not admitted until the promotion has taken effect, and paused in case it
// receives nevertheless.
//
// A command to receive again that got no answer may be carried out later, and would undo the next pause. So
// one is sent only to a replica that answered that it is paused, and only after the control log has recorded
// it. While one may still be carried out, no primary is replaced that cannot be asked to step down.

const (
	// syncedStartDelay is the time that a new leader gives members which its predecessor admitted to
	// announce themselves again: one heartbeat interval of the backend servers and a margin.
	syncedStartDelay = 1500 * time.Millisecond
	// auditInterval is the time between checks for replicas that were left paused.
	auditInterval = 2 * time.Second
	// resumeInterval is the time between attempts to resume the replicas.
	resumeInterval = 500 * time.Millisecond
)

// pausedReplica is a replica that may be paused.
type pausedReplica struct {
	born      int64 // its start
	confirmed bool  // it answered that it is paused, and was not told to receive again since
}

// pauses is the state of a Supervisor that concerns paused replicas.
type pauses struct {
	term      uint64 // of the last pause
	replicas  map[string]pausedReplica
	notBefore time.Time // no replacement is started earlier
	overtaken bool      // a member that started since the pause holds more than the target
	primary   string    // that worked last
	auditedAt time.Time
	resumes   resumes
}

// resumes is what is known of commands to receive again.
type resumes struct {
	viewed   bool      // the first view has been seen
	until    time.Time // when those that got no answer cannot be carried out any more
	waiting  int       // commands whose outcome is not known yet
	sentAt   time.Time // of the last ones
	openedAt time.Time // last attempt to record that they are sent
	closedAt time.Time // last attempt to record that none can be carried out any more
	closing  uint64    // token of that record; nothing is sent under it any more
}

// synced reports whether commits wait for replicas.
func (s *Supervisor) synced() bool { return s.view.SyncReplicas > 0 }

// pauseReplicas makes all members but the old primary stop receiving. All must have answered.
func (s *Supervisor) pauseReplicas(now time.Time) []Action {
	if _, ok := s.successor(now); !ok {
		return append(s.noteDiscarded(), s.retryLater(now)...)
	}
	if s.resumesPending(now) {
		note := Note{Text: "a command to receive again may still be carried out, so that no replica can be paused for certain; the primary is not replaced until it cannot be", Member: s.oldPrimary}
		return append(s.retryLater(now), note)
	}
	// A replica that has missed a promotion may refuse a term that is not above the newest one.
	s.pauses.term, s.pauses.overtaken = s.starts().Newest()+1, false
	for _, st := range s.statuses {
		s.pauses.term = max(s.pauses.term, st.Term+1)
	}
	s.beginRound(pausing, now)
	var out []Action
	for _, m := range s.askable() {
		if m.ID != s.oldPrimary {
			out = append(out, s.pause(m))
		}
	}
	return out
}

func (s *Supervisor) pause(m Member) Action {
	s.setPaused(m, false)
	return Pause{ID: m.ID, Term: s.pauses.term, Round: s.round}
}

func (s *Supervisor) setPaused(m Member, confirmed bool) {
	if s.pauses.replicas == nil {
		s.pauses.replicas = make(map[string]pausedReplica)
	}
	s.pauses.replicas[m.ID] = pausedReplica{born: m.Born, confirmed: confirmed}
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

// verify asks all replicas whether they are still paused, right before the order is sent.
func (s *Supervisor) verify(now time.Time) []Action {
	s.beginRound(verifying, now)
	var out []Action
	for _, m := range s.askable() {
		if m.ID != s.oldPrimary {
			out = append(out, AskStatus{ID: m.ID, Round: s.round})
		}
	}
	return out
}

// onVerified sends the order if all replicas are still paused, and none holds more than the target.
func (s *Supervisor) onVerified(now time.Time) []Action {
	holds := s.statuses[s.target].Received == s.held
	for _, st := range s.statuses {
		holds = holds && !s.held.Less(s.starts().ClipMost(st.Received))
	}
	if holds && s.allPaused() && !s.pauses.overtaken {
		return s.promote(now)
	}
	s.orderRefused(s.token, now)
	note := Note{Text: "replicas did not stay as they were compared, members are asked again before one is promoted", Member: s.target, Statuses: s.sortedStatuses()}
	return append(s.retryLater(now), note)
}

// pauseNewcomers pauses members that have started since the replicas were paused. They could
// receive commits of the old primary before the promotion takes effect.
func (s *Supervisor) pauseNewcomers() []Action {
	if s.planned || len(s.pauses.replicas) == 0 {
		return nil
	}
	var out []Action
	for _, m := range s.askable() {
		if _, answered := s.statuses[m.ID]; answered && s.phase == pausing {
			continue
		}
		if r, paused := s.pauses.replicas[m.ID]; m.ID != s.oldPrimary && !m.Primary && (!paused || r.born != m.Born) {
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
	case s.openTarget(s.announcedPrimary(), now) != "":
		return false
	case s.phase != watching:
		return s.planned // the primary steps down, and its successor has to hold all that it acknowledged
	}
	return true
}

// announcedPrimary returns the member that announces itself as the primary, or "".
func (s *Supervisor) announcedPrimary() string {
	i := slices.IndexFunc(s.view.Members, func(m Member) bool { return m.Primary })
	if i < 0 {
		return ""
	}
	return s.view.Members[i].ID
}

// recordPause records whether a member that answered is paused. While a promotion is under way, one
// that did not answer is paused again.
func (s *Supervisor) recordPause(st Status, now time.Time) {
	if st.Resumed {
		s.recordResumed(st, now)
	}
	m, listed := s.member(st.ID)
	switch {
	case !listed:
	case st.Err != nil && s.phase < awaitingRelease:
	case st.Err != nil || st.PausedTerm == 0:
		delete(s.pauses.replicas, st.ID)
	default:
		s.setPaused(m, true)
	}
}

// recordResume records what the log of control says of commands to receive again. An earlier leader may just
// have sent them.
func (s *Supervisor) recordResume(now time.Time) {
	if !s.pauses.resumes.viewed && s.view.Resume != 0 {
		s.pauses.resumes.until = now.Add(lateOrderLimit)
	}
	s.pauses.resumes.viewed = true
}

// recordResumed records the outcome of a command to receive again. An answer says nothing of earlier ones.
func (s *Supervisor) recordResumed(st Status, now time.Time) {
	r := &s.pauses.resumes
	r.waiting = max(0, r.waiting-1)
	if st.Err != nil && !st.Refused {
		r.until = now.Add(lateOrderLimit)
	}
}

// resumesPending reports whether a command to receive again may still be carried out.
func (s *Supervisor) resumesPending(now time.Time) bool {
	return s.pauses.resumes.waiting > 0 || now.Before(s.pauses.resumes.until)
}

// keepReceiving makes sure that the replicas of a primary that works are not paused: by a
// replacement that was given up, or by one of an earlier leader of control.
func (s *Supervisor) keepReceiving(primary string, now time.Time) []Action {
	for id := range s.pauses.replicas {
		if _, listed := s.member(id); !listed || id == primary {
			delete(s.pauses.replicas, id)
		}
	}
	if s.pauses.primary != primary {
		s.pauses.primary = primary // its promotion, if it is a new one, ended the pauses
		s.askPausedAgain()
	}
	switch {
	case len(s.pauses.replicas) == 0:
		return append(s.closeResume(now), s.auditReplicas(primary, now)...)
	case s.openTarget(primary, now) != "":
		// The order may still be carried out, and its target lacks what the primary would
		// acknowledge once the replicas receive again.
		return s.askStatuses(primary, false, now)
	}
	return append(s.resumeReplicas(now), s.askPaused(now)...)
}

// auditReplicas asks all replicas now and then whether they are paused.
func (s *Supervisor) auditReplicas(primary string, now time.Time) []Action {
	if !s.synced() || now.Sub(s.pauses.auditedAt) < auditInterval {
		return nil
	}
	s.pauses.auditedAt = now
	var out []Action
	for _, m := range append(s.askable(), s.holders.forgotten...) {
		if m.ID != primary {
			out = append(out, AskStatus{ID: m.ID})
		}
	}
	return out
}

// askPaused asks the replicas that may be paused whether they are.
func (s *Supervisor) askPaused(now time.Time) []Action {
	if now.Sub(s.pauses.auditedAt) < resumeInterval {
		return nil
	}
	s.pauses.auditedAt = now
	var out []Action
	for _, id := range slices.Sorted(maps.Keys(s.pauses.replicas)) {
		if !s.pauses.replicas[id].confirmed {
			out = append(out, AskStatus{ID: id})
		}
	}
	return out
}

// resumeReplicas makes the replicas receive again that answered that they are paused, once the control log has
// recorded it.
func (s *Supervisor) resumeReplicas(now time.Time) []Action {
	r := &s.pauses.resumes
	var out []Action
	for _, id := range slices.Sorted(maps.Keys(s.pauses.replicas)) {
		if s.pauses.replicas[id].confirmed {
			out = append(out, Resume{ID: id})
		}
	}
	if len(out) == 0 {
		return nil
	}
	if s.view.Resume == 0 || s.view.Resume == r.closing {
		if now.Sub(r.openedAt) < resumeInterval {
			return nil
		}
		r.openedAt = now
		return []Action{OpenResume{}}
	}
	if now.Sub(r.sentAt) < resumeInterval {
		return nil
	}
	r.sentAt = now
	r.waiting += len(out)
	s.askPausedAgain()
	return out
}

// askPausedAgain makes the answers of replicas that they are paused void.
func (s *Supervisor) askPausedAgain() {
	for id, p := range s.pauses.replicas {
		p.confirmed = false
		s.pauses.replicas[id] = p
	}
}

// closeResume requests that the control log forgets commands to receive again that cannot be carried out any
// more.
func (s *Supervisor) closeResume(now time.Time) []Action {
	r := &s.pauses.resumes
	if s.view.Resume == 0 || s.resumesPending(now) || now.Sub(r.closedAt) < closeInterval {
		return nil
	}
	r.closedAt, r.closing = now, s.view.Resume
	return []Action{CloseResume{Token: s.view.Resume}}
}
