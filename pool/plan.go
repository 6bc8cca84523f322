// Package pool plans the connection pool of one backend server. It decides how
// many connections to open in advance and which ones to reuse, probe and close.
package pool

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// State is the state of a connection.
type State uint8

// The states of a connection. A connection is Probing while the answer to a probe
// is outstanding.
const (
	Idle State = iota
	Busy
	Probing
)

// Conn describes one open connection.
type Conn struct {
	ID              uint64
	State           State
	Term            uint64        // term of the group when the connection was opened
	Opened          time.Time     // when the connection was opened
	LastUsed        time.Time     // when the last statement on it ended, zero if there was none
	LastReceived    time.Time     // when the backend server last sent data
	RequestSent     time.Time     // when the unanswered request or probe was sent
	Expected        time.Duration // expected duration of the running statement, 0 if unknown
	CheckInProgress bool          // a check requested by a Suspect action is in progress
}

// View describes the connections to one member.
type View struct {
	Conns   []Conn
	Opening int // connections being opened
	Waiting int // statements that wait for a connection
	Limit   int // quota of this instance
}

// CloseReason tells why a connection is closed.
type CloseReason string

// The reasons for closing a connection.
const (
	CloseLimit  CloseReason = "limit"  // more connections than the quota allows
	CloseIdle   CloseReason = "idle"   // not needed for the idle timeout
	CloseAge    CloseReason = "age"    // maximum age reached
	CloseSilent CloseReason = "silent" // probe not answered
)

// Action is a decision of a Plan: Open, Close, Probe or Suspect.
type Action interface{ action() }

// Open requests Count new connections.
type Open struct{ Count int }

// Close requests that an idle or probing connection is closed.
type Close struct {
	ID     uint64
	Reason CloseReason
}

// Probe requests that an empty request is sent on an idle connection, whose state
// becomes Probing.
type Probe struct{ ID uint64 }

// Suspect requests a check of a busy connection that is silent. The check uses
// another connection to find out whether the statement is still running or the
// network path is lost.
type Suspect struct{ ID uint64 }

func (Open) action()    {}
func (Close) action()   {}
func (Probe) action()   {}
func (Suspect) action() {}

// Defaults of a Plan.
const (
	// DefaultConnectTime is the time that opening a connection takes.
	DefaultConnectTime = 10 * time.Millisecond
	// DefaultSpareConns is the number of idle connections kept beyond the demand.
	DefaultSpareConns = 2
	// DefaultIdleTimeout is how long an unneeded connection stays open.
	DefaultIdleTimeout = 30 * time.Second
	// DefaultMaxAge is the maximum age of a connection.
	DefaultMaxAge = 30 * time.Minute
	// DefaultProbeInterval is the time without data after which an idle connection
	// is probed.
	DefaultProbeInterval = 5 * time.Second
	// DefaultProbeTimeout is the time allowed for the answer to a probe.
	DefaultProbeTimeout = time.Second
	// DefaultSilenceLimit is how long a running statement may send no data before
	// its connection is checked.
	DefaultSilenceLimit = 2 * time.Second

	// silenceFactor allows a statement to be silent for several times its expected
	// duration.
	silenceFactor = 4
	// leadFactor is the time, in multiples of the connect time, for which demand is
	// extrapolated. It covers the time to detect a rise as well as the time to
	// connect. When demand rises tenfold within 100 ms (TestRamp), 7.3% of the
	// statements wait for a connection with a factor of 1, 5.0% with 4 and none
	// with 8.
	leadFactor = 4
	// maxAgeJitterDivisor spreads the closing of connections that were opened
	// together over a tenth of the maximum age.
	maxAgeJitterDivisor = 10
	// maxRoutineProbes bounds the probes in flight while no connection has been
	// found silent.
	maxRoutineProbes = 2
)

