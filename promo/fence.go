package promo

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"tamarackcross/group"
)

// checkPrimary starts a new term when the primary has failed or a planned
// switchover is ready.
func (m *Machine) checkPrimary(now time.Time) {
	switch {
	case m.primaryLost(now):
		m.startTerm(now, false)
	case m.switchReady(now):
		m.startTerm(now, true)
	}
}

// primaryLost reports whether the primary must be replaced without its cooperation.
func (m *Machine) primaryLost(now time.Time) bool {
	if m.member(m.logged.Primary) == nil {
		return m.firstTermDue(now)
	}
	switch m.detector.status(m.logged.Primary, now) {
	case statusUnreachable:
		return true
	case statusPartlyUnreachable:
		return m.promotionAllowed(now)
	case statusStalled:
		return m.promotionAllowed(now) && m.replicasFormMajority(now)
	}
	return false
}

// firstTermDue reports whether a database without a primary may begin a term: its
// members had time to register, and a majority of them has.
func (m *Machine) firstTermDue(now time.Time) bool {
	return now.Sub(m.startedAt) >= m.cfg.reportTTL && len(m.logged.Members) >= m.majority()
}

// promotionAllowed reports whether the cooldown after the last promotion has ended.
func (m *Machine) promotionAllowed(now time.Time) bool {
	return m.promotedAt.IsZero() || now.Sub(m.promotedAt) >= m.cfg.cooldown
}

// replicasFormMajority reports whether the healthy members besides the primary
// form a majority. Without one, replacing a stalled primary does not help.
func (m *Machine) replicasFormMajority(now time.Time) bool {
	healthy := 0
	for _, x := range m.logged.Members {
		votingReplica := x.Voting && x.Name != m.logged.Primary
		healthy += toInt(votingReplica && m.detector.status(x.Name, now) == statusHealthy)
	}
	return healthy >= m.majority()
}

// startTerm proposes a term above every term that this Machine knows. A term that
// is not forced is abandoned when the primary turns out to be healthy.
func (m *Machine) startTerm(now time.Time, forced bool) {
	m.beginTermAbove(0)
	m.forced = forced
	m.proposeBegin(now)
}

// proposeBegin repeats the proposal while the reason for the term persists.
func (m *Machine) proposeBegin(now time.Time) {
	if !m.forced && !m.primaryLost(now) {
		m.phase = phaseSteady
		return
	}
	if m.due(now, m.cfg.retryInterval) {
		m.emit(ProposeBegin{Term: m.beginTerm})
	}
}

func (m *Machine) onBegun(e Begun) {
	if e.Term <= max(m.logged.Term, m.logged.Pending) {
		return
	}
	m.logged.Pending = e.Term
	m.resetProgress()
	m.phase = phaseFence
}

// beginTermAbove switches to proposing a term above every known one, including
// seen, which a member reported. This is also how groups that existed before the
// control log recorded them are taken over.
func (m *Machine) beginTermAbove(seen uint64) {
	m.maxSeenTerm = max(m.maxSeenTerm, seen)
	m.phase = phaseBegin
	m.forced = true
	m.beginTerm = max(m.logged.Term, m.logged.Pending, m.maxSeenTerm) + 1
	m.sentAt = time.Time{}
}

func (m *Machine) onFenceResult(e FenceResult) {
	if m.phase != phaseFence || e.Term != m.logged.Pending {
		return
	}
	if e.HighestTerm > m.logged.Pending || e.Position.Term >= m.logged.Pending {
		m.beginTermAbove(max(e.HighestTerm, e.Position.Term))
		return
	}
	if e.Err != nil {
		m.fenceFailed[e.Member] = true
		return
	}
	e.Position = m.cfg.clip(m.logged.History, e.Position)
	m.fenced[e.Member] = e
}

