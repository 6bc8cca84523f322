package host

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"tamarackcross/duty"
	"tamarackcross/event"
	"tamarackcross/ledger"
	"tamarackcross/proxy"
	"tamarackcross/roster"
)

// MemberCalls asks backend servers about their log.
type MemberCalls interface {
	Status(ctx context.Context, t proxy.Target) (proxy.MemberStatus, error)
	StepDown(ctx context.Context, t proxy.Target, term uint64) (proxy.MemberStatus, error)
}

const (
	// dutyInterval is between looks at the services.
	dutyInterval = 50 * time.Millisecond
	// memberLimit bounds a call to a backend server.
	memberLimit = 300 * time.Millisecond
	// promoteLimit bounds a call to the platform.
	promoteLimit = time.Second
	// issueLimit bounds the commit of a token.
	issueLimit = time.Second
)

// supervision carries out what the supervisors of the services decide, while this
// instance leads.
type supervision struct {
	c        *Controller
	log      *event.Log
	services map[string]*duty.Supervisor
	events   chan dutyEvent
	gauged   time.Time
	wg       conc.WaitGroup
}

// gaugeInterval is between updates of the gauges of control.
const gaugeInterval = time.Second

// gauge reports the state of the control instance.
func (s *supervision) gauge(now time.Time) {
	if now.Sub(s.gauged) < gaugeInterval {
		return
	}
	s.gauged = now
	st, c := s.c.parts.Stats, s.c
	status := c.node.Status()
	stored, _ := c.ledger.Config()
	leads := 0.0
	if c.current() {
		leads = 1
	}
	st.Gauge("leader", nil, leads)
	st.Gauge("log_term", nil, float64(status.Term))
	st.Gauge("log_commit", nil, float64(status.Commit))
	st.Gauge("control_members", nil, float64(len(status.Members)))
	st.Gauge("config_version", nil, float64(stored.Version))
	st.Gauge("entries", nil, float64(c.instances()))
	st.Gauge("roster_revision", nil, float64(c.roster.Revision()))
	st.Gauge("log_lines_dropped", nil, float64(s.log.Dropped()))
	st.Runtime()
}

// dutyEvent is the outcome of an action for a service.
type dutyEvent struct {
	service string
	event   duty.Event
}

// eventQueue is how many outcomes may wait: more than actions run at a time.
const eventQueue = 256

// runDuty supervises the services until ctx ends.
func (c *Controller) runDuty(ctx context.Context) error {
	if c.parts.Promoter == nil {
		return nil
	}
	s := &supervision{c: c, log: c.parts.Log, events: make(chan dutyEvent, eventQueue)}
	defer s.wg.Wait()
	t := time.NewTicker(dutyInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-s.events:
			if sup := s.services[e.service]; sup != nil && c.current() {
				s.act(ctx, e.service, sup.Step(e.event, c.parts.Now()))
			}
		case <-t.C:
			s.gauge(c.parts.Now())
			s.look(ctx)
		}
	}
}

// current reports whether this instance leads and has heard from a majority.
func (c *Controller) current() bool {
	st := c.node.Status()
	return c.leads() && st.Current
}

// look shows each supervisor the present state. A leader that loses its majority
// forgets everything.
func (s *supervision) look(ctx context.Context) {
	doc := s.c.document()
	if doc == nil || !s.c.current() {
		s.services = nil
		return
	}
	now := s.c.parts.Now()
	if s.services == nil {
		s.services = make(map[string]*duty.Supervisor)
	}
	reports := s.c.observers()
	for name, cfg := range doc.Services {
		sup := s.services[name]
		if sup == nil {
			sup = duty.New(now)
			s.services[name] = sup
		}
		look := duty.View{Instances: probing(reports, name), SyncReplicas: cfg.SyncReplicas}
		for _, e := range s.c.roster.Members(name) {
			look.Members = append(look.Members, duty.Member{
				ID: e.ID, Primary: e.Primary, Draining: e.State == roster.Draining, FailingInstances: failing(reports, name, e.ID),
			})
		}
		s.act(ctx, name, sup.Step(look, now))
	}
}

