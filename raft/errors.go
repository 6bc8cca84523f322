package raft

import "github.com/rotisserie/eris"

// Errors of Propose, ProposeChange, ReadIndex and Compact. Nothing is appended to
// the log when one of them is returned.
var (
	ErrNotLeader     = eris.New("raft: this member is not the leader")
	ErrNotReady      = eris.New("raft: the leader has not committed an entry of its term yet")
	ErrBusy          = eris.New("raft: too many uncommitted bytes or pending reads")
	ErrTooLarge      = eris.New("raft: the proposal is larger than the limit")
	ErrChangePending = eris.New("raft: an earlier membership change is not committed")
	ErrMemberExists  = eris.New("raft: the ID is 0 or already that of a member")
	ErrNoMember      = eris.New("raft: no member has this ID")
	ErrNotLearner    = eris.New("raft: the member is not a learner")
	ErrNotCaughtUp   = eris.New("raft: the learner has not caught up")
	ErrLastVoter     = eris.New("raft: the last voter cannot be removed")
	ErrNoQuorum      = eris.New("raft: no majority of the changed membership is reachable")
	ErrNotApplied    = eris.New("raft: the index is not applied yet")
	ErrCompacted     = eris.New("raft: the index is already covered by a snapshot")
)

// ErrDiverged is the Fault of an Output when the leader's log conflicts with an
// entry that this member knows to be committed.
var ErrDiverged = eris.New("raft: the leader's log conflicts with a committed entry")
