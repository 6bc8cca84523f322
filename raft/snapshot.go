package raft

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// snapshotTransfer is a snapshot that is being sent to a member, one chunk at a
// time.
type snapshotTransfer struct {
	snap   Snapshot
	offset int // bytes acknowledged by the member
}

// incomingSnapshot is a snapshot of which not all chunks have arrived.
type incomingSnapshot struct {
	lastIncluded EntryID
	data         []byte
}

// Compact replaces the log up to and including index by a snapshot. data is the
// applied state at that index.
func (n *Node) Compact(index Index, data []byte, _ time.Time) (Output, error) {
	switch {
	case index > n.log.lastApplied:
		return Output{}, eris.Wrapf(ErrNotApplied, "index %d, applied %d", index, n.log.lastApplied)
	case index <= n.snap.Index:
		return Output{}, eris.Wrapf(ErrCompacted, "index %d, snapshot at %d", index, n.snap.Index)
	}
	t, _ := n.log.term(index)
	n.snap = Snapshot{Index: index, Term: t, Members: n.memberships.at(index).members, Data: data}
	n.memberships = n.memberships.compact(index)
	n.log.compact(n.log.trailingStart(index, n.cfg.trailingEntries, n.cfg.trailingBytes))
	snap := n.snap
	n.out.Persist.Snapshot = &snap
	return n.takeOutput(), nil
}

// startSnapshotTransfer starts sending the snapshot to a member that needs
// entries which are no longer in the log, or more bytes of them.
func (n *Node) startSnapshotTransfer(id ID, p *peer) {
	p.transfer = &snapshotTransfer{snap: n.snap}
	p.inflight = nil
	n.sendChunk(id, p)
}

// snapshotIsShorter reports whether the snapshot is shorter than the entries from index from on
// that it covers. A member that has lost its disk then needs less time to catch up.
func (n *Node) snapshotIsShorter(from Index) bool {
	return from <= n.snap.Index && sizeInLog(n.log.between(from-1, n.snap.Index)) > len(n.snap.Data)
}

func (n *Node) sendChunk(id ID, p *peer) {
	t := p.transfer
	end := min(t.offset+n.cfg.maxBatchBytes, len(t.snap.Data))
	p.sentRound = n.leaderState.round
	n.send(InstallSnapshot{
		Header:       n.headerTo(id),
		Round:        n.leaderState.round,
		LastIncluded: t.snap.LastIncluded(),
		Members:      t.snap.Members,
		Size:         uint64(len(t.snap.Data)),
		Offset:       uint64(t.offset),
		Data:         t.snap.Data[t.offset:end:end],
	})
}

// onInstallSnapshotReply sends the chunk that the member needs next. A member
// that restarted has lost the chunks and starts over.
func (n *Node) onInstallSnapshotReply(m InstallSnapshotReply, now time.Time) {
	p := n.acknowledgingPeer(m.From, m.Round)
	if p == nil {
		return
	}
	if t := p.transfer; t != nil && t.snap.Index == m.Index && uint64(t.offset) != m.Received {
		t.offset = int(min(m.Received, uint64(len(t.snap.Data))))
		n.sendChunk(m.From, p)
	}
	n.serveReads(now)
}

func (n *Node) onInstallSnapshot(m InstallSnapshot, now time.Time) {
	n.noteLeaderContact(m.From, now)
	if n.log.contains(m.LastIncluded) || m.LastIncluded.Index <= n.log.commitIndex {
		n.commitTo(m.LastIncluded.Index)
		n.replyInstalled(m, n.log.commitIndex)
		return
	}
	received, done := n.addChunk(m)
	if !done {
		n.send(InstallSnapshotReply{Header: n.headerTo(m.From), Round: m.Round, Index: m.LastIncluded.Index, Received: received})
		return
	}
	n.restoreSnapshot(Snapshot{Index: m.LastIncluded.Index, Term: m.LastIncluded.Term, Members: m.Members, Data: n.receiving.data})
	n.replyInstalled(m, m.LastIncluded.Index)
}

func (n *Node) replyInstalled(m InstallSnapshot, i Index) {
	n.receiving = nil
	n.send(AppendEntriesReply{Header: n.headerTo(m.From), Round: m.Round, Index: i})
}

// addChunk adds a chunk of a snapshot. It returns the number of bytes received
// and whether the snapshot is complete.
func (n *Node) addChunk(m InstallSnapshot) (uint64, bool) {
	if n.receiving == nil || n.receiving.lastIncluded != m.LastIncluded {
		n.receiving = &incomingSnapshot{lastIncluded: m.LastIncluded}
	}
	in := n.receiving
	if m.Offset == uint64(len(in.data)) {
		in.data = append(in.data, m.Data...)
	}
	received := uint64(len(in.data))
	return received, received >= m.Size
}

// restoreSnapshot replaces the log, the membership and the applied state by a
// snapshot.
func (n *Node) restoreSnapshot(snap Snapshot) {
	snap.Data = slices.Clip(snap.Data)
	n.snap = snap
	n.log = newLog(snap, nil)
	n.memberships = membershipHistory{{index: snap.Index, members: snap.Members}}
	n.out.Persist.Snapshot = &snap
	n.out.Restore = &snap
}
