package route

import (
	"time"

	"tamarackcross/group"
)

// read returns the choice for a read, or nil if no member can serve it.
func (s *search) read() Choice {
	primary := s.readPrimary()
	if s.primaryOnly {
		return s.usePrimary(primary)
	}
	m, fallback := s.replica()
	if m == nil && fallback != nil {
		if primary != nil && primary.Load < 1 {
			return s.usePrimary(primary)
		}
		m = fallback
	}
	if m != nil {
		if primary != nil && s.cost(m) > s.cost(primary)+s.overflowMargin {
			return s.usePrimary(primary)
		}
		return Use{Name: m.Name, Required: s.required}
	}
	if wait, cost, ok := s.bestWait(); ok {
		if primary == nil || cost < s.primaryCost(primary) {
			return wait
		}
	}
	return s.usePrimary(primary)
}

func (s *search) usePrimary(m *Member) Choice {
	if m == nil {
		return nil
	}
	return Use{Name: m.Name, Required: s.required, Confirm: s.confirm}
}

// readPrimary returns the primary if it may serve this read, or nil. The primary
// of the current term covers every position that is part of the current log.
func (s *search) readPrimary() *Member {
	m := s.primary()
	if m == nil || s.excluded(m) || s.pastLeaveGrace(m) || m.BreakerOpen && !s.allowOpen {
		return nil
	}
	return m
}

// usable reports whether m is a replica that may receive statements. A member
// that reports the role of a primary but is not the primary of the current term
// has been replaced, and its snapshot may contain discarded writes.
func (s *search) usable(m *Member) bool {
	switch {
	case m.Name == s.g.Primary, m.Primary, m.Leaving:
		return false
	case m.BreakerOpen && !s.allowOpen:
		return false
	}
	return !s.excluded(m)
}

// replica returns the best replica that covers the required position, or nil. A
// member that has just returned is skipped at random according to its weight. If
// only skipped members are left, the best of them is returned as the fallback, to
// be used when the primary is loaded.
func (s *search) replica() (best, fallback *Member) {
	var sameZone, otherZones, skipped twoChoices
	for i := range s.g.Members {
		m := &s.g.Members[i]
		if !s.usable(m) || !s.covers(s.g.History, m.Applied, s.required) {
			continue
		}
		switch {
		case s.skipByWeight(m):
			skipped.add(s, m)
		case m.Zone == s.q.Zone:
			sameZone.add(s, m)
		default:
			otherZones.add(s, m)
		}
	}
	local, remote := sameZone.best(s), otherZones.best(s)
	switch {
	case local == nil && remote == nil:
		return nil, skipped.best(s)
	case local == nil:
		return remote, nil
	case remote == nil:
		return local, nil
	case s.cost(local) > s.cost(remote)+s.crossZoneMargin:
		return remote, nil
	}
	return local, nil
}

func (s *search) skipByWeight(m *Member) bool {
	return m.Weight > 0 && m.Weight < 1 && s.rnd.Float64() >= m.Weight
}

// twoChoices keeps two members, drawn uniformly from those added to it, for load
// balancing by the power of two random choices.
type twoChoices struct {
	a, b *Member
	n    int
}

func (p *twoChoices) add(s *search, m *Member) {
	p.n++
	switch {
	case p.n == 1:
		p.a = m
	case p.n == 2:
		p.b = m
	case s.rnd.IntN(p.n) < 2:
		p.replace(s, m)
	}
}

func (p *twoChoices) replace(s *search, m *Member) {
	if s.rnd.IntN(2) == 0 {
		p.a = m
		return
	}
	p.b = m
}

// best returns the cheaper of the two members. It prefers the less loaded one if
// the costs are equal, and picks at random if the loads are equal too.
func (p *twoChoices) best(s *search) *Member {
	if p.b == nil {
		return p.a
	}
	a, b := s.cost(p.a), s.cost(p.b)
	switch {
	case a < b:
		return p.a
	case b < a:
		return p.b
	case p.a.Load < p.b.Load:
		return p.a
	case p.b.Load < p.a.Load:
		return p.b
	case s.rnd.IntN(2) == 0:
		return p.a
	}
	return p.b
}

// cost returns the expected time until m starts the statement plus the round trip
// time.
func (s *search) cost(m *Member) time.Duration {
	return s.latency(m) + s.queueWait(m)
}

// queueWait returns the expected wait for a slot: the reported one, or an estimate
// from the load if that is longer.
func (s *search) queueWait(m *Member) time.Duration {
	if m.Load <= 1 {
		return m.QueueWait
	}
	return max(m.QueueWait, time.Duration((m.Load-1)*float64(s.q.Expected)))
}

func (s *search) latency(m *Member) time.Duration {
	switch {
	case m.Latency > 0:
		return m.Latency
	case m.Zone != s.q.Zone:
		return s.crossZoneLatency
	}
	return 0
}

func (s *search) primaryCost(m *Member) time.Duration {
	penalty := s.primaryPenalty
	if s.g.Penalty > 0 {
		penalty = s.g.Penalty
	}
	return s.cost(m) + penalty
}

// bestWait returns the wait for the replica that is expected to serve the read
// soonest, and its total cost.
func (s *search) bestWait() (Wait, time.Duration, bool) {
	var best Wait
	var lowestCost time.Duration
	found := false
	for i := range s.g.Members {
		m := &s.g.Members[i]
		if !s.usable(m) {
			continue
		}
		at, ok := s.coversAt(m)
		if !ok {
			continue
		}
		cost := at.Sub(s.now) + s.cost(m)
		if !s.withinLimits(at, cost) || found && cost >= lowestCost {
			continue
		}
		best = Wait{Name: m.Name, Required: s.required, Until: at}
		lowestCost = cost
		found = true
	}
	return best, lowestCost, found
}

// withinLimits reports whether a wait until at leaves time to run before the
// deadline and keeps the total wait within the maximum.
func (s *search) withinLimits(at time.Time, cost time.Duration) bool {
	if s.q.Waited+at.Sub(s.now) > s.maxWait {
		return false
	}
	return s.q.Deadline.IsZero() || !s.now.Add(cost+s.q.Expected).After(s.q.Deadline)
}

// coversAt estimates when a replica will cover the required position. If the lag
// is known, that is one lag after the primary reached the position; otherwise it
// follows from the rate at which the replica applies the missing part. If the
// estimated time has already passed, the replica is expected within
// estimateSlack.
func (s *search) coversAt(m *Member) (time.Time, bool) {
	if s.now.Sub(m.AsOf) > s.maxLagAge || s.g.History.StateOf(m.Applied) != group.Kept {
		return time.Time{}, false
	}
	var at time.Time
	switch {
	case m.Lag > 0:
		at = s.commitTime().Add(m.Lag)
	case m.ApplyRate > 0 && s.required.Offset > m.Applied.Offset:
		missing := float64(s.required.Offset - m.Applied.Offset)
		seconds := min(missing/m.ApplyRate, s.maxLagAge.Seconds()+s.maxWait.Seconds())
		at = m.AsOf.Add(time.Duration(seconds * float64(time.Second)))
	default:
		return time.Time{}, false
	}
	if at.Before(s.now) {
		at = s.now
	}
	return at.Add(s.estimateSlack), true
}

// commitTime returns an upper bound of the time at which the primary reached the
// required position. A position beyond the newest sample counts as just written.
func (s *search) commitTime() time.Time {
	at, ok := s.g.Samples.Reached(s.required)
	if !ok || at.After(s.now) {
		return s.now
	}
	return at
}
