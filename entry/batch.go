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

// Limits of the memory of a session.
const (
	maxStatements = 1024    // prepared statements of a session
	maxBatch      = 1024    // messages of a batch
	maxBatchBytes = 4 << 20 // bytes of the messages of a batch
)

// collect adds a message of the extended protocol to the batch, which is sent at
// Sync or Flush.
func (c *session) collect(f wire.Frame) error {
	if c.skipToSync {
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
			return message{}, notFoundError("portal", e.Portal, "34000")
		}
		return message{typ: 'E', body: slices.Clone(f.Body), stmt: st}, nil
	}
}

// decodeParse stores the statement under the name that the caller gave it. On
// backend connections it has a name derived from its text, so that sessions share
// it.
func (c *session) decodeParse(p pgproto3.Parse) (message, error) {
	if c.stmts == nil {
		c.stmts = make(map[string]*prepared)
	}
	if _, ok := c.stmts[p.Name]; ok && p.Name != "" {
		return message{}, errs.New(errs.NotRun, errs.ReasonProtocol,
			fmt.Sprintf("prepared statement %q already exists", p.Name), errs.WithSQLState("42P05"))
	}
	if len(c.stmts) >= maxStatements {
		return message{}, errs.New(errs.NotRun, errs.ReasonTooLarge, "too many prepared statements")
	}
	st := &prepared{backendName: backendStatementName(p), stmt: shape.Classify(p.Query)}
	if len(shape.Split(p.Query)) > 1 {
		return message{}, errs.New(errs.NotRun, errs.ReasonProtocol,
			"cannot insert multiple commands into a prepared statement", errs.WithSQLState("42601"))
	}
	renamed := pgproto3.Parse{Name: st.backendName, Query: p.Query, ParameterOIDs: p.ParameterOIDs}
	frame, err := renamed.Encode(nil)
	if err != nil {
		return message{}, err
	}
	st.parseBody = frame[5:]
	c.stmts[p.Name] = st
	return message{typ: 'P', body: st.parseBody, stmt: st}, nil
}

// backendStatementName returns the name of a statement on backend connections: a
// hash of its text and parameter types.
func backendStatementName(p pgproto3.Parse) string {
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
		return message{}, notFoundError("prepared statement", b.PreparedStatement, "26000")
	}
	if c.portals == nil {
		c.portals = make(map[string]*prepared)
	}
	if len(c.portals) >= maxStatements {
		return message{}, errs.New(errs.NotRun, errs.ReasonTooLarge, "too many portals")
	}
	c.portals[b.DestinationPortal] = st
	b.PreparedStatement = st.backendName
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
			backendName = st.backendName
		}
	}
	m.stmt = st
	if typ == 'C' {
		c.closeName(target, name)
		return m, nil
	}
	if st == nil {
		if target == 'S' {
			return message{}, notFoundError("prepared statement", name, "26000")
		}
		return message{}, notFoundError("portal", name, "34000")
	}
	frame, err := (&pgproto3.Describe{ObjectType: target, Name: backendName}).Encode(nil)
	if err != nil {
		return message{}, err
	}
	m.body = frame[5:]
	return m, nil
}

// closeName removes a statement or portal at once, so that a later message of the
// same batch can use the name again.
func (c *session) closeName(target byte, name string) {
	if target == 'S' {
		delete(c.stmts, name)
	} else {
		delete(c.portals, name)
	}
}

func notFoundError(what, name, state string) *errs.Error {
	return errs.New(errs.NotRun, errs.ReasonProtocol, fmt.Sprintf("%s %q does not exist", what, name), errs.WithSQLState(state))
}

// failBatch refuses a batch before anything of it was sent to a backend server. As
// the protocol requires, further messages are dropped until Sync.
func (c *session) failBatch(e *errs.Error) error {
	c.dropBatch()
	return c.refuse(e, false)
}

// dropBatch discards the messages of the batch and the statements that it prepares.
func (c *session) dropBatch() {
	for _, m := range c.batch {
		if m.typ == 'P' {
			c.forgetStatement(m.stmt)
		}
	}
	c.batch = nil
}

func (c *session) forgetStatement(st *prepared) {
	for name, known := range c.stmts {
		if known == st {
			delete(c.stmts, name)
		}
	}
}

// flushBatch runs the messages collected so far at a Flush. The statements before a
// Flush and those up to the next Sync form one transaction, so the session keeps
// the backend connection until Sync. For a batch without Bind the backend server
// gets a Sync at once, because it needs no transaction.
func (c *session) flushBatch(ctx context.Context) error {
	if c.skipToSync || len(c.batch) == 0 {
		return c.flush()
	}
	return c.runBatch(ctx, false)
}

