package proxy

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"tamarackcross/config"
	"tamarackcross/event"
	"tamarackcross/group"
	"tamarackcross/retry"
	"tamarackcross/roster"
	"tamarackcross/route"
)

const (
	// overflowWait is how much longer the queue of a replica may be before the
	// primary takes a read: about one statement of the users' workloads.
	overflowWait = 20 * time.Millisecond
	// farMargin is how much shorter the queue of a member in another zone must be: the
	// users pay for bytes between zones.
	farMargin = 15 * time.Millisecond
	// primaryPenalty is the cost of a read at the primary, whose slots writes need.
	primaryPenalty = 20 * time.Millisecond
	// leaveGrace is how long a primary that is leaving still receives work while
	// its successor is chosen. It ends before the 7 s that the users allow.
	leaveGrace = 5 * time.Second
	// reservedConns of each backend server are left to control.
	reservedConns = 2
	// probeConns is what an instance takes of each backend server for its probes.
	probeConns = 1
	// minConns lets an instance go on beside a transaction that rests.
	minConns = 2
	// scarceConns is the share where there are not enough connections for all:
	// each is opened when it is needed.
	scarceConns = 1
)

// service is what an instance knows about one group of backend servers.
type service struct {
	srv    *Server
	name   string
	ctx    context.Context
	log    *event.Log
	policy *route.Policy

	mu       sync.Mutex
	members  map[string]*member
	samples  route.Samples
	sampled  []timedPosition // the same samples with their times
	waiting  map[*proofWaiter]struct{}
	shared   bool     // control probes for this instance
	holders  []string // instances of the zone that hold the connections, if not all do
	holds    bool
	adopted  time.Time     // last request that another instance passed on
	tightest time.Duration // least bound on the age of reads, or 0 if there is none
	relayed  time.Time     // last proof of a primary at a holder
	asked    time.Time     // last such request
	asker    *asker
	usual    map[string]*usual // by database
	breakers *retry.Group
	rnd      *rand.Rand
	primary  string // the member that last proved to be the primary
	maxTerm  uint64
	history  group.History
}

// timedPosition is a position that covers all commits acknowledged before at.
type timedPosition struct {
	at       time.Time
	position group.Position
}

func newService(ctx context.Context, s *Server, name string) *service {
	v := &service{
		srv: s, name: name, ctx: ctx, log: s.log.With(func(c zerolog.Context) zerolog.Context { return c.Str(event.Service, name) }),
		policy: route.New(
			route.WithOverflow(overflowWait), route.WithPenalty(primaryPenalty), route.WithLeaveGrace(leaveGrace),
			route.WithFarMargin(farMargin),
		),
		members:  make(map[string]*member),
		waiting:  make(map[*proofWaiter]struct{}),
		usual:    make(map[string]*usual),
		breakers: retry.NewGroup(s.seed),
		rnd:      rand.New(rand.NewPCG(s.seed, uint64(len(name)))),
	}
	v.raiseTerm(1)
	v.asker = newAsker(v)
	go func() { v.asker.done <- v.asker.run(v.ctx) }()
	return v
}

// setTightest records the least bound on the age of reads.
func (v *service) setTightest(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.tightest = d
}

// shares says how many connections of a backend server this instance may hold.
type shares struct {
	far, near int  // near: of one in the own zone
	keep      bool // connections that are idle are kept
}

// refresh takes in the members as the roster lists them.
func (v *service) refresh(entries []roster.Entry, s shares, now time.Time) {
	for _, m := range v.relist(entries, s, now) {
		m.close()
	}
}

// setShared tells whether control probes for this instance.
func (v *service) setShared(shared bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.shared == shared {
		return
	}
	v.log.Info().Bool("shared", shared).Msg("way of proving primaries changed")
	v.shared = shared
	for _, m := range v.members {
		m.forgetFailing()
		m.prober.kick()
	}
	v.asker.kick()
}

