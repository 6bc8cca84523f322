// Package duty decides when the primary of a service is replaced, and by which of
// its backend servers. The servers acknowledge commits on their own. They change
// their primary only on a promotion order of the platform that carries a fencing
// token.
//
// A Supervisor holds no clock, goroutine or socket. Step takes an event with the
// current time and returns actions, whose outcomes come back as events.
package duty

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"tamarackcross/group"
)

// Member is a backend server as the roster lists it.
type Member struct {
	ID       string
	Born     int64 // identifies its start
	Primary  bool  // it announces itself as the primary
	Draining bool  // it is about to stop
	// LeavingSince is when it was first acknowledged that it is about to stop; zero if it is not.
	LeavingSince time.Time
	Standing     Standing
	// FailingInstances is the number of instances that have had no answer from it for at
	// least FailureThreshold.
	FailingInstances int
}

// Event is an input of a Supervisor.
type Event interface{ event() }

// The events.
type (
	// View is the current state of the service as control knows it. It is repeated
	// regularly.
	View struct {
		Members      []Member // with those that wait to be admitted; see Supervisor.Admits
		Instances    int      // instances that probe the members
		SyncReplicas int      // replicas that hold a commit when it is acknowledged
		Ordered      string   // member that the newest promotion order names, or empty
		// Held is a position that Ordered held when that order was decided, or zero.
		Held      group.Position
		Starts    group.Starts // where terms started, as far as it was recorded
		Appointed string       // the same where successions overlap, otherwise empty
		// Open lists the promotion orders that may still be carried out. They are recorded where commits wait for
		// replicas or successions overlap.
		Open []OpenOrder
		// Resume is the token of the newest OpenResume that was not closed, or 0.
		Resume uint64
		// MayPromote and Reassert matter only where successions overlap. MayPromote means that
		// no instance relies on the primary any more. Reassert means that an open order for
		// another member may have been carried out, so that the appointed one must be promoted
		// again.
		MayPromote, Reassert bool
	}
	// Status is the outcome of AskStatus, StepDown, Pause or Resume. Err is set if the call
	// failed. Busy is set as well if the member answered that it is overloaded.
	Status struct {
		ID         string
		Round      uint64 // of the action
		Resumed    bool   // the action was Resume
		Refused    bool   // the call failed, and the member will not carry it out later
		Down       bool   // the call failed: its address refuses connections
		Replaced   bool   // the call failed: another server answers at its address
		Busy       bool
		Primary    bool
		Term       uint64
		PausedTerm uint64         // term for which it has stopped receiving; 0 if it receives
		Received   group.Position // newest position that the member holds
		Err        error
	}
	// TokenResult is the outcome of IssueToken.
	TokenResult struct {
		Target string
		Token  uint64
		Err    error
	}
	// PromoteResult is the outcome of Promote. Outdated means that the platform refused
	// the order because of its token or its target.
	PromoteResult struct {
		Target   string
		Token    uint64
		Outdated bool
		Err      error
	}
)

func (View) event()          {}
func (Status) event()        {}
func (TokenResult) event()   {}
func (PromoteResult) event() {}

// Action is an output of a Supervisor, to be carried out by its caller.
type Action interface{ action() }

// The actions.
type (
	// AskStatus requests the status of a member. Round comes back with the answer, as it does for the
	// commands below.
	AskStatus struct {
		ID    string
		Round uint64
	}
	// StepDown makes a member a replica if it is the primary of a term below Term.
	StepDown struct {
		ID    string
		Term  uint64
		Round uint64
	}
	// Pause makes a replica stop receiving until Resume or a promotion. Term must be above its
	// own.
	Pause struct {
		ID    string
		Term  uint64
		Round uint64
	}
	// Resume makes a paused replica receive again.
	Resume struct{ ID string }
	// OpenResume requests that the control log keeps that replicas may be told to receive again, until
	// CloseResume with the token that the log gives it. Neither has an outcome.
	OpenResume  struct{}
	CloseResume struct{ Token uint64 }
	// IssueToken requests a fencing token from the control log. Held is a position that the target
	// holds, or zero. If Track is set, the log keeps the order as open until CloseOrders.
	IssueToken struct {
		Target string
		Held   group.Position
		Track  bool
	}
	// CloseOrders requests that the control log forgets open orders. It has no outcome.
	CloseOrders struct{ Tokens []uint64 }
	// RecordTerm requests that the control log keeps where a term started. Later terms that were recorded are
	// dropped if Renewed is set. It has no outcome.
	RecordTerm struct {
		Start   group.StartRange
		Renewed bool
	}
	// ForgetMembers requests that the control log keeps that members do not count any more, and KeepMember that
	// one of them counts again. They have no outcome.
	ForgetMembers struct{ IDs []string }
	KeepMember    struct{ ID string }
	// Promote sends the promotion order with its fencing token to the platform.
	Promote struct {
		Target string
		Token  uint64
	}
	// Recall ends the reliance of the instances on the primary, and Restore allows it again.
	Recall  struct{}
	Restore struct{}
	// Depose asks a former primary to step down. It has no outcome.
	Depose struct{ ID string }
	// Note is a message for the log that operators read.
	Note struct {
		Text     string
		Member   string
		Statuses []Status // answers of the members that the decision rests on
		// Failing is the number of instances that have had no answer from the member, of the
		// Instances that probe it. Both are 0 if the decision does not rest on them.
		Failing, Instances int
	}
)

