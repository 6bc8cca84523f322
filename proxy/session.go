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
	// maxPrepared and maxValues bound the memory of one session.
	maxPrepared = 1000
	maxValues   = 200
	// rollbackLimit bounds the wait for the end of a transaction that the caller
	// rolled back. After it the connection is closed, which rolls back too.
	rollbackLimit = 300 * time.Millisecond
)

// session is one caller connection. The fields but those under mu belong to the
// goroutine that serves it.
type session struct {
	srv      *Server
	caller   Caller
	database string
	user     string

	values map[string]string
	shapes map[string]Shape
	own    map[string]timedPosition // newest commit of the session, by service
	tx     *transaction
	failed bool // the transaction failed; only its end is accepted

	delegated *config.Route // of a session that another instance serves
	elapsed   time.Duration // since the request arrived there

	mu      sync.Mutex
	waiting bool // for a request
	inTx    bool // while waiting
	ending  bool
}

// transaction is one that the caller opened. It takes a connection with its
// first statement.
type transaction struct {
	readOnly bool
	route    config.Route
	svc      *service
	conn     *backendConn
	held     *delegation // instead of conn, at another instance
	wrote    bool
	set      bool
}

func newSession(s *Server, c Caller, database, user string) *session {
	return &session{
		srv: s, caller: c, database: database, user: user,
		values: make(map[string]string), shapes: make(map[string]Shape), own: make(map[string]timedPosition),
	}
}

// serve answers requests until the caller leaves or the instance stops.
func (s *session) serve(ctx context.Context) {
	defer s.release()
	for ctx.Err() == nil {
		req, err := s.next()
		if err != nil {
			s.ended(err)
			return
		}
		answer := s.handle(ctx, req)
		if req.Delegated != nil {
			answer.Unproved = s.srv.service(req.Delegated.Route.Service).unproved(s.srv.now())
		}
		if err := s.caller.Reply(answer); err != nil {
			return
		}
		if answer.Fault != nil && answer.Status == Idle && s.srv.isolated.Load() {
			return
		}
	}
}

// next waits for a request. A drain may end the wait.
func (s *session) next() (Request, error) {
	var limit time.Duration
	resting := s.tx != nil || s.failed
	if doc := s.srv.doc.Load(); resting && doc != nil {
		limit = doc.IdleTransaction
	}
	s.mu.Lock()
	if s.srv.draining.Load() && !resting {
		s.mu.Unlock()
		return Request{}, ErrInterrupted
	}
	s.waiting, s.inTx = true, resting
	s.mu.Unlock()
	req, err := s.caller.Next(limit)
	s.mu.Lock()
	s.waiting = false
	s.mu.Unlock()
	return req, err
}

// interrupt ends the session if it waits for a request; inside a transaction
// only if that is asked for.
func (s *session) interrupt(inTx bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting && !s.ending && (inTx || !s.inTx) {
		s.ending = true
		s.caller.Interrupt()
	}
}

func (s *session) ended(err error) {
	switch {
	case errors.Is(err, ErrTooBig):
		_ = s.caller.Refuse(fault(TooBig, "message is over the size limit"))
	case errors.Is(err, ErrIdle):
		s.srv.log.Info().Str(event.Database, s.database).Msg("transaction was idle for too long")
	}
}

// release rolls back an open transaction by closing its connection.
func (s *session) release() {
	if s.tx != nil {
		s.dropTx(false)
	}
}