// relist updates the members and returns those that are no longer used.
func (v *service) relist(entries []roster.Entry, s shares, now time.Time) (closing []*member) {
	v.mu.Lock()
	defer v.mu.Unlock()
	listed, changed := make(map[string]bool, len(entries)), len(entries) != len(v.members)
	for _, e := range entries {
		listed[e.ID] = true
		m := v.members[e.ID]
		if m != nil && m.start == e.Start() && m.target.Addr == e.Addr {
			m.update(e, now)
		} else {
			if m != nil {
				closing = append(closing, m)
			}
			changed = true
			m = v.newProbedMember(e, s.far)
			v.members[e.ID] = m
			m.prober.start()
		}
		if e.Zone == v.srv.zone && s.near > 0 {
			m.allot(s.near, true)
		} else {
			m.allot(s.far, s.keep)
		}
	}
	for id, m := range v.members {
		if !listed[id] {
			closing = append(closing, m)
			delete(v.members, id)
		}
	}
	names := make([]string, 0, len(v.members))
	for id := range v.members {
		names = append(names, id)
	}
	slices.Sort(names)
	v.breakers.SetMembers(names)
	if changed || len(v.waiting) > 0 {
		v.kickLocked()
	}
	return closing
}

// shareOf returns how many connections of a backend server this instance may
// hold while n instances share them.
func shareOf(cfg config.Service, n int) int {
	if cfg.MaxConns <= 0 {
		return 4
	}
	if scarce(cfg, n) {
		return scarceConns
	}
	return max(minConns, (cfg.MaxConns-reservedConns)/max(1, n)-probeConns)
}

// maxTermStep bounds the history against a position that makes no sense.
const maxTermStep = 4096

// raiseTerm extends the history by terms that positions named. The log of the
// backend servers continues its numbers from term to term, and a position that
// was rolled back is refused by the server that lacks it.
func (v *service) raiseTerm(term uint64) {
	if term <= v.maxTerm || term > v.maxTerm+maxTermStep {
		return
	}
	starts := v.history.Starts()
	for t := v.maxTerm; t <= term; t++ {
		if n := len(starts); n == 0 || starts[n-1].Term < t {
			starts = append(starts, group.Start{Term: t, Offset: math.MaxUint64})
		}
	}
	h, err := group.NewHistory(starts...)
	if err != nil {
		v.log.Error().Err(err).Uint64("term", term).Msg("history of terms cannot be extended")
		return
	}
	v.history, v.maxTerm = h, term
}

const (
	// maxSampled is how many samples are kept.
	maxSampled = 512
	// sampleGap is between samples: with proofs for every read at the worst load
	// the samples still cover the lag of the slowest replicas seen (25 s).
	sampleGap = 50 * time.Millisecond
)

// sample keeps a position of the primary, with the history at hand.
func (v *service) sample(p timedPosition) {
	if n := len(v.sampled); n > 0 && p.at.Sub(v.sampled[n-1].at) < sampleGap {
		return
	}
	v.samples.Add(p.at, p.position)
	v.sampled = append(v.sampled, p)
	if len(v.sampled) > maxSampled {
		v.sampled = slices.Delete(v.sampled, 0, maxSampled/2)
	}
}

// evidence says whether a primary proved its role of late.
type evidence uint8

const (
	proofUnknown evidence = iota // nobody asked
	proofMissing
	proofSeen
)

// provedWithin reports whether a primary proved its role within d.
func (v *service) provedWithin(d time.Duration, now time.Time) evidence {
	v.mu.Lock()
	defer v.mu.Unlock()
	passedOn := len(v.holders) > 0 && !v.holds
	if n := len(v.sampled); n > 0 && now.Sub(v.sampled[n-1].at) <= d || passedOn && now.Sub(v.relayed) <= d {
		return proofSeen
	}
	if passedOn && now.Sub(v.asked) > d {
		return proofUnknown
	}
	return proofMissing
}

// passedOn records that a request was passed on.
func (v *service) passedOn() {
	now := v.srv.now()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.asked = now
}

// answered takes in what a holder knows of the primary.
func (v *service) answered(unproved time.Duration) {
	at := v.srv.now().Add(-unproved)
	v.mu.Lock()
	defer v.mu.Unlock()
	if unproved >= 0 && at.After(v.relayed) {
		v.relayed = at
	}
}

