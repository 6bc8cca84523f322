package emul

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"tamarackcross/group"
)

const (
	fetchWait         = 250 * time.Millisecond // a fetch is answered after this time even without new entries
	fetchAnswerMargin = 500 * time.Millisecond // time beyond fetchWait after which an unanswered connection is replaced
	connectTimeout    = time.Second
	followTimeout     = time.Second          // how long group_follow waits for the primary
	initialBackoff    = 5 * time.Millisecond // delay after the first failed connection
	maxBackoff        = 200 * time.Millisecond
	maxFetchEntries   = 512 // entries in one answer to a fetch
)

// target is the primary that a replica follows.
type target struct {
	term   uint64
	addr   string
	synced bool // the log contains only entries of the history of the primary
	cancel context.CancelFunc
	err    error // why the last connection failed
}

// FollowResult is the result of Follow.
type FollowResult struct {
	Held      group.Position
	Synced    bool             // the log contains only entries of the history of the primary
	Discarded []group.Position // entries removed from the log for this term
}

// Follow makes the member a replica of the primary of term at addr. It waits a
// limited time until the log matches the history of the primary. It can be called
// again with the same arguments.
func (m *Member) Follow(ctx context.Context, term uint64, addr string) (FollowResult, error) {
	t, err := m.setTarget(term, addr)
	if err != nil {
		return FollowResult{}, err
	}
	var r FollowResult
	err = m.awaitTimeout(ctx, followTimeout, func() bool {
		r = FollowResult{Held: m.held(), Synced: t.synced, Discarded: m.discardedBy(term)}
		return t.synced || m.target != t
	})
	return r, err
}

func (m *Member) setTarget(term uint64, addr string) (*target, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if term < m.fencedTerm || term < m.term || m.isPrimaryOf(term) {
		return nil, errTermTooLow
	}
	if t := m.target; t != nil && t.term == term && t.addr == addr {
		return t, nil
	}
	m.stopFollowing()
	m.role, m.term, m.fencedTerm = Replica, term, term
	m.target = &target{term: term, addr: addr, cancel: func() {}}
	m.notify()
	return m.target, nil
}

// stopFollowing ends replication. The caller holds mu.
func (m *Member) stopFollowing() {
	if m.target != nil {
		m.target.cancel()
		m.target = nil
	}
}

// FollowError returns why the last connection to the primary failed, or nil.
func (m *Member) FollowError() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.target == nil {
		return nil
	}
	return m.target.err
}

// replicate follows the current target until ctx ends. It reconnects with
// exponential backoff.
func (m *Member) replicate(ctx context.Context) {
	backoff := initialBackoff
	for ctx.Err() == nil {
		var t *target
		m.await(ctx, func() bool {
			t = m.target
			return t != nil
		})
		if ctx.Err() != nil {
			return
		}
		fetched, err := m.followOnce(ctx, t)
		if fetched {
			backoff = initialBackoff
		}
		if m.recordEnd(t, err) && !m.waitBackoff(ctx, t, backoff) {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// recordEnd records why following t ended. It reports whether t is still the target.
func (m *Member) recordEnd(t *target, err error) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	t.err = err
	return m.target == t
}

// waitBackoff waits for d or until the target changes. It reports false if ctx
// ended.
func (m *Member) waitBackoff(ctx context.Context, t *target, d time.Duration) bool {
	limited, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	m.await(limited, func() bool { return m.target != t })
	return ctx.Err() == nil
}

// followOnce replicates over one connection until that fails. It reports whether any
// fetch was answered.
func (m *Member) followOnce(ctx context.Context, t *target) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !m.setCancel(t, cancel) {
		return false, nil
	}
	r, err := m.openReplication(ctx, t.addr)
	if err != nil {
		return false, err
	}
	defer m.closeConn(r.c)
	if err := m.syncWithPrimary(ctx, r, t); err != nil {
		return false, err
	}
	round := uint64(0)
	for n := 0; ; n++ {
		if round, err = m.fetchOnce(ctx, r, t, round); err != nil {
			return n > 0, err
		}
		if !wait(ctx, m.currentAckDelay()) {
			return true, ctx.Err()
		}
	}
}

// setCancel sets the function by which stopFollowing cancels the connection to t. It
// reports whether t is still the target.
func (m *Member) setCancel(t *target, cancel context.CancelFunc) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	t.cancel = cancel
	return m.target == t
}