func (AskStatus) action()     {}
func (StepDown) action()      {}
func (Pause) action()         {}
func (Resume) action()        {}
func (OpenResume) action()    {}
func (CloseResume) action()   {}
func (IssueToken) action()    {}
func (CloseOrders) action()   {}
func (ForgetMembers) action() {}
func (KeepMember) action()    {}
func (RecordTerm) action()    {}
func (Promote) action()       {}
func (Recall) action()        {}
func (Restore) action()       {}
func (Depose) action()        {}
func (Note) action()          {}

const (
	// FailureThreshold is how long a member must not answer an instance to count as
	// failing there: longer than one lost answer, which is noticed after 300 ms.
	FailureThreshold = 500 * time.Millisecond
	// noPrimaryTimeout is how long no member may announce itself as the primary
	// before one is chosen: two heartbeat intervals of the backend servers and a
	// margin.
	noPrimaryTimeout = 3 * time.Second
	// statusTimeout limits the wait for the status of the members.
	statusTimeout = 400 * time.Millisecond
	// oldPrimaryStatusTimeout limits the wait for the status of a primary that most instances
	// get no answer from, once all others have answered.
	oldPrimaryStatusTimeout = 100 * time.Millisecond
	// catchUpTimeout limits the wait until the successor holds everything that the
	// primary held when it stepped down.
	catchUpTimeout = 1500 * time.Millisecond
	// maxStepDownGap is how many commits the successor may lack when the primary is
	// asked to step down. It receives that many within a round trip.
	maxStepDownGap = 20
	// maxStepDownDelay is how long the primary is kept while no successor is within
	// maxStepDownGap, from when it was first acknowledged that it is draining, or from its promotion if
	// that was later. It ends well before a draining backend server stops, which is after 7 s.
	maxStepDownDelay = 3 * time.Second
	// statusInterval is the time between status requests to a successor that is
	// catching up.
	statusInterval = 40 * time.Millisecond
	// activationTimeout limits the wait until a promoted member announces itself as
	// the primary. A promotion takes one second.
	activationTimeout = 3 * time.Second
	// retryDelay is the pause after a failed step.
	retryDelay = 200 * time.Millisecond
	// orderInterval is the least time between two orders to promote a member. The platform may refuse each of them
	// at once.
	orderInterval = 100 * time.Millisecond
	// maxStepDownAttempts is how often a primary is asked to step down before the
	// successor is promoted regardless.
	maxStepDownAttempts = 3
)

// phase is the step of a replacement that a Supervisor is in.
type phase uint8

const (
	watching         phase = iota // no replacement in progress
	collectingStatus              // waiting for the status of all members
	pausing                       // waiting until all replicas have stopped receiving
	steppingDown                  // waiting for the old primary to step down
	catchingUp                    // waiting for the successor to receive the required position
	awaitingRelease               // waiting until no instance relies on the old primary any more
	issuingToken                  // waiting for a fencing token
	verifying                     // waiting until all replicas have answered that they are still paused
	promoting                     // waiting for the platform to accept the promotion order
	activating                    // waiting for the promoted member to act as the primary
)

