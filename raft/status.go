package raft

import "time"

// Progress is the leader's replication state for another member.
type Progress struct {
	Member         Member
	MatchIndex     Index
	RecentlyActive bool // heard from within the shortest election timeout, or new to the leader
	Answered       bool // it has answered this leader in the current term
	CaughtUp       bool
	// HeardAt is when the last message of the member arrived. For one that has sent none to this leader, it
	// is what the leader knew before its election.
	HeardAt time.Time
}

// Status describes the state of a member.
type Status struct {
	ID       ID
	Role     Role
	Term     Term
	Leader   ID
	Commit   Index
	Last     Index
	Snapshot Index
	Members  Members
	// Current is true for a leader that heard from a majority within the
	// shortest election timeout and has committed an entry of its term. Another
	// leader may exist nevertheless: a linearizable answer needs ReadIndex or a
	// committed entry.
	Current bool
	// ConfirmedAt is the start of the newest round in which a majority confirmed a leader, or
	// zero if there is no recent one. No other member was elected before it.
	ConfirmedAt   time.Time
	LeaderSince   time.Time  // when this leader was elected
	ChangePending bool       // a membership change is not committed yet
	Progress      []Progress // of the other members; only set at the leader
}

// ID returns the ID of this member.
func (n *Node) ID() ID { return n.hard.ID }

// Term returns the current term.
func (n *Node) Term() Term { return n.hard.Term }

// Role returns the role as of the last input.
func (n *Node) Role() Role { return n.role }

// Leader returns the leader of the current term, or 0 if it is unknown.
func (n *Node) Leader() ID { return n.leader }

// Status returns the status of this member at now.
func (n *Node) Status(now time.Time) Status {
	s := Status{
		ID:            n.hard.ID,
		Role:          n.role,
		Term:          n.hard.Term,
		Leader:        n.leader,
		Commit:        n.log.commitIndex,
		Last:          n.log.lastIndex(),
		Snapshot:      n.snap.Index,
		Members:       n.currentMembers(),
		ChangePending: n.memberships.latest().index > n.log.commitIndex,
	}
	if n.role == Leader {
		s.Current = n.log.commitIndex >= n.leaderState.noOpIndex && n.majorityActive(s.Members, now)
		s.ConfirmedAt = n.leaderState.startOf(n.confirmedRound())
		s.LeaderSince = n.leaderState.since
		s.Progress = n.progress(now)
	}
	return s
}

func (n *Node) progress(now time.Time) []Progress {
	var ps []Progress
	for _, m := range n.currentMembers() {
		p := n.leaderState.peers[m.ID]
		if p == nil {
			continue
		}
		ps = append(ps, Progress{Member: m, MatchIndex: p.matchIndex, RecentlyActive: n.recentlyActive(m.ID, now), Answered: p.ackedRound > 0, CaughtUp: n.caughtUp(m.ID, now), HeardAt: p.heardAt})
	}
	return ps
}
