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

const cancelTimeout = 2 * time.Second // for a cancel request to reach a backend server

// session is one caller connection. All fields but those under mu belong to the
// goroutine that serves it.
type session struct {
	srv      *Server
	conn     *wire.Conn
	caller   string
	database string
	pid      uint32
	secret   [4]byte

	set      settings
	start    settings // set by the startup message; RESET returns to them
	vars     sessionVars
	vector   token.Vector
	reported string // token that the caller knows
	// unreported is set while the token may differ from the reported one.
	unreported bool
	stmts      map[string]*prepared
	portals    map[string]*prepared
	batch      []message // messages of the extended protocol since the last Sync
	skipping   bool      // an error occurred; messages are dropped until Sync
	status     byte
	tx         *openTx
	lost       bool // the transaction of the caller failed and its connection is gone

	mu      sync.Mutex
	running *backendConn // the connection on which a request executes
	idle    bool         // waits for a request outside a transaction
}

// openTx is a transaction that is open on a backend connection.
type openTx struct {
	conn  *backendConn
	wrote bool
	pins  bool        // a statement left state on the connection
	vars  sessionVars // settings if the transaction commits

	failed   bool // a statement failed
	unsynced bool // a Flush came; the backend server waits for Sync
	implicit bool // opened by a Flush, ends at Sync
}

// prepared is a statement that a session prepared.
type prepared struct {
	server string // name on backend connections
	parse  []byte // body of the Parse message with that name
	stmts  shape.Statement
}

// message is a message of the extended protocol, copied from the caller.
type message struct {
	typ    byte
	body   []byte
	stmt   *prepared // statement that the message is about, if any
	target byte      // 'S' or 'P' of Describe and Close
	name   string    // statement or portal name of Describe and Close

	answered bool // the last frame of its answer came
}

// serve reads requests until the caller leaves or the instance stops.
func (c *session) serve(ctx context.Context) {
	defer c.release()
	for {
		if err := c.next(ctx); err != nil {
			return
		}
	}
}

// next reads one message and acts on it.
func (c *session) next(ctx context.Context) error {
	f, err := c.await(ctx)
	if err != nil {
		return err
	}
	defer c.srv.busy.Add(-1)
	switch f.Type {
	case 'Q':
		c.batch, c.skipping = nil, false
		return c.query(ctx, cString(f.Body))
	case 'P', 'B', 'D', 'E', 'C':
		return c.collect(f)
	case 'H':
		return c.flushBatch(ctx)
	case 'S':
		return c.sync(ctx)
	case 'd', 'c', 'f':
		return nil // COPY data after COPY was refused
	case 'X':
		return errDone
	default:
		e := errs.New(errs.NotRun, errs.ReasonUnsupported, "message type is not supported by the proxy")
		c.fatal(e)
		return e
	}
}

// await waits for the next message. While it waits outside a transaction and a
// batch the session holds no buffers and may be ended by a shutdown.
func (c *session) await(ctx context.Context) (wire.Frame, error) {
	if !c.conn.HasFrame() {
		if err := c.rest(); err != nil {
			return wire.Frame{}, err
		}
	}
	f, err := c.conn.ReadFrame()
	c.setIdle(false)
	if err != nil {
		c.readFailed(err)
		return wire.Frame{}, err
	}
	c.srv.busy.Add(1)
	return f, ctx.Err()
}

// rest prepares for a wait of unknown length. Between transactions the session
// keeps its buffers for a moment: a busy caller then costs one read per request
// instead of two, and an idle one little memory.
func (c *session) rest() error {
	if err := c.flush(); err != nil {
		return err
	}
	if c.tx == nil && len(c.batch) == 0 {
		if err := c.enterIdle(); err != nil {
			return err
		}
		err := c.conn.WaitReadable(time.Now().Add(bufferIdle))
		c.setIdle(false)
		if err == nil {
			return c.conn.SetReadDeadline(time.Time{})
		}
	}
	if err := c.boundIdle(); err != nil {
		return err
	}
	if err := c.enterIdle(); err != nil {
		return err
	}
	c.conn.Idle()
	return nil
}

// bufferIdle is how long an idle session keeps its buffers.
const bufferIdle = 200 * time.Millisecond