// Supervisor decides about the primary of one service. It is not safe for
// concurrent use.
type Supervisor struct {
	phase            phase
	phaseSince       time.Time
	notBefore        time.Time // no replacement is started earlier
	noPrimarySince   time.Time // when members were first seen without a primary
	plannedSince     time.Time // since when a planned replacement has been due
	promotedAt       time.Time // when a member that this Supervisor promoted was first seen to lead
	view             View
	planned          bool   // the old primary is to step down first
	oldPrimary       string // empty if no member announced itself as the primary
	assumed          bool   // oldPrimary did not announce itself, but no other member can have led
	target           string // the successor
	statuses         map[string]Status
	requiredPosition group.Position // position that the successor must hold
	statusAskedAt    time.Time
	stepDownAttempts int
	held             group.Position // position that the target held when it was asked last, or zero
	round            uint64         // of the newest questions to the members
	token            uint64         // of the order that is being verified or sent
	orderFailed      bool           // the order has to be repeated
	overlap          overlap
	pauses           pauses
	orders           openOrders
	holders          holders
	terms            terms
}

// Option configures a Supervisor.
type Option func(*Supervisor)

// WithSuccession sets what a promotion does to the former primary.
func WithSuccession(u Succession) Option {
	return func(s *Supervisor) { s.overlap.enabled = u == Overlapping }
}

