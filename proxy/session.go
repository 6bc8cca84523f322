package proxy

import (
	"context"
	"errors"
	"sync"
	"time"

	"tamarackcross/config"
	"tamarackcross/event"
)

const (
	// maxPreparedStatements and maxSessionValues bound the memory of one session.
	maxPreparedStatements = 1000
	maxSessionValues      = 200
	// rollbackTimeout bounds the wait for the answer to a rollback. After it the
	// connection is closed, which rolls the transaction back too.
	rollbackTimeout = 300 * time.Millisecond
)

// session is one caller connection. The fields above mu belong to the goroutine that
// serves it.
type session struct {
	srv              *Server
	caller           Caller
	database         string
	identity         identity
	customer         string  // in whose name the current statement or transaction runs; empty if callers need no key
	weight           float64 // of the customer in queues
	customerPriority int
	identifiedBy     *config.Document // by which customer was found
	token            unitToken        // of the current statement or transaction

	values      map[string]string
	prepared    map[string]PreparedStatement
	lastCommits map[string]timedPosition // newest commit of the session, by service
	tx          *transaction
	failed      bool          // the transaction failed and only its end is accepted
	borrowed    *borrowedConn // for the current request, outside a transaction

	forwardedRoute   *config.Route // route of the current request, if another instance forwarded it
	forwardedElapsed time.Duration // from the arrival at that instance until the request came here

	mu          sync.Mutex
	waiting     bool // for the next request
	waitingInTx bool // the wait is inside a transaction
	interrupted bool // the instance is leaving
	late        int  // requests since then
}

// transaction is a transaction that the caller opened. It is opened at a member or a
// holder with its first statement.
type transaction struct {
	readOnly      bool
	route         config.Route
	svc           *service
	conn          *borrowedConn
	holderLink    *borrowedLink // set instead of conn if a holder runs the transaction
	wrote         bool
	valuesChanged bool
	epoch         uint64 // of the lease under which it was opened for writes
}

// unopened reports whether no statement of the transaction has reached a member or a holder.
func (t *transaction) unopened() bool { return t.conn == nil && t.holderLink == nil }

func newSession(s *Server, c Caller, database string, id identity) *session {
	return &session{
		srv: s, caller: c, database: database, identity: id,
		values: make(map[string]string), prepared: make(map[string]PreparedStatement), lastCommits: make(map[string]timedPosition),
	}
}

// serve answers requests until the caller disconnects or the instance stops.
func (s *session) serve(ctx context.Context) {
	defer s.release()
	for ctx.Err() == nil {
		req, err := s.nextRequest()
		if err != nil {
			s.handleReadError(err)
			return
		}
		if s.refusesLate(req) {
			_ = s.caller.Refuse(leavingFault)
			return
		}
		answer, refused := s.refuseIfStopping(req)
		if refused && s.tx == nil && answer.Fault == leavingFault {
			_ = s.caller.Refuse(leavingFault)
			return
		}
		if !refused {
			answer = s.handle(s.srv.requests, req)
		}
		if req.Forwarded != nil {
			v := s.srv.service(req.Forwarded.Route.Service)
			answer.Proof, answer.Hint = v.newestProof(s.srv.now()), v.holderHint(req.Forwarded.Customer)
		}
		if err := s.caller.Reply(answer); err != nil {
			return
		}
		if answer.Fault != nil && answer.Status == Idle && s.srv.isolated.Load() {
			return
		}
	}
}

// nextRequest waits for a request. A drain may end the wait.
func (s *session) nextRequest() (Request, error) {
	var limit time.Duration
	inTx := s.tx != nil || s.failed
	if doc := s.srv.doc.Load(); inTx && doc != nil {
		limit = doc.IdleTransactionTimeout
	}
	s.mu.Lock()
	s.waiting, s.waitingInTx = true, inTx
	s.mu.Unlock()
	if s.srv.draining.Load() {
		s.interrupt(false)
	}
	req, err := s.caller.Next(limit)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = false
	if s.interrupted {
		s.late++
	}
	return req, err
}

// leavingFault refuses a request on a connection that the instance closes after it.
var leavingFault = fault(Busy, "not run: the instance is leaving, come back in 0 ms")

// maxLateRequests is the number of requests of a session that run although the instance is
// leaving. A caller that sends one after the other would keep the session open.
const maxLateRequests = 1

