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
	fetchPoll    = 250 * time.Millisecond // a fetch without news is answered after this time
	fetchLimit   = 500 * time.Millisecond // a connection whose answer is late by this time is replaced
	connectLimit = time.Second            // opening a connection takes at most this long
	followWait   = time.Second            // group_follow waits for the primary this long
	backoffFirst = 5 * time.Millisecond   // pause after the first failed connection
	backoffLast  = 200 * time.Millisecond // longest pause between connections
	fetchBatch   = 512                    // entries in one answer
)

// target is the primary that a replica follows.
type target struct {
	term   uint64
	addr   string
	synced bool // the log was clipped by the history of the primary
	cancel context.CancelFunc
	err    error // why the last connection failed
}

// FollowResult is what Follow reports.
type FollowResult struct {
	Held      group.Position
	Synced    bool             // the member has clipped its log by the history of the primary
	Discarded []group.Position // entries given up for this term
}

// Follow makes the member a replica of the primary of term at addr. It waits a
// limited time for the first contact with the primary and can be repeated.
func (m *Member) Follow(ctx context.Context, term uint64, addr string) (FollowResult, error) {
	t, err := m.setTarget(term, addr)
	if err != nil {
		return FollowResult{}, err
	}
	var r FollowResult
	err = m.poll(ctx, followWait, func() bool {
		r = FollowResult{Held: m.held(), Synced: t.synced, Discarded: m.discardedBy(term)}
		return t.synced || m.target != t
	})
	return r, err
}

func (m *Member) setTarget(term uint64, addr string) (*target, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if term < m.fencedTerm || term < m.term || m.leads(term) {
		return nil, errTerm
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

// replicate follows the current target until ctx ends.
func (m *Member) replicate(ctx context.Context) {
	pause := backoffFirst
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
			pause = backoffFirst
		}
		if m.failed(t, err) && !m.pause(ctx, t, pause) {
			return
		}
		pause = min(2*pause, backoffLast)
	}
}

// failed records why following t ended and reports whether t is still the
// target.
func (m *Member) failed(t *target, err error) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	t.err = err
	return m.target == t
}

// pause waits for d, or until the target changes. It reports whether ctx lasted.
func (m *Member) pause(ctx context.Context, t *target, d time.Duration) bool {
	limited, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	m.await(limited, func() bool { return m.target != t })
	return ctx.Err() == nil
}

// followOnce replicates over one connection. It reports whether any fetch was
// answered.
func (m *Member) followOnce(ctx context.Context, t *target) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !m.arm(t, cancel) {
		return false, nil
	}
	r, err := m.openReplication(ctx, t.addr)
	if err != nil {
		return false, err
	}
	defer m.disown(r.c)
	if err := m.sync(ctx, r, t); err != nil {
		return false, err
	}
	round := uint64(0)
	for n := 0; ; n++ {
		if round, err = m.fetchOnce(ctx, r, t, round); err != nil {
			return n > 0, err
		}
		if !wait(ctx, m.currentShipLag()) {
			return true, ctx.Err()
		}
	}
}

// arm lets stopFollowing cancel the connection to t.
func (m *Member) arm(t *target, cancel context.CancelFunc) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	t.cancel = cancel
	return m.target == t
}

// sync clips the log by the history of the primary.
func (m *Member) sync(ctx context.Context, r *replication, t *target) error {
	all, err := r.query(ctx, "SHOW "+statusName)
	if err != nil {
		return err
	}
	if len(all) != 1 || len(all[0]) != len(statusColumns) {
		return eris.New("status of the primary has an unknown form")
	}
	row := all[0]
	if row[2] != string(Primary) || row[3] != strconv.FormatUint(t.term, 10) {
		return errRole
	}
	h, err := group.ParseHistory(row[8])
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.target != t {
		return eris.New("member follows another primary")
	}
	m.truncate(m.clipped(h), t.term)
	m.history, t.synced = h, true
	m.notify()
	return nil
}

// fetchOnce acknowledges what the member holds, waits for new entries and
// appends them. It returns the confirmation round to echo.
func (m *Member) fetchOnce(ctx context.Context, r *replication, t *target, round uint64) (uint64, error) {
	sql, ok := m.fetchStatement(t, round)
	if !ok {
		return 0, eris.New("member follows another primary")
	}
	all, err := r.query(ctx, sql)
	if err != nil {
		return 0, err
	}
	entries, err := decodeEntries(all)
	if err != nil {
		return 0, err
	}
	next, err := strconv.ParseUint(all[0][0], 10, 64)
	if err != nil {
		return 0, eris.Wrap(err, "round")
	}
	return next, m.receive(t, entries)
}

func (m *Member) currentShipLag() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.shipLag
}

