package raft

import (
	"time"

	"github.com/rotisserie/eris"
)

// contact notes that the leader of the current term was heard from.
func (n *Node) contact(leader ID, now time.Time) {
	if n.role != Follower {
		n.becomeFollower(n.hard.Term, leader, now)
	}
	n.leader, n.heard = leader, now
	n.resetDeadline(now)
}

func (n *Node) onHeartbeat(m Heartbeat, now time.Time) {
	n.contact(m.From, now)
	n.commitTo(min(m.Commit, n.log.last()))
	n.send(HeartbeatReply{Header: n.head(m.From), Round: m.Round})
}

func (n *Node) onAppend(m Append, now time.Time) {
	n.contact(m.From, now)
	if n.checkCommitted(m); n.fault != nil {
		return
	}
	if m.PrevIndex < n.log.commit {
		// Everything up to the commit index equals the leader's log already.
		n.replyAppend(m, n.log.commit)
		return
	}
	if !n.log.holds(Mark{Index: m.PrevIndex, Term: m.PrevTerm}) {
		n.rejectAppend(m)
		return
	}
	n.merge(m.Entries)
	end := m.PrevIndex + Index(len(m.Entries))
	n.commitTo(min(m.Commit, end))
	n.replyAppend(m, end)
}

func (n *Node) replyAppend(m Append, i Index) {
	n.send(AppendReply{Header: n.head(m.From), Round: m.Round, Index: i})
}

func (n *Node) rejectAppend(m Append) {
	hint := n.log.hint(m.PrevIndex, m.PrevTerm)
	n.send(AppendReply{
		Header:   n.head(m.From),
		Round:    m.Round,
		Index:    m.PrevIndex,
		Rejected: true,
		Hint:     hint.Index,
		HintTerm: hint.Term,
	})
}

// merge appends the entries that the log does not hold yet. The first one that
// differs replaces the rest of the log.
func (n *Node) merge(es []Entry) {
	for len(es) > 0 && n.log.holds(Mark{Index: es[0].Index, Term: es[0].Term}) {
		es = es[1:]
	}
	if len(es) == 0 {
		return
	}
	first := es[0].Index
	if first <= n.log.last() {
		n.log.truncate(first)
		n.configs = n.configs.truncate(first)
	}
	n.appendEntries(es...)
}

// checkCommitted sets the fault if the leader contradicts a committed entry.
// This happens only after durable state was lost or damaged, and carrying on
// would spread the damage.
func (n *Node) checkCommitted(m Append) {
	n.checkMark(Mark{Index: m.PrevIndex, Term: m.PrevTerm})
	for _, e := range m.Entries {
		n.checkMark(Mark{Index: e.Index, Term: e.Term})
	}
}

func (n *Node) checkMark(m Mark) {
	t, known := n.log.term(m.Index)
	if known && m.Index <= n.log.commit && t != m.Term {
		n.fault = eris.Wrapf(ErrDiverged, "entry %d: term %d here, term %d at the leader", m.Index, t, m.Term)
	}
}

func (n *Node) commitTo(i Index) {
	if i > n.log.commit {
		n.log.commitTo(i)
	}
}
