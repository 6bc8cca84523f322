package raft

import "slices"

// memlog is the part of the log that is held in memory. All of it is durable,
// because an Output is persisted before the next input.
type memlog struct {
	base    Mark // the entry before entries[0]
	entries []Entry
	commit  Index
	applied Index // the last entry handed out as committed
	pending int   // bytes of the entries after commit
}

func newLog(snap Snapshot, entries []Entry) memlog {
	return memlog{
		base:    snap.Mark(),
		entries: slices.Clone(entries),
		commit:  snap.Index,
		applied: snap.Index,
		pending: size(entries),
	}
}

func (l *memlog) last() Index { return l.base.Index + Index(len(l.entries)) }

func (l *memlog) lastTerm() Term {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at i, if it is still known.
func (l *memlog) term(i Index) (Term, bool) {
	switch {
	case i == l.base.Index:
		return l.base.Term, true
	case i < l.base.Index || i > l.last():
		return 0, false
	}
	return l.entries[i-l.base.Index-1].Term, true
}

func (l *memlog) holds(m Mark) bool {
	t, ok := l.term(m.Index)
	return ok && t == m.Term
}

// batch returns entries from index from on, at least one and otherwise at most
// count entries and size bytes.
func (l *memlog) batch(from Index, count, size int) []Entry {
	start := int(from - l.base.Index - 1)
	end := start
	for bytes := 0; end < len(l.entries) && end-start < count; end++ {
		bytes += len(l.entries[end].Data) + entryOverhead
		if bytes > size && end > start {
			break
		}
	}
	return l.entries[start:end:end]
}

// between returns the entries after from, up to and including to.
func (l *memlog) between(from, to Index) []Entry {
	lo, hi := from-l.base.Index, to-l.base.Index
	return l.entries[lo:hi:hi]
}

func (l *memlog) append(es ...Entry) {
	l.entries = append(l.entries, es...)
	l.pending += size(es)
}

// truncate drops the entries from index from on. Batches handed out earlier
// share the array, so that a later append must not overwrite it.
func (l *memlog) truncate(from Index) {
	l.pending -= size(l.between(from-1, l.last()))
	keep := from - l.base.Index - 1
	l.entries = l.entries[:keep:keep]
}

// compact drops the entries up to and including i.
func (l *memlog) compact(i Index) {
	if i <= l.base.Index {
		return
	}
	t, _ := l.term(i)
	l.entries = slices.Clone(l.entries[i-l.base.Index:])
	l.base = Mark{Index: i, Term: t}
}

// hint returns the newest entry at or before i whose term is not above t, or
// none if it may lie before the log. The other side skips a whole diverging
// term with it instead of single entries.
func (l *memlog) hint(i Index, t Term) Mark {
	i = min(i, l.last())
	for {
		at, ok := l.term(i)
		if !ok {
			return Mark{}
		}
		if at <= t {
			return Mark{Index: i, Term: at}
		}
		i--
	}
}

// commitTo raises the commit index.
func (l *memlog) commitTo(i Index) {
	l.pending -= size(l.between(l.commit, i))
	l.commit = i
}

func size(es []Entry) int {
	bytes := 0
	for _, e := range es {
		bytes += len(e.Data) + entryOverhead
	}
	return bytes
}
