package raft

import (
	"slices"
	"time"
)

// pendingRead is a ReadIndex request that waits for a heartbeat round.
type pendingRead struct {
	request uint64
	index   Index
	round   uint64 // the first round that started after the request
}

// ReadIndex requests an index that covers every entry committed before the call.
// The result is returned in the Reads of a later Output, once a majority has
// answered a heartbeat round that started after the call.
func (n *Node) ReadIndex(request uint64, now time.Time) (Output, error) {
	if err := n.requireLeader(now); err != nil {
		return n.takeOutput(), err
	}
	if len(n.leaderState.reads) >= n.cfg.maxPendingReads {
		return n.takeOutput(), ErrBusy
	}
	// Everything that earlier leaders committed precedes the no-op entry of this
	// leader.
	r := pendingRead{request: request, index: max(n.log.commitIndex, n.leaderState.noOpIndex), round: n.leaderState.round + 1}
	if n.cfg.unsafe.unroundedRead {
		r.round = 0
	}
	inFlight := n.readRoundInFlight()
	n.leaderState.reads = append(n.leaderState.reads, r)
	if !inFlight {
		n.broadcastHeartbeat(now)
	}
	return n.takeOutput(), nil
}

// readRoundInFlight reports whether a read waits for a round that has already
// started. Reads that arrive meanwhile share the next round.
func (n *Node) readRoundInFlight() bool {
	return slices.ContainsFunc(n.leaderState.reads, func(r pendingRead) bool { return r.round <= n.leaderState.round })
}

// serveReads confirms the reads whose round was answered by a majority.
func (n *Node) serveReads(now time.Time) {
	if len(n.leaderState.reads) == 0 {
		return
	}
	confirmed := n.confirmedRound()
	n.leaderState.reads = slices.DeleteFunc(n.leaderState.reads, func(r pendingRead) bool {
		done := r.round <= confirmed && r.index <= n.log.commitIndex
		if done {
			n.out.Reads = append(n.out.Reads, ReadResult{Request: r.request, Index: r.index, Confirmed: true})
		}
		return done
	})
	if len(n.leaderState.reads) > 0 && !n.readRoundInFlight() {
		n.broadcastHeartbeat(now)
	}
}

// confirmedRound returns the latest round that a majority has answered.
func (n *Node) confirmedRound() uint64 {
	return quorumValue(n.currentMembers(), func(id ID) uint64 {
		if id == n.hard.ID {
			return n.leaderState.round
		}
		return n.leaderState.peers[id].ackedRound
	})
}

// failReads returns the pending reads as unconfirmed.
func (n *Node) failReads() {
	if n.leaderState == nil {
		return
	}
	for _, r := range n.leaderState.reads {
		n.out.Reads = append(n.out.Reads, ReadResult{Request: r.request})
	}
}
