package raft

import (
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"tamarackcross/ctlpb"
)

// ErrMalformed is returned for bytes or protobuf messages that are no valid
// message of this package.
var ErrMalformed = eris.New("raft: malformed message")

// EncodeMembers encodes a membership as the data of an entry of KindMembers.
func EncodeMembers(ms Members) ([]byte, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(MembersToProto(ms))
	return data, eris.Wrap(err, "raft: encode members")
}

// DecodeMembers decodes the data of an entry of KindMembers.
func DecodeMembers(data []byte) (Members, error) {
	var pb ctlpb.RaftMembers
	if err := proto.Unmarshal(data, &pb); err != nil {
		return nil, eris.Wrap(ErrMalformed, err.Error())
	}
	return MembersFromProto(&pb), nil
}

// MembersToProto converts a membership to protobuf.
func MembersToProto(ms Members) *ctlpb.RaftMembers {
	pb := &ctlpb.RaftMembers{}
	for _, m := range ms {
		pb.Members = append(pb.Members, &ctlpb.RaftMember{Id: uint64(m.ID), Address: m.Address, Learner: m.Learner})
	}
	return pb
}

// MembersFromProto converts a membership from protobuf.
func MembersFromProto(pb *ctlpb.RaftMembers) Members {
	var ms Members
	for _, m := range pb.GetMembers() {
		ms = ms.with(Member{ID: ID(m.GetId()), Address: m.GetAddress(), Learner: m.GetLearner()})
	}
	return ms
}

// EntriesToProto converts entries to protobuf.
func EntriesToProto(es []Entry) []*ctlpb.RaftEntry {
	var pbs []*ctlpb.RaftEntry
	for _, e := range es {
		pb := &ctlpb.RaftEntry{Index: uint64(e.Index), Term: uint64(e.Term), Kind: uint32(e.Kind), Data: e.Data}
		pbs = append(pbs, pb)
	}
	return pbs
}

// EntriesFromProto converts entries from protobuf.
func EntriesFromProto(pbs []*ctlpb.RaftEntry) []Entry {
	var es []Entry
	for _, pb := range pbs {
		e := Entry{Index: Index(pb.GetIndex()), Term: Term(pb.GetTerm()), Kind: Kind(pb.GetKind()), Data: pb.GetData()}
		es = append(es, e)
	}
	return es
}

// ToProto converts a message to protobuf.
func ToProto(m Message) *ctlpb.RaftMessage {
	h := m.Head()
	pb := &ctlpb.RaftMessage{From: uint64(h.From), To: uint64(h.To), Term: uint64(h.Term)}
	switch m := m.(type) {
	case RequestVote:
		pb.Body = &ctlpb.RaftMessage_Vote{Vote: &ctlpb.RaftVote{
			Pre: m.PreVote, LastIndex: uint64(m.LastIndex), LastTerm: uint64(m.LastTerm),
		}}
	case RequestVoteReply:
		pb.Body = &ctlpb.RaftMessage_VoteReply{VoteReply: &ctlpb.RaftVoteReply{Pre: m.PreVote, Granted: m.Granted}}
	case AppendEntries:
		pb.Body = &ctlpb.RaftMessage_Append{Append: appendToProto(m)}
	case AppendEntriesReply:
		pb.Body = &ctlpb.RaftMessage_AppendReply{AppendReply: &ctlpb.RaftAppendReply{
			Round: m.Round, Index: uint64(m.Index), Rejected: m.Rejected,
			Hint: uint64(m.Hint), HintTerm: uint64(m.HintTerm),
		}}
	case Heartbeat:
		pb.Body = &ctlpb.RaftMessage_Heartbeat{Heartbeat: &ctlpb.RaftHeartbeat{Round: m.Round, Commit: uint64(m.Commit)}}
	case HeartbeatReply:
		pb.Body = &ctlpb.RaftMessage_HeartbeatReply{HeartbeatReply: &ctlpb.RaftHeartbeatReply{Round: m.Round}}
	case InstallSnapshot:
		pb.Body = &ctlpb.RaftMessage_Install{Install: installToProto(m)}
	case InstallSnapshotReply:
		pb.Body = &ctlpb.RaftMessage_InstallReply{InstallReply: &ctlpb.RaftInstallReply{
			Round: m.Round, Index: uint64(m.Index), Received: m.Received,
		}}
	}
	return pb
}

