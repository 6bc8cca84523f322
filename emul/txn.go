package emul

import (
	"context"
	"errors"
	"time"

	"tamarackcross/group"
)

const lockTimeout = 5 * time.Second // a longer wait counts as a deadlock

// txn is an open transaction of one connection.
type txn struct {
	m          *Member
	term       uint64 // term of the first write
	writes     map[rowKey]change
	writeOrder []rowKey
	locked     []rowKey
	failed     bool
	explicit   bool
}

type rowKey struct{ table, key string }

func (m *Member) begin(explicit bool) *txn {
	return &txn{m: m, explicit: explicit}
}

// bindToTerm checks that the transaction may write and binds it to the term of the
// member at its first write. A transaction that outlives its term cannot commit,
// because its reads may come from entries that were removed since.
func (t *txn) bindToTerm() error {
	t.m.mu.Lock()
	defer t.m.mu.Unlock()
	if t.term == 0 {
		t.term = t.m.term
	}
	return t.checkWritable()
}

// checkWritable returns an error if the transaction cannot write. The caller holds
// mu.
func (t *txn) checkWritable() error {
	if t.m.fencedTerm > t.m.term {
		return errFenced
	}
	if t.m.role != Primary || t.m.term != t.term {
		return errNotPrimary
	}
	return nil
}

// lock takes the write lock of a row. It waits while another transaction holds it.
func (t *txn) lock(ctx context.Context, k rowKey) error {
	if t.tryLock(k) {
		return nil
	}
	limited, cancel := context.WithTimeoutCause(ctx, lockTimeout, errLockTimeout)
	defer cancel()
	if t.m.await(limited, func() bool { return t.lockIfFree(k) }) {
		return nil
	}
	if errors.Is(context.Cause(limited), errLockTimeout) {
		return errLockTimeout
	}
	return cancelError(ctx)
}

func (t *txn) tryLock(k rowKey) bool {
	t.m.mu.Lock()
	defer t.m.mu.Unlock()
	return t.lockIfFree(k)
}

// lockIfFree takes the lock of a row if it is free, and reports whether the
// transaction holds it. The caller holds mu.
func (t *txn) lockIfFree(k rowKey) bool {
	holder := t.m.locks[k]
	if holder == nil {
		t.m.locks[k] = t
		t.locked = append(t.locked, k)
	}
	return holder == nil || holder == t
}

// get reads a row as the transaction sees it. The caller holds mu.
func (t *txn) get(k rowKey) (string, bool) {
	if c, ok := t.writes[k]; ok {
		return c.Value, c.Present
	}
	return t.m.data.get(k.table, k.key)
}

func (t *txn) put(k rowKey, value string, present bool) {
	if t.writes == nil {
		t.writes = make(map[rowKey]change)
	}
	if _, ok := t.writes[k]; !ok {
		t.writeOrder = append(t.writeOrder, k)
	}
	t.writes[k] = change{Table: k.table, Key: k.key, Value: value, Present: present}
}

// commit appends the writes to the log, applies them and returns the position of the
// commit. A transaction without writes returns the applied position.
func (t *txn) commit() (group.Position, error) {
	t.m.mu.Lock()
	defer t.m.mu.Unlock()
	defer t.releaseLocks()
	if len(t.writeOrder) == 0 {
		return t.m.appliedPosition(), nil
	}
	if err := t.checkWritable(); err != nil {
		return group.Position{}, err
	}
	e := &logEntry{Position: group.Position{Term: t.m.term, Offset: uint64(len(t.m.log)) + 1}}
	for _, k := range t.writeOrder {
		e.Changes = append(e.Changes, t.writes[k])
	}
	t.m.append(e, time.Time{})
	t.m.applyUpTo(len(t.m.log))
	return e.Position, nil
}

// rollback discards the writes and releases the locks.
func (t *txn) rollback() {
	t.m.mu.Lock()
	defer t.m.mu.Unlock()
	t.releaseLocks()
	t.writes, t.writeOrder = nil, nil
}

// releaseLocks releases the locks and wakes goroutines that wait for them or for a
// new log entry. The caller holds mu.
func (t *txn) releaseLocks() {
	if len(t.locked) == 0 {
		return
	}
	defer t.m.notify()
	for _, k := range t.locked {
		if t.m.locks[k] == t {
			delete(t.m.locks, k)
		}
	}
	t.locked = nil
}
