// Package pool decides about the connections to one backend server: which to
// open ahead of demand, which to reuse, probe and close.
package pool

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// State is what a connection is doing.
type State uint8

// The states of a connection.
const (
	Idle State = iota
	Busy
	Probing
)

// Conn describes one open connection.
type Conn struct {
	ID       uint64
	State    State
	Term     uint64        // of the group when the connection was opened
	Opened   time.Time     // when it was opened
	Used     time.Time     // when a statement last returned it, zero if none did
	Answered time.Time     // when the backend server last sent something
	Asked    time.Time     // when the unanswered request or probe was sent
	Expected time.Duration // of the running statement, 0 if unknown
	Suspect  bool          // a Suspect action is being worked on
}

// View is the state of the connections to one member.
type View struct {
	Conns   []Conn
	Opening int // connections being opened
	Waiting int // statements that wait for a connection
	Limit   int // connections granted to this instance
}

// CloseReason says why a connection is closed.
type CloseReason string

// The reasons for closing a connection.
const (
	CloseLimit  CloseReason = "limit"  // more connections than granted
	CloseIdle   CloseReason = "idle"   // not needed for some time
	CloseAge    CloseReason = "age"    // open for the maximum age
	CloseSilent CloseReason = "silent" // a probe was not answered
)

// Action is a decision of Plan: Open, Close, Probe or Suspect.
type Action interface{ action() }

// Open opens Count connections.
type Open struct{ Count int }

// Close closes an idle or probing connection.
type Close struct {
	ID     uint64
	Reason CloseReason
}

// Probe sends an empty request on an idle connection and sets it to Probing.
type Probe struct{ ID uint64 }

// Suspect asks to find out, on another connection, whether the silent statement
// of a busy connection still runs or its path is lost.
type Suspect struct{ ID uint64 }

func (Open) action()    {}
func (Close) action()   {}
func (Probe) action()   {}
func (Suspect) action() {}

// Defaults of a Plan.
const (
	// DefaultConnect is the cost of a new connection.
	DefaultConnect = 10 * time.Millisecond
	// DefaultSpare is the number of idle connections kept ready.
	DefaultSpare = 2
	// DefaultIdle is how long a connection that is not needed stays open.
	DefaultIdle = 30 * time.Second
	// DefaultAge bounds the life of a connection.
	DefaultAge = 30 * time.Minute
	// DefaultProbe is how long a connection may be idle without being probed.
	DefaultProbe = 5 * time.Second
	// DefaultAnswer is how long a probe may take.
	DefaultAnswer = time.Second
	// DefaultSilence is how long a statement may send nothing.
	DefaultSilence = 2 * time.Second

	// silenceFactor allows long statements several times their expected duration.
	silenceFactor = 4
	// aheadFactor covers the time to notice a rise besides the time to connect.
	// Measured by TestRamp, tenfold demand within 100 ms: 7.3% of the statements
	// wait for a connection with 1, 5.0% with 4, none with 8.
	aheadFactor = 4
	// ageSpread spreads the ends of connections opened together over a tenth of
	// the maximum age.
	ageSpread = 10
	// maxProbes bounds the probes in flight without an alarm.
	maxProbes = 2
)

// Plan decides about the connections to one member. It is not safe for
// concurrent use.
type Plan struct {
	demand  Demand
	connect time.Duration
	spare   int
	idle    time.Duration
	age     time.Duration
	probe   time.Duration
	answer  time.Duration
	silence time.Duration
	alarm   time.Time // when a connection was last found silent
}

// Option changes a Plan.
type Option func(*Plan)

// WithConnect sets the time that opening a connection takes.
func WithConnect(d time.Duration) Option { return func(p *Plan) { p.connect = d } }

// WithSpare sets the number of idle connections kept ready.
func WithSpare(n int) Option { return func(p *Plan) { p.spare = n } }

// WithIdle sets how long a connection that is not needed stays open.
func WithIdle(d time.Duration) Option { return func(p *Plan) { p.idle = d } }

// WithAge sets the maximum age of a connection.
func WithAge(d time.Duration) Option { return func(p *Plan) { p.age = d } }

// WithProbe sets how long a connection may be idle without being probed.
func WithProbe(d time.Duration) Option { return func(p *Plan) { p.probe = d } }

// WithAnswer sets how long a probe may take.
func WithAnswer(d time.Duration) Option { return func(p *Plan) { p.answer = d } }

// WithSilence sets how long a statement may send nothing.
func WithSilence(d time.Duration) Option { return func(p *Plan) { p.silence = d } }

