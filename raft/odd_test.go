package raft_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tamarackcross/raft"
)

// TestOddMessages guards against a message of another member with impossible terms, indexes or
// sizes that ends the process. A Fault in an output is an orderly stop, and is not one of these.
func TestOddMessages(t *testing.T) {
	members := raft.Members{{ID: 1, Address: "a"}, {ID: 2, Address: "b"}, {ID: 3, Address: "c"}}
	index := rapid.SampledFrom([]raft.Index{0, 1, 4, 5, 6, 8, 9, 10, 11, 100, math.MaxInt64, math.MaxUint64 - 1, math.MaxUint64})
	term := rapid.SampledFrom([]raft.Term{0, 1, 2, 3, 4, 5, math.MaxUint64 - 1})
	size := rapid.SampledFrom([]uint64{0, 1, 10, 1 << 20, 1 << 40, math.MaxInt64, math.MaxUint64})
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		n, err := raft.New(raft.PersistentState{
			HardState: raft.HardState{ID: 1, Term: 3},
			Snapshot:  raft.Snapshot{Index: 5, Term: 2, Members: members, Data: []byte("state")},
			Entries: []raft.Entry{
				{Index: 6, Term: 2, Kind: raft.KindData, Data: []byte("x")},
				{Index: 7, Term: 3, Kind: raft.KindNoOp},
				{Index: 8, Term: 3, Kind: raft.KindData, Data: []byte("y")},
				{Index: 9, Term: 3, Kind: raft.KindData, Data: []byte("z")},
			},
		}, now, raft.WithRand(rand.New(rand.NewPCG(1, 2))))
		if err != nil {
			t.Fatal(err)
		}
		entry := rapid.Custom(func(t *rapid.T) raft.Entry {
			return raft.Entry{
				Index: index.Draw(t, "entry"), Term: term.Draw(t, "entry term"), Kind: raft.Kind(rapid.Uint32Range(0, 4).Draw(t, "kind")),
				Data: rapid.SliceOfN(rapid.Byte(), 0, 4).Draw(t, "data"),
			}
		})
		message := rapid.Custom(func(t *rapid.T) raft.Message {
			h := raft.Header{From: raft.ID(rapid.Uint64Range(0, 4).Draw(t, "from")), To: 1, Term: term.Draw(t, "term")}
			round, i, j := rapid.Uint64Range(0, 5).Draw(t, "round"), index.Draw(t, "index"), index.Draw(t, "other index")
			switch rapid.IntRange(0, 7).Draw(t, "type") {
			case 0:
				return raft.RequestVote{Header: h, PreVote: rapid.Bool().Draw(t, "pre"), LastIndex: i, LastTerm: term.Draw(t, "last")}
			case 1:
				return raft.RequestVoteReply{Header: h, PreVote: rapid.Bool().Draw(t, "pre"), Granted: rapid.Bool().Draw(t, "granted")}
			case 2:
				return raft.AppendEntries{
					Header: h, Round: round, PrevIndex: i, PrevTerm: term.Draw(t, "prev"), Commit: j, Entries: rapid.SliceOfN(entry, 0, 3).Draw(t, "entries"),
				}
			case 3:
				return raft.AppendEntriesReply{Header: h, Round: round, Index: i, Rejected: rapid.Bool().Draw(t, "rejected"), Hint: j, HintTerm: term.Draw(t, "hint")}
			case 4:
				return raft.Heartbeat{Header: h, Round: round, Commit: i}
			case 5:
				return raft.HeartbeatReply{Header: h, Round: round}
			case 6:
				return raft.InstallSnapshot{
					Header: h, Round: round, LastIncluded: raft.EntryID{Index: i, Term: term.Draw(t, "included")}, Members: members,
					Size: size.Draw(t, "size"), Offset: size.Draw(t, "offset"), Data: rapid.SliceOfN(rapid.Byte(), 0, 10).Draw(t, "chunk"),
				}
			default:
				return raft.InstallSnapshotReply{Header: h, Round: round, Index: i, Received: size.Draw(t, "received")}
			}
		})
		for range 40 {
			if rapid.IntRange(0, 3).Draw(t, "action") == 0 {
				now = now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
				n.Tick(now)
				continue
			}
			if out := n.Step(message.Draw(t, "message"), now); out.Fault != nil {
				return
			}
		}
	})
}
