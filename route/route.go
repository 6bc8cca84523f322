// Package route chooses the member of a database group that serves a statement.
// The choice depends on the read bound, the replication lag, the zone, the load
// and the state of the circuit breakers.
package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"tamarackcross/errs"
	"tamarackcross/group"
)

// Member describes one member of a group as known to an entry.
type Member struct {
	Name         string
	Zone         string
	Primary      bool           // the member reports the role of a primary
	Applied      group.Position // reads at the member see at least this position
	AsOf         time.Time      // when Applied and Lag were observed
	Lag          time.Duration  // estimated replication lag, from commit at the primary to visibility; 0 if unknown
	ApplyRate    float64        // estimated offsets applied per second, 0 if unknown
	Load         float64        // number of running and waiting requests divided by the number of slots
	QueueWait    time.Duration  // expected wait in the queue
	Latency      time.Duration  // measured round trip time; 0 for the default of the zone
	BreakerOpen  bool           // the circuit breaker is open
	Leaving      bool           // the member is about to stop
	LeavingSince time.Time      // when Leaving was first observed
	Weight       float64        // share of the normal traffic, in (0, 1], of a member that has returned; 0 means 1
}

// Group describes one database group as known to an entry.
type Group struct {
	Term    uint64
	History group.History
	Primary string // name of the primary of Term, or empty
	Members []Member
	Samples *Samples
	Penalty time.Duration // cost added to a read at the primary, from Balance; 0 for the default
}

// Query describes the statement to route.
type Query struct {
	Write    bool
	Bound    group.Bound // nil is treated as LatestBound
	Zone     string      // zone of the entry
	Deadline time.Time   // zero if there is none
	Expected time.Duration
	Waited   time.Duration // total time spent on earlier Wait choices
	Exclude  []string      // members on which earlier attempts failed
	Priority int           // of the statement in the queues; 0 is the highest
}

// Choice is the result of Pick: Use, Wait or Reject.
type Choice interface{ choice() }

// Use sends the statement to the member Name. The snapshot that the member reads
// must cover the required position. If Confirm is set, a majority must confirm
// that the member is still the primary, in a round that starts after the read
// arrived.
type Use struct {
	Name     string
	Required group.Position
	Confirm  bool
}

// Wait holds the statement back until the member Name covers the required
// position, but not beyond Until. Then Pick is to be called again.
type Wait struct {
	Name     string
	Required group.Position
	Until    time.Time
}

// Reject rejects the statement before it runs.
type Reject struct {
	Reason     errs.Reason
	RetryAfter time.Duration
}

func (Use) choice()    {}
func (Wait) choice()   {}
func (Reject) choice() {}

// Covers reports whether a snapshot at the position have contains everything up to
// the required position. It returns false if either position is not part of the
// current log, because offsets of different logs cannot be compared.
func Covers(h group.History, have, required group.Position) bool {
	if h.StateOf(have) != group.Kept || h.StateOf(required) != group.Kept {
		return false
	}
	return have.Offset >= required.Offset
}

// Policy holds the parameters of the routing decision. It is immutable and safe
// for concurrent use.
type Policy struct {
	crossZoneLatency time.Duration
	crossZoneMargin  time.Duration
	primaryPenalty   time.Duration
	overflowMargin   time.Duration
	maxWait          time.Duration
	estimateSlack    time.Duration
	maxLagAge        time.Duration
	leaveGrace       time.Duration
	retryAfter       time.Duration
	covers           func(h group.History, have, required group.Position) bool
}

// Option configures a Policy.
type Option func(*Policy)

// WithCrossZoneLatency sets the round trip time assumed for a member in another
// zone without a measured latency.
func WithCrossZoneLatency(d time.Duration) Option { return func(p *Policy) { p.crossZoneLatency = d } }

// WithCrossZoneMargin sets by how much a member in another zone must be cheaper than
// one in the zone of the entry to be chosen.
func WithCrossZoneMargin(d time.Duration) Option { return func(p *Policy) { p.crossZoneMargin = d } }

// WithPrimaryPenalty sets the cost added to a read at the primary if Group.Penalty is 0.
// It keeps the slots of the primary free for writes.
func WithPrimaryPenalty(d time.Duration) Option { return func(p *Policy) { p.primaryPenalty = d } }

// WithOverflowMargin sets by how much the cost of the best replica must exceed that of
// the primary before the primary serves the read instead.
func WithOverflowMargin(d time.Duration) Option { return func(p *Policy) { p.overflowMargin = d } }

// WithMaxWait sets the maximum total wait for a replica to catch up.
func WithMaxWait(d time.Duration) Option { return func(p *Policy) { p.maxWait = d } }

// WithMaxLagAge sets the maximum age of lag information on which a wait is based.
func WithMaxLagAge(d time.Duration) Option { return func(p *Policy) { p.maxLagAge = d } }

// WithLeaveGrace sets how long a leaving primary still receives statements while
// its switchover is in progress.
func WithLeaveGrace(d time.Duration) Option { return func(p *Policy) { p.leaveGrace = d } }

