package promo

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"tamarackcross/group"
)

// watch begins a new term when the primary has failed or is to be replaced.
func (m *Machine) watch(now time.Time) {
	switch {
	case m.lost(now):
		m.propose(now, false)
	case m.ready(now):
		m.propose(now, true)
	}
}

// lost reports whether the primary must be replaced without its cooperation.
func (m *Machine) lost(now time.Time) bool {
	if m.member(m.log.Primary) == nil {
		return m.unled(now)
	}
	switch m.det.judge(m.log.Primary, now) {
	case gone:
		return true
	case failed:
		return m.paced(now)
	case stalled:
		return m.paced(now) && m.viable(now)
	}
	return false
}

// unled handles a database without a primary: it gets one once its members had
// time to register.
func (m *Machine) unled(now time.Time) bool {
	return now.Sub(m.started) >= m.cfg.timeout && len(m.log.Members) >= m.majority()
}

// paced reports whether enough time has passed since the last promotion.
func (m *Machine) paced(now time.Time) bool {
	return m.promotedAt.IsZero() || now.Sub(m.promotedAt) >= m.cfg.pace
}

// viable reports whether the other members can form a majority. Replacing a
// stalled primary is of no use without one.
func (m *Machine) viable(now time.Time) bool {
	n := 0
	for _, x := range m.log.Members {
		usable := x.Voting && x.Name != m.log.Primary
		n += toInt(usable && m.det.judge(x.Name, now) == healthy)
	}
	return n >= m.majority()
}

// propose starts a new term above every term seen.
func (m *Machine) propose(now time.Time, forced bool) {
	m.outbid(0)
	m.forced = forced
	m.begin(now)
}

// begin repeats the proposal while its reason lasts.
func (m *Machine) begin(now time.Time) {
	if !m.forced && !m.lost(now) {
		m.phase = phaseSteady
		return
	}
	if m.due(now, m.cfg.retry) {
		m.act(ProposeBegin{Term: m.beginTerm})
	}
}

func (m *Machine) begun(e Begun) {
	if e.Term <= max(m.log.Term, m.log.Pending) {
		return
	}
	m.log.Pending = e.Term
	m.clear()
	m.phase = phaseFence
}

// outbid begins a term above one that a member has seen and this machine has
// not. Groups that existed before control recorded them are taken over this way.
func (m *Machine) outbid(seen uint64) {
	m.seen = max(m.seen, seen)
	m.phase = phaseBegin
	m.forced = true
	m.beginTerm = max(m.log.Term, m.log.Pending, m.seen) + 1
	m.sentAt = time.Time{}
}

func (m *Machine) fenceResult(e FenceResult) {
	if m.phase != phaseFence || e.Term != m.log.Pending {
		return
	}
	if e.Seen > m.log.Pending || e.Position.Term >= m.log.Pending {
		m.outbid(max(e.Seen, e.Position.Term))
		return
	}
	if e.Err != nil {
		m.refused[e.Member] = true
		return
	}
	e.Position = m.cfg.clip(m.log.History, e.Position)
	m.fenced[e.Member] = e
}

// fence repeats the fences that are not answered and goes on once a majority
// has answered.
func (m *Machine) fence(now time.Time) {
	for _, x := range m.log.Members {
		if _, done := m.fenced[x.Name]; !done && m.dueFor(x.Name, now, m.cfg.retry) {
			m.act(Fence{Member: x.Name, Term: m.log.Pending})
		}
	}
	pool := m.pool()
	if len(pool) < m.majority() {
		return
	}
	if m.majorityAt.IsZero() {
		m.majorityAt = now
	}
	if m.waits(now) && now.Sub(m.majorityAt) < m.cfg.grace {
		return
	}
	m.choose(pool, now)
}

// candidate is a fenced member that counts in the majority.
type candidate struct {
	Member
	position group.Position
	avoid    int // reasons against it, by weight
	live     int // live entries in its zone
}

// pool returns the fenced members that count. A member whose store is not the
// registered one may have lost acknowledged writes.
func (m *Machine) pool() []candidate {
	var pool []candidate
	for _, x := range m.log.Members {
		f, ok := m.fenced[x.Name]
		if !ok || !x.Voting || m.cfg.storeMatters && f.Store != x.Store {
			continue
		}
		pool = append(pool, candidate{Member: x, position: f.Position, live: m.det.live[x.Zone]})
	}
	return pool
}

// waits reports whether a member that may hold more is likely to answer soon.
// The former primary is not waited for when it is not needed.
func (m *Machine) waits(now time.Time) bool {
	for _, x := range m.log.Members {
		_, done := m.fenced[x.Name]
		if done || !x.Voting || m.refused[x.Name] || x.Name == m.log.Primary {
			continue
		}
		if m.det.judge(x.Name, now) == healthy {
			return true
		}
	}
	return false
}

// Weights of the reasons against a candidate. Each outweighs the ones below.
const (
	avoidLeaving = 1 << iota
	avoidFailed  // entries do not reach it
	avoidFormer  // the primary that is being replaced
	avoidDropped // it did not accept its promotion
)

func (m *Machine) avoid(x Member, now time.Time) int {
	weight := 0
	if x.Leaving {
		weight |= avoidLeaving
	}
	if m.det.judge(x.Name, now) != healthy {
		weight |= avoidFailed
	}
	if x.Name == m.log.Primary {
		weight |= avoidFormer
	}
	if m.dropped[x.Name] {
		weight |= avoidDropped
	}
	return weight
}

// choose proposes the primary: the highest position among a fenced majority.
// Members with reasons against them are left out while a majority remains,
// because any majority holds every acknowledged write.
func (m *Machine) choose(pool []candidate, now time.Time) {
	for i := range pool {
		pool[i].avoid = m.avoid(pool[i].Member, now)
	}
	slices.SortFunc(pool, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.avoid, b.avoid), strings.Compare(a.Name, b.Name))
	})
	for len(pool) > m.majority() && pool[len(pool)-1].avoid > 0 {
		pool = pool[:len(pool)-1]
	}
	best := slices.MinFunc(pool, m.compare)
	start := group.Start{Term: m.log.Pending, Offset: best.position.Offset}
	history, err := m.log.History.Append(start)
	if err != nil {
		m.outbid(m.log.History.Term())
		return
	}
	m.chosen = ProposeComplete{Primary: best.Name, Start: start, History: history}
	m.phase = phaseComplete
	m.sentAt = time.Time{}
	m.complete(now)
}

// compare orders candidates, best first.
func (m *Machine) compare(a, b candidate) int {
	return cmp.Or(
		b.position.Compare(a.position),
		cmp.Compare(a.avoid, b.avoid),
		cmp.Compare(toInt(b.Name == m.target), toInt(a.Name == m.target)),
		cmp.Compare(b.live, a.live),
		strings.Compare(a.Name, b.Name),
	)
}

// complete repeats the same proposal until its outcome is known.
func (m *Machine) complete(now time.Time) {
	if m.due(now, m.cfg.retry) {
		m.act(m.chosen)
	}
}
