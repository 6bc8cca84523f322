package host

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"tamarackcross/duty"
	"tamarackcross/event"
	"tamarackcross/ledger"
	"tamarackcross/proxy"
	"tamarackcross/raft"
	"tamarackcross/roster"
	"tamarackcross/stats"
)

// MemberCalls calls backend servers. All calls return the status of the member. Those that change something
// call maySend right before they send the command, and return ErrNotSent if it returns false or if no part of the
// command was sent.
type MemberCalls interface {
	Status(ctx context.Context, t proxy.Target) (proxy.MemberStatus, error)
	// StepDown makes a member a replica if it is the primary of a term below term.
	StepDown(ctx context.Context, t proxy.Target, term uint64, maySend func() bool) (proxy.MemberStatus, error)
	// Pause makes a replica stop receiving if term is above its own.
	Pause(ctx context.Context, t proxy.Target, term uint64, maySend func() bool) (proxy.MemberStatus, error)
	// Resume makes a replica receive again.
	Resume(ctx context.Context, t proxy.Target, maySend func() bool) (proxy.MemberStatus, error)
}

const (
	// supervisionInterval is the time between updates of the supervisors.
	supervisionInterval = 50 * time.Millisecond
	// memberCallTimeout bounds a call to a backend server.
	memberCallTimeout = 300 * time.Millisecond
	// promoteTimeout bounds a call to the platform.
	promoteTimeout = time.Second
	// tokenTimeout bounds the commit of a promotion order, whose log index is the token.
	tokenTimeout = time.Second
)

// supervision runs a supervisor for each service while this instance is the leader, and
// carries out the actions that the supervisors decide.
type supervision struct {
	c        *Controller
	log      *event.Log
	term     raft.Term // of the supervisors
	services map[string]*duty.Supervisor
	health   healthSummary // of the last update
	recorded time.Time     // last attempt to record members
	events   chan serviceEvent
	wg       conc.WaitGroup
}

// setGauges sets the gauges of the control role.
func (c *Controller) setGauges(set stats.SetGauge) {
	status := c.node.Status()
	stored, _ := c.ledger.Config()
	leader := 0.0
	if c.isCurrentLeader() {
		leader = 1
	}
	set("leader", nil, leader)
	set("log_term", nil, float64(status.Term))
	set("log_commit", nil, float64(status.Commit))
	set("control_members", nil, float64(len(status.Members)))
	set("control_voters", nil, float64(len(status.Members.Voters())))
	set("config_version", nil, float64(stored.Version))
	set("entries", nil, float64(c.entryCount()))
	set("roster_revision", nil, float64(c.roster.Revision()))
	set("log_lines_dropped", nil, float64(c.deps.Log.Dropped()))
}

// serviceEvent is the outcome of an action, for the supervisor of a service.
type serviceEvent struct {
	service string
	event   duty.Event
}

// eventQueueSize is the number of outcomes that can be queued. It is larger than the number
// of actions that run at a time.
const eventQueueSize = 256

// runDuty supervises the services and grants leases until ctx ends.
func (c *Controller) runDuty(ctx context.Context) error {
	s := &supervision{c: c, log: c.deps.Log, events: make(chan serviceEvent, eventQueueSize)}
	defer s.wg.Wait()
	t := time.NewTicker(supervisionInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-s.events:
			if sup := s.services[e.service]; sup != nil && c.isCurrentLeader() {
				s.step(ctx, e.service, sup, e.event)
			}
		case <-t.C:
			c.followLeader()
			if c.giver != nil {
				c.giver.follow(c.node.Status())
				c.renewOwnLeases()
			}
			if c.caps != nil {
				c.caps.follow(ctx, c.node.Status(), c.document(), s.wg.Go)
			}
			s.updateViews(ctx, c.gatherHealth(c.deps.Now()))
		}
	}
}

// isCurrentLeader reports whether this instance is the leader and has heard from a majority.
func (c *Controller) isCurrentLeader() bool {
	st := c.node.Status()
	return c.isLeader() && st.Current
}

// updateViews gives each supervisor the current state of its service. An instance that is not
// the leader, or has lost its majority, discards all supervisors. There are none if the platform
// does not take promotion orders.
func (s *supervision) updateViews(ctx context.Context, health healthSummary) {
	doc, term := s.c.document(), s.c.node.Status().Term
	if doc == nil || s.c.deps.Promoter == nil || !s.c.isCurrentLeader() {
		s.services = nil
		return
	}
	now := s.c.deps.Now()
	if s.services == nil || s.term != term {
		s.services, s.term = make(map[string]*duty.Supervisor), term
	}
	for name, cfg := range doc.Services {
		sup := s.services[name]
		if sup == nil {
			sup = duty.New(now, duty.WithSuccession(s.c.settings.Succession))
			s.services[name] = sup
		}
		s.health = health
		s.step(ctx, name, sup, s.view(name, cfg.SyncReplicas))
	}
	s.recordMembers(ctx, doc, now)
}

