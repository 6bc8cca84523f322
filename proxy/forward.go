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

// Where backend servers accept too few connections for all instances, some instances of
// each zone hold the connections of a service. The others forward the requests of their
// callers to these holders, one unit of work (a statement or a transaction) at a time.
// The session stays at the instance of the caller: its values, prepared statements and
// last commit.

// Forwarded is a request that an instance forwards to a holder, with the session state
// and the route that the holder needs to run it.
type Forwarded struct {
	NewUnit           bool // starts a new unit of work; what is left of the previous one is rolled back
	Begin             *Begin
	Database          string
	Customer          string  // in whose name the request runs; empty if callers need no key
	Weight            float64 // of the customer in queues
	CustomerPriority  int
	Caller            string // distinguishes callers if there is no customer
	Route             config.Route
	Values            map[string]string
	PreparedName      string
	PreparedStatement PreparedStatement // prepared statement of that name
	LastCommit        group.Position    // position of the last commit of the session
	LastCommitAge     time.Duration     // time since that commit was acknowledged
	Elapsed           time.Duration     // time since the request arrived at the instance of its caller
	TokenAge          time.Duration     // of the token of a new unit of work; negative if there is none
	Request           Request
}

// Link is a connection to a holder. It carries one unit of work at a time.
type Link interface {
	// Exchange sends a request and returns its answer. After an error the link must be
	// closed. ErrNotProcessed means that the holder has not processed the request.
	Exchange(d Forwarded, limit time.Duration) (Answer, error)
	// Alive reports whether the link is open, as far as can be told without sending.
	Alive() bool
	Close() error
}

// ErrNotProcessed means that a holder has not processed a request, so that it is safe to
// send it to another one.
var ErrNotProcessed = eris.New("the holder did not process the request")

// HandleForwarded serves the requests that another instance forwards through c.
func (s *Server) HandleForwarded(c Caller) {
	defer c.Close()
	x := newSession(s, c, "", identity{})
	if !s.addSession(x) {
		return
	}
	defer s.removeSession(x)
	x.serve(s.ctx)
}

// applyForwarded gives the session the state of the session that a forwarded request
// belongs to.
func (s *session) applyForwarded(d *Forwarded) *Fault {
	if d.NewUnit {
		if s.tx != nil {
			s.abort()
		}
		s.failed = false
		s.token = tokenOfAge(d.TokenAge, s.srv.now())
	}
	doc := s.srv.doc.Load()
	if doc == nil {
		return fault(Busy, "no configuration yet, come back in 500 ms")
	}
	if _, ok := doc.Services[d.Route.Service]; !ok {
		return fault(Busy, "the service is not known yet, come back in 500 ms")
	}
	now := s.srv.now()
	s.srv.service(d.Route.Service).actAsHolder(now)
	s.customer, s.weight, s.customerPriority = d.Customer, d.Weight, d.CustomerPriority
	s.database, s.identity.caller, s.forwardedRoute = d.Database, d.Caller, &d.Route
	s.forwardedElapsed = d.Elapsed
	if s.tx != nil && !maps.Equal(s.values, d.Values) {
		s.tx.valuesChanged = true
	}
	s.values = d.Values
	s.prepared = map[string]PreparedStatement{}
	if d.PreparedName != "" {
		s.prepared[d.PreparedName] = d.PreparedStatement
	}
	s.lastCommits = map[string]timedPosition{}
	if !d.LastCommit.IsZero() {
		s.lastCommits[d.Route.Service] = timedPosition{at: now.Add(-d.LastCommitAge), position: d.LastCommit}
	}
	if d.Begin != nil {
		s.begin(*d.Begin)
	}
	return nil
}

const (
	// holderAnswerMargin is how much longer than the holder an instance waits, so
	// that a rejection by the holder still arrives: a round trip and a scheduling
	// delay.
	holderAnswerMargin = 100 * time.Millisecond
	// firstHolderFraction of the time limit is given to the first holder of a read,
	// so that another one can still answer.
	firstHolderFraction = 0.75
)

