package raft

import "time"

// leadership is what a member holds only while it is the leader.
type leadership struct {
	start  Index // the empty entry that opened the leadership
	peers  map[ID]*peer
	round  uint64 // the newest heartbeat round
	rounds []startedRound
	beat   time.Time // when the next heartbeat round is due
	reads  []read
}

type startedRound struct {
	number uint64
	at     time.Time
}

// peer is the leader's view of another member.
type peer struct {
	match    Index   // the last entry known to equal the leader's
	next     Index   // the next entry to send
	probing  bool    // send one append at a time until the logs are known to agree
	inflight []Index // last entry of each append without a reply
	sent     uint64  // the round of the newest append or install
	acked    uint64  // the newest round acknowledged
	heard    time.Time
	transfer *transfer
}

// becomeLeader opens the leadership with an empty entry. Entries of earlier
// terms are committed only together with it.
func (n *Node) becomeLeader(now time.Time) {
	n.role, n.leader = Leader, n.hard.ID
	n.votes = nil
	n.lead = &leadership{start: n.log.last() + 1, peers: map[ID]*peer{}, beat: now.Add(n.cfg.heartbeat)}
	n.lead.openRound(now)
	n.syncPeers(n.lead.start, now)
	n.appendAsLeader(KindEmpty, nil, now)
}

// syncPeers matches the peers with the membership. A new peer is first sent the
// entry at next, so that the leader learns from its reply what it holds. It
// counts as heard from now, so that it does not end the leadership at once.
func (n *Node) syncPeers(next Index, now time.Time) {
	ms := n.members()
	for id := range n.lead.peers {
		if _, ok := ms.Find(id); !ok {
			delete(n.lead.peers, id)
		}
	}
	for _, m := range ms {
		if m.ID == n.hard.ID || n.lead.peers[m.ID] != nil {
			continue
		}
		n.lead.peers[m.ID] = &peer{next: next, probing: true, heard: now}
	}
}

// eachPeer calls f in the order of the membership, so that the same inputs
// always lead to the same messages.
func (n *Node) eachPeer(f func(id ID, p *peer)) {
	for _, m := range n.members() {
		if p := n.lead.peers[m.ID]; p != nil {
			f(m.ID, p)
		}
	}
}

// checkQuorum ends a leadership that has not heard from a majority within the
// shortest election timeout. Every input checks it first, so that a leader
// that was frozen does not act on anything when it resumes. A member counts as
// heard from at the start of the round that it answered.
func (n *Node) checkQuorum(now time.Time) {
	if n.role != Leader || n.reaches(n.members(), now) {
		return
	}
	n.becomeFollower(n.hard.Term, 0, now)
}

// reaches reports whether a majority of ms was heard from recently.
func (n *Node) reaches(ms Members, now time.Time) bool {
	return ms.majority(func(id ID) bool { return id == n.hard.ID || n.recent(id, now) })
}

func (n *Node) recent(id ID, now time.Time) bool {
	p := n.lead.peers[id]
	return p != nil && now.Sub(p.heard) < n.cfg.electionMin
}

// startRound sends a heartbeat to every member.
func (n *Node) startRound(now time.Time) {
	n.lead.openRound(now)
	n.lead.forget(now.Add(-n.cfg.electionMin))
	n.lead.beat = now.Add(n.cfg.heartbeat)
	n.eachPeer(func(id ID, p *peer) {
		n.send(Heartbeat{Header: n.head(id), Round: n.lead.round, Commit: min(p.match, n.log.commit)})
	})
	n.serveReads(now)
}

func (l *leadership) openRound(now time.Time) {
	l.round++
	l.rounds = append(l.rounds, startedRound{number: l.round, at: now})
}

// forget drops the rounds that started before limit. Answers to them prove
// nothing recent.
func (l *leadership) forget(limit time.Time) {
	k := 0
	for k < len(l.rounds)-1 && l.rounds[k].at.Before(limit) {
		k++
	}
	l.rounds = l.rounds[k:]
}

// ack records that p answered a message of the given round.
func (l *leadership) ack(p *peer, round uint64) {
	if round <= p.acked || round > l.round {
		return
	}
	p.acked = round
	if first := l.rounds[0].number; round >= first {
		p.heard = l.rounds[round-first].at
	}
}

func (n *Node) appendAsLeader(kind Kind, data []byte, now time.Time) Index {
	e := Entry{Index: n.log.last() + 1, Term: n.hard.Term, Kind: kind, Data: data}
	n.appendEntries(e)
	if kind == KindMembers {
		n.syncPeers(e.Index, now)
	}
	n.eachPeer(n.replicate)
	n.advanceCommit(now)
	return e.Index
}

