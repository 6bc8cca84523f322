package route

import (
	"time"

	"tamarackcross/group"
)

// read returns the choice for a read, or nil if no member may serve it.
func (s *search) read() Choice {
	primary := s.readPrimary()
	if s.only {
		return s.usePrimary(primary)
	}
	m, spare := s.replica()
	if m == nil && spare != nil {
		if primary != nil && primary.Load < 1 {
			return s.usePrimary(primary)
		}
		m = spare
	}
	if m != nil {
		if primary != nil && s.cost(m) > s.cost(primary)+s.overflow {
			return s.usePrimary(primary)
		}
		return Use{Name: m.Name, Need: s.need}
	}
	if wait, cost, ok := s.wait(); ok {
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
	return Use{Name: m.Name, Need: s.need, Confirm: s.confirm}
}

// readPrimary returns the primary if it may serve this read. The primary of the
// current term satisfies every position that the history keeps.
func (s *search) readPrimary() *Member {
	m := s.primary()
	if m == nil || s.excluded(m) || s.left(m) || m.Open && !s.allowOpen {
		return nil
	}
	return m
}

// usable reports whether a replica may receive new work. A member that claims
// to be a primary without being that of the current term has been replaced: its
// snapshot may hold writes that were discarded.
func (s *search) usable(m *Member) bool {
	switch {
	case m.Name == s.g.Primary, m.Primary, m.Leaving:
		return false
	case m.Open && !s.allowOpen:
		return false
	}
	return !s.excluded(m)
}

// replica returns the best replica that covers the bound, or nil. A returning
// member is passed over at random according to its weight. If that leaves no
// replica, it is returned as the spare, for the case that the primary is loaded.
func (s *search) replica() (best, spare *Member) {
	var near, far, skipped pair
	for i := range s.g.Members {
		m := &s.g.Members[i]
		if !s.usable(m) || !s.covers(s.g.History, m.Applied, s.need) {
			continue
		}
		switch {
		case s.skipped(m):
			skipped.add(s, m)
		case m.Zone == s.q.Zone:
			near.add(s, m)
		default:
			far.add(s, m)
		}
	}
	a, b := near.best(s), far.best(s)
	switch {
	case a == nil && b == nil:
		return nil, skipped.best(s)
	case a == nil:
		return b, nil
	case b == nil:
		return a, nil
	case s.cost(a) > s.cost(b)+s.farMargin:
		return b, nil
	}
	return a, nil
}

func (s *search) skipped(m *Member) bool {
	return m.Weight > 0 && m.Weight < 1 && s.rnd.Float64() >= m.Weight
}

// pair keeps two members chosen uniformly from those added to it.
type pair struct {
	a, b *Member
	n    int
}

func (p *pair) add(s *search, m *Member) {
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

func (p *pair) replace(s *search, m *Member) {
	if s.rnd.IntN(2) == 0 {
		p.a = m
		return
	}
	p.b = m
}

// best returns the cheaper of the two, the less loaded one if they cost the
// same, and a random one if they are equal.
func (p *pair) best(s *search) *Member {
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

// cost is the expected time before a member starts the statement, with the
// round trip.
func (s *search) cost(m *Member) time.Duration {
	return s.latency(m) + s.queue(m)
}

// queue estimates the wait for a slot from the load where none is given.
func (s *search) queue(m *Member) time.Duration {
	if m.Load <= 1 {
		return m.Wait
	}
	return max(m.Wait, time.Duration((m.Load-1)*float64(s.q.Expected)))
}

func (s *search) latency(m *Member) time.Duration {
	switch {
	case m.Latency > 0:
		return m.Latency
	case m.Zone != s.q.Zone:
		return s.farLatency
	}
	return 0
}

func (s *search) primaryCost(m *Member) time.Duration {
	penalty := s.penalty
	if s.g.Penalty > 0 {
		penalty = s.g.Penalty
	}
	return s.cost(m) + penalty
}

// wait finds the replica that is expected to cover the bound soonest, and the
// total cost of waiting for it.
func (s *search) wait() (Wait, time.Duration, bool) {
	var best Wait
	var lowest time.Duration
	found := false
	for i := range s.g.Members {
		m := &s.g.Members[i]
		if !s.usable(m) {
			continue
		}
		at, ok := s.reaches(m)
		if !ok {
			continue
		}
		cost := at.Sub(s.now) + s.cost(m)
		if !s.affordable(at, cost) || found && cost >= lowest {
			continue
		}
		best = Wait{Name: m.Name, Need: s.need, Until: at}
		lowest = cost
		found = true
	}
	return best, lowest, found
}

// affordable reports whether a wait leaves time to run before the deadline and
// stays within the limit on waits.
func (s *search) affordable(at time.Time, cost time.Duration) bool {
	if s.q.Waited+at.Sub(s.now) > s.maxWait {
		return false
	}
	return s.q.Deadline.IsZero() || !s.now.Add(cost+s.q.Expected).After(s.q.Deadline)
}

// reaches estimates when a replica covers the bound. By lag, it does so one lag
// after the primary; by rate, when it has applied the rest. A replica that is
// overdue by its lag estimate is expected within one more slack.
func (s *search) reaches(m *Member) (time.Time, bool) {
	if s.now.Sub(m.AsOf) > s.fresh || s.g.History.Contains(m.Applied) != group.Kept {
		return time.Time{}, false
	}
	var at time.Time
	switch {
	case m.Lag > 0:
		at = s.committed().Add(m.Lag)
	case m.Rate > 0 && s.need.Offset > m.Applied.Offset:
		missing := float64(s.need.Offset - m.Applied.Offset)
		seconds := min(missing/m.Rate, s.fresh.Seconds()+s.maxWait.Seconds())
		at = m.AsOf.Add(time.Duration(seconds * float64(time.Second)))
	default:
		return time.Time{}, false
	}
	if at.Before(s.now) {
		at = s.now
	}
	return at.Add(s.slack), true
}

// committed returns an upper bound of the time at which the primary reached the
// bound. A bound beyond the newest sample has just been written.
func (s *search) committed() time.Time {
	at, ok := s.g.Samples.Reached(s.need)
	if !ok || at.After(s.now) {
		return s.now
	}
	return at
}
