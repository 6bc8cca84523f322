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

// keyTable is the table of idempotency records. A record is committed in the same
// transaction as its write, so that either both exist or neither.
const keyTable = "tamarackcross_keys"

// tombstone is the value of a record that keeps an attempt from ever committing.
const tombstone = "not_run"

const uniqueViolation = "23505"

// recordValue returns the value of an idempotency record: the digest of the request
// and the command tag of its answer.
func recordValue(digest uint64, tag string) string {
	return fmt.Sprintf("%016x %s", digest, tag)
}

// digest returns a hash of the request with its literals and parameters. The same
// statement with other values is another request and needs another key.
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

// maxAttempts limits the number of attempts, and so of records, per key. Each attempt
// has its own record, and an attempt begins only after a tombstone has closed the
// one before it.
const maxAttempts = 32

// attemptKey returns the key of the record of an attempt. The separator is a control
// character, which keys of callers cannot contain.
func attemptKey(key string, attempt int) string {
	if attempt == 0 {
		return key
	}
	return key + "\x1f" + strconv.Itoa(attempt)
}

// runKeyed runs a write together with its idempotency record. An attempt whose
// answer was lost is closed with a tombstone before the next one begins, so that
// at most one commits.
func (c *session) runKeyed(ctx context.Context, req *request) error {
	c.recordFirstAttempt()
	for n := 0; n < maxAttempts; {
		key := attemptKey(c.settings.key, n)
		x, err := c.attemptKeyed(ctx, req, key)
		if err == nil && x.keyRecord == keyExists {
			value, lookupErr := c.lookupDurableKey(ctx, x.conn.member, key)
			if lookupErr == nil && value == tombstone {
				n++
				continue
			}
			return c.replyDuplicate(req, value, lookupErr)
		}
		if err == nil && x.hiddenError != nil {
			x.reportHiddenError()
		}
		if err == nil && !x.rejected() {
			return c.completeRequest(ctx, req, x)
		}
		e := attemptError(x, err)
		if e.Outcome() == errs.Unknown {
			outcome, value := c.closeKey(ctx, key)
			if outcome != errs.NotRun {
				return c.replyClosed(req, e, outcome, value)
			}
			e = errs.New(errs.NotRun, e.Reason(), e.Text())
			n++
		}
		if !c.mayRetry(ctx, req, x, e) {
			return c.failRequest(req, x, e)
		}
		c.srv.stats.Retried(e.Reason())
	}
	return c.failRequest(req, nil, c.unknownOutcome(errs.ReasonRetryBudget, "too many attempts with one idempotency key"))
}

// keyRecordState is what an attempt found out about the record of its key.
type keyRecordState int

const (
	keyNone   keyRecordState = iota
	keyExists                // the record existed before
)

// attemptKeyed sends BEGIN, the record and the write in one round trip, then the
// command tag and COMMIT. If the record exists already, its INSERT fails the
// transaction, and the write does not run.
func (c *session) attemptKeyed(ctx context.Context, req *request, key string) (*execution, error) {
	l, err := c.acquire(ctx, req)
	if err != nil {
		return nil, err
	}
	defer l.releaseSlot()
	x := c.newExecution(l.conn, req)
	x.holdTail, x.snapshotChecked = true, true
	x.slotID = l.slotID
	x.forceSync = true // COMMIT or ROLLBACK follows as a simple query
	x.preamble = []string{"BEGIN", insertKey(key, recordValue(req.digest(), ""))}
	start := time.Now()
	err = c.execute(ctx, x)
	if err == nil {
		err = c.commitRecord(ctx, x, key)
	}
	if err == nil {
		c.srv.learner.Observe(req.fingerprint, time.Since(start), time.Now())
	}
	if x.hiddenError != nil && x.hiddenError.Code == uniqueViolation {
		x.keyRecord = keyExists
	}
	l.member.reportToBreaker(err)
	c.returnConn(x, err)
	return x, err
}