// refusesLate reports whether the request comes too late: the instance is leaving. A request
// that had arrived before the session ended still runs, but no new transaction is opened.
func (s *session) refusesLate(req Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.interrupted || s.tx != nil || s.failed {
		return false
	}
	_, begins := req.Statement.(Begin)
	return begins || s.late > maxLateRequests
}

// interrupt ends the session if it waits for a request. Inside a transaction it does
// so only if includeTx is set.
func (s *session) interrupt(includeTx bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting && !s.interrupted && (includeTx || !s.waitingInTx) {
		s.interrupted = true
		s.caller.Interrupt()
	}
}

// handleReadError answers a message over the size limit, and logs an idle transaction.
func (s *session) handleReadError(err error) {
	switch {
	case errors.Is(err, ErrTooBig):
		_ = s.caller.Refuse(fault(TooBig, "message is over the size limit"))
	case errors.Is(err, ErrIdle):
		s.srv.log.Info().Str(event.Database, s.database).Msg("transaction was idle for too long; session closed and transaction rolled back")
	}
}

// release rolls back an open transaction by closing its connection.
func (s *session) release() {
	if c := s.borrowed; c != nil {
		c.member.put(c, false)
	}
	if s.tx != nil {
		s.releaseTx(false)
	}
}

// releaseTx gives up the connection or the holder of the transaction. Unless clean
// is set, the connection is closed, which rolls the transaction back.
func (s *session) releaseTx(clean bool) {
	if c := s.tx.conn; c != nil {
		c.dirty = c.dirty || s.tx.valuesChanged
		c.member.put(c, clean)
	}
	if h := s.tx.holderLink; h != nil && clean {
		h.put()
	} else if h != nil {
		h.discard()
	}
	s.tx = nil
}

func (s *session) status() Status {
	switch {
	case s.failed:
		return FailedTx
	case s.tx != nil:
		return InTx
	default:
		return Idle
	}
}

// acknowledge answers a request that needs no backend server.
func (s *session) acknowledge() Answer { return Answer{Status: s.status()} }

func (s *session) refuse(f *Fault) Answer { return Answer{Fault: f, Status: s.status()} }

// handle answers one request.
func (s *session) handle(ctx context.Context, req Request) Answer {
	if req.Forwarded != nil {
		if f := s.applyForwarded(req.Forwarded); f != nil {
			return s.refuse(f)
		}
	}
	if s.failed {
		return s.handleInFailedTx(req)
	}
	switch st := req.Statement.(type) {
	case Begin:
		return s.begin(st)
	case Commit:
		return s.commit(ctx, req)
	case Rollback:
		return s.rollback()
	case Set:
		return s.set(st)
	case Prepare:
		return s.prepare(st)
	case Deallocate:
		delete(s.prepared, st.Name)
		return s.acknowledge()
	case Read:
		return s.run(ctx, req, false, "")
	case Write:
		return s.run(ctx, req, true, "")
	case Execute:
		stmt, ok := s.prepared[st.Name]
		if !ok {
			return s.fail(fault(NoStatement, "no such prepared name"))
		}
		return s.run(ctx, req, stmt.Writes, st.Name)
	default:
		return s.refuse(fault(BadRequest, "request cannot be read"))
	}
}

// handleInFailedTx answers a request inside a transaction that has failed. The
// transaction has been rolled back at the backend server.
func (s *session) handleInFailedTx(req Request) Answer {
	switch req.Statement.(type) {
	case Commit:
		s.failed = false
		return s.refuse(fault(Aborted, "the transaction had failed and is rolled back"))
	case Rollback:
		s.failed = false
		return s.acknowledge()
	default:
		return s.refuse(fault(BadRequest, "the transaction has failed"))
	}
}

func (s *session) begin(st Begin) Answer {
	if s.tx != nil {
		return s.refuse(fault(BadRequest, "a transaction is open"))
	}
	r, ok := s.route()
	if !ok {
		return s.refuse(fault(NoDatabase, "no such database"))
	}
	if f := s.identifyUnit(r); f != nil {
		return s.refuse(f)
	}
	s.tx = &transaction{readOnly: st.ReadOnly, route: r, svc: s.srv.service(r.Service)}
	return s.acknowledge()
}

func (s *session) route() (config.Route, bool) {
	if s.forwardedRoute != nil {
		return *s.forwardedRoute, true
	}
	doc := s.srv.doc.Load()
	if doc == nil {
		return config.Route{}, false
	}
	r, ok := doc.Routes[s.database]
	return r, ok
}

