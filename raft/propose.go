package raft

import (
	"slices"
	"time"
)

// requireLeader returns an error unless this member is the leader and has heard
// from a majority within the shortest election timeout.
func (n *Node) requireLeader(now time.Time) error {
	if n.fault != nil {
		return n.fault
	}
	n.checkQuorum(now)
	if n.role != Leader {
		return ErrNotLeader
	}
	return nil
}

// Propose appends data to the log. The proposal is committed when the entry at
// the returned index is returned as committed with the term that Term reports
// now. If an entry of another term is committed there, the proposal was lost for
// good. The Output is valid even if an error is returned.
func (n *Node) Propose(data []byte, now time.Time) (Index, Output, error) {
	if err := n.requireLeader(now); err != nil {
		return 0, n.takeOutput(), err
	}
	switch {
	case len(data) > n.cfg.maxProposalBytes:
		return 0, n.takeOutput(), ErrTooLarge
	case n.log.uncommittedBytes > 0 && n.log.uncommittedBytes+len(data) > n.cfg.maxUncommittedBytes:
		return 0, n.takeOutput(), ErrBusy
	}
	i := n.appendAsLeader(KindData, slices.Clone(data), now)
	return i, n.takeOutput(), nil
}

// ProposeChange appends a membership change, which takes effect at once. The next
// change is rejected until this one is committed. The Output is valid even if an
// error is returned.
func (n *Node) ProposeChange(c Change, now time.Time) (Index, Output, error) {
	if err := n.requireLeader(now); err != nil {
		return 0, n.takeOutput(), err
	}
	next, err := n.membershipAfter(c, now)
	if err != nil {
		return 0, n.takeOutput(), err
	}
	data, err := EncodeMembers(next)
	if err != nil {
		return 0, n.takeOutput(), err
	}
	i := n.appendAsLeader(KindMembers, data, now)
	return i, n.takeOutput(), nil
}

// membershipAfter validates a change and returns the resulting membership. The
// leader must first have committed an entry of its own term: before that an
// uncommitted change of an earlier leader may exist, and the majorities of the
// two memberships may be disjoint.
func (n *Node) membershipAfter(c Change, now time.Time) (Members, error) {
	switch {
	case n.log.commitIndex < n.leaderState.noOpIndex:
		return nil, ErrNotReady
	case n.memberships.latest().index > n.log.commitIndex && !n.cfg.unsafe.concurrentChanges:
		return nil, ErrChangePending
	}
	next, err := c.apply(n.currentMembers(), func(id ID) bool { return n.caughtUp(id, now) })
	if err != nil {
		return nil, err
	}
	if !n.majorityActive(next, now) {
		return nil, ErrNoQuorum
	}
	return next, nil
}

// caughtUp reports whether id has every committed entry and was heard from
// within the shortest election timeout.
func (n *Node) caughtUp(id ID, now time.Time) bool {
	p := n.leaderState.peers[id]
	return p != nil && p.matchIndex >= n.log.commitIndex && n.recentlyActive(id, now)
}
