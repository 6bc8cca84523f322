package duty

import (
	"slices"
	"time"

	"tamarackcross/group"
)

// Where commits wait for replicas, each member may hold an acknowledged commit that the others lack, and has to
// be compared before one is promoted. So the control log lists the members: one is listed before it is admitted, and
// counts until it cannot be running any more and enough others hold all that it may have confirmed.

const (
	// downTimeout is how long the address of a member refuses connections until the member counts as lost. One that
	// crashed is usually back sooner, with its log.
	downTimeout = 30 * time.Second
	// lostTimeout is how long a member gives no answer until it counts as lost.
	lostTimeout = 10 * time.Minute
	// forgetInterval is the time between attempts to find out whether members that are lost may be forgotten.
	forgetInterval = 500 * time.Millisecond
)

// Standing tells whether a member counts when the positions of all members are compared.
type Standing uint8

// The standings.
const (
	// Present means that the member counts. It is the zero value, because it is safe.
	Present Standing = iota
	// Ended means that the member has stopped for good. It still counts, and cannot be asked any more.
	Ended
	// Forgotten means that others hold all that the member may have confirmed.
	Forgotten
)

// absence is since when a member has not answered.
type absence struct {
	born     int64     // its start
	silent   time.Time // no answer since then
	down     time.Time // its address has refused connections since then; zero if it did not the last time
	replaced bool      // another server answers at its address
}

// holders is the state of a Supervisor that concerns the members which are listed in the control log.
type holders struct {
	forgotten []Member
	absent    map[string]absence
	forget    forgetting
}

// forgetting is an attempt to forget members that are lost: the primary is asked what it holds, then the others.
type forgetting struct {
	ids      []string
	since    time.Time
	round    uint64 // of the question to the primary
	position group.Position
	caughtUp map[string]bool // replicas that hold as much as the primary did
}

// splitForgotten takes the members that do not count out of the view.
func (s *Supervisor) splitForgotten() {
	isForgotten := func(m Member) bool { return m.Standing == Forgotten }
	s.holders.forgotten = nil
	if !slices.ContainsFunc(s.view.Members, isForgotten) {
		return
	}
	var counted []Member
	for _, m := range s.view.Members {
		if isForgotten(m) {
			s.holders.forgotten = append(s.holders.forgotten, m)
		} else {
			counted = append(counted, m)
		}
	}
	s.view.Members = counted
}

// askable returns the members that can be asked.
func (s *Supervisor) askable() []Member {
	return slices.DeleteFunc(slices.Clone(s.view.Members), func(m Member) bool { return m.Standing == Ended })
}

// recordAbsence records whether a member answered. One that was forgotten and answers counts again.
func (s *Supervisor) recordAbsence(st Status, now time.Time) []Action {
	m, counted := s.member(st.ID)
	if !counted {
		i := slices.IndexFunc(s.holders.forgotten, func(m Member) bool { return m.ID == st.ID })
		if i >= 0 && st.Err == nil {
			return []Action{KeepMember{ID: st.ID}}
		}
		return nil
	}
	if st.Err == nil {
		delete(s.holders.absent, st.ID)
		return nil
	}
	a := s.holders.absent[st.ID]
	if a.born != m.Born || a.silent.IsZero() {
		a = absence{born: m.Born, silent: now}
	}
	switch {
	case !st.Down:
		a.down = time.Time{}
	case a.down.IsZero():
		a.down = now
	}
	a.replaced = st.Replaced
	if s.holders.absent == nil {
		s.holders.absent = make(map[string]absence)
	}
	s.holders.absent[st.ID] = a
	return nil
}

// isLost reports whether a member cannot be running any more, as far as it can be known.
func (s *Supervisor) isLost(m Member, now time.Time) bool {
	a, absent := s.holders.absent[m.ID]
	switch {
	case m.Standing == Ended:
		return true
	case !absent || a.born != m.Born:
		return false
	}
	return a.replaced || !a.down.IsZero() && now.Sub(a.down) >= downTimeout || now.Sub(a.silent) >= lostTimeout
}

// forgetLost starts to find out whether members that are lost may be forgotten: a primary that works is asked
// what it holds.
func (s *Supervisor) forgetLost(primary string, now time.Time) []Action {
	f := &s.holders.forget
	if !s.synced() || now.Sub(f.since) < forgetInterval {
		return nil
	}
	var ids []string
	for _, m := range s.view.Members {
		if m.ID != primary && s.isLost(m, now) {
			ids = append(ids, m.ID)
		}
	}
	if len(ids) == 0 {
		return nil
	}
	s.round++
	*f = forgetting{ids: ids, since: now, round: s.round}
	return []Action{AskStatus{ID: primary, Round: s.round}}
}

// advanceForgetting goes on once the primary or a replica has answered. Commits that a lost member confirmed are
// not beyond the position of a primary that is asked later. Once as many replicas hold that as commits wait for, the
// lost member is not needed.
func (s *Supervisor) advanceForgetting(st Status) []Action {
	f := &s.holders.forget
	if len(f.ids) == 0 || st.Err != nil {
		return nil
	}
	if st.Primary {
		if st.Round != f.round || f.caughtUp != nil {
			return nil
		}
		f.position, f.caughtUp = st.Received, make(map[string]bool)
		var out []Action
		for _, m := range s.askable() {
			if m.ID != st.ID && !slices.Contains(f.ids, m.ID) {
				out = append(out, AskStatus{ID: m.ID})
			}
		}
		return out
	}
	if f.caughtUp == nil || slices.Contains(f.ids, st.ID) || st.Received.Less(f.position) {
		return nil
	}
	if _, counted := s.member(st.ID); !counted {
		return nil
	}
	f.caughtUp[st.ID] = true
	if len(f.caughtUp) < s.view.SyncReplicas {
		return nil
	}
	ids := f.ids
	f.ids, f.caughtUp = nil, nil
	return []Action{ForgetMembers{IDs: ids}}
}

// awaited returns the member that may take the place of the primary where no one is known to have led: if all others
// have answered that they do not lead, then either it did, or one of them did and holds all that it acknowledged.
func (s *Supervisor) awaited() string {
	missing := ""
	for _, m := range s.view.Members {
		st, answered := s.statuses[m.ID]
		switch {
		case answered && st.Err == nil && st.Primary:
			return ""
		case answered && st.Err == nil:
		case missing != "":
			return ""
		default:
			missing = m.ID
		}
	}
	return missing
}