func (s *session) set(st Set) Answer {
	if _, ok := s.values[st.Name]; !ok && len(s.values) >= maxSessionValues {
		return s.refuse(fault(TooBig, "too many session values"))
	}
	s.values[st.Name] = st.Value
	if s.tx != nil {
		s.tx.valuesChanged = true
	}
	return s.acknowledge()
}

func (s *session) prepare(st Prepare) Answer {
	if _, ok := s.prepared[st.Name]; !ok && len(s.prepared) >= maxPreparedStatements {
		return s.refuse(fault(TooBig, "too many prepared names"))
	}
	s.prepared[st.Name] = st.Statement
	return s.acknowledge()
}

// run executes a read or a write, here or at a holder.
func (s *session) run(ctx context.Context, req Request, writes bool, prepared string) Answer {
	w := operation{session: s, req: req, writes: writes, preparedName: prepared, arrived: s.arrived()}
	if s.tx != nil {
		if f := s.checkCustomer(s.tx.route); f != nil {
			return s.fail(f)
		}
		w.route, w.svc = s.tx.route, s.tx.svc
		return w.runInTx(ctx)
	}
	r, ok := s.route()
	if !ok {
		return s.refuse(fault(NoDatabase, "no such database"))
	}
	if f := s.identifyUnit(r); f != nil {
		return s.refuse(f)
	}
	w.route, w.svc = r, s.srv.service(r.Service)
	if f := w.takeUnitToken(ctx); f != nil {
		return s.refuse(f)
	}
	if s.forwards(w.svc) {
		if !writes && s.customer == "" {
			if a, ok := w.readLocally(ctx); ok {
				return a
			}
		}
		if a, ok := w.forward(ctx); ok {
			return a
		}
	}
	if writes {
		return w.write(ctx)
	}
	return w.read(ctx)
}

// fail answers with f. An open transaction is rolled back and fails, since nothing
// of it can be kept.
func (s *session) fail(f *Fault) Answer {
	if s.tx != nil {
		s.abort()
	}
	return s.refuse(f)
}

// abort rolls the open transaction back at once, which frees its connection.
func (s *session) abort() {
	clean := false
	if c := s.tx.conn; c != nil {
		answers, err := c.exec(rollbackTimeout, RollbackTx{})
		clean = err == nil && answers[0].Status == Idle
	}
	if h := s.tx.holderLink; h != nil {
		clean = s.rollbackAtHolder(h)
	}
	s.releaseTx(clean)
	s.failed = true
}

func (s *session) rollback() Answer {
	if s.tx == nil {
		return s.refuse(fault(BadRequest, "no transaction is open"))
	}
	s.abort()
	s.failed = false
	return s.acknowledge()
}

// commit commits the transaction. Once the command has been sent, only the answer of
// the backend server tells the outcome.
func (s *session) commit(ctx context.Context, req Request) Answer {
	if s.tx == nil {
		return s.refuse(fault(BadRequest, "no transaction is open"))
	}
	if f := s.checkCustomer(s.tx.route); f != nil {
		s.abort()
		s.failed = false
		return s.refuse(f)
	}
	w := operation{session: s, req: req, arrived: s.arrived(), route: s.tx.route, svc: s.tx.svc}
	if s.tx.unopened() {
		if f := w.takeUnitToken(ctx); f != nil {
			a := s.fail(f)
			s.failed = false
			a.Status = Idle
			return a
		}
	}
	if s.tx.holderLink != nil || s.tx.conn == nil && s.forwards(w.svc) {
		if a, ok := w.forwardTx(ctx, true); ok {
			return a
		}
	}
	if s.tx.conn == nil {
		if f := w.openTx(ctx); f != nil {
			a := s.fail(f)
			s.failed = false
			a.Status = Idle
			return a
		}
	}
	return w.commit(ctx)
}

// recordCommit records a commit of the session.
func (s *session) recordCommit(service string, p timedPosition) {
	if s.lastCommits[service].position.Less(p.position) {
		s.lastCommits[service] = p
	}
}

// arrived returns when the current request arrived at the instance of its caller.
func (s *session) arrived() time.Time { return s.srv.now().Add(-s.forwardedElapsed) }

// forwards reports whether requests for the service are forwarded. A forwarded
// request is not forwarded again.
func (s *session) forwards(v *service) bool { return s.forwardedRoute == nil && v.forwards(s.customer) }
