package raft

import "slices"

// memlog is the part of the log that is kept in memory. All of it is on disk,
// because an Output is persisted before the next input.
type memlog struct {
	lastCompacted    EntryID // the entry before entries[0]
	entries          []Entry
	commitIndex      Index
	lastApplied      Index // the last entry returned in Output.Committed
	uncommittedBytes int   // size of the entries after commitIndex
}

func newLog(snap Snapshot, entries []Entry) memlog {
	return memlog{
		lastCompacted:    snap.LastIncluded(),
		entries:          slices.Clone(entries),
		commitIndex:      snap.Index,
		lastApplied:      snap.Index,
		uncommittedBytes: sizeInLog(entries),
	}
}

func (l *memlog) lastIndex() Index { return l.lastCompacted.Index + Index(len(l.entries)) }

func (l *memlog) lastTerm() Term {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term of the entry at i, and whether the log still knows it.
func (l *memlog) term(i Index) (Term, bool) {
	switch {
	case i == l.lastCompacted.Index:
		return l.lastCompacted.Term, true
	case i < l.lastCompacted.Index || i > l.lastIndex():
		return 0, false
	}
	return l.entries[i-l.lastCompacted.Index-1].Term, true
}

func (l *memlog) contains(id EntryID) bool {
	t, ok := l.term(id.Index)
	return ok && t == id.Term
}

// batch returns the entries from index from on, limited to maxEntries and
// maxBytes. It returns at least one entry.
func (l *memlog) batch(from Index, maxEntries, maxBytes int) []Entry {
	start := int(from - l.lastCompacted.Index - 1)
	end := start
	for bytes := 0; end < len(l.entries) && end-start < maxEntries; end++ {
		bytes += len(l.entries[end].Data) + entryOverheadBytes
		if bytes > maxBytes && end > start {
			break
		}
	}
	return l.entries[start:end:end]
}

// between returns the entries after from, up to and including to.
func (l *memlog) between(from, to Index) []Entry {
	lo, hi := from-l.lastCompacted.Index, to-l.lastCompacted.Index
	return l.entries[lo:hi:hi]
}

func (l *memlog) append(es ...Entry) {
	l.entries = append(l.entries, es...)
	l.uncommittedBytes += sizeInLog(es)
}

// truncate removes the entries from index from on. Batches returned earlier share
// the backing array, so its capacity is cut to keep later appends from
// overwriting them.
func (l *memlog) truncate(from Index) {
	l.uncommittedBytes -= sizeInLog(l.between(from-1, l.lastIndex()))
	keep := from - l.lastCompacted.Index - 1
	l.entries = l.entries[:keep:keep]
}

// trailingStart returns the index after which the log is kept when a snapshot covers it up to
// end: at most maxEntries entries with at most maxBytes.
func (l *memlog) trailingStart(end Index, maxEntries, maxBytes int) Index {
	i, bytes := end, 0
	for i > l.lastCompacted.Index && end-i < Index(maxEntries) {
		bytes += sizeInLog(l.between(i-1, i))
		if bytes > maxBytes {
			break
		}
		i--
	}
	return i
}

// compact removes the entries up to and including i.
func (l *memlog) compact(i Index) {
	if i <= l.lastCompacted.Index {
		return
	}
	t, _ := l.term(i)
	l.entries = slices.Clone(l.entries[i-l.lastCompacted.Index:])
	l.lastCompacted = EntryID{Index: i, Term: t}
}

// findConflictByTerm returns the newest entry at or before i whose term is not
// higher than t, or the zero EntryID if that entry may lie before the log. With
// it the other side skips all entries of a conflicting term at once.
func (l *memlog) findConflictByTerm(i Index, t Term) EntryID {
	i = min(i, l.lastIndex())
	for {
		term, ok := l.term(i)
		if !ok {
			return EntryID{}
		}
		if term <= t {
			return EntryID{Index: i, Term: term}
		}
		i--
	}
}

// commitTo raises the commit index.
func (l *memlog) commitTo(i Index) {
	l.uncommittedBytes -= sizeInLog(l.between(l.commitIndex, i))
	l.commitIndex = i
}

// sizeInLog returns the bytes of es that count towards the limits.
func sizeInLog(es []Entry) int {
	bytes := 0
	for _, e := range es {
		bytes += len(e.Data) + entryOverheadBytes
	}
	return bytes
}
