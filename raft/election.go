package raft

import "time"

// followsLeader reports whether this member has a leader that it heard from
// within the shortest election timeout. It then takes no part in elections, so
// that a member that returns with a higher term does not disturb the leader.
func (n *Node) followsLeader(now time.Time) bool {
	if n.role == Leader {
		return true
	}
	return n.leader != 0 && now.Sub(n.heard) < n.cfg.electionMin
}

func (n *Node) becomeFollower(term Term, leader ID, now time.Time) {
	if term > n.hard.Term {
		n.setHard(term, 0)
	}
	if n.role != Follower {
		n.resetDeadline(now)
	}
	n.dropReads()
	n.role, n.leader = Follower, leader
	n.votes, n.lead = nil, nil
}

// onElectionTimeout starts a pre-vote. A member that is not a voter waits for
// a leader to contact it.
func (n *Node) onElectionTimeout(now time.Time) {
	n.resetDeadline(now)
	if !n.mayLead() {
		n.leader = 0
		return
	}
	n.role, n.leader = PreCandidate, 0
	n.votes = map[ID]bool{n.hard.ID: true}
	if n.elected() {
		n.becomeCandidate(now)
		return
	}
	n.requestVotes(true)
}

// mayLead reports whether this member may become the leader. A voter whose
// removal is not committed may: it can be the only one that holds the removal,
// and then no other member can win against its longer log.
func (n *Node) mayLead() bool {
	if n.members().Voter(n.hard.ID) {
		return true
	}
	return n.configs.latest().index > n.log.commit && n.configs.previous().members.Voter(n.hard.ID)
}

func (n *Node) becomeCandidate(now time.Time) {
	n.role = Candidate
	n.setHard(n.hard.Term+1, n.hard.ID)
	n.resetDeadline(now)
	n.votes = map[ID]bool{n.hard.ID: true}
	if n.elected() {
		n.becomeLeader(now)
		return
	}
	n.requestVotes(false)
}

func (n *Node) requestVotes(pre bool) {
	for _, id := range n.members().Voters() {
		if id == n.hard.ID {
			continue
		}
		m := Vote{Header: n.head(id), Pre: pre, LastIndex: n.log.last(), LastTerm: n.log.lastTerm()}
		if pre {
			m.Term++
		}
		n.send(m)
	}
}

func (n *Node) elected() bool {
	return n.members().majority(func(id ID) bool { return n.votes[id] })
}

// onVote answers a request for a vote. The vote does not depend on the own
// membership, which may be older than the one the candidate has.
func (n *Node) onVote(m Vote, now time.Time) {
	if m.Pre {
		granted := m.Term > n.hard.Term && n.upToDate(m)
		n.replyVote(m, granted)
		return
	}
	free := n.hard.Vote == m.From || (n.hard.Vote == 0 && n.leader == 0)
	granted := free && n.upToDate(m)
	if granted {
		n.setHard(n.hard.Term, m.From)
		n.resetDeadline(now)
	}
	n.replyVote(m, granted)
}

func (n *Node) replyVote(m Vote, granted bool) {
	h := n.head(m.From)
	if granted {
		h.Term = m.Term
	}
	n.send(VoteReply{Header: h, Pre: m.Pre, Granted: granted})
}

// upToDate reports whether the log of the candidate holds at least as much as
// the own log. Committed entries are in the log of any elected leader by this.
func (n *Node) upToDate(m Vote) bool {
	if m.LastTerm != n.log.lastTerm() {
		return m.LastTerm > n.log.lastTerm()
	}
	return m.LastIndex >= n.log.last()
}

// onVoteReply counts a vote. Votes that arrive after the election timeout are
// ignored: a candidate that was frozen must ask again.
func (n *Node) onVoteReply(m VoteReply, now time.Time) {
	if !now.Before(n.deadline) || !m.Granted {
		return
	}
	switch {
	case m.Pre && n.role == PreCandidate && m.Term == n.hard.Term+1:
		n.votes[m.From] = true
		if n.elected() {
			n.becomeCandidate(now)
		}
	case !m.Pre && n.role == Candidate && m.Term == n.hard.Term:
		n.votes[m.From] = true
		if n.elected() {
			n.becomeLeader(now)
		}
	}
}
