// Package spread disseminates the state from control to all instances by a gossip
// protocol. The cost per instance does not grow with the number of instances.
//
// The state is a function of its stamp, the term and index of an entry of the control
// log. The stamp of an instance never goes back. It advances in three ways:
//
//   - Deltas are pushed. Each instance forwards a delta once, to a few random peers.
//     A delta that is too long to push is announced to them, and they pull it.
//   - Once per interval an instance exchanges a Summary with one random peer
//     (anti-entropy). The instance with the older state pulls recent deltas, or else
//     the sections whose digests differ.
//   - An instance that starts asks several peers, pulls a full copy from the one with
//     the highest stamp, and serves only then.
//
// A state that is assembled from sections is consistent at one stamp: it is checked
// against the digest of the full state, so that sections of different stamps are never
// mixed.
package spread

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"tamarackcross/state"
)

// Defaults and limits.
const (
	// DefaultFanout is the number of peers to which an instance forwards a delta. With
	// 4, pushes reach about 98% of the instances; the others pull the delta.
	DefaultFanout = 4
	// DefaultInterval is the time between two exchanges of summaries with a random peer.
	DefaultInterval = time.Second
	// PullTimeout is the time limit for the answer to a Pull or Fetch, and for each of its
	// parts.
	PullTimeout = 500 * time.Millisecond
	// GapTimeout is how long a delta that arrived out of order waits for the missing
	// earlier one.
	GapTimeout = 100 * time.Millisecond
	// StartupQueryTimeout is how long an instance that starts waits for answers in a
	// round.
	StartupQueryTimeout = 300 * time.Millisecond
	// StartupQueryPeers is the number of peers that an instance asks in a round when it
	// starts.
	StartupQueryPeers = 5
	// MaxUnansweredRounds is the number of rounds without an answer after which an
	// instance that has a state serves with it.
	MaxUnansweredRounds = 3

	maxPushBytes        = 4 << 10   // bytes of section data in a delta that is pushed, not announced
	maxPendingDeltas    = 256       // deltas that wait for a missing earlier one
	maxRecentDeltas     = 256       // deltas kept for peers that missed some
	maxRecentBytes      = 256 << 10 // bytes of section data in the kept deltas
	partBytes           = 64 << 10  // bytes of section data per Sections message
	maxParts            = 4096      // Sections messages per answer
	maxPinnedViews      = 4         // views kept for peers that fetch sections
	pinDuration         = 5 * time.Second
	peerRefreshInterval = time.Second      // least time between two updates of the peer list, if it is long
	peerRefreshDelay    = time.Millisecond // the same for each instance in the list, if it is short
)

// Peer is an instance that takes part in the dissemination.
type Peer struct{ Name, Zone string }

// Core is the protocol state of one instance. It has no clock, goroutine or socket:
// its methods take the current time and return actions, which the caller carries
// out. It is not safe for concurrent use, except for View.
type Core struct {
	self     Peer
	fanout   int
	interval time.Duration
	seeds    []Peer
	rnd      *rand.Rand

	view      atomic.Pointer[state.View]
	recent    recentDeltas
	pending   map[state.Stamp]state.Delta // by Delta.Prev
	gap       gapWait
	pull      *pull
	pullWhole bool // the next pull requests a full copy
	pins      []pinnedView
	peers     peers
	startup   *startupQuery
	nextProbe time.Time
	probed    string // peer to which the last periodic summary went
	actions   []Action
}

// gapWait is a pending wait for a missing delta: the time at which it is pulled, and
// the peer to pull it from.
type gapWait struct {
	deadline time.Time
	peer     string
}

// Option configures a Core.
type Option func(*Core)

// WithRandomSeed sets the seed of all random choices.
func WithRandomSeed(seed uint64) Option {
	return func(c *Core) { c.rnd = rand.New(rand.NewPCG(seed, hashName(c.self.Name))) }
}

// WithSeedPeers sets the peers to ask while the state lists no other instances.
func WithSeedPeers(seeds ...Peer) Option { return func(c *Core) { c.seeds = seeds } }

// WithFanout sets the number of peers to which a delta is forwarded.
func WithFanout(n int) Option { return func(c *Core) { c.fanout = n } }

// WithInterval sets the time between two exchanges of summaries with a random peer.
func WithInterval(d time.Duration) Option { return func(c *Core) { c.interval = d } }

