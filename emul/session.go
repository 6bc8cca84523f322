package emul

import (
	"context"
	"encoding/binary"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"
)

// Roles whose connections and group functions are outside the limits.
const (
	controlUser    = "tamarackcross"
	replicatorUser = "replicator"
)

const (
	maxMessage  = 16 << 20 // bytes of one message from a client
	flushOutput = 16 << 10 // bytes of buffered rows that are written at once
	keptOutput  = 64 << 10 // bytes of output buffer that an idle session keeps
)

// Settings reported at startup.
const (
	serverVersion  = "16.0"
	clientEncoding = "UTF8"
)

// positionParameter reports the position of a snapshot or commit.
const positionParameter = "group_position"

var errClosed = eris.New("connection closed by the client")

// session serves one connection.
type session struct {
	m          *Member
	c          *conn
	be         *pgproto3.Backend
	out        []byte
	values     [][]byte // columns of the row being sent
	pid        uint32
	secret     uint32
	privileged bool
	settings   map[string]string
	statements map[string]*prepared
	portals    map[string]*portal
	txn        *txn
	skip       bool   // an extended-protocol error skips everything until Sync
	pending    string // tag of a CommandComplete that waits for the implicit commit

	mu     sync.Mutex
	cancel context.CancelCauseFunc // cancels the running statement
}

func newSession(m *Member, c *conn) *session {
	be := pgproto3.NewBackend(c, c)
	be.SetMaxBodyLen(maxMessage)
	return &session{
		m:          m,
		c:          c,
		be:         be,
		settings:   make(map[string]string),
		statements: make(map[string]*prepared),
		portals:    make(map[string]*portal),
	}
}

func (s *session) close() {
	s.abort()
	s.m.unregister(s)
}

// startup serves the messages before the first ReadyForQuery.
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
			return errClosed
		case *pgproto3.StartupMessage:
			return s.welcome(ctx, msg.Parameters)
		}
	}
}

func (s *session) welcome(ctx context.Context, params map[string]string) error {
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
	return s.ready()
}

func (s *session) admit(database, user string) error {
	if database == "" {
		database = user
	}
	if s.m.database != "" && database != s.m.database {
		return &Error{stateNoDatabase, "database \"" + database + "\" does not exist"}
	}
	return s.m.register(s)
}

func secretOf(key []byte) uint32 {
	if len(key) != 4 {
		return 0
	}
	return binary.BigEndian.Uint32(key)
}

// wait sleeps for d and reports whether ctx lasted.
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

// serve handles one message.
func (s *session) serve(ctx context.Context) error {
	msg, err := s.be.Receive()
	if err != nil {
		return eris.Wrap(err, "receive")
	}
	if err := s.m.gate(ctx); err != nil {
		return err
	}
	if _, ok := msg.(*pgproto3.Sync); !ok {
		s.sendPending()
	}
	switch msg := msg.(type) {
	case *pgproto3.Query:
		if s.skip {
			return nil
		}
		return s.simpleQuery(ctx, msg.String)
	case *pgproto3.Sync:
		return s.sync()
	case *pgproto3.Flush:
		return s.flush()
	case *pgproto3.Terminate:
		return errClosed
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return nil
	}
	if s.skip {
		return nil
	}
	if err := s.extended(ctx, msg); err != nil {
		s.fail(err)
		s.skip = true
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
	return s.ready()
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

// sync ends an implicit transaction and the skipping after an error.
func (s *session) sync() error {
	s.skip = false
	if err := s.commitImplicit(); err != nil {
		s.fail(err)
	}
	return s.ready()
}

// commitImplicit commits the transaction of statements without BEGIN and sends
// the CommandComplete that waited for it.
func (s *session) commitImplicit() error {
	if s.txn != nil && !s.txn.explicit {
		t := s.txn
		s.txn = nil
		if err := s.commitAndReport(t); err != nil {
			s.pending = ""
			return err
		}
	}
	s.sendPending()
	return nil
}

// commitAndReport commits t and sends the position of the commit.
func (s *session) commitAndReport(t *txn) error {
	if err := s.m.gate(s.c.ctx); err != nil {
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

// fail reports err and aborts the transaction.
func (s *session) fail(err error) {
	s.pending = ""
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

// abort drops the transaction.
func (s *session) abort() {
	if s.txn != nil {
		s.txn.rollback()
		s.txn = nil
	}
}

// statement returns a context that a cancel request ends.
func (s *session) statement(ctx context.Context) (context.Context, func()) {
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

// endOf names the reason why the context of a statement ended.
func endOf(ctx context.Context) error {
	if context.Cause(ctx) == error(errCancelled) {
		return errCancelled
	}
	return errShutdown
}

// send buffers a message. The messages of this package always encode.
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
		Code:                stateOf(err),
		Message:             textOf(err),
	})
}

func (s *session) sendPending() {
	if s.pending != "" {
		s.send(&pgproto3.CommandComplete{CommandTag: []byte(s.pending)})
		s.pending = ""
	}
}

func (s *session) ready() error {
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
	if cap(s.out) > keptOutput {
		s.out = nil
	}
	s.out = s.out[:0]
	return eris.Wrap(err, "write")
}
