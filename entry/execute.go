package entry

import (
	"bytes"
	"context"
	"slices"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"tamarackcross/errs"
	"tamarackcross/group"
	"tamarackcross/wire"
)

const (
	maxHeldAnswer     = 1 << 20  // bytes of an answer held back until its snapshot is checked or durable
	relayThreshold    = 64 << 10 // bytes; larger frames are relayed in pieces
	positionParameter = "group_position"
)

// expectedAnswer is an answer that an execution still expects, in order, from the
// backend server.
type expectedAnswer struct {
	kind   answerKind
	msg    *message
	stmt   *prepared // statement prepared by a Parse that the caller did not send
	setSQL *string   // SET statements that are in effect after an answer without error, or nil
}

type answerKind int

const (
	answerQuery       answerKind = iota // the whole answer to a simple query
	answerHidden                        // an answer up to ReadyForQuery that is not sent to the caller
	answerHiddenParse                   // ParseComplete that is not sent to the caller
	answerSynthetic                     // nothing from the backend server; the proxy makes the answer
	answerMessage                       // the answer to one message of a batch
	answerReady                         // ReadyForQuery
)

// execution is one run of a request on a backend connection. It sends the messages
// and relays the answer to the caller.
type execution struct {
	session  *session
	conn     *backendConn
	req      *request
	expected []expectedAnswer

	heldPrefix      []byte // frames held until the snapshot is known to satisfy the read bound
	snapshotChecked bool   // the snapshot satisfies the read bound or needs no check
	answerStarted   bool   // frames were sent to the caller
	holdTail        bool   // further frames are held until the answer is durable
	heldTail        []byte
	tailOverflowed  bool // more than maxHeldAnswer was held, so it was sent to the caller
	sent            bool // the request may have reached the backend server

	position    group.Position
	hasPosition bool // the backend server reported position
	status      byte
	failure     *pgproto3.ErrorResponse
	hiddenError *pgproto3.ErrorResponse // error of a statement whose answer is not sent to the caller
	commandTag  string

	preamble     []string // statements run before the request; their answers are not sent to the caller
	preambleOnly bool     // the execution consists of the preamble alone
	keyRecord    keyRecordState
	slotID       uint64    // slot in use, 0 if none
	startedAt    time.Time // when the execution began
	markedLong   bool      // the request was reclassified as long in the admission queue
	// term is the term of the group when the execution began, and primaryAtStart is whether the
	// member was its primary then.
	term           uint64
	primaryAtStart bool
	callerFrameCut bool // a frame was sent to the caller only in part
	forceSync      bool // end with Sync even if the caller sent Flush
}

// run sends the request and relays its answer. The error is nil when a complete
// answer was received, even if that is an error response.
func (x *execution) run(ctx context.Context) error {
	defer x.recordSettings()
	x.term, x.primaryAtStart = x.conn.member.role()
	x.startedAt = time.Now()
	if err := x.sendAll(); err != nil {
		x.conn.tainted = true
		return errs.New(x.outcomeIfLost(), errs.ReasonBackendLost, "connection to the backend server broke")
	}
	for len(x.expected) > 0 {
		if err := x.handleNext(ctx); err != nil {
			x.conn.tainted = true
			return err
		}
	}
	return nil
}

// outcomeIfLost returns the outcome of the request if the connection were lost now.
func (x *execution) outcomeIfLost() errs.Outcome {
	if !x.sent || !x.req.acknowledgesCommit(x.session.tx) {
		return errs.NotRun
	}
	return errs.Unknown
}

// sendAll writes the settings, the preamble and the messages of the request.
func (x *execution) sendAll() error {
	if err := x.conn.wire.SetWriteDeadline(x.req.deadline); err != nil {
		return err
	}
	if err := x.sendVars(); err != nil {
		return err
	}
	for _, sql := range x.preamble {
		x.expected = append(x.expected, expectedAnswer{kind: answerHidden})
		if err := x.conn.wire.Send(&pgproto3.Query{String: sql}); err != nil {
			return err
		}
	}
	if x.preambleOnly {
		x.sent = true
		return x.conn.wire.Flush()
	}
	if x.req.msgs == nil {
		x.expected = append(x.expected, expectedAnswer{kind: answerQuery})
		if err := x.conn.wire.Send(&pgproto3.Query{String: x.req.simple}); err != nil {
			return err
		}
	} else if err := x.sendBatch(); err != nil {
		return err
	}
	x.sent = true
	return x.conn.wire.Flush()
}

