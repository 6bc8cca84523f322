// Package raft implements the Raft consensus algorithm for one member of the
// replicated log: leader election with pre-vote, log replication, linearizable
// reads, snapshots and membership changes.
//
// A Node has no clock, goroutine or socket of its own. Each input carries the
// current time and returns an Output, which the caller carries out. A Node is not
// safe for concurrent use.
package raft

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Role is the role of a member in the current term.
type Role int

// The roles. A PreCandidate asks whether it would be elected before it starts
// a new term, so that a member that was partitioned does not disrupt the
// others with a higher term when it returns.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Node is the Raft state machine of one member.
type Node struct {
	cfg               settings
	hard              HardState
	snap              Snapshot
	log               memlog
	memberships       membershipHistory
	role              Role
	leader            ID
	lastLeader        ID               // of this or an earlier term
	lastLeaderContact time.Time        // when it was last heard from
	heard             map[ID]time.Time // when a message of a member arrived last
	campaignStart     time.Time        // when this member first asked for votes after it had heard from a leader
	electionDeadline  time.Time        // when the current election timeout expires
	votes             map[ID]bool
	leaderState       *leaderState      // only in the role Leader
	receiving         *incomingSnapshot // snapshot that is being received, nil if none
	out               Output
	fault             error
}

// New returns a node that continues from the saved state.
func New(saved PersistentState, now time.Time, opts ...Option) (*Node, error) {
	cfg := defaults(saved.HardState)
	for _, opt := range opts {
		opt(&cfg)
	}
	if err := cfg.check(); err != nil {
		return nil, err
	}
	if err := saved.check(); err != nil {
		return nil, err
	}
	n := &Node{
		cfg:         cfg,
		hard:        saved.HardState,
		snap:        saved.Snapshot,
		log:         newLog(saved.Snapshot, saved.Entries),
		memberships: membershipHistory{{index: saved.Snapshot.Index, members: saved.Snapshot.Members}},
		heard:       make(map[ID]time.Time),
	}
	if err := n.adoptMemberships(saved.Entries); err != nil {
		return nil, err
	}
	// A member that starts from the bootstrap snapshot has no term on disk yet.
	if n.hard.Term < n.log.lastTerm() {
		n.hard.Term, n.hard.Vote = n.log.lastTerm(), 0
	}
	n.resetElectionDeadline(now)
	return n, nil
}

func (s PersistentState) check() error {
	if s.HardState.ID == 0 {
		return eris.New("raft: the saved state has no member ID")
	}
	prev := s.Snapshot.LastIncluded()
	for _, e := range s.Entries {
		if e.Index != prev.Index+1 || e.Term < prev.Term {
			return eris.Errorf("raft: saved entry %d of term %d cannot follow entry %d of term %d",
				e.Index, e.Term, prev.Index, prev.Term)
		}
		prev = EntryID{Index: e.Index, Term: e.Term}
	}
	return nil
}

// Step handles a message from another member. A message to another ID is ignored:
// the address may have belonged to a member that lost its disk. So is one that no
// correct member sends.
func (n *Node) Step(m Message, now time.Time) Output {
	h := m.Head()
	if n.fault != nil || h.To != n.hard.ID || h.From == n.hard.ID || !wellFormed(m) {
		return Output{Fault: n.fault}
	}
	n.recordHeard(h.From, now)
	n.checkQuorum(now)
	if n.checkTerm(m, now) {
		n.dispatch(m, now)
	}
	return n.takeOutput()
}

// recordHeard records that a message of a member arrived.
func (n *Node) recordHeard(id ID, now time.Time) {
	if _, ok := n.currentMembers().Find(id); !ok {
		delete(n.heard, id)
		return
	}
	n.heard[id] = now
	if n.role == Leader && n.leaderState.peers[id] != nil {
		n.leaderState.peers[id].heardAt = now
	}
}

func (n *Node) dispatch(m Message, now time.Time) {
	switch m := m.(type) {
	case RequestVote:
		n.onRequestVote(m, now)
	case RequestVoteReply:
		n.onRequestVoteReply(m, now)
	case AppendEntries:
		n.onAppendEntries(m, now)
	case AppendEntriesReply:
		n.onAppendEntriesReply(m, now)
	case Heartbeat:
		n.onHeartbeat(m, now)
	case HeartbeatReply:
		n.onHeartbeatReply(m, now)
	case InstallSnapshot:
		n.onInstallSnapshot(m, now)
	case InstallSnapshotReply:
		n.onInstallSnapshotReply(m, now)
	}
}

