package proxy

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"tamarackcross/config"
	"tamarackcross/errs"
	"tamarackcross/event"
	"tamarackcross/group"
	"tamarackcross/route"
)

// Where backend servers accept too few connections for all instances, some
// instances of each zone hold the connections of a service. The others pass on the
// reads and writes of their callers, one unit of work (a statement or a
// transaction) at a time, and keep the session: values, prepared names, its newest
// commit.

// Delegated is what a holder needs to know of the session and the route of a
// request that another instance passes on.
type Delegated struct {
	Fresh    bool // begins a unit of work; what is left of the last is rolled back
	Begin    *Begin
	Database string
	User     string
	Route    config.Route
	Values   map[string]string
	Prepared string
	Shape    Shape // of Prepared
	Own      group.Position
	OwnAge   time.Duration // time since Own was acknowledged
	Elapsed  time.Duration // time since the request arrived
	Request  Request
}

// Link is a connection to a holder. It carries one unit of work at a time.
type Link interface {
	// Exchange passes on a request and returns its answer. After an error the link
	// is of no use. ErrNotTaken proves that the request has not been looked at.
	Exchange(d Delegated, limit time.Duration) (Answer, error)
	// Alive reports whether the link is open as far as is known here.
	Alive() bool
	Close() error
}

// ErrNotTaken proves that a holder has not looked at a request.
var ErrNotTaken = eris.New("the instance did not take the request")

// HandleDelegated serves requests that another instance passes on through c.
func (s *Server) HandleDelegated(c Caller) {
	defer c.Close()
	x := newSession(s, c, "", "")
	if !s.add(x) {
		return
	}
	defer s.remove(x)
	x.serve(s.ctx)
}

// take brings the session in line with the one that a request belongs to.
func (s *session) take(d *Delegated) *Fault {
	if d.Fresh {
		if s.tx != nil {
			s.abort()
		}
		s.failed = false
	}
	doc := s.srv.doc.Load()
	if doc == nil {
		return fault(Busy, "no configuration yet, come back in 500 ms")
	}
	if _, ok := doc.Services[d.Route.Service]; !ok {
		return fault(Busy, "the service is not known yet, come back in 500 ms")
	}
	now := s.srv.now()
	s.srv.service(d.Route.Service).adopt(now)
	s.database, s.user, s.delegated = d.Database, d.User, &d.Route
	s.elapsed = d.Elapsed
	if s.tx != nil && !maps.Equal(s.values, d.Values) {
		s.tx.set = true
	}
	s.values = d.Values
	s.shapes = map[string]Shape{}
	if d.Prepared != "" {
		s.shapes[d.Prepared] = d.Shape
	}
	s.own = map[string]timedPosition{}
	if !d.Own.IsZero() {
		s.own[d.Route.Service] = timedPosition{at: now.Add(-d.OwnAge), position: d.Own}
	}
	if d.Begin != nil {
		s.begin(*d.Begin)
	}
	return nil
}

const (
	// answerMargin is how much longer than the holder an instance waits, so that a
	// refusal by the holder still arrives: a round trip and a wait for the processor.
	answerMargin = 100 * time.Millisecond
	// firstHolderPart of the time limit goes to the first holder of a read.
	firstHolderPart = 0.75
)

// delegated renders the request for a holder.
func (w *work) delegated() Delegated {
	now, own := w.now(), w.session.own[w.route.Service]
	d := Delegated{
		Database: w.session.database, User: w.session.user, Route: w.route, Values: w.session.values,
		Own: own.position, Elapsed: now.Sub(w.arrived), Request: w.req,
	}
	if !own.position.IsZero() {
		d.OwnAge = now.Sub(own.at)
	}
	if w.prepared != "" {
		d.Prepared, d.Shape = w.prepared, w.session.shapes[w.prepared]
	}
	return d
}

// delegate passes on a statement outside a transaction. It reports false if no
// holder could be reached, so that the instance has to serve the request.
func (w *work) delegate(ctx context.Context) (Answer, bool) {
	var tried []string
	for {
		h := w.svc.holder(ctx, tried)
		if h == nil {
			return Answer{}, false
		}
		d := w.delegated()
		d.Fresh = true
		a, err := w.exchange(h, d, !w.writes)
		if err == nil {
			h.put()
			return w.relayed(h, a), true
		}
		h.drop()
		if w.writes && !errors.Is(err, ErrNotTaken) {
			return w.session.refuse(w.doubtAt(h, err)), true
		}
		w.retryHolder(h, err)
		tried = append(tried, h.peer.Name)
		if !w.now().Before(w.latest()) {
			return w.session.refuse(w.refused(errs.ReasonDeadline)), true
		}
	}
}

// readNear runs a read at a backend server of the own zone, on a connection that this
// instance keeps. It reports false if the read has to be passed on.
func (w *work) readNear(ctx context.Context) (Answer, bool) {
	now, n := w.now(), w.need()
	if w.route.Freshness == config.Latest || !n.known {
		return Answer{}, false
	}
	use, ok := w.svc.pick(w.query(now, nil), n, now).(route.Use)
	if !ok || use.Confirm {
		return Answer{}, false
	}
	m := w.svc.member(use.Name)
	if m == nil || !m.near(w.session.srv.zone) {
		return Answer{}, false
	}
	a, reason := w.readAt(ctx, placement{member: m, need: n})
	if reason != "" {
		w.retry(reason, m)
	}
	return a, reason == ""
}

