package promo

import "time"

// lostRetry is the time between attempts to reach a member that entries do not
// reach either.
const lostRetry = time.Second

func (m *Machine) completed(e Completed, now time.Time) {
	if e.Term <= m.log.Term || e.Term < m.log.Pending {
		return
	}
	m.log.Term = e.Term
	m.log.Pending = 0
	m.log.Primary = e.Primary
	m.log.History = e.History
	m.clear()
	m.det.forget(e.Primary)
	m.phase = phasePromote
	m.resumed = false
	m.completeAt = now
}

// promote repeats the promotion until the member accepts it, and begins the
// next term if the member does not or has failed.
func (m *Machine) promote(now time.Time) {
	primary := m.member(m.log.Primary)
	if primary == nil {
		m.phase = phaseSteady
		return
	}
	if m.det.acts(m.log.Primary, m.log.Term, now) {
		m.promoted(now)
		return
	}
	if m.abandoned(now) || m.overdue(now) {
		m.dropped[m.log.Primary] = true
		m.propose(now, !m.resumed)
		return
	}
	if m.due(now, m.cfg.retry) {
		m.act(Promote{Member: primary.Name, Term: m.log.Term, Store: primary.Store, History: m.log.History})
	}
}

// abandoned reports whether the promotion has become pointless. Entries see a
// member that is not yet promoted as stalled, so that counts only for a
// promotion that an earlier leader decided.
func (m *Machine) abandoned(now time.Time) bool {
	if m.resumed {
		return m.lost(now)
	}
	return m.det.judge(m.log.Primary, now) >= failed
}

// overdue reports whether a member that was just fenced does not accept its
// promotion. A promotion that an earlier leader decided may have been in force
// for long: there the opinion of control alone is not enough.
func (m *Machine) overdue(now time.Time) bool {
	return !m.resumed && now.Sub(m.completeAt) >= m.cfg.promoteTimeout
}

func (m *Machine) promoteResult(e PromoteResult, now time.Time) {
	if m.phase != phasePromote || e.Member != m.log.Primary || e.Term != m.log.Term {
		return
	}
	switch {
	case e.Seen > m.log.Term:
		m.outbid(e.Seen)
	case e.Err == nil:
		m.promoted(now)
	}
}

func (m *Machine) promoted(now time.Time) {
	m.phase = phaseSteady
	m.det.forget(m.log.Primary)
	if !m.resumed {
		m.promotedAt = now
	}
	m.resumed = false
	m.planned = false
	m.target = ""
	m.leaveAt = time.Time{}
	m.dropped = map[string]bool{}
}

// report stores an opinion. A member that acts in another term or replicates
// from nobody is told again whom to follow.
func (m *Machine) report(r Report, now time.Time) {
	if !m.det.add(r, now) || r.Health == Unreachable {
		return
	}
	wrong := r.Idle || r.Term != 0 && r.Term < m.log.Term
	if f := m.follows[r.Member]; wrong && r.At.After(f.at) {
		m.follows[r.Member] = follow{}
	}
}

// rejoin sends Follow to every member that is not known to follow the primary.
func (m *Machine) rejoin(now time.Time) {
	primary := m.member(m.log.Primary)
	if m.phase != phaseSteady || primary == nil {
		return
	}
	for _, x := range m.log.Members {
		if x.Name == primary.Name || m.follows[x.Name].term == m.log.Term {
			continue
		}
		every := m.cfg.retry
		if m.det.judge(x.Name, now) != healthy {
			every = lostRetry
		}
		if m.dueFor(x.Name, now, every) {
			m.act(Follow{Member: x.Name, Term: m.log.Term, Address: primary.Address})
		}
	}
}

func (m *Machine) followResult(e FollowResult, now time.Time) {
	if e.Term != m.log.Term || e.Err != nil {
		return
	}
	m.follows[e.Member] = follow{term: e.Term, at: now}
}

// plan accepts a planned switch. A later request replaces an earlier one.
func (m *Machine) plan(e Switch, now time.Time) {
	x := m.member(e.To)
	if m.phase != phaseSteady || e.To == m.log.Primary || e.To != "" && (x == nil || !x.Voting || x.Leaving) {
		m.act(SwitchDropped(e))
		return
	}
	m.target = e.To
	m.planned = true
	m.switchAt = now
}

// ready reports whether a planned switch may fence the primary: its target is
// nearly caught up, or a leaving primary has waited long enough.
func (m *Machine) ready(now time.Time) bool {
	primary := m.member(m.log.Primary)
	if primary == nil {
		return false
	}
	switch {
	case !primary.Leaving:
		m.leaveAt = time.Time{}
	case m.leaveAt.IsZero():
		m.leaveAt = now
	}
	if !m.planned && !primary.Leaving {
		return false
	}
	if m.viable(now) && (m.caughtUp(now) || primary.Leaving && now.Sub(m.leaveAt) >= m.cfg.leaveLimit) {
		return true
	}
	if m.planned && now.Sub(m.switchAt) >= m.cfg.switchLimit {
		m.act(SwitchDropped{To: m.target})
		m.planned = false
		m.target = ""
	}
	return false
}

// caughtUp reports whether the target is nearly caught up. Without a target,
// any replica that may become primary will do.
func (m *Machine) caughtUp(now time.Time) bool {
	head, ok := m.det.position(m.log.Primary, now)
	if !ok {
		return false
	}
	for _, x := range m.log.Members {
		if x.Name == m.log.Primary || !x.Voting || x.Leaving || m.target != "" && m.target != x.Name {
			continue
		}
		p, ok := m.det.position(x.Name, now)
		if ok && m.log.History.Clip(p).Offset+m.cfg.catchUp >= head.Offset {
			return true
		}
	}
	return false
}