// syncWithPrimary checks that the target is the primary of its term, and removes the
// entries that the history of the primary does not contain.
func (m *Member) syncWithPrimary(ctx context.Context, r *replicationConn, t *target) error {
	rows, err := r.query(ctx, "SHOW "+statusName)
	if err != nil {
		return err
	}
	if len(rows) != 1 || len(rows[0]) != len(statusColumns) {
		return eris.New("group_status of the primary returned unexpected rows or columns")
	}
	row := rows[0]
	if row[2] != string(Primary) || row[3] != strconv.FormatUint(t.term, 10) {
		return errNotPrimaryOfTerm
	}
	h, err := group.ParseHistory(row[8])
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.target != t {
		return eris.New("member no longer follows this primary")
	}
	m.truncate(m.keptEntries(h), t.term)
	m.history, t.synced = h, true
	m.notify()
	return nil
}

// fetchOnce acknowledges the entries that the member holds, waits for new ones and
// appends them. It returns the confirmation round that the next fetch acknowledges.
func (m *Member) fetchOnce(ctx context.Context, r *replicationConn, t *target, round uint64) (uint64, error) {
	sql, ok := m.fetchStatement(t, round)
	if !ok {
		return 0, eris.New("member no longer follows this primary")
	}
	rows, err := r.query(ctx, sql)
	if err != nil {
		return 0, err
	}
	entries, err := decodeEntries(rows)
	if err != nil {
		return 0, err
	}
	next, err := strconv.ParseUint(rows[0][0], 10, 64)
	if err != nil {
		return 0, eris.Wrap(err, "parse confirmation round in the answer to group_fetch")
	}
	return next, m.appendFetched(t, entries)
}

func (m *Member) currentAckDelay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ackDelay
}

// fetchStatement returns the next call of group_fetch. While entries wait for their
// apply lag, the call waits only until the next one is due, so that the primary soon
// learns the new applied position. The result is false if the member no longer
// follows t.
func (m *Member) fetchStatement(t *target, round uint64) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	timeout := fetchWait
	if m.appliedCount < len(m.log) {
		due := time.Until(m.receivedAt[m.appliedCount].Add(m.applyLag))
		timeout = min(max(due+time.Millisecond, time.Millisecond), fetchWait)
	}
	call := "SELECT " + fetchName + "(" + quote(m.name) +
		"," + strconv.FormatUint(t.term, 10) +
		"," + quote(m.held().String()) +
		"," + quote(m.appliedPosition().String()) +
		"," + strconv.FormatUint(round, 10) +
		"," + strconv.FormatInt(timeout.Milliseconds(), 10) + ")"
	return call, m.target == t
}

