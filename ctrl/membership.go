package ctrl

import (
	"slices"
	"time"

	"tamarackcross/raft"
)

const (
	// membershipInterval is the time between two checks whether a membership change is due. A
	// change that follows another one is proposed as soon as that one is committed.
	membershipInterval = 100 * time.Millisecond
	// silentVoterTimeout is how long a voter is not heard from before a learner that has caught up
	// replaces it. A voter that returns later joins again and is the next spare.
	silentVoterTimeout = time.Second
	// quickVoterTimeout takes its place while no voter has been removed for voterRemovalPause: the loss of a
	// machine whose successor is there may be followed by the next loss at once. Six heartbeats fit into it.
	quickVoterTimeout = 400 * time.Millisecond
	voterRemovalPause = 10 * time.Second
	// minObservation is how long a new leader waits for answers before it replaces a voter that it had not
	// heard from before its election.
	minObservation = 100 * time.Millisecond
	// silentLearnerTimeout is how long a learner is not heard from before it is removed. It joins again if it comes
	// back.
	silentLearnerTimeout = time.Minute
	// minOddVoters is the least number of voters that is kept odd. Fewer tolerate no failure.
	minOddVoters = 3
)

// memberState is what the leader knows about a member when it decides on the membership.
type memberState struct {
	raft.Member
	active   bool          // it answered the leader recently, or is the leader
	caughtUp bool          // a learner that has every committed entry
	silent   time.Duration // how long it has not answered
	leaving  bool          // it announced its stop
}

// nextChange returns the membership change that is due, and why, or nil. Other members than the
// initial ones may join if open is set. A voter that has been silent for silentLimit may be replaced.
//
// A voter that leaves or is silent may be gone for good, and the others have to bear the next loss of a disk
// without it. So it is removed if at least needed voters remain. With fewer it is kept: it may come back, and
// the log may need its disk if others are lost meanwhile.
//
// An ID whose address another member has taken over has lost its disk and will never answer again.
// It is removed before the new ID becomes a voter: the majority needs as many of the remaining
// voters either way, and if the disk is lost again meanwhile, one lost voter is counted and not
// two. A voter that is only silent may return with its disk. It is removed after a learner has
// replaced it, so that the log survives in between if any one disk is lost.
func nextChange(members []memberState, open bool, needed int, silentLimit time.Duration) (raft.Change, string) {
	if id := replacedMember(members); id != 0 {
		return raft.Remove{ID: id}, "another member is active at its address"
	}
	if id := goneLearner(members); open && id != 0 {
		return raft.Remove{ID: id}, "it does not vote and has been silent for long"
	}
	voters := slices.DeleteFunc(slices.Clone(members), func(m memberState) bool { return m.Learner })
	silent, leaving := longestSilent(voters), leavingVoter(voters)
	if open && len(voters) > needed {
		switch even := len(voters)%2 == 0; {
		case silent.ID != 0 && (even || silent.silent >= silentLimit):
			return raft.Remove{ID: silent.ID}, "it is silent, and there are enough voters without it"
		case leaving != 0:
			return raft.Remove{ID: leaving}, "it stops, and there are enough voters without it"
		}
	}
	replace := open && (leaving != 0 || silent.silent >= silentLimit)
	if id := promotableLearner(members, len(voters), replace); id != 0 {
		return raft.Promote{ID: id}, "it has caught up and is needed as a voter"
	}
	return nil, ""
}

// replacedMember returns a member that is silent while another one is active at the same address,
// or 0.
func replacedMember(members []memberState) raft.ID {
	for _, m := range members {
		replaced := func(other memberState) bool {
			return other.ID != m.ID && other.active && other.Address == m.Address
		}
		if !m.active && slices.ContainsFunc(members, replaced) {
			return m.ID
		}
	}
	return 0
}

// goneLearner returns a learner that has been silent for silentLearnerTimeout, or 0.
func goneLearner(members []memberState) raft.ID {
	i := slices.IndexFunc(members, func(m memberState) bool {
		return m.Learner && !m.active && m.silent >= silentLearnerTimeout
	})
	if i < 0 {
		return 0
	}
	return members[i].ID
}

