package entry

import (
	"bytes"
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"tamarackcross/errs"
	"tamarackcross/group"
	"tamarackcross/wire"
)

const (
	maxHeld      = 1 << 20  // bytes of an answer held back until it is settled
	relayLimit   = 64 << 10 // bytes; larger frames pass through in pieces
	positionName = "group_position"
)

// expect is what an execution waits for next from the backend server.
type expect struct {
	kind expectKind
	msg  *message
	stmt *prepared // statement that a hidden Parse prepares
}

type expectKind int

const (
	expectQuery   expectKind = iota // the whole answer to a simple query
	expectHidden                    // an answer that the caller does not see, up to ReadyForQuery
	expectParse                     // ParseComplete that the caller does not see
	expectMade                      // nothing; the proxy makes the answer
	expectMessage                   // the answer to one message of a batch
	expectReady                     // ReadyForQuery
)

// execution runs one request on one backend connection and relays the answer.
type execution struct {
	c     *session
	b     *backendConn
	req   *request
	queue []expect

	prefix   []byte // frames held until the snapshot is known to be new enough
	checked  bool   // the snapshot was checked, or needs no check
	released bool   // frames went to the caller
	holding  bool   // from here on frames are held until the request is settled
	tail     []byte
	spilled  bool // more than maxHeld was held and went to the caller
	sent     bool // the request may have reached the backend server

	position group.Position
	located  bool // position is known
	status   byte
	failure  *pgproto3.ErrorResponse
	hidden   *pgproto3.ErrorResponse // error in a part that the caller does not see
	tag      string

	before     []string // statements run first, whose answers the caller does not see
	onlyBefore bool     // nothing follows them
	keyed      keyState
	ticket     uint64    // of the slot in use
	began      time.Time // when the statement was sent
	grown      bool      // the work was found to be long
	// primaryAtStart is whether the member was the primary when the request began.
	primaryAtStart bool
	broken         bool // a frame to the caller was cut in the middle
	syncs          bool // the backend server gets Sync whatever the caller sent
}

// errBelowBound reports a snapshot older than the bound of a read.
var errBelowBound = errs.New(errs.NotRun, errs.ReasonBelowBound, "snapshot is older than the bound")

// run sends the request and relays its answer. The error is nil when the
// answer came whole, whatever it says.
func (x *execution) run(ctx context.Context) error {
	x.primaryAtStart = x.b.member.primary()
	x.began = time.Now()
	if err := x.sendAll(); err != nil {
		x.b.tainted = true
		return errs.New(x.outcomeIfLost(), errs.ReasonBackendLost, "connection to the backend server broke")
	}
	for len(x.queue) > 0 {
		if err := x.step(ctx); err != nil {
			x.b.tainted = true
			return err
		}
	}
	return nil
}

// outcomeIfLost is what is known when the connection breaks now.
func (x *execution) outcomeIfLost() errs.Outcome {
	if !x.sent || !x.req.acknowledges(x.c.tx) {
		return errs.NotRun
	}
	return errs.Unknown
}

// sendAll writes the messages of the request.
func (x *execution) sendAll() error {
	if err := x.b.wc.SetWriteDeadline(x.req.deadline); err != nil {
		return err
	}
	if err := x.sendVars(); err != nil {
		return err
	}
	for _, sql := range x.before {
		x.queue = append(x.queue, expect{kind: expectHidden})
		if err := x.b.wc.Send(&pgproto3.Query{String: sql}); err != nil {
			return err
		}
	}
	if x.onlyBefore {
		x.sent = true
		return x.b.wc.Flush()
	}
	if x.req.msgs == nil {
		x.queue = append(x.queue, expect{kind: expectQuery})
		if err := x.b.wc.Send(&pgproto3.Query{String: x.req.simple}); err != nil {
			return err
		}
	} else if err := x.sendBatch(); err != nil {
		return err
	}
	x.sent = true
	return x.b.wc.Flush()
}

// sendVars brings the settings of the connection to those of the session.
func (x *execution) sendVars() error {
	want := x.c.vars.applied
	if x.b.vars == want || x.c.tx != nil {
		return nil
	}
	x.queue = append(x.queue, expect{kind: expectHidden})
	x.b.vars = want
	return x.b.wc.Send(&pgproto3.Query{String: "RESET ALL;" + want})
}

func (x *execution) sendBatch() error {
	for i := range x.req.msgs {
		if err := x.sendMessage(&x.req.msgs[i]); err != nil {
			return err
		}
	}
	if x.req.open && !x.syncs {
		return x.b.wc.Send(&pgproto3.Flush{})
	}
	x.queue = append(x.queue, expect{kind: expectReady})
	return x.b.wc.Send(&pgproto3.Sync{})
}