// probing counts the instances that probe the members of a service.
func probing(reports map[string]entryReport, service string) int {
	n := 0
	for _, r := range reports {
		if slices.Contains(r.probed, service) {
			n++
		}
	}
	return n
}

// failing counts the entries that have had no answer from a member.
func failing(reports map[string]entryReport, service, id string) int {
	n := 0
	for _, r := range reports {
		for _, t := range r.troubles {
			if t.Service == service && t.ID == id && t.For >= duty.FailureThreshold {
				n++
			}
		}
	}
	return n
}

func (s *supervision) act(ctx context.Context, service string, actions []duty.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case duty.Note:
			s.log.Warn().Str("service", service).Str("member", a.Member).Msg(a.Text)
		case duty.AskStatus:
			s.run(service, func() duty.Event { return s.status(ctx, service, a.ID) })
		case duty.StepDown:
			s.run(service, func() duty.Event { return s.stepDown(ctx, service, a) })
		case duty.IssueToken:
			s.run(service, func() duty.Event { return s.issue(ctx, service, a.Target) })
		case duty.Promote:
			s.run(service, func() duty.Event { return s.promote(ctx, service, a) })
		}
	}
}

// run carries out an action and hands its outcome to the supervisor.
func (s *supervision) run(service string, f func() duty.Event) {
	s.wg.Go(func() {
		select {
		case s.events <- dutyEvent{service: service, event: f()}:
		case <-s.c.ctx.Done():
		}
	})
}

func (s *supervision) status(ctx context.Context, service, id string) duty.Event {
	ctx, stop := context.WithTimeout(ctx, memberLimit)
	defer stop()
	st, err := s.c.parts.Members.Status(ctx, s.target(service, id))
	return statusEvent(id, st, err)
}

// target names the server that the roster lists under id now.
func (s *supervision) target(service, id string) proxy.Target {
	for _, e := range s.c.roster.Members(service) {
		if e.ID == id {
			return proxy.Target{Addr: e.Addr, Service: service, ID: id}
		}
	}
	return proxy.Target{Service: service, ID: id}
}

func (s *supervision) stepDown(ctx context.Context, service string, a duty.StepDown) duty.Event {
	ctx, stop := context.WithTimeout(ctx, memberLimit)
	defer stop()
	st, err := s.c.parts.Members.StepDown(ctx, s.target(service, a.ID), a.Term)
	return statusEvent(a.ID, st, err)
}

func statusEvent(id string, st proxy.MemberStatus, err error) duty.Event {
	var f *proxy.Fault
	busy := errors.As(err, &f) && f.Code == proxy.Busy
	return duty.Status{ID: id, Busy: busy, Primary: st.Primary, Term: st.Term, Received: st.Received, Err: err}
}

// issue takes a token from the log. Only the leader that committed it uses it.
func (s *supervision) issue(ctx context.Context, service, target string) duty.Event {
	ctx, stop := context.WithTimeout(ctx, issueLimit)
	defer stop()
	out := duty.TokenResult{Target: target}
	cmd, err := ledger.Encode(ledger.OrderPromotion{Service: service, Target: target})
	if err != nil {
		out.Err = err
		return out
	}
	result, err := s.c.node.ProposeData(ctx, cmd)
	if err != nil {
		out.Err = err
		return out
	}
	ordered, ok := result.(ledger.PromotionResult)
	if !ok {
		out.Err = eris.Errorf("order ended with %v", result)
		return out
	}
	out.Token = ordered.Token
	return out
}

func (s *supervision) promote(ctx context.Context, service string, a duty.Promote) duty.Event {
	ctx, stop := context.WithTimeout(ctx, promoteLimit)
	defer stop()
	err := s.c.parts.Promoter.Promote(ctx, PromoteCall{
		Service: service, Target: a.Target, Holder: s.c.settings.Name, Token: a.Token,
	})
	s.log.Warn().Err(err).Str("service", service).Str("member", a.Target).Uint64("token", a.Token).Msg("promotion ordered")
	return duty.PromoteResult{Target: a.Target, Token: a.Token, Outdated: errors.Is(err, ErrOutdated), Err: err}
}
