package raft

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// transfer is a snapshot on its way to a member, one chunk at a time.
type transfer struct {
	snap   Snapshot
	offset int // bytes that the member has received
}

// incoming is a snapshot of which not all chunks have arrived.
type incoming struct {
	mark Mark
	data []byte
}

// Compact replaces the log up to and including index by data, the applied
// state at that index.
func (n *Node) Compact(index Index, data []byte, _ time.Time) (Output, error) {
	switch {
	case index > n.log.applied:
		return Output{}, eris.Wrapf(ErrNotApplied, "index %d, applied %d", index, n.log.applied)
	case index <= n.snap.Index:
		return Output{}, eris.Wrapf(ErrCompacted, "index %d, snapshot %d", index, n.snap.Index)
	}
	t, _ := n.log.term(index)
	n.snap = Snapshot{Index: index, Term: t, Members: n.configs.at(index).members, Data: data}
	n.configs = n.configs.compact(index)
	if trail := Index(n.cfg.trail); index > trail {
		n.log.compact(index - trail)
	}
	snap := n.snap
	n.out.Persist.Snapshot = &snap
	return n.finish(), nil
}

// startTransfer begins to send the snapshot to a member that needs entries
// which are no longer in the log.
func (n *Node) startTransfer(id ID, p *peer) {
	p.transfer = &transfer{snap: n.snap}
	p.inflight = nil
	n.sendChunk(id, p)
}

func (n *Node) sendChunk(id ID, p *peer) {
	t := p.transfer
	end := min(t.offset+n.cfg.batchBytes, len(t.snap.Data))
	p.sent = n.lead.round
	n.send(Install{
		Header:  n.head(id),
		Round:   n.lead.round,
		Mark:    t.snap.Mark(),
		Members: t.snap.Members,
		Size:    uint64(len(t.snap.Data)),
		Offset:  uint64(t.offset),
		Data:    t.snap.Data[t.offset:end:end],
	})
}

// onInstallReply continues where the member is. A member that restarted has
// lost the chunks and starts over.
func (n *Node) onInstallReply(m InstallReply, now time.Time) {
	p := n.peerOf(m.From, m.Round)
	if p == nil {
		return
	}
	if t := p.transfer; t != nil && t.snap.Index == m.Index && uint64(t.offset) != m.Received {
		t.offset = int(min(m.Received, uint64(len(t.snap.Data))))
		n.sendChunk(m.From, p)
	}
	n.serveReads(now)
}

func (n *Node) onInstall(m Install, now time.Time) {
	n.contact(m.From, now)
	if n.log.holds(m.Mark) || m.Mark.Index <= n.log.commit {
		n.commitTo(m.Mark.Index)
		n.installed(m, n.log.commit)
		return
	}
	data, done := n.collect(m)
	if !done {
		n.send(InstallReply{Header: n.head(m.From), Round: m.Round, Index: m.Mark.Index, Received: data})
		return
	}
	n.restore(Snapshot{Index: m.Mark.Index, Term: m.Mark.Term, Members: m.Members, Data: n.incoming.data})
	n.installed(m, m.Mark.Index)
}

func (n *Node) installed(m Install, i Index) {
	n.incoming = nil
	n.send(AppendReply{Header: n.head(m.From), Round: m.Round, Index: i})
}

// collect adds a chunk. It returns the number of bytes received and whether
// the snapshot is complete.
func (n *Node) collect(m Install) (uint64, bool) {
	if n.incoming == nil || n.incoming.mark != m.Mark {
		n.incoming = &incoming{mark: m.Mark}
	}
	in := n.incoming
	if m.Offset == uint64(len(in.data)) {
		in.data = append(in.data, m.Data...)
	}
	received := uint64(len(in.data))
	return received, received >= m.Size
}

// restore replaces log, membership and applied state by a snapshot.
func (n *Node) restore(snap Snapshot) {
	snap.Data = slices.Clip(snap.Data)
	n.snap = snap
	n.log = newLog(snap, nil)
	n.configs = configs{{index: snap.Index, members: snap.Members}}
	n.out.Persist.Snapshot = &snap
	n.out.Restore = &snap
}
