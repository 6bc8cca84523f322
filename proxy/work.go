package proxy

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"os"
	"slices"
	"time"

	"tamarackcross/config"
	"tamarackcross/errs"
	"tamarackcross/route"
)

const (
	// patiencePart is the part of the latency objective for which a request that
	// nobody can serve now is kept before it is refused.
	patiencePart = 4
	// retryPause is between attempts at a backend server that is busy: about the
	// duration of a short statement.
	retryPause = 15 * time.Millisecond
	// comeBack is what a refused caller is told: about the length of a promotion.
	comeBack = time.Second
	// firstAttemptPart of the time limit goes to the first attempt of a read, so
	// that a lost answer leaves time for another member.
	firstAttemptPart = 0.55
)

// work is one read, write or commit on its way through the pipeline.
type work struct {
	session  *session
	req      Request
	writes   bool
	prepared string // name of the shape as the caller knows it
	arrived  time.Time
	route    config.Route
	svc      *service
	tries    int
	shed     bool // the last attempt was refused by the admission of this instance
	waits    bool // the last attempt may wait at its member for replication
}

func (w *work) now() time.Time { return w.session.srv.now() }

// end is when the statement must have ended.
func (w *work) end() time.Time { return w.arrived.Add(w.route.Timeout) }

// patience is until when a request waits while nobody can serve it.
func (w *work) patience() time.Time {
	return w.arrived.Add(min(w.route.Goal/patiencePart, w.route.Timeout))
}

// latest is until when a request may wait for a connection.
func (w *work) latest() time.Time { return w.arrived.Add(min(w.route.Goal, w.route.Timeout)) }

// ask tells the queue of a backend server of the request.
func (w *work) ask(expected time.Duration) ask {
	return ask{caller: w.session.user, priority: w.priority(), latest: w.latest(), expected: expected}
}

// priority orders the request among those that wait for a backend server: by the
// priority of its route, and statements of transactions under way before others,
// since they hold a connection and locks.
func (w *work) priority() int {
	if tx := w.session.tx; tx != nil && tx.conn != nil {
		return 2 * w.route.Priority
	}
	return 2*w.route.Priority + 1
}

// pause waits d, or until ctx ends. It reports whether there is time left.
func (w *work) pause(ctx context.Context, d time.Duration, until time.Time) bool {
	if w.now().Add(d).After(until) {
		return false
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// shapeName is the name of a shape on connections to backend servers. It is the
// same for all sessions, so that they share prepared statements.
func shapeName(s Shape) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s.Text))
	kind := "r"
	if s.Writes {
		kind = "w"
	}
	return fmt.Sprintf("%s%x", kind, h.Sum64())
}

// prelude returns the commands that bring the state of a connection in line with
// the session, and records their effect.
func (w *work) prelude(c *backendConn) []Command {
	var cmds []Command
	clear := c.dirty
	for name := range c.values {
		if _, ok := w.session.values[name]; !ok {
			clear = true
		}
	}
	name, shape := "", Shape{}
	if w.prepared != "" {
		shape = w.session.shapes[w.prepared]
		name = shapeName(shape)
		if old, ok := c.prepared[name]; ok && old != shape {
			clear = true
		}
	}
	if clear {
		cmds = append(cmds, Reset{})
		c.values, c.prepared, c.dirty = map[string]string{}, map[string]Shape{}, false
	}
	for k, v := range w.session.values {
		if old, ok := c.values[k]; !ok || old != v {
			cmds = append(cmds, SetValue{Name: k, Value: v})
			c.values[k] = v
		}
	}
	if name != "" {
		if _, ok := c.prepared[name]; !ok {
			cmds = append(cmds, PrepareShape{Name: name, Shape: shape})
			c.prepared[name] = shape
		}
	}
	return cmds
}

var errPrelude = errors.New("the session state could not be set up")

// prepare brings a connection in line before a statement that cannot be taken
// back.
func (w *work) prepare(c *backendConn) error {
	cmds := w.prelude(c)
	if len(cmds) == 0 {
		return nil
	}
	answers, err := c.exec(w.end().Sub(w.now()), cmds...)
	if err != nil {
		return err
	}
	for _, a := range answers {
		if a.Fault != nil {
			return errPrelude
		}
	}
	return nil
}

// command passes on the statement of the caller.
func (w *work) command(n need) Command {
	if st, ok := w.req.Statement.(Execute); ok {
		return RunPrepared{ID: w.req.ID, Name: shapeName(w.session.shapes[w.prepared]), Args: st.Args, After: n.position}
	}
	return Run{ID: w.req.ID, Text: w.req.Text, After: n.position}
}

