// Package duty decides when the primary of a service of backend servers is
// replaced, and by which member. The servers acknowledge commits by themselves
// and change their primary only by an order of the platform that carries a
// fencing token.
//
// A Supervisor holds no clock, goroutine or socket. Each event carries the
// current time and returns actions, whose outcomes come back as events.
package duty

import (
	"time"

	"tamarackcross/group"
)

// Member is a backend server as the roster lists it.
type Member struct {
	ID       string
	Primary  bool // by its own account
	Draining bool
	// Failing is how many instances have had no answer from it for FailFor.
	Failing int
}

// Event is what a Supervisor is told.
type Event interface{ event() }

// The events.
type (
	// Look is the present view of the members, and how many instances report.
	Look struct {
		Members   []Member
		Instances int
		Sync      int // replicas that hold a commit when it is acknowledged
	}
	// Status is what a member answered to AskStatus or StepDown. Err is set if it
	// did not answer, and Busy as well if it answered that it cannot.
	Status struct {
		ID       string
		Busy     bool
		Primary  bool
		Term     uint64
		Received group.Position
		Err      error
	}
	// Issued is the outcome of IssueToken.
	Issued struct {
		Target string
		Token  uint64
		Err    error
	}
	// Called is the outcome of Promote. Outdated means that the order was refused.
	Called struct {
		Target   string
		Token    uint64
		Outdated bool
		Err      error
	}
)

func (Look) event()   {}
func (Status) event() {}
func (Issued) event() {}
func (Called) event() {}

// Action is what a Supervisor wants done.
type Action interface{ action() }

// The actions.
type (
	// AskStatus asks a member for its status.
	AskStatus struct{ ID string }
	// StepDown makes a primary of a term below Term a replica.
	StepDown struct {
		ID   string
		Term uint64
	}
	// IssueToken takes a fencing token from the replicated log.
	IssueToken struct{ Target string }
	// Promote orders the promotion.
	Promote struct {
		Target string
		Token  uint64
	}
	// Note tells the operator of a change of belief.
	Note struct {
		Text   string
		Member string
	}
)

func (AskStatus) action()  {}
func (StepDown) action()   {}
func (IssueToken) action() {}
func (Promote) action()    {}
func (Note) action()       {}

const (
	// FailFor is how long a member must not answer an instance to count as failing
	// there: longer than one lost answer, which is noticed after 300 ms.
	FailFor = 500 * time.Millisecond
	// unknownFor is how long no member may claim to be the primary before one is
	// chosen: two heartbeats of the users' members, and a little more.
	unknownFor = 3 * time.Second
	// surveyLimit bounds the wait for the status of the members.
	surveyLimit = 400 * time.Millisecond
	// catchUpLimit bounds the wait until the successor holds what a primary that
	// stepped down had.
	catchUpLimit = 1500 * time.Millisecond
	// maxGap is how many commits the successor may lack when a primary that leaves
	// steps down: it receives them within a round trip.
	maxGap = 20
	// patience is how long such a primary is kept while no member is close: it ends
	// well before the 7 s after which the users' members stop.
	patience = 3 * time.Second
	// askAgain is between questions to the successor.
	askAgain = 40 * time.Millisecond
	// settleLimit bounds the wait until a promoted member acts as the primary: a
	// promotion takes a second.
	settleLimit = 3 * time.Second
	// retryAfter is the pause after a step that failed.
	retryAfter = 200 * time.Millisecond
	// stepDownTries is how often a primary that leaves is asked to step down.
	stepDownTries = 3
)

// phase is what a Supervisor is doing.
type phase uint8

const (
	watching phase = iota
	surveying
	steppingDown
	catchingUp
	issuing
	calling
	settling
)

// Supervisor watches over one service.
type Supervisor struct {
	phase    phase
	since    time.Time // of the phase
	rest     time.Time // nothing is begun before it
	missing  time.Time // since when no member claims to be the primary
	leaving  time.Time // since when the primary is to be replaced in order
	view     Look
	planned  bool
	primary  string // that is to be replaced
	target   string
	statuses map[string]Status
	goal     group.Position // what the successor must hold
	asked    time.Time
	tries    int
}