// New returns a Plan.
func New(opts ...Option) *Plan {
	p := &Plan{
		connect: DefaultConnect,
		spare:   DefaultSpare,
		idle:    DefaultIdle,
		age:     DefaultAge,
		probe:   DefaultProbe,
		answer:  DefaultAnswer,
		silence: DefaultSilence,
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Grow records the number of running and waiting statements, and returns how
// many connections to open now. It is called at each arrival.
func (p *Plan) Grow(concurrent, open, opening, limit int, now time.Time) int {
	p.demand.Observe(concurrent, now)
	return max(0, p.ahead(concurrent, limit)-open-opening)
}

// Step returns what to do now. It is called every few hundred milliseconds.
func (p *Plan) Step(v View, now time.Time) []Action {
	busy, probing := count(v.Conns)
	concurrent := busy + v.Waiting
	actions, lost := p.silent(v, now)
	surplus := p.surplus(v, concurrent, lost, now)
	actions = append(actions, surplus...)
	open := len(v.Conns) - lost - len(surplus)
	if n := p.Grow(concurrent, open, v.Opening, v.Limit, now); n > 0 {
		actions = append(actions, Open{Count: n})
	}
	return append(actions, p.probes(v, probing-lost, actions, now)...)
}

func count(conns []Conn) (busy, probing int) {
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

// ahead returns how many connections are needed by the time a connection opened
// now is ready.
func (p *Plan) ahead(concurrent, limit int) int {
	lead := aheadFactor * p.connect.Seconds()
	expected := float64(concurrent) + p.demand.Rise()*lead
	return min(limit, int(math.Ceil(expected))+p.spare)
}

// silent finds connections without an answer. A probe has nothing to compute,
// so an unanswered one means that the path is lost; the other connections may
// have lost theirs at the same time and are probed at once.
func (p *Plan) silent(v View, now time.Time) (actions []Action, lost int) {
	for _, c := range v.Conns {
		quiet := now.Sub(later(c.Asked, c.Answered))
		switch {
		case c.State == Probing && quiet >= p.answer:
			actions = append(actions, Close{ID: c.ID, Reason: CloseSilent})
			lost++
			p.alarm = now
		case c.State == Busy && !c.Suspect && quiet >= max(p.silence, silenceFactor*c.Expected):
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

// surplus closes idle connections over the limit, over their age, or not needed
// for some time. The longest unused ones go first.
func (p *Plan) surplus(v View, concurrent, lost int, now time.Time) []Action {
	open := len(v.Conns) - lost
	keep := min(p.demand.Peak(p.idle, now)+p.spare, v.Limit)
	keep = max(keep, p.ahead(concurrent, v.Limit))
	var actions []Action
	for _, c := range idleConns(v.Conns) {
		if reason := p.closing(c, open, keep, v.Limit, now); reason != "" {
			actions = append(actions, Close{ID: c.ID, Reason: reason})
			open--
		}
	}
	return actions
}

// idleConns returns the idle connections, the longest unused first.
func idleConns(conns []Conn) []Conn {
	var idle []Conn
	for _, c := range conns {
		if c.State == Idle {
			idle = append(idle, c)
		}
	}
	slices.SortFunc(idle, func(a, b Conn) int {
		return cmp.Or(a.Used.Compare(b.Used), cmp.Compare(a.ID, b.ID))
	})
	return idle
}

func (p *Plan) closing(c Conn, open, keep, limit int, now time.Time) CloseReason {
	switch {
	case open > limit:
		return CloseLimit
	case p.aged(c, now):
		return CloseAge
	case open > keep && now.Sub(later(c.Opened, c.Used)) >= p.idle:
		return CloseIdle
	}
	return ""
}

// aged reports whether a connection has reached its age. The identifier spreads
// the ends of connections that were opened together.
func (p *Plan) aged(c Conn, now time.Time) bool {
	spread := p.age / ageSpread
	own := spread * time.Duration(c.ID%ageSpread) / ageSpread
	return now.Sub(c.Opened) >= p.age-own
}

// probes returns the probes of idle connections that have been quiet for long,
// or since before the last alarm.
func (p *Plan) probes(v View, probing int, before []Action, now time.Time) []Action {
	var actions []Action
	for _, c := range v.Conns {
		if c.State != Idle || slices.ContainsFunc(before, func(a Action) bool { return closes(a, c.ID) }) {
			continue
		}
		alarmed := c.Answered.Before(p.alarm)
		due := now.Sub(c.Answered) >= p.probe && probing+len(actions) < maxProbes
		if alarmed || due {
			actions = append(actions, Probe{ID: c.ID})
		}
	}
	return actions
}

func closes(a Action, id uint64) bool {
	c, ok := a.(Close)
	return ok && c.ID == id
}

// Reuse returns the idle connection to borrow: the one that answered last, as
// its path is the least likely to be lost. Its term must be at least term.
// Connections that have to be probed after an alarm are passed over.
func (p *Plan) Reuse(conns []Conn, term uint64, now time.Time) (uint64, bool) {
	var best *Conn
	for i := range conns {
		c := &conns[i]
		if c.State != Idle || c.Term < term || c.Answered.Before(p.alarm) || p.aged(*c, now) {
			continue
		}
		if best == nil || c.Answered.After(best.Answered) {
			best = c
		}
	}
	if best == nil {
		return 0, false
	}
	return best.ID, true
}
