package raft

// Header holds the fields that all messages have in common.
type Header struct {
	From ID
	To   ID
	Term Term
}

// Head returns the header.
func (h Header) Head() Header { return h }

// Message is a message between two members. It is one of RequestVote,
// RequestVoteReply, AppendEntries, AppendEntriesReply, Heartbeat, HeartbeatReply,
// InstallSnapshot and InstallSnapshotReply.
type Message interface {
	Head() Header
	message()
}

// RequestVote asks for a vote in the term of the header. With PreVote set it only
// asks whether the vote would be granted, and changes no state at the receiver.
type RequestVote struct {
	Header
	PreVote   bool
	LastIndex Index
	LastTerm  Term
}

// RequestVoteReply answers RequestVote.
type RequestVoteReply struct {
	Header
	PreVote bool
	Granted bool
}

// AppendEntries carries entries that follow the entry at PrevIndex. Round is the
// heartbeat round during which it was sent.
type AppendEntries struct {
	Header
	Round     uint64
	PrevIndex Index
	PrevTerm  Term
	Commit    Index
	Entries   []Entry
}

// AppendEntriesReply answers AppendEntries, and InstallSnapshot when the snapshot
// is complete. If accepted, Index is the last entry known to match the leader's
// log. If rejected, Index is the rejected PrevIndex, and Hint and HintTerm name
// the entry from which the leader searches for the last matching one.
type AppendEntriesReply struct {
	Header
	Round    uint64
	Index    Index
	Rejected bool
	Hint     Index
	HintTerm Term
}

// Heartbeat asserts the leadership and carries the commit index.
type Heartbeat struct {
	Header
	Round  uint64
	Commit Index
}

// HeartbeatReply answers Heartbeat. It also tells a leader of a lower term about
// the current term.
type HeartbeatReply struct {
	Header
	Round uint64
}

// InstallSnapshot carries one chunk of a snapshot of Size bytes.
type InstallSnapshot struct {
	Header
	Round        uint64
	LastIncluded EntryID
	Members      Members
	Size         uint64
	Offset       uint64
	Data         []byte
}

// InstallSnapshotReply reports how many bytes of the snapshot at Index were
// received.
type InstallSnapshotReply struct {
	Header
	Round    uint64
	Index    Index
	Received uint64
}

func (RequestVote) message()          {}
func (RequestVoteReply) message()     {}
func (AppendEntries) message()        {}
func (AppendEntriesReply) message()   {}
func (Heartbeat) message()            {}
func (HeartbeatReply) message()       {}
func (InstallSnapshot) message()      {}
func (InstallSnapshotReply) message() {}

// wellFormed reports whether a correct member can have sent m. Any other message is dropped like a
// lost one.
func wellFormed(m Message) bool {
	if m.Head().From == 0 {
		return false
	}
	if m, ok := m.(AppendEntries); ok {
		prev := EntryID{Index: m.PrevIndex, Term: m.PrevTerm}
		for _, e := range m.Entries {
			if e.Index != prev.Index+1 || e.Term < prev.Term || e.Term > m.Term {
				return false
			}
			prev = EntryID{Index: e.Index, Term: e.Term}
		}
	}
	return true
}
