package proxy

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tamarackcross/config"
	"tamarackcross/place"
	"tamarackcross/stats"
)

// Where callers identify themselves as customers and some instances hold the connections, the
// requests of a customer go to the same holders, since a connection serves only one customer.

const (
	// hintLifetime is how long the load that a holder told counts.
	hintLifetime = time.Second
	// nearFactor is how many connections to a backend server a holder in its zone has for each one
	// of a holder in another zone, which needs them only for the primary and in place of a lost
	// replica.
	nearFactor = 3
)

// customerShares returns the shares of a holder where connections serve only one customer each. The
// holders have all of them.
func customerShares(cfg config.Service, zones int) connShares {
	conns := cfg.MaxConns - reservedControlConns
	holders := place.HoldersPerZone(conns, zones)
	conns -= holders * zones * probeConns
	far := max(minConnShare, conns/(holders*(zones-1+nearFactor)))
	return connShares{base: far, sameZone: max(far, conns/holders-far*(zones-1)), keepIdle: true}
}

// homeTable is what an instance knows of the holders of customers. It is guarded by mu of the
// service.
type homeTable struct {
	ranker *place.Ranker
	loads  map[string]toldLoad // by holder
	widths map[string]int      // by customer, if more than one holder has it
}

type toldLoad struct {
	requests int
	at       time.Time
}

// moveCustomers makes the named instances the holders. The caller holds v.mu.
func (v *service) moveCustomers(names []string) {
	old := v.homes.ranker
	v.homes = homeTable{ranker: place.NewRanker(v.name, names), loads: make(map[string]toldLoad), widths: make(map[string]int)}
	doc := v.srv.doc.Load()
	if old == nil || doc == nil || len(doc.Customers) == 0 {
		return
	}
	moved := 0
	for name := range doc.Customers {
		if !slices.Equal(old.Rank(name, 1, nil), v.homes.ranker.Rank(name, 1, nil)) {
			moved++
		}
	}
	v.log.Info().Strs("was", v.holders).Strs("holders", names).Int("moved", moved).Int("customers", len(doc.Customers)).Msg("holders changed; connections of moved customers are kept elsewhere")
}

// chooseHome returns the holder to which a request of the customer is forwarded, or nil if this
// instance is to run it or no holder answers. The caller holds v.mu and the mutex of the peers.
func (v *service) chooseHome(customer string, tried []string) *peer {
	if v.homes.ranker == nil {
		return nil
	}
	now, p := v.srv.now(), v.srv.peers
	var homes []place.Home
	for _, name := range v.homes.ranker.Rank(customer, place.MaxHolders, nil) {
		h := place.Home{Holder: place.Holder{Name: name}}
		e := p.byName[name]
		switch {
		case name == v.srv.name:
			h.Load = v.loadLocked()
		case e == nil || slices.Contains(tried, name):
			continue
		default:
			h.InFlight, h.Failing, h.AnsweredSince = len(e.borrowed), e.failing, e.answered
			if told := v.homes.loads[name]; now.Sub(told.at) <= hintLifetime {
				h.Load = told.requests
			}
		}
		homes = append(homes, h)
	}
	name, ok := place.ChooseHome(homes, v.homes.widths[customer], now, v.rnd)
	if !ok || name == v.srv.name {
		return nil
	}
	return p.byName[name]
}

// loadLocked returns the number of requests that have a connection or wait for one here. The caller
// holds v.mu.
func (v *service) loadLocked() int {
	n := 0
	for _, m := range v.members {
		n += m.connQueue.load()
	}
	return n
}

// holderHint returns what this instance tells of itself with its answer.
func (v *service) holderHint(customer string) HolderHint {
	if customer == "" {
		return HolderHint{}
	}
	v.mu.Lock()
	load, holders := v.loadLocked(), len(v.holders)
	v.mu.Unlock()
	return HolderHint{Load: load, Width: v.use.width(customer, holders, v.srv.now())}
}

// recordHolderHint records what a holder told with its answer. The first holder of a customer that
// answers decides over how many its requests are spread.
func (v *service) recordHolderHint(holder, customer string, h HolderHint) {
	now, p := v.srv.now(), v.srv.peers
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.homes.ranker == nil {
		return
	}
	v.homes.loads[holder] = toldLoad{requests: h.Load, at: now}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range v.homes.ranker.Rank(customer, place.MaxHolders, nil) {
		switch e := p.byName[name]; {
		case name == holder && h.Width > 1:
			v.homes.widths[customer] = h.Width
			return
		case name == holder:
			delete(v.homes.widths, customer)
			return
		case e != nil && !e.failing:
			return
		}
	}
}

// customerUse is the use of the connections to the members of a service by customers.
type customerUse struct {
	stats              *stats.Registry // nil if nothing is counted
	dialing, answering atomic.Int64    // time spent on opening connections and on statements, in ns
	opened             atomic.Int64

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

// width returns over how many of the holders the requests of the customer are to be spread.
func (u *customerUse) width(customer string, holders int, now time.Time) int {
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
	set("dial_seconds", tags, dialing/float64(time.Second))
	set("statement_seconds", tags, answering/float64(time.Second))
	if dialing+answering > 0 {
		set("dial_share", tags, dialing/(dialing+answering))
	}
}
