// Package spread carries the state from control to all instances at a cost per
// instance that does not grow with the fleet.
//
// The state is a function of its stamp, (term, index) in the control log, and an
// instance only moves forward. Three ways lead forward:
//
//   - Deltas are pushed. Each instance passes a delta on once, to a few peers. A
//     long delta is announced to them instead, and they pull it.
//   - Once per interval an instance exchanges a Summary with one random peer. The
//     older side pulls: recent deltas, or else the sections whose digests differ.
//   - An instance that starts asks several peers, takes a whole copy from the one
//     with the highest stamp, and only then serves.
//
// Every answer is a consistent state at one stamp and is checked against the
// digest of that state, so that sections of different stamps are never mixed.
package spread

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"tamarackcross/state"
)

// Defaults and limits.
const (
	// DefaultFanout is the number of peers to which a delta is passed on. With 4
	// about 98% of the instances are reached before any repair.
	DefaultFanout = 4
	// DefaultInterval is the time between two exchanges with a random peer.
	DefaultInterval = time.Second
	// PullWait is how long an answer to a Pull or Fetch may take.
	PullWait = 500 * time.Millisecond
	// GapWait is how long a delta waits for an earlier one that was overtaken.
	GapWait = 100 * time.Millisecond
	// AskWait is how long an instance that starts waits for answers.
	AskWait = 300 * time.Millisecond
	// AskPeers is the number of peers that an instance asks when it starts.
	AskPeers = 5
	// LoneRounds is how often an instance that has a state asks in vain before
	// it serves with what it has.
	LoneRounds = 3

	maxPush    = 4 << 10   // bytes of section data in a delta that is pushed unasked
	maxPending = 256       // deltas that wait for an earlier one
	maxRecent  = 256       // deltas kept for peers that missed a few
	maxBatch   = 256 << 10 // bytes of section data in the deltas kept
	partSize   = 64 << 10  // bytes of section data per Sections message
	maxParts   = 4096      // parts of one answer
	maxPins    = 4         // older views kept for peers that fetch sections
	pinFor     = 5 * time.Second
	peersEvery = time.Second // time between two readings of the list of peers
)

// Peer is another instance.
type Peer struct{ Name, Zone string }

// Core decides for one instance. One goroutine calls it; View may be called from
// any.
type Core struct {
	self     Peer
	fanout   int
	interval time.Duration
	seeds    []Peer
	rnd      *rand.Rand

	view    atomic.Pointer[state.View]
	recent  recent
	pending map[state.Stamp]state.Delta // by Prev
	gap     gap
	pull    *pull
	whole   bool // the next pull asks for a whole copy
	pins    []pin
	peers   peers
	join    *join
	probeAt time.Time
	out     []Action
}

// gap records when a delta began to wait for an earlier one.
type gap struct {
	until time.Time
	peer  string
}

// Option configures a Core.
type Option func(*Core)

// WithSeed sets the seed of all random choices.
func WithSeed(seed uint64) Option {
	return func(c *Core) { c.rnd = rand.New(rand.NewPCG(seed, nameSeed(c.self.Name))) }
}

// WithSeeds names peers to ask while the state lists no others.
func WithSeeds(seeds ...Peer) Option { return func(c *Core) { c.seeds = seeds } }

// WithFanout sets the number of peers to which a delta is passed on.
func WithFanout(n int) Option { return func(c *Core) { c.fanout = n } }

// WithInterval sets the time between two exchanges with a random peer.
func WithInterval(d time.Duration) Option { return func(c *Core) { c.interval = d } }

