package raft

import "strconv"

// ID identifies a member. It is drawn at random when a data directory is created,
// so that a member that lost its disk returns as a different member. 0 means no
// member.
type ID uint64

// founderBit is set in the IDs of data directories that were created when the deployment started for the first time.
const founderBit ID = 1

// Founder returns the ID, marked as one of a data directory that was created when the deployment started for the first
// time.
func (id ID) Founder() ID { return id | founderBit }

// Later returns the ID, marked as one of a data directory that was created later. It may replace a lost one.
func (id ID) Later() ID { return id &^ founderBit }

// IsFounder reports whether the data directory was created when the deployment started for the first time.
func (id ID) IsFounder() bool { return id&founderBit != 0 }

// String returns the ID in hexadecimal.
func (id ID) String() string { return strconv.FormatUint(uint64(id), 16) }

// Term is a Raft term. Each term has at most one leader.
type Term uint64

// Index is the position of an entry in the log. The first entry has index 1.
type Index uint64

// Kind is the type of an entry.
type Kind uint32

// The kinds of entries.
const (
	KindNoOp    Kind = iota // appended by a new leader at the start of its term, without data
	KindData                // data passed to Propose
	KindMembers             // the complete membership that is in effect from this entry on
)

// Entry is an entry of the log. Its data must not be modified.
type Entry struct {
	Index Index
	Term  Term
	Kind  Kind
	Data  []byte
}

// HardState is the part of the state besides log and snapshot that must survive a
// restart: the member's ID, the current term and the vote given in that term.
type HardState struct {
	ID   ID
	Term Term
	Vote ID
}

// EntryID identifies an entry by its index and term.
type EntryID struct {
	Index Index
	Term  Term
}

// Snapshot is the applied state after the entry at Index, together with the
// membership at that entry. Its data must not be modified.
type Snapshot struct {
	Index   Index
	Term    Term
	Members Members
	Data    []byte
}

// LastIncluded returns the ID of the last entry that the snapshot covers.
func (s Snapshot) LastIncluded() EntryID { return EntryID{Index: s.Index, Term: s.Term} }

// PersistentState is the persistent state of a member as read at startup.
type PersistentState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry // entries after the snapshot
}

// PersistentUpdate is the state that must be on disk before the rest of an Output
// takes effect. It is written in the order of its fields.
type PersistentUpdate struct {
	HardState *HardState
	Snapshot  *Snapshot // drops the whole log unless the log contains the last included entry
	Entries   []Entry   // replace all entries at or after the index of the first one
}

// Empty reports whether there is nothing to write.
func (p PersistentUpdate) Empty() bool {
	return p.HardState == nil && p.Snapshot == nil && len(p.Entries) == 0
}

// ReadResult answers ReadIndex. A confirmed read may be served from a state that
// has applied Index. An unconfirmed read must be repeated at the leader.
type ReadResult struct {
	Request   uint64
	Index     Index
	Confirmed bool
}

// Output holds the actions that result from one input. The caller writes and
// syncs Persist before it acts on any other field and before it passes in the
// next input. The Persist fields of several inputs may be written together, in
// order, as long as nothing else of their outputs is acted on before. After a
// failed write the node must be discarded and created again from what is on disk.
type Output struct {
	Persist   PersistentUpdate
	Messages  []Message
	Restore   *Snapshot // replaces the applied state before Committed is applied; empty data means the initial state
	Committed []Entry
	Reads     []ReadResult
	Fault     error // the leader's log conflicts with a committed entry; the process must stop
}
