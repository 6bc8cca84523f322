package emul

import (
	"context"
	"encoding/binary"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"
)

// Database roles that are exempt from the connection and slot limits and may call group
// functions.
const (
	controlUser    = "tamarackcross"
	replicatorUser = "replicator"
)

const (
	maxMessageBytes     = 16 << 20 // size of one message from a client
	flushThresholdBytes = 16 << 10 // size of buffered rows from which they are written
	maxIdleBufferBytes  = 64 << 10 // capacity of the output buffer up to which a session keeps it
)

// Values of settings that are reported at startup.
const (
	serverVersion  = "16.0"
	clientEncoding = "UTF8"
)

// positionParameter is the name of the ParameterStatus that carries the position of
// a snapshot or commit.
const positionParameter = "group_position"

var errClientClosed = eris.New("client closed the connection")

// session serves one client connection.
type session struct {
	m             *Member
	c             *conn
	be            *pgproto3.Backend
	out           []byte
	values        [][]byte // values of the row that is being sent, reused
	pid           uint32
	secret        uint32
	privileged    bool
	settings      map[string]string
	statements    map[string]*preparedStatement
	portals       map[string]*portal
	txn           *txn
	skipUntilSync bool   // an error of the extended protocol has occurred
	pendingTag    string // command tag that is sent after the commit of the implicit transaction

	mu     sync.Mutex
	cancel context.CancelCauseFunc // cancels the running statement
}

func newSession(m *Member, c *conn) *session {
	be := pgproto3.NewBackend(c, c)
	be.SetMaxBodyLen(maxMessageBytes)
	return &session{
		m:          m,
		c:          c,
		be:         be,
		settings:   make(map[string]string),
		statements: make(map[string]*preparedStatement),
		portals:    make(map[string]*portal),
	}
}

func (s *session) close() {
	s.abort()
	s.m.unregister(s)
}

// startup handles the messages before the first ReadyForQuery.
func (s *session) startup(ctx context.Context) error {
	for {
		msg, err := s.be.ReceiveStartupMessage()
		if err != nil {
			return eris.Wrap(err, "startup")
		}
		switch msg := msg.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := s.c.Write([]byte{'N'}); err != nil {
				return eris.Wrap(err, "startup")
			}
		case *pgproto3.CancelRequest:
			s.m.cancelSession(msg.ProcessID, secretOf(msg.SecretKey))
			return errClientClosed
		case *pgproto3.StartupMessage:
			return s.openSession(ctx, msg.Parameters)
		}
	}
}

func (s *session) openSession(ctx context.Context, params map[string]string) error {
	user := params["user"]
	s.privileged = user == controlUser || user == replicatorUser
	if err := s.admit(params["database"], user); err != nil {
		s.sendError("FATAL", err)
		s.flush()
		return err
	}
	if !wait(ctx, s.m.connectTime) {
		return ctx.Err()
	}
	s.send(&pgproto3.AuthenticationOk{})
	s.sendParameter("server_version", serverVersion)
	s.sendParameter("client_encoding", clientEncoding)
	s.sendParameter("standard_conforming_strings", "on")
	s.send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: binary.BigEndian.AppendUint32(nil, s.secret)})
	return s.sendReady()
}

func (s *session) admit(database, user string) error {
	if database == "" {
		database = user
	}
	if s.m.database != "" && database != s.m.database {
		return &Error{sqlStateNoDatabase, "database \"" + database + "\" does not exist"}
	}
	return s.m.register(s)
}

func secretOf(key []byte) uint32 {
	if len(key) != 4 {
		return 0
	}
	return binary.BigEndian.Uint32(key)
}

// wait waits for d. It reports false if ctx ended first.
func wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// serveMessage handles one message.
func (s *session) serveMessage(ctx context.Context) error {
	msg, err := s.be.Receive()
	if err != nil {
		return eris.Wrap(err, "receive")
	}
	if err := s.m.awaitThaw(ctx); err != nil {
		return err
	}
	if _, ok := msg.(*pgproto3.Sync); !ok {
		s.sendPending()
	}
	switch msg := msg.(type) {
	case *pgproto3.Query:
		if s.skipUntilSync {
			return nil
		}
		return s.simpleQuery(ctx, msg.String)
	case *pgproto3.Sync:
		return s.sync()
	case *pgproto3.Flush:
		return s.flush()
	case *pgproto3.Terminate:
		return errClientClosed
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return nil
	}
	if s.skipUntilSync {
		return nil
	}
	if err := s.handleExtended(ctx, msg); err != nil {
		s.fail(err)
		s.skipUntilSync = true
	}
	return nil
}

