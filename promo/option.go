package promo

import (
	"time"

	"tamarackcross/group"
)

// Defaults of a Machine.
const (
	// DefaultReportTTL is how long a report counts. With the reporting interval of
	// entries added, more than 1 s remains of the 2 s allowed for a failover.
	DefaultReportTTL = 600 * time.Millisecond
	// DefaultRetryInterval is the time between attempts of the same step.
	DefaultRetryInterval = 100 * time.Millisecond
	// DefaultFenceGrace is how long a fenced majority waits for other members,
	// which may hold newer positions. Fencing takes one round trip, 2 ms between
	// zones.
	DefaultFenceGrace = 5 * time.Millisecond
	// DefaultPromoteTimeout is how long a chosen member has to accept its
	// promotion before the next term begins.
	DefaultPromoteTimeout = 600 * time.Millisecond
	// DefaultCooldown is the least time between two promotions while some entry
	// still reaches the primary.
	DefaultCooldown = 5 * time.Second
	// DefaultTickInterval is the interval between Tick events.
	DefaultTickInterval = 100 * time.Millisecond
	// DefaultPauseThreshold is how long a Machine may get no event before this
	// counts as a pause of its process.
	DefaultPauseThreshold = 4 * DefaultTickInterval
	// DefaultPauseHoldoff is how long reports are ignored after a pause.
	DefaultPauseHoldoff = 200 * time.Millisecond
	// DefaultCatchUpOffsets is how many offsets a replica may lack to count as
	// nearly caught up.
	DefaultCatchUpOffsets = 64
	// DefaultLeaveTimeout is how long a leaving primary waits for a replica to
	// catch up. Half of the 2 s allowed remains for the switchover itself.
	DefaultLeaveTimeout = time.Second
	// DefaultSwitchTimeout is how long a switchover that an operator requested
	// waits for its target to catch up.
	DefaultSwitchTimeout = 10 * time.Second
)

type config struct {
	reportTTL      time.Duration
	retryInterval  time.Duration
	fenceGrace     time.Duration
	promoteTimeout time.Duration
	cooldown       time.Duration
	tickInterval   time.Duration
	pauseThreshold time.Duration
	pauseHoldoff   time.Duration
	catchUpOffsets uint64
	leaveTimeout   time.Duration
	switchTimeout  time.Duration
	zoneQuorum     int
	clip           func(group.History, group.Position) group.Position
	checkStore     bool
}

// Option configures a Machine.
type Option func(*config)

// WithReportTTL sets how long a report counts.
func WithReportTTL(d time.Duration) Option { return func(c *config) { c.reportTTL = d } }

// WithRetryInterval sets the time between attempts of the same step.
func WithRetryInterval(d time.Duration) Option { return func(c *config) { c.retryInterval = d } }

// WithFenceGrace sets how long a fenced majority waits for the other members.
func WithFenceGrace(d time.Duration) Option { return func(c *config) { c.fenceGrace = d } }

// WithPromoteTimeout sets how long a chosen member has to accept its promotion.
func WithPromoteTimeout(d time.Duration) Option { return func(c *config) { c.promoteTimeout = d } }

// WithCooldown sets the least time between two promotions while some entry still
// reaches the primary.
func WithCooldown(d time.Duration) Option { return func(c *config) { c.cooldown = d } }

// WithTickInterval sets the interval between Tick events. Four intervals without
// an event count as a pause.
func WithTickInterval(d time.Duration) Option {
	return func(c *config) {
		c.tickInterval = d
		c.pauseThreshold = 4 * d
	}
}

// WithPauseHoldoff sets how long reports are ignored after a pause.
func WithPauseHoldoff(d time.Duration) Option { return func(c *config) { c.pauseHoldoff = d } }

// WithCatchUpOffsets sets how many offsets a replica may lack to count as nearly
// caught up.
func WithCatchUpOffsets(offsets uint64) Option { return func(c *config) { c.catchUpOffsets = offsets } }

// WithLeaveTimeout sets how long a leaving primary waits for a replica to catch
// up.
func WithLeaveTimeout(d time.Duration) Option { return func(c *config) { c.leaveTimeout = d } }

// WithSwitchTimeout sets how long a switchover that an operator requested waits
// for its target to catch up.
func WithSwitchTimeout(d time.Duration) Option { return func(c *config) { c.switchTimeout = d } }

func newConfig(opts []Option) config {
	c := config{
		reportTTL:      DefaultReportTTL,
		retryInterval:  DefaultRetryInterval,
		fenceGrace:     DefaultFenceGrace,
		promoteTimeout: DefaultPromoteTimeout,
		cooldown:       DefaultCooldown,
		tickInterval:   DefaultTickInterval,
		pauseThreshold: DefaultPauseThreshold,
		pauseHoldoff:   DefaultPauseHoldoff,
		catchUpOffsets: DefaultCatchUpOffsets,
		leaveTimeout:   DefaultLeaveTimeout,
		switchTimeout:  DefaultSwitchTimeout,
		zoneQuorum:     defaultZoneQuorum,
		clip:           group.History.Clip,
		checkStore:     true,
	}
	for _, opt := range opts {
		opt(&c)
	}
	return c
}
