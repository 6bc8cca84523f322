package raft_test

import (
	"encoding/binary"
	"fmt"
	"hash/crc64"

	"tamarackcross/raft"
)

var table = crc64.MakeTable(crc64.ECMA)

// digest continues the digest of an applied log by one entry.
func digest(d uint64, e raft.Entry) uint64 {
	buf := binary.LittleEndian.AppendUint64(nil, d)
	buf = binary.LittleEndian.AppendUint64(buf, uint64(e.Term))
	buf = append(buf, byte(e.Kind))
	return crc64.Checksum(append(buf, e.Data...), table)
}

// checker sees everything that the members do and holds it against the
// promises of the log. The first violation is kept.
type checker struct {
	leaders   map[raft.Term]raft.ID
	entries   map[raft.Mark]uint64 // content of an entry and term of the one before
	committed map[raft.Index]commit
	highest   raft.Index // highest index reported committed by anyone
	floors    map[uint64]raft.Index
	reads     int
	err       error
}

type commit struct {
	entry  raft.Entry
	term   raft.Term // the term of the first member that reported it
	digest uint64
}

func newChecker() *checker {
	return &checker{
		leaders:   map[raft.Term]raft.ID{},
		entries:   map[raft.Mark]uint64{},
		committed: map[raft.Index]commit{1: {entry: raft.Entry{Index: 1, Term: 1}}},
		highest:   1,
		floors:    map[uint64]raft.Index{},
	}
}

func (c *checker) fail(format string, args ...any) {
	if c.err == nil {
		c.err = fmt.Errorf(format, args...)
	}
}

// leader checks that a term has one leader, and that the leader holds every
// entry that was committed in an earlier term.
func (c *checker) leader(id raft.ID, term raft.Term, disk raft.Saved) {
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

// persisted checks that entries of the same index and term are equal and
// follow equal entries, in every log.
func (c *checker) persisted(disk raft.Saved, from raft.Index) {
	prev := disk.Snapshot.Term
	for _, e := range disk.Entries {
		if e.Index >= from {
			m := raft.Mark{Index: e.Index, Term: e.Term}
			d := digest(uint64(prev), e)
			if other, ok := c.entries[m]; ok && other != d {
				c.fail("two logs differ at or before entry %d of term %d", e.Index, e.Term)
			}
			c.entries[m] = d
		}
		prev = e.Term
	}
}

func (c *checker) commit(e raft.Entry, term raft.Term, d uint64) {
	old, ok := c.committed[e.Index]
	if !ok {
		c.committed[e.Index] = commit{entry: e, term: term, digest: d}
		c.highest = max(c.highest, e.Index)
		return
	}
	if old.digest != d || old.entry.Term != e.Term {
		c.fail("entry %d was committed with term %d and again with term %d", e.Index, old.entry.Term, e.Term)
	}
}

func (c *checker) restored(snap raft.Snapshot, d uint64) {
	if old, ok := c.committed[snap.Index]; !ok || old.digest != d {
		c.fail("snapshot %d does not hold the committed state", snap.Index)
	}
}

func (c *checker) asked(request uint64) { c.floors[request] = c.highest }

func (c *checker) answered(r raft.ReadResult) {
	if !r.Confirmed {
		return
	}
	c.reads++
	if floor := c.floors[r.Request]; r.Index < floor {
		c.fail("read %d returned index %d, but %d was committed when it started", r.Request, r.Index, floor)
	}
}

// members returns the newest committed membership.
func (c *checker) members(bootstrap raft.Members) raft.Members {
	ms := bootstrap
	for i := raft.Index(2); i <= c.highest; i++ {
		if e := c.committed[i].entry; e.Kind == raft.KindMembers {
			ms, _ = raft.DecodeMembers(e.Data)
		}
	}
	return ms
}
