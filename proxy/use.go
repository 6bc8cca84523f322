package proxy

import (
	"sync"
	"sync/atomic"
	"time"

	"tamarackcross/place"
	"tamarackcross/stats"
)

// customerUse is the use of the connections to the members of a service by customers.
type customerUse struct {
	stats              *stats.Registry // nil if nothing is counted
	dialing, answering atomic.Int64    // time spent on opening connections and on statements, in ns
	opened, refused    atomic.Int64    // connections that servers accepted, and refused as too many

	mu     sync.Mutex
	spread *place.Spread
}

func newCustomerUse(r *stats.Registry) *customerUse {
	return &customerUse{stats: r, spread: place.NewSpread()}
}

// customerSize is a class of customers by their demand at one backend server.
type customerSize string

const (
	smallCustomer  customerSize = "small"
	mediumCustomer customerSize = "medium"
	largeCustomer  customerSize = "large"

	// mediumRate and largeRate are the connections that a customer takes per second from which
	// it counts as medium and as large.
	mediumRate = 0.2
	largeRate  = 2.0
)

func sizeOf(rate float64) customerSize {
	switch {
	case rate >= largeRate:
		return largeCustomer
	case rate >= mediumRate:
		return mediumCustomer
	}
	return smallCustomer
}

// began records that a request of the customer takes a connection.
func (u *customerUse) began(customer string, size customerSize, reused bool, now time.Time) {
	u.mu.Lock()
	u.spread.Began(customer, now)
	u.mu.Unlock()
	if u.stats == nil {
		return
	}
	tags := map[string]string{"reused": "no", "size": string(size)}
	if reused {
		tags["reused"] = "yes"
	}
	u.stats.Scope().Tagged(tags).Counter("connections_borrowed").Inc(1)
}

func (u *customerUse) ended(customer string, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.spread.Ended(customer, now)
}

// width returns over how many of the holders the requests of the customer are to be spread, and whether
// that has changed.
func (u *customerUse) width(customer string, holders int, now time.Time) (width int, changed bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.spread.Width(customer, holders, now)
}

func (u *customerUse) forget(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.spread.Forget(now)
}

func (u *customerUse) recordDial(took time.Duration) {
	u.opened.Add(1)
	u.dialing.Add(int64(took))
}

func (u *customerUse) recordStatement(took time.Duration) { u.answering.Add(int64(took)) }

// setGauges sets the gauges of the service. dial_share is the part of the time of backend servers
// that opening connections takes.
func (u *customerUse) setGauges(service string, set stats.SetGauge) {
	tags := map[string]string{"service": service}
	dialing, answering := float64(u.dialing.Load()), float64(u.answering.Load())
	set("connections_opened", tags, float64(u.opened.Load()))
	set("connections_refused", tags, float64(u.refused.Load()))
	set("dial_seconds", tags, dialing/float64(time.Second))
	set("statement_seconds", tags, answering/float64(time.Second))
	if dialing+answering > 0 {
		set("dial_share", tags, dialing/(dialing+answering))
	}
}
