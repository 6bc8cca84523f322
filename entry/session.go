package entry

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"tamarackcross/errs"
	"tamarackcross/fleet"
	"tamarackcross/shape"
	"tamarackcross/token"
	"tamarackcross/wire"
)

// Transaction status bytes of ReadyForQuery.
const (
	statusIdle   = 'I'
	statusTx     = 'T'
	statusFailed = 'E'
)

const cancelTimeout = 2 * time.Second // for sending a cancel request to a backend server

// session is one caller connection. The fields below mu are guarded by it; all
// others are used only by the goroutine that serves the session.
type session struct {
	srv      *Server
	conn     *wire.Conn
	caller   string
	database string
	pid      uint32
	secret   [4]byte

	settings      settings
	startSettings settings // from the startup message; RESET restores them
	vars          sessionVars
	vector        token.Vector // newest position of each database that the session saw
	reportedToken string       // last token sent to the caller
	// tokenChanged is set while the token may differ from reportedToken.
	tokenChanged bool
	stmts        map[string]*prepared
	portals      map[string]*prepared
	batch        []message // messages of the extended protocol since the last Sync
	skipToSync   bool      // after an error, messages are dropped until Sync
	status       byte
	tx           *openTx
	txLost       bool // the transaction failed and its backend connection is closed

	mu          sync.Mutex
	runningConn *backendConn // the backend connection in use, for cancel requests
	idle        bool         // no request, batch or transaction is open; a shutdown may end the session
}

// openTx is a transaction of the session that is open on a backend connection.
type openTx struct {
	conn  *backendConn
	wrote bool
	pins  bool        // a statement left state on the connection that outlasts the transaction
	vars  sessionVars // settings of the session once the transaction commits

	failed     bool // a statement failed
	awaitsSync bool // a Flush was sent; the backend server waits for Sync
	implicit   bool // opened by a Flush without BEGIN; ends at Sync
}

// prepared is a statement that a session prepared.
type prepared struct {
	backendName string // name under which it is prepared on backend connections
	parseBody   []byte // body of the Parse message with that name
	stmt        shape.Statement
}

// message is a message of the extended protocol, copied from the caller.
type message struct {
	typ    byte
	body   []byte
	stmt   *prepared // statement that the message refers to, if any
	target byte      // 'S' or 'P' of Describe and Close
	name   string    // statement or portal name of Describe and Close

	answered bool // its answer was received completely
}

// serve handles messages until the caller disconnects or the instance stops.
func (c *session) serve(ctx context.Context) {
	defer c.close()
	for {
		if err := c.serveMessage(ctx); err != nil {
			return
		}
	}
}

// serveMessage reads and handles one message. An error ends the session.
func (c *session) serveMessage(ctx context.Context) error {
	f, err := c.awaitMessage(ctx)
	if err != nil {
		return err
	}
	defer c.srv.inFlight.Add(-1)
	switch f.Type {
	case 'Q':
		c.batch, c.skipToSync = nil, false
		return c.query(ctx, cString(f.Body))
	case 'P', 'B', 'D', 'E', 'C':
		return c.collect(f)
	case 'H':
		return c.flushBatch(ctx)
	case 'S':
		return c.sync(ctx)
	case 'd', 'c', 'f':
		return nil // data of a COPY that was refused
	case 'X':
		return errSessionEnded
	default:
		e := errs.New(errs.NotRun, errs.ReasonUnsupported, "message type is not supported by the proxy")
		c.fatal(e)
		return e
	}
}

// awaitMessage waits for the next message. A session that waits gives up its
// buffers. Outside a transaction or batch it may also be ended by a shutdown.
func (c *session) awaitMessage(ctx context.Context) (wire.Frame, error) {
	if !c.conn.HasFrame() {
		if err := c.prepareToWait(); err != nil {
			return wire.Frame{}, err
		}
	}
	f, err := c.conn.ReadFrame()
	c.setIdle(false)
	if err != nil {
		c.reportReadError(err)
		return wire.Frame{}, err
	}
	c.srv.inFlight.Add(1)
	return f, ctx.Err()
}

// prepareToWait sends the buffered answers and prepares for a wait of unknown
// length. Between transactions the session first waits for idleBufferTimeout with
// its buffers: a busy caller then costs one read per request instead of two, and
// an idle one little memory.
func (c *session) prepareToWait() error {
	if err := c.flush(); err != nil {
		return err
	}
	if c.tx == nil && len(c.batch) == 0 {
		if err := c.enterIdle(); err != nil {
			return err
		}
		err := c.conn.WaitReadable(time.Now().Add(idleBufferTimeout))
		c.setIdle(false)
		if err == nil {
			return c.conn.SetReadDeadline(time.Time{})
		}
	}
	if err := c.setIdleDeadline(); err != nil {
		return err
	}
	if err := c.enterIdle(); err != nil {
		return err
	}
	c.conn.ReleaseBuffers()
	return nil
}

// idleBufferTimeout is how long an idle session keeps its buffers.
const idleBufferTimeout = 200 * time.Millisecond

// enterIdle lets a shutdown end the session while it waits, unless a batch or
// transaction is open. It ends the session if the instance is already shutting
// down.
func (c *session) enterIdle() error {
	if c.setIdle(c.tx == nil && len(c.batch) == 0) {
		return nil
	}
	c.fatal(errs.New(errs.NotRun, errs.ReasonShutdown, "instance is shutting down"))
	return errSessionEnded
}

// setIdleDeadline limits the wait for the next message inside a transaction, which
// holds a backend connection, and clears the limit otherwise. It must be called
// before setIdle, because a shutdown ends idle sessions by setting the read
// deadline.
func (c *session) setIdleDeadline() error {
	if c.tx == nil {
		return c.conn.SetReadDeadline(time.Time{})
	}
	return c.conn.SetReadDeadline(time.Now().Add(c.srv.idleTransactionLimit))
}

