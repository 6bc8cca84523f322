package entry

import (
	"context"
	"fmt"
	"hash/fnv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"tamarackcross/errs"
	"tamarackcross/pgctl"
)

// keyTable holds the idempotency records. A record commits in the same
// transaction as the write, so that it lives and dies with it.
const keyTable = "tamarackcross_keys"

// tombstone is the value of a record that proves that a request can never run.
const tombstone = "not_run"

const uniqueViolation = "23505"

// record is the value of an idempotency record: the fingerprint of the request
// and the tag of its answer.
func record(fingerprint uint64, tag string) string {
	return fmt.Sprintf("%016x %s", fingerprint, tag)
}

// digest identifies the exact request, with its literals and parameters: the
// same key with other values is another request.
func (r *request) digest() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(r.simple))
	for _, m := range r.msgs {
		if m.typ == 'B' || m.typ == 'E' {
			_, _ = h.Write(m.body)
		}
	}
	return h.Sum64()
}

func quoteLiteral(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

func insertKey(key, value string) string {
	return "INSERT INTO " + keyTable + " (k, v) VALUES (" + quoteLiteral(key) + ", " + quoteLiteral(value) + ")"
}

func updateKey(key, value string) string {
	return "UPDATE " + keyTable + " SET v = " + quoteLiteral(value) + " WHERE k = " + quoteLiteral(key)
}

func selectKey(key string) string {
	return "SELECT v FROM " + keyTable + " WHERE k = " + quoteLiteral(key)
}

// runKeyed runs a write together with its idempotency record.
func (c *session) runKeyed(ctx context.Context, req *request) error {
	for {
		x, err := c.attemptKeyed(ctx, req)
		if err == nil && x.keyed == keyTaken {
			return c.replyRepeated(ctx, req, x)
		}
		if err == nil && x.hidden != nil {
			x.surface()
		}
		if err == nil && !x.rejected() {
			return c.conclude(ctx, req, x)
		}
		e := rejection(x, err)
		if e.Outcome() == errs.Unknown {
			return c.settleByKey(ctx, req, e)
		}
		if !c.mayRetry(ctx, req, x, e) {
			return c.giveUp(req, x, e)
		}
		c.srv.stats.Retried(e.Reason())
	}
}

// keyState says what became of the record of a keyed write.
type keyState int

const (
	keyNone  keyState = iota
	keyTaken          // the record was there already
)

// attemptKeyed sends BEGIN, the record and the write at once, then the tag and
// COMMIT. If the record exists, the transaction has failed before the write
// and nothing of it runs.
func (c *session) attemptKeyed(ctx context.Context, req *request) (*execution, error) {
	req.attempts++
	if err := c.admit(req, time.Now()); err != nil {
		return nil, err
	}
	m, err := c.route(ctx, req)
	if err != nil {
		return nil, err
	}
	ticket, err := m.gate.enter(ctx, c.admission(req))
	if err != nil {
		return nil, err
	}
	start := time.Now()
	defer func() { m.gate.leave(ticket, time.Since(start)) }()
	b, err := m.take(ctx)
	if err != nil {
		return nil, err
	}
	x := c.newExecution(b, req)
	x.holding, x.checked = true, true
	x.before = []string{"BEGIN", insertKey(c.set.key, record(req.digest(), ""))}
	err = c.execute(ctx, x)
	if err == nil {
		err = c.commitRecord(ctx, x)
	}
	if x.hidden != nil && x.hidden.Code == uniqueViolation {
		x.keyed = keyTaken
	}
	c.handBack(x, err)
	return x, err
}

// commitRecord ends the transaction of a keyed write.
func (c *session) commitRecord(ctx context.Context, x *execution) error {
	commit := []string{updateKey(c.set.key, record(x.req.digest(), x.tag)), "COMMIT"}
	if x.failure != nil || x.hidden != nil {
		commit = []string{"ROLLBACK"}
	}
	y := &execution{c: c, b: x.b, req: x.req, before: commit, checked: true, onlyBefore: true}
	if err := c.execute(ctx, y); err != nil {
		return err
	}
	if y.hidden != nil && x.failure == nil {
		x.failure = y.hidden
		x.tail = appendError(nil, y.hidden)
	}
	x.position, x.located = y.position, y.located
	x.status = y.status
	return nil
}

func appendError(b []byte, e *pgproto3.ErrorResponse) []byte {
	out, err := e.Encode(b)
	if err != nil {
		return b
	}
	return out
}

// surface turns an error of the record into the answer: what follows it only
// says that the transaction had failed.
func (x *execution) surface() {
	x.failure = x.hidden
	x.released = false
	x.tail = appendError(nil, x.hidden)
}

// replyRepeated answers a write whose record was there already: with the tag of
// the first run, or with an error if the key belongs to another statement.
func (c *session) replyRepeated(ctx context.Context, req *request, x *execution) error {
	c.status = statusIdle
	value, err := c.lookupKey(ctx, x.b.member)
	if err != nil {
		return c.giveUp(req, nil, c.unknown(errs.ReasonBackendLost, "the record of the idempotency key could not be read"))
	}
	if value == tombstone {
		e := errs.New(errs.NotRun, errs.ReasonKeyReuse, "the idempotency key was closed as not run")
		return c.giveUp(req, nil, e)
	}
	fingerprint, tag, _ := strings.Cut(value, " ")
	if fingerprint != fmt.Sprintf("%016x", req.digest()) {
		e := errs.New(errs.NotRun, errs.ReasonKeyReuse, "the idempotency key was used with another statement")
		return c.giveUp(req, nil, e)
	}
	if err := c.send(repeatedNotice()); err != nil {
		return err
	}
	if err := c.answerTag(req, tag); err != nil {
		return err
	}
	if !req.ready {
		return c.flush()
	}
	return c.send(c.ready())
}

func repeatedNotice() *pgproto3.NoticeResponse {
	return &pgproto3.NoticeResponse{
		Severity: "NOTICE", SeverityUnlocalized: "NOTICE", Code: "00000",
		Message: "the request with this idempotency key was done before", Detail: "outcome=done",
	}
}

// answerTag makes the answer to a request that ran before.
func (c *session) answerTag(req *request, tag string) error {
	for _, m := range req.msgs {
		var err error
		switch m.typ {
		case 'P':
			err = c.send(&pgproto3.ParseComplete{})
		case 'B':
			err = c.send(&pgproto3.BindComplete{})
		case 'C':
			err = c.send(&pgproto3.CloseComplete{})
		case 'D':
			err = c.send(&pgproto3.NoData{})
		case 'E':
			err = c.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
		}
		if err != nil {
			return err
		}
	}
	if req.msgs != nil {
		return nil
	}
	return c.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

// lookupKey reads the record of the key at the primary.
func (c *session) lookupKey(ctx context.Context, m *member) (string, error) {
	rows, err := m.ask(ctx, selectKey(c.set.key))
	if err != nil {
		return "", err
	}
	if len(rows) != 1 || len(rows[0]) != 1 {
		return "", pgctl.ErrNoAnswer
	}
	return rows[0][0], nil
}

// settleByKey finds out what became of a write whose answer was lost.
func (c *session) settleByKey(ctx context.Context, req *request, e *errs.Error) error {
	c.status = statusIdle
	outcome, value := c.closeKey(ctx)
	switch outcome {
	case errs.NotRun:
		return c.giveUp(req, nil, errs.New(errs.NotRun, e.Reason(), "the write did not run"))
	case errs.Done:
		_, tag, _ := strings.Cut(value, " ")
		if err := c.answerTag(req, tag); err != nil {
			return err
		}
		if !req.ready {
			return c.flush()
		}
		return c.send(c.ready())
	}
	return c.giveUp(req, nil, c.unknown(e.Reason(), e.Text()))
}

// outcome answers SHOW tamarackcross.outcome for the key of the session.
func (c *session) outcome(ctx context.Context) (string, error) {
	if c.set.key == "" {
		return "", errs.New(errs.NotRun, errs.ReasonBadSetting, "no idempotency key is set")
	}
	limit := c.srv.policies.Resolve(c.scope(0)).Deadline
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	outcome, _ := c.closeKey(ctx)
	return string(outcome), nil
}

// closeKey commits a tombstone for the key. If that succeeds the original can
// never commit, which proves that it did not run; if the record exists the
// original is done.
func (c *session) closeKey(ctx context.Context) (errs.Outcome, string) {
	for ctx.Err() == nil {
		outcome, value, ok := c.tryCloseKey(ctx)
		if ok {
			return outcome, value
		}
		c.pause(ctx, nil)
	}
	return errs.Unknown, ""
}

func (c *session) tryCloseKey(ctx context.Context) (errs.Outcome, string, bool) {
	db, err := c.srv.database(c.database)
	if err != nil {
		return errs.Unknown, "", false
	}
	m, err := db.primaryMember()
	if err != nil {
		return errs.Unknown, "", false
	}
	_, err = m.ask(ctx, insertKey(c.set.key, tombstone))
	if err != nil && pgctl.Code(err) != uniqueViolation {
		return errs.Unknown, "", false
	}
	value, err := c.lookupKey(ctx, m)
	if err != nil {
		return errs.Unknown, "", false
	}
	// The record itself must survive a promotion before its word counts.
	if _, err := db.confirms.current(ctx); err != nil {
		return errs.Unknown, "", false
	}
	if value == tombstone {
		return errs.NotRun, value, true
	}
	return errs.Done, value, true
}

// commitKeyed commits a transaction of the caller with its record.
func (c *session) commitKeyed(ctx context.Context, req *request) error {
	tx := c.tx
	x := c.newExecution(tx.conn, req)
	x.holding, x.checked = true, true
	x.before = []string{insertKey(c.set.key, record(req.digest(), "COMMIT"))}
	err := c.execute(ctx, x)
	if err != nil {
		e := asError(err)
		c.tx = nil
		tx.conn.tainted = true
		tx.conn.member.put(tx.conn)
		if e.Outcome() == errs.Unknown {
			return c.settleByKey(ctx, req, e)
		}
		return c.giveUp(req, nil, e)
	}
	c.endTx(x)
	if x.hidden != nil && x.hidden.Code == uniqueViolation {
		return c.replyRepeated(ctx, req, x)
	}
	return c.conclude(ctx, req, x)
}
