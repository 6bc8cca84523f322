package raft

import "time"

// Progress is the leader's view of another member.
type Progress struct {
	Member   Member
	Match    Index
	Recent   bool // heard from within the shortest election timeout
	CaughtUp bool
}

// Status describes a member.
type Status struct {
	ID       ID
	Role     Role
	Term     Term
	Leader   ID
	Commit   Index
	Last     Index
	Snapshot Index
	Members  Members
	// Current is true for a leader that heard from a majority recently and has
	// committed an entry of its term. It is a hint: an answer that must not be
	// old needs ReadIndex or a committed entry.
	Current  bool
	Changing bool       // a membership change is not committed yet
	Progress []Progress // of the other members, at the leader
}

// ID returns the identity of this member.
func (n *Node) ID() ID { return n.hard.ID }

// Term returns the current term.
func (n *Node) Term() Term { return n.hard.Term }

// Role returns the role as of the last input.
func (n *Node) Role() Role { return n.role }

// Leader returns the leader of the current term, or 0 if it is not known.
func (n *Node) Leader() ID { return n.leader }

// Status returns the status at now.
func (n *Node) Status(now time.Time) Status {
	s := Status{
		ID:       n.hard.ID,
		Role:     n.role,
		Term:     n.hard.Term,
		Leader:   n.leader,
		Commit:   n.log.commit,
		Last:     n.log.last(),
		Snapshot: n.snap.Index,
		Members:  n.members(),
		Changing: n.configs.latest().index > n.log.commit,
	}
	if n.role == Leader {
		s.Current = n.log.commit >= n.lead.start && n.reaches(s.Members, now)
		s.Progress = n.progress(now)
	}
	return s
}

func (n *Node) progress(now time.Time) []Progress {
	var ps []Progress
	for _, m := range n.members() {
		p := n.lead.peers[m.ID]
		if p == nil {
			continue
		}
		ps = append(ps, Progress{Member: m, Match: p.match, Recent: n.recent(m.ID, now), CaughtUp: n.caughtUp(m.ID, now)})
	}
	return ps
}