// dropTx ends the use of the connection of the transaction.
func (s *session) dropTx(clean bool) {
	if c := s.tx.conn; c != nil {
		c.dirty = c.dirty || s.tx.set
		c.member.put(c, clean)
	}
	if h := s.tx.held; h != nil && clean {
		h.put()
	} else if h != nil {
		h.drop()
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

// done answers a request that the proxy serves itself.
func (s *session) done() Answer { return Answer{Status: s.status()} }

func (s *session) refuse(f *Fault) Answer { return Answer{Fault: f, Status: s.status()} }

// handle answers one request.
func (s *session) handle(ctx context.Context, req Request) Answer {
	if req.Delegated != nil {
		if f := s.take(req.Delegated); f != nil {
			return s.refuse(f)
		}
	}
	if s.failed {
		return s.handleFailed(req)
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
		delete(s.shapes, st.Name)
		return s.done()
	case Read:
		return s.run(ctx, req, false, "")
	case Write:
		return s.run(ctx, req, true, "")
	case Execute:
		shape, ok := s.shapes[st.Name]
		if !ok {
			return s.fail(fault(NoStatement, "no such prepared name"))
		}
		return s.run(ctx, req, shape.Writes, st.Name)
	default:
		return s.refuse(fault(BadRequest, "request cannot be read"))
	}
}

// handleFailed answers inside a transaction that has failed. Nothing of it is
// kept: its connection is rolled back already.
func (s *session) handleFailed(req Request) Answer {
	switch req.Statement.(type) {
	case Commit:
		s.failed = false
		return s.refuse(fault(Aborted, "the transaction had failed and is rolled back"))
	case Rollback:
		s.failed = false
		return s.done()
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
	s.tx = &transaction{readOnly: st.ReadOnly, route: r, svc: s.srv.service(r.Service)}
	return s.done()
}

func (s *session) route() (config.Route, bool) {
	if s.delegated != nil {
		return *s.delegated, true
	}
	doc := s.srv.doc.Load()
	if doc == nil {
		return config.Route{}, false
	}
	r, ok := doc.Routes[s.database]
	return r, ok
}

func (s *session) set(st Set) Answer {
	if _, ok := s.values[st.Name]; !ok && len(s.values) >= maxValues {
		return s.refuse(fault(TooBig, "too many session values"))
	}
	s.values[st.Name] = st.Value
	if s.tx != nil {
		s.tx.set = true
	}
	return s.done()
}

func (s *session) prepare(st Prepare) Answer {
	if _, ok := s.shapes[st.Name]; !ok && len(s.shapes) >= maxPrepared {
		return s.refuse(fault(TooBig, "too many prepared names"))
	}
	s.shapes[st.Name] = st.Shape
	return s.done()
}

// run executes a read or a write.
func (s *session) run(ctx context.Context, req Request, writes bool, prepared string) Answer {
	w := work{session: s, req: req, writes: writes, prepared: prepared, arrived: s.arrived()}
	if s.tx != nil {
		w.route, w.svc = s.tx.route, s.tx.svc
		return w.inTransaction(ctx)
	}
	r, ok := s.route()
	if !ok {
		return s.refuse(fault(NoDatabase, "no such database"))
	}
	w.route, w.svc = r, s.srv.service(r.Service)
	if s.delegates(w.svc) {
		if !writes {
			if a, ok := w.readNear(ctx); ok {
				return a
			}
		}
		if a, ok := w.delegate(ctx); ok {
			return a
		}
	}
	if writes {
		return w.write(ctx)
	}
	return w.read(ctx)
}

// fail ends the open transaction, if there is one, and answers with f. Nothing
// of the transaction can be kept after it.
func (s *session) fail(f *Fault) Answer {
	if s.tx != nil {
		s.abort()
	}
	return s.refuse(f)
}

// abort rolls the open transaction back at once, so that its connection is free.
func (s *session) abort() {
	clean := false
	if c := s.tx.conn; c != nil {
		answers, err := c.exec(rollbackLimit, RollbackTx{})
		clean = err == nil && answers[0].Status == Idle
	}
	if h := s.tx.held; h != nil {
		clean = s.rollbackAt(h)
	}
	s.dropTx(clean)
	s.failed = true
}

func (s *session) rollback() Answer {
	if s.tx == nil {
		return s.refuse(fault(BadRequest, "no transaction is open"))
	}
	s.abort()
	s.failed = false
	return s.done()
}

// commit ends the transaction. Once the command has been sent, only the answer
// of the backend server tells whether it is kept.
func (s *session) commit(ctx context.Context, req Request) Answer {
	if s.tx == nil {
		return s.refuse(fault(BadRequest, "no transaction is open"))
	}
	w := work{session: s, req: req, arrived: s.arrived(), route: s.tx.route, svc: s.tx.svc}
	if s.tx.held != nil || s.tx.conn == nil && s.delegates(w.svc) {
		if a, ok := w.delegateTx(ctx, true); ok {
			return a
		}
	}
	if s.tx.conn == nil {
		if f := w.open(ctx); f != nil {
			a := s.fail(f)
			s.failed = false
			a.Status = Idle
			return a
		}
	}
	return w.commit(ctx)
}

// committed records the newest commit of the session.
func (s *session) committed(service string, p timedPosition) {
	if s.own[service].position.Less(p.position) {
		s.own[service] = p
	}
}

// arrived returns when the present request arrived at the instance of its caller.
func (s *session) arrived() time.Time { return s.srv.now().Add(-s.elapsed) }

// delegates reports whether requests for the service are passed on. One that was
// passed on to here is not passed on again.
func (s *session) delegates(v *service) bool { return s.delegated == nil && v.delegates() }
