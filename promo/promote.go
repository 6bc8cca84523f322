package promo

import "time"

// unhealthyRetryInterval is the time between two Follow actions for a member that
// is not healthy according to the entries.
const unhealthyRetryInterval = time.Second

func (m *Machine) onCompleted(e Completed, now time.Time) {
	if e.Term <= m.logged.Term || e.Term < m.logged.Pending {
		return
	}
	m.logged.Term = e.Term
	m.logged.Pending = 0
	m.logged.Primary = e.Primary
	m.logged.History = e.History
	m.resetProgress()
	m.detector.forget(e.Primary)
	m.phase = phasePromote
	m.resumed = false
	m.promoteStart = now
}

// promotePrimary repeats Promote until the member accepts it. If the member fails
// or does not accept it in time, the next term is started.
func (m *Machine) promotePrimary(now time.Time) {
	primary := m.member(m.logged.Primary)
	if primary == nil {
		m.phase = phaseSteady
		return
	}
	if m.detector.activeInTerm(m.logged.Primary, m.logged.Term, now) {
		m.finishPromotion(now)
		return
	}
	if m.newPrimaryLost(now) || m.promoteTimedOut(now) {
		m.promoteFailed[m.logged.Primary] = true
		m.startTerm(now, !m.resumed)
		return
	}
	if m.due(now, m.cfg.retryInterval) {
		m.emit(Promote{Member: primary.Name, Term: m.logged.Term, Store: primary.Store, History: m.logged.History})
	}
}

// newPrimaryLost reports whether the member to promote has failed. Entries report
// a member that is not yet promoted as stalled, so that this status counts only
// for a promotion that an earlier leader decided.
func (m *Machine) newPrimaryLost(now time.Time) bool {
	if m.resumed {
		return m.primaryLost(now)
	}
	return m.detector.status(m.logged.Primary, now) >= statusPartlyUnreachable
}

// promoteTimedOut reports whether a member that was just fenced has not accepted
// its promotion in time. A promotion that an earlier leader decided does not time
// out: it may have been in force for long, and that control gets no answer does
// not show that the primary has failed.
func (m *Machine) promoteTimedOut(now time.Time) bool {
	return !m.resumed && now.Sub(m.promoteStart) >= m.cfg.promoteTimeout
}

func (m *Machine) onPromoteResult(e PromoteResult, now time.Time) {
	if m.phase != phasePromote || e.Member != m.logged.Primary || e.Term != m.logged.Term {
		return
	}
	switch {
	case e.HighestTerm > m.logged.Term:
		m.beginTermAbove(e.HighestTerm)
	case e.Err == nil:
		m.finishPromotion(now)
	}
}

func (m *Machine) finishPromotion(now time.Time) {
	m.phase = phaseSteady
	m.detector.forget(m.logged.Primary)
	if !m.resumed {
		m.promotedAt = now
	}
	m.resumed = false
	m.switchRequested = false
	m.switchTarget = ""
	m.leavingSince = time.Time{}
	m.promoteFailed = map[string]bool{}
}

// onReport stores a report. If the member is in an older term or replicates from
// no primary, it is no longer taken as following and gets Follow again.
func (m *Machine) onReport(r Report, now time.Time) {
	if !m.detector.add(r, now) || r.Health == Unreachable {
		return
	}
	notFollowing := r.NotReplicating || r.Term != 0 && r.Term < m.logged.Term
	if f := m.following[r.Member]; notFollowing && r.At.After(f.since) {
		m.following[r.Member] = followState{}
	}
}

// requestFollow sends Follow to every member that is not known to follow the
// primary.
func (m *Machine) requestFollow(now time.Time) {
	primary := m.member(m.logged.Primary)
	if m.phase != phaseSteady || primary == nil {
		return
	}
	for _, x := range m.logged.Members {
		if x.Name == primary.Name || m.following[x.Name].term == m.logged.Term {
			continue
		}
		interval := m.cfg.retryInterval
		if m.detector.status(x.Name, now) != statusHealthy {
			interval = unhealthyRetryInterval
		}
		if m.memberDue(x.Name, now, interval) {
			m.emit(Follow{Member: x.Name, Term: m.logged.Term, Address: primary.Address})
		}
	}
}

func (m *Machine) onFollowResult(e FollowResult, now time.Time) {
	if e.Term != m.logged.Term || e.Err != nil {
		return
	}
	m.following[e.Member] = followState{term: e.Term, since: now}
}

// onSwitch accepts a planned switchover. A later request replaces an earlier one.
func (m *Machine) onSwitch(e Switch, now time.Time) {
	x := m.member(e.To)
	if m.phase != phaseSteady || e.To == m.logged.Primary || e.To != "" && (x == nil || !x.Voting || x.Leaving) {
		m.emit(SwitchDropped(e))
		return
	}
	m.switchTarget = e.To
	m.switchRequested = true
	m.switchStart = now
}

// switchReady reports whether a planned switchover may fence the primary: the
// healthy replicas form a majority, and its target is nearly caught up or a leaving
// primary has waited long enough. A request that has waited too long is cancelled.
func (m *Machine) switchReady(now time.Time) bool {
	primary := m.member(m.logged.Primary)
	if primary == nil {
		return false
	}
	switch {
	case !primary.Leaving:
		m.leavingSince = time.Time{}
	case m.leavingSince.IsZero():
		m.leavingSince = now
	}
	if !m.switchRequested && !primary.Leaving {
		return false
	}
	if m.replicasFormMajority(now) && (m.targetCaughtUp(now) || primary.Leaving && now.Sub(m.leavingSince) >= m.cfg.leaveTimeout) {
		return true
	}
	if m.switchRequested && now.Sub(m.switchStart) >= m.cfg.switchTimeout {
		m.emit(SwitchDropped{To: m.switchTarget})
		m.switchRequested = false
		m.switchTarget = ""
	}
	return false
}

// targetCaughtUp reports whether the target of the switchover is nearly caught up.
// Without a target, one replica that may become primary is enough.
func (m *Machine) targetCaughtUp(now time.Time) bool {
	primaryPosition, ok := m.detector.position(m.logged.Primary, now)
	if !ok {
		return false
	}
	for _, x := range m.logged.Members {
		if x.Name == m.logged.Primary || !x.Voting || x.Leaving || m.switchTarget != "" && m.switchTarget != x.Name {
			continue
		}
		p, ok := m.detector.position(x.Name, now)
		if ok && m.logged.History.Clip(p).Offset+m.cfg.catchUpOffsets >= primaryPosition.Offset {
			return true
		}
	}
	return false
}