// reportReadError sends the caller the reason why its connection is closed, unless
// the connection itself failed.
func (c *session) reportReadError(err error) {
	switch {
	case err == wire.ErrTooLarge:
		c.fatal(errs.New(errs.NotRun, errs.ReasonTooLarge, "message is over the size limit"))
	case err == wire.ErrBadFrame:
		c.fatal(errs.New(errs.NotRun, errs.ReasonProtocol, "message length is invalid"))
	case c.srv.draining.Load():
		c.fatal(errs.New(errs.NotRun, errs.ReasonShutdown, "instance is shutting down"))
	case c.tx != nil && isTimeout(err):
		c.fatal(errs.New(errs.NotRun, errs.ReasonIdleTransaction, "transaction was idle for too long"))
	}
}

// setIdle records whether a shutdown may end the session now. It returns false
// if the session would become idle while the instance is shutting down.
func (c *session) setIdle(idle bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = idle
	return !idle || !c.srv.draining.Load()
}

// endIfIdle ends the session if no request is in flight. The expired read deadline
// wakes the goroutine of the session, which sends the reason to the caller.
func (c *session) endIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// close closes the session. An open transaction is rolled back by the backend
// server, because its connection is closed.
func (c *session) close() {
	c.dropTx()
	_ = c.conn.Close()
}

// dropTx closes the connection of the open transaction, if there is one.
func (c *session) dropTx() {
	if c.tx == nil {
		return
	}
	c.tx.conn.tainted = true
	c.tx.conn.member.put(c.tx.conn)
	c.tx = nil
}

func (c *session) setRunningConn(b *backendConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runningConn = b
}

func (c *session) cancelRunning(ctx context.Context) {
	c.mu.Lock()
	b := c.runningConn
	if b != nil {
		b.cancelled.Store(true)
	}
	c.mu.Unlock()
	if b != nil {
		_ = b.cancel(ctx)
	}
}

func (c *session) scope(fingerprint uint64) fleet.Scope {
	return fleet.Scope{Database: c.database, Caller: c.caller, Fingerprint: fingerprint}
}

// query runs a simple query. The proxy answers SET and SHOW of its own settings at
// the start of the query string itself and sends the rest to a backend server.
func (c *session) query(ctx context.Context, sql string) error {
	stmts := shape.Split(sql)
	rest := stmts
	for len(rest) > 0 && c.isProxyStatement(rest[0]) {
		if err := c.runProxyStatement(ctx, rest[0], true); err != nil {
			return c.refuse(asError(err), true)
		}
		rest = rest[1:]
	}
	if len(stmts) == 0 {
		if err := c.send(&pgproto3.EmptyQueryResponse{}); err != nil {
			return err
		}
	}
	if len(rest) == 0 {
		return c.endBatch(ctx)
	}
	for _, st := range rest {
		if c.isProxyStatement(st) {
			e := errs.New(errs.NotRun, errs.ReasonUnsupported, "settings of the proxy must come first in a query string")
			return c.refuse(e, true)
		}
	}
	if len(rest) < len(stmts) {
		texts := make([]string, len(rest))
		for i, st := range rest {
			texts[i] = st.Text()
		}
		sql = strings.Join(texts, ";")
	}
	req := c.newRequest(rest)
	req.simple = sql
	return c.run(ctx, req)
}

// isProxyStatement reports whether the proxy answers the statement itself.
func (c *session) isProxyStatement(st shape.Statement) bool {
	return (st.Kind() == shape.Set || st.Kind() == shape.Show) && st.IsProxySetting()
}

// runProxyStatement answers SET and SHOW of the settings of the proxy.
func (c *session) runProxyStatement(ctx context.Context, st shape.Statement, describe bool) error {
	name := strings.ToLower(st.Name())
	if st.Kind() == shape.Set {
		if err := c.runProxySet(name, st); err != nil {
			return err
		}
		return c.send(&pgproto3.CommandComplete{CommandTag: []byte(setCommandTag(st))})
	}
	value, err := c.proxySettingValue(ctx, name)
	if err != nil {
		return err
	}
	if describe {
		if err := c.send(textColumn(name)); err != nil {
			return err
		}
	}
	return c.send(
		&pgproto3.DataRow{Values: [][]byte{[]byte(value)}},
		&pgproto3.CommandComplete{CommandTag: []byte("SHOW")},
	)
}

func setCommandTag(st shape.Statement) string {
	if st.Reset() {
		return "RESET"
	}
	return "SET"
}

func (c *session) runProxySet(name string, st shape.Statement) error {
	if !st.Reset() {
		return c.setProxySetting(name, st.Value())
	}
	if name == settingToken {
		return errs.New(errs.NotRun, errs.ReasonBadSetting, "the session token cannot be reset")
	}
	value, ok := c.startSettings.get(name)
	if !ok {
		return errs.New(errs.NotRun, errs.ReasonBadSetting, "unknown setting "+name)
	}
	return c.settings.set(name, value)
}

func (c *session) proxySettingValue(ctx context.Context, name string) (string, error) {
	switch name {
	case settingToken:
		return c.srv.codec.Encode(c.vector)
	case settingOutcome:
		return c.keyOutcome(ctx)
	}
	value, ok := c.settings.get(name)
	if !ok {
		return "", errs.New(errs.NotRun, errs.ReasonBadSetting, "unknown setting "+name)
	}
	return value, nil
}

func cString(b []byte) string {
	if n := len(b); n > 0 && b[n-1] == 0 {
		b = b[:n-1]
	}
	return string(b)
}
