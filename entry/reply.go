package entry

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"tamarackcross/errs"
	"tamarackcross/group"
)

const textOID = 25

// send buffers messages for the caller.
func (c *session) send(msgs ...pgproto3.Message) error { return c.conn.Send(msgs...) }

// flush writes the buffered messages. It fails if the caller reads nothing for the
// stall limit; the session then ends and frees its memory and backend connection.
func (c *session) flush() error { return c.conn.Flush() }

func (c *session) sendNow(msgs ...pgproto3.Message) error {
	if err := c.send(msgs...); err != nil {
		return err
	}
	return c.conn.Flush()
}

func (c *session) ready() *pgproto3.ReadyForQuery {
	return &pgproto3.ReadyForQuery{TxStatus: c.status}
}

// replyError answers the request with an error, followed by ReadyForQuery if ready is
// set.
func (c *session) replyError(e *errs.Error, ready bool) error {
	c.srv.recordRefusal(e, c.database)
	if err := c.send(errorResponse(e, "ERROR")); err != nil {
		return err
	}
	if !ready {
		return c.flush()
	}
	return c.send(c.ready())
}

// refuse answers a request with an error of the proxy. An open transaction fails, as
// the protocol requires: its connection is closed, so that it cannot be committed,
// and the caller must end it before other statements run.
func (c *session) refuse(e *errs.Error, ready bool) error {
	if c.tx != nil {
		c.txLost = !c.tx.implicit
		c.dropTx()
	}
	c.status = c.statusWithoutTx()
	c.skipToSync = !ready
	return c.replyError(e, ready)
}

// statusWithoutTx returns the transaction status while no backend connection is held.
func (c *session) statusWithoutTx() byte {
	if c.txLost {
		return statusFailed
	}
	return statusIdle
}

// fatal sends the caller the reason why its connection is closed. Errors are ignored,
// because the connection is closed in any case.
func (c *session) fatal(e *errs.Error) {
	c.srv.recordRefusal(e, c.database)
	c.conn.SetWriteTimeout(finalMessageTimeout)
	_ = c.sendNow(errorResponse(e, "FATAL"))
}

const finalMessageTimeout = time.Second // for the last message to a caller

func errorResponse(e *errs.Error, severity string) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                e.SQLState(),
		Message:             e.Text(),
		Detail:              e.Detail(),
	}
}

func textColumn(name string) *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte(name), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1,
	}}}
}

// raisePosition records that the session saw data as of p. Later reads must not be
// older.
func (c *session) raisePosition(p group.Position) {
	if old, ok := c.vector.At(c.database); ok && !old.Less(p) {
		return
	}
	c.vector = c.vector.With(c.database, p)
	c.tokenChanged = true
}

// reportToken sends the session token if it has changed since it was last sent.
func (c *session) reportToken() error {
	if !c.tokenChanged {
		return nil
	}
	c.tokenChanged = false
	text, err := c.srv.codec.Encode(c.vector)
	if err != nil {
		return err
	}
	if text == c.reportedToken {
		return nil
	}
	c.reportedToken = text
	return c.send(&pgproto3.ParameterStatus{Name: settingToken, Value: text})
}

// asError converts an error to an errs.Error. An error of another type occurred
// before anything was sent to a backend server, so its outcome is not_run.
func asError(err error) *errs.Error {
	if e := errs.As(err); e != nil {
		return e
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return errs.New(errs.NotRun, errs.ReasonDeadline, "request could not start before its deadline")
	}
	if errors.Is(err, context.Canceled) {
		return errs.New(errs.NotRun, errs.ReasonShutdown, "instance is shutting down")
	}
	return errs.New(errs.NotRun, errs.ReasonConnect, err.Error())
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
