package raft_test

import (
	"encoding/binary"
	"fmt"
	"hash/crc64"

	"tamarackcross/raft"
)

var crcTable = crc64.MakeTable(crc64.ECMA)

// digest extends the digest d of an applied log by one entry.
func digest(d uint64, e raft.Entry) uint64 {
	buf := binary.LittleEndian.AppendUint64(nil, d)
	buf = binary.LittleEndian.AppendUint64(buf, uint64(e.Term))
	buf = append(buf, byte(e.Kind))
	return crc64.Checksum(append(buf, e.Data...), crcTable)
}

// checker observes what all members do and verifies the safety properties of
// Raft. It keeps the first violation.
type checker struct {
	leaders      map[raft.Term]raft.ID
	entries      map[raft.EntryID]uint64 // digest of an entry's content and of the previous entry's term
	committed    map[raft.Index]committedEntry
	highest      raft.Index            // highest index that any member reported as committed
	minReadIndex map[uint64]raft.Index // by request: the highest committed index when the read started
	reads        int
	err          error
}

type committedEntry struct {
	entry  raft.Entry
	term   raft.Term // term of the first member that reported it as committed
	digest uint64
}

func newChecker() *checker {
	return &checker{
		leaders:      map[raft.Term]raft.ID{},
		entries:      map[raft.EntryID]uint64{},
		committed:    map[raft.Index]committedEntry{1: {entry: raft.Entry{Index: 1, Term: 1}}},
		highest:      1,
		minReadIndex: map[uint64]raft.Index{},
	}
}

func (c *checker) fail(format string, args ...any) {
	if c.err == nil {
		c.err = fmt.Errorf(format, args...)
	}
}

// leader verifies that a term has one leader, and that the leader has every entry
// that was committed in an earlier term.
func (c *checker) leader(id raft.ID, term raft.Term, disk raft.PersistentState) {
	if other, ok := c.leaders[term]; ok {
		if other != id {
			c.fail("term %d has the leaders %s and %s", term, other, id)
		}
		return
	}
	c.leaders[term] = id
	for i := disk.Snapshot.Index + 1; i <= c.highest; i++ {
		k := int(i - disk.Snapshot.Index - 1)
		if want := c.committed[i]; want.term < term && (k >= len(disk.Entries) || disk.Entries[k].Term != want.entry.Term) {
			c.fail("leader %s of term %d misses entry %d committed in term %d", id, term, i, want.term)
		}
	}
}

// persisted verifies that entries of the same index and term, in any two logs,
// are equal and follow equal entries.
func (c *checker) persisted(disk raft.PersistentState, from raft.Index) {
	prev := disk.Snapshot.Term
	for _, e := range disk.Entries {
		if e.Index >= from {
			id := raft.EntryID{Index: e.Index, Term: e.Term}
			d := digest(uint64(prev), e)
			if other, ok := c.entries[id]; ok && other != d {
				c.fail("two logs differ at or before entry %d of term %d", e.Index, e.Term)
			}
			c.entries[id] = d
		}
		prev = e.Term
	}
}

func (c *checker) commit(e raft.Entry, term raft.Term, d uint64) {
	old, ok := c.committed[e.Index]
	if !ok {
		c.committed[e.Index] = committedEntry{entry: e, term: term, digest: d}
		c.highest = max(c.highest, e.Index)
		return
	}
	if old.digest != d || old.entry.Term != e.Term {
		c.fail("entry %d was committed with term %d and again with term %d", e.Index, old.entry.Term, e.Term)
	}
}

func (c *checker) restored(snap raft.Snapshot, d uint64) {
	if old, ok := c.committed[snap.Index]; !ok || old.digest != d {
		c.fail("snapshot %d does not contain the committed state", snap.Index)
	}
}

func (c *checker) readStarted(request uint64) { c.minReadIndex[request] = c.highest }

func (c *checker) readFinished(r raft.ReadResult) {
	if !r.Confirmed {
		return
	}
	c.reads++
	if minIndex := c.minReadIndex[r.Request]; r.Index < minIndex {
		c.fail("read %d returned index %d, but %d was committed when it started", r.Request, r.Index, minIndex)
	}
}

// members returns the latest committed membership.
func (c *checker) members(bootstrap raft.Members) raft.Members {
	ms := bootstrap
	for i := raft.Index(2); i <= c.highest; i++ {
		if e := c.committed[i].entry; e.Kind == raft.KindMembers {
			ms, _ = raft.DecodeMembers(e.Data)
		}
	}
	return ms
}