// New returns a Supervisor that starts no replacement for startDelay: a leader that
// has just been elected does not know the reports of the instances yet.
func New(now time.Time, opts ...Option) *Supervisor {
	s := &Supervisor{notBefore: now.Add(startDelay), overlap: overlap{enabled: true}, pauses: pauses{notBefore: now.Add(syncedStartDelay)}}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// startDelay is the time that instances get to report to a new leader.
const startDelay = time.Second

// Step processes one event and returns the actions to carry out. If Admits becomes false with it, the next
// event must be a View with all members that were admitted until then.
func (s *Supervisor) Step(e Event, now time.Time) []Action {
	switch e := e.(type) {
	case View:
		s.view = e
		s.splitForgotten()
		s.recordOrders(now)
		s.recordResume(now)
		return append(s.closeOrders(now), s.onView(now)...)
	case Status:
		return s.onStatus(e, now)
	case TokenResult:
		return s.onTokenResult(e, now)
	case PromoteResult:
		return s.onPromoteResult(e, now)
	}
	return nil
}

func (s *Supervisor) enterPhase(p phase, now time.Time) { s.phase, s.phaseSince = p, now }

// retryLater ends a replacement that cannot proceed. The next one may start after
// retryDelay.
func (s *Supervisor) retryLater(now time.Time) []Action {
	s.enterPhase(watching, now)
	s.notBefore = now.Add(retryDelay)
	return s.restore()
}

func (s *Supervisor) onView(now time.Time) []Action {
	switch s.phase {
	case watching:
		return s.checkPrimary(now)
	case collectingStatus:
		if now.Sub(s.phaseSince) >= statusTimeout || s.allAnswered() || s.othersAnswered(now) {
			return s.onAnswers(now)
		}
	case pausing:
		if now.Sub(s.phaseSince) >= statusTimeout {
			return s.onPaused(now)
		}
		return s.pauseNewcomers()
	case steppingDown:
		if now.Sub(s.phaseSince) >= statusTimeout {
			return s.onStatus(Status{ID: s.oldPrimary, Err: errNoAnswer}, now)
		}
	case catchingUp:
		if now.Sub(s.phaseSince) >= catchUpTimeout {
			// The member that stepped down holds everything, so that it may become the
			// primary again.
			return append(s.askStatuses("", false, now), Note{Text: "successor did not catch up with the former primary, members are asked again", Member: s.target})
		}
		out := s.resumeReplicas(now)
		if now.Sub(s.statusAskedAt) >= statusInterval {
			s.statusAskedAt = now
			out = append(out, AskStatus{ID: s.target, Round: s.round})
		}
		return out
	case awaitingRelease:
		return append(s.pauseNewcomers(), s.awaitRelease(now)...)
	case verifying:
		if now.Sub(s.phaseSince) >= statusTimeout {
			return s.onVerified(now)
		}
		return s.pauseNewcomers()
	case issuingToken:
		return s.pauseNewcomers()
	case promoting:
		return append(s.pauseNewcomers(), s.repeatOrder(now)...)
	case activating:
		m, _ := s.member(s.target)
		if !m.Primary && now.Sub(s.phaseSince) < activationTimeout {
			return s.pauseNewcomers()
		}
		s.enterPhase(watching, now)
		s.notBefore = now.Add(retryDelay)
		if m.Primary {
			s.promotedAt, s.plannedSince = now, time.Time{}
			s.ordersDone(s.token, now)
			return s.observeTerm(m, now)
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

// failing reports whether more than half of the instances get no answer from a
// member. A network fault between it and a few instances is not enough.
func (s *Supervisor) failing(m Member) bool { return 2*m.FailingInstances > s.view.Instances }

// checkPrimary starts a replacement if the primary is failing or draining, or if
// there has been none for noPrimaryTimeout.
func (s *Supervisor) checkPrimary(now time.Time) []Action {
	if s.synced() && now.Before(s.notBefore) {
		return nil // without a primary the next attempt follows at once
	}
	if now.Before(s.notBefore) || s.synced() && now.Before(s.pauses.notBefore) || s.view.Instances == 0 || len(s.view.Members) < 2 {
		s.noPrimarySince = time.Time{}
		return nil
	}
	if s.overlap.enabled && s.view.Appointed != "" {
		return s.checkAppointed(now)
	}
	failing, draining, announced := "", "", false
	for _, m := range s.view.Members {
		switch {
		case !m.Primary:
		case s.failing(m):
			failing, announced = m.ID, true
		case m.Draining:
			draining, announced = m.ID, true
		default:
			return s.onWorkingPrimary(m, now)
		}
	}
	switch {
	case draining != "":
		return s.askStatuses(draining, true, now)
	case failing != "":
		return s.askStatuses(failing, false, now)
	case !announced && s.noPrimarySince.IsZero():
		s.noPrimarySince = now
	case !announced && now.Sub(s.noPrimarySince) >= noPrimaryTimeout:
		return s.askStatuses("", false, now)
	}
	return nil
}

// onWorkingPrimary handles a primary that needs no replacement.
func (s *Supervisor) onWorkingPrimary(m Member, now time.Time) []Action {
	s.noPrimarySince, s.plannedSince, s.terms.unclearSince = time.Time{}, time.Time{}, time.Time{}
	return slices.Concat(s.observeTerm(m, now), s.keepReceiving(m.ID, now), s.forgetLost(m.ID, now))
}

// askStatuses starts the replacement of a primary by requesting the status of all
// members.
func (s *Supervisor) askStatuses(primary string, planned bool, now time.Time) []Action {
	s.oldPrimary, s.assumed, s.planned, s.stepDownAttempts = primary, false, planned, 0
	s.beginRound(collectingStatus, now)
	var out []Action
	if !planned {
		note := Note{Text: "primary does not answer, members are asked", Member: primary}
		switch m, listed := s.member(primary); {
		case listed && !s.failing(m):
			note.Text = "replacement of the primary was interrupted, members are asked"
		case listed:
			note.Failing, note.Instances = m.FailingInstances, s.view.Instances
		}
		out = append(out, note)
		out = append(out, s.recall()...)
	}
	for _, m := range s.askable() {
		out = append(out, AskStatus{ID: m.ID, Round: s.round})
	}
	return out
}

// beginRound enters a phase in which members are asked. Answers to earlier questions do not count any more.
func (s *Supervisor) beginRound(p phase, now time.Time) {
	s.round++
	s.statuses = make(map[string]Status)
	s.enterPhase(p, now)
}

func (s *Supervisor) allAnswered() bool { return len(s.statuses) >= len(s.askable()) }

// othersAnswered reports whether all members but a failing primary answered, and the primary
// has had its time.
func (s *Supervisor) othersAnswered(now time.Time) bool {
	if s.planned || s.oldPrimary == "" || now.Sub(s.phaseSince) < oldPrimaryStatusTimeout {
		return false
	}
	for _, m := range s.askable() {
		if _, ok := s.statuses[m.ID]; !ok && m.ID != s.oldPrimary {
			return false
		}
	}
	return true
}

// onAnswers goes on once the members have answered.
func (s *Supervisor) onAnswers(now time.Time) []Action {
	if old, ok := s.statuses[s.oldPrimary]; ok && !s.planned {
		switch {
		case old.Busy:
			return s.retryLater(now)
		case old.Err == nil:
			return s.replaceReachable(old, now)
		}
	}
	if s.synced() && !s.planned {
		if s.oldPrimary == "" {
			s.oldPrimary, s.assumed = s.awaited(), true
		}
		return s.pauseReplicas(now)
	}
	return s.chooseTarget(now)
}

// chooseTarget starts to make the successor the primary.
func (s *Supervisor) chooseTarget(now time.Time) []Action {
	best, found := s.successor(now)
	if !found {
		return append(s.noteDiscarded(), s.retryLater(now)...)
	}
	s.target = s.preferAppointed(best)
	if s.synced() {
		target, ok := s.chooseOrdered(best, now)
		if !ok {
			note := Note{Text: "an order to promote a member that holds less, or does not answer, may still be carried out; no other one is promoted until it cannot be", Member: s.openTarget("", now), Statuses: s.sortedStatuses()}
			return append(s.retryLater(now), note)
		}
		s.target = target
	}
	s.held = s.statuses[s.target].Received
	if s.planned {
		return s.maybeStepDown(best, now)
	}
	return append(s.release(now), Note{Text: "member that received most is promoted", Member: s.target, Statuses: s.sortedStatuses()})
}

// successor returns the status of the member that received most, leaving out logs whose end an
// earlier promotion discarded. If commits wait for replicas and the primary does not take part,
// every replica must have answered, and none may hold more of the log than the successor: any of
// them may hold an acknowledged commit that the others lack, also one that is hard to reach or about to stop.
func (s *Supervisor) successor(now time.Time) (best Status, found bool) {
	compareAll := s.synced() && !s.planned
	for _, m := range s.view.Members {
		st, answered := s.statuses[m.ID]
		if m.ID == s.oldPrimary {
			continue
		}
		if !answered || st.Err != nil {
			if compareAll {
				return Status{}, false
			}
			continue
		}
		if st.Primary && s.overlap.enabled && s.view.Appointed != "" && m.ID != s.view.Appointed {
			continue // a former primary, or one that is not known to be the present one
		}
		if st.Primary && !s.planned {
			return Status{}, false // another member is the primary already and will announce it
		}
		if !compareAll && (s.failing(m) || s.planned && m.Draining) || s.stateOf(st.Received) == group.Discarded {
			continue
		}
		if !found || s.precedes(st.Received, best.Received) || best.Received == st.Received && s.prefers(m, best.ID) {
			best, found = st, true
		}
	}
	if found && compareAll && s.surpassed(best) {
		return Status{}, false
	}
	return best, found && !s.awaitClearLog(best, now)
}

// prefers reports whether a member is a better primary than another one that has received as much.
func (s *Supervisor) prefers(m Member, than string) bool {
	other, _ := s.member(than)
	if s.failing(m) != s.failing(other) {
		return !s.failing(m)
	}
	return !m.Draining && other.Draining
}

// surpassed reports whether a member that answered may hold commits that st lacks, in the part of its log
// that no promotion discarded for certain.
func (s *Supervisor) surpassed(st Status) bool {
	for _, other := range s.statuses {
		if other.ID != s.oldPrimary && other.Err == nil && st.Received.Less(s.starts().ClipMost(other.Received)) {
			return true
		}
	}
	return false
}

// sortedStatuses returns the answers of the members in the order of their IDs.
func (s *Supervisor) sortedStatuses() []Status {
	return slices.SortedFunc(maps.Values(s.statuses), func(a, b Status) int { return cmp.Compare(a.ID, b.ID) })
}

// replaceReachable replaces a primary that answers the control instance although
// most instances get no answer from it. As with a draining primary, it steps down
// first, so that no commit is lost.
func (s *Supervisor) replaceReachable(old Status, now time.Time) []Action {
	if !old.Primary {
		return s.retryLater(now)
	}
	s.planned = true
	return s.chooseTarget(now)
}

// maybeStepDown makes the primary step down once the successor lacks at most
// maxStepDownGap commits or maxStepDownDelay has passed.
func (s *Supervisor) maybeStepDown(best Status, now time.Time) []Action {
	old := s.statuses[s.oldPrimary]
	if s.plannedSince.IsZero() {
		s.plannedSince = now
		if m, ok := s.member(s.oldPrimary); ok && !m.LeavingSince.IsZero() {
			s.plannedSince = laterOf(m.LeavingSince, s.promotedAt)
		}
	}
	gap := old.Received.Offset - min(s.starts().Clip(best.Received).Offset, old.Received.Offset)
	if gap > maxStepDownGap && len(s.pauses.replicas) == 0 && now.Sub(s.plannedSince) < maxStepDownDelay {
		return s.retryLater(now)
	}
	return s.stepDown(now)
}

func laterOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

func (s *Supervisor) stepDown(now time.Time) []Action {
	s.stepDownAttempts++
	s.round++
	s.enterPhase(steppingDown, now)
	return []Action{
		Note{Text: "primary is asked to step down", Member: s.oldPrimary},
		StepDown{ID: s.oldPrimary, Term: s.statuses[s.oldPrimary].Term + 1, Round: s.round},
	}
}

func (s *Supervisor) onStatus(st Status, now time.Time) []Action {
	s.recordPause(st, now)
	return slices.Concat(s.recordAbsence(st, now), s.recordTerm(st), s.advanceForgetting(st), s.advance(st, now))
}

// advance goes on with the replacement in progress after a member has answered.
func (s *Supervisor) advance(st Status, now time.Time) []Action {
	switch s.phase {
	case collectingStatus, pausing, verifying, steppingDown:
		if st.Round != s.round {
			return nil
		}
	}
	switch s.phase {
	case collectingStatus:
		s.statuses[st.ID] = st
		if s.allAnswered() {
			return s.onAnswers(now)
		}
	case pausing:
		s.statuses[st.ID] = st
		if s.allPaused() {
			return s.onPaused(now)
		}
	case verifying:
		s.statuses[st.ID] = st
		if s.allPaused() {
			return s.onVerified(now)
		}
	case steppingDown:
		if st.ID == s.oldPrimary {
			return s.onSteppedDown(st, now)
		}
	case catchingUp:
		if st.ID == s.target && st.Err == nil && !st.Received.Less(s.requiredPosition) {
			s.held = st.Received
			return s.issueToken(now)
		}
	case awaitingRelease, issuingToken, promoting:
		return s.noteOvertaken(st)
	}
	return nil
}

func (s *Supervisor) onSteppedDown(st Status, now time.Time) []Action {
	if st.Err == nil && st.Primary {
		s.statuses[s.oldPrimary] = st // its term has changed
	}
	if st.Err != nil || st.Primary {
		if s.stepDownAttempts < maxStepDownAttempts {
			return s.stepDown(now)
		}
		if s.synced() {
			s.planned = false
			return append(s.recall(), s.pauseReplicas(now)...)
		}
		return append(s.recall(), s.release(now)...)
	}
	s.requiredPosition, s.statusAskedAt = st.Received, now
	s.enterPhase(catchingUp, now)
	return append(s.resumeReplicas(now), AskStatus{ID: s.target, Round: s.round})
}

func (s *Supervisor) issueToken(now time.Time) []Action {
	s.enterPhase(issuingToken, now)
	s.terms.primary = "" // the next term has to be recorded, whoever leads it
	return []Action{IssueToken{Target: s.target, Held: s.held, Track: s.synced() || s.overlap.enabled}}
}

func (s *Supervisor) onTokenResult(e TokenResult, now time.Time) []Action {
	if s.phase != issuingToken || e.Target != s.target {
		return nil
	}
	s.token = e.Token
	switch {
	case e.Err != nil:
		return s.retryLater(now)
	case s.pauses.overtaken:
		s.orderRefused(e.Token, now)
		return s.retryLater(now)
	case s.synced() && !s.planned:
		return s.verify(now)
	}
	return s.promote(now)
}

// promote sends the order.
func (s *Supervisor) promote(now time.Time) []Action {
	s.enterPhase(promoting, now)
	s.orderFailed = false
	s.orderSent(s.token, now)
	return append(s.restore(), Promote{Target: s.target, Token: s.token})
}

// onPromoteResult handles the answer of the platform. An order without an answer may
// still be carried out later, and only a later order with a higher token prevents
// that. So the order is repeated with a new token.
func (s *Supervisor) onPromoteResult(e PromoteResult, now time.Time) []Action {
	if s.phase != promoting || e.Target != s.target {
		return nil
	}
	switch {
	case e.Outdated:
		s.orderRefused(e.Token, now)
		return s.retryLater(now)
	case e.Err != nil && s.pauses.overtaken:
		return s.retryLater(now)
	case e.Err != nil:
		s.orderFailed = true
		return s.repeatOrder(now)
	}
	s.enterPhase(activating, now)
	return []Action{Note{Text: "promotion was accepted", Member: s.target}}
}

// repeatOrder repeats an order that failed, not sooner than orderInterval after it.
func (s *Supervisor) repeatOrder(now time.Time) []Action {
	if !s.orderFailed || now.Sub(s.phaseSince) < orderInterval {
		return nil
	}
	return s.issueToken(now)
}