// New returns the core of the instance self, with the empty state.
func New(self Peer, opts ...Option) *Core {
	c := &Core{
		self:     self,
		fanout:   DefaultFanout,
		interval: DefaultInterval,
		pending:  make(map[state.Stamp]state.Delta),
		join:     &join{},
	}
	c.view.Store(state.Empty())
	WithSeed(0)(c)
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// View returns the newest view. It is the call for the hot path.
func (c *Core) View() *state.View { return c.view.Load() }

// Serving reports whether the instance holds the newest state that it could
// learn of when it started.
func (c *Core) Serving() bool { return c.join == nil }

// Receive handles a message from a peer.
func (c *Core) Receive(m Message, now time.Time) []Action {
	switch m := m.(type) {
	case Push:
		c.accept(m.Delta, m.From, now)
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
	return c.flush()
}

// Publish takes a delta from the state machine of a control instance. An old
// delta changes nothing, here or elsewhere.
func (c *Core) Publish(d state.Delta, now time.Time) []Action {
	if !d.IsZero() {
		c.accept(d, "", now)
	}
	return c.flush()
}

// Adopt takes the view of a control instance that restored a snapshot, if it is
// newer than the view held.
func (c *Core) Adopt(v *state.View, now time.Time) []Action {
	if c.stamp().Less(v.Stamp()) {
		c.recent.clear()
		c.install(v, nil, true)
		c.drain(now)
	}
	return c.flush()
}

// Tick does what is due.
func (c *Core) Tick(now time.Time) []Action {
	c.expirePull(now)
	if c.join != nil {
		c.tickJoin(now)
	}
	c.tickGap(now)
	c.tickProbe(now)
	c.unpin(now)
	return c.flush()
}

// Next returns when Tick is next useful. It is the zero time before the first
// Tick.
func (c *Core) Next(time.Time) time.Time {
	next := c.probeAt
	for _, t := range c.deadlines() {
		if !t.IsZero() && t.Before(next) {
			next = t
		}
	}
	return next
}

// deadlines returns the times that Tick acts on now: a start procedure waits
// for its pull, and a gap for the start procedure.
func (c *Core) deadlines() []time.Time {
	switch {
	case c.join != nil && c.pull != nil:
		return []time.Time{c.pull.until}
	case c.join != nil:
		return []time.Time{c.join.until}
	case c.pull != nil:
		return []time.Time{c.pull.until, c.gap.until}
	default:
		return []time.Time{c.gap.until}
	}
}

func (c *Core) stamp() state.Stamp { return c.View().Stamp() }

func (c *Core) send(peer string, m Message) {
	c.out = append(c.out, Send{Peer: peer, Message: m})
}

func (c *Core) flush() []Action {
	out := c.out
	c.out = nil
	return out
}

func (c *Core) head() Head { return Head{From: c.self.Name} }

// accept handles a delta that was pushed or published. It is passed on when it
// is new, even if it has to wait for an earlier one.
func (c *Core) accept(d state.Delta, from string, now time.Time) {
	if !c.hold(d) {
		return
	}
	c.drain(now)
	c.forward(d, from, now)
	if len(c.pending) > 0 && c.gap.until.IsZero() {
		c.gap = gap{until: now.Add(GapWait), peer: from}
	}
}

// forward passes a new delta on to a few peers. A long one is announced only:
// each peer pulls it once instead of receiving it from several.
func (c *Core) forward(d state.Delta, from string, now time.Time) {
	long := sizeOf(d.Changes) > maxPush
	for _, peer := range c.choose(c.fanout, from, now) {
		if long {
			c.send(peer, c.summary(Answer))
			continue
		}
		c.send(peer, Push{Head: c.head(), Delta: d})
	}
}

// hold keeps a delta until it can be applied. It reports whether it is new.
func (c *Core) hold(d state.Delta) bool {
	if !c.stamp().Less(d.Stamp) || !d.Prev.Less(d.Stamp) {
		return false
	}
	if _, ok := c.pending[d.Prev]; ok || len(c.pending) >= maxPending {
		return false
	}
	c.pending[d.Prev] = d
	return true
}

// drain applies the deltas that follow the view, one after the other.
func (c *Core) drain(now time.Time) {
	for {
		d, ok := c.pending[c.stamp()]
		if !ok {
			break
		}
		delete(c.pending, d.Prev)
		v, err := c.View().Apply(d)
		if err != nil {
			c.out = append(c.out, Rejected{Stamp: d.Stamp, Err: err})
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
		c.gap = gap{}
	}
	c.checkJoined(now)
}

// install replaces the view by a newer one.
func (c *Core) install(v *state.View, changed []state.Key, whole bool) {
	c.view.Store(v)
	c.out = append(c.out, Apply{View: v, Changed: changed, Whole: whole})
}

func keysOf(changes []state.Change) []state.Key {
	keys := make([]state.Key, 0, len(changes))
	for _, ch := range changes {
		keys = append(keys, ch.Key)
	}
	return keys
}

// tickGap pulls when a delta has waited too long for an earlier one.
func (c *Core) tickGap(now time.Time) {
	if c.gap.until.IsZero() || now.Before(c.gap.until) || c.join != nil {
		return
	}
	peer := c.gap.peer
	if peer == "" {
		peer = c.randomPeer(now)
	}
	c.startPull(peer, now)
	c.gap = gap{until: now.Add(PullWait)}
}

// tickProbe exchanges summaries with one random peer. The first time is spread
// over the interval, so that instances started together do not act together.
func (c *Core) tickProbe(now time.Time) {
	if c.probeAt.IsZero() {
		c.probeAt = now.Add(time.Duration(c.rnd.Int64N(int64(c.interval))))
		return
	}
	if now.Before(c.probeAt) {
		return
	}
	c.probeAt = now.Add(c.interval)
	if peer := c.randomPeer(now); peer != "" {
		c.send(peer, c.summary(Probe))
	}
}

func (c *Core) summary(p Purpose) Summary {
	v := c.View()
	return Summary{Head: c.head(), Purpose: p, Stamp: v.Stamp(), Digest: v.Digest()}
}
