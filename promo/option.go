package promo

import (
	"time"

	"tamarackcross/group"
)

// Defaults of a Machine.
const (
	// DefaultTimeout is how long a report counts. Together with the reporting
	// period of entries it leaves more than 1 s of the 2 s goal.
	DefaultTimeout = 600 * time.Millisecond
	// DefaultRetry is the time between attempts of one step.
	DefaultRetry = 100 * time.Millisecond
	// DefaultGrace is how long a fenced majority waits for members that may
	// hold more. A fence takes one round trip, 2 ms between zones.
	DefaultGrace = 5 * time.Millisecond
	// DefaultPromoteTimeout is how long a chosen member has to accept its
	// promotion before the next term begins.
	DefaultPromoteTimeout = 600 * time.Millisecond
	// DefaultPace is the least time between two promotions while some entry
	// still reaches the primary.
	DefaultPace = 5 * time.Second
	// DefaultTick is the period of Tick.
	DefaultTick = 100 * time.Millisecond
	// DefaultGap is the time without events that counts as a pause.
	DefaultGap = 4 * DefaultTick
	// DefaultSettle is how long reports are ignored after a pause.
	DefaultSettle = 200 * time.Millisecond
	// DefaultCatchUp is the distance in offsets at which a replica counts as
	// nearly caught up.
	DefaultCatchUp = 64
	// DefaultLeaveLimit is how long a leaving primary waits for a replica to
	// catch up. It leaves half of the 2 s for the switch itself.
	DefaultLeaveLimit = time.Second
	// DefaultSwitchLimit is how long a switch asked for by an operator waits.
	DefaultSwitchLimit = 10 * time.Second
)

type config struct {
	timeout        time.Duration
	retry          time.Duration
	grace          time.Duration
	promoteTimeout time.Duration
	pace           time.Duration
	tick           time.Duration
	gap            time.Duration
	settle         time.Duration
	catchUp        uint64
	leaveLimit     time.Duration
	switchLimit    time.Duration
	zones          int
	clip           func(group.History, group.Position) group.Position
	storeMatters   bool
}

// Option changes a Machine.
type Option func(*config)

// WithTimeout sets how long a report counts.
func WithTimeout(d time.Duration) Option { return func(c *config) { c.timeout = d } }

// WithRetry sets the time between attempts of one step.
func WithRetry(d time.Duration) Option { return func(c *config) { c.retry = d } }

// WithGrace sets how long a fenced majority waits for the other members.
func WithGrace(d time.Duration) Option { return func(c *config) { c.grace = d } }

// WithPromoteTimeout sets how long a chosen member has to accept its promotion.
func WithPromoteTimeout(d time.Duration) Option { return func(c *config) { c.promoteTimeout = d } }

// WithPace sets the least time between two promotions.
func WithPace(d time.Duration) Option { return func(c *config) { c.pace = d } }

// WithTick sets the period of Tick. A pause is four missing ticks.
func WithTick(d time.Duration) Option {
	return func(c *config) {
		c.tick = d
		c.gap = 4 * d
	}
}

// WithSettle sets how long reports are ignored after a pause.
func WithSettle(d time.Duration) Option { return func(c *config) { c.settle = d } }

// WithCatchUp sets the distance at which a replica counts as nearly caught up.
func WithCatchUp(offsets uint64) Option { return func(c *config) { c.catchUp = offsets } }

// WithLeaveLimit sets how long a leaving primary waits for a replica.
func WithLeaveLimit(d time.Duration) Option { return func(c *config) { c.leaveLimit = d } }

// WithSwitchLimit sets how long a switch asked for by an operator waits.
func WithSwitchLimit(d time.Duration) Option { return func(c *config) { c.switchLimit = d } }

func newConfig(opts []Option) config {
	c := config{
		timeout:        DefaultTimeout,
		retry:          DefaultRetry,
		grace:          DefaultGrace,
		promoteTimeout: DefaultPromoteTimeout,
		pace:           DefaultPace,
		tick:           DefaultTick,
		gap:            DefaultGap,
		settle:         DefaultSettle,
		catchUp:        DefaultCatchUp,
		leaveLimit:     DefaultLeaveLimit,
		switchLimit:    DefaultSwitchLimit,
		zones:          zonesNeeded,
		clip:           group.History.Clip,
		storeMatters:   true,
	}
	for _, opt := range opts {
		opt(&c)
	}
	return c
}
