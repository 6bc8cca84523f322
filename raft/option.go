package raft

import (
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
)

// Defaults of the options.
const (
	DefaultHeartbeatInterval        = 60 * time.Millisecond
	DefaultElectionTimeoutMin       = 300 * time.Millisecond
	DefaultElectionTimeoutMax       = 600 * time.Millisecond
	DefaultMaxBatchEntries          = 256
	DefaultMaxBatchBytes            = 256 << 10 // of entry data or snapshot data per message
	DefaultMaxInflightAppends       = 8         // unacknowledged appends per member
	DefaultMaxProposalBytes         = 1 << 20
	DefaultMaxUncommittedBytes      = 16 << 20 // of entries that are not committed
	DefaultMaxPendingReads          = 4096
	DefaultTrailingEntries          = 1024    // kept in memory behind a snapshot, so that members slightly behind need no snapshot
	DefaultTrailingBytes            = 4 << 20 // of the entries kept in memory behind a snapshot
	entryOverheadBytes              = 24      // counted for each entry in addition to its data
	minHeartbeatsPerElectionTimeout = 2       // heartbeat intervals that must fit into an election timeout
)

type settings struct {
	heartbeat           time.Duration
	electionTimeoutMin  time.Duration
	electionTimeoutMax  time.Duration
	maxBatchEntries     int
	maxBatchBytes       int
	maxInflightAppends  int
	maxProposalBytes    int
	maxUncommittedBytes int
	maxPendingReads     int
	trailingEntries     int
	trailingBytes       int
	rnd                 *rand.Rand
	unsafe              unsafeModes
}

// unsafeModes disables single rules of the protocol, so that tests can prove that
// their checker detects the violation. Only tests set it.
type unsafeModes struct {
	unsyncedVote      bool // votes are granted without being persisted
	oldTermCommit     bool // entries of earlier terms are committed by counting replicas
	unroundedRead     bool // reads are confirmed without a heartbeat round
	concurrentChanges bool // a membership change does not wait until the previous one is committed
}

// Option configures a Node.
type Option func(*settings)

// WithHeartbeatInterval sets the interval between heartbeats.
func WithHeartbeatInterval(d time.Duration) Option { return func(s *settings) { s.heartbeat = d } }

// WithElectionTimeout sets the range from which election timeouts are drawn at
// random.
func WithElectionTimeout(shortest, longest time.Duration) Option {
	return func(s *settings) { s.electionTimeoutMin, s.electionTimeoutMax = shortest, longest }
}

// WithMaxBatch limits the number of entries and the bytes of data in one message.
// An entry that exceeds the limit by itself is sent alone.
func WithMaxBatch(entries, bytes int) Option {
	return func(s *settings) { s.maxBatchEntries, s.maxBatchBytes = entries, bytes }
}

// WithMaxInflightAppends limits the unacknowledged appends per member.
func WithMaxInflightAppends(n int) Option { return func(s *settings) { s.maxInflightAppends = n } }

// WithProposalLimits limits the bytes of one proposal and of all uncommitted
// entries together.
func WithProposalLimits(proposal, uncommitted int) Option {
	return func(s *settings) { s.maxProposalBytes, s.maxUncommittedBytes = proposal, uncommitted }
}

// WithMaxPendingReads limits the reads that wait for a heartbeat round.
func WithMaxPendingReads(n int) Option { return func(s *settings) { s.maxPendingReads = n } }

// WithTrailingEntries sets how many entries that a snapshot covers stay in memory
// for members slightly behind.
func WithTrailingEntries(n int) Option { return func(s *settings) { s.trailingEntries = n } }

// WithTrailingBytes limits the bytes of these entries.
func WithTrailingBytes(n int) Option { return func(s *settings) { s.trailingBytes = n } }

// WithRand sets the random source of the election timeouts. By default it is
// seeded with the member's ID and term.
func WithRand(rnd *rand.Rand) Option { return func(s *settings) { s.rnd = rnd } }

func defaults(hard HardState) settings {
	return settings{
		heartbeat:           DefaultHeartbeatInterval,
		electionTimeoutMin:  DefaultElectionTimeoutMin,
		electionTimeoutMax:  DefaultElectionTimeoutMax,
		maxBatchEntries:     DefaultMaxBatchEntries,
		maxBatchBytes:       DefaultMaxBatchBytes,
		maxInflightAppends:  DefaultMaxInflightAppends,
		maxProposalBytes:    DefaultMaxProposalBytes,
		maxUncommittedBytes: DefaultMaxUncommittedBytes,
		maxPendingReads:     DefaultMaxPendingReads,
		trailingEntries:     DefaultTrailingEntries,
		trailingBytes:       DefaultTrailingBytes,
		rnd:                 rand.New(rand.NewPCG(uint64(hard.ID), uint64(hard.Term))),
	}
}

func (s settings) check() error {
	if s.heartbeat <= 0 || s.electionTimeoutMin < minHeartbeatsPerElectionTimeout*s.heartbeat {
		return eris.Errorf("raft: heartbeat interval %v is too long for the shortest election timeout %v: at least %d heartbeats must fit",
			s.heartbeat, s.electionTimeoutMin, minHeartbeatsPerElectionTimeout)
	}
	if s.electionTimeoutMax <= s.electionTimeoutMin {
		return eris.Errorf("raft: the range of election timeouts from %v to %v is empty", s.electionTimeoutMin, s.electionTimeoutMax)
	}
	for _, n := range []int{s.maxBatchEntries, s.maxBatchBytes, s.maxInflightAppends, s.maxProposalBytes, s.maxUncommittedBytes, s.maxPendingReads} {
		if n <= 0 {
			return eris.Errorf("raft: a limit is set to %d, it must be at least 1", n)
		}
	}
	if s.trailingEntries < 0 || s.trailingBytes < 0 || s.rnd == nil {
		return eris.New("raft: the number or the bytes of trailing entries are negative, or the random source is missing")
	}
	return nil
}