// view returns the current state of a service.
func (s *supervision) view(service string, syncReplicas int) duty.View {
	view := duty.View{Instances: s.health.probing[service], SyncReplicas: syncReplicas}
	order, _ := s.c.ledger.PromotionOrder(service)
	view.Ordered, view.Held, view.Starts, view.Resume = order.Target, order.Held, s.c.ledger.Starts(service), s.c.ledger.Resume(service)
	for _, o := range order.Open {
		view.Open = append(view.Open, duty.OpenOrder(o))
	}
	if s.c.giver != nil {
		view.Appointed, view.MayPromote, view.Reassert = order.Target, s.c.giver.mayPromote(service, ""), s.c.giver.mustReassert(service)
	}
	for _, m := range s.members(service, syncReplicas > 0) {
		e := m.entry
		view.Members = append(view.Members, duty.Member{
			ID: e.ID, Born: e.Born, Primary: e.Primary, Draining: e.State == roster.Draining, LeavingSince: e.LeavingSince, Standing: m.standing,
			FailingInstances: s.health.failing[memberKey{service, e.ID}],
		})
	}
	return view
}

// step passes an event to a supervisor and carries out what it decides. If the service admits no new members
// any more, the supervisor gets those that were admitted until then.
func (s *supervision) step(ctx context.Context, service string, sup *duty.Supervisor, e duty.Event) {
	now := s.c.deps.Now()
	admitted := sup.Admits(now)
	actions := sup.Step(e, now)
	admits := sup.Admits(now)
	s.c.admission.setOpen(service, s.term, admits)
	if doc := s.c.document(); admitted && !admits && doc != nil {
		actions = append(actions, sup.Step(s.view(service, doc.Services[service].SyncReplicas), now)...)
	}
	s.runActions(ctx, service, actions)
}

// runActions starts the actions that a supervisor decided.
func (s *supervision) runActions(ctx context.Context, service string, actions []duty.Action) {
	maySend := s.whileLeading()
	for _, a := range actions {
		switch a := a.(type) {
		case duty.Note:
			s.logNote(service, a)
		case duty.AskStatus:
			s.runAction(service, func() duty.Event { return s.askStatus(ctx, service, a) })
		case duty.StepDown:
			s.runAction(service, func() duty.Event { return s.stepDown(ctx, service, a, maySend) })
		case duty.Pause:
			s.runAction(service, func() duty.Event { return s.pause(ctx, service, a, maySend) })
		case duty.Resume:
			s.runAction(service, func() duty.Event { return s.resume(ctx, service, a.ID, maySend) })
		case duty.OpenResume:
			s.wg.Go(func() { s.record(ctx, service, ledger.OpenResume{Service: service}) })
		case duty.CloseResume:
			s.wg.Go(func() { s.record(ctx, service, ledger.CloseResume{Service: service, Token: a.Token}) })
		case duty.ForgetMembers:
			s.wg.Go(func() { s.recordStates(ctx, service, ledger.Forgotten, a.IDs...) })
		case duty.KeepMember:
			s.wg.Go(func() { s.recordStates(ctx, service, ledger.Counted, a.ID) })
		case duty.CloseOrders:
			s.wg.Go(func() { s.record(ctx, service, ledger.CloseOrders{Service: service, Tokens: a.Tokens}) })
		case duty.IssueToken:
			s.runAction(service, func() duty.Event { return s.issueToken(ctx, service, a) })
		case duty.RecordTerm:
			s.wg.Go(func() { s.recordTerm(ctx, service, a) })
		case duty.Promote:
			s.runAction(service, func() duty.Event { return s.promote(ctx, service, a, maySend) })
		case duty.Recall:
			s.c.giver.setRecalled(service, true)
		case duty.Restore:
			s.c.giver.setRecalled(service, false)
		case duty.Depose:
			s.wg.Go(func() { s.depose(ctx, service, a.ID, maySend) })
		}
	}
}

// logNote logs a decision with the answers of the members that it rests on.
func (s *supervision) logNote(service string, n duty.Note) {
	line := s.log.Warn().Str("service", service).Str("member", n.Member)
	if len(n.Statuses) > 0 {
		answers := zerolog.Dict()
		for _, st := range n.Statuses {
			answers.Str(st.ID, describeStatus(st))
		}
		line = line.Dict("answers", answers)
	}
	if n.Instances > 0 {
		line = line.Int("failing_instances", n.Failing).Int("probing_instances", n.Instances)
	}
	line.Msg(n.Text)
}