// New returns the core of the instance self with an empty state.
func New(self Peer, opts ...Option) *Core {
	c := &Core{
		self:     self,
		fanout:   DefaultFanout,
		interval: DefaultInterval,
		pending:  make(map[state.Stamp]state.Delta),
		startup:  &startupQuery{},
	}
	c.view.Store(state.Empty())
	WithRandomSeed(0)(c)
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// View returns the newest view. It takes no lock and suits the hot path.
func (c *Core) View() *state.View { return c.view.Load() }

// Serving reports whether the start procedure has ended, so that the instance may
// serve.
func (c *Core) Serving() bool { return c.startup == nil }

// Receive handles a message from a peer.
func (c *Core) Receive(m Message, now time.Time) []Action {
	switch m := m.(type) {
	case Push:
		c.acceptDelta(m.Delta, m.From, now)
	case Summary:
		c.onSummary(m, now)
	case Pull:
		c.onPull(m, now)
	case Batch:
		c.onBatch(m, now)
	case Outline:
		c.onOutline(m, now)
	case Fetch:
		c.onFetch(m, now)
	case Sections:
		c.onSections(m, now)
	}
	return c.takeActions()
}

// Publish applies and forwards a delta from the state machine of a control instance.
// A delta that is not newer than the view is ignored.
func (c *Core) Publish(d state.Delta, now time.Time) []Action {
	if !d.IsZero() {
		c.acceptDelta(d, "", now)
	}
	return c.takeActions()
}

// Adopt installs the view of a control instance that restored a snapshot, if it is
// newer than the current view.
func (c *Core) Adopt(v *state.View, now time.Time) []Action {
	if c.stamp().Less(v.Stamp()) {
		c.recent.clear()
		c.install(v, nil, true)
		c.applyPending(now)
	}
	return c.takeActions()
}

// Tick performs what is due: it ends waits that have timed out, starts the next round
// of the start procedure, and sends the periodic summary.
func (c *Core) Tick(now time.Time) []Action {
	c.expirePull(now)
	if c.startup != nil {
		c.tickStartup(now)
	}
	c.tickGap(now)
	c.tickProbe(now)
	c.expirePins(now)
	return c.takeActions()
}

// NextTick returns when Tick must be called next. It is the zero time before the first
// Tick.
func (c *Core) NextTick(time.Time) time.Time {
	next := c.nextProbe
	for _, t := range c.deadlines() {
		if !t.IsZero() && t.Before(next) {
			next = t
		}
	}
	return next
}

// deadlines returns the times at which Tick acts in the current phase. The start
// procedure waits for its pull, and a gap waits for the start procedure.
func (c *Core) deadlines() []time.Time {
	switch {
	case c.startup != nil && c.pull != nil:
		return []time.Time{c.pull.deadline}
	case c.startup != nil:
		return []time.Time{c.startup.deadline}
	case c.pull != nil:
		return []time.Time{c.pull.deadline, c.gap.deadline}
	default:
		return []time.Time{c.gap.deadline}
	}
}

func (c *Core) stamp() state.Stamp { return c.View().Stamp() }

func (c *Core) send(peer string, m Message) {
	c.actions = append(c.actions, Send{Peer: peer, Message: m})
}

func (c *Core) takeActions() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}

func (c *Core) head() Head { return Head{From: c.self.Name} }

// acceptDelta handles a delta that was pushed or published. A new delta is forwarded
// even if it has to wait for a missing earlier one.
func (c *Core) acceptDelta(d state.Delta, from string, now time.Time) {
	if !c.addPending(d) {
		return
	}
	c.applyPending(now)
	c.forward(d, from, now)
	if len(c.pending) > 0 && c.gap.deadline.IsZero() {
		c.gap = gapWait{deadline: now.Add(GapTimeout), peer: from}
	}
}

// forward sends a new delta to a few random peers. A delta over maxPushBytes is only
// announced, so that each peer pulls it once and does not receive it several times.
func (c *Core) forward(d state.Delta, from string, now time.Time) {
	long := dataSize(d.Changes) > maxPushBytes
	for _, peer := range c.choosePeers(c.fanout, from, now) {
		if long {
			c.send(peer, c.summary(Answer))
			continue
		}
		c.send(peer, Push{Head: c.head(), Delta: d})
	}
}

// addPending keeps a delta until it can be applied. It returns false if the delta is
// not new, or if too many are pending.
func (c *Core) addPending(d state.Delta) bool {
	if !c.stamp().Less(d.Stamp) || !d.Prev.Less(d.Stamp) {
		return false
	}
	if _, ok := c.pending[d.Prev]; ok || len(c.pending) >= maxPendingDeltas {
		return false
	}
	c.pending[d.Prev] = d
	return true
}

// applyPending applies the pending deltas that follow the view in order, and drops
// those that are no longer newer.
func (c *Core) applyPending(now time.Time) {
	for {
		d, ok := c.pending[c.stamp()]
		if !ok {
			break
		}
		delete(c.pending, d.Prev)
		v, err := c.View().Apply(d)
		if err != nil {
			c.actions = append(c.actions, Rejected{Stamp: d.Stamp, Err: err})
			break
		}
		c.recent.add(d)
		c.install(v, keysOf(d.Changes), false)
	}
	for prev, d := range c.pending {
		if !c.stamp().Less(d.Stamp) {
			delete(c.pending, prev)
		}
	}
	if len(c.pending) == 0 {
		c.gap = gapWait{}
	}
	c.checkStartup(now)
}

// install replaces the view with a newer one.
func (c *Core) install(v *state.View, changed []state.Key, whole bool) {
	c.view.Store(v)
	c.actions = append(c.actions, Apply{View: v, Changed: changed, Whole: whole})
}

func keysOf(changes []state.Change) []state.Key {
	keys := make([]state.Key, 0, len(changes))
	for _, ch := range changes {
		keys = append(keys, ch.Key)
	}
	return keys
}

// tickGap pulls if a delta has waited for GapTimeout for a missing earlier one.
func (c *Core) tickGap(now time.Time) {
	if c.gap.deadline.IsZero() || now.Before(c.gap.deadline) || c.startup != nil {
		return
	}
	peer := c.gap.peer
	if peer == "" {
		peer = c.randomPeer("", now)
	}
	c.startPull(peer, now)
	c.gap = gapWait{deadline: now.Add(PullTimeout)}
}

// tickProbe sends a summary to one random peer. The time of the first one is random
// within the interval, so that instances that start together do not send together.
func (c *Core) tickProbe(now time.Time) {
	if c.nextProbe.IsZero() {
		c.nextProbe = now.Add(time.Duration(c.rnd.Int64N(int64(c.interval))))
		return
	}
	if now.Before(c.nextProbe) {
		return
	}
	c.nextProbe = now.Add(c.interval)
	// Another peer than last time: the last one may lack the same change.
	if peer := c.randomPeer(c.probed, now); peer != "" {
		c.probed = peer
		c.send(peer, c.summary(Probe))
	}
}

func (c *Core) summary(p Purpose) Summary {
	v := c.View()
	return Summary{Head: c.head(), Purpose: p, Stamp: v.Stamp(), Digest: v.Digest()}
}