func (s *session) simpleQuery(ctx context.Context, sql string) error {
	texts := splitStatements(sql)
	if len(texts) == 0 {
		s.send(&pgproto3.EmptyQueryResponse{})
	}
	for i, text := range texts {
		if err := s.simpleStatement(ctx, text, i == len(texts)-1); err != nil {
			s.fail(err)
			break
		}
	}
	return s.sendReady()
}

func (s *session) simpleStatement(ctx context.Context, text string, last bool) error {
	st, params, err := parse(text)
	if err != nil {
		return err
	}
	if params > 0 {
		return eris.Wrap(errSyntax, "parameters in a simple query")
	}
	p := &portal{stmt: st, describe: true}
	if err := s.execute(ctx, p, 0); err != nil {
		return err
	}
	if last {
		return s.commitImplicit()
	}
	s.sendPending()
	return nil
}

// sync handles Sync: it commits an implicit transaction and ends the skipping of
// messages after an error.
func (s *session) sync() error {
	s.skipUntilSync = false
	if err := s.commitImplicit(); err != nil {
		s.fail(err)
	}
	return s.sendReady()
}

// commitImplicit commits the transaction of statements without BEGIN and sends the
// CommandComplete that was deferred until then.
func (s *session) commitImplicit() error {
	if s.txn != nil && !s.txn.explicit {
		t := s.txn
		s.txn = nil
		if err := s.commitAndReport(t); err != nil {
			s.pendingTag = ""
			return err
		}
	}
	s.sendPending()
	return nil
}

// commitAndReport commits t and sends the position of the commit.
func (s *session) commitAndReport(t *txn) error {
	if err := s.m.awaitThaw(s.c.ctx); err != nil {
		t.rollback()
		return err
	}
	pos, err := t.commit()
	if err != nil {
		return err
	}
	s.sendParameter(positionParameter, pos.String())
	return nil
}

// fail sends err to the client and rolls back the transaction. An explicit
// transaction then rejects statements until it ends.
func (s *session) fail(err error) {
	s.pendingTag = ""
	s.sendError("ERROR", err)
	if s.txn == nil {
		return
	}
	s.txn.rollback()
	if s.txn.explicit {
		s.txn.failed = true
		return
	}
	s.txn = nil
}

// abort rolls back and closes the transaction, if there is one.
func (s *session) abort() {
	if s.txn != nil {
		s.txn.rollback()
		s.txn = nil
	}
}

// statementContext returns a context that a cancel request cancels, and a function
// to call when the statement has ended.
func (s *session) statementContext(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	s.mu.Lock()
	s.cancel = cancel
	s.mu.Unlock()
	return ctx, func() {
		s.mu.Lock()
		s.cancel = nil
		s.mu.Unlock()
		cancel(nil)
	}
}

func (s *session) cancelStatement() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		s.cancel(errCancelled)
	}
}

// cancelError returns the error of a statement whose context has ended: a cancel
// request or the shutdown of the member.
func cancelError(ctx context.Context) error {
	if context.Cause(ctx) == error(errCancelled) {
		return errCancelled
	}
	return errShutdown
}

// send buffers a message. An encoding error is ignored, because the messages that
// this package sends always encode.
func (s *session) send(msg pgproto3.BackendMessage) {
	if out, err := msg.Encode(s.out); err == nil {
		s.out = out
	}
}

func (s *session) sendParameter(name, value string) {
	s.send(&pgproto3.ParameterStatus{Name: name, Value: value})
}

func (s *session) sendError(severity string, err error) {
	s.send(&pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                sqlStateOf(err),
		Message:             messageOf(err),
	})
}

func (s *session) sendPending() {
	if s.pendingTag != "" {
		s.send(&pgproto3.CommandComplete{CommandTag: []byte(s.pendingTag)})
		s.pendingTag = ""
	}
}

func (s *session) sendReady() error {
	status := byte('I')
	if s.txn == nil {
		clear(s.portals)
	} else {
		status = 'T'
		if s.txn.failed {
			status = 'E'
		}
	}
	s.send(&pgproto3.ReadyForQuery{TxStatus: status})
	return s.flush()
}

func (s *session) flush() error {
	if len(s.out) == 0 {
		return nil
	}
	_, err := s.c.Write(s.out)
	if cap(s.out) > maxIdleBufferBytes {
		s.out = nil
	}
	s.out = s.out[:0]
	return eris.Wrap(err, "write")
}