// sync runs the batch and ends it.
func (c *session) sync(ctx context.Context) error {
	if c.skipToSync || len(c.batch) == 0 {
		c.skipToSync = false
		return c.endBatch(ctx)
	}
	err := c.runBatch(ctx, true)
	c.skipToSync = false
	return err
}

// endBatch sends ReadyForQuery. If a Flush came before, it first sends the Sync for
// which the backend server waits.
func (c *session) endBatch(ctx context.Context) error {
	if c.tx == nil || !c.tx.awaitsSync {
		return c.send(c.ready())
	}
	req := c.newRequest(nil)
	req.msgs, req.noExecute = []message{}, true
	return c.run(ctx, req)
}

func (c *session) runBatch(ctx context.Context, ready bool) error {
	batch := c.batch
	c.batch = nil
	if st := proxySettingStatement(batch); st != nil {
		return c.runProxySettingBatch(ctx, batch, ready)
	}
	if c.tx == nil && !c.txLost && closesOnly(batch) {
		return c.answerCloses(ctx, batch, ready)
	}
	var stmts []shape.Statement
	for _, m := range batch {
		if m.typ == 'E' || m.typ == 'B' && !ready {
			stmts = append(stmts, m.stmt.stmt)
		}
	}
	req := c.newRequest(stmts)
	req.msgs, req.endsWithReady = batch, ready
	req.keepsTxOpen = !ready && (len(stmts) > 0 || c.tx != nil && c.tx.awaitsSync)
	if len(stmts) == 0 {
		req.noExecute = true
	}
	err := c.run(ctx, req)
	c.endPortals()
	return err
}

// closesOnly reports whether a batch only closes statements and portals.
func closesOnly(batch []message) bool {
	return !slices.ContainsFunc(batch, func(m message) bool { return m.typ != 'C' })
}

// answerCloses answers a batch that only closes statements and portals, outside of a transaction. No
// backend server is needed: names of statements are those of the session, and there are no portals.
func (c *session) answerCloses(ctx context.Context, batch []message, ready bool) error {
	for range batch {
		if err := c.send(&pgproto3.CloseComplete{}); err != nil {
			return err
		}
	}
	if !ready {
		return c.flush()
	}
	return c.endBatch(ctx)
}

// endPortals removes the portals if the transaction has ended.
func (c *session) endPortals() {
	if c.tx == nil {
		clear(c.portals)
	}
}

// forgetUnanswered removes statements for which the caller received no
// ParseComplete, since it may prepare them again under the same name. With none set
// the caller received no part of the answer.
func (c *session) forgetUnanswered(req *request, none bool) {
	for i := range req.msgs {
		m := &req.msgs[i]
		if m.typ == 'P' && (none || !m.answered) {
			c.forgetStatement(m.stmt)
		}
	}
}

// proxySettingStatement returns the first statement of the batch that sets or shows
// a setting of the proxy, or nil.
func proxySettingStatement(batch []message) *prepared {
	for _, m := range batch {
		if m.stmt != nil && m.stmt.stmt.IsProxySetting() {
			return m.stmt
		}
	}
	return nil
}

// runProxySettingBatch answers a batch of statements about settings of the proxy.
func (c *session) runProxySettingBatch(ctx context.Context, batch []message, ready bool) error {
	for _, m := range batch {
		if m.stmt != nil && !m.stmt.stmt.IsProxySetting() {
			e := errs.New(errs.NotRun, errs.ReasonUnsupported, "settings of the proxy need a batch of their own")
			return c.refuse(e, ready)
		}
		if err := c.answerProxySettingMessage(ctx, m); err != nil {
			return c.refuse(asError(err), ready)
		}
	}
	if !ready {
		return c.flush()
	}
	c.endPortals()
	return c.endBatch(ctx)
}

func (c *session) answerProxySettingMessage(ctx context.Context, m message) error {
	switch m.typ {
	case 'P':
		return c.send(&pgproto3.ParseComplete{})
	case 'B':
		return c.send(&pgproto3.BindComplete{})
	case 'C':
		return c.send(&pgproto3.CloseComplete{})
	case 'E':
		return c.runProxyStatement(ctx, m.stmt.stmt, false)
	}
	if m.target == 'S' {
		if err := c.send(&pgproto3.ParameterDescription{}); err != nil {
			return err
		}
	}
	if m.stmt.stmt.Kind() == shape.Set {
		return c.send(&pgproto3.NoData{})
	}
	return c.send(textColumn(m.stmt.stmt.Name()))
}