// longestSilent returns the voter that has been silent for longest, or the zero value if all are
// active.
func longestSilent(voters []memberState) memberState {
	var longest memberState
	for _, v := range voters {
		if !v.active && (longest.ID == 0 || v.silent > longest.silent) {
			longest = v
		}
	}
	return longest
}

// leavingVoter returns a voter that announced its stop, or 0.
func leavingVoter(voters []memberState) raft.ID {
	i := slices.IndexFunc(voters, func(m memberState) bool { return m.leaving })
	if i < 0 {
		return 0
	}
	return voters[i].ID
}

// promotableLearner returns a learner that has caught up, if it is to become a voter, or 0. An even
// number of voters tolerates no more failures than the odd number below it, and has no majority
// when it is split into halves. So a learner stays a spare if it would make the number even,
// unless another one can follow it, or it replaces a voter.
func promotableLearner(members []memberState, voters int, replace bool) raft.ID {
	var caughtUp []raft.ID
	for _, m := range members {
		if m.Learner && m.caughtUp && !m.leaving {
			caughtUp = append(caughtUp, m.ID)
		}
	}
	if len(caughtUp) > 0 && (voters < minOddVoters || voters%2 == 0 || len(caughtUp) > 1 || replace) {
		return caughtUp[0]
	}
	return 0
}

// silenceMemory is how long a member that leads again relies on what it knew about the silence
// of voters when it led before.
const silenceMemory = 10 * time.Second

// silenceRecord measures how long members have not answered the leader. It outlasts the leadership:
// leaders that change often would otherwise never find a voter silent for silentVoterTimeout.
type silenceRecord map[raft.ID]silence

// silence is a time in which a member did not answer.
type silence struct {
	since time.Time
	seen  time.Time // when the leader last found it silent
}

// update records which members are silent.
func (r silenceRecord) update(st raft.Status, now time.Time) {
	for id := range r {
		if _, member := st.Members.Find(id); !member {
			delete(r, id)
		}
	}
	for _, p := range st.Progress {
		switch {
		case !p.RecentlyActive || silentBefore(st, p, now):
			since := now
			if !p.HeardAt.IsZero() {
				since = p.HeardAt
			}
			if s, ok := r[p.Member.ID]; ok && now.Sub(s.seen) < silenceMemory && s.since.Before(since) {
				since = s.since
			}
			r[p.Member.ID] = silence{since: since, seen: now}
		case p.Answered:
			delete(r, p.Member.ID)
		}
	}
}

// silentBefore reports whether a member that has not answered this leader was silent before its election for so
// long that the leader need not observe it anew.
func silentBefore(st raft.Status, p raft.Progress, now time.Time) bool {
	return !p.Answered && !p.HeardAt.IsZero() && now.Sub(p.HeardAt) >= quickVoterTimeout && now.Sub(st.LeaderSince) >= minObservation
}

// remembered reports whether a member has not answered for silentVoterTimeout, as far as this member
// knows from when it led last, not long ago. A new leader counts all others as active at first, but one
// that it found silent only once it answers again.
func (r silenceRecord) remembered(id raft.ID, now time.Time) bool {
	s, ok := r[id]
	return ok && now.Sub(s.since) >= silentVoterTimeout && now.Sub(s.seen) < silenceMemory
}

// of returns how long a member has been silent.
func (r silenceRecord) of(id raft.ID, now time.Time) time.Duration {
	if s, ok := r[id]; ok {
		return now.Sub(s.since)
	}
	return 0
}

// memberStates returns what this member knows about all members. It must be the leader.
func (n *Node) memberStates(st raft.Status, now time.Time) []memberState {
	out := make([]memberState, 0, len(st.Members))
	if self, ok := st.Members.Find(st.ID); ok {
		out = append(out, memberState{Member: self, active: true, leaving: n.isLeaving(self.ID, now)})
	}
	for _, p := range st.Progress {
		active := p.RecentlyActive && (p.Answered || !n.silence.remembered(p.Member.ID, now) && !silentBefore(st, p, now))
		out = append(out, memberState{
			Member: p.Member, active: active, caughtUp: p.CaughtUp, silent: n.silence.of(p.Member.ID, now),
			leaving: n.isLeaving(p.Member.ID, now),
		})
	}
	return out
}