// need returns what a read needs, and whether that is known without asking the
// primary.
func (w *work) need() need {
	switch w.route.Freshness {
	case config.Bounded:
		return w.svc.needFor(w.arrived.Add(-w.route.MaxAge), timedPosition{})
	case config.Session:
		return w.svc.needFor(w.arrived.Add(-w.route.MaxAge), w.session.own[w.route.Service])
	default:
		return need{}
	}
}

// placement is where a read goes and what it needs there.
type placement struct {
	member *member
	need   need
}

// query describes the request for the choice of a member.
func (w *work) query(now time.Time, exclude []string) route.Query {
	return route.Query{
		Zone: w.session.srv.zone, Deadline: w.end(), Waited: now.Sub(w.arrived), Exclude: exclude,
		Expected: w.svc.expected(w.session.database), Priority: w.priority(),
	}
}

// choose finds a member for a read, waiting for one as long as that pays.
func (w *work) choose(ctx context.Context, exclude []string) (placement, *Fault) {
	for {
		now := w.now()
		n := w.need()
		if w.route.Freshness == config.Latest {
			return w.confirm(ctx, now)
		}
		switch choice := w.svc.pick(w.query(now, exclude), n, now).(type) {
		case route.Use:
			if choice.Confirm {
				return w.confirm(ctx, now)
			}
			if m := w.svc.member(choice.Name); m != nil {
				return placement{member: m, need: n}, nil
			}
		case route.Wait:
			if w.pause(ctx, max(choice.Until.Sub(now), time.Millisecond), w.latest()) {
				continue
			}
			return placement{}, w.refused(errs.ReasonDeadline)
		case route.Reject:
			if !n.known || len(exclude) > 0 {
				return w.confirm(ctx, now)
			}
			if !w.pause(ctx, retryPause, w.patience()) {
				return placement{}, w.refused(choice.Reason)
			}
		}
	}
}

// confirm asks for a proof that begins now. The member that gives it holds every
// commit acknowledged before.
func (w *work) confirm(ctx context.Context, now time.Time) (placement, *Fault) {
	limit := w.patience()
	if limit.Before(now.Add(probePause)) {
		limit = now.Add(probePause)
	}
	p := w.svc.await(ctx, now, limit)
	if p.member == nil {
		return placement{}, w.refused(errs.ReasonNoPrimary)
	}
	return placement{member: p.member, need: need{timedPosition: timedPosition{at: p.at}, known: true}}, nil
}

// read runs a read outside a transaction. A read may run more than once.
func (w *work) read(ctx context.Context) Answer {
	var exclude []string
	for {
		p, f := w.choose(ctx, exclude)
		if f != nil {
			return w.session.refuse(f)
		}
		a, reason := w.readAt(ctx, p)
		if reason == "" {
			return a
		}
		if w.shed && (w.route.Freshness == config.Latest || slices.Contains(exclude, p.member.target.ID)) {
			return w.session.refuse(w.refused(reason))
		}
		w.retry(reason, p.member)
		exclude = append(exclude, p.member.target.ID)
		if w.route.Freshness == config.Latest || len(exclude) > 2 {
			exclude = nil
			if !w.pause(ctx, retryPause, w.latest()) {
				return w.session.refuse(w.refused(reason))
			}
		}
		if !w.now().Before(w.end()) {
			return w.session.refuse(fault(Timeout, "no answer within the time limit"))
		}
	}
}

// readAt runs a read at one member. A reason means that it may be tried again.
func (w *work) readAt(ctx context.Context, p placement) (Answer, errs.Reason) {
	w.routed(p)
	w.shed = false
	c, err := p.member.borrow(ctx, w.ask(0))
	if err != nil {
		return Answer{}, w.failedBorrow(p.member, err)
	}
	w.waits = w.mayWait(p)
	cmds := append(w.prelude(c), w.command(p.need))
	limit := w.end().Sub(w.now())
	if w.tries == 0 {
		limit = time.Duration(float64(limit) * firstAttemptPart)
	}
	answers, err := c.execute(ctx, w, limit, cmds...)
	if e := errs.As(err); e != nil {
		w.shed = true
		c.dirty = true // the prelude was not sent
		p.member.put(c, true)
		return Answer{}, e.Reason()
	}
	if err != nil {
		p.member.put(c, false)
		if !p.need.position.IsZero() && isTimeout(err) {
			p.member.lacked(p.need.at) // a replica waits until it has the position
			return Answer{}, errs.ReasonBoundUnknown
		}
		w.svc.judge(p.member, false)
		return Answer{}, errs.ReasonBackendLost
	}
	w.svc.judge(p.member, true)
	a := answers[len(answers)-1]
	for _, before := range answers[:len(answers)-1] {
		if before.Fault != nil {
			p.member.put(c, false)
			return Answer{}, errs.ReasonBackendLost
		}
	}
	p.member.put(c, a.Status == Idle)
	if a.Fault == nil {
		w.served(p.member)
		return Answer{Rows: a.Rows, Signature: a.Signature, Position: a.Position, Status: Idle}, ""
	}
	return w.readFault(p, a)
}