// enterIdle lets a shutdown end the session while it waits, unless a request is
// not complete. It fails when the instance is shutting down already.
func (c *session) enterIdle() error {
	if c.setIdle(c.tx == nil && len(c.batch) == 0) {
		return nil
	}
	c.fatal(errs.New(errs.NotRun, errs.ReasonShutdown, "instance is shutting down"))
	return errDone
}

// boundIdle limits the wait inside a transaction, which holds a connection, and
// lifts the limit of an earlier one. It comes before setIdle, since a shutdown
// ends an idle session by its deadline.
func (c *session) boundIdle() error {
	if c.tx == nil {
		return c.conn.SetReadDeadline(time.Time{})
	}
	return c.conn.SetReadDeadline(time.Now().Add(c.srv.idleTxLimit))
}

// readFailed tells the caller why its connection ends, where it can know.
func (c *session) readFailed(err error) {
	switch {
	case err == wire.ErrTooLarge:
		c.fatal(errs.New(errs.NotRun, errs.ReasonTooLarge, "message is over the size limit"))
	case err == wire.ErrBadFrame:
		c.fatal(errs.New(errs.NotRun, errs.ReasonProtocol, "message length is invalid"))
	case c.srv.draining.Load():
		c.fatal(errs.New(errs.NotRun, errs.ReasonShutdown, "instance is shutting down"))
	case c.tx != nil && isTimeout(err):
		c.fatal(errs.New(errs.NotRun, errs.ReasonIdle, "transaction was idle for too long"))
	}
}

// setIdle records whether a shutdown may end the session now. It reports false
// when the session is idle and the instance is shutting down.
func (c *session) setIdle(idle bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = idle
	return !idle || !c.srv.draining.Load()
}

// endIfIdle ends the session if no request is in flight. The deadline wakes the
// goroutine that serves the session, which says goodbye to the caller.
func (c *session) endIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// release ends an open transaction by closing its connection; the backend
// server rolls it back.
func (c *session) release() {
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

func (c *session) setRunning(b *backendConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = b
}

func (c *session) cancelRunning(ctx context.Context) {
	c.mu.Lock()
	b := c.running
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

// query serves a simple query.
func (c *session) query(ctx context.Context, sql string) error {
	stmts := shape.Split(sql)
	rest := stmts
	for len(rest) > 0 && c.local(rest[0]) {
		if err := c.runLocal(ctx, rest[0], true); err != nil {
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
		if c.local(st) {
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

// local reports whether the proxy answers the statement itself.
func (c *session) local(st shape.Statement) bool {
	return (st.Kind() == shape.Set || st.Kind() == shape.Show) && st.Own()
}

// runLocal answers SET and SHOW of the settings of the proxy.
func (c *session) runLocal(ctx context.Context, st shape.Statement, describe bool) error {
	name := strings.ToLower(st.Name())
	if st.Kind() == shape.Set {
		if err := c.changeOwn(name, st); err != nil {
			return err
		}
		return c.send(&pgproto3.CommandComplete{CommandTag: []byte(setTag(st))})
	}
	value, err := c.showOwn(ctx, name)
	if err != nil {
		return err
	}
	if describe {
		if err := c.send(describeText(name)); err != nil {
			return err
		}
	}
	return c.send(
		&pgproto3.DataRow{Values: [][]byte{[]byte(value)}},
		&pgproto3.CommandComplete{CommandTag: []byte("SHOW")},
	)
}

func setTag(st shape.Statement) string {
	if st.Reset() {
		return "RESET"
	}
	return "SET"
}

func (c *session) changeOwn(name string, st shape.Statement) error {
	if !st.Reset() {
		return c.changeSetting(name, st.Value())
	}
	if name == settingToken {
		return errs.New(errs.NotRun, errs.ReasonBadSetting, "the session token cannot be reset")
	}
	value, ok := c.start.get(name)
	if !ok {
		return errs.New(errs.NotRun, errs.ReasonBadSetting, "unknown setting "+name)
	}
	return c.set.set(name, value)
}

func (c *session) showOwn(ctx context.Context, name string) (string, error) {
	switch name {
	case settingToken:
		return c.srv.codec.Encode(c.vector)
	case settingOutcome:
		return c.outcome(ctx)
	}
	value, ok := c.set.get(name)
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