func (x *execution) sendMessage(m *message) error {
	m.answered = false
	switch m.typ {
	case 'P':
		if x.b.knows(m.stmt) {
			x.queue = append(x.queue, expect{kind: expectMade, msg: m})
			return nil
		}
		x.b.learn(m.stmt)
	case 'C':
		if m.target == 'S' || m.stmt == nil {
			x.queue = append(x.queue, expect{kind: expectMade, msg: m})
			return nil
		}
		x.queue = append(x.queue, expect{kind: expectMessage, msg: m})
		return x.b.wc.Send(&pgproto3.Close{ObjectType: 'P', Name: m.name})
	default:
		if err := x.prepare(m.stmt); err != nil {
			return err
		}
	}
	x.queue = append(x.queue, expect{kind: expectMessage, msg: m})
	return x.b.wc.WriteFrame(wire.Frame{Type: m.typ, Body: m.body})
}

// prepare parses a statement of the session on this connection if it is not
// there yet.
func (x *execution) prepare(st *prepared) error {
	if x.b.knows(st) {
		return nil
	}
	x.b.learn(st)
	x.queue = append(x.queue, expect{kind: expectParse, stmt: st})
	return x.b.wc.WriteFrame(wire.Frame{Type: 'P', Body: st.parse})
}

// step handles one frame, or one answer that the proxy makes.
func (x *execution) step(ctx context.Context) error {
	head := x.queue[0]
	if head.kind == expectMade {
		x.queue = x.queue[1:]
		head.msg.answered = true
		return x.emit(madeAnswer(head.msg))
	}
	if !x.b.wc.Buffered() {
		if err := x.await(ctx); err != nil {
			return err
		}
	}
	f, relayed, err := x.b.wc.Relay(x.c.conn, x.limit())
	if err != nil {
		x.broken = relayed
		return errs.New(x.outcomeIfLost(), errs.ReasonBackendLost, "connection to the backend server broke")
	}
	if relayed {
		x.released = true
		return nil
	}
	return x.accept(head, f)
}

// limit is the size from which frames pass in pieces. A frame that must be held
// is read whole.
func (x *execution) limit() int {
	if x.holding && !x.spilled || !x.checked || x.queue[0].kind == expectHidden {
		return wire.DefaultMaxFrame
	}
	return relayLimit
}

func madeAnswer(m *message) wire.Frame {
	if m.typ == 'P' {
		return wire.Frame{Type: '1'}
	}
	return wire.Frame{Type: '3'}
}

// accept acts on one frame of the backend server.
func (x *execution) accept(head expect, f wire.Frame) error {
	switch f.Type {
	case 'S':
		return x.parameter(f)
	case 'N', 'A':
		return nil
	case 'E':
		return x.failed(head, f)
	case 'Z':
		return x.finished(head, f)
	case 'G', 'H', 'W':
		return errs.New(x.outcomeIfLost(), errs.ReasonUnsupported, "COPY is not supported by the proxy")
	}
	if head.kind == expectHidden {
		return nil
	}
	if head.kind == expectParse {
		x.queue = x.queue[1:]
		return nil
	}
	if f.Type == 'C' {
		if err := x.complete(f); err != nil {
			return err
		}
	}
	if head.kind == expectMessage && answers(head.msg, f.Type) {
		head.msg.answered = true
		x.queue = x.queue[1:]
	}
	return x.emit(f)
}

// answers reports whether a frame is the last one of the answer to m.
func answers(m *message, typ byte) bool {
	switch m.typ {
	case 'P':
		return typ == '1'
	case 'B':
		return typ == '2'
	case 'C':
		return typ == '3'
	case 'D':
		return typ == 'T' || typ == 'n'
	default:
		return typ == 'C' || typ == 's' || typ == 'I'
	}
}

// parameter takes the position of a snapshot or commit. Other parameters belong
// to the backend connection.
func (x *execution) parameter(f wire.Frame) error {
	name, value, _ := bytes.Cut(f.Body, []byte{0})
	if string(name) != positionName {
		return nil
	}
	p, err := group.ParsePosition(cString(value))
	if err != nil {
		return errs.New(x.outcomeIfLost(), errs.ReasonProtocol, "backend server sent an invalid position")
	}
	x.position, x.located = p, true
	x.b.member.observe(p, time.Now())
	return x.check()
}