// sendVars sets the backend settings of the session on the connection if it has
// others.
func (x *execution) sendVars() error {
	want := x.session.vars.setSQL
	if x.session.tx != nil || x.conn.settings.are(want) {
		return nil
	}
	x.conn.settings.forget()
	x.expected = append(x.expected, expectedAnswer{kind: answerHidden, setSQL: &want})
	return x.conn.wire.Send(&pgproto3.Query{String: "RESET ALL;" + want})
}

// recordSettings records that the request may have changed the settings of the connection, whether
// it succeeded or not: a part of it may have been committed, or rolled back.
func (x *execution) recordSettings() {
	if slices.ContainsFunc(x.req.stmts, changesSettings) {
		x.conn.settings.forget()
	}
}

func (x *execution) sendBatch() error {
	for i := range x.req.msgs {
		if err := x.sendMessage(&x.req.msgs[i]); err != nil {
			return err
		}
	}
	if x.req.keepsTxOpen && !x.forceSync {
		return x.conn.wire.Send(&pgproto3.Flush{})
	}
	x.expected = append(x.expected, expectedAnswer{kind: answerReady})
	return x.conn.wire.Send(&pgproto3.Sync{})
}

func (x *execution) sendMessage(m *message) error {
	m.answered = false
	switch m.typ {
	case 'P':
		if x.conn.hasPrepared(m.stmt) {
			x.expected = append(x.expected, expectedAnswer{kind: answerSynthetic, msg: m})
			return nil
		}
		x.conn.addPrepared(m.stmt)
	case 'C':
		if m.target == 'S' || m.stmt == nil {
			x.expected = append(x.expected, expectedAnswer{kind: answerSynthetic, msg: m})
			return nil
		}
		x.expected = append(x.expected, expectedAnswer{kind: answerMessage, msg: m})
		return x.conn.wire.Send(&pgproto3.Close{ObjectType: 'P', Name: m.name})
	default:
		if err := x.ensurePrepared(m.stmt); err != nil {
			return err
		}
	}
	x.expected = append(x.expected, expectedAnswer{kind: answerMessage, msg: m})
	return x.conn.wire.WriteFrame(wire.Frame{Type: m.typ, Body: m.body})
}

// ensurePrepared sends a Parse for a statement of the session that is not prepared
// on this connection yet.
func (x *execution) ensurePrepared(st *prepared) error {
	if x.conn.hasPrepared(st) {
		return nil
	}
	x.conn.addPrepared(st)
	x.expected = append(x.expected, expectedAnswer{kind: answerHiddenParse, stmt: st})
	return x.conn.wire.WriteFrame(wire.Frame{Type: 'P', Body: st.parseBody})
}

// handleNext handles the next frame of the backend server or the next answer that
// the proxy makes.
func (x *execution) handleNext(ctx context.Context) error {
	head := x.expected[0]
	if head.kind == answerSynthetic {
		x.expected = x.expected[1:]
		head.msg.answered = true
		return x.emit(syntheticAnswer(head.msg))
	}
	if !x.conn.wire.Buffered() {
		if err := x.awaitResponse(ctx); err != nil {
			return err
		}
	}
	f, relayed, err := x.conn.wire.Relay(x.session.conn, x.maxWholeFrame())
	if err != nil {
		x.callerFrameCut = relayed
		return errs.New(x.outcomeIfLost(), errs.ReasonBackendLost, "connection to the backend server broke")
	}
	if relayed {
		x.answerStarted = true
		return nil
	}
	return x.handleFrame(head, f)
}

