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
	// primaryOverflowMargin is how much longer the queue of the replicas must be than
	// that of the primary before the primary takes a read: about the duration of one
	// statement.
	primaryOverflowMargin = 20 * time.Millisecond
	// crossZoneMargin is how much shorter the queue of a member in another zone must be
	// before it gets a read: traffic between zones is paid by the byte.
	crossZoneMargin = 15 * time.Millisecond
	// primaryReadPenalty is added to the cost of a read at the primary, whose statement
	// slots are needed for writes.
	primaryReadPenalty = 20 * time.Millisecond
	// drainingPrimaryGrace is how long a primary that is draining still receives
	// requests while its successor is chosen. It is shorter than the 7 s that the users
	// allow for it.
	drainingPrimaryGrace = 5 * time.Second
	// reservedControlConns is the number of connections to each backend server that are
	// left to the control instances.
	reservedControlConns = 2
	// probeConns is the number of connections to each backend server that an instance
	// uses for its health probes.
	probeConns = 1
	// minConnShare lets an instance go on serving while an idle transaction holds one
	// connection.
	minConnShare = 2
	// scarceConnShare is the share of an instance where there are too few connections
	// for all instances. Each connection is opened when it is needed.
	scarceConnShare = 1
)

// service holds what an instance knows about one database group: its members, the
// evidence of which one is the primary, and who holds the connections to them.
type service struct {
	srv    *Server
	name   string
	ctx    context.Context
	log    *event.Log
	policy *route.Policy

	mu                  sync.Mutex
	members             map[string]*member
	closed              []*member // their probers may still run
	samples             route.Samples
	timedSamples        []timedPosition // positions of the primary with their times, oldest first
	proofWaiters        map[*proofWaiter]struct{}
	controlProbes       bool            // the control instances probe the members for this instance
	holders             []string        // instances of the zone that hold the connections, empty if all do
	isHolder            bool            // this instance is a holder, or acts as one for temporaryHolderPeriod
	lastForwardReceived time.Time       // last request that another instance forwarded here
	tightestMaxAge      time.Duration   // least MaxAge of the routes, or 0 if none has one
	lastHolderProof     time.Time       // newest proof of primary known to a holder
	lastForwardSent     time.Time       // last request forwarded to a holder
	lastDirectUse       time.Time       // last request that needed the primary and was not forwarded
	customerHolders     customerHolders // which holder keeps the connections of a customer
	use                 *customerUse    // of connections, by customers
	fetcher             *proofFetcher
	baselines           map[string]*durationBaseline // by database
	breakers            *retry.Group
	rnd                 *rand.Rand
	primary             string // ID of the member that last proved to be the primary
	maxTerm             uint64
	history             group.History
}

// timedPosition is a log position that covers all commits acknowledged before at.
type timedPosition struct {
	at       time.Time
	position group.Position
}

func newService(ctx context.Context, s *Server, name string) *service {
	v := &service{
		srv: s, name: name, ctx: ctx, log: s.log.With(func(c zerolog.Context) zerolog.Context { return c.Str(event.Service, name) }),
		policy: route.New(
			route.WithOverflowMargin(primaryOverflowMargin), route.WithPrimaryPenalty(primaryReadPenalty), route.WithLeaveGrace(drainingPrimaryGrace),
			route.WithCrossZoneMargin(crossZoneMargin),
		),
		members:      make(map[string]*member),
		proofWaiters: make(map[*proofWaiter]struct{}),
		baselines:    make(map[string]*durationBaseline),
		breakers:     retry.NewGroup(s.seed),
		rnd:          rand.New(rand.NewPCG(s.seed, uint64(len(name)))),
	}
	v.use = newCustomerUse(s.stats)
	v.extendHistory(1)
	v.fetcher = newProofFetcher(v)
	go func() { v.fetcher.done <- v.fetcher.run(v.ctx) }()
	return v
}

// setTightestMaxAge sets the least bound on the age of reads among the routes of the
// service. It determines how often the primary is probed.
func (v *service) setTightestMaxAge(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.tightestMaxAge = d
}

