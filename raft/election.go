package raft

import "time"

// hasActiveLeader reports whether this member is the leader or heard from one
// within the shortest election timeout. It then ignores vote requests, so that a
// member that returns with a higher term does not disrupt the leader.
func (n *Node) hasActiveLeader(now time.Time) bool {
	if n.role == Leader {
		return true
	}
	return n.leader != 0 && now.Sub(n.lastLeaderContact) < n.cfg.electionTimeoutMin
}

func (n *Node) becomeFollower(term Term, leader ID, now time.Time) {
	if term > n.hard.Term {
		n.setHardState(term, 0)
	}
	if n.role != Follower {
		n.resetElectionDeadline(now)
	}
	n.failReads()
	n.role, n.leader = Follower, leader
	n.votes, n.leaderState = nil, nil
}

// onElectionTimeout starts a pre-vote. A member that is not a voter waits for a
// leader to contact it.
func (n *Node) onElectionTimeout(now time.Time) {
	n.resetElectionDeadline(now)
	if !n.mayLead() {
		n.leader = 0
		return
	}
	if n.role == Follower {
		n.campaignStart = now
	}
	n.role, n.leader = PreCandidate, 0
	n.votes = map[ID]bool{n.hard.ID: true}
	if n.hasVoteMajority() {
		n.becomeCandidate(now)
		return
	}
	n.requestVotes(true)
}

// mayLead reports whether this member may become the leader. A voter whose
// removal is not committed may: it can be the only member whose log contains the
// removal, and then no other member can win an election against its longer log.
func (n *Node) mayLead() bool {
	if n.currentMembers().IsVoter(n.hard.ID) {
		return true
	}
	return n.memberships.latest().index > n.log.commitIndex && n.memberships.previous().members.IsVoter(n.hard.ID)
}

func (n *Node) becomeCandidate(now time.Time) {
	n.role = Candidate
	n.setHardState(n.hard.Term+1, n.hard.ID)
	n.resetElectionDeadline(now)
	n.votes = map[ID]bool{n.hard.ID: true}
	if n.hasVoteMajority() {
		n.becomeLeader(now)
		return
	}
	n.requestVotes(false)
}

func (n *Node) requestVotes(preVote bool) {
	for _, id := range n.currentMembers().Voters() {
		if id == n.hard.ID {
			continue
		}
		m := RequestVote{Header: n.headerTo(id), PreVote: preVote, LastIndex: n.log.lastIndex(), LastTerm: n.log.lastTerm()}
		if preVote {
			m.Term++
		}
		n.send(m)
	}
}

// hasVoteMajority reports whether a majority granted its vote or pre-vote.
func (n *Node) hasVoteMajority() bool {
	return n.currentMembers().majority(func(id ID) bool { return n.votes[id] })
}

// onRequestVote grants or rejects a vote. The decision does not depend on whether
// the candidate is in this member's membership, which may be older than the
// candidate's.
func (n *Node) onRequestVote(m RequestVote, now time.Time) {
	if m.PreVote {
		granted := m.Term > n.hard.Term && n.upToDate(m)
		n.replyVote(m, granted)
		return
	}
	canVote := n.hard.Vote == m.From || (n.hard.Vote == 0 && n.leader == 0)
	granted := canVote && n.upToDate(m)
	if granted {
		n.setHardState(n.hard.Term, m.From)
		n.resetElectionDeadline(now)
	}
	n.replyVote(m, granted)
}

func (n *Node) replyVote(m RequestVote, granted bool) {
	h := n.headerTo(m.From)
	if granted {
		h.Term = m.Term
	}
	n.send(RequestVoteReply{Header: h, PreVote: m.PreVote, Granted: granted})
}

// upToDate reports whether the candidate's log is at least as up to date as this
// member's log. This ensures that every elected leader has all committed entries.
func (n *Node) upToDate(m RequestVote) bool {
	if m.LastTerm != n.log.lastTerm() {
		return m.LastTerm > n.log.lastTerm()
	}
	return m.LastIndex >= n.log.lastIndex()
}

// onRequestVoteReply counts a vote. Votes that arrive after the election timeout
// are ignored: a candidate whose process was frozen must ask again.
func (n *Node) onRequestVoteReply(m RequestVoteReply, now time.Time) {
	if !now.Before(n.electionDeadline) {
		return
	}
	if !m.Granted {
		n.onVoteRefused(m, now)
		return
	}
	switch {
	case m.PreVote && n.role == PreCandidate && m.Term == n.hard.Term+1:
		n.votes[m.From] = true
		if n.hasVoteMajority() {
			n.becomeCandidate(now)
		}
	case !m.PreVote && n.role == Candidate && m.Term == n.hard.Term:
		n.votes[m.From] = true
		if n.hasVoteMajority() {
			n.becomeLeader(now)
		}
	}
}

// A candidate that another voter refused, since it voted for another candidate, tries again after a random delay,
// so that one of them comes first. The delay leaves time for the votes of others, and is much shorter than an
// election timeout, in which nobody would lead.
const (
	minSplitDelay = 50 * time.Millisecond
	maxSplitDelay = 150 * time.Millisecond
)

// onVoteRefused makes a candidate whose vote was split try again soon.
func (n *Node) onVoteRefused(m RequestVoteReply, now time.Time) {
	if m.PreVote || n.role != Candidate || m.Term != n.hard.Term {
		return
	}
	delay := minSplitDelay + time.Duration(n.cfg.rnd.Int64N(int64(maxSplitDelay-minSplitDelay)))
	if next := now.Add(delay); next.Before(n.electionDeadline) {
		n.electionDeadline = next
	}
}
