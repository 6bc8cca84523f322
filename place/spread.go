package place

import (
	"math"
	"time"
)

const (
	// spreadLoad is the mean number of connections of one customer in use at a holder above which
	// its requests are spread over one holder more. A customer that uses several at a time loses
	// little by it: each holder still reuses its connections.
	spreadLoad = 2.0
	// narrowLoad is the mean per holder below which they are spread over one holder less.
	narrowLoad = 0.8
	// narrowDelay is how long the load must stay below it.
	narrowDelay = 5 * time.Second
	// settleDelay is the least time between steps: the mean follows a step within it.
	settleDelay = 2 * loadWindow
	// loadWindow is the time constant of the mean.
	loadWindow = time.Second
	// forgetAfter is how long a customer without requests is remembered.
	forgetAfter = 30 * time.Second
)

// Spread decides at a holder over how many holders the requests of each customer of a service are
// spread. The load that it answers: a customer that sends many times its usual. It counts what
// arrives here, and reckons with as much at each other holder of the customer. It is not safe for
// concurrent use.
type Spread struct{ customers map[string]*customerLoad }

type customerLoad struct {
	inUse     int
	mean      float64 // moving average of inUse
	updated   time.Time
	width     int
	lowSince  time.Time // since when the load would fit fewer holders, or zero
	widened   time.Time
	lastEnded time.Time
}

// NewSpread returns a Spread without any customers.
func NewSpread() *Spread { return &Spread{customers: make(map[string]*customerLoad)} }

// Began records that a request or transaction of the customer begins.
func (s *Spread) Began(customer string, now time.Time) {
	c := s.customers[customer]
	if c == nil {
		c = &customerLoad{updated: now, width: 1}
		s.customers[customer] = c
	}
	c.advance(now)
	c.inUse++
}

// Ended records that it has ended.
func (s *Spread) Ended(customer string, now time.Time) {
	if c := s.customers[customer]; c != nil {
		c.advance(now)
		c.inUse--
		c.lastEnded = now
	}
}

// Width returns over how many of holders the requests of the customer are to be spread, and whether
// that has changed since the last call.
func (s *Spread) Width(customer string, holders int, now time.Time) (width int, changed bool) {
	c := s.customers[customer]
	if c == nil {
		return 1, false
	}
	was := c.width
	c.advance(now)
	c.width = min(max(1, c.width), max(1, holders))
	total := c.mean * float64(c.width)
	switch {
	case c.mean > spreadLoad && now.Sub(c.widened) >= settleDelay:
		c.width = min(max(1, holders), int(math.Ceil(total/spreadLoad)))
		c.lowSince, c.widened = time.Time{}, now
	case c.width == 1 || total/float64(c.width-1) > narrowLoad:
		c.lowSince = time.Time{}
	case c.lowSince.IsZero():
		c.lowSince = now
	case now.Sub(c.lowSince) >= narrowDelay:
		c.width, c.lowSince = c.width-1, time.Time{}
	}
	return c.width, c.width != was
}

// Forget drops customers that have had no request for a while.
func (s *Spread) Forget(now time.Time) {
	for name, c := range s.customers {
		if c.inUse == 0 && now.Sub(c.lastEnded) >= forgetAfter {
			delete(s.customers, name)
		}
	}
}

// advance brings the moving average to now.
func (c *customerLoad) advance(now time.Time) {
	if now.After(c.updated) {
		w := math.Exp(-now.Sub(c.updated).Seconds() / loadWindow.Seconds())
		c.mean = c.mean*w + float64(c.inUse)*(1-w)
		c.updated = now
	}
}