// mayWait reports whether the member may hold the read back until it has applied the
// position that the read needs. Such a wait says nothing about its queue.
func (w *work) mayWait(p placement) bool {
	return !p.need.position.IsZero() && w.now().Sub(p.need.at) < 2*p.member.estimatedLag()
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

func (w *work) readFault(p placement, a Answer) (Answer, errs.Reason) {
	switch a.Fault.Code {
	case Lagging:
		p.member.lacked(p.need.at)
		return Answer{}, errs.ReasonBoundUnknown
	case Busy:
		return Answer{}, errs.ReasonQueueFull
	case ReadOnly:
		return Answer{}, errs.ReasonStalePrimary
	case Moved, NoStatement, TooManyConns:
		return Answer{}, errs.ReasonConnect
	case ExecFailed:
		if w.tries == 0 {
			return Answer{}, errs.ReasonBackendLost
		}
	}
	w.failed(a.Fault)
	return w.session.refuse(a.Fault), ""
}

// failedBorrow records why no connection was borrowed.
func (w *work) failedBorrow(m *member, err error) errs.Reason {
	if e := errs.As(err); e != nil && e.Reason() != errs.ReasonConnect {
		w.shed = true
		return e.Reason()
	}
	var f *Fault
	if !errors.As(err, &f) || f.Code != Busy {
		w.svc.judge(m, false)
	}
	return errs.ReasonConnect
}

// primary returns the member that proved to be the primary, waiting for one.
func (w *work) primary(ctx context.Context) (*member, *Fault) {
	if m := w.svc.primaryMember(); m != nil && m.failingFor(w.now()) == 0 {
		return m, nil
	}
	p, f := w.confirm(ctx, w.now())
	return p.member, f
}

// write runs a write outside a transaction. It is sent again only after a proof
// that it has not run.
func (w *work) write(ctx context.Context) Answer {
	for {
		m, f := w.primary(ctx)
		if f != nil {
			return w.session.refuse(f)
		}
		a, reason := w.writeAt(ctx, m)
		if reason == "" {
			return a
		}
		if w.shed {
			return w.session.refuse(w.refused(reason))
		}
		w.retry(reason, m)
		if !w.pause(ctx, retryPause, w.latest()) {
			return w.session.refuse(w.refused(reason))
		}
	}
}

func (w *work) writeAt(ctx context.Context, m *member) (Answer, errs.Reason) {
	w.routed(placement{member: m})
	w.shed = false
	c, err := m.borrow(ctx, w.ask(0))
	if err != nil {
		return Answer{}, w.failedBorrow(m, err)
	}
	if err := w.prepare(c); err != nil {
		m.put(c, false)
		return Answer{}, errs.ReasonBackendLost
	}
	answers, err := c.execute(ctx, w, w.end().Sub(w.now()), w.command(need{}))
	if e := errs.As(err); e != nil {
		w.shed = true
		m.put(c, true)
		return Answer{}, e.Reason()
	}
	if errors.Is(err, ErrNotSent) {
		m.put(c, false)
		return Answer{}, errs.ReasonBackendLost
	}
	if err != nil {
		m.put(c, false)
		w.svc.judge(m, false)
		return w.session.refuse(w.doubt(m, err)), ""
	}
	w.svc.judge(m, true)
	a := answers[0]
	m.put(c, a.Status == Idle)
	if a.Fault == nil {
		w.session.committed(w.route.Service, timedPosition{at: w.now(), position: a.Position})
		w.served(m)
		a.Status = Idle
		return a, ""
	}
	switch {
	case a.Fault.Code == ReadOnly:
		w.svc.deposed(m.target.ID)
		return Answer{}, errs.ReasonStalePrimary
	case a.Fault.Code.notRun():
		return Answer{}, errs.ReasonQueueFull
	}
	w.failed(a.Fault)
	return w.session.refuse(a.Fault), ""
}

// judge reports the outcome of an attempt to the circuit breakers.
func (v *service) judge(m *member, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if ok {
		v.breakers.Succeeded(m.target.ID, v.srv.now())
		return
	}
	v.breakers.Failed(m.target.ID, v.srv.now())
}