// Defaults of a Policy.
const (
	// DefaultCrossZoneLatency is the round trip time between the zones of the
	// deployment "exchange", which the experiments of package meas emulate.
	DefaultCrossZoneLatency = time.Millisecond
	// DefaultCrossZoneMargin keeps reads in their zone while loads differ only
	// slightly.
	DefaultCrossZoneMargin = 2 * time.Millisecond
	// DefaultPrimaryPenalty applies to groups without a Balance.
	DefaultPrimaryPenalty = 200 * time.Millisecond
	// DefaultOverflowMargin lets the primary serve reads of overloaded replicas.
	// In the simulation of wait_test.go with 10 ms think time and 100 sessions,
	// replicas serve 0.88 of the reads with 20 ms and 0.97 with 50 ms. With 200
	// sessions, 50 ms gives 3329 reads/s, and never using the primary gives 2803.
	DefaultOverflowMargin = 50 * time.Millisecond
	// DefaultMaxWait is twice the largest lag at which the goal for the replica
	// share holds (500 ms), which leaves room for estimation errors.
	DefaultMaxWait = time.Second
	// DefaultMaxLagAge spans several calls of group_watch, the SQL function by which
	// an entry learns the positions of the members.
	DefaultMaxLagAge = time.Second
	// DefaultLeaveGrace ends before the 2 s after which a leaving member must not
	// receive new statements.
	DefaultLeaveGrace = 1500 * time.Millisecond

	// estimateSlack is added to the time at which a replica is expected to catch up.
	estimateSlack = 2 * time.Millisecond
	retryAfter    = 50 * time.Millisecond
)

// New returns a Policy with the given options.
func New(opts ...Option) *Policy {
	p := &Policy{
		crossZoneLatency: DefaultCrossZoneLatency,
		crossZoneMargin:  DefaultCrossZoneMargin,
		primaryPenalty:   DefaultPrimaryPenalty,
		overflowMargin:   DefaultOverflowMargin,
		maxWait:          DefaultMaxWait,
		estimateSlack:    estimateSlack,
		maxLagAge:        DefaultMaxLagAge,
		leaveGrace:       DefaultLeaveGrace,
		retryAfter:       retryAfter,
		covers:           Covers,
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Pick chooses the member that serves a statement.
func (p *Policy) Pick(q Query, g Group, now time.Time, rnd *rand.Rand) Choice {
	if !q.Deadline.IsZero() && !now.Before(q.Deadline) {
		return Reject{Reason: errs.ReasonDeadline}
	}
	s := search{Policy: p, q: q, g: g, now: now, rnd: rnd}
	if q.Write {
		return s.write()
	}
	if reject, rejected := s.resolve(); rejected {
		return reject
	}
	if choice := s.read(); choice != nil {
		return choice
	}
	s.allowOpen = true
	if choice := s.read(); choice != nil {
		return choice
	}
	return s.rejectRead()
}

// search is the state of one call of Pick.
type search struct {
	*Policy
	q           Query
	g           Group
	now         time.Time
	rnd         *rand.Rand
	required    group.Position
	primaryOnly bool // only the primary may serve the read
	confirm     bool
	allowOpen   bool // also members whose circuit breaker is open may serve the read
}

// resolve turns the read bound into a required position, or rejects the read.
func (s *search) resolve() (Reject, bool) {
	switch b := s.q.Bound.(type) {
	case group.SessionBound:
		return s.resolveSession(b.Position)
	case group.AgeBound:
		return s.resolveAge(b)
	default:
		s.primaryOnly = true
		s.confirm = true
		return Reject{}, false
	}
}

func (s *search) resolveSession(p group.Position) (Reject, bool) {
	s.required = p
	switch s.g.History.StateOf(p) {
	case group.Kept:
		return Reject{}, false
	case group.Discarded:
		return Reject{Reason: errs.ReasonBoundDiscarded}, true
	}
	r := Reject{Reason: errs.ReasonBoundUnknown}
	if p.Term > s.g.Term {
		r.RetryAfter = s.retryAfter
	}
	return r, true
}

// resolveAge raises the required position to that of the primary at the age limit.
// Without a sample of the current term that covers it, only a confirmed primary
// may serve the read.
func (s *search) resolveAge(b group.AgeBound) (Reject, bool) {
	if r, rejected := s.resolveSession(b.Position); rejected {
		return r, true
	}
	sampled, ok := s.g.Samples.At(s.now.Add(-b.MaxAge), s.g.Term)
	if !ok || s.g.History.StateOf(sampled) != group.Kept {
		s.primaryOnly = true
		s.confirm = true
		return Reject{}, false
	}
	if sampled.Offset > s.required.Offset {
		s.required = sampled
	}
	return Reject{}, false
}

func (s *search) write() Choice {
	m := s.primary()
	if m == nil || s.pastLeaveGrace(m) {
		return Reject{Reason: errs.ReasonNoPrimary, RetryAfter: s.retryAfter}
	}
	if s.excluded(m) {
		return Reject{Reason: errs.ReasonNoMember, RetryAfter: s.retryAfter}
	}
	return Use{Name: m.Name}
}

func (s *search) rejectRead() Choice {
	reason := errs.ReasonNoMember
	if m := s.primary(); s.primaryOnly && (m == nil || s.pastLeaveGrace(m)) {
		reason = errs.ReasonNoPrimary
	}
	return Reject{Reason: reason, RetryAfter: s.retryAfter}
}

// primary returns the primary of the current term.
func (s *search) primary() *Member {
	if s.g.Primary == "" {
		return nil
	}
	for i := range s.g.Members {
		if s.g.Members[i].Name == s.g.Primary {
			return &s.g.Members[i]
		}
	}
	return nil
}

// pastLeaveGrace reports whether m is leaving and must not receive any more
// statements.
func (s *search) pastLeaveGrace(m *Member) bool {
	return m.Leaving && s.now.Sub(m.LeavingSince) > s.leaveGrace
}

func (s *search) excluded(m *Member) bool { return slices.Contains(s.q.Exclude, m.Name) }