// connShares is the number of connections that this instance may hold to each
// backend server, before its quota follows demand.
type connShares struct {
	base, sameZone int  // sameZone replaces base for members in the own zone, unless it is 0
	keepIdle       bool // keep idle connections for the next request
	fixedSameZone  bool // the quota for members in the own zone does not grow with demand
}

// updateMembers sets the members to those that the roster lists, and closes the
// members that are gone. It does not wait for their probers, which may wait for an answer.
func (v *service) updateMembers(entries []roster.Entry, shares connShares, now time.Time) {
	for _, m := range v.applyRoster(entries, shares, now) {
		m.close()
	}
}

// awaitProbers waits for the probers of closed members.
func (v *service) awaitProbers() {
	v.mu.Lock()
	closed := v.closed
	v.closed = nil
	v.mu.Unlock()
	for _, m := range closed {
		<-m.prober.done
	}
}

// forgetEndedProbers drops the closed members whose probers have ended.
func (v *service) forgetEndedProbers() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.closed = slices.DeleteFunc(v.closed, func(m *member) bool {
		select {
		case <-m.prober.done:
			return true
		default:
			return false
		}
	})
}

// setControlProbes sets whether the control instances probe the members for this
// instance. Otherwise it probes them itself.
func (v *service) setControlProbes(enabled bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.controlProbes == enabled {
		return
	}
	v.log.Info().Bool("shared", enabled).Msg("source of proofs of primary changed: control instances if shared, own probes otherwise")
	v.controlProbes = enabled
	for _, m := range v.members {
		m.clearFailing()
		m.prober.probeNow()
	}
	v.fetcher.fetchNow()
}