// describeStatus returns what a member answered, for the log.
func describeStatus(st duty.Status) string {
	switch {
	case st.Err != nil:
		return st.Err.Error()
	case st.Primary:
		return fmt.Sprintf("primary of term %d, received %s", st.Term, st.Received)
	default:
		return fmt.Sprintf("replica in term %d, received %s", st.Term, st.Received)
	}
}

// runAction runs an action in a goroutine and queues its outcome for the supervisor.
func (s *supervision) runAction(service string, f func() duty.Event) {
	s.wg.Go(func() {
		select {
		case s.events <- serviceEvent{service: service, event: f()}:
		case <-s.c.ctx.Done():
		}
	})
}

func (s *supervision) askStatus(ctx context.Context, service string, a duty.AskStatus) duty.Event {
	ctx, stop := context.WithTimeout(ctx, memberCallTimeout)
	defer stop()
	st, err := s.c.deps.Members.Status(ctx, s.target(service, a.ID))
	return statusEvent(a.ID, a.Round, st, err)
}

// target returns the server that waits to be admitted, or that the roster or the control log lists, under id now.
// The address is empty if there is none.
func (s *supervision) target(service, id string) proxy.Target {
	for _, m := range s.members(service, true) {
		if m.entry.ID == id {
			return proxy.Target{Addr: m.entry.Addr, Service: service, ID: id}
		}
	}
	return proxy.Target{Service: service, ID: id}
}

func (s *supervision) stepDown(ctx context.Context, service string, a duty.StepDown, maySend func() bool) duty.Event {
	ctx, stop := context.WithTimeout(ctx, memberCallTimeout)
	defer stop()
	askedAt := s.c.deps.Now()
	st, err := s.c.deps.Members.StepDown(ctx, s.target(service, a.ID), a.Term, maySend)
	if err == nil && !st.Primary && s.c.giver != nil {
		s.c.giver.recordStepDown(service, a.ID, askedAt)
	}
	return statusEvent(a.ID, a.Round, st, err)
}

func (s *supervision) pause(ctx context.Context, service string, a duty.Pause, maySend func() bool) duty.Event {
	ctx, stop := context.WithTimeout(ctx, memberCallTimeout)
	defer stop()
	st, err := s.c.deps.Members.Pause(ctx, s.target(service, a.ID), a.Term, maySend)
	s.log.Warn().Err(err).Str("service", service).Str("member", a.ID).Uint64("term", a.Term).Uint64("paused_term", st.PausedTerm).
		Stringer("received", st.Received).Msg("replica was asked to stop receiving until a promotion")
	return statusEvent(a.ID, a.Round, st, err)
}

func (s *supervision) resume(ctx context.Context, service, id string, maySend func() bool) duty.Event {
	ctx, stop := context.WithTimeout(ctx, memberCallTimeout)
	defer stop()
	st, err := s.c.deps.Members.Resume(ctx, s.target(service, id), maySend)
	out := statusEvent(id, 0, st, err)
	out.Resumed = true
	s.log.Warn().Err(err).Str("service", service).Str("member", id).Uint64("paused_term", st.PausedTerm).Bool("refused", out.Refused).Msg("replica was asked to receive again")
	return out
}

// depose makes a member step down if it acts as the primary.
func (s *supervision) depose(ctx context.Context, service, id string, maySend func() bool) {
	ctx, stop := context.WithTimeout(ctx, memberCallTimeout)
	defer stop()
	st, err := s.c.deps.Members.Status(ctx, s.target(service, id))
	if err == nil && st.Primary {
		s.stepDown(ctx, service, duty.StepDown{ID: id, Term: st.Term + 1}, maySend)
		s.log.Warn().Str("service", service).Str("member", id).Uint64("term", st.Term).Msg("member that is not appointed acted as the primary; it was asked to step down")
	}
}

// statusEvent converts the outcome of a call to a member to an event.
func statusEvent(id string, round uint64, st proxy.MemberStatus, err error) duty.Status {
	var f *proxy.Fault
	faulted := errors.As(err, &f)
	return duty.Status{
		ID: id, Round: round, Refused: faulted || errors.Is(err, ErrNotSent), Busy: faulted && f.Code == proxy.Busy,
		Down: errors.Is(err, syscall.ECONNREFUSED), Replaced: faulted && f.Code == proxy.Moved,
		Primary: st.Primary, Term: st.Term, PausedTerm: st.PausedTerm, Received: st.Received, Err: err,
	}
}

