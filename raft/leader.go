package raft

import "time"

// leaderState is the volatile state that a member has only while it is the
// leader.
type leaderState struct {
	noOpIndex     Index // the no-op entry that this leader appended when it was elected
	peers         map[ID]*peer
	round         uint64           // the latest heartbeat round
	rounds        []heartbeatRound // recent rounds, oldest first
	nextHeartbeat time.Time        // when the next heartbeat round is due
	reads         []pendingRead
	since         time.Time // when it was elected
}

type heartbeatRound struct {
	number    uint64
	startedAt time.Time
}

// peer is the leader's replication state for another member.
type peer struct {
	matchIndex  Index   // the last entry known to match the leader's log
	nextIndex   Index   // the next entry to send
	probing     bool    // one append is sent at a time until a matching entry is found
	inflight    []Index // last entry of each unacknowledged append
	sentRound   uint64  // round of the latest AppendEntries or InstallSnapshot sent
	ackedRound  uint64  // the latest acknowledged round
	lastContact time.Time
	heardAt     time.Time         // see Progress.HeardAt
	transfer    *snapshotTransfer // nil unless a snapshot is being sent
}

// becomeLeader starts the leadership with a no-op entry. Entries of earlier terms
// are only committed together with it.
func (n *Node) becomeLeader(now time.Time) {
	n.role, n.leader = Leader, n.hard.ID
	n.votes = nil
	n.leaderState = &leaderState{noOpIndex: n.log.lastIndex() + 1, peers: map[ID]*peer{}, nextHeartbeat: now.Add(n.cfg.heartbeat), since: now}
	n.leaderState.beginRound(now)
	n.updatePeers(n.leaderState.noOpIndex, now)
	n.eachPeer(func(id ID, p *peer) {
		if n.currentMembers().IsVoter(id) {
			p.heardAt = n.heardBefore(id)
		}
	})
	n.appendAsLeader(KindNoOp, nil, now)
}

// updatePeers makes the peers match the membership. A new peer is first sent the
// entry at next, so that the leader learns from the reply what the peer's log
// contains. It counts as heard from now, so that a new peer does not end the
// leadership at once.
func (n *Node) updatePeers(next Index, now time.Time) {
	ms := n.currentMembers()
	for id := range n.leaderState.peers {
		if _, ok := ms.Find(id); !ok {
			delete(n.leaderState.peers, id)
		}
	}
	for _, m := range ms {
		if m.ID == n.hard.ID || n.leaderState.peers[m.ID] != nil {
			continue
		}
		n.leaderState.peers[m.ID] = &peer{nextIndex: next, probing: true, lastContact: now, heardAt: now}
	}
}

// heardBefore returns when a member was last heard from before this one was elected. The former leader would have
// sent heartbeats; the other voters are asked for the first time when the campaign starts.
func (n *Node) heardBefore(id ID) time.Time {
	since := n.campaignStart
	if id == n.lastLeader {
		since = n.lastLeaderContact
	}
	if heard := n.heard[id]; heard.After(since) {
		return heard
	}
	return since
}

// eachPeer calls f in the order of the membership, so that the same inputs always
// lead to the same messages.
func (n *Node) eachPeer(f func(id ID, p *peer)) {
	for _, m := range n.currentMembers() {
		if p := n.leaderState.peers[m.ID]; p != nil {
			f(m.ID, p)
		}
	}
}

// checkQuorum steps down if the leader has not heard from a majority within the
// shortest election timeout. Every input checks it first, so that a leader whose
// process was frozen does not act on anything when it resumes. The time of
// contact with a member is the start of the round that the member answered.
func (n *Node) checkQuorum(now time.Time) {
	if n.role != Leader || n.majorityActive(n.currentMembers(), now) {
		return
	}
	n.becomeFollower(n.hard.Term, 0, now)
}

