package entry

import (
	"context"
	"fmt"
	"hash/fnv"
	"strconv"
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

// maxAttempts bounds the records of one key. Each attempt has a record of its
// own; the next one is used only after the one before it was closed as not run.
const maxAttempts = 32

// attemptKey returns the key of the record of an attempt. The separator cannot
// be part of a key that a caller sets.
func attemptKey(key string, attempt int) string {
	if attempt == 0 {
		return key
	}
	return key + "\x1f" + strconv.Itoa(attempt)
}

// runKeyed runs a write together with its idempotency record. An attempt whose
// answer was lost is closed before the next one, so that at most one commits.
func (c *session) runKeyed(ctx context.Context, req *request) error {
	c.firstTry()
	for n := 0; n < maxAttempts; {
		key := attemptKey(c.set.key, n)
		x, err := c.attemptKeyed(ctx, req, key)
		if err == nil && x.keyed == keyTaken {
			value, lookupErr := c.settledKey(ctx, x.b.member, key)
			if lookupErr == nil && value == tombstone {
				n++
				continue
			}
			return c.replyRepeated(req, value, lookupErr)
		}
		if err == nil && x.hidden != nil {
			x.surface()
		}
		if err == nil && !x.rejected() {
			return c.conclude(ctx, req, x)
		}
		e := rejection(x, err)
		if e.Outcome() == errs.Unknown {
			outcome, value := c.closeKey(ctx, key)
			if outcome != errs.NotRun {
				return c.replyClosed(req, e, outcome, value)
			}
			e = errs.New(errs.NotRun, e.Reason(), e.Text())
			n++
		}
		if !c.mayRetry(ctx, req, x, e) {
			return c.giveUp(req, x, e)
		}
		c.srv.stats.Retried(e.Reason())
	}
	return c.giveUp(req, nil, c.unknown(errs.ReasonRetryBudget, "too many attempts with one idempotency key"))
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
func (c *session) attemptKeyed(ctx context.Context, req *request, key string) (*execution, error) {
	l, err := c.borrow(ctx, req)
	if err != nil {
		return nil, err
	}
	defer l.free()
	x := c.newExecution(l.conn, req)
	x.holding, x.checked = true, true
	x.ticket = l.ticket
	x.syncs = true // statements of the proxy follow
	x.before = []string{"BEGIN", insertKey(key, record(req.digest(), ""))}
	start := time.Now()
	err = c.execute(ctx, x)
	if err == nil {
		err = c.commitRecord(ctx, x, key)
	}
	if err == nil {
		c.srv.learner.Observe(req.fingerprint, time.Since(start), time.Now())
	}
	if x.hidden != nil && x.hidden.Code == uniqueViolation {
		x.keyed = keyTaken
	}
	l.member.settleHealth(err)
	c.handBack(x, err)
	return x, err
}

// commitRecord ends the transaction of a keyed write.
func (c *session) commitRecord(ctx context.Context, x *execution, key string) error {
	commit := []string{updateKey(key, record(x.req.digest(), x.tag)), "COMMIT"}
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
func (c *session) replyRepeated(req *request, value string, err error) error {
	c.status = statusIdle
	if err != nil {
		return c.giveUp(req, nil, c.unknown(errs.ReasonBackendLost, "the record of the idempotency key could not be read"))
	}
	fingerprint, tag, _ := strings.Cut(value, " ")
	if value == tombstone {
		return c.giveUp(req, nil, errs.New(errs.NotRun, errs.ReasonKeyReuse, "the idempotency key was closed as not run"))
	}
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

// lookupKey reads a record at the primary.
func (c *session) lookupKey(ctx context.Context, m *member, key string) (string, error) {
	rows, err := m.ask(ctx, selectKey(key))
	if err != nil {
		return "", err
	}
	if len(rows) != 1 || len(rows[0]) != 1 {
		return "", pgctl.ErrNoAnswer
	}
	return rows[0][0], nil
}

// settledKey reads a record that survives a promotion. A primary that was
// replaced, or that has not discarded its tail yet, can hold records that the
// group does not keep: m must be confirmed as the primary of one term both
// before and after the record is read.
func (c *session) settledKey(ctx context.Context, m *member, key string) (string, error) {
	g, err := m.db.group()
	if err != nil {
		return "", err
	}
	if g.Primary != m.name {
		return "", errReplaced
	}
	if _, err := m.db.confirms.current(ctx); err != nil {
		return "", err
	}
	value, err := c.lookupKey(ctx, m, key)
	if err != nil {
		return "", err
	}
	if _, err := m.db.confirms.current(ctx); err != nil {
		return "", err
	}
	if now, err := m.db.group(); err != nil || now.Term != g.Term {
		return "", errReplaced
	}
	return value, nil
}

// replyClosed answers a write whose answer was lost and whose attempt was
// closed.
func (c *session) replyClosed(req *request, e *errs.Error, outcome errs.Outcome, value string) error {
	c.status = statusIdle
	if outcome != errs.Done {
		return c.giveUp(req, nil, c.unknown(e.Reason(), e.Text()))
	}
	_, tag, _ := strings.Cut(value, " ")
	if err := c.answerTag(req, tag); err != nil {
		return err
	}
	if !req.ready {
		return c.flush()
	}
	return c.send(c.ready())
}

// outcome answers SHOW tamarackcross.outcome for the key of the session. It
// closes the first attempt that has no record yet, which proves that nothing
// with this key runs any more.
func (c *session) outcome(ctx context.Context) (string, error) {
	if c.set.key == "" {
		return "", errs.New(errs.NotRun, errs.ReasonBadSetting, "no idempotency key is set")
	}
	limit := c.srv.policies.Resolve(c.scope(0)).Deadline
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	for n := range maxAttempts {
		outcome, _, fresh := c.closeAttempt(ctx, attemptKey(c.set.key, n))
		if outcome != errs.NotRun || fresh {
			return string(outcome), nil
		}
	}
	return string(errs.Unknown), nil
}

// closeKey commits a tombstone as the record of an attempt. If that succeeds
// the attempt can never commit, which proves that it did not run; if its own
// record exists it is done.
func (c *session) closeKey(ctx context.Context, key string) (errs.Outcome, string) {
	outcome, value, _ := c.closeAttempt(ctx, key)
	return outcome, value
}

// closePause is the wait between attempts to close a key. The usual cause of a
// failed one is a change of primary, which ends the wait early.
const closePause = 20 * time.Millisecond

// closeAttempt repeats tryClose until it is conclusive. fresh reports that the
// tombstone was not there before.
func (c *session) closeAttempt(ctx context.Context, key string) (outcome errs.Outcome, value string, fresh bool) {
	for ctx.Err() == nil {
		value, inserted, err := c.tryClose(ctx, key)
		fresh = fresh || inserted
		if err == nil && value == tombstone {
			return errs.NotRun, value, fresh
		}
		if err == nil {
			return errs.Done, value, false
		}
		c.awaitChange(ctx, closePause)
	}
	return errs.Unknown, "", false
}

func (c *session) tryClose(ctx context.Context, key string) (value string, inserted bool, err error) {
	db, err := c.srv.database(c.database)
	if err != nil {
		return "", false, err
	}
	m, err := db.primaryMember()
	if err != nil {
		return "", false, err
	}
	_, err = m.ask(ctx, insertKey(key, tombstone))
	if err != nil && pgctl.Code(err) != uniqueViolation {
		return "", false, err
	}
	inserted = err == nil
	value, err = c.settledKey(ctx, m, key)
	return value, inserted, err
}

// commitKeyed commits a transaction of the caller with its record.
func (c *session) commitKeyed(ctx context.Context, req *request) error {
	tx := c.tx
	x := c.newExecution(tx.conn, req)
	x.holding, x.checked, x.syncs = true, true, true
	x.before = []string{insertKey(c.set.key, record(req.digest(), "COMMIT"))}
	err := c.execute(ctx, x)
	if err != nil {
		e := asError(err)
		c.tx = nil
		tx.conn.tainted = true
		tx.conn.member.put(tx.conn)
		if e.Outcome() == errs.Unknown {
			outcome, value := c.closeKey(ctx, c.set.key)
			return c.replyClosed(req, e, outcome, value)
		}
		return c.giveUp(req, nil, e)
	}
	c.endTx(x)
	if x.hidden != nil && x.hidden.Code == uniqueViolation {
		value, err := c.settledKey(ctx, tx.conn.member, c.set.key)
		return c.replyRepeated(req, value, err)
	}
	return c.conclude(ctx, req, x)
}
