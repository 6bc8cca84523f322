package raft

import "strconv"

// ID is the identity of a member. It is drawn at random when a data folder is
// created, so that a member that lost its disk is a different member. 0 is none.
type ID uint64

// String renders the identity in hexadecimal.
func (id ID) String() string { return strconv.FormatUint(uint64(id), 16) }

// Term numbers the elections.
type Term uint64

// Index is the place of an entry in the log. The first entry has index 1.
type Index uint64

// Kind says what an entry holds.
type Kind uint32

// The kinds of entries.
const (
	KindEmpty   Kind = iota // the first entry of a leadership, without content
	KindData                // data of a proposal
	KindMembers             // the complete membership from this entry on
)

// Entry is one entry of the log. Its data must not be changed.
type Entry struct {
	Index Index
	Term  Term
	Kind  Kind
	Data  []byte
}

// HardState is what a member must never forget.
type HardState struct {
	ID   ID
	Term Term
	Vote ID
}

// Mark names an entry without its content.
type Mark struct {
	Index Index
	Term  Term
}

// Snapshot is the state after the entry at Index, with the membership at that
// entry. Its data must not be changed.
type Snapshot struct {
	Index   Index
	Term    Term
	Members Members
	Data    []byte
}

// Mark returns the last entry that the snapshot covers.
func (s Snapshot) Mark() Mark { return Mark{Index: s.Index, Term: s.Term} }

// Saved is the durable state of a member, as read at startup.
type Saved struct {
	Hard     HardState
	Snapshot Snapshot
	Entries  []Entry // entries after the snapshot
}

// Persist is what must be durable before the rest of an Output takes effect.
// It is written in the order of its fields.
type Persist struct {
	Hard     *HardState
	Snapshot *Snapshot // a log that does not hold the entry at its end is dropped
	Entries  []Entry   // entries at or after the index of the first one are replaced
}

// Empty reports whether there is nothing to write.
func (p Persist) Empty() bool {
	return p.Hard == nil && p.Snapshot == nil && len(p.Entries) == 0
}

// ReadResult answers ReadIndex. A confirmed read may be served from a state
// that has applied Index. An unconfirmed one must be repeated at the leader.
type ReadResult struct {
	Request   uint64
	Index     Index
	Confirmed bool
}

// Output is the consequence of one input. The caller writes and syncs Persist
// before it acts on any other field and before it hands in the next input.
// The Persist fields of several inputs may be written together, in order, as
// long as nothing of their outputs is released before. After a failed write
// the node must be dropped and built again from what is on disk.
type Output struct {
	Persist   Persist
	Messages  []Message
	Restore   *Snapshot // replaces the applied state before Committed is applied; without data it is the initial state
	Committed []Entry
	Reads     []ReadResult
	Fault     error // the log contradicts what was committed: the process must stop
}
