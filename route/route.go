// Package route chooses the member of a database group that serves a statement:
// by the bound of the read, the replication lag, zone, load and breaker state.
package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"tamarackcross/errs"
	"tamarackcross/group"
)

// Member is what an entry knows about one member of a group.
type Member struct {
	Name    string
	Zone    string
	Primary bool           // the member reports the role of a primary
	Applied group.Position // lower bound of the position visible to reads
	AsOf    time.Time      // when Applied and Lag were learnt
	Lag     time.Duration  // estimated time from commit at the primary to visibility here, 0 if unknown
	Rate    float64        // estimated offsets applied per second, 0 if unknown
	Load    float64        // running and queued work relative to the slots
	Wait    time.Duration  // expected time in the queue
	Latency time.Duration  // measured round trip, 0 for the default of the zone
	Open    bool           // the circuit breaker is open
	Leaving bool           // the member is about to stop
	LeaveAt time.Time      // when Leaving was first seen
	Weight  float64        // share of its normal traffic in (0, 1] while returning; 0 means 1
}

// Group is the view of one database group.
type Group struct {
	Term    uint64
	History group.History
	Primary string // name of the primary of Term, or empty
	Members []Member
	Samples *Samples
	Penalty time.Duration // cost of a read at the primary, from Balance; 0 for the default
}

// Query describes one statement.
type Query struct {
	Write    bool
	Bound    group.Bound // nil is treated as LatestBound
	Zone     string      // zone of the entry
	Deadline time.Time   // zero if there is none
	Expected time.Duration
	Waited   time.Duration // how long earlier Wait choices have taken
	Exclude  []string      // members already tried
	Priority int           // of the statement in the queues, 0 is the highest
}

// Choice is the decision of Pick: Use, Wait or Reject.
type Choice interface{ choice() }

// Use sends the statement to the member Name. The snapshot of the response must
// cover Need. With Confirm set, the primary must be confirmed by a majority
// round that starts after the read arrived.
type Use struct {
	Name    string
	Need    group.Position
	Confirm bool
}

// Wait keeps the statement until the member Name covers Need, at most until
// Until, and asks again.
type Wait struct {
	Name  string
	Need  group.Position
	Until time.Time
}

// Reject refuses the statement.
type Reject struct {
	Reason     errs.Reason
	RetryAfter time.Duration
}

func (Use) choice()    {}
func (Wait) choice()   {}
func (Reject) choice() {}

// Covers reports whether a snapshot at have contains everything up to need.
// Both must be part of the same log: positions that the history does not keep
// are never compared.
func Covers(h group.History, have, need group.Position) bool {
	if h.Contains(have) != group.Kept || h.Contains(need) != group.Kept {
		return false
	}
	return have.Offset >= need.Offset
}

// Policy holds the costs by which members are compared. It is immutable and
// safe for concurrent use.
type Policy struct {
	farLatency time.Duration
	farMargin  time.Duration
	penalty    time.Duration
	overflow   time.Duration
	maxWait    time.Duration
	slack      time.Duration
	fresh      time.Duration
	leaveGrace time.Duration
	retryAfter time.Duration
	covers     func(h group.History, have, need group.Position) bool
}

// Option changes a Policy.
type Option func(*Policy)

// WithFarLatency sets the round trip to a member in another zone that has no
// measured latency.
func WithFarLatency(d time.Duration) Option { return func(p *Policy) { p.farLatency = d } }

// WithFarMargin sets how much cheaper a member in another zone must be.
func WithFarMargin(d time.Duration) Option { return func(p *Policy) { p.farMargin = d } }

// WithPenalty sets the cost added to a read at the primary, which protects its
// slots for writes, when the group carries none.
func WithPenalty(d time.Duration) Option { return func(p *Policy) { p.penalty = d } }

// WithOverflow sets how much longer the queue of a replica must be than that of
// the primary before the primary takes the read.
func WithOverflow(d time.Duration) Option { return func(p *Policy) { p.overflow = d } }

// WithMaxWait bounds the total wait for a replica.
func WithMaxWait(d time.Duration) Option { return func(p *Policy) { p.maxWait = d } }

// WithFresh sets how old lag information may be to base a wait on it.
func WithFresh(d time.Duration) Option { return func(p *Policy) { p.fresh = d } }