func appendToProto(m AppendEntries) *ctlpb.RaftAppend {
	return &ctlpb.RaftAppend{
		Round:     m.Round,
		PrevIndex: uint64(m.PrevIndex),
		PrevTerm:  uint64(m.PrevTerm),
		Commit:    uint64(m.Commit),
		Entries:   EntriesToProto(m.Entries),
	}
}

func installToProto(m InstallSnapshot) *ctlpb.RaftInstall {
	return &ctlpb.RaftInstall{
		Round:        m.Round,
		Index:        uint64(m.LastIncluded.Index),
		SnapshotTerm: uint64(m.LastIncluded.Term),
		Members:      MembersToProto(m.Members),
		Size:         m.Size,
		Offset:       m.Offset,
		Data:         m.Data,
	}
}

// FromProto converts a message from protobuf and validates what Node relies on.
func FromProto(pb *ctlpb.RaftMessage) (Message, error) {
	h := Header{From: ID(pb.GetFrom()), To: ID(pb.GetTo()), Term: Term(pb.GetTerm())}
	if h.From == 0 || h.To == 0 {
		return nil, eris.Wrap(ErrMalformed, "sender or receiver is missing")
	}
	switch b := pb.GetBody().(type) {
	case *ctlpb.RaftMessage_Vote:
		v := b.Vote
		return RequestVote{
			Header: h, PreVote: v.GetPre(), LastIndex: Index(v.GetLastIndex()), LastTerm: Term(v.GetLastTerm()),
		}, nil
	case *ctlpb.RaftMessage_VoteReply:
		return RequestVoteReply{Header: h, PreVote: b.VoteReply.GetPre(), Granted: b.VoteReply.GetGranted()}, nil
	case *ctlpb.RaftMessage_Append:
		return appendFromProto(h, b.Append)
	case *ctlpb.RaftMessage_AppendReply:
		r := b.AppendReply
		return AppendEntriesReply{
			Header: h, Round: r.GetRound(), Index: Index(r.GetIndex()), Rejected: r.GetRejected(),
			Hint: Index(r.GetHint()), HintTerm: Term(r.GetHintTerm()),
		}, nil
	case *ctlpb.RaftMessage_Heartbeat:
		return Heartbeat{Header: h, Round: b.Heartbeat.GetRound(), Commit: Index(b.Heartbeat.GetCommit())}, nil
	case *ctlpb.RaftMessage_HeartbeatReply:
		return HeartbeatReply{Header: h, Round: b.HeartbeatReply.GetRound()}, nil
	case *ctlpb.RaftMessage_Install:
		return installFromProto(h, b.Install)
	case *ctlpb.RaftMessage_InstallReply:
		r := b.InstallReply
		return InstallSnapshotReply{Header: h, Round: r.GetRound(), Index: Index(r.GetIndex()), Received: r.GetReceived()}, nil
	}
	return nil, eris.Wrap(ErrMalformed, "unknown message type")
}

// appendFromProto rejects entries without consecutive indexes, on which the log
// relies.
func appendFromProto(h Header, pb *ctlpb.RaftAppend) (Message, error) {
	m := AppendEntries{
		Header:    h,
		Round:     pb.GetRound(),
		PrevIndex: Index(pb.GetPrevIndex()),
		PrevTerm:  Term(pb.GetPrevTerm()),
		Commit:    Index(pb.GetCommit()),
		Entries:   EntriesFromProto(pb.GetEntries()),
	}
	for i, e := range m.Entries {
		if e.Index != m.PrevIndex+Index(i)+1 {
			return nil, eris.Wrapf(ErrMalformed, "entry %d at position %d does not continue from index %d", e.Index, i, m.PrevIndex)
		}
	}
	return m, nil
}

func installFromProto(h Header, pb *ctlpb.RaftInstall) (Message, error) {
	m := InstallSnapshot{
		Header:       h,
		Round:        pb.GetRound(),
		LastIncluded: EntryID{Index: Index(pb.GetIndex()), Term: Term(pb.GetSnapshotTerm())},
		Members:      MembersFromProto(pb.GetMembers()),
		Size:         pb.GetSize(),
		Offset:       pb.GetOffset(),
		Data:         pb.GetData(),
	}
	if m.Offset+uint64(len(m.Data)) > m.Size {
		return nil, eris.Wrapf(ErrMalformed, "chunk at offset %d with %d bytes exceeds the snapshot of %d bytes", m.Offset, len(m.Data), m.Size)
	}
	return m, nil
}