// Plan decides which connections to one member to open, probe, reuse and close.
// It is not safe for concurrent use.
type Plan struct {
	demand        Demand
	connectTime   time.Duration
	spareConns    int
	idleTimeout   time.Duration
	maxAge        time.Duration
	probeInterval time.Duration
	probeTimeout  time.Duration
	silenceLimit  time.Duration
	lastSilent    time.Time // when a connection was last closed as silent
}

// Option configures a Plan.
type Option func(*Plan)

// WithConnectTime sets the time that opening a connection takes.
func WithConnectTime(d time.Duration) Option { return func(p *Plan) { p.connectTime = d } }

// WithSpareConns sets the number of idle connections kept beyond the demand.
func WithSpareConns(n int) Option { return func(p *Plan) { p.spareConns = n } }

// WithIdleTimeout sets how long an unneeded connection stays open.
func WithIdleTimeout(d time.Duration) Option { return func(p *Plan) { p.idleTimeout = d } }

// WithMaxAge sets the maximum age of a connection.
func WithMaxAge(d time.Duration) Option { return func(p *Plan) { p.maxAge = d } }

// WithProbeInterval sets the time without data after which an idle connection is probed.
func WithProbeInterval(d time.Duration) Option { return func(p *Plan) { p.probeInterval = d } }

// WithProbeTimeout sets the time allowed for the answer to a probe.
func WithProbeTimeout(d time.Duration) Option { return func(p *Plan) { p.probeTimeout = d } }

// WithSilenceLimit sets how long a running statement may send no data before its
// connection is checked.
func WithSilenceLimit(d time.Duration) Option { return func(p *Plan) { p.silenceLimit = d } }