// WithLeaveGrace sets how long a leaving primary still receives writes while
// its switchover is under way.
func WithLeaveGrace(d time.Duration) Option { return func(p *Policy) { p.leaveGrace = d } }

// Defaults of a Policy.
const (
	// DefaultFarLatency is the round trip between the zones of the exchange site.
	DefaultFarLatency = time.Millisecond
	// DefaultFarMargin keeps small differences in load from moving reads
	// between zones.
	DefaultFarMargin = 2 * time.Millisecond
	// DefaultPenalty is used without a Balance.
	DefaultPenalty = 200 * time.Millisecond
	// DefaultOverflow lets the primary help overloaded replicas. In the
	// experiment of wait_test.go with 10 ms think time, 20 ms lowers the replica
	// share to 0.88 at 100 sessions, where 50 ms keeps 0.97; without overflow 200
	// sessions get 2803 instead of 3329 reads/s.
	DefaultOverflow = 50 * time.Millisecond
	// DefaultMaxWait covers the largest lag of the replica share goal (500 ms)
	// with room for errors of the estimate.
	DefaultMaxWait = time.Second
	// DefaultFresh is several periods of group_watch.
	DefaultFresh = time.Second
	// DefaultLeaveGrace leaves room within the 2 s after which a leaving member
	// receives nothing new.
	DefaultLeaveGrace = 1500 * time.Millisecond

	estimateSlack = 2 * time.Millisecond
	retryAfter    = 50 * time.Millisecond
)

// New returns a Policy.
func New(opts ...Option) *Policy {
	p := &Policy{
		farLatency: DefaultFarLatency,
		farMargin:  DefaultFarMargin,
		penalty:    DefaultPenalty,
		overflow:   DefaultOverflow,
		maxWait:    DefaultMaxWait,
		slack:      estimateSlack,
		fresh:      DefaultFresh,
		leaveGrace: DefaultLeaveGrace,
		retryAfter: retryAfter,
		covers:     Covers,
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
	if reject, bad := s.resolve(); bad {
		return reject
	}
	if choice := s.read(); choice != nil {
		return choice
	}
	s.allowOpen = true
	if choice := s.read(); choice != nil {
		return choice
	}
	return s.none()
}

// search is the state of one Pick.
type search struct {
	*Policy
	q         Query
	g         Group
	now       time.Time
	rnd       *rand.Rand
	need      group.Position
	only      bool // only the primary may serve
	confirm   bool
	allowOpen bool
}

// resolve turns the bound into a position, or refuses it.
func (s *search) resolve() (Reject, bool) {
	switch b := s.q.Bound.(type) {
	case group.SessionBound:
		return s.session(b.Position)
	case group.AgeBound:
		return s.age(b)
	default:
		s.only = true
		s.confirm = true
		return Reject{}, false
	}
}

func (s *search) session(p group.Position) (Reject, bool) {
	s.need = p
	switch s.g.History.Contains(p) {
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

// age adds the position of the primary at the age limit. Without a sample of
// the current term that covers it, only a confirmed primary is new enough.
func (s *search) age(b group.AgeBound) (Reject, bool) {
	if r, bad := s.session(b.Position); bad {
		return r, true
	}
	at, ok := s.g.Samples.At(s.now.Add(-b.Max), s.g.Term)
	if !ok || s.g.History.Contains(at) != group.Kept {
		s.only = true
		s.confirm = true
		return Reject{}, false
	}
	if at.Offset > s.need.Offset {
		s.need = at
	}
	return Reject{}, false
}

func (s *search) write() Choice {
	m := s.primary()
	if m == nil || s.left(m) {
		return Reject{Reason: errs.ReasonNoPrimary, RetryAfter: s.retryAfter}
	}
	if s.excluded(m) {
		return Reject{Reason: errs.ReasonNoMember, RetryAfter: s.retryAfter}
	}
	return Use{Name: m.Name}
}

func (s *search) none() Choice {
	reason := errs.ReasonNoMember
	if m := s.primary(); s.only && (m == nil || s.left(m)) {
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

// left reports whether a leaving primary must not receive anything any more.
func (s *search) left(m *Member) bool {
	return m.Leaving && s.now.Sub(m.LeaveAt) > s.leaveGrace
}

func (s *search) excluded(m *Member) bool { return slices.Contains(s.q.Exclude, m.Name) }
