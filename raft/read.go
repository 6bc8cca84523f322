package raft

import (
	"slices"
	"time"
)

// read is a request for an index that waits for a heartbeat round.
type read struct {
	request uint64
	index   Index
	round   uint64 // the first round that started after the request
}

// ReadIndex asks for an index that covers every entry committed before the
// call. The answer follows in the Reads of an Output, once a majority has
// answered a heartbeat round that started after the call.
func (n *Node) ReadIndex(request uint64, now time.Time) (Output, error) {
	if err := n.leading(now); err != nil {
		return n.finish(), err
	}
	if len(n.lead.reads) >= n.cfg.pendingReads {
		return n.finish(), ErrBusy
	}
	// Everything that earlier leaders committed lies before the empty entry of
	// this leadership.
	r := read{request: request, index: max(n.log.commit, n.lead.start), round: n.lead.round + 1}
	if n.cfg.weak.unroundedRead {
		r.round = 0
	}
	waiting := n.roundNeeded()
	n.lead.reads = append(n.lead.reads, r)
	if !waiting {
		n.startRound(now)
	}
	return n.finish(), nil
}

// roundNeeded reports whether a read waits for a round that has been started.
// Later reads then share the next round.
func (n *Node) roundNeeded() bool {
	return slices.ContainsFunc(n.lead.reads, func(r read) bool { return r.round <= n.lead.round })
}

// serveReads answers the reads whose round is confirmed.
func (n *Node) serveReads(now time.Time) {
	if len(n.lead.reads) == 0 {
		return
	}
	confirmed := n.confirmedRound()
	n.lead.reads = slices.DeleteFunc(n.lead.reads, func(r read) bool {
		done := r.round <= confirmed && r.index <= n.log.commit
		if done {
			n.out.Reads = append(n.out.Reads, ReadResult{Request: r.request, Index: r.index, Confirmed: true})
		}
		return done
	})
	if len(n.lead.reads) > 0 && !n.roundNeeded() {
		n.startRound(now)
	}
}

// confirmedRound returns the newest round that a majority has answered.
func (n *Node) confirmedRound() uint64 {
	return quorumValue(n.members(), func(id ID) uint64 {
		if id == n.hard.ID {
			return n.lead.round
		}
		return n.lead.peers[id].acked
	})
}

// dropReads reports the waiting reads as unconfirmed.
func (n *Node) dropReads() {
	if n.lead == nil {
		return
	}
	for _, r := range n.lead.reads {
		n.out.Reads = append(n.out.Reads, ReadResult{Request: r.request})
	}
}
