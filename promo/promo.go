// Package promo decides which member is the primary of a database. It detects a
// failed primary from the reports of several availability zones and drives the
// failover: fencing, choice of the new primary, promotion. The leader of the
// control instances runs one Machine per database.
//
// A Machine may start only after its instance has applied everything that was
// committed to the control log before it became leader. A term that the former
// leader began but did not complete is continued under the same number: every
// member is fenced again. This is safe because a member fenced at a term changes
// its log only by Promote and Follow of that term or a later one. Both need the
// logged completion of the term, and the log accepts one completion per term.
package promo

import (
	"slices"
	"strings"
	"time"

	"tamarackcross/group"
)

// Member is a registered member of the database.
type Member struct {
	Name    string
	Zone    string
	Address string
	Store   string // registered ID of its data; a member that lost its data reports another
	Voting  bool   // counts towards the majority
	Leaving bool   // about to stop
}

// LoggedState is the state of a database as recorded in the control log.
type LoggedState struct {
	Term           uint64 // newest completed term
	Pending        uint64 // term above Term that was begun but not completed, or 0
	Primary        string // of Term, empty before the first term
	History        group.History
	Members        []Member
	ExpectedVoters int // voting members that the database is known to have, or 0 if not known
}

// phase is the step of a failover that a Machine is in.
type phase uint8

const (
	phaseSteady   phase = iota // no failover in progress
	phaseBegin                 // proposing the begin of a term to the control log
	phaseFence                 // fencing members at the pending term
	phaseComplete              // proposing the new primary to the control log
	phasePromote               // promoting the logged primary
)

var phaseNames = [...]string{"steady", "begin", "fence", "complete", "promote"}

// Machine is the failure detector and the failover state machine of one
// database. It is not safe for concurrent use.
type Machine struct {
	cfg      config
	logged   LoggedState
	detector *detector
	phase    phase
	actions  []Action // collected during one Step

	lastEvent   time.Time
	unconfirmed bool // after a pause, until this instance is confirmed to lead control
	startedAt   time.Time
	maxSeenTerm uint64    // highest term that a member reported
	beginTerm   uint64    // term proposed in phaseBegin
	forced      bool      // beginTerm is proposed even if the primary looks healthy again
	sentAt      time.Time // when the action of the current step was last sent

	fenced           map[string]FenceResult
	attemptedAt      map[string]time.Time // last Fence or Follow sent to each member
	fenceFailed      map[string]bool      // members that answered Fence with an error
	majorityFencedAt time.Time
	completion       ProposeComplete

	resumed       bool      // an earlier leader decided the promotion
	promoteStart  time.Time // start of the wait for the promotion, reset after a pause
	promotedAt    time.Time
	promoteFailed map[string]bool // members that could not be promoted in this failover

	following       map[string]followState
	switchTarget    string
	switchRequested bool      // an operator requested a planned switchover
	switchStart     time.Time // start of the wait for the switchover, reset after a pause
	leavingSince    time.Time // when the primary was first seen to be leaving
}

// followState records the term in which a member follows, and since when.
type followState struct {
	term  uint64
	since time.Time
}

// New returns a Machine that continues from the logged state: it resumes a
// pending term at the fencing, and otherwise promotes the logged primary again.
func New(logged LoggedState, now time.Time, opts ...Option) *Machine {
	m := &Machine{cfg: newConfig(opts), logged: logged, lastEvent: now, startedAt: now}
	m.detector = newDetector(m.cfg.reportTTL, now)
	m.detector.zoneQuorum = m.cfg.zoneQuorum
	m.promoteFailed = map[string]bool{}
	m.resetProgress()
	m.setMembers(logged.Members)
	switch {
	case logged.Pending > logged.Term:
		m.phase = phaseFence
	case logged.Primary != "":
		m.phase = phasePromote
		m.resumed = true
		m.promoteStart = now
	}
	return m
}

// resetProgress clears what was recorded about the steps of the former term.
func (m *Machine) resetProgress() {
	m.fenced = map[string]FenceResult{}
	m.attemptedAt = map[string]time.Time{}
	m.fenceFailed = map[string]bool{}
	m.following = map[string]followState{}
	m.majorityFencedAt = time.Time{}
	m.sentAt = time.Time{}
	m.completion = ProposeComplete{}
}