// fenceMembers repeats Fence for members that have not answered, and chooses the
// primary once a majority is fenced.
func (m *Machine) fenceMembers(now time.Time) {
	for _, x := range m.logged.Members {
		if _, done := m.fenced[x.Name]; !done && m.memberDue(x.Name, now, m.cfg.retryInterval) {
			m.emit(Fence{Member: x.Name, Term: m.logged.Pending})
		}
	}
	candidates := m.candidates()
	if len(candidates) < m.majority() {
		return
	}
	if m.majorityFencedAt.IsZero() {
		m.majorityFencedAt = now
	}
	if m.awaitsFence(now) && now.Sub(m.majorityFencedAt) < m.cfg.fenceGrace {
		return
	}
	m.choosePrimary(candidates, now)
}

// candidate is a fenced member that counts towards the majority and may become the
// primary.
type candidate struct {
	Member
	position    group.Position
	penalty     int // sum of the weights of the reasons against it
	liveEntries int // in its zone
}

// candidates returns the fenced members that count towards the majority. A member
// whose store is not the registered one does not: it may have lost acknowledged
// writes.
func (m *Machine) candidates() []candidate {
	var out []candidate
	for _, x := range m.logged.Members {
		result, ok := m.fenced[x.Name]
		if !ok || !x.Voting || m.cfg.checkStore && result.Store != x.Store {
			continue
		}
		out = append(out, candidate{Member: x, position: result.Position, liveEntries: m.detector.liveEntries[x.Zone]})
	}
	return out
}

// awaitsFence reports whether another healthy member, which may hold a newer
// position, is likely to answer soon. The primary that is being replaced is not
// waited for.
func (m *Machine) awaitsFence(now time.Time) bool {
	for _, x := range m.logged.Members {
		_, done := m.fenced[x.Name]
		if done || !x.Voting || m.fenceFailed[x.Name] || x.Name == m.logged.Primary {
			continue
		}
		if m.detector.status(x.Name, now) == statusHealthy {
			return true
		}
	}
	return false
}

// Weights of the reasons against a candidate. Each outweighs all before it.
const (
	penaltyLeaving       = 1 << iota
	penaltyUnhealthy     // not healthy according to the entries
	penaltyFormerPrimary // the primary that is being replaced
	penaltyPromoteFailed // it did not accept its promotion
)

func (m *Machine) penalty(x Member, now time.Time) int {
	weight := 0
	if x.Leaving {
		weight |= penaltyLeaving
	}
	if m.detector.status(x.Name, now) != statusHealthy {
		weight |= penaltyUnhealthy
	}
	if x.Name == m.logged.Primary {
		weight |= penaltyFormerPrimary
	}
	if m.promoteFailed[x.Name] {
		weight |= penaltyPromoteFailed
	}
	return weight
}

// choosePrimary proposes the candidate with the highest position as the primary.
// Candidates with the largest penalties are left out as long as a majority
// remains, because any majority holds every acknowledged write.
func (m *Machine) choosePrimary(candidates []candidate, now time.Time) {
	for i := range candidates {
		candidates[i].penalty = m.penalty(candidates[i].Member, now)
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.penalty, b.penalty), strings.Compare(a.Name, b.Name))
	})
	for len(candidates) > m.majority() && candidates[len(candidates)-1].penalty > 0 {
		candidates = candidates[:len(candidates)-1]
	}
	best := slices.MinFunc(candidates, m.compareCandidates)
	start := group.TermStart{Term: m.logged.Pending, Offset: best.position.Offset}
	history, err := m.logged.History.Append(start)
	if err != nil {
		m.beginTermAbove(m.logged.History.Term())
		return
	}
	m.completion = ProposeComplete{Primary: best.Name, Start: start, History: history}
	m.phase = phaseComplete
	m.sentAt = time.Time{}
	m.proposeComplete(now)
}

// compareCandidates orders candidates, best first.
func (m *Machine) compareCandidates(a, b candidate) int {
	return cmp.Or(
		b.position.Compare(a.position),
		cmp.Compare(a.penalty, b.penalty),
		cmp.Compare(toInt(b.Name == m.switchTarget), toInt(a.Name == m.switchTarget)),
		cmp.Compare(b.liveEntries, a.liveEntries),
		strings.Compare(a.Name, b.Name),
	)
}

// proposeComplete repeats the proposal unchanged until its outcome is known.
func (m *Machine) proposeComplete(now time.Time) {
	if m.due(now, m.cfg.retryInterval) {
		m.emit(m.completion)
	}
}
