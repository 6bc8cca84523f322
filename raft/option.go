package raft

import (
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
)

// Defaults of the settings.
const (
	DefaultHeartbeat      = 60 * time.Millisecond
	DefaultElectionMin    = 300 * time.Millisecond
	DefaultElectionMax    = 600 * time.Millisecond
	DefaultBatchEntries   = 256
	DefaultBatchBytes     = 256 << 10 // bytes of entry data or snapshot data per message
	DefaultInflight       = 8         // appends per member without a reply
	DefaultEntryBytes     = 1 << 20   // bytes of one proposal
	DefaultUncommitted    = 16 << 20  // bytes of entry data not yet committed
	DefaultPendingReads   = 4096
	DefaultTrail          = 1024 // entries kept after a snapshot for members slightly behind
	entryOverhead         = 24   // bytes counted for an entry in addition to its data
	heartbeatsPerElection = 2    // fewest heartbeats within an election timeout
)

type settings struct {
	heartbeat    time.Duration
	electionMin  time.Duration
	electionMax  time.Duration
	batchEntries int
	batchBytes   int
	inflight     int
	entryBytes   int
	uncommitted  int
	pendingReads int
	trail        int
	rnd          *rand.Rand
	weak         weakness
}

// weakness switches off single rules, so that tests can show that their
// checker notices. It is set by tests only.
type weakness struct {
	unsyncedVote  bool // the vote is answered without being persisted
	oldTermCommit bool // entries of earlier terms are committed by counting
	unroundedRead bool // reads are answered without a heartbeat round
	manyChanges   bool // a membership change does not wait for the one before
}

// Option configures a Node.
type Option func(*settings)

// WithHeartbeat sets the interval between heartbeats.
func WithHeartbeat(d time.Duration) Option { return func(s *settings) { s.heartbeat = d } }

// WithElection sets the range from which election timeouts are drawn.
func WithElection(shortest, longest time.Duration) Option {
	return func(s *settings) { s.electionMin, s.electionMax = shortest, longest }
}

// WithBatch bounds the entries and the bytes of data of one message. An entry
// that is larger by itself is sent alone.
func WithBatch(entries, bytes int) Option {
	return func(s *settings) { s.batchEntries, s.batchBytes = entries, bytes }
}

// WithInflight bounds the appends per member that wait for a reply.
func WithInflight(n int) Option { return func(s *settings) { s.inflight = n } }

// WithLimits bounds the bytes of one proposal and of all uncommitted entries.
func WithLimits(entry, uncommitted int) Option {
	return func(s *settings) { s.entryBytes, s.uncommitted = entry, uncommitted }
}

// WithPendingReads bounds the reads that wait for a heartbeat round.
func WithPendingReads(n int) Option { return func(s *settings) { s.pendingReads = n } }

// WithTrail sets how many entries are kept in memory behind a snapshot.
func WithTrail(entries int) Option { return func(s *settings) { s.trail = entries } }

// WithRand sets the source of randomness for election timeouts. Without it the
// source is seeded with the identity of the member.
func WithRand(rnd *rand.Rand) Option { return func(s *settings) { s.rnd = rnd } }

func defaults(hard HardState) settings {
	return settings{
		heartbeat:    DefaultHeartbeat,
		electionMin:  DefaultElectionMin,
		electionMax:  DefaultElectionMax,
		batchEntries: DefaultBatchEntries,
		batchBytes:   DefaultBatchBytes,
		inflight:     DefaultInflight,
		entryBytes:   DefaultEntryBytes,
		uncommitted:  DefaultUncommitted,
		pendingReads: DefaultPendingReads,
		trail:        DefaultTrail,
		rnd:          rand.New(rand.NewPCG(uint64(hard.ID), uint64(hard.Term))),
	}
}

func (s settings) check() error {
	if s.heartbeat <= 0 || s.electionMin < heartbeatsPerElection*s.heartbeat {
		return eris.Errorf("raft: heartbeat %v with election timeout %v: at least %d heartbeats must fit",
			s.heartbeat, s.electionMin, heartbeatsPerElection)
	}
	if s.electionMax <= s.electionMin {
		return eris.Errorf("raft: election timeout from %v to %v is not a range", s.electionMin, s.electionMax)
	}
	for _, n := range []int{s.batchEntries, s.batchBytes, s.inflight, s.entryBytes, s.uncommitted, s.pendingReads} {
		if n <= 0 {
			return eris.Errorf("raft: a limit is %d, at least 1 is allowed", n)
		}
	}
	if s.trail < 0 || s.rnd == nil {
		return eris.New("raft: the trail is negative or the source of randomness is missing")
	}
	return nil
}
