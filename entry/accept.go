package entry

import (
	"context"
	crand "crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"tamarackcross/errs"
	"tamarackcross/fleet"
	"tamarackcross/wire"
)

// Request codes that stand in place of a protocol version.
const (
	codeCancel = 80877102
	codeSSL    = 80877103
	codeGSS    = 80877104
)

const (
	scramMechanism = "SCRAM-SHA-256"
	maxPassword    = 4 << 10 // bytes of a message from a caller that is not authenticated
)

// Conversation is the server side of one SCRAM exchange.
type Conversation interface {
	Step(message string) (string, error)
	Valid() bool
}

// Authenticator starts the SCRAM exchange of a caller.
type Authenticator interface {
	Start(user string) (Conversation, error)
}

var errDone = eris.New("connection ended") // nothing is left to serve

// handle serves one caller connection from its first byte to its end.
func (s *Server) handle(ctx context.Context, nc net.Conn) {
	defer nc.Close()
	open := s.stats.CallerOpened()
	defer s.stats.CallerClosed()
	_ = nc.SetDeadline(time.Now().Add(s.policies.Resolve(fleet.Scope{}).HandshakeLimit))
	c, err := s.greet(ctx, nc, open)
	if err != nil {
		return
	}
	_ = nc.SetDeadline(time.Time{})
	c.conn.LimitWrites(s.stallLimit)
	s.add(c)
	defer s.remove(c)
	c.serve(s.ctx)
}

// greet takes a connection up to its first ReadyForQuery. A stopping instance
// does not wait for callers that are still on the way there.
func (s *Server) greet(ctx context.Context, nc net.Conn, open int64) (*session, error) {
	stop := context.AfterFunc(s.ctx, func() { _ = nc.Close() })
	defer stop()
	c, err := s.startup(ctx, nc)
	if err != nil {
		return nil, err
	}
	if s.draining.Load() {
		c.fatal(errs.New(errs.NotRun, errs.ReasonShutdown, "instance is shutting down"))
		return nil, errDone
	}
	if open > int64(s.maxConns) {
		c.fatal(errs.New(errs.NotRun, errs.ReasonTooMany, "too many caller connections"))
		return nil, errDone
	}
	return c, s.welcome(c)
}

// startup reads messages until the startup message has come: TLS and cancel
// requests come before it.
func (s *Server) startup(ctx context.Context, nc net.Conn) (*session, error) {
	w := wire.NewConn(nc)
	secure := false
	for {
		body, err := w.ReadStartup()
		if err != nil {
			return nil, err
		}
		switch binary.BigEndian.Uint32(body) {
		case codeCancel:
			s.cancel(ctx, body)
			return nil, errDone
		case codeGSS:
			if _, err := nc.Write([]byte{'N'}); err != nil {
				return nil, err
			}
		case codeSSL:
			if s.tls == nil || secure {
				if _, err := nc.Write([]byte{'N'}); err != nil {
					return nil, err
				}
				continue
			}
			if _, err := nc.Write([]byte{'S'}); err != nil {
				return nil, err
			}
			secure = true
			nc = tls.Server(nc, s.tls)
			w = wire.NewConn(nc)
		default:
			return s.newSession(nc, body, secure)
		}
	}
}

// newSession decodes the startup message and authenticates the caller.
func (s *Server) newSession(nc net.Conn, body []byte, secure bool) (*session, error) {
	c := &session{srv: s, conn: wire.NewConn(nc, wire.WithMaxFrame(maxPassword)), set: defaultSettings(), start: defaultSettings(), status: statusIdle}
	var msg pgproto3.StartupMessage
	if err := msg.Decode(body); err != nil {
		c.fatal(errs.New(errs.NotRun, errs.ReasonProtocol, "malformed startup message"))
		return nil, err
	}
	if s.tls != nil && !secure {
		e := errs.New(errs.NotRun, errs.ReasonProtocol, "this instance requires TLS", errs.WithState("28000"))
		c.fatal(e)
		return nil, e
	}
	if msg.ProtocolVersion != pgproto3.ProtocolVersion30 {
		if err := c.conn.Send(&pgproto3.NegotiateProtocolVersion{NewestMinorProtocol: 0}); err != nil {
			return nil, err
		}
	}
	if err := c.named(msg.Parameters); err != nil {
		c.fatal(asError(err))
		return nil, err
	}
	if err := c.authenticate(); err != nil {
		s.log.Info().Str("caller", c.caller).Str("peer", nc.RemoteAddr().String()).Msg("authentication failed")
		return nil, err
	}
	// Only a caller that proved who it is learns which databases exist.
	if err := c.identify(msg.Parameters); err != nil {
		c.fatal(asError(err))
		return nil, err
	}
	c.conn.LimitFrames(s.policies.Resolve(fleet.Scope{}).MaxMessage)
	return c, nil
}

