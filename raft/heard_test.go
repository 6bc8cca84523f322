package raft_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tamarackcross/raft"
)

// TestSilenceBeforeElection guards against a new leader that counts the silence of its predecessor from its
// own election on, although its predecessor's silence is the reason for it.
func TestSilenceBeforeElection(t *testing.T) {
	const former, self, other, spare raft.ID = 1, 2, 3, 4
	start := time.Unix(1000, 0)
	saved := raft.PersistentState{
		HardState: raft.HardState{ID: self, Term: 1},
		Snapshot: raft.Bootstrap(
			raft.Member{ID: former, Address: "a"}, raft.Member{ID: self, Address: "b"},
			raft.Member{ID: other, Address: "c"}, raft.Member{ID: spare, Address: "d", Learner: true},
		),
	}
	n, err := raft.New(saved, start)
	if err != nil {
		t.Fatal(err)
	}
	at := func(d time.Duration) time.Time { return start.Add(d) }
	n.Step(raft.Heartbeat{Header: raft.Header{From: former, To: self, Term: 1}, Round: 1}, at(0))

	const campaign, preVote, vote = 700 * time.Millisecond, 710 * time.Millisecond, 720 * time.Millisecond
	n.Tick(at(campaign))
	n.Step(raft.RequestVoteReply{Header: raft.Header{From: other, To: self, Term: 2}, PreVote: true, Granted: true}, at(preVote))
	n.Step(raft.RequestVoteReply{Header: raft.Header{From: other, To: self, Term: 2}, Granted: true}, at(vote))
	st := n.Status(at(vote))
	if st.Role != raft.Leader || !st.LeaderSince.Equal(at(vote)) {
		t.Fatalf("%v since %v", st.Role, st.LeaderSince)
	}
	got := make(map[raft.ID]time.Duration)
	for _, p := range st.Progress {
		got[p.Member.ID] = p.HeardAt.Sub(start)
	}
	want := map[raft.ID]time.Duration{former: 0, other: vote, spare: vote}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}

	const answer = 800 * time.Millisecond
	n.Step(raft.HeartbeatReply{Header: raft.Header{From: former, To: self, Term: 2}, Round: 1}, at(answer))
	for _, p := range n.Status(at(answer)).Progress {
		if p.Member.ID == former && !p.HeardAt.Equal(at(answer)) {
			t.Errorf("the former leader has answered at %v and counts as heard at %v", answer, p.HeardAt.Sub(start))
		}
	}
}

// TestSplitVote guards against candidates that wait for a whole election timeout after they have split the
// votes: a fault that comes meanwhile finds no leader.
func TestSplitVote(t *testing.T) {
	const gone, self, other raft.ID = 1, 2, 3
	start := time.Unix(1000, 0)
	n, err := raft.New(raft.PersistentState{
		HardState: raft.HardState{ID: self, Term: 1},
		Snapshot:  raft.Bootstrap(raft.Member{ID: gone, Address: "a"}, raft.Member{ID: self, Address: "b"}, raft.Member{ID: other, Address: "c"}),
	}, start)
	if err != nil {
		t.Fatal(err)
	}
	now := start.Add(700 * time.Millisecond)
	n.Tick(now)
	reply := func(preVote, granted bool) raft.RequestVoteReply {
		return raft.RequestVoteReply{Header: raft.Header{From: other, To: self, Term: 2}, PreVote: preVote, Granted: granted}
	}
	n.Step(reply(true, true), now)
	n.Step(reply(false, false), now)
	if n.Role() != raft.Candidate {
		t.Fatalf("role %v", n.Role())
	}
	const limit = 150 * time.Millisecond
	if wait := n.NextTick(now).Sub(now); wait > limit {
		t.Errorf("the next attempt comes after %v, want at most %v", wait, limit)
	}
}