// Term returns the newest completed term.
func (m *Machine) Term() uint64 { return m.logged.Term }

// Primary returns the primary of the newest completed term.
func (m *Machine) Primary() string { return m.logged.Primary }

// Phase returns the name of the current step.
func (m *Machine) Phase() string { return phaseNames[m.phase] }

// NextTick returns when the next Tick is due.
func (m *Machine) NextTick(now time.Time) time.Time {
	if m.phase == phaseFence && !m.majorityFencedAt.IsZero() {
		return m.majorityFencedAt.Add(m.cfg.fenceGrace)
	}
	return now.Add(m.cfg.tickInterval)
}

// Step processes one event and returns the actions to carry out.
func (m *Machine) Step(e Event, now time.Time) []Action {
	m.actions = nil
	m.checkPause(now)
	m.handle(e, now)
	m.advance(now)
	return m.actions
}

// checkPause detects a pause: no event arrived for longer than the pause threshold.
// The stored reports are old then, further ones may have been queued while this
// instance was frozen, and another leader may have been elected. All reports are
// discarded, and nothing is done until leadership is confirmed.
func (m *Machine) checkPause(now time.Time) {
	gap := now.Sub(m.lastEvent)
	m.lastEvent = now
	if gap <= m.cfg.pauseThreshold {
		return
	}
	m.detector.reset(now.Add(m.cfg.pauseHoldoff))
	m.unconfirmed = true
	m.sentAt = time.Time{}
	m.promoteStart = now
	m.switchStart = now
	m.leavingSince = time.Time{}
}

func (m *Machine) handle(e Event, now time.Time) {
	switch e := e.(type) {
	case Report:
		m.onReport(e, now)
	case LiveEntries:
		m.detector.setLiveEntries(e.Zones, now)
	case Members:
		m.setMembers(e.List)
	case Begun:
		m.onBegun(e)
	case FenceResult:
		m.onFenceResult(e)
	case Completed:
		m.onCompleted(e, now)
	case PromoteResult:
		m.onPromoteResult(e, now)
	case FollowResult:
		m.onFollowResult(e, now)
	case Switch:
		m.onSwitch(e, now)
	case Confirmed:
		m.unconfirmed = false
		m.sentAt = time.Time{}
	case Tick:
		m.detector.prune(now)
	}
}

func (m *Machine) advance(now time.Time) {
	if m.unconfirmed {
		if m.due(now, m.cfg.retryInterval) {
			m.emit(Confirm{})
		}
		return
	}
	switch m.phase {
	case phaseSteady:
		m.checkPrimary(now)
		m.requestFollow(now)
	case phaseBegin:
		m.proposeBegin(now)
	case phaseFence:
		m.fenceMembers(now)
	case phaseComplete:
		m.proposeComplete(now)
	case phasePromote:
		m.promotePrimary(now)
	}
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// due reports whether the action of the current step must be sent now, and if so
// records the time.
func (m *Machine) due(now time.Time, interval time.Duration) bool {
	if !m.sentAt.IsZero() && now.Sub(m.sentAt) < interval {
		return false
	}
	m.sentAt = now
	return true
}

// memberDue is like due, for an action on one member.
func (m *Machine) memberDue(member string, now time.Time, interval time.Duration) bool {
	if at, ok := m.attemptedAt[member]; ok && now.Sub(at) < interval {
		return false
	}
	m.attemptedAt[member] = now
	return true
}

func (m *Machine) setMembers(list []Member) {
	m.logged.Members = slices.Clone(list)
	slices.SortFunc(m.logged.Members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
}

func (m *Machine) member(name string) *Member {
	for i := range m.logged.Members {
		if m.logged.Members[i].Name == name {
			return &m.logged.Members[i]
		}
	}
	return nil
}

// majority returns how many voting members, each with its registered store, must
// be fenced. ExpectedVoters keeps the number from being too low before all
// members have registered.
func (m *Machine) majority() int {
	voting := 0
	for _, x := range m.logged.Members {
		voting += toInt(x.Voting)
	}
	return max(voting, m.logged.ExpectedVoters)/2 + 1
}
