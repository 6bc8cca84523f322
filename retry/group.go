package retry

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Group holds the circuit breakers of the members of one database. At least one
// member is usable at any time: while no breaker lets an attempt through, the
// least bad member stays usable.
type Group struct {
	settings Settings
	rnd      *rand.Rand
	members  []*breaker // ordered by name
}

// GroupOption sets a parameter of a Group.
type GroupOption func(*Group)

// WithSettings replaces the default settings.
func WithSettings(s Settings) GroupOption { return func(g *Group) { g.SetSettings(s) } }

// NewGroup returns a group without members. The seed determines the jitter of
// open times and should differ between instances.
func NewGroup(seed uint64, opts ...GroupOption) *Group {
	g := &Group{settings: DefaultSettings(), rnd: rand.New(rand.NewPCG(seed, 1))}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// SetSettings applies new settings at once.
func (g *Group) SetSettings(s Settings) {
	s.Failures, s.Volume, s.Probes = max(1, s.Failures), max(1, s.Volume), max(1, s.Probes)
	s.OpenTime = max(time.Millisecond, s.OpenTime)
	s.MaxOpen = max(s.MaxOpen, s.OpenTime)
	g.settings = s
}

// SetMembers replaces the set of members. Members that stay keep their state;
// new ones start closed at full weight, see Returned.
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

// Returned reports that a member is back, for instance with a new incarnation.
// Its breaker closes and its weight grows from a tenth.
func (g *Group) Returned(name string, now time.Time) {
	if b := g.find(name); b != nil {
		*b = breaker{name: name, returned: now}
	}
}

// Usable reports whether an attempt on the member would be allowed. It changes
// nothing that a later Allow depends on.
func (g *Group) Usable(name string, now time.Time) bool {
	b := g.find(name)
	if b == nil {
		return false
	}
	return b.usable(&g.settings, now) || g.lastResort(now) == b
}

// Allow reports whether an attempt on the member may start. If so, the result
// must be reported with Succeeded or Failed, because it may be a probe.
func (g *Group) Allow(name string, now time.Time) bool {
	if !g.Usable(name, now) {
		return false
	}
	if b := g.find(name); b.state == HalfOpen {
		b.probes++
	}
	return true
}

// Succeeded reports an attempt that the member answered, also with an error of
// the statement itself.
func (g *Group) Succeeded(name string, now time.Time) {
	if b := g.find(name); b != nil {
		b.succeed(&g.settings, now)
	}
}

// Failed reports an attempt that failed for a reason that lies with the member
// or the path to it.
func (g *Group) Failed(name string, now time.Time) {
	if b := g.find(name); b != nil {
		b.fail(&g.settings, g.rnd, now)
	}
}

// State returns the state of the member's breaker. The least bad member is
// usable in any state.
func (g *Group) State(name string, now time.Time) State {
	b := g.find(name)
	if b == nil {
		return Open
	}
	b.advance(now)
	return b.state
}

// Weight returns the part of its usual traffic that the member should get, from
// a tenth right after its return up to 1.
func (g *Group) Weight(name string, now time.Time) float64 {
	b := g.find(name)
	if b == nil {
		return 0
	}
	return b.weight(&g.settings, now)
}

// lastResort returns the least bad member while no breaker lets an attempt
// through, otherwise nil: the member with the lowest error rate, then the one
// with the fewest consecutive failures, then the one that opened first.
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
			cmp.Compare(x.consecutive, y.consecutive),
			x.openedAt.Compare(y.openedAt),
		)
	})
}

func (g *Group) find(name string) *breaker {
	at, found := slices.BinarySearchFunc(g.members, name, func(b *breaker, name string) int {
		return cmp.Compare(b.name, name)
	})
	if !found {
		return nil
	}
	return g.members[at]
}