// exchange sends a request to a holder. An abortable one ends as soon as the
// holder is found not to answer.
func (w *work) exchange(h *delegation, d Delegated, abortable bool) (Answer, error) {
	limit := w.end().Sub(w.now()) + answerMargin
	if abortable && w.tries == 0 {
		limit = time.Duration(firstHolderPart * float64(limit))
	}
	if w.sampled() {
		w.line(zerolog.InfoLevel).Str(event.Holder, h.peer.Name).Msg("passed on")
	}
	w.svc.passedOn()
	a, err := h.exchange(d, limit, abortable)
	if err == nil {
		w.svc.answered(a.Unproved)
	}
	return a, err
}

// rollbackAt rolls back the transaction at a holder and reports whether it is known
// to be over.
func (s *session) rollbackAt(h *delegation) bool {
	_, err := h.exchange(Delegated{Route: s.tx.route, Request: Request{Statement: Rollback{}}}, rollbackLimit, true)
	return err == nil
}

// relayed takes in the answer of a holder to a statement outside a transaction, or
// to a commit.
func (w *work) relayed(h *delegation, a Answer) Answer {
	if a.Fault != nil {
		w.failed(a.Fault)
		return w.session.refuse(a.Fault)
	}
	if w.writes {
		w.session.committed(w.route.Service, timedPosition{at: w.now(), position: a.Position})
	}
	w.servedAt(h)
	a.Status = w.session.status()
	return a
}

// delegateTx passes on a statement or the commit of the open transaction. With its
// first one it chooses a holder; false means that none could be reached.
func (w *work) delegateTx(ctx context.Context, commit bool) (Answer, bool) {
	tx := w.session.tx
	if tx.held != nil {
		a, err := w.exchange(tx.held, w.delegated(), !commit || !tx.wrote)
		return w.settleTx(a, err, commit), true
	}
	var tried []string
	for {
		h := w.svc.holder(ctx, tried)
		if h == nil {
			return Answer{}, false
		}
		d := w.delegated()
		d.Fresh, d.Begin = true, &Begin{ReadOnly: tx.readOnly}
		a, err := w.exchange(h, d, true)
		if err == nil {
			tx.held = h
			return w.settleTx(a, nil, commit), true
		}
		h.drop() // which rolls back what may have run
		w.retryHolder(h, err)
		tried = append(tried, h.peer.Name)
		if !w.now().Before(w.latest()) {
			return w.session.fail(w.refused(errs.ReasonDeadline)), true
		}
	}
}

// settleTx takes in the answer of the holder of the open transaction.
func (w *work) settleTx(a Answer, err error, commit bool) Answer {
	tx, h := w.session.tx, w.session.tx.held
	if err != nil {
		f := fault(Aborted, "the instance that held the transaction was lost")
		if commit && tx.wrote && !errors.Is(err, ErrNotTaken) {
			f = w.doubtAt(h, err)
		} else {
			w.line(zerolog.InfoLevel).Str(event.Holder, h.peer.Name).Err(err).
				Str(event.Outcome, event.NotRun).Msg("transaction lost its connection")
		}
		w.session.dropTx(false)
		w.session.failed = !commit
		return w.session.refuse(f)
	}
	if a.Fault != nil || commit {
		w.session.dropTx(true) // the holder has ended it
		w.writes = commit && tx.wrote
		w.session.failed = !commit
		return w.relayed(h, a)
	}
	tx.wrote = tx.wrote || w.writes
	w.servedAt(h)
	a.Status = InTx
	return a
}

// servedAt tells that a holder answered the request.
func (w *work) servedAt(h *delegation) {
	w.session.srv.stats.Observe("request", w.now().Sub(w.arrived))
	if w.sampled() {
		w.line(zerolog.InfoLevel).Str(event.Holder, h.peer.Name).Str(event.Outcome, event.Done).Msg("settled")
	}
}

// retryHolder counts another attempt after a holder was lost.
func (w *work) retryHolder(h *delegation, err error) {
	w.session.srv.stats.Retried(errs.ReasonInstanceLost)
	w.line(zerolog.InfoLevel).Str(event.Holder, h.peer.Name).Err(err).
		Str(event.Reason, string(errs.ReasonInstanceLost)).Msg("retried")
	w.tries++
}

// doubtAt ends a request whose outcome a lost holder may know.
func (w *work) doubtAt(h *delegation, err error) *Fault {
	w.session.srv.stats.Refused(errs.ReasonInstanceLost)
	w.line(zerolog.WarnLevel).Str(event.Holder, h.peer.Name).Err(err).
		Str(event.Code, InDoubt.String()).Str(event.Outcome, event.InDoubt).Msg("settled")
	return fault(InDoubt, "the answer of the instance that runs the request was lost")
}
