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

// send buffers messages to the caller.
func (c *session) send(msgs ...pgproto3.Message) error { return c.conn.Send(msgs...) }

// flush writes what is buffered. A caller that takes nothing for the stall limit
// ends its session, so that it cannot hold memory or a backend connection.
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

// replyError answers the request with an error. The transaction status follows
// from what is open.
func (c *session) replyError(e *errs.Error, ready bool) error {
	c.srv.refuse(e, c.database)
	if err := c.send(errorResponse(e, "ERROR")); err != nil {
		return err
	}
	if !ready {
		return c.flush()
	}
	return c.send(c.ready())
}

// refuse answers a request that was not run with an error. A transaction fails
// with it, as the protocol asks: its connection is closed, so nothing of it can
// be committed, and the caller must end it before anything else runs.
func (c *session) refuse(e *errs.Error, ready bool) error {
	if c.tx != nil {
		c.lost = !c.tx.implicit
		c.dropTx()
	}
	c.status = c.outside()
	c.skipping = !ready
	return c.replyError(e, ready)
}

// outside is the transaction status when no connection is held.
func (c *session) outside() byte {
	if c.lost {
		return statusFailed
	}
	return statusIdle
}

// fatal tells the caller why its connection ends. Errors while doing so change
// nothing: the connection is closed in any case.
func (c *session) fatal(e *errs.Error) {
	c.srv.refuse(e, c.database)
	c.conn.LimitWrites(goodbyeTimeout)
	_ = c.sendNow(errorResponse(e, "FATAL"))
}

const goodbyeTimeout = time.Second // for the last message to a caller

func errorResponse(e *errs.Error, severity string) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                e.State(),
		Message:             e.Text(),
		Detail:              e.Detail(),
	}
}

func describeText(name string) *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte(name), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1,
	}}}
}

// raise records that the session saw p.
func (c *session) raise(p group.Position) {
	if old, ok := c.vector.At(c.database); ok && !old.Less(p) {
		return
	}
	c.vector = c.vector.With(c.database, p)
	c.unreported = true
}

// reportToken sends the session token if the caller does not know it yet.
func (c *session) reportToken() error {
	if !c.unreported {
		return nil
	}
	c.unreported = false
	text, err := c.srv.codec.Encode(c.vector)
	if err != nil {
		return err
	}
	if text == c.reported {
		return nil
	}
	c.reported = text
	return c.send(&pgproto3.ParameterStatus{Name: settingToken, Value: text})
}

// asError gives any error an outcome. What carries none failed before anything
// was sent to a backend server.
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
