package duty

import (
	"slices"
	"time"
)

// An order that gets no answer may be carried out later. For a promotion that means: until it is known to be
// refused or carried out, or lateOrderLimit has passed, its target may become the primary at any moment. Where
// commits wait for replicas, no other member is promoted meanwhile, since the target could acknowledge commits
// that the other one lacks. The control log keeps such orders, so that a new leader knows of them.

// lateOrderLimit is how long after it was sent the platform, or a member, may carry out an order to which
// it gave no answer.
const lateOrderLimit = 13 * time.Second

// closeInterval is the time between attempts to record in the log that an order cannot be carried out any more.
const closeInterval = 500 * time.Millisecond

// OpenOrder is a promotion order that may still be carried out, as far as the control log tells.
type OpenOrder struct {
	Target string
	Token  uint64
}

// openOrders is what a Supervisor knows of the open orders beyond the control log.
type openOrders struct {
	viewed   bool                 // the first view has been seen
	until    map[uint64]time.Time // by token: when they cannot be carried out any more
	closedAt time.Time            // last attempt to record that
}

// recordOrders updates what is known of the orders that are open in the view. One in the first view may just have
// been sent, by an earlier leader. Later ones are of this Supervisor, which records when it sends them.
func (s *Supervisor) recordOrders(now time.Time) {
	until := make(map[uint64]time.Time, len(s.view.Open))
	for _, o := range s.view.Open {
		t, known := s.orders.until[o.Token]
		switch {
		case known:
			until[o.Token] = t
		case s.orders.viewed:
			until[o.Token] = now
		default:
			until[o.Token] = now.Add(lateOrderLimit)
		}
	}
	s.orders.until, s.orders.viewed = until, true
}

// orderSent records that an order is sent now.
func (s *Supervisor) orderSent(token uint64, now time.Time) {
	s.setUntil(token, now.Add(lateOrderLimit))
}

// orderRefused records that an order will not be carried out.
func (s *Supervisor) orderRefused(token uint64, now time.Time) { s.setUntil(token, now) }

// ordersDone records that the order with a token has been carried out. The platform refuses earlier ones then.
func (s *Supervisor) ordersDone(token uint64, now time.Time) {
	for _, o := range s.view.Open {
		if o.Token <= token {
			s.setUntil(o.Token, now)
		}
	}
}

func (s *Supervisor) setUntil(token uint64, t time.Time) {
	if s.orders.until == nil {
		s.orders.until = make(map[uint64]time.Time)
	}
	s.orders.until[token] = t
}

// openTarget returns the member that an order names which may still be carried out, or "". An order for the
// given primary changes nothing.
func (s *Supervisor) openTarget(primary string, now time.Time) string {
	i := slices.IndexFunc(s.view.Open, func(o OpenOrder) bool {
		return o.Target != primary && now.Before(s.orders.until[o.Token])
	})
	if i < 0 {
		return ""
	}
	return s.view.Open[i].Target
}

// closeOrders requests that the control log forgets the orders that cannot be carried out any more. Where
// successions overlap, the leases decide about that.
func (s *Supervisor) closeOrders(now time.Time) []Action {
	aboutToSend := s.phase >= issuingToken && s.phase <= promoting
	if s.overlap.enabled || aboutToSend || now.Sub(s.orders.closedAt) < closeInterval {
		return nil
	}
	var tokens []uint64
	for _, o := range s.view.Open {
		if !now.Before(s.orders.until[o.Token]) {
			tokens = append(tokens, o.Token)
		}
	}
	if len(tokens) == 0 {
		return nil
	}
	s.orders.closedAt = now
	return []Action{CloseOrders{Tokens: tokens}}
}

// chooseOrdered returns the member to promote where commits wait for replicas: best, or the target of an order that
// may still be carried out. It returns false if nobody may be promoted, since that target holds less than best.
func (s *Supervisor) chooseOrdered(best Status, now time.Time) (id string, ok bool) {
	// The old primary counts as well: it may have stepped down, and lead again by such an order.
	open := s.openTarget("", now)
	if open == "" || open == best.ID {
		return best.ID, true
	}
	st, answered := s.statuses[open]
	switch {
	case !answered || st.Err != nil || st.Primary || !s.isKept(st):
		return "", false
	case !s.planned && st.Received.Less(best.Received):
		return "", false
	}
	return open, true
}