// checkTerm compares the term of m with the current term and reports whether m is
// to be processed.
func (n *Node) checkTerm(m Message, now time.Time) bool {
	h := m.Head()
	switch {
	case h.Term > n.hard.Term:
		return n.onHigherTerm(m, now)
	case h.Term < n.hard.Term:
		n.onLowerTerm(m)
		return false
	}
	return true
}

func (n *Node) onHigherTerm(m Message, now time.Time) bool {
	h := m.Head()
	switch m := m.(type) {
	case RequestVote:
		if n.hasActiveLeader(now) {
			return false
		}
		if m.PreVote {
			return true
		}
	case RequestVoteReply:
		if m.PreVote && m.Granted {
			return true
		}
	case AppendEntries, Heartbeat, InstallSnapshot:
		n.becomeFollower(h.Term, h.From, now)
		return true
	}
	n.becomeFollower(h.Term, 0, now)
	return true
}

// onLowerTerm tells the sender about the current term. Otherwise a member whose
// term is higher would reject its leader forever without the leader noticing.
func (n *Node) onLowerTerm(m Message) {
	switch m := m.(type) {
	case RequestVote:
		n.send(RequestVoteReply{Header: n.headerTo(m.From), PreVote: m.PreVote})
	case AppendEntries, Heartbeat, InstallSnapshot:
		n.send(HeartbeatReply{Header: n.headerTo(m.Head().From)})
	}
}

// Tick starts the heartbeat or election that is due at now.
func (n *Node) Tick(now time.Time) Output {
	if n.fault != nil {
		return Output{Fault: n.fault}
	}
	n.checkQuorum(now)
	switch {
	case n.role == Leader:
		if !now.Before(n.leaderState.nextHeartbeat) {
			n.broadcastHeartbeat(now)
		}
	case !now.Before(n.electionDeadline):
		n.onElectionTimeout(now)
	}
	return n.takeOutput()
}

// NextTick returns when Tick must be called next. The time lies before now if the
// call is overdue.
func (n *Node) NextTick(now time.Time) time.Time {
	switch {
	case n.fault != nil:
		return now.Add(n.cfg.electionTimeoutMax)
	case n.role == Leader:
		return n.leaderState.nextHeartbeat
	}
	return n.electionDeadline
}

func (n *Node) currentMembers() Members { return n.memberships.latest().members }

func (n *Node) headerTo(to ID) Header { return Header{From: n.hard.ID, To: to, Term: n.hard.Term} }

func (n *Node) send(m Message) { n.out.Messages = append(n.out.Messages, m) }

func (n *Node) setHardState(term Term, vote ID) {
	n.hard.Term, n.hard.Vote = term, vote
	if vote != 0 && n.cfg.unsafe.unsyncedVote {
		return
	}
	hard := n.hard
	n.out.Persist.HardState = &hard
}

// appendEntries adds entries to the log and to the state to persist.
func (n *Node) appendEntries(es ...Entry) {
	n.log.append(es...)
	n.out.Persist.Entries = append(n.out.Persist.Entries, es...)
	if err := n.adoptMemberships(es); err != nil {
		n.fault = err
	}
}

// adoptMemberships puts the memberships among es into effect.
func (n *Node) adoptMemberships(es []Entry) error {
	for _, e := range es {
		if e.Kind != KindMembers {
			continue
		}
		ms, err := DecodeMembers(e.Data)
		if err != nil {
			return eris.Wrapf(err, "raft: decode the membership in entry %d", e.Index)
		}
		n.memberships = append(n.memberships, membership{index: e.Index, members: ms})
	}
	return nil
}

func (n *Node) resetElectionDeadline(now time.Time) {
	spread := n.cfg.electionTimeoutMax - n.cfg.electionTimeoutMin
	n.electionDeadline = now.Add(n.cfg.electionTimeoutMin + time.Duration(n.cfg.rnd.Int64N(int64(spread))))
}

// takeOutput returns the output collected since the last call, with the newly
// committed entries.
func (n *Node) takeOutput() Output {
	if n.log.lastApplied < n.log.commitIndex {
		n.out.Committed = n.log.between(n.log.lastApplied, n.log.commitIndex)
		n.log.lastApplied = n.log.commitIndex
	}
	out := n.out
	n.out = Output{}
	if n.fault != nil {
		return Output{Fault: n.fault}
	}
	out.Persist.Entries = slices.Clip(out.Persist.Entries)
	return out
}