// addMember adds a member that introduced itself. It becomes a learner at first. A member that
// returns with a new ID has lost its disk.
func (n *Node) addMember(id raft.ID, addr string, now time.Time) raft.Output {
	st := n.core.Status(now)
	if st.Role != raft.Leader || !n.openMembership && !slices.Contains(n.initialAddresses(), addr) {
		return raft.Output{}
	}
	if _, ok := st.Members.Find(id); ok || n.isLeaving(id, now) {
		return raft.Output{}
	}
	_, out, err := n.core.ProposeChange(raft.AddLearner{ID: id, Address: addr}, now)
	if err == nil {
		n.log.Info().Str("member", id.String()).Str("address", addr).Msg("member added as a learner")
	}
	return out
}

// scheduleMembershipStep queues stepMembership as an event of its own, because a duty cannot
// return an Output. It does so once in membershipInterval, and at once when a change that this
// member proposed is committed. The step is skipped if the event queue is full.
func (n *Node) scheduleMembershipStep(now time.Time) {
	follows := n.changeProposed && !n.Status().ChangePending
	if now.Sub(n.lastMembershipStep) < membershipInterval && !follows {
		return
	}
	n.lastMembershipStep = now
	if follows {
		n.changeProposed = false
	}
	select {
	case n.events <- n.stepMembership:
	default:
	}
}

// stepMembership proposes the next membership change, if one is due.
func (n *Node) stepMembership(now time.Time) raft.Output {
	st := n.core.Status(now)
	if st.Role != raft.Leader {
		return raft.Output{}
	}
	n.silence.update(st, now)
	if st.ChangePending || !st.Current {
		return raft.Output{}
	}
	change, reason := nextChange(n.memberStates(st, now), n.openMembership, n.neededVoters, n.silentLimit(now))
	if change == nil {
		return raft.Output{}
	}
	_, out, err := n.core.ProposeChange(change, now)
	n.changeProposed = err == nil
	n.logChange(st, change, reason, err, now)
	return out
}

// silentLimit returns how long a voter has to be silent before a spare replaces it. Replacements must not follow each
// other closely where links lose packets.
func (n *Node) silentLimit(now time.Time) time.Duration {
	if !n.voterRemovedAt.IsZero() && now.Sub(n.voterRemovedAt) < voterRemovalPause {
		return silentVoterTimeout
	}
	return quickVoterTimeout
}

// recordVoters records when a voter was removed, whoever leads.
func (n *Node) recordVoters(voters []raft.ID, now time.Time) {
	if slices.ContainsFunc(n.voters, func(id raft.ID) bool { return !slices.Contains(voters, id) }) {
		n.voterRemovedAt = now
	}
	n.voters = voters
}

// logChange logs a membership change that was proposed, with the voters before it and those that
// did not answer the leader then.
func (n *Node) logChange(st raft.Status, c raft.Change, reason string, err error, now time.Time) {
	var id raft.ID
	var msg string
	switch c := c.(type) {
	case raft.Promote:
		id, msg = c.ID, "learner becomes a voter"
	case raft.Remove:
		id, msg = c.ID, "member removed"
	}
	if err != nil {
		n.log.Debug().Err(err).Str("member", id.String()).Str("change", msg).Msg("membership change not proposed")
		return
	}
	var voters, silent []string
	for _, v := range st.Members.Voters() {
		voters = append(voters, v.String())
	}
	for _, p := range st.Progress {
		if !p.Member.Learner && !p.RecentlyActive {
			silent = append(silent, p.Member.ID.String())
		}
	}
	n.log.Info().Str("member", id.String()).Str("reason", reason).Uint64("term", uint64(st.Term)).Strs("voters_before", voters).
		Strs("silent_voters", silent).Int64("silent_ms", n.silence.of(id, now).Milliseconds()).Msg(msg)
}