// New returns a Supervisor. Nothing is begun for a moment: a leader that has just
// been elected does not know its instances yet.
func New(now time.Time) *Supervisor {
	return &Supervisor{rest: now.Add(firstRest)}
}

// firstRest lets the instances report to a new leader.
const firstRest = time.Second

// Step takes in an event.
func (s *Supervisor) Step(e Event, now time.Time) []Action {
	switch e := e.(type) {
	case Look:
		s.view = e
		return s.tick(now)
	case Status:
		return s.onStatus(e, now)
	case Issued:
		return s.onIssued(e, now)
	case Called:
		return s.onCalled(e, now)
	}
	return nil
}

func (s *Supervisor) enter(p phase, now time.Time) { s.phase, s.since = p, now }

// giveUp returns to watching after a step that failed.
func (s *Supervisor) giveUp(now time.Time) []Action {
	s.enter(watching, now)
	s.rest = now.Add(retryAfter)
	return nil
}

func (s *Supervisor) tick(now time.Time) []Action {
	switch s.phase {
	case watching:
		return s.watch(now)
	case surveying:
		if now.Sub(s.since) >= surveyLimit || s.allAnswered() {
			return s.choose(now)
		}
	case steppingDown:
		if now.Sub(s.since) >= surveyLimit {
			return s.onStatus(Status{ID: s.primary, Err: errSilent}, now)
		}
	case catchingUp:
		if now.Sub(s.since) >= catchUpLimit {
			// The member that stepped down holds everything and may lead again.
			return append(s.survey("", false, now), Note{Text: "successor did not catch up", Member: s.target})
		}
		if now.Sub(s.asked) >= askAgain {
			s.asked = now
			return []Action{AskStatus{ID: s.target}}
		}
	case settling:
		if m, ok := s.member(s.target); ok && m.Primary || now.Sub(s.since) >= settleLimit {
			s.enter(watching, now)
			s.rest = now.Add(retryAfter)
		}
	}
	return nil
}