// commitRecord stores the command tag and commits the transaction of a keyed write,
// or rolls it back if a statement failed.
func (c *session) commitRecord(ctx context.Context, x *execution, key string) error {
	commit := []string{updateKey(key, recordValue(x.req.digest(), x.commandTag)), "COMMIT"}
	if x.failure != nil || x.hiddenError != nil {
		commit = []string{"ROLLBACK"}
	}
	end := &execution{session: c, conn: x.conn, req: x.req, preamble: commit, snapshotChecked: true, preambleOnly: true}
	if err := c.execute(ctx, end); err != nil {
		return err
	}
	if end.hiddenError != nil && x.failure == nil {
		x.failure = end.hiddenError
		x.heldTail = appendError(nil, end.hiddenError)
	}
	x.position, x.hasPosition = end.position, end.hasPosition
	x.status = end.status
	return nil
}

func appendError(b []byte, e *pgproto3.ErrorResponse) []byte {
	out, err := e.Encode(b)
	if err != nil {
		return b
	}
	return out
}

// reportHiddenError replaces the answer by the error of the record's INSERT. The
// answer to the write itself only says that the transaction had failed.
func (x *execution) reportHiddenError() {
	x.failure = x.hiddenError
	x.answerStarted = false
	x.heldTail = appendError(nil, x.hiddenError)
}

// replyDuplicate answers a write whose record existed already: with the command tag
// of the first run, or with an error if the key was used for another request.
func (c *session) replyDuplicate(req *request, value string, err error) error {
	c.status = statusIdle
	if err != nil {
		return c.failRequest(req, nil, c.unknownOutcome(errs.ReasonBackendLost, "the record of the idempotency key could not be read"))
	}
	digest, tag, _ := strings.Cut(value, " ")
	if value == tombstone {
		return c.failRequest(req, nil, errs.New(errs.NotRun, errs.ReasonKeyReuse, "the idempotency key was closed as not run"))
	}
	if digest != fmt.Sprintf("%016x", req.digest()) {
		e := errs.New(errs.NotRun, errs.ReasonKeyReuse, "the idempotency key was used with another statement")
		return c.failRequest(req, nil, e)
	}
	if err := c.send(duplicateNotice()); err != nil {
		return err
	}
	if err := c.sendCommandTag(req, tag); err != nil {
		return err
	}
	if !req.endsWithReady {
		return c.flush()
	}
	return c.send(c.ready())
}

func duplicateNotice() *pgproto3.NoticeResponse {
	return &pgproto3.NoticeResponse{
		Severity: "NOTICE", SeverityUnlocalized: "NOTICE", Code: "00000",
		Message: "the request with this idempotency key was done before", Detail: "outcome=done",
	}
}