// check compares the snapshot with the bound before the first frame goes out.
func (x *execution) check() error {
	if x.checked || x.req.describe {
		return nil
	}
	if !x.c.holds(x.position, x.req.need) {
		return errBelowBound
	}
	x.checked = true
	return x.writePrefix()
}

func (x *execution) writePrefix() error {
	if len(x.prefix) == 0 {
		return nil
	}
	prefix := x.prefix
	x.prefix = nil
	x.released = true
	return x.c.conn.WriteRaw(prefix)
}

// complete handles CommandComplete: an answer that acknowledges a commit, or
// that rests on data that may still be lost, is held back until it is settled.
func (x *execution) complete(f wire.Frame) error {
	x.tag = cString(f.Body)
	if x.req.latest || x.req.acknowledges(x.c.tx) || x.c.unsettled(x.b.member, x.position, x.located) {
		x.holding = true
		return nil
	}
	if x.holding || x.req.latest || !x.located || !x.checked {
		return nil
	}
	x.c.raise(x.position)
	return x.c.reportToken()
}

// failed takes an ErrorResponse. What follows up to ReadyForQuery is skipped by
// the backend server.
func (x *execution) failed(head expect, f wire.Frame) error {
	var e pgproto3.ErrorResponse
	if err := e.Decode(f.Body); err != nil {
		return errs.New(x.outcomeIfLost(), errs.ReasonProtocol, "backend server sent a malformed error")
	}
	if head.kind == expectHidden {
		x.hidden = &e
		return nil
	}
	x.failure = &e
	if head.kind != expectQuery {
		x.skip()
	}
	if retryable(&e) && !x.released && len(x.tail) == 0 && x.c.tx == nil {
		return nil
	}
	x.checked = true
	if err := x.writePrefix(); err != nil {
		return err
	}
	return x.emit(f)
}

// skip drops what the backend server will not answer after an error.
func (x *execution) skip() {
	for len(x.queue) > 0 && x.queue[0].kind != expectReady {
		head := x.queue[0]
		if head.kind == expectParse {
			x.b.unlearn(head.stmt)
		}
		if head.kind == expectMessage && head.msg.typ == 'P' {
			x.b.unlearn(head.msg.stmt)
		}
		x.queue = x.queue[1:]
	}
}

// finished takes ReadyForQuery.
func (x *execution) finished(head expect, f wire.Frame) error {
	if len(f.Body) != 1 {
		return errs.New(x.outcomeIfLost(), errs.ReasonProtocol, "backend server sent a malformed message")
	}
	x.queue = x.queue[1:]
	if head.kind == expectHidden && !x.onlyBefore {
		return nil
	}
	x.status = f.Body[0]
	if !x.checked && x.failure == nil && !x.req.describe && x.req.reads() && !x.req.onPrimary() {
		return errs.New(errs.NotRun, errs.ReasonProtocol, "backend server reported no position for the read")
	}
	return nil
}

// emit passes a frame on to the caller, or holds it.
func (x *execution) emit(f wire.Frame) error {
	if !x.checked && x.req.onPrimary() && ran(f.Type) {
		x.checked = true
		if err := x.writePrefix(); err != nil {
			return err
		}
	}
	if !x.checked && !x.req.describe {
		x.prefix = appendFrame(x.prefix, f)
		if len(x.prefix) > maxHeld {
			x.checked = true
			return x.writePrefix()
		}
		return nil
	}
	if x.holding && !x.spilled {
		x.tail = appendFrame(x.tail, f)
		if len(x.tail) <= maxHeld {
			return nil
		}
		x.spilled = true
		return x.writeTail()
	}
	x.released = true
	return x.c.conn.WriteFrame(f)
}

// ran reports frames that show that a statement ran. Until one comes, a request
// that the primary turns down can be sent to its successor, so nothing of the
// answer, such as BindComplete, may have gone to the caller.
func ran(typ byte) bool {
	return typ == 'D' || typ == 'C' || typ == 'I' || typ == 's'
}

func (x *execution) writeTail() error {
	tail := x.tail
	x.tail = nil
	x.released = true
	return x.c.conn.WriteRaw(tail)
}

func appendFrame(b []byte, f wire.Frame) []byte {
	n := len(f.Body) + 4
	b = append(b, f.Type, byte(n>>24), byte(n>>16), byte(n>>8), byte(n))
	return append(b, f.Body...)
}

// retryable reports errors by which a backend server says that it ran nothing
// and that another member, or the same one later, may.
func retryable(e *pgproto3.ErrorResponse) bool {
	switch e.Code {
	case "25006", "57P01", "57P02", "57P03", "53300":
		return true
	}
	return false
}