// majorityActive reports whether a majority of ms was heard from within the
// shortest election timeout.
func (n *Node) majorityActive(ms Members, now time.Time) bool {
	return ms.majority(func(id ID) bool { return id == n.hard.ID || n.recentlyActive(id, now) })
}

func (n *Node) recentlyActive(id ID, now time.Time) bool {
	p := n.leaderState.peers[id]
	return p != nil && now.Sub(p.lastContact) < n.cfg.electionTimeoutMin
}

// broadcastHeartbeat starts a heartbeat round and sends a heartbeat to every
// member.
func (n *Node) broadcastHeartbeat(now time.Time) {
	n.leaderState.beginRound(now)
	n.leaderState.discardRoundsBefore(now.Add(-n.cfg.electionTimeoutMin))
	n.leaderState.nextHeartbeat = now.Add(n.cfg.heartbeat)
	n.eachPeer(func(id ID, p *peer) {
		n.send(Heartbeat{Header: n.headerTo(id), Round: n.leaderState.round, Commit: min(p.matchIndex, n.log.commitIndex)})
	})
	n.serveReads(now)
}

func (l *leaderState) beginRound(now time.Time) {
	l.round++
	l.rounds = append(l.rounds, heartbeatRound{number: l.round, startedAt: now})
}

// discardRoundsBefore discards the rounds that started before limit. Replies to
// them no longer count as recent contact.
func (l *leaderState) discardRoundsBefore(limit time.Time) {
	k := 0
	for k < len(l.rounds)-1 && l.rounds[k].startedAt.Before(limit) {
		k++
	}
	l.rounds = l.rounds[k:]
}

// startOf returns the start of a round, or zero if it is not one of the recent ones.
func (l *leaderState) startOf(round uint64) time.Time {
	if first := l.rounds[0].number; round >= first && round <= l.round {
		return l.rounds[round-first].startedAt
	}
	return time.Time{}
}

// recordAck records that p answered a message of the given round.
func (l *leaderState) recordAck(p *peer, round uint64) {
	if round <= p.ackedRound || round > l.round {
		return
	}
	p.ackedRound = round
	if first := l.rounds[0].number; round >= first {
		p.lastContact = l.rounds[round-first].startedAt
	}
}

func (n *Node) appendAsLeader(kind Kind, data []byte, now time.Time) Index {
	e := Entry{Index: n.log.lastIndex() + 1, Term: n.hard.Term, Kind: kind, Data: data}
	n.appendEntries(e)
	if kind == KindMembers {
		n.updatePeers(e.Index, now)
	}
	n.eachPeer(n.replicate)
	n.advanceCommit(now)
	return e.Index
}

// advanceCommit commits the entries that a majority has. Only entries of the
// current term are committed by counting replicas; earlier entries are committed
// along with them.
func (n *Node) advanceCommit(now time.Time) {
	i := quorumValue(n.currentMembers(), func(id ID) Index {
		if id == n.hard.ID {
			return n.log.lastIndex()
		}
		return n.leaderState.peers[id].matchIndex
	})
	t, _ := n.log.term(i)
	if i <= n.log.commitIndex || (t != n.hard.Term && !n.cfg.unsafe.oldTermCommit) {
		return
	}
	n.log.commitTo(i)
	n.serveReads(now)
	n.stepDownIfRemoved(now)
}

// stepDownIfRemoved ends the leadership of a member whose own removal is
// committed, after it announced the commit to the others.
func (n *Node) stepDownIfRemoved(now time.Time) {
	current := n.memberships.latest()
	if current.index > n.log.commitIndex || current.members.IsVoter(n.hard.ID) {
		return
	}
	n.broadcastHeartbeat(now)
	n.becomeFollower(n.hard.Term, 0, now)
}

// replicate sends entries to p until its limit of unacknowledged appends is
// reached.
func (n *Node) replicate(id ID, p *peer) {
	for p.transfer == nil && p.nextIndex <= n.log.lastIndex() && len(p.inflight) < p.inflightLimit(n.cfg.maxInflightAppends) {
		n.sendAppend(id, p)
	}
}