// authenticate runs the SCRAM exchange.
func (c *session) authenticate() error {
	if c.srv.auth == nil {
		return nil
	}
	conv, err := c.srv.auth.Start(c.caller)
	if err != nil {
		return c.rejectPassword(err)
	}
	if err := c.sendNow(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}}); err != nil {
		return err
	}
	body, err := c.readPassword()
	if err != nil {
		return err
	}
	var first pgproto3.SASLInitialResponse
	if err := first.Decode(body); err != nil || first.AuthMechanism != scramMechanism {
		return c.rejectPassword(eris.New("unexpected SASL mechanism"))
	}
	reply, err := conv.Step(string(first.Data))
	if err != nil {
		return c.rejectPassword(err)
	}
	if err := c.sendNow(&pgproto3.AuthenticationSASLContinue{Data: []byte(reply)}); err != nil {
		return err
	}
	if body, err = c.readPassword(); err != nil {
		return err
	}
	reply, err = conv.Step(string(body))
	if err != nil || !conv.Valid() {
		return c.rejectPassword(eris.New("password does not match"))
	}
	return c.conn.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(reply)})
}

func (c *session) readPassword() ([]byte, error) {
	f, err := c.conn.ReadFrame()
	if err != nil {
		return nil, err
	}
	if f.Type != 'p' {
		return nil, c.rejectPassword(eris.New("expected a password message"))
	}
	return f.Body, nil
}

// rejectPassword sends the same error for every cause, so that a caller cannot
// find out which names exist.
func (c *session) rejectPassword(cause error) error {
	c.fatal(errs.New(errs.NotRun, errs.ReasonAuthentication, "password authentication failed for user \""+c.caller+"\""))
	return cause
}

// serverParameters are reported to every caller.
var serverParameters = []pgproto3.ParameterStatus{
	{Name: "server_version", Value: "16.0 (tamarackcross)"},
	{Name: "server_encoding", Value: "UTF8"},
	{Name: "client_encoding", Value: "UTF8"},
	{Name: "DateStyle", Value: "ISO, MDY"},
	{Name: "integer_datetimes", Value: "on"},
	{Name: "standard_conforming_strings", Value: "on"},
	{Name: "TimeZone", Value: "UTC"},
}

// welcome completes the startup.
func (s *Server) welcome(c *session) error {
	c.pid = s.nextPID.Add(1)
	if _, err := crand.Read(c.secret[:]); err != nil {
		return err
	}
	if err := c.conn.Send(&pgproto3.AuthenticationOk{}); err != nil {
		return err
	}
	for i := range serverParameters {
		if err := c.conn.Send(&serverParameters[i]); err != nil {
			return err
		}
	}
	if err := c.reportToken(); err != nil {
		return err
	}
	return c.sendNow(
		&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: c.secret[:]},
		&pgproto3.ReadyForQuery{TxStatus: statusIdle},
	)
}

// cancel passes a cancel request on to the backend server that runs the
// statement. The protocol gives no answer to it.
func (s *Server) cancel(ctx context.Context, body []byte) {
	var msg pgproto3.CancelRequest
	if err := msg.Decode(body); err != nil {
		return
	}
	c := s.lookup(msg.ProcessID)
	if c == nil || string(c.secret[:]) != string(msg.SecretKey) {
		return
	}
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	c.cancelRunning(ctx)
}

// callerParameter reports whether a startup parameter is a session setting of
// the backend server.
func callerParameter(name string) bool {
	switch strings.ToLower(name) {
	case "user", "database", "options", "replication", "client_encoding", "application_name":
		return false
	}
	return !strings.HasPrefix(name, "_pq_.")
}