// applyRoster updates the members and returns those that are no longer used.
func (v *service) applyRoster(entries []roster.Entry, shares connShares, now time.Time) (closing []*member) {
	v.mu.Lock()
	defer v.mu.Unlock()
	listed, changed := make(map[string]bool, len(entries)), len(entries) != len(v.members)
	for _, e := range entries {
		listed[e.ID] = true
		m := v.members[e.ID]
		if m != nil && m.incarnation == e.Incarnation() && m.target.Addr == e.Addr {
			m.update(e, now)
		} else {
			if m != nil {
				closing = append(closing, m)
			}
			changed = true
			m = v.newProbedMember(e, shares.base)
			v.members[e.ID] = m
			m.prober.start()
		}
		if e.Zone == v.srv.zone && shares.sameZone > 0 {
			m.setShare(shares.sameZone, true, shares.fixedSameZone)
		} else {
			m.setShare(shares.base, shares.keepIdle, false)
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
	v.closed = append(v.closed, closing...)
	v.breakers.SetMembers(names)
	if changed || len(v.proofWaiters) > 0 {
		v.requestProofLocked()
	}
	return closing
}

// equalShare returns how many connections to a backend server this instance may hold
// when n instances share them equally.
func equalShare(cfg config.Service, n int) int {
	if cfg.MaxConns <= 0 {
		return 4
	}
	if connsScarce(cfg, n) {
		return scarceConnShare
	}
	return max(minConnShare, (cfg.MaxConns-reservedControlConns)/max(1, n)-probeConns)
}

// maxTermStep bounds how far a corrupt position can extend the history.
const maxTermStep = 4096

const (
	// keptTerms is how many terms before the one of a proof a history that starts anew has.
	keptTerms = 64
	// highestTerm is far above the term that a group reaches.
	highestTerm = 1 << 53
)

// adoptTerm extends the history to the term of a proof. If that is far beyond the history, or before
// it, the history starts anew around it: the instance started late, or an earlier position was corrupt.
func (v *service) adoptTerm(term uint64) {
	if term == 0 || term > highestTerm {
		return
	}
	starts := v.history.Starts()
	if len(starts) > 0 && term < starts[0].Term || term > v.maxTerm+maxTermStep {
		v.log.Warn().Uint64("term", term).Uint64("newest_known", v.maxTerm).Msg("proof of primary is of a term far from the known ones; positions of older terms cannot be compared any more")
		v.history, v.maxTerm = group.History{}, term-min(term, keptTerms)
	}
	v.extendHistory(term)
}

// extendHistory adds the terms up to the given one to the history, with starts that
// discard nothing. This is safe: offsets of the log continue from term to term, and a
// server refuses to serve at a position that its log lacks, for instance because the
// position was rolled back.
func (v *service) extendHistory(term uint64) {
	if term <= v.maxTerm || term > v.maxTerm+maxTermStep {
		return
	}
	starts := v.history.Starts()
	for t := v.maxTerm; t <= term; t++ {
		if n := len(starts); n == 0 || starts[n-1].Term < t {
			starts = append(starts, group.TermStart{Term: t, Offset: math.MaxUint64})
		}
	}
	h, err := group.NewHistory(starts...)
	if err != nil {
		v.log.Error().Err(err).Uint64("term", term).Msg("cannot extend the history of terms; positions of the new term cannot be compared")
		return
	}
	v.history, v.maxTerm = h, term
}

const (
	// maxSamples is the number of samples that are kept.
	maxSamples = 512
	// minSampleInterval is the least time between samples. With a proof for every read
	// under the highest load, the samples still cover the lag of the slowest replicas
	// (25 s).
	minSampleInterval = 50 * time.Millisecond
)

// addSample keeps a position of the primary, unless the last sample is too recent.
func (v *service) addSample(p timedPosition) {
	if n := len(v.timedSamples); n > 0 && p.at.Sub(v.timedSamples[n-1].at) < minSampleInterval {
		return
	}
	v.samples.Add(p.at, p.position)
	v.timedSamples = append(v.timedSamples, p)
	if len(v.timedSamples) > maxSamples {
		v.timedSamples = slices.Delete(v.timedSamples, 0, maxSamples/2)
	}
}

// proofState says whether a primary proved its role recently.
type proofState uint8

const (
	proofUnknown proofState = iota // all requests are forwarded and none was sent recently
	proofMissing
	proofSeen
)

// provedWithin reports whether a primary proved its role within d. On an instance
// that forwards its requests, a proof that a holder reported counts too.
func (v *service) provedWithin(d time.Duration, now time.Time) proofState {
	v.mu.Lock()
	defer v.mu.Unlock()
	forwards := len(v.holders) > 0 && !v.isHolder
	if n := len(v.timedSamples); n > 0 && now.Sub(v.timedSamples[n-1].at) <= d || forwards && now.Sub(v.lastHolderProof) <= d {
		return proofSeen
	}
	if forwards && now.Sub(v.lastForwardSent) > d {
		return proofUnknown
	}
	return proofMissing
}

// recordForwardSent records that a request was forwarded to a holder.
func (v *service) recordForwardSent() {
	now := v.srv.now()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lastForwardSent = now
}

// recordHolderProof records the proof of primary that a holder reported with its answer to a
// request sent at askedAt. It covers reads that this instance runs itself.
func (v *service) recordHolderProof(p Proof, askedAt time.Time) {
	at := askedAt.Add(-p.Age) // the holder computed the age later
	v.mu.Lock()
	newer := at.After(v.lastHolderProof)
	if newer {
		v.lastHolderProof = at
	}
	v.mu.Unlock()
	if newer {
		v.recordProofOf(p, at)
	}
}

// recordProofOf records a proof that another instance obtained, which covers all commits
// acknowledged before at. It reports whether the member is known.
func (v *service) recordProofOf(p Proof, at time.Time) bool {
	m := v.member(p.Member)
	if m == nil {
		return false
	}
	now := v.srv.now()
	for id, lag := range p.Lags {
		if replica := v.member(id); replica != nil {
			replica.setLag(lag, now)
		}
	}
	v.recordProof(m, at, p.Position)
	return true
}

// newestProof returns the newest proof of primary, or nil if there is none. It has the lags of the members
// in the zone of this instance, or of all where requests are forwarded to all zones.
func (v *service) newestProof(now time.Time) *Proof {
	all := v.srv.ForwardsToAllZones()
	v.mu.Lock()
	defer v.mu.Unlock()
	n := len(v.timedSamples)
	if n == 0 || v.primary == "" {
		return nil
	}
	last := v.timedSamples[n-1]
	p := &Proof{Member: v.primary, Position: last.position, Age: max(0, now.Sub(last.at)), Lags: make(map[string]time.Duration)}
	for id, m := range v.members {
		if all || m.snapshot().Zone == v.srv.zone {
			p.Lags[id] = m.estimatedLag()
		}
	}
	return p
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

// readBound is the position that the log of a member must include to serve a read,
// with a time at which the primary held it.
type readBound struct {
	timedPosition
	known bool // if false, only a confirmed primary may serve the read
}

// readBoundFor returns the oldest sampled position that covers all commits
// acknowledged before since, raised to the last commit of the session.
func (v *service) readBoundFor(since time.Time, lastCommit timedPosition) readBound {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, s := range v.timedSamples {
		if s.at.Before(since) {
			continue
		}
		if s.position.Less(lastCommit.position) {
			return readBound{timedPosition: lastCommit, known: true}
		}
		return readBound{timedPosition: s, known: true}
	}
	return readBound{}
}

// pickMember chooses the member for a read. Members whose estimated lag is below the
// age of the bound are expected to hold it.
func (v *service) pickMember(q route.Query, bound readBound, customer string, now time.Time) route.Choice {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.extendHistory(bound.position.Term)
	g := route.Group{Term: v.maxTerm, History: v.history, Primary: v.primary, Samples: &v.samples}
	for _, m := range v.members {
		g.Members = append(g.Members, v.routeMember(m, bound, q.Priority, customer, now))
	}
	slices.SortFunc(g.Members, func(a, b route.Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	if bound.known {
		q.Bound = group.SessionBound{Position: bound.position}
	} else {
		q.Bound = group.LatestBound{}
	}
	return v.preferLocalPrimary(v.policy.Pick(q, g, now, v.rnd), q, bound, now)
}

// preferLocalPrimary replaces the choice of a replica in another zone by the primary,
// if the primary is in the own zone and has no queue. Traffic between zones costs more
// than slots of the primary, and each member then serves the reads of its own zone.
func (v *service) preferLocalPrimary(c route.Choice, q route.Query, bound readBound, now time.Time) route.Choice {
	use, ok := c.(route.Use)
	m := v.members[v.primary]
	if !ok || use.Confirm || !bound.known || m == nil || slices.Contains(q.Exclude, v.primary) {
		return c
	}
	if chosen := v.members[use.Name]; chosen == nil || chosen.snapshot().Zone == q.Zone {
		return c
	}
	if e := m.snapshot(); e.Zone != q.Zone || e.State != roster.Ready || m.failingFor(now) > 0 || m.hasQueue() {
		return c
	}
	return route.Use{Name: v.primary, Required: use.Required}
}

// routeMember describes a member for the routing decision.
func (v *service) routeMember(m *member, bound readBound, priority int, customer string, now time.Time) route.Member {
	e := m.snapshot()
	inUse := m.connQueue.load()
	lag := m.estimatedLag()
	out := route.Member{
		Name: e.ID, Zone: e.Zone, Primary: e.Primary && e.ID != v.primary,
		Lag: lag, AsOf: now, Load: float64(inUse) / float64(max(1, e.Slots)), QueueWait: m.expectedWait(priority) + m.dialDelay(customer),
		BreakerOpen: !v.breakers.Usable(e.ID, now) || m.failingFor(now) > 0,
		Leaving:     e.State == roster.Draining, Weight: v.breakers.Weight(e.ID, now),
	}
	if out.Leaving {
		m.mu.Lock()
		out.LeavingSince = m.drainingSince
		m.mu.Unlock()
	}
	if bound.known && now.Sub(bound.at) >= lag {
		out.Applied = bound.position
	}
	return out
}

// queueDelay records the duration of a statement at a member and returns how much
// longer than usual it was.
func (v *service) queueDelay(database string, m *member, took time.Duration) time.Duration {
	congested := m.congested()
	v.mu.Lock()
	defer v.mu.Unlock()
	baseline := v.baselines[database]
	if baseline == nil {
		baseline = new(durationBaseline)
		v.baselines[database] = baseline
	}
	return baseline.record(m.target.ID, took, congested)
}

// expectedDuration returns how long a statement at the database usually takes without
// a queue, or 0 if that is not known.
func (v *service) expectedDuration(database string) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if baseline := v.baselines[database]; baseline != nil {
		return baseline.fastest()
	}
	return 0
}

func (v *service) close() {
	v.updateMembers(nil, connShares{}, v.srv.now())
	v.awaitProbers()
	<-v.fetcher.done
}
