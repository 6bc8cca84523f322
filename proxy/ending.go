package proxy

import (
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"tamarackcross/errs"
	"tamarackcross/event"
)

// When the instance stops, a request that is under way when its time has passed would lose its answer with the
// process. No request begins whose time limit goes beyond that, and the rest is given up in time to answer it.

// answerMargin is how long before the end of a drain the requests under way are given up, so that their
// answers are written.
const answerMargin = 200 * time.Millisecond

// ending holds the connections on which requests wait for answers, so that the wait can be ended.
type ending struct {
	mu      sync.Mutex
	ended   bool
	waiting map[io.Closer]struct{}
}

func newEnding() *ending { return &ending{waiting: make(map[io.Closer]struct{})} }

// begin records that a request waits for an answer on a connection, given as a pointer. It reports false if no more requests are sent.
func (e *ending) begin(c io.Closer) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.ended {
		e.waiting[c] = struct{}{}
	}
	return !e.ended
}

func (e *ending) done(c io.Closer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.waiting, c)
}

// end closes the connections on which requests wait, and returns their number.
func (e *ending) end() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended = true
	for c := range e.waiting {
		_ = c.Close()
	}
	return len(e.waiting)
}

// stopTimes are the times of a planned stop.
type stopTimes struct {
	txEnd      time.Time // transactions that are open may go on until then
	requestEnd time.Time // requests under way are given up then
}

// canFinish reports whether a request with a time limit that begins now ends before it would be given up. Open
// transactions have a time of their own.
func (t stopTimes) canFinish(limit time.Duration, inTx bool, now time.Time) bool {
	return inTx && now.Before(t.txEnd) || !now.Add(limit).After(t.requestEnd)
}

// refuseIfStopping returns the answer to a request that could not end before the instance stops, or false. An open
// transaction is rolled back. A refused request outside a transaction also ends the session.
func (s *session) refuseIfStopping(req Request) (a Answer, refused bool) {
	stop := s.srv.stop.Load()
	if stop == nil || s.failed {
		return Answer{}, false
	}
	commits := false
	switch req.Statement.(type) {
	case Read, Write, Execute, Begin:
	case Commit:
		commits = true
	default:
		return Answer{}, false
	}
	r, known := s.route()
	inTx := s.tx != nil
	if inTx {
		r, known = s.tx.route, true
	}
	if req.Forwarded != nil {
		r, known, inTx = req.Forwarded.Route, true, inTx && !req.Forwarded.NewUnit
	}
	if !known || stop.canFinish(r.Timeout, inTx, s.srv.now()) {
		return Answer{}, false
	}
	s.srv.stats.Refused(errs.ReasonShutdown)
	s.srv.log.Request(zerolog.InfoLevel).Str(event.ID, req.ID).Str(event.Database, r.Database).Str(event.Outcome, event.OutcomeNotRun).
		Bool("in_transaction", inTx).Dur("limit_ms", r.Timeout).Msg("refused: the request could not end before the instance stops")
	if !inTx {
		return s.refuse(leavingFault), true
	}
	a = s.fail(leavingTxFault)
	if commits {
		s.failed, a.Status = false, Idle
	}
	return a, true
}

// leavingTxFault refuses a statement of an open transaction, which is rolled back.
var leavingTxFault = fault(Aborted, "rolled back: the instance is leaving, come back in 0 ms")