// forwardedRequest returns the request with the session state for a holder.
func (w *operation) forwardedRequest() Forwarded {
	now, lastCommit := w.now(), w.session.lastCommits[w.route.Service]
	d := Forwarded{
		Database: w.session.database, Customer: w.session.customer, Weight: w.session.flowWeight(), CustomerPriority: w.session.customerPriority, Caller: w.session.identity.caller, Route: w.route, Values: w.session.values,
		LastCommit: lastCommit.position, Elapsed: now.Sub(w.arrived), TokenAge: w.session.token.age(now), Request: w.req,
	}
	if !lastCommit.position.IsZero() {
		d.LastCommitAge = now.Sub(lastCommit.at)
	}
	if w.preparedName != "" {
		d.PreparedName, d.PreparedStatement = w.preparedName, w.session.prepared[w.preparedName]
	}
	return d
}

// forward sends a statement outside a transaction to a holder. It returns false if no
// holder could be reached: then the instance has to run the statement itself.
func (w *operation) forward(ctx context.Context) (Answer, bool) {
	var tried []string
	to := w.destination()
	for {
		h := w.svc.borrowHolderLink(ctx, to, tried)
		if h == nil {
			return Answer{}, false
		}
		if err := w.requireToken(ctx); err != nil {
			h.put()
			return w.session.refuse(w.reject(errs.ReasonCap)), true
		}
		d := w.forwardedRequest()
		d.NewUnit = true
		a, err := w.exchangeWithHolder(h, d, !w.writes)
		if err == nil {
			h.put()
			return w.forwardedAnswer(h, a), true
		}
		w.session.token.spent = !errors.Is(err, ErrNotProcessed)
		h.discard()
		if w.writes && !errors.Is(err, ErrNotProcessed) {
			return w.session.refuse(w.inDoubtAtHolder(h, err)), true
		}
		w.recordHolderRetry(h, err)
		tried = append(tried, h.peer.Name)
		if w.session.caller.Gone() || ctx.Err() != nil || !w.now().Before(w.admitBy()) {
			return w.session.refuse(w.reject(errs.ReasonDeadline)), true
		}
	}
}

// readLocally runs a read at a backend server of the own zone, on a connection that
// this instance keeps. It returns false if the read has to be forwarded.
func (w *operation) readLocally(ctx context.Context) (Answer, bool) {
	now, bound := w.now(), w.readBound()
	if w.route.Freshness == config.Latest || !bound.known {
		return Answer{}, false
	}
	use, ok := w.svc.pickMember(w.routeQuery(now, nil), bound, w.session.customer, now).(route.Use)
	if !ok || use.Confirm {
		return Answer{}, false
	}
	m := w.svc.member(use.Name)
	if m == nil || !m.canServeLocally(w.session.srv.zone) {
		return Answer{}, false
	}
	a, reason := w.readAt(ctx, placement{member: m, bound: bound})
	if reason != "" {
		w.recordRetry(reason, m)
	}
	return a, reason == ""
}

// exchangeWithHolder sends a request to a holder and waits for the answer. The wait for
// an abortable request ends when the holder fails a ping.
func (w *operation) exchangeWithHolder(h *borrowedLink, d Forwarded, abortable bool) (Answer, error) {
	limit := w.deadline().Sub(w.now()) + holderAnswerMargin
	if abortable && w.attempts == 0 {
		limit = time.Duration(firstHolderFraction * float64(limit))
	}
	if w.logSampled() {
		w.logEvent(zerolog.InfoLevel).Str(event.Holder, h.peer.Name).Msg("passed on")
	}
	w.svc.recordForwardSent()
	sent := w.now()
	a, err := h.exchange(d, limit, abortable, w.session.caller.Gone)
	if err == nil && a.Proof != nil {
		w.svc.recordHolderProof(*a.Proof, sent)
	}
	if err == nil && d.Customer != "" {
		w.svc.recordHolderHint(h.peer, d.Customer, a.Hint)
	}
	return a, err
}

// rollbackAtHolder rolls back the transaction at a holder and reports whether the
// holder confirmed it.
func (s *session) rollbackAtHolder(h *borrowedLink) bool {
	_, err := h.exchange(Forwarded{Route: s.tx.route, Request: Request{Statement: Rollback{}}}, rollbackTimeout, true, func() bool { return false })
	return err == nil
}

// forwardedAnswer records the answer of a holder to a commit or to a statement
// outside a transaction, and returns the answer for the caller.
func (w *operation) forwardedAnswer(h *borrowedLink, a Answer) Answer {
	if a.Fault != nil {
		w.logFailed(a.Fault)
		return w.session.refuse(a.Fault)
	}
	if w.writes {
		w.session.recordCommit(w.route.Service, timedPosition{at: w.now(), position: a.Position})
	}
	w.recordServedByHolder(h)
	a.Status = w.session.status()
	return a
}

