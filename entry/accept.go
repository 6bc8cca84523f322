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

// Request codes that a startup packet carries in place of a protocol version.
const (
	codeCancel = 80877102
	codeSSL    = 80877103
	codeGSS    = 80877104
)

const (
	scramMechanism = "SCRAM-SHA-256"
	maxAuthMessage = 4 << 10 // bytes of a message before the caller is authenticated
)

// Conversation is the server side of one SCRAM exchange. Step processes a message
// of the client and returns the answer; Valid reports whether the client has
// proved that it knows the password.
type Conversation interface {
	Step(message string) (string, error)
	Valid() bool
}

// Authenticator starts the SCRAM exchange of a caller.
type Authenticator interface {
	Start(user string) (Conversation, error)
}

// errSessionEnded ends the loop of a session that has nothing left to answer.
var errSessionEnded = eris.New("session ended")

// handle serves one caller connection until it is closed.
func (s *Server) handle(ctx context.Context, nc net.Conn) {
	defer nc.Close()
	open := s.stats.CallerOpened()
	defer s.stats.CallerClosed()
	_ = nc.SetDeadline(time.Now().Add(s.policies.Resolve(fleet.Scope{}).HandshakeLimit))
	c, err := s.startSession(ctx, nc, open)
	if err != nil {
		return
	}
	_ = nc.SetDeadline(time.Time{})
	c.conn.SetWriteTimeout(s.stallLimit)
	s.addSession(c)
	defer s.removeSession(c)
	c.serve(s.ctx)
}

// startSession runs the startup and authentication of a connection up to its
// first ReadyForQuery. A shutdown does not wait for connections in this phase;
// closing the server closes them.
func (s *Server) startSession(ctx context.Context, nc net.Conn, open int64) (*session, error) {
	stop := context.AfterFunc(s.ctx, func() { _ = nc.Close() })
	defer stop()
	c, err := s.readStartup(ctx, nc)
	if err != nil {
		return nil, err
	}
	if s.draining.Load() {
		c.fatal(errs.New(errs.NotRun, errs.ReasonShutdown, "instance is shutting down"))
		return nil, errSessionEnded
	}
	if open > int64(s.maxCallers) {
		c.fatal(errs.New(errs.NotRun, errs.ReasonTooManyCallers, "too many caller connections"))
		return nil, errSessionEnded
	}
	return c, s.finishStartup(c)
}

// readStartup reads messages up to the startup message, answering the requests for
// encryption that may precede it. A cancel request takes the place of the startup
// message and ends the connection.
func (s *Server) readStartup(ctx context.Context, nc net.Conn) (*session, error) {
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
			return nil, errSessionEnded
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
	c := &session{srv: s, conn: wire.NewConn(nc, wire.WithMaxFrame(maxAuthMessage)), settings: defaultSettings(), startSettings: defaultSettings(), status: statusIdle}
	var msg pgproto3.StartupMessage
	if err := msg.Decode(body); err != nil {
		c.fatal(errs.New(errs.NotRun, errs.ReasonProtocol, "malformed startup message"))
		return nil, err
	}
	if s.tls != nil && !secure {
		e := errs.New(errs.NotRun, errs.ReasonProtocol, "this instance requires TLS", errs.WithSQLState("28000"))
		c.fatal(e)
		return nil, e
	}
	if msg.ProtocolVersion != pgproto3.ProtocolVersion30 {
		if err := c.conn.Send(&pgproto3.NegotiateProtocolVersion{NewestMinorProtocol: 0}); err != nil {
			return nil, err
		}
	}
	if err := c.readIdentity(msg.Parameters); err != nil {
		c.fatal(asError(err))
		return nil, err
	}
	if err := c.authenticate(); err != nil {
		s.log.Info().Str("caller", c.caller).Str("peer", nc.RemoteAddr().String()).Msg("caller authentication failed; connection closed")
		return nil, err
	}
	// After authentication only, because the error reveals which databases exist.
	if err := c.applyStartupSettings(msg.Parameters); err != nil {
		c.fatal(asError(err))
		return nil, err
	}
	c.conn.SetMaxFrame(s.policies.Resolve(fleet.Scope{}).MaxMessageBytes)
	return c, nil
}

// authenticate runs the SCRAM exchange.
func (c *session) authenticate() error {
	if c.srv.auth == nil {
		return nil
	}
	conv, err := c.srv.auth.Start(c.caller)
	if err != nil {
		return c.refuseAuthentication(err)
	}
	if err := c.sendNow(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}}); err != nil {
		return err
	}
	body, err := c.readAuthMessage()
	if err != nil {
		return err
	}
	var first pgproto3.SASLInitialResponse
	if err := first.Decode(body); err != nil || first.AuthMechanism != scramMechanism {
		return c.refuseAuthentication(eris.New("unexpected SASL mechanism"))
	}
	reply, err := conv.Step(string(first.Data))
	if err != nil {
		return c.refuseAuthentication(err)
	}
	if err := c.sendNow(&pgproto3.AuthenticationSASLContinue{Data: []byte(reply)}); err != nil {
		return err
	}
	if body, err = c.readAuthMessage(); err != nil {
		return err
	}
	reply, err = conv.Step(string(body))
	if err != nil || !conv.Valid() {
		return c.refuseAuthentication(eris.New("password does not match"))
	}
	return c.conn.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(reply)})
}

func (c *session) readAuthMessage() ([]byte, error) {
	f, err := c.conn.ReadFrame()
	if err != nil {
		return nil, err
	}
	if f.Type != 'p' {
		return nil, c.refuseAuthentication(eris.New("expected a password message"))
	}
	return f.Body, nil
}

// refuseAuthentication sends the same error for every cause, so that a caller
// cannot find out which user names exist.
func (c *session) refuseAuthentication(cause error) error {
	c.fatal(errs.New(errs.NotRun, errs.ReasonAuthentication, "password authentication failed for user \""+c.caller+"\""))
	return cause
}

// serverParameters are the parameters reported to every caller after startup.
var serverParameters = []pgproto3.ParameterStatus{
	{Name: "server_version", Value: "16.0 (tamarackcross)"},
	{Name: "server_encoding", Value: "UTF8"},
	{Name: "client_encoding", Value: "UTF8"},
	{Name: "DateStyle", Value: "ISO, MDY"},
	{Name: "integer_datetimes", Value: "on"},
	{Name: "standard_conforming_strings", Value: "on"},
	{Name: "TimeZone", Value: "UTC"},
}

// finishStartup creates the cancel key of the session and sends the messages that
// end the startup phase.
func (s *Server) finishStartup(c *session) error {
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

// cancel forwards a cancel request to the backend server that runs the statement.
// The protocol defines no answer to it.
func (s *Server) cancel(ctx context.Context, body []byte) {
	var msg pgproto3.CancelRequest
	if err := msg.Decode(body); err != nil {
		return
	}
	c := s.sessionByPID(msg.ProcessID)
	if c == nil || string(c.secret[:]) != string(msg.SecretKey) {
		return
	}
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	c.cancelRunning(ctx)
}

// isSessionSetting reports whether a startup parameter is a session setting, of
// the proxy or of the backend server.
func isSessionSetting(name string) bool {
	switch strings.ToLower(name) {
	case "user", "database", "options", "replication", "client_encoding", "application_name":
		return false
	}
	return !strings.HasPrefix(name, "_pq_.")
}