func (p *peer) inflightLimit(limit int) int {
	if p.probing {
		return 1
	}
	return limit
}

func (n *Node) sendAppend(id ID, p *peer) {
	prev, ok := n.log.term(p.nextIndex - 1)
	if !ok || n.snapshotIsShorter(p.nextIndex) {
		n.startSnapshotTransfer(id, p)
		return
	}
	es := n.log.batch(p.nextIndex, n.cfg.maxBatchEntries, n.cfg.maxBatchBytes)
	n.send(AppendEntries{
		Header:    n.headerTo(id),
		Round:     n.leaderState.round,
		PrevIndex: p.nextIndex - 1,
		PrevTerm:  prev,
		Commit:    n.log.commitIndex,
		Entries:   es,
	})
	end := es[len(es)-1].Index
	p.inflight = append(p.inflight, end)
	p.sentRound = n.leaderState.round
	if !p.probing {
		p.nextIndex = end + 1
	}
}

func (n *Node) onAppendEntriesReply(m AppendEntriesReply, now time.Time) {
	p := n.acknowledgingPeer(m.From, m.Round)
	if p == nil {
		return
	}
	if m.Rejected {
		n.onAppendRejected(p, m)
	} else {
		n.onAppendAccepted(p, m.Index, now)
	}
	if n.role != Leader {
		return
	}
	n.replicate(m.From, p)
	n.serveReads(now)
}

// acknowledgingPeer records that id answered a message of the given round and
// returns its peer, or nil if this member is not the leader or id is not a
// member.
func (n *Node) acknowledgingPeer(id ID, round uint64) *peer {
	if n.role != Leader {
		return nil
	}
	p := n.leaderState.peers[id]
	if p != nil {
		n.leaderState.recordAck(p, round)
	}
	return p
}

// onAppendRejected moves nextIndex back to where the logs may match. Rejections
// of anything but the latest attempt are ignored.
func (n *Node) onAppendRejected(p *peer, m AppendEntriesReply) {
	if m.Index <= p.matchIndex || (p.probing && m.Index != p.nextIndex-1) {
		return
	}
	p.probing, p.inflight = true, nil
	p.nextIndex = max(p.matchIndex, n.log.findConflictByTerm(m.Hint, m.HintTerm).Index) + 1
}

func (n *Node) onAppendAccepted(p *peer, i Index, now time.Time) {
	if i > n.log.lastIndex() || i <= p.matchIndex {
		return
	}
	p.matchIndex = i
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	if p.probing {
		p.nextIndex, p.inflight, p.probing = p.matchIndex+1, nil, false
	}
	for len(p.inflight) > 0 && p.inflight[0] <= p.matchIndex {
		p.inflight = p.inflight[1:]
	}
	if p.transfer != nil && p.matchIndex >= p.transfer.snap.Index {
		p.transfer = nil
	}
	n.advanceCommit(now)
}

// onHeartbeatReply detects lost messages: whatever was sent before the round that
// is now acknowledged, and has no reply yet, was lost.
func (n *Node) onHeartbeatReply(m HeartbeatReply, now time.Time) {
	p := n.acknowledgingPeer(m.From, m.Round)
	if p == nil {
		return
	}
	if m.Round > p.sentRound {
		n.resendLost(m.From, p)
	}
	n.replicate(m.From, p)
	n.serveReads(now)
}

// resendLost sends the current snapshot chunk again or resets the log replication
// to the last matching entry.
func (n *Node) resendLost(id ID, p *peer) {
	switch {
	case p.transfer != nil:
		n.sendChunk(id, p)
	case len(p.inflight) > 0:
		if !p.probing {
			p.nextIndex = p.matchIndex + 1
		}
		p.probing, p.inflight = true, nil
	}
}