// decodeEntries parses the answer to group_fetch: a row with the confirmation round,
// then one row for each entry.
func decodeEntries(rows [][]string) ([]*logEntry, error) {
	if len(rows) == 0 {
		return nil, eris.New("group_fetch returned no rows")
	}
	var entries []*logEntry
	for _, row := range rows[1:] {
		pos, err := group.ParsePosition(row[1])
		if err != nil {
			return nil, err
		}
		e := &logEntry{Position: pos, encoded: row[2]}
		if err := json.Unmarshal([]byte(row[2]), &e.Changes); err != nil {
			return nil, eris.Wrap(err, "parse changes in the answer to group_fetch")
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// appendFetched appends entries that continue the log. It fails if the member has
// been fenced or follows another primary since the fetch.
func (m *Member) appendFetched(t *target, entries []*logEntry) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.target != t {
		return eris.New("member no longer follows this primary")
	}
	now := time.Now()
	for _, e := range entries {
		if e.Position.Offset != uint64(len(m.log))+1 {
			return errDiverged
		}
		m.append(e, now)
	}
	if len(entries) > 0 {
		m.applyDue(now)
		m.notify()
	}
	return nil
}

// applyDue applies the entries whose apply lag has passed. It returns when the next
// one is due, and whether there is one. The caller holds mu.
func (m *Member) applyDue(now time.Time) (time.Time, bool) {
	for m.appliedCount < len(m.log) {
		due := m.receivedAt[m.appliedCount].Add(m.applyLag)
		if due.After(now) {
			return due, true
		}
		m.applyUpTo(m.appliedCount + 1)
	}
	return time.Time{}, false
}

// applyLoop applies received entries when they are due.
func (m *Member) applyLoop(ctx context.Context) {
	for m.awaitThaw(ctx) == nil {
		m.mu.Lock()
		before := m.appliedCount
		due, more := m.applyDue(time.Now())
		if m.appliedCount != before {
			m.notify()
		}
		changed := m.changed
		m.mu.Unlock()
		if !waitChange(ctx, changed, due, more) {
			return
		}
	}
}

// waitChange waits until changed is closed or, if timed is true, until due. It
// reports false if ctx ended.
func waitChange(ctx context.Context, changed <-chan struct{}, due time.Time, timed bool) bool {
	var fires <-chan time.Time
	if timed {
		timer := time.NewTimer(time.Until(due))
		defer timer.Stop()
		fires = timer.C
	}
	select {
	case <-changed:
	case <-fires:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// callFetch runs group_fetch(member, term, held, applied, round, timeout_ms). It
// returns the entries after held once there are any, a new confirmation round has
// started, or the timeout has passed.
func (m *Member) callFetch(ctx context.Context, pid uint32, st callStmt, params []string) ([][]string, error) {
	req, err := fetchRequestOf(st, params)
	if err != nil {
		return nil, err
	}
	req.ack.pid = pid
	if err := m.recordAck(req); err != nil {
		return nil, err
	}
	var answer [][]string
	err = m.awaitTimeout(ctx, req.timeout, func() bool {
		if !m.isPrimaryOf(req.term) {
			answer = nil
			return true
		}
		answer = [][]string{{strconv.FormatUint(m.round, 10), "", ""}}
		return m.round > req.ack.round || uint64(len(m.log)) > req.ack.held.Offset
	})
	if err != nil {
		return nil, err
	}
	if answer == nil {
		return nil, errNotPrimaryOfTerm
	}
	return m.withEntries(answer, req.ack.held)
}

// fetchRequest holds the arguments of group_fetch.
type fetchRequest struct {
	member  string
	term    uint64
	ack     ack
	timeout time.Duration
}

func fetchRequestOf(st callStmt, params []string) (fetchRequest, error) {
	var r fetchRequest
	var errs [6]error
	var held, applied string
	r.member, errs[0] = st.textArg(0, params)
	r.term, errs[1] = st.uintArg(1, params)
	held, errs[2] = st.textArg(2, params)
	applied, errs[3] = st.textArg(3, params)
	r.ack.round, errs[4] = st.uintArg(4, params)
	r.timeout, errs[5] = st.millisArg(5, params)
	if err := errors.Join(errs[:]...); err != nil {
		return r, err
	}
	var errHeld, errApplied error
	r.ack.held, errHeld = group.ParsePosition(held)
	r.ack.applied, errApplied = group.ParsePosition(applied)
	if errHeld != nil || errApplied != nil {
		return r, &Error{sqlStateInvalidParameter, "position is not of the form term/offset"}
	}
	return r, nil
}

// recordAck records what a replica holds. It fails if the log of the replica is not
// a prefix of the local one. An acknowledgement that arrives over an older
// connection than the last one is outdated and is rejected.
func (m *Member) recordAck(r fetchRequest) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isPrimaryOf(r.term) {
		return errNotPrimaryOfTerm
	}
	if !m.logContains(r.ack.held) {
		return errDiverged
	}
	old := m.acks[r.member]
	if r.ack.pid < old.pid {
		return errNotPrimaryOfTerm
	}
	m.acks[r.member] = r.ack
	if old != r.ack {
		m.notify()
	}
	return nil
}

// logContains reports whether p is the position of an entry of the log, or zero. The
// caller holds mu.
func (m *Member) logContains(p group.Position) bool {
	if p.IsZero() {
		return true
	}
	return p.Offset > 0 && p.Offset <= uint64(len(m.log)) && m.log[p.Offset-1].Position == p
}

// withEntries appends the entries after held to an answer to group_fetch.
func (m *Member) withEntries(answer [][]string, held group.Position) ([][]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.logContains(held) {
		return nil, errDiverged
	}
	end := min(int(held.Offset)+maxFetchEntries, len(m.log))
	for _, e := range m.log[held.Offset:end] {
		text, err := e.encode()
		if err != nil {
			return nil, err
		}
		answer = append(answer, []string{answer[0][0], e.Position.String(), text})
	}
	return answer, nil
}