// New returns a Plan with the given options.
func New(opts ...Option) *Plan {
	p := &Plan{
		connectTime:   DefaultConnectTime,
		spareConns:    DefaultSpareConns,
		idleTimeout:   DefaultIdleTimeout,
		maxAge:        DefaultMaxAge,
		probeInterval: DefaultProbeInterval,
		probeTimeout:  DefaultProbeTimeout,
		silenceLimit:  DefaultSilenceLimit,
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Grow records the number of running and waiting statements and returns how many
// connections to open now. It is to be called whenever a statement arrives.
func (p *Plan) Grow(concurrent, open, opening, limit int, now time.Time) int {
	p.demand.Observe(concurrent, now)
	return max(0, p.target(concurrent, limit)-open-opening)
}

// Step returns the actions to take now. It is to be called every few hundred
// milliseconds.
func (p *Plan) Step(v View, now time.Time) []Action {
	busy, probing := countStates(v.Conns)
	concurrent := busy + v.Waiting
	actions, lost := p.checkSilent(v, now)
	surplus := p.closeSurplus(v, concurrent, lost, now)
	actions = append(actions, surplus...)
	open := len(v.Conns) - lost - len(surplus)
	if n := p.Grow(concurrent, open, v.Opening, v.Limit, now); n > 0 {
		actions = append(actions, Open{Count: n})
	}
	return append(actions, p.probeIdle(v, probing-lost, actions, now)...)
}

func countStates(conns []Conn) (busy, probing int) {
	for _, c := range conns {
		switch c.State {
		case Busy:
			busy++
		case Probing:
			probing++
		}
	}
	return busy, probing
}

// target returns how many connections will be needed by the time that a connection
// opened now is ready.
func (p *Plan) target(concurrent, limit int) int {
	leadTime := leadFactor * p.connectTime.Seconds()
	expected := float64(concurrent) + p.demand.GrowthRate()*leadTime
	return min(limit, int(math.Ceil(expected))+p.spareConns)
}

// checkSilent closes connections with an unanswered probe and requests a check of
// silent busy ones. An unanswered probe means that the network path is lost,
// because the server answers a probe without any work. Other connections may have
// lost their path at the same time, so they are probed at once.
func (p *Plan) checkSilent(v View, now time.Time) (actions []Action, lost int) {
	for _, c := range v.Conns {
		silentFor := now.Sub(later(c.RequestSent, c.LastReceived))
		switch {
		case c.State == Probing && silentFor >= p.probeTimeout:
			actions = append(actions, Close{ID: c.ID, Reason: CloseSilent})
			lost++
			p.lastSilent = now
		case c.State == Busy && !c.CheckInProgress && silentFor >= max(p.silenceLimit, silenceFactor*c.Expected):
			actions = append(actions, Suspect{ID: c.ID})
		}
	}
	return actions, lost
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// closeSurplus closes idle connections that exceed the limit, have reached the
// maximum age or have not been needed for the idle timeout. Those unused for
// longest are closed first.
func (p *Plan) closeSurplus(v View, concurrent, lost int, now time.Time) []Action {
	open := len(v.Conns) - lost
	keep := min(p.demand.Peak(p.idleTimeout, now)+p.spareConns, v.Limit)
	keep = max(keep, p.target(concurrent, v.Limit))
	var actions []Action
	for _, c := range idleConns(v.Conns) {
		if reason := p.closeReason(c, open, keep, v.Limit, now); reason != "" {
			actions = append(actions, Close{ID: c.ID, Reason: reason})
			open--
		}
	}
	return actions
}

// idleConns returns the idle connections, ordered by last use, oldest first.
func idleConns(conns []Conn) []Conn {
	var idle []Conn
	for _, c := range conns {
		if c.State == Idle {
			idle = append(idle, c)
		}
	}
	slices.SortFunc(idle, func(a, b Conn) int {
		return cmp.Or(a.LastUsed.Compare(b.LastUsed), cmp.Compare(a.ID, b.ID))
	})
	return idle
}

func (p *Plan) closeReason(c Conn, open, keep, limit int, now time.Time) CloseReason {
	switch {
	case open > limit:
		return CloseLimit
	case p.pastMaxAge(c, now):
		return CloseAge
	case open > keep && now.Sub(later(c.Opened, c.LastUsed)) >= p.idleTimeout:
		return CloseIdle
	}
	return ""
}

// pastMaxAge reports whether c has reached the maximum age, which is reduced by a
// jitter derived from the ID of the connection.
func (p *Plan) pastMaxAge(c Conn, now time.Time) bool {
	maxJitter := p.maxAge / maxAgeJitterDivisor
	jitter := maxJitter * time.Duration(c.ID%maxAgeJitterDivisor) / maxAgeJitterDivisor
	return now.Sub(c.Opened) >= p.maxAge-jitter
}

// probeIdle returns the probes to send: on idle connections that have received
// nothing for the probe interval, or nothing since a connection was last found
// silent.
func (p *Plan) probeIdle(v View, probing int, planned []Action, now time.Time) []Action {
	var actions []Action
	for _, c := range v.Conns {
		if c.State != Idle || slices.ContainsFunc(planned, func(a Action) bool { return closes(a, c.ID) }) {
			continue
		}
		suspicious := c.LastReceived.Before(p.lastSilent)
		due := now.Sub(c.LastReceived) >= p.probeInterval && probing+len(actions) < maxRoutineProbes
		if suspicious || due {
			actions = append(actions, Probe{ID: c.ID})
		}
	}
	return actions
}

func closes(a Action, id uint64) bool {
	c, ok := a.(Close)
	return ok && c.ID == id
}

// Reuse returns the idle connection on which to run a statement, or false if there
// is none: the connection that received data last, because its network path is the
// least likely to be lost. It must have been opened in the given term or a later
// one. Connections that must first be probed, because another one was found
// silent, are skipped.
func (p *Plan) Reuse(conns []Conn, term uint64, now time.Time) (uint64, bool) {
	var best *Conn
	for i := range conns {
		c := &conns[i]
		if c.State != Idle || c.Term < term || c.LastReceived.Before(p.lastSilent) || p.pastMaxAge(*c, now) {
			continue
		}
		if best == nil || c.LastReceived.After(best.LastReceived) {
			best = c
		}
	}
	if best == nil {
		return 0, false
	}
	return best.ID, true
}
