package raft

import (
	"time"

	"github.com/rotisserie/eris"
)

// noteLeaderContact records a message from the leader of the current term and
// restarts the election timeout.
func (n *Node) noteLeaderContact(leader ID, now time.Time) {
	if n.role != Follower {
		n.becomeFollower(n.hard.Term, leader, now)
	}
	n.leader, n.lastLeader, n.lastLeaderContact = leader, leader, now
	n.resetElectionDeadline(now)
}

func (n *Node) onHeartbeat(m Heartbeat, now time.Time) {
	n.noteLeaderContact(m.From, now)
	n.commitTo(min(m.Commit, n.log.lastIndex()))
	n.send(HeartbeatReply{Header: n.headerTo(m.From), Round: m.Round})
}

func (n *Node) onAppendEntries(m AppendEntries, now time.Time) {
	n.noteLeaderContact(m.From, now)
	if n.checkCommitted(m); n.fault != nil {
		return
	}
	if m.PrevIndex < n.log.commitIndex {
		// Everything up to the commit index matches the leader's log.
		n.replyAppend(m, n.log.commitIndex)
		return
	}
	if !n.log.contains(EntryID{Index: m.PrevIndex, Term: m.PrevTerm}) {
		n.rejectAppend(m)
		return
	}
	n.merge(m.Entries)
	end := m.PrevIndex + Index(len(m.Entries))
	n.commitTo(min(m.Commit, end))
	n.replyAppend(m, end)
}

func (n *Node) replyAppend(m AppendEntries, i Index) {
	n.send(AppendEntriesReply{Header: n.headerTo(m.From), Round: m.Round, Index: i})
}

func (n *Node) rejectAppend(m AppendEntries) {
	hint := n.log.findConflictByTerm(m.PrevIndex, m.PrevTerm)
	n.send(AppendEntriesReply{
		Header:   n.headerTo(m.From),
		Round:    m.Round,
		Index:    m.PrevIndex,
		Rejected: true,
		Hint:     hint.Index,
		HintTerm: hint.Term,
	})
}

// merge appends the entries that the log does not contain yet. The first
// conflicting entry replaces the rest of the log.
func (n *Node) merge(es []Entry) {
	for len(es) > 0 && n.log.contains(EntryID{Index: es[0].Index, Term: es[0].Term}) {
		es = es[1:]
	}
	if len(es) == 0 {
		return
	}
	first := es[0].Index
	if first <= n.log.lastIndex() {
		n.log.truncate(first)
		n.memberships = n.memberships.truncate(first)
	}
	n.appendEntries(es...)
}

// checkCommitted sets the fault if the leader's log conflicts with a committed
// entry. This only happens after persistent state was lost or damaged, and
// continuing would spread the damage.
func (n *Node) checkCommitted(m AppendEntries) {
	n.checkCommittedEntry(EntryID{Index: m.PrevIndex, Term: m.PrevTerm})
	for _, e := range m.Entries {
		n.checkCommittedEntry(EntryID{Index: e.Index, Term: e.Term})
	}
}

func (n *Node) checkCommittedEntry(id EntryID) {
	t, known := n.log.term(id.Index)
	if known && id.Index <= n.log.commitIndex && t != id.Term {
		n.fault = eris.Wrapf(ErrDiverged, "entry %d has term %d here and term %d at the leader", id.Index, t, id.Term)
	}
}

func (n *Node) commitTo(i Index) {
	if i > n.log.commitIndex {
		n.log.commitTo(i)
	}
}