// issueToken commits a promotion order, whose log index is the fencing token. Only the leader
// that committed the order uses the token.
func (s *supervision) issueToken(ctx context.Context, service string, a duty.IssueToken) duty.Event {
	ctx, stop := context.WithTimeout(ctx, tokenTimeout)
	defer stop()
	out := duty.TokenResult{Target: a.Target}
	if s.c.giver != nil && !s.c.giver.mayPromote(service, a.Target) {
		out.Err = errReliedOn
		return out
	}
	cmd, err := ledger.Encode(ledger.OrderPromotion{Service: service, Target: a.Target, Track: a.Track, Held: a.Held})
	if err != nil {
		out.Err = err
		return out
	}
	result, err := s.c.node.ProposeData(ctx, cmd)
	if err != nil {
		out.Err = err
		return out
	}
	order, ok := result.(ledger.PromotionResult)
	if !ok {
		out.Err = eris.Errorf("unexpected result after committing a promotion order: %v", result)
		return out
	}
	out.Token = order.Token
	if s.c.giver != nil {
		s.c.giver.recordOrder(service, a.Target, order.Token)
	}
	return out
}

// recordTerm commits where a term started. If that fails, the supervisor requests it again.
func (s *supervision) recordTerm(ctx context.Context, service string, a duty.RecordTerm) {
	err := s.propose(ctx, ledger.RecordTerm{Service: service, Start: a.Start, Renewed: a.Renewed})
	s.log.Info().Err(err).Str("service", service).Uint64("term", a.Start.Term).Uint64("least", a.Start.Least).Uint64("most", a.Start.Most).Bool("renewed", a.Renewed).
		Msg("start of a term recorded; logs of earlier terms beyond it are not promoted")
}

// record commits what the supervisor of a service wants to be kept. If that fails, the supervisor requests it again.
func (s *supervision) record(ctx context.Context, service string, command ledger.Command) {
	err := s.propose(ctx, command)
	s.log.Info().Err(err).Str("service", service).Str("command", fmt.Sprintf("%T%+v", command, command)).Msg("recorded in the control log for later leaders")
}

// propose commits a command within tokenTimeout.
func (s *supervision) propose(ctx context.Context, command ledger.Command) error {
	ctx, stop := context.WithTimeout(ctx, tokenTimeout)
	defer stop()
	_, err := s.c.propose(ctx, command)
	return err
}

var errReliedOn = eris.New("instances may still rely on the former primary")

// leaderValidity is how old the last confirmation of a leader may be when it sends an order. No
// other member of control is elected sooner after it.
const leaderValidity = raft.DefaultElectionTimeoutMin

// whileLeading returns a function that reports whether this instance still leads in the term of the supervisors. An
// instance that was frozen must not send what it decided before. Only the loop may call it.
func (s *supervision) whileLeading() func() bool {
	term := s.term
	return func() bool {
		st := s.c.node.Status()
		return st.Role == raft.Leader && st.Term == term && s.c.deps.Now().Sub(st.ConfirmedAt) < leaderValidity
	}
}

// promote sends a promotion order to the platform.
func (s *supervision) promote(ctx context.Context, service string, a duty.Promote, maySend func() bool) duty.Event {
	ctx, stop := context.WithTimeout(ctx, promoteTimeout)
	defer stop()
	sentAt := s.c.deps.Now()
	err := s.c.deps.Promoter.Promote(ctx, PromotionOrder{
		Service: service, Target: a.Target, DutyHolder: s.c.settings.Name, Token: a.Token, MaySend: maySend,
	})
	if s.c.giver != nil {
		s.closeOrders(ctx, service, s.c.giver.recordOutcome(service, a.Token, sentAt, err))
	}
	s.log.Warn().Err(err).Str("service", service).Str("member", a.Target).Uint64("token", a.Token).Msg("promotion ordered")
	return duty.PromoteResult{Target: a.Target, Token: a.Token, Outdated: errors.Is(err, ErrOutdated), Err: err}
}

// closeOrders records in the log that the platform will not carry out some orders any more. If
// that fails, the next leader waits for them in vain.
func (s *supervision) closeOrders(ctx context.Context, service string, tokens []uint64) {
	if len(tokens) == 0 {
		return
	}
	if err := s.propose(ctx, ledger.CloseOrders{Service: service, Tokens: tokens}); err != nil {
		s.log.Warn().Err(err).Str("service", service).Msg("orders could not be recorded as closed; a new leader grants no lease of the service until they cannot be carried out any more")
	}
}