// maxWholeFrame returns the size above which the next frame is relayed in pieces.
// Frames that may be held back are read whole.
func (x *execution) maxWholeFrame() int {
	if x.holdTail && !x.tailOverflowed || !x.snapshotChecked || x.expected[0].kind == answerHidden {
		return wire.DefaultMaxFrame
	}
	return relayThreshold
}

func syntheticAnswer(m *message) wire.Frame {
	if m.typ == 'P' {
		return wire.Frame{Type: '1'}
	}
	return wire.Frame{Type: '3'}
}

// handleFrame handles one frame of the backend server.
func (x *execution) handleFrame(head expectedAnswer, f wire.Frame) error {
	switch f.Type {
	case 'S':
		return x.handleParameter(f)
	case 'N', 'A':
		return nil
	case 'E':
		return x.handleError(head, f)
	case 'Z':
		return x.handleReady(head, f)
	case 'G', 'H', 'W':
		return errs.New(x.outcomeIfLost(), errs.ReasonUnsupported, "COPY is not supported by the proxy")
	}
	if head.kind == answerHidden {
		return nil
	}
	if head.kind == answerHiddenParse {
		x.expected = x.expected[1:]
		return nil
	}
	if f.Type == 'C' {
		if err := x.handleComplete(f); err != nil {
			return err
		}
	}
	if head.kind == answerMessage && endsAnswer(head.msg, f.Type) {
		head.msg.answered = true
		x.expected = x.expected[1:]
	}
	return x.emit(f)
}

