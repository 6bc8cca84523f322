package entry

import (
	"context"
	"fmt"
	"hash/fnv"
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"

	"tamarackcross/errs"
	"tamarackcross/shape"
	"tamarackcross/wire"
)

// Limits of what a session may keep at the entry.
const (
	maxStatements = 1024    // prepared statements of a session
	maxBatch      = 1024    // messages before a Sync
	maxBatchBytes = 4 << 20 // bytes of the messages before a Sync
)

// collect adds a message of the extended protocol to the batch. The batch is
// sent at Sync or Flush.
func (c *session) collect(f wire.Frame) error {
	if c.skipping {
		return nil
	}
	m, err := c.decode(f)
	if err != nil {
		return c.failBatch(asError(err))
	}
	if len(c.batch) >= maxBatch || batchBytes(c.batch)+len(m.body) > maxBatchBytes {
		return c.failBatch(errs.New(errs.NotRun, errs.ReasonTooLarge, "too many messages before Sync"))
	}
	c.batch = append(c.batch, m)
	return nil
}

func batchBytes(batch []message) int {
	n := 0
	for _, m := range batch {
		n += len(m.body)
	}
	return n
}

func (c *session) decode(f wire.Frame) (message, error) {
	malformed := errs.New(errs.NotRun, errs.ReasonProtocol, "malformed message")
	switch f.Type {
	case 'P':
		var p pgproto3.Parse
		if err := p.Decode(f.Body); err != nil {
			return message{}, malformed
		}
		return c.decodeParse(p)
	case 'B':
		var b pgproto3.Bind
		if err := b.Decode(f.Body); err != nil {
			return message{}, malformed
		}
		return c.decodeBind(b)
	case 'D':
		var d pgproto3.Describe
		if err := d.Decode(f.Body); err != nil {
			return message{}, malformed
		}
		return c.decodeTarget('D', d.ObjectType, d.Name)
	case 'C':
		var d pgproto3.Close
		if err := d.Decode(f.Body); err != nil {
			return message{}, malformed
		}
		return c.decodeTarget('C', d.ObjectType, d.Name)
	default:
		var e pgproto3.Execute
		if err := e.Decode(f.Body); err != nil {
			return message{}, malformed
		}
		st, ok := c.portals[e.Portal]
		if !ok {
			return message{}, noSuch("portal", e.Portal, "34000")
		}
		return message{typ: 'E', body: slices.Clone(f.Body), stmt: st}, nil
	}
}

// decodeParse remembers the statement under its name. On backend connections
// it gets a name made of its text, so that sessions share it.
func (c *session) decodeParse(p pgproto3.Parse) (message, error) {
	if c.stmts == nil {
		c.stmts = make(map[string]*prepared)
	}
	if _, ok := c.stmts[p.Name]; ok && p.Name != "" {
		return message{}, errs.New(errs.NotRun, errs.ReasonProtocol,
			fmt.Sprintf("prepared statement %q already exists", p.Name), errs.WithState("42P05"))
	}
	if len(c.stmts) >= maxStatements {
		return message{}, errs.New(errs.NotRun, errs.ReasonTooLarge, "too many prepared statements")
	}
	st := &prepared{server: serverName(p), stmts: shape.Classify(p.Query)}
	if len(shape.Split(p.Query)) > 1 {
		return message{}, errs.New(errs.NotRun, errs.ReasonProtocol,
			"cannot insert multiple commands into a prepared statement", errs.WithState("42601"))
	}
	renamed := pgproto3.Parse{Name: st.server, Query: p.Query, ParameterOIDs: p.ParameterOIDs}
	frame, err := renamed.Encode(nil)
	if err != nil {
		return message{}, err
	}
	st.parse = frame[5:]
	c.stmts[p.Name] = st
	return message{typ: 'P', body: st.parse, stmt: st}, nil
}

// serverName derives the name of a statement on backend connections.
func serverName(p pgproto3.Parse) string {
	h := fnv.New128a()
	_, _ = h.Write([]byte(p.Query))
	for _, oid := range p.ParameterOIDs {
		_, _ = h.Write([]byte{byte(oid >> 24), byte(oid >> 16), byte(oid >> 8), byte(oid)})
	}
	return fmt.Sprintf("tc_%x", h.Sum(nil))
}

func (c *session) decodeBind(b pgproto3.Bind) (message, error) {
	st, ok := c.stmts[b.PreparedStatement]
	if !ok {
		return message{}, noSuch("prepared statement", b.PreparedStatement, "26000")
	}
	if c.portals == nil {
		c.portals = make(map[string]*prepared)
	}
	if len(c.portals) >= maxStatements {
		return message{}, errs.New(errs.NotRun, errs.ReasonTooLarge, "too many portals")
	}
	c.portals[b.DestinationPortal] = st
	b.PreparedStatement = st.server
	frame, err := b.Encode(nil)
	if err != nil {
		return message{}, err
	}
	return message{typ: 'B', body: frame[5:], stmt: st}, nil
}

