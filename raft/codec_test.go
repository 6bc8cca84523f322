package raft_test

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"tamarackcross/ctlpb"
	"tamarackcross/raft"
)

// TestMessageRoundTrip guards against message fields that are lost or swapped when
// they are converted to protobuf and back.
func TestMessageRoundTrip(t *testing.T) {
	h := raft.Header{From: 1, To: 2, Term: 3}
	ms := raft.Members{{ID: 4, Address: "a"}, {ID: 5, Address: "b", Learner: true}}
	es := []raft.Entry{{Index: 6, Term: 7, Kind: raft.KindData, Data: []byte("x")}, {Index: 7, Term: 8, Kind: raft.KindMembers}}
	for _, m := range []raft.Message{
		raft.RequestVote{Header: h, PreVote: true, LastIndex: 4, LastTerm: 5},
		raft.RequestVoteReply{Header: h, PreVote: true, Granted: true},
		raft.AppendEntries{Header: h, Round: 4, PrevIndex: 5, PrevTerm: 6, Commit: 7, Entries: es},
		raft.AppendEntriesReply{Header: h, Round: 4, Index: 5, Rejected: true, Hint: 6, HintTerm: 7},
		raft.Heartbeat{Header: h, Round: 4, Commit: 5},
		raft.HeartbeatReply{Header: h, Round: 4},
		raft.InstallSnapshot{Header: h, Round: 4, LastIncluded: raft.EntryID{Index: 5, Term: 6}, Members: ms, Size: 10, Offset: 8, Data: []byte("y")},
		raft.InstallSnapshotReply{Header: h, Round: 4, Index: 5, Received: 6},
	} {
		wire, err := proto.Marshal(raft.ToProto(m))
		if err != nil {
			t.Fatal(err)
		}
		var pb ctlpb.RaftMessage
		if err := proto.Unmarshal(wire, &pb); err != nil {
			t.Fatal(err)
		}
		got, err := raft.FromProto(&pb)
		if diff := cmp.Diff(m, got); diff != "" || err != nil {
			t.Errorf("%T: %v\n%s", m, err, diff)
		}
	}
}

// TestMalformedMessages guards against accepting messages that Node cannot handle.
func TestMalformedMessages(t *testing.T) {
	h := raft.Header{From: 1, To: 2, Term: 3}
	for name, m := range map[string]raft.Message{
		"no sender":       raft.Heartbeat{Header: raft.Header{To: 2}},
		"gap in entries":  raft.AppendEntries{Header: h, PrevIndex: 5, Entries: []raft.Entry{{Index: 7}}},
		"chunk too large": raft.InstallSnapshot{Header: h, Size: 1, Data: []byte("ab")},
	} {
		if _, err := raft.FromProto(raft.ToProto(m)); !errors.Is(err, raft.ErrMalformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := raft.FromProto(&ctlpb.RaftMessage{From: 1, To: 2}); !errors.Is(err, raft.ErrMalformed) {
		t.Errorf("no body: %v", err)
	}
}