// forwardTx forwards a statement or the commit of the open transaction. The first of
// them chooses the holder. It returns false if no holder could be reached.
func (w *operation) forwardTx(ctx context.Context, commit bool) (Answer, bool) {
	tx := w.session.tx
	if tx.holderLink != nil {
		a, err := w.exchangeWithHolder(tx.holderLink, w.forwardedRequest(), !commit || !tx.wrote)
		return w.forwardedTxAnswer(a, err, commit), true
	}
	var tried []string
	to := w.destination()
	for {
		h := w.svc.borrowHolderLink(ctx, to, tried)
		if h == nil {
			return Answer{}, false
		}
		if err := w.requireToken(ctx); err != nil {
			h.put()
			return w.session.fail(w.reject(errs.ReasonCap)), true
		}
		d := w.forwardedRequest()
		d.NewUnit, d.Begin = true, &Begin{ReadOnly: tx.readOnly}
		a, err := w.exchangeWithHolder(h, d, true)
		if err == nil {
			tx.holderLink = h
			return w.forwardedTxAnswer(a, nil, commit), true
		}
		w.session.token.spent = !errors.Is(err, ErrNotProcessed)
		h.discard() // the holder rolls back what may have run
		w.recordHolderRetry(h, err)
		tried = append(tried, h.peer.Name)
		if w.session.caller.Gone() || ctx.Err() != nil || !w.now().Before(w.admitBy()) {
			return w.session.fail(w.reject(errs.ReasonDeadline)), true
		}
	}
}

// forwardedTxAnswer records the answer of the holder of the open transaction, and
// returns the answer for the caller.
func (w *operation) forwardedTxAnswer(a Answer, err error, commit bool) Answer {
	tx, h := w.session.tx, w.session.tx.holderLink
	if err != nil {
		f := fault(Aborted, "the instance that held the transaction was lost")
		if commit && tx.wrote && !errors.Is(err, ErrNotProcessed) {
			f = w.inDoubtAtHolder(h, err)
		} else {
			w.logEvent(zerolog.InfoLevel).Str(event.Holder, h.peer.Name).Err(err).
				Str(event.Outcome, event.OutcomeNotRun).Msg("transaction lost its connection")
		}
		w.session.releaseTx(false)
		w.session.failed = !commit
		return w.session.refuse(f)
	}
	if a.Fault != nil || commit {
		w.session.releaseTx(true) // the holder has ended it
		w.writes = commit && tx.wrote
		w.session.failed = !commit
		return w.forwardedAnswer(h, a)
	}
	tx.wrote = tx.wrote || w.writes
	w.recordServedByHolder(h)
	a.Status = InTx
	return a
}

// recordServedByHolder records that a holder answered the request.
func (w *operation) recordServedByHolder(h *borrowedLink) {
	w.session.srv.stats.Observe("request", w.now().Sub(w.arrived))
	if w.logSampled() {
		w.logEvent(zerolog.InfoLevel).Str(event.Holder, h.peer.Name).Str(event.Outcome, event.OutcomeDone).Msg("settled")
	}
}

// recordHolderRetry records that a request is tried again because a holder was lost.
func (w *operation) recordHolderRetry(h *borrowedLink, err error) {
	w.session.srv.stats.Retried(errs.ReasonInstanceLost)
	if errors.Is(err, ErrNotProcessed) {
		h.recordRefusal()
	}
	w.logEvent(zerolog.InfoLevel).Str(event.Holder, h.peer.Name).Err(err).
		Str(event.Reason, string(errs.ReasonInstanceLost)).Msg("retried")
	w.attempts++
}

// inDoubtAtHolder returns the fault of a request that a holder may have run before
// it was lost.
func (w *operation) inDoubtAtHolder(h *borrowedLink, err error) *Fault {
	w.session.srv.stats.Refused(errs.ReasonInstanceLost)
	w.logEvent(zerolog.WarnLevel).Str(event.Holder, h.peer.Name).Err(err).
		Str(event.Code, InDoubt.String()).Str(event.Outcome, event.OutcomeUnknown).Msg("settled")
	return fault(InDoubt, "the answer of the instance that runs the request was lost")
}