// unproved returns the time since a primary proved its role here, or -1.
func (v *service) unproved(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if n := len(v.sampled); n > 0 {
		return max(0, now.Sub(v.sampled[n-1].at))
	}
	return -1
}

// primaryMember returns the member that last proved to be the primary, or nil.
func (v *service) primaryMember() *member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.members[v.primary]
}

func (v *service) primaryID() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.primary
}

func (v *service) member(id string) *member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.members[id]
}

// need is what the log must hold for a read: a position, and a time at which the
// primary held it.
type need struct {
	timedPosition
	known bool
}

// needFor returns the oldest position that covers all commits acknowledged
// before since, raised to the newest commit of the session.
func (v *service) needFor(since time.Time, own timedPosition) need {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, s := range v.sampled {
		if s.at.Before(since) {
			continue
		}
		if s.position.Less(own.position) {
			return need{timedPosition: own, known: true}
		}
		return need{timedPosition: s, known: true}
	}
	return need{}
}

// pick chooses the member for a read that needs n. Members whose estimated lag
// is below the age of n are expected to hold it.
func (v *service) pick(q route.Query, n need, now time.Time) route.Choice {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.raiseTerm(n.position.Term)
	g := route.Group{Term: v.maxTerm, History: v.history, Primary: v.primary, Samples: &v.samples}
	for _, m := range v.members {
		g.Members = append(g.Members, v.describe(m, n, q.Priority, now))
	}
	slices.SortFunc(g.Members, func(a, b route.Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	if n.known {
		q.Bound = group.SessionBound{Position: n.position}
	} else {
		q.Bound = group.LatestBound{}
	}
	return v.nearer(v.policy.Pick(q, g, now, v.rnd), q, n, now)
}

// nearer prefers a primary in the own zone that has no queue to a replica in
// another zone: traffic between zones costs more than its slots, and each member
// then serves the reads of its own zone.
func (v *service) nearer(c route.Choice, q route.Query, n need, now time.Time) route.Choice {
	use, ok := c.(route.Use)
	m := v.members[v.primary]
	if !ok || use.Confirm || !n.known || m == nil || slices.Contains(q.Exclude, v.primary) {
		return c
	}
	if chosen := v.members[use.Name]; chosen == nil || chosen.snapshot().Zone == q.Zone {
		return c
	}
	if e := m.snapshot(); e.Zone != q.Zone || e.State != roster.Ready || m.failingFor(now) > 0 || m.queued() {
		return c
	}
	return route.Use{Name: v.primary, Need: use.Need}
}

// describe renders a member for the routing decision.
func (v *service) describe(m *member, n need, priority int, now time.Time) route.Member {
	e := m.snapshot()
	inUse := m.lane.load()
	lag := m.estimatedLag()
	out := route.Member{
		Name: e.ID, Zone: e.Zone, Primary: e.Primary && e.ID != v.primary,
		Lag: lag, AsOf: now, Load: float64(inUse) / float64(max(1, e.Slots)), Wait: m.wait(priority),
		Open:    !v.breakers.Usable(e.ID, now) || m.failingFor(now) > 0,
		Leaving: e.State == roster.Draining, Weight: v.breakers.Weight(e.ID, now),
	}
	if out.Leaving {
		m.mu.Lock()
		out.LeaveAt = m.drainedAt
		m.mu.Unlock()
	}
	if n.known && now.Sub(n.at) >= lag {
		out.Applied = n.position
	}
	return out
}

// delayOf returns how much longer than usual a statement took at a member.
func (v *service) delayOf(database string, m *member, took time.Duration) time.Duration {
	crowded := m.crowdedNow()
	v.mu.Lock()
	defer v.mu.Unlock()
	u := v.usual[database]
	if u == nil {
		u = new(usual)
		v.usual[database] = u
	}
	return u.took(m.target.ID, took, crowded)
}

// expected returns how long a statement of a route usually takes without a queue, or
// 0 if that is not known.
func (v *service) expected(database string) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if u := v.usual[database]; u != nil {
		return u.least()
	}
	return 0
}

func (v *service) close() {
	for _, m := range v.relist(nil, shares{}, v.srv.now()) {
		m.close()
	}
	<-v.asker.done
}
