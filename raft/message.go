package raft

// Header is the part that all messages have in common.
type Header struct {
	From ID
	To   ID
	Term Term
}

// Head returns the header.
func (h Header) Head() Header { return h }

// Message is a message between two members. It is one of Vote, VoteReply,
// Append, AppendReply, Heartbeat, HeartbeatReply, Install and InstallReply.
type Message interface {
	Head() Header
	message()
}

// Vote asks for a vote in the term of the header. With Pre set it only asks
// whether the vote would be granted, and changes nothing at the receiver.
type Vote struct {
	Header
	Pre       bool
	LastIndex Index
	LastTerm  Term
}

// VoteReply answers Vote.
type VoteReply struct {
	Header
	Pre     bool
	Granted bool
}

// Append carries entries that follow the entry at PrevIndex. Round is the
// heartbeat round during which it was sent.
type Append struct {
	Header
	Round     uint64
	PrevIndex Index
	PrevTerm  Term
	Commit    Index
	Entries   []Entry
}

// AppendReply answers Append and the last Install of a snapshot. If accepted,
// Index is the last entry known to equal the leader's. If rejected, Index is
// the PrevIndex refused, and Hint and HintTerm name an entry to try instead.
type AppendReply struct {
	Header
	Round    uint64
	Index    Index
	Rejected bool
	Hint     Index
	HintTerm Term
}

// Heartbeat confirms the leader and announces the commit index.
type Heartbeat struct {
	Header
	Round  uint64
	Commit Index
}

// HeartbeatReply answers Heartbeat. It also tells a leader of an older term
// about the newer term.
type HeartbeatReply struct {
	Header
	Round uint64
}

// Install carries one chunk of a snapshot of Size bytes.
type Install struct {
	Header
	Round   uint64
	Mark    Mark
	Members Members
	Size    uint64
	Offset  uint64
	Data    []byte
}

// InstallReply says how many bytes of the snapshot at Index are received.
type InstallReply struct {
	Header
	Round    uint64
	Index    Index
	Received uint64
}

func (Vote) message()           {}
func (VoteReply) message()      {}
func (Append) message()         {}
func (AppendReply) message()    {}
func (Heartbeat) message()      {}
func (HeartbeatReply) message() {}
func (Install) message()        {}
func (InstallReply) message()   {}