// endsAnswer reports whether a frame is the last one of the answer to m.
func endsAnswer(m *message, typ byte) bool {
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

// handleParameter handles ParameterStatus. It records the position of the snapshot
// or commit; other parameters are not relayed, because they concern the backend
// connection.
func (x *execution) handleParameter(f wire.Frame) error {
	name, value, _ := bytes.Cut(f.Body, []byte{0})
	if string(name) != positionParameter {
		return nil
	}
	p, err := group.ParsePosition(cString(value))
	if err != nil {
		return errs.New(x.outcomeIfLost(), errs.ReasonProtocol, "backend server sent an invalid position")
	}
	x.position, x.hasPosition = p, true
	x.conn.member.recordApplied(p, time.Now())
	return x.checkSnapshot()
}

// checkSnapshot checks the snapshot against the read bound before the first frame
// is sent to the caller.
func (x *execution) checkSnapshot() error {
	if x.snapshotChecked || x.req.noExecute {
		return nil
	}
	covers := x.session.snapshotCovers(x.position, x.req.requiredPosition)
	switch {
	case x.req.latest && !x.isPrimarySnapshot(), !covers && x.req.needsPrimary():
		return errs.New(x.outcomeIfLost(), errs.ReasonStalePrimary, "the member was not the primary")
	case !covers:
		return errs.New(x.outcomeIfLost(), errs.ReasonBelowBound, "snapshot is older than the bound")
	}
	x.snapshotChecked = true
	return x.writePrefix()
}

func (x *execution) writePrefix() error {
	if len(x.heldPrefix) == 0 {
		return nil
	}
	prefix := x.heldPrefix
	x.heldPrefix = nil
	x.answerStarted = true
	return x.session.conn.WriteRaw(prefix)
}

// handleComplete handles CommandComplete. An answer that acknowledges a commit, or
// that is based on data that a promotion could discard, is held back from here on
// until the data is durable.
func (x *execution) handleComplete(f wire.Frame) error {
	x.commandTag = cString(f.Body)
	if x.req.latest || x.req.acknowledgesCommit(x.session.tx) || x.session.mayBeDiscarded(x.conn.member, x.position, x.hasPosition) {
		x.holdTail = true
		return nil
	}
	if x.holdTail || x.req.latest || !x.hasPosition || !x.snapshotChecked {
		return nil
	}
	x.session.raisePosition(x.position)
	return x.session.reportToken()
}

// handleError handles ErrorResponse. The backend server ignores the messages of the
// batch that follow the failed one.
func (x *execution) handleError(head expectedAnswer, f wire.Frame) error {
	var e pgproto3.ErrorResponse
	if err := e.Decode(f.Body); err != nil {
		return errs.New(x.outcomeIfLost(), errs.ReasonProtocol, "backend server sent a malformed error")
	}
	if head.kind == answerHidden {
		x.hiddenError = &e
		return nil
	}
	x.failure = &e
	if head.kind != answerQuery {
		x.skipToReady()
	}
	if retryableResponse(&e) && !x.answerStarted && len(x.heldTail) == 0 && x.session.tx == nil {
		return nil
	}
	x.snapshotChecked = true
	if err := x.writePrefix(); err != nil {
		return err
	}
	return x.emit(f)
}

// skipToReady drops the expected answers that the backend server will not send after
// an error.
func (x *execution) skipToReady() {
	for len(x.expected) > 0 && x.expected[0].kind != answerReady {
		head := x.expected[0]
		if head.kind == answerHiddenParse {
			x.conn.removePrepared(head.stmt)
		}
		if head.kind == answerMessage && head.msg.typ == 'P' {
			x.conn.removePrepared(head.msg.stmt)
		}
		x.expected = x.expected[1:]
	}
}

// handleReady handles ReadyForQuery.
func (x *execution) handleReady(head expectedAnswer, f wire.Frame) error {
	if len(f.Body) != 1 {
		return errs.New(x.outcomeIfLost(), errs.ReasonProtocol, "backend server sent a malformed message")
	}
	x.expected = x.expected[1:]
	if head.setSQL != nil && x.hiddenError == nil {
		x.conn.settings.set(*head.setSQL)
	}
	if head.kind == answerHidden && !x.preambleOnly {
		return nil
	}
	x.status = f.Body[0]
	if !x.snapshotChecked && x.failure == nil && !x.req.noExecute && x.req.hasRead() && !x.req.needsPrimary() && x.session.tx == nil {
		return errs.New(errs.NotRun, errs.ReasonProtocol, "backend server reported no position for the read")
	}
	return nil
}

// emit sends a frame to the caller or holds it back.
func (x *execution) emit(f wire.Frame) error {
	if !x.snapshotChecked && x.req.needsPrimary() && x.req.requiredPosition.IsZero() && provesExecution(f.Type) {
		x.snapshotChecked = true
		if err := x.writePrefix(); err != nil {
			return err
		}
	}
	if !x.snapshotChecked && !x.req.noExecute {
		x.heldPrefix = appendFrame(x.heldPrefix, f)
		if len(x.heldPrefix) > maxHeldAnswer {
			x.snapshotChecked = true
			return x.writePrefix()
		}
		return nil
	}
	if x.holdTail && !x.tailOverflowed {
		x.heldTail = appendFrame(x.heldTail, f)
		if len(x.heldTail) <= maxHeldAnswer {
			return nil
		}
		x.tailOverflowed = true
		return x.writeTail()
	}
	x.answerStarted = true
	return x.session.conn.WriteFrame(f)
}

// provesExecution reports whether a frame shows that a statement ran. Until one
// arrives, a request that the primary rejects can be retried at its successor, so
// earlier frames, such as BindComplete, are held back.
func provesExecution(typ byte) bool {
	return typ == 'D' || typ == 'C' || typ == 'I' || typ == 's'
}

func (x *execution) writeTail() error {
	tail := x.heldTail
	x.heldTail = nil
	x.answerStarted = true
	return x.session.conn.WriteRaw(tail)
}

func appendFrame(b []byte, f wire.Frame) []byte {
	n := len(f.Body) + 4
	b = append(b, f.Type, byte(n>>24), byte(n>>16), byte(n>>8), byte(n))
	return append(b, f.Body...)
}

// retryableResponse reports whether an error response proves that the backend server
// ran nothing, and another member, or the same one later, may run the request.
func retryableResponse(e *pgproto3.ErrorResponse) bool {
	switch e.Code {
	case "25006", "57P01", "57P02", "57P03", "53300":
		return true
	}
	return false
}