// sendCommandTag sends the answer to a request that ran before: its command tag and
// what the protocol requires for the other messages of a batch.
func (c *session) sendCommandTag(req *request, tag string) error {
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

// lookupKey reads a record at a member.
func (c *session) lookupKey(ctx context.Context, m *member, key string) (string, error) {
	rows, err := m.queryOnce(ctx, selectKey(key))
	if err != nil {
		return "", err
	}
	if len(rows) != 1 || len(rows[0]) != 1 {
		return "", pgctl.ErrUnexpectedAnswer
	}
	return rows[0][0], nil
}

// lookupDurableKey reads a record at the primary m and makes sure that a promotion
// cannot discard it. A member that was replaced as the primary, or that has not
// discarded the end of its log yet, can hold records that the group will not keep,
// so m must be confirmed as the primary of the same term before and after the read.
func (c *session) lookupDurableKey(ctx context.Context, m *member, key string) (string, error) {
	g, err := m.db.group()
	if err != nil {
		return "", err
	}
	if g.Primary != m.name {
		return "", errPrimaryReplaced
	}
	if _, err := m.db.confirmer.currentPosition(ctx); err != nil {
		return "", err
	}
	value, err := c.lookupKey(ctx, m, key)
	if err != nil {
		return "", err
	}
	if _, err := m.db.confirmer.currentPosition(ctx); err != nil {
		return "", err
	}
	if now, err := m.db.group(); err != nil || now.Term != g.Term {
		return "", errPrimaryReplaced
	}
	return value, nil
}

// replyClosed answers a write whose answer was lost, after closeKey has determined
// its outcome as far as possible.
func (c *session) replyClosed(req *request, e *errs.Error, outcome errs.Outcome, value string) error {
	c.status = statusIdle
	if outcome != errs.Done {
		return c.failRequest(req, nil, c.unknownOutcome(e.Reason(), e.Text()))
	}
	_, tag, _ := strings.Cut(value, " ")
	if err := c.sendCommandTag(req, tag); err != nil {
		return err
	}
	if !req.endsWithReady {
		return c.flush()
	}
	return c.send(c.ready())
}

// keyOutcome returns the value of SHOW tamarackcross.outcome for the key of the
// session. It closes the first attempt that has no record yet, so that no request
// that is still running with this key can commit afterwards.
func (c *session) keyOutcome(ctx context.Context) (string, error) {
	if c.settings.key == "" {
		return "", errs.New(errs.NotRun, errs.ReasonBadSetting, "no idempotency key is set")
	}
	limit := c.srv.policies.Resolve(c.scope(0)).Deadline
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	for n := range maxAttempts {
		outcome, _, created := c.closeAttempt(ctx, attemptKey(c.settings.key, n))
		if outcome != errs.NotRun || created {
			return string(outcome), nil
		}
	}
	return string(errs.Unknown), nil
}

// closeKey closes an attempt by committing a tombstone as its record. If that
// succeeds, the attempt can never commit, so its outcome is not_run; if the record
// of the attempt exists already, the outcome is done.
func (c *session) closeKey(ctx context.Context, key string) (errs.Outcome, string) {
	outcome, value, _ := c.closeAttempt(ctx, key)
	return outcome, value
}

// closeRetryInterval is the wait after a failed tryClose. The usual cause is a
// failover, and the wait ends early once the new primary is known.
const closeRetryInterval = 20 * time.Millisecond

// closeAttempt repeats tryClose until the outcome is known or ctx ends. created
// reports whether this call wrote the tombstone.
func (c *session) closeAttempt(ctx context.Context, key string) (outcome errs.Outcome, value string, created bool) {
	for ctx.Err() == nil {
		value, inserted, err := c.tryClose(ctx, key)
		created = created || inserted
		if err == nil && value == tombstone {
			return errs.NotRun, value, created
		}
		if err == nil {
			return errs.Done, value, false
		}
		c.awaitDirectoryChange(ctx, closeRetryInterval)
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
	_, err = m.queryOnce(ctx, insertKey(key, tombstone))
	if err != nil && pgctl.SQLState(err) != uniqueViolation {
		return "", false, err
	}
	inserted = err == nil
	value, err = c.lookupDurableKey(ctx, m, key)
	return value, inserted, err
}

// commitKeyed commits a transaction of the caller together with its idempotency
// record.
func (c *session) commitKeyed(ctx context.Context, req *request) error {
	tx := c.tx
	x := c.newExecution(tx.conn, req)
	x.holdTail, x.snapshotChecked, x.forceSync = true, true, true
	x.preamble = []string{insertKey(c.settings.key, recordValue(req.digest(), "COMMIT"))}
	err := c.execute(ctx, x)
	if err != nil {
		e := asError(err)
		c.tx = nil
		tx.conn.tainted = true
		tx.conn.member.put(tx.conn)
		if e.Outcome() == errs.Unknown {
			outcome, value := c.closeKey(ctx, c.settings.key)
			return c.replyClosed(req, e, outcome, value)
		}
		return c.failRequest(req, nil, e)
	}
	c.endTx(x)
	if x.hiddenError != nil && x.hiddenError.Code == uniqueViolation {
		value, err := c.lookupDurableKey(ctx, tx.conn.member, c.settings.key)
		return c.replyDuplicate(req, value, err)
	}
	return c.completeRequest(ctx, req, x)
}