// fetchStatement builds the next fetch. While entries wait for their apply lag,
// the fetch ends when the next one is due, so that the primary soon learns the
// applied position.
func (m *Member) fetchStatement(t *target, round uint64) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	poll := fetchPoll
	if m.applied < len(m.log) {
		due := time.Until(m.received[m.applied].Add(m.applyLag))
		poll = min(max(due+time.Millisecond, time.Millisecond), fetchPoll)
	}
	call := "SELECT " + fetchName + "(" + quote(m.name) +
		"," + strconv.FormatUint(t.term, 10) +
		"," + quote(m.held().String()) +
		"," + quote(m.appliedPosition().String()) +
		"," + strconv.FormatUint(round, 10) +
		"," + strconv.FormatInt(poll.Milliseconds(), 10) + ")"
	return call, m.target == t
}

// decodeEntries reads the answer of group_fetch: a row with the round, then one
// row per entry.
func decodeEntries(all [][]string) ([]*entry, error) {
	if len(all) == 0 {
		return nil, eris.New("fetch: empty answer")
	}
	var entries []*entry
	for _, row := range all[1:] {
		pos, err := group.ParsePosition(row[1])
		if err != nil {
			return nil, err
		}
		e := &entry{Position: pos, encoded: row[2]}
		if err := json.Unmarshal([]byte(row[2]), &e.Changes); err != nil {
			return nil, eris.Wrap(err, "fetch: changes")
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// receive appends entries that continue the log, unless the member has been
// fenced or follows another primary since the fetch.
func (m *Member) receive(t *target, entries []*entry) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.target != t {
		return eris.New("member follows another primary")
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

// applyDue applies the entries whose apply lag has passed. It returns when the
// next one is due. The caller holds mu.
func (m *Member) applyDue(now time.Time) (time.Time, bool) {
	for m.applied < len(m.log) {
		due := m.received[m.applied].Add(m.applyLag)
		if due.After(now) {
			return due, true
		}
		m.applyUpTo(m.applied + 1)
	}
	return time.Time{}, false
}

// applyLoop applies received entries when they are due.
func (m *Member) applyLoop(ctx context.Context) {
	for m.gate(ctx) == nil {
		m.mu.Lock()
		before := m.applied
		due, more := m.applyDue(time.Now())
		if m.applied != before {
			m.notify()
		}
		changed := m.changed
		m.mu.Unlock()
		if !waitChange(ctx, changed, due, more) {
			return
		}
	}
}

// waitChange waits until changed is closed or, with timed, until due. It
// reports whether ctx lasted.
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

// callFetch answers group_fetch(member, term, held, applied, round, timeout_ms).
func (m *Member) callFetch(ctx context.Context, pid uint32, st callStmt, params []string) ([][]string, error) {
	req, err := fetchRequestOf(st, params)
	if err != nil {
		return nil, err
	}
	req.ack.pid = pid
	if err := m.acknowledge(req); err != nil {
		return nil, err
	}
	var answer [][]string
	err = m.poll(ctx, req.timeout, func() bool {
		if !m.leads(req.term) {
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
		return nil, errRole
	}
	return m.withEntries(answer, req.ack.held)
}

// fetchRequest is a parsed group_fetch.
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
	r.member, errs[0] = st.text(0, params)
	r.term, errs[1] = st.unsigned(1, params)
	held, errs[2] = st.text(2, params)
	applied, errs[3] = st.text(3, params)
	r.ack.round, errs[4] = st.unsigned(4, params)
	r.timeout, errs[5] = st.millis(5, params)
	if err := errors.Join(errs[:]...); err != nil {
		return r, err
	}
	var errHeld, errApplied error
	r.ack.held, errHeld = group.ParsePosition(held)
	r.ack.applied, errApplied = group.ParsePosition(applied)
	if errHeld != nil || errApplied != nil {
		return r, &Error{stateBadParameter, "position is not of the form term/offset"}
	}
	return r, nil
}

// acknowledge records what a replica holds if its log is a prefix of the log
// here. An answer that arrives over an older connection than the last one is
// out of date and is ignored.
func (m *Member) acknowledge(r fetchRequest) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.leads(r.term) {
		return errRole
	}
	if !m.contains(r.ack.held) {
		return errDiverged
	}
	old := m.acks[r.member]
	if r.ack.pid < old.pid {
		return errRole
	}
	m.acks[r.member] = r.ack
	if old != r.ack {
		m.notify()
	}
	return nil
}

// contains reports whether p is an entry of the log. The caller holds mu.
func (m *Member) contains(p group.Position) bool {
	if p.IsZero() {
		return true
	}
	return p.Offset > 0 && p.Offset <= uint64(len(m.log)) && m.log[p.Offset-1].Position == p
}

// withEntries appends the entries after held to an answer of group_fetch.
func (m *Member) withEntries(answer [][]string, held group.Position) ([][]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.contains(held) {
		return nil, errDiverged
	}
	end := min(int(held.Offset)+fetchBatch, len(m.log))
	for _, e := range m.log[held.Offset:end] {
		text, err := e.encode()
		if err != nil {
			return nil, err
		}
		answer = append(answer, []string{answer[0][0], e.Position.String(), text})
	}
	return answer, nil
}
