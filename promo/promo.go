// Package promo decides about the primary of one database: it detects failures
// from the reports of several zones and drives fencing and promotion. The
// leader of control runs one Machine per database.
//
// A Machine may start only after its instance has applied everything that was
// committed before it became leader. A term that was begun but not completed by
// the former leader is then continued under the same number: every member is
// fenced again. That is safe, because a member fenced at a term changes its log
// only by Promote and Follow of that term or a later one, which need the
// logged completion, and the log accepts one completion per term.
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
	Store   string // registered identity of the data
	Voting  bool   // counts in the size of the group
	Leaving bool
}

// Logged is the state of the database in the control log.
type Logged struct {
	Term    uint64 // newest completed term
	Pending uint64 // begun term above Term, or 0
	Primary string // of Term
	History group.History
	Members []Member
	Size    int // members that the database is known to have, 0 for the voting ones
}

type phase uint8

const (
	phaseSteady phase = iota
	phaseBegin
	phaseFence
	phaseComplete
	phasePromote
)

var phaseNames = [...]string{"steady", "begin", "fence", "complete", "promote"}

// Machine is the failure detector and promotion state machine of one database.
// It is not safe for concurrent use.
type Machine struct {
	cfg   config
	log   Logged
	det   *detector
	phase phase
	out   []Action

	last      time.Time // time of the last event
	muted     bool      // leadership is in doubt after a pause
	started   time.Time
	seen      uint64 // highest term that a member reported
	beginTerm uint64
	forced    bool // the begin does not depend on the present verdict
	sentAt    time.Time

	fenced     map[string]FenceResult
	tried      map[string]time.Time // last Fence or Follow per member
	refused    map[string]bool      // members whose fence failed
	majorityAt time.Time
	chosen     ProposeComplete

	resumed    bool // the promotion was decided by an earlier leader
	completeAt time.Time
	promotedAt time.Time
	dropped    map[string]bool // members that could not be promoted in this failover

	follows  map[string]follow
	target   string
	planned  bool      // an operator asked for a switch
	switchAt time.Time // when a switch was asked for
	leaveAt  time.Time // since when the primary is leaving
}

// follow records the term in which a member follows, and since when.
type follow struct {
	term uint64
	at   time.Time
}

// New returns a Machine that continues from the logged state.
func New(logged Logged, now time.Time, opts ...Option) *Machine {
	m := &Machine{cfg: newConfig(opts), log: logged, last: now, started: now}
	m.det = newDetector(m.cfg.timeout, now)
	m.det.needed = m.cfg.zones
	m.dropped = map[string]bool{}
	m.clear()
	m.setMembers(logged.Members)
	switch {
	case logged.Pending > logged.Term:
		m.phase = phaseFence
	case logged.Primary != "":
		m.phase = phasePromote
		m.resumed = true
		m.completeAt = now
	}
	return m
}

// clear forgets the progress of a term.
func (m *Machine) clear() {
	m.fenced = map[string]FenceResult{}
	m.tried = map[string]time.Time{}
	m.refused = map[string]bool{}
	m.follows = map[string]follow{}
	m.majorityAt = time.Time{}
	m.sentAt = time.Time{}
	m.chosen = ProposeComplete{}
}

// Term returns the newest completed term.
func (m *Machine) Term() uint64 { return m.log.Term }

// Primary returns the primary of the newest completed term.
func (m *Machine) Primary() string { return m.log.Primary }

// Phase names the current step, for status output.
func (m *Machine) Phase() string { return phaseNames[m.phase] }

// Next returns when Tick is next useful.
func (m *Machine) Next(now time.Time) time.Time {
	if m.phase == phaseFence && !m.majorityAt.IsZero() {
		return m.majorityAt.Add(m.cfg.grace)
	}
	return now.Add(m.cfg.tick)
}

// Step handles one event.
func (m *Machine) Step(e Event, now time.Time) []Action {
	m.out = nil
	m.wake(now)
	m.handle(e, now)
	m.advance(now)
	return m.out
}

// wake starts again from nothing after a pause: the reports are old, further
// ones may have been queued while this instance was frozen, and another leader
// may have been elected.
func (m *Machine) wake(now time.Time) {
	gap := now.Sub(m.last)
	m.last = now
	if gap <= m.cfg.gap {
		return
	}
	m.det.reset(now.Add(m.cfg.settle))
	m.muted = true
	m.sentAt = time.Time{}
	m.completeAt = now
	m.switchAt = now
	m.leaveAt = time.Time{}
}

func (m *Machine) handle(e Event, now time.Time) {
	switch e := e.(type) {
	case Report:
		m.report(e, now)
	case Live:
		m.det.setLive(e.Zones, now)
	case Members:
		m.setMembers(e.List)
	case Begun:
		m.begun(e)
	case FenceResult:
		m.fenceResult(e)
	case Completed:
		m.completed(e, now)
	case PromoteResult:
		m.promoteResult(e, now)
	case FollowResult:
		m.followResult(e, now)
	case Switch:
		m.plan(e, now)
	case Confirmed:
		m.muted = false
		m.sentAt = time.Time{}
	case Tick:
		m.det.prune(now)
	}
}

func (m *Machine) advance(now time.Time) {
	if m.muted {
		if m.due(now, m.cfg.retry) {
			m.act(Confirm{})
		}
		return
	}
	switch m.phase {
	case phaseSteady:
		m.watch(now)
		m.rejoin(now)
	case phaseBegin:
		m.begin(now)
	case phaseFence:
		m.fence(now)
	case phaseComplete:
		m.complete(now)
	case phasePromote:
		m.promote(now)
	}
}

func (m *Machine) act(a Action) { m.out = append(m.out, a) }

// due reports whether the action of the current step must be sent, and records
// that it is.
func (m *Machine) due(now time.Time, every time.Duration) bool {
	if !m.sentAt.IsZero() && now.Sub(m.sentAt) < every {
		return false
	}
	m.sentAt = now
	return true
}

// dueFor is due for the action on one member.
func (m *Machine) dueFor(member string, now time.Time, every time.Duration) bool {
	if at, ok := m.tried[member]; ok && now.Sub(at) < every {
		return false
	}
	m.tried[member] = now
	return true
}

func (m *Machine) setMembers(list []Member) {
	m.log.Members = slices.Clone(list)
	slices.SortFunc(m.log.Members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
}

func (m *Machine) member(name string) *Member {
	for i := range m.log.Members {
		if m.log.Members[i].Name == name {
			return &m.log.Members[i]
		}
	}
	return nil
}

// majority returns how many members with their registered store are needed. The
// known size counts before all members have registered.
func (m *Machine) majority() int {
	voting := 0
	for _, x := range m.log.Members {
		voting += toInt(x.Voting)
	}
	return max(voting, m.log.Size)/2 + 1
}
