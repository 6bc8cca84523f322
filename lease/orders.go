package lease

import (
	"slices"
	"time"
)

// lateOrderLimit is how long after it was sent the platform may carry out an order to which
// it gave no answer: 12 s and a margin.
const lateOrderLimit = 13 * time.Second

// openOrder is an order that the platform may still carry out.
type openOrder struct {
	target string
	token  uint64
	until  time.Time
}

// orders tracks the promotion orders of one service to which the platform gave no answer. It
// may carry one out after a later one, so that the member it names leads although another
// one was appointed.
type orders struct {
	open      []openOrder
	newest    uint64 // token
	changedAt time.Time
	// stepped is a member that answered, when no order for it was open, that it stepped down.
	stepped string
}

func (o *orders) add(target string, token uint64, now time.Time) {
	o.newest, o.changedAt, o.stepped = max(o.newest, token), now, ""
	o.remove(func(e openOrder) bool { return e.token == token })
	o.open = append(o.open, openOrder{target: target, token: token, until: now.Add(lateOrderLimit)})
}

// accepted closes an order that was sent at sentAt, and those that could not be carried out
// any more when it was sent. An order that is not the newest may have been carried out after
// the newest one.
func (o *orders) accepted(token uint64, sentAt, now time.Time) {
	o.changedAt = now
	if token >= o.newest {
		o.remove(func(e openOrder) bool { return e.token == token || !sentAt.Before(e.until) })
		return
	}
	for i, e := range o.open {
		if e.token == token {
			o.open[i].until = now
		}
	}
}

func (o *orders) remove(f func(openOrder) bool) { o.open = slices.DeleteFunc(o.open, f) }

// names reports whether an open order names the member.
func (o *orders) names(member string) bool {
	return slices.ContainsFunc(o.open, func(e openOrder) bool { return e.target == member })
}

// OrderState tells whether open orders prevent reliance on the appointed primary.
type OrderState uint8

// The states.
const (
	Settled  OrderState = iota // no open order can make another member the primary
	Pending                    // the platform may still carry out an order for another member
	Reassert                   // it cannot any more, but may have done so: the appointed member must be promoted again
)

// state returns the state if target is the appointed primary.
func (o *orders) state(target string, now time.Time) OrderState {
	out := Settled
	for _, e := range o.open {
		switch {
		case e.target == target:
		case now.Before(e.until):
			return Pending
		default:
			out = Reassert
		}
	}
	return out
}

// AddOrder records an order that may have been sent at now. An order that is known already is
// open for longer.
func (g *Grantor) AddOrder(service, target string, token uint64, now time.Time) {
	g.ordersOf(service).add(target, token, now)
}

// CloseOrder records that the platform will not carry out an order: it refused it, or the
// order was not sent.
func (g *Grantor) CloseOrder(service string, token uint64, now time.Time) {
	o := g.ordersOf(service)
	o.changedAt = now
	o.remove(func(e openOrder) bool { return e.token == token })
}

// AcceptOrder records that the platform accepted an order that was sent at sentAt.
func (g *Grantor) AcceptOrder(service string, token uint64, sentAt, now time.Time) {
	g.ordersOf(service).accepted(token, sentAt, now)
}

// SteppedDown records that a member which was asked at askedAt answered that it stepped down.
// It does not count if an order may have made the member the primary since.
func (g *Grantor) SteppedDown(service, member string, askedAt time.Time) {
	if o := g.ordersOf(service); !o.names(member) && askedAt.After(o.changedAt) {
		o.stepped = member
	}
}

// OpenTokens returns the tokens of the open orders of a service.
func (g *Grantor) OpenTokens(service string) []uint64 {
	var out []uint64
	for _, e := range g.ordersOf(service).open {
		out = append(out, e.token)
	}
	return out
}

// OrderState returns the state of a service whose appointed primary is target.
func (g *Grantor) OrderState(service, target string, now time.Time) OrderState {
	return g.ordersOf(service).state(target, now)
}

func (g *Grantor) ordersOf(service string) *orders {
	o := g.orders[service]
	if o == nil {
		o = new(orders)
		g.orders[service] = o
	}
	return o
}
