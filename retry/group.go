package retry

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Group holds the circuit breakers of the members of one database. At least one
// member is usable at any time: while no breaker allows an attempt, the member
// with the lowest error rate stays usable.
type Group struct {
	settings Settings
	rnd      *rand.Rand
	members  []*breaker // ordered by name
}

// GroupOption configures a Group.
type GroupOption func(*Group)

// WithSettings replaces the default settings.
func WithSettings(s Settings) GroupOption { return func(g *Group) { g.SetSettings(s) } }

// NewGroup returns a group without members. The seed determines the jitter of the
// open times and should differ between instances.
func NewGroup(seed uint64, opts ...GroupOption) *Group {
	g := &Group{settings: DefaultSettings(), rnd: rand.New(rand.NewPCG(seed, 1))}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// SetSettings replaces the settings. Values below the allowed minimum are raised
// to it.
func (g *Group) SetSettings(s Settings) {
	s.Failures, s.MinAttempts, s.Probes = max(1, s.Failures), max(1, s.MinAttempts), max(1, s.Probes)
	s.OpenTime = max(time.Millisecond, s.OpenTime)
	s.MaxOpenTime = max(s.MaxOpenTime, s.OpenTime)
	g.settings = s
}

// SetMembers replaces the set of members. Members that remain keep their state.
// New ones start with a closed breaker at full weight; see Returned.
func (g *Group) SetMembers(names []string) {
	var members []*breaker
	for _, name := range slices.Compact(slices.Sorted(slices.Values(names))) {
		b := g.find(name)
		if b == nil {
			b = &breaker{name: name}
		}
		members = append(members, b)
	}
	g.members = members
}

// Returned reports that a member has returned, for instance with a new
// incarnation. Its breaker closes and its weight grows from a tenth to 1.
func (g *Group) Returned(name string, now time.Time) {
	if b := g.find(name); b != nil {
		*b = breaker{name: name, returnedAt: now}
	}
}

// Usable reports whether Allow would allow an attempt on the member. It does not
// count as an attempt.
func (g *Group) Usable(name string, now time.Time) bool {
	b := g.find(name)
	if b == nil {
		return false
	}
	return b.usable(&g.settings, now) || g.lastResort(now) == b
}

// Allow reports whether an attempt on the member may start. If so, its result must
// be reported with Succeeded or Failed, because the attempt may be a probe.
func (g *Group) Allow(name string, now time.Time) bool {
	if !g.Usable(name, now) {
		return false
	}
	if b := g.find(name); b.state == HalfOpen {
		b.probesInFlight++
	}
	return true
}

// Succeeded reports an attempt that the member answered, even if the answer is an
// error caused by the statement.
func (g *Group) Succeeded(name string, now time.Time) {
	if b := g.find(name); b != nil {
		b.succeed(&g.settings, now)
	}
}

// Failed reports an attempt that failed because of the member or the network path
// to it.
func (g *Group) Failed(name string, now time.Time) {
	if b := g.find(name); b != nil {
		b.fail(&g.settings, g.rnd, now)
	}
}

// State returns the state of the member's breaker, or Open for an unknown member.
// A member may be usable while its breaker is open; see Group.
func (g *Group) State(name string, now time.Time) State {
	b := g.find(name)
	if b == nil {
		return Open
	}
	b.advance(now)
	return b.state
}

// Weight returns the fraction of its normal traffic that the member should get,
// from a tenth right after its return up to 1. It is 0 for an unknown member.
func (g *Group) Weight(name string, now time.Time) float64 {
	b := g.find(name)
	if b == nil {
		return 0
	}
	return b.weight(&g.settings, now)
}

// lastResort returns the member to use while no breaker allows an attempt, and nil
// otherwise. It is the member with the lowest error rate, on a tie the one with
// the fewest consecutive failures, then the one whose breaker opened first.
func (g *Group) lastResort(now time.Time) *breaker {
	for _, b := range g.members {
		if b.usable(&g.settings, now) {
			return nil
		}
	}
	if len(g.members) == 0 {
		return nil
	}
	return slices.MinFunc(g.members, func(x, y *breaker) int {
		return cmp.Or(
			cmp.Compare(x.errorRate(now), y.errorRate(now)),
			cmp.Compare(x.consecutiveFailures, y.consecutiveFailures),
			x.openedAt.Compare(y.openedAt),
		)
	})
}

func (g *Group) find(name string) *breaker {
	i, found := slices.BinarySearchFunc(g.members, name, func(b *breaker, name string) int {
		return cmp.Compare(b.name, name)
	})
	if !found {
		return nil
	}
	return g.members[i]
}