func (s *Supervisor) member(id string) (Member, bool) {
	for _, m := range s.view.Members {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// failing reports whether more than half of the instances have no answer from a
// member. One bad path does not condemn it.
func (s *Supervisor) failing(m Member) bool { return 2*m.Failing > s.view.Instances }

// watch looks for a primary that is lost or leaves.
func (s *Supervisor) watch(now time.Time) []Action {
	if now.Before(s.rest) || s.view.Instances == 0 || len(s.view.Members) < 2 {
		s.missing = time.Time{}
		return nil
	}
	lost, leaving, claimed := "", "", false
	for _, m := range s.view.Members {
		switch {
		case !m.Primary:
		case s.failing(m):
			lost, claimed = m.ID, true
		case m.Draining:
			leaving, claimed = m.ID, true
		default:
			s.missing, s.leaving = time.Time{}, time.Time{}
			return nil
		}
	}
	switch {
	case leaving != "":
		return s.survey(leaving, true, now)
	case lost != "":
		return s.survey(lost, false, now)
	case !claimed && s.missing.IsZero():
		s.missing = now
	case !claimed && now.Sub(s.missing) >= unknownFor:
		return s.survey("", false, now)
	}
	return nil
}

// survey asks all members for their status.
func (s *Supervisor) survey(primary string, planned bool, now time.Time) []Action {
	s.primary, s.planned, s.tries = primary, planned, 0
	s.statuses = make(map[string]Status)
	s.enter(surveying, now)
	var out []Action
	if !planned {
		out = append(out, Note{Text: "primary does not answer, members are asked", Member: primary})
	}
	for _, m := range s.view.Members {
		out = append(out, AskStatus{ID: m.ID})
	}
	return out
}

func (s *Supervisor) allAnswered() bool { return len(s.statuses) >= len(s.view.Members) }

// choose takes the member that received most. With commits that replicas
// acknowledge, every replica must have answered, since any may hold one that the
// others lack.
func (s *Supervisor) choose(now time.Time) []Action {
	if was, ok := s.statuses[s.primary]; ok && !s.planned {
		switch {
		case was.Busy:
			return s.giveUp(now)
		case was.Err == nil:
			return s.reachable(was, now)
		}
	}
	best, found := Status{}, false
	for _, m := range s.view.Members {
		st, answered := s.statuses[m.ID]
		if m.ID == s.primary {
			continue
		}
		if !answered || st.Err != nil {
			if s.view.Sync > 0 && !s.planned {
				return s.giveUp(now)
			}
			continue
		}
		if st.Primary && !s.planned {
			return s.giveUp(now) // another member leads already and will say so
		}
		if s.failing(m) || s.planned && m.Draining {
			continue
		}
		if !found || best.Received.Less(st.Received) || !m.Draining && best.Received == st.Received {
			best, found = st, true
		}
	}
	if !found {
		return s.giveUp(now)
	}
	s.target = best.ID
	if s.planned {
		return s.replace(best, now)
	}
	return append(s.issue(now), Note{Text: "member that received most is promoted", Member: s.target})
}

// reachable handles a primary that answers control though most instances cannot
// reach it. It is replaced like one that leaves, so that nothing is lost.
func (s *Supervisor) reachable(was Status, now time.Time) []Action {
	if !was.Primary {
		return s.giveUp(now)
	}
	s.planned = true
	return s.choose(now)
}

// replace makes the primary step down once its successor is close.
func (s *Supervisor) replace(best Status, now time.Time) []Action {
	was := s.statuses[s.primary]
	if s.leaving.IsZero() {
		s.leaving = now
	}
	gap := was.Received.Offset - min(best.Received.Offset, was.Received.Offset)
	if gap > maxGap && now.Sub(s.leaving) < patience {
		return s.giveUp(now)
	}
	return s.stepDown(now)
}

func (s *Supervisor) stepDown(now time.Time) []Action {
	s.tries++
	s.enter(steppingDown, now)
	return []Action{
		Note{Text: "primary is asked to step down", Member: s.primary},
		StepDown{ID: s.primary, Term: s.statuses[s.primary].Term + 1},
	}
}

func (s *Supervisor) onStatus(st Status, now time.Time) []Action {
	switch s.phase {
	case surveying:
		s.statuses[st.ID] = st
		if s.allAnswered() {
			return s.choose(now)
		}
	case steppingDown:
		if st.ID == s.primary {
			return s.steppedDown(st, now)
		}
	case catchingUp:
		if st.ID == s.target && st.Err == nil && !st.Received.Less(s.goal) {
			return s.issue(now)
		}
	}
	return nil
}

func (s *Supervisor) steppedDown(st Status, now time.Time) []Action {
	if st.Err != nil {
		if s.tries < stepDownTries {
			return s.stepDown(now)
		}
		return s.issue(now)
	}
	s.goal, s.asked = st.Received, now
	s.enter(catchingUp, now)
	return []Action{AskStatus{ID: s.target}}
}

func (s *Supervisor) issue(now time.Time) []Action {
	s.enter(issuing, now)
	return []Action{IssueToken{Target: s.target}}
}

func (s *Supervisor) onIssued(e Issued, now time.Time) []Action {
	if s.phase != issuing || e.Target != s.target {
		return nil
	}
	if e.Err != nil {
		return s.giveUp(now)
	}
	s.enter(calling, now)
	return []Action{Promote{Target: e.Target, Token: e.Token}}
}

// onCalled handles the answer of the platform. A call without an answer may still
// be carried out: only a later one with a higher token makes it harmless, so the
// order is given again.
func (s *Supervisor) onCalled(e Called, now time.Time) []Action {
	if s.phase != calling || e.Target != s.target {
		return nil
	}
	switch {
	case e.Outdated:
		return s.giveUp(now)
	case e.Err != nil:
		return s.issue(now)
	}
	s.enter(settling, now)
	return []Action{Note{Text: "promotion was accepted", Member: s.target}}
}
