package raft

import (
	"slices"
	"time"
)

// leading returns an error unless this member is the leader and has heard from
// a majority recently.
func (n *Node) leading(now time.Time) error {
	if n.fault != nil {
		return n.fault
	}
	n.checkQuorum(now)
	if n.role != Leader {
		return ErrNotLeader
	}
	return nil
}

// Propose appends data to the log. The proposal is accepted when the entry at
// the returned index is handed out as committed with the term that Term
// reports now. If an entry of another term is committed there, the proposal
// was not accepted and never will be. An Output comes with an error too.
func (n *Node) Propose(data []byte, now time.Time) (Index, Output, error) {
	if err := n.leading(now); err != nil {
		return 0, n.finish(), err
	}
	switch {
	case len(data) > n.cfg.entryBytes:
		return 0, n.finish(), ErrTooLarge
	case n.log.pending > 0 && n.log.pending+len(data) > n.cfg.uncommitted:
		return 0, n.finish(), ErrBusy
	}
	i := n.appendAsLeader(KindData, slices.Clone(data), now)
	return i, n.finish(), nil
}

// ProposeChange appends a membership change, which is in effect from then on.
// The next change is refused until this one is committed. An Output comes with
// an error too.
func (n *Node) ProposeChange(c Change, now time.Time) (Index, Output, error) {
	if err := n.leading(now); err != nil {
		return 0, n.finish(), err
	}
	next, err := n.changed(c, now)
	if err != nil {
		return 0, n.finish(), err
	}
	data, err := EncodeMembers(next)
	if err != nil {
		return 0, n.finish(), err
	}
	i := n.appendAsLeader(KindMembers, data, now)
	return i, n.finish(), nil
}

// changed checks a change and returns the membership that it leads to. A
// change before the leader committed an entry of its own term could meet an
// uncommitted change of an earlier leader, and their majorities may be
// disjoint.
func (n *Node) changed(c Change, now time.Time) (Members, error) {
	switch {
	case n.log.commit < n.lead.start:
		return nil, ErrNotReady
	case n.configs.latest().index > n.log.commit && !n.cfg.weak.manyChanges:
		return nil, ErrChangePending
	}
	next, err := c.apply(n.members(), func(id ID) bool { return n.caughtUp(id, now) })
	if err != nil {
		return nil, err
	}
	if !n.reaches(next, now) {
		return nil, ErrNoQuorum
	}
	return next, nil
}

func (n *Node) caughtUp(id ID, now time.Time) bool {
	p := n.lead.peers[id]
	return p != nil && p.match >= n.log.commit && n.recent(id, now)
}