// advanceCommit commits what a majority holds. Only an entry of the current
// term is committed by counting; earlier entries follow with it.
func (n *Node) advanceCommit(now time.Time) {
	i := quorumValue(n.members(), func(id ID) Index {
		if id == n.hard.ID {
			return n.log.last()
		}
		return n.lead.peers[id].match
	})
	t, _ := n.log.term(i)
	if i <= n.log.commit || (t != n.hard.Term && !n.cfg.weak.oldTermCommit) {
		return
	}
	n.log.commitTo(i)
	n.serveReads(now)
	n.resignIfRemoved(now)
}

// resignIfRemoved ends the leadership of a member whose own removal is
// committed, after telling the others about the commit.
func (n *Node) resignIfRemoved(now time.Time) {
	c := n.configs.latest()
	if c.index > n.log.commit || c.members.Voter(n.hard.ID) {
		return
	}
	n.startRound(now)
	n.becomeFollower(n.hard.Term, 0, now)
}

// replicate sends entries to p as far as its window allows.
func (n *Node) replicate(id ID, p *peer) {
	for p.transfer == nil && p.next <= n.log.last() && len(p.inflight) < p.window(n.cfg.inflight) {
		n.sendAppend(id, p)
	}
}

func (p *peer) window(limit int) int {
	if p.probing {
		return 1
	}
	return limit
}

func (n *Node) sendAppend(id ID, p *peer) {
	prev, ok := n.log.term(p.next - 1)
	if !ok {
		n.startTransfer(id, p)
		return
	}
	es := n.log.batch(p.next, n.cfg.batchEntries, n.cfg.batchBytes)
	n.send(Append{
		Header:    n.head(id),
		Round:     n.lead.round,
		PrevIndex: p.next - 1,
		PrevTerm:  prev,
		Commit:    n.log.commit,
		Entries:   es,
	})
	end := es[len(es)-1].Index
	p.inflight = append(p.inflight, end)
	p.sent = n.lead.round
	if !p.probing {
		p.next = end + 1
	}
}

func (n *Node) onAppendReply(m AppendReply, now time.Time) {
	p := n.peerOf(m.From, m.Round)
	if p == nil {
		return
	}
	if m.Rejected {
		n.onRejected(p, m)
	} else {
		n.onAccepted(p, m.Index, now)
	}
	if n.role != Leader {
		return
	}
	n.replicate(m.From, p)
	n.serveReads(now)
}

// peerOf returns the sender of a reply, with its round recorded.
func (n *Node) peerOf(id ID, round uint64) *peer {
	if n.role != Leader {
		return nil
	}
	p := n.lead.peers[id]
	if p != nil {
		n.lead.ack(p, round)
	}
	return p
}

// onRejected moves back to where the logs may agree. Replies to appends that
// are not the newest attempt are ignored.
func (n *Node) onRejected(p *peer, m AppendReply) {
	if m.Index <= p.match || (p.probing && m.Index != p.next-1) {
		return
	}
	p.probing, p.inflight = true, nil
	p.next = max(p.match, n.log.hint(m.Hint, m.HintTerm).Index) + 1
}

func (n *Node) onAccepted(p *peer, i Index, now time.Time) {
	if i > n.log.last() || i <= p.match {
		return
	}
	p.match = i
	p.next = max(p.next, p.match+1)
	if p.probing {
		p.next, p.inflight, p.probing = p.match+1, nil, false
	}
	for len(p.inflight) > 0 && p.inflight[0] <= p.match {
		p.inflight = p.inflight[1:]
	}
	if p.transfer != nil && p.match >= p.transfer.snap.Index {
		p.transfer = nil
	}
	n.advanceCommit(now)
}

// onHeartbeatReply finds lost appends: whatever was sent before the round that
// is answered now, and has no reply yet, was lost.
func (n *Node) onHeartbeatReply(m HeartbeatReply, now time.Time) {
	p := n.peerOf(m.From, m.Round)
	if p == nil {
		return
	}
	if m.Round > p.sent {
		n.recover(m.From, p)
	}
	n.replicate(m.From, p)
	n.serveReads(now)
}

func (n *Node) recover(id ID, p *peer) {
	switch {
	case p.transfer != nil:
		n.sendChunk(id, p)
	case len(p.inflight) > 0:
		if !p.probing {
			p.next = p.match + 1
		}
		p.probing, p.inflight = true, nil
	}
}
