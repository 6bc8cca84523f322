// Package keep decides which idle connections of an instance to a backend server stay open where
// each connection serves only one customer. The load that it answers: many more customers than
// connections, a few of them with most of the demand, and a new connection that costs the server
// as much as a statement.
//
// An idle connection is worth what it saves: a dial, as often as its customer needs one connection
// as many as it has now. The one that is expected to wait longest for its next use goes first.
package keep

import (
	"math"
	"slices"
	"time"
)

const (
	// DefaultWindow is the time constant of the demand of a customer: some uses of a customer that
	// comes every few seconds, and a change of demand shows within a few seconds.
	DefaultWindow = 20 * time.Second
	// DefaultIdleLimit is how long an unused connection may stay within the share of the instance:
	// half of the 60 s after which the backend servers of the users close it.
	DefaultIdleLimit = 30 * time.Second
	// DefaultExcessLimit is the longest expected time to the next use of a connection beyond the
	// share, whose place another instance may need.
	DefaultExcessLimit = time.Second
	// maxDepth is the number of connections of one customer that are told apart.
	maxDepth = 16
	// forgotten is the demand, in uses per window, below which a customer is dropped.
	forgotten = 0.01
)

// Idle is an idle connection.
type Idle struct {
	Customer string
	LastUsed time.Time
}

// Table holds the demand of each customer for connections to one backend server. It is not safe
// for concurrent use.
type Table struct {
	window, idleLimit, excessLimit time.Duration
	customers                      map[string]*usage
}

// usage is the demand of one customer.
type usage struct {
	inUse   int
	updated time.Time
	// uses[n] counts the requests that found n connections of the customer in use, each with a
	// weight that falls with its age.
	uses [maxDepth]float64
}

// Option configures a Table.
type Option func(*Table)

// WithWindow sets the time constant of the demand.
func WithWindow(d time.Duration) Option { return func(t *Table) { t.window = d } }

// WithIdleLimit sets how long an unused connection may stay.
func WithIdleLimit(d time.Duration) Option { return func(t *Table) { t.idleLimit = d } }

// WithExcessLimit sets the longest expected time to the next use of a connection beyond the share.
func WithExcessLimit(d time.Duration) Option { return func(t *Table) { t.excessLimit = d } }

// New returns an empty table.
func New(opts ...Option) *Table {
	t := &Table{window: DefaultWindow, idleLimit: DefaultIdleLimit, excessLimit: DefaultExcessLimit, customers: make(map[string]*usage)}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Borrowed records that a request of the customer takes a connection, an idle or a new one.
func (t *Table) Borrowed(customer string, now time.Time) {
	u := t.customers[customer]
	if u == nil {
		u = &usage{updated: now}
		t.customers[customer] = u
	}
	t.decay(u, now)
	u.uses[min(u.inUse, maxDepth-1)]++
	u.inUse++
}

// Returned records that a request of the customer gives its connection back.
func (t *Table) Returned(customer string, now time.Time) {
	if u := t.customers[customer]; u != nil {
		t.decay(u, now)
		u.inUse = max(0, u.inUse-1)
	}
}

// InUse returns the number of connections of the customer in use.
func (t *Table) InUse(customer string) int {
	if u := t.customers[customer]; u != nil {
		return u.inUse
	}
	return 0
}

// Rate returns how often the customer takes a connection, per second.
func (t *Table) Rate(customer string, now time.Time) float64 { return t.rateBeyond(customer, 0, now) }

// rateBeyond returns how often, per second, the customer needs more than n connections at a time.
func (t *Table) rateBeyond(customer string, n int, now time.Time) float64 {
	u := t.customers[customer]
	if u == nil {
		return 0
	}
	sum := 0.0
	for _, uses := range u.uses[min(n, maxDepth):] {
		sum += uses
	}
	return sum * t.weight(now.Sub(u.updated)) / t.window.Seconds()
}

// Victim returns the index of the idle connection to close first: the one with the lowest rate of
// use, and of several those that were unused for longest. idle must not be empty.
func (t *Table) Victim(idle []Idle, now time.Time) int {
	rates := t.rates(idle, now)
	best := 0
	for i := range idle {
		if rates[i] < rates[best] || rates[i] == rates[best] && idle[i].LastUsed.Before(idle[best].LastUsed) {
			best = i
		}
	}
	return best
}

// Expired returns the indexes, in ascending order, of the idle connections to close now. The
// instance holds inUse further ones, and share is how many it may keep whatever others need.
func (t *Table) Expired(idle []Idle, inUse, share int, now time.Time) []int {
	var out []int
	rates := t.rates(idle, now)
	for i, c := range idle {
		if now.Sub(c.LastUsed) >= t.idleLimit {
			out = append(out, i)
		}
	}
	excess := len(idle) - len(out) + inUse - share
	if excess <= 0 {
		return out
	}
	order := make([]int, 0, len(idle))
	for i, c := range idle {
		unused := now.Sub(c.LastUsed)
		if unused < t.idleLimit && unused >= t.excessLimit && rates[i]*t.excessLimit.Seconds() < 1 {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		switch {
		case rates[a] < rates[b]:
			return -1
		case rates[a] > rates[b]:
			return 1
		default:
			return idle[a].LastUsed.Compare(idle[b].LastUsed)
		}
	})
	out = append(out, order[:min(excess, len(order))]...)
	slices.Sort(out)
	return out
}

// rates returns, for each idle connection, how often per second its customer needs as many
// connections as it has.
func (t *Table) rates(idle []Idle, now time.Time) []float64 {
	count := make(map[string]int, len(idle))
	for _, c := range idle {
		count[c.Customer]++
	}
	out := make([]float64, len(idle))
	for i, c := range idle {
		out[i] = t.rateBeyond(c.Customer, t.InUse(c.Customer)+count[c.Customer]-1, now)
	}
	return out
}

// Forget drops customers that have no connection in use and hardly any demand left.
func (t *Table) Forget(now time.Time) {
	for name, u := range t.customers {
		if u.inUse == 0 && t.rateBeyond(name, 0, now)*t.window.Seconds() < forgotten {
			delete(t.customers, name)
		}
	}
}

// decay brings the weights of earlier uses to now.
func (t *Table) decay(u *usage, now time.Time) {
	w := t.weight(now.Sub(u.updated))
	for n := range u.uses {
		u.uses[n] *= w
	}
	u.updated = now
}

func (t *Table) weight(age time.Duration) float64 {
	return math.Exp(-max(0, age.Seconds()) / t.window.Seconds())
}