func (c *session) decodeTarget(typ, target byte, name string) (message, error) {
	m := message{typ: typ, target: target, name: name}
	st := c.portals[name]
	backendName := name
	if target == 'S' {
		if st = c.stmts[name]; st != nil {
			backendName = st.server
		}
	}
	m.stmt = st
	if typ == 'C' {
		c.closeName(target, name)
		return m, nil
	}
	if st == nil {
		if target == 'S' {
			return message{}, noSuch("prepared statement", name, "26000")
		}
		return message{}, noSuch("portal", name, "34000")
	}
	frame, err := (&pgproto3.Describe{ObjectType: target, Name: backendName}).Encode(nil)
	if err != nil {
		return message{}, err
	}
	m.body = frame[5:]
	return m, nil
}

// closeName forgets a statement or portal. A message later in the same batch may
// use the name again.
func (c *session) closeName(target byte, name string) {
	if target == 'S' {
		delete(c.stmts, name)
	} else {
		delete(c.portals, name)
	}
}

func noSuch(what, name, state string) *errs.Error {
	return errs.New(errs.NotRun, errs.ReasonProtocol, fmt.Sprintf("%s %q does not exist", what, name), errs.WithState(state))
}

// failBatch reports an error found before anything was sent. What follows up to
// Sync is dropped, as the protocol asks.
func (c *session) failBatch(e *errs.Error) error {
	c.dropBatch()
	return c.refuse(e, false)
}

// dropBatch forgets the messages of the batch and what they prepared.
func (c *session) dropBatch() {
	for _, m := range c.batch {
		if m.typ == 'P' {
			c.forget(m.stmt)
		}
	}
	c.batch = nil
}

func (c *session) forget(st *prepared) {
	for name, known := range c.stmts {
		if known == st {
			delete(c.stmts, name)
		}
	}
}

// flushBatch answers what was sent so far. Statements before a Flush and those
// up to the next Sync are one transaction, so the session keeps the connection
// until Sync comes. A batch that binds nothing needs no such transaction: the
// backend server gets a Sync at once.
func (c *session) flushBatch(ctx context.Context) error {
	if c.skipping || len(c.batch) == 0 {
		return c.flush()
	}
	return c.runBatch(ctx, false)
}

// sync ends a batch.
func (c *session) sync(ctx context.Context) error {
	if c.skipping || len(c.batch) == 0 {
		c.skipping = false
		return c.endBatch(ctx)
	}
	err := c.runBatch(ctx, true)
	c.skipping = false
	return err
}

// endBatch sends ReadyForQuery. If a Flush came before, the backend server gets
// the Sync that it waits for.
func (c *session) endBatch(ctx context.Context) error {
	if c.tx == nil || !c.tx.unsynced {
		return c.send(c.ready())
	}
	req := c.newRequest(nil)
	req.msgs, req.describe = []message{}, true
	return c.run(ctx, req)
}

func (c *session) runBatch(ctx context.Context, ready bool) error {
	batch := c.batch
	c.batch = nil
	if own := ownStatement(batch); own != nil {
		return c.runOwnBatch(ctx, batch, ready)
	}
	var stmts []shape.Statement
	for _, m := range batch {
		if m.typ == 'E' || m.typ == 'B' && !ready {
			stmts = append(stmts, m.stmt.stmts)
		}
	}
	req := c.newRequest(stmts)
	req.msgs, req.ready = batch, ready
	req.open = !ready && (len(stmts) > 0 || c.tx != nil && c.tx.unsynced)
	if len(stmts) == 0 {
		req.describe = true
	}
	err := c.run(ctx, req)
	c.endPortals()
	return err
}

// endPortals forgets the portals of a transaction that ended.
func (c *session) endPortals() {
	if c.tx == nil {
		clear(c.portals)
	}
}

// forgetUnanswered forgets what the caller does not know to be prepared: it may
// prepare it under the same name again. none reports that the caller got no part
// of the answer.
func (c *session) forgetUnanswered(req *request, none bool) {
	for i := range req.msgs {
		m := &req.msgs[i]
		if m.typ == 'P' && (none || !m.answered) {
			c.forget(m.stmt)
		}
	}
}

// ownStatement returns the statement of the batch that the proxy answers.
func ownStatement(batch []message) *prepared {
	for _, m := range batch {
		if m.stmt != nil && m.stmt.stmts.Own() {
			return m.stmt
		}
	}
	return nil
}

// runOwnBatch answers a batch about settings of the proxy.
func (c *session) runOwnBatch(ctx context.Context, batch []message, ready bool) error {
	for _, m := range batch {
		if m.stmt != nil && !m.stmt.stmts.Own() {
			e := errs.New(errs.NotRun, errs.ReasonUnsupported, "settings of the proxy need a batch of their own")
			return c.refuse(e, ready)
		}
		if err := c.ownMessage(ctx, m); err != nil {
			return c.refuse(asError(err), ready)
		}
	}
	if !ready {
		return c.flush()
	}
	c.endPortals()
	return c.endBatch(ctx)
}

func (c *session) ownMessage(ctx context.Context, m message) error {
	switch m.typ {
	case 'P':
		return c.send(&pgproto3.ParseComplete{})
	case 'B':
		return c.send(&pgproto3.BindComplete{})
	case 'C':
		return c.send(&pgproto3.CloseComplete{})
	case 'E':
		return c.runLocal(ctx, m.stmt.stmts, false)
	}
	if m.target == 'S' {
		if err := c.send(&pgproto3.ParameterDescription{}); err != nil {
			return err
		}
	}
	if m.stmt.stmts.Kind() == shape.Set {
		return c.send(&pgproto3.NoData{})
	}
	return c.send(describeText(m.stmt.stmts.Name()))
}
