package ctrl

import (
	"context"
	"time"

	"tamarackcross/raft"
)

const (
	// leavingTimeout is how long a member that announced its stop is neither made a voter nor
	// added again. It may come back later.
	leavingTimeout = 5 * time.Second
	// handOverInterval is the time between checks whether a vote has been handed over.
	handOverInterval = 20 * time.Millisecond
)

// HandOver gives the vote of a member that is about to stop to a learner, or removes it if there are enough
// voters without it. The member may be replaced for good, and the voters have to tolerate the next failure
// as soon as it is gone. Only the leader can do so; another member returns ErrNotLeader. HandOver returns nil
// once the member does not vote, or if it cannot be spared.
func (n *Node) HandOver(ctx context.Context, id raft.ID) error {
	for {
		result := make(chan handOverResult, 1)
		err := n.enqueue(ctx, func(now time.Time) raft.Output {
			out, r := n.stepHandOver(id, now)
			result <- r
			return out
		})
		if err != nil {
			return err
		}
		select {
		case r := <-result:
			if r.done || r.err != nil {
				return r.err
			}
		case <-n.ctx.Done():
			return ErrStopped
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(handOverInterval):
		}
	}
}

type handOverResult struct {
	done bool
	err  error
}

// stepHandOver makes the next membership change that is due while a member leaves.
func (n *Node) stepHandOver(id raft.ID, now time.Time) (raft.Output, handOverResult) {
	if n.core == nil {
		return raft.Output{}, handOverResult{err: ErrNotLeader}
	}
	st := n.core.Status(now)
	switch {
	case !st.Members.IsVoter(id) && !st.ChangePending:
		n.markLeaving(id, now)
		return raft.Output{}, handOverResult{done: true}
	case st.Role != raft.Leader:
		return raft.Output{}, handOverResult{err: ErrNotLeader}
	}
	n.markLeaving(id, now)
	if !st.ChangePending && !canSpareVoter(n.memberStates(st, now), n.neededVoters) {
		return raft.Output{}, handOverResult{done: true}
	}
	return n.stepMembership(now), handOverResult{}
}

// markLeaving records that a member announced its stop.
func (n *Node) markLeaving(id raft.ID, now time.Time) { n.leaving[id] = now.Add(leavingTimeout) }

func (n *Node) isLeaving(id raft.ID, now time.Time) bool {
	until, ok := n.leaving[id]
	if ok && !now.Before(until) {
		delete(n.leaving, id)
		return false
	}
	return ok
}

// canSpareVoter reports whether a voter that leaves can be spared, now or once a learner has caught up.
func canSpareVoter(members []memberState, needed int) bool {
	voters := 0
	for _, m := range members {
		switch {
		case !m.Learner:
			voters++
		case m.active && !m.leaving:
			return true
		}
	}
	return voters > needed
}

// MayHandOver reports whether this member votes and can be spared, as far as it knows itself.
func (n *Node) MayHandOver() bool {
	members := n.Status().Members
	voters := len(members.Voters())
	return members.IsVoter(n.id) && (voters > n.neededVoters || voters < len(members))
}

// StopJoining ends the requests of this member to be added to the log, because it is about to
// stop.
func (n *Node) StopJoining() { n.stopJoining() }
