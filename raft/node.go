// Package raft decides for one member of the replicated log: elections,
// replication, reads, snapshots and membership changes.
//
// A Node holds no clock, goroutine or socket. Each input carries the current
// time and returns an Output, which the caller carries out. A Node is not safe
// for concurrent use.
package raft

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Role is what a member currently is in its term.
type Role int

// The roles. A PreCandidate asks whether it would be elected before it starts
// a new term, so that a member that was cut off does not disturb the others.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String names the role.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Node is the decision core of one member.
type Node struct {
	cfg      settings
	hard     HardState
	snap     Snapshot
	log      memlog
	configs  configs
	role     Role
	leader   ID
	heard    time.Time // last contact with the leader
	deadline time.Time // the end of the current election timeout
	votes    map[ID]bool
	lead     *leadership // only in the role Leader
	incoming *incoming   // a snapshot that is being received
	out      Output
	fault    error
}

// New returns a node that continues from what was saved.
func New(saved Saved, now time.Time, opts ...Option) (*Node, error) {
	cfg := defaults(saved.Hard)
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
		cfg:     cfg,
		hard:    saved.Hard,
		snap:    saved.Snapshot,
		log:     newLog(saved.Snapshot, saved.Entries),
		configs: configs{{index: saved.Snapshot.Index, members: saved.Snapshot.Members}},
	}
	if err := n.adopt(saved.Entries); err != nil {
		return nil, err
	}
	// A member that starts on the bootstrap snapshot has no term on disk yet.
	if n.hard.Term < n.log.lastTerm() {
		n.hard.Term, n.hard.Vote = n.log.lastTerm(), 0
	}
	n.resetDeadline(now)
	return n, nil
}

func (s Saved) check() error {
	if s.Hard.ID == 0 {
		return eris.New("raft: the saved state has no identity")
	}
	prev := s.Snapshot.Mark()
	for _, e := range s.Entries {
		if e.Index != prev.Index+1 || e.Term < prev.Term {
			return eris.Errorf("raft: saved entry %d of term %d follows entry %d of term %d",
				e.Index, e.Term, prev.Index, prev.Term)
		}
		prev = Mark{Index: e.Index, Term: e.Term}
	}
	return nil
}

// Step handles a message from another member. A message for another identity
// is ignored: the address may have belonged to a member that lost its disk.
func (n *Node) Step(m Message, now time.Time) Output {
	h := m.Head()
	if n.fault != nil || h.To != n.hard.ID || h.From == n.hard.ID {
		return Output{Fault: n.fault}
	}
	n.checkQuorum(now)
	if n.settleTerm(m, now) {
		n.dispatch(m, now)
	}
	return n.finish()
}

func (n *Node) dispatch(m Message, now time.Time) {
	switch m := m.(type) {
	case Vote:
		n.onVote(m, now)
	case VoteReply:
		n.onVoteReply(m, now)
	case Append:
		n.onAppend(m, now)
	case AppendReply:
		n.onAppendReply(m, now)
	case Heartbeat:
		n.onHeartbeat(m, now)
	case HeartbeatReply:
		n.onHeartbeatReply(m, now)
	case Install:
		n.onInstall(m, now)
	case InstallReply:
		n.onInstallReply(m, now)
	}
}

// settleTerm compares the term of m with the own term and reports whether m is
// to be handled further.
func (n *Node) settleTerm(m Message, now time.Time) bool {
	h := m.Head()
	switch {
	case h.Term > n.hard.Term:
		return n.onNewerTerm(m, now)
	case h.Term < n.hard.Term:
		n.onOlderTerm(m)
		return false
	}
	return true
}

func (n *Node) onNewerTerm(m Message, now time.Time) bool {
	h := m.Head()
	switch m := m.(type) {
	case Vote:
		if n.followsLeader(now) {
			return false
		}
		if m.Pre {
			return true
		}
	case VoteReply:
		if m.Pre && m.Granted {
			return true
		}
	case Append, Heartbeat, Install:
		n.becomeFollower(h.Term, h.From, now)
		return true
	}
	n.becomeFollower(h.Term, 0, now)
	return true
}

// onOlderTerm tells the sender about the newer term. Otherwise a member whose
// term is ahead would refuse its leader forever without the leader noticing.
func (n *Node) onOlderTerm(m Message) {
	switch m := m.(type) {
	case Vote:
		n.send(VoteReply{Header: n.head(m.From), Pre: m.Pre})
	case Append, Heartbeat, Install:
		n.send(HeartbeatReply{Header: n.head(m.Head().From)})
	}
}

// Tick handles the passing of time.
func (n *Node) Tick(now time.Time) Output {
	if n.fault != nil {
		return Output{Fault: n.fault}
	}
	n.checkQuorum(now)
	switch {
	case n.role == Leader:
		if !now.Before(n.lead.beat) {
			n.startRound(now)
		}
	case !now.Before(n.deadline):
		n.onElectionTimeout(now)
	}
	return n.finish()
}

// Next returns when Tick is next useful. It is earlier than now if it is
// overdue.
func (n *Node) Next(now time.Time) time.Time {
	switch {
	case n.fault != nil:
		return now.Add(n.cfg.electionMax)
	case n.role == Leader:
		return n.lead.beat
	}
	return n.deadline
}

func (n *Node) members() Members { return n.configs.latest().members }

func (n *Node) head(to ID) Header { return Header{From: n.hard.ID, To: to, Term: n.hard.Term} }

func (n *Node) send(m Message) { n.out.Messages = append(n.out.Messages, m) }

func (n *Node) setHard(term Term, vote ID) {
	n.hard.Term, n.hard.Vote = term, vote
	if vote != 0 && n.cfg.weak.unsyncedVote {
		return
	}
	hard := n.hard
	n.out.Persist.Hard = &hard
}

// appendEntries adds entries to the log and to what must be persisted.
func (n *Node) appendEntries(es ...Entry) {
	n.log.append(es...)
	n.out.Persist.Entries = append(n.out.Persist.Entries, es...)
	if err := n.adopt(es); err != nil {
		n.fault = err
	}
}

// adopt puts the membership changes among es into effect.
func (n *Node) adopt(es []Entry) error {
	for _, e := range es {
		if e.Kind != KindMembers {
			continue
		}
		ms, err := DecodeMembers(e.Data)
		if err != nil {
			return eris.Wrapf(err, "raft: membership entry %d", e.Index)
		}
		n.configs = append(n.configs, config{index: e.Index, members: ms})
	}
	return nil
}

func (n *Node) resetDeadline(now time.Time) {
	spread := n.cfg.electionMax - n.cfg.electionMin
	n.deadline = now.Add(n.cfg.electionMin + time.Duration(n.cfg.rnd.Int64N(int64(spread))))
}

// finish hands out what the input has led to.
func (n *Node) finish() Output {
	if n.log.applied < n.log.commit {
		n.out.Committed = n.log.between(n.log.applied, n.log.commit)
		n.log.applied = n.log.commit
	}
	out := n.out
	n.out = Output{}
	if n.fault != nil {
		return Output{Fault: n.fault}
	}
	out.Persist.Entries = slices.Clip(out.Persist.Entries)
	return out
}
