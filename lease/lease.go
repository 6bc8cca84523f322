// Package lease decides which instances may rely on the primary of a service, and when
// another member may be promoted. It is for services whose former primary goes on to
// acknowledge commits after a promotion, until somebody tells it to step down.
//
// The leader of control grants leases (Grantor). An instance relies on a member as the
// primary, for a commit or for a proof of primary, only while it holds a lease that names
// the member (Holder). The leader has another member promoted only when no lease of the
// service is in force any more, or when the primary has answered that it stepped down. It
// also keeps track of the promotion orders that the platform may still carry out.
//
// A lease counts from the time at which a majority confirmed the leader. An instance counts
// it from before its request, control from after its answer, so that the instance never
// relies on it longer than control waits.
//
// The types hold no clock and are not safe for concurrent use. All times come from a clock
// that advances while the machine is suspended.
package lease

import (
	"maps"
	"slices"
	"time"
)

const (
	// Duration is how long a lease lasts from the time at which a majority confirmed the
	// leader that grants it. Three renewals fit into it, or an election and one renewal.
	Duration = 1200 * time.Millisecond
	// driftMargin is how much longer control waits, for clocks that run at rates which
	// differ by up to 2%.
	driftMargin = Duration / 50
)

// Appointment names the primary of a service.
type Appointment struct {
	Member string // empty if no promotion was ever ordered: only one member can act as the primary
	Epoch  uint64 // token of the first of the latest orders that all named Member, or 0
}

// names reports whether the appointment allows member to act as the primary.
func (a Appointment) names(member string) bool { return a.Member == "" || a.Member == member }

// Grant carries the leases of one holder. It replaces the earlier grants of the same giver.
type Grant struct {
	Number       uint64        // increases with every grant of a giver
	Valid        time.Duration // from the time at which the holder asked
	Appointments map[string]Appointment
}

// sentGrant is a grant that a holder may have in force.
type sentGrant struct {
	number       uint64
	until        time.Time
	appointments map[string]Appointment
}

// Grantor grants the leases while an instance of control leads. Each term of a leader has a
// Grantor of its own.
type Grantor struct {
	started  time.Time              // when the instance became the leader, or later
	number   uint64                 // of the last grant
	sent     map[string][]sentGrant // by holder
	recalled map[string]bool        // by service
	orders   map[string]*orders     // by service
}

// NewGrantor returns the Grantor of a leader that has just been elected. number is that of
// the last grant of the same instance in earlier terms.
func NewGrantor(number uint64, now time.Time) *Grantor {
	return &Grantor{started: now, number: number, sent: make(map[string][]sentGrant), recalled: make(map[string]bool), orders: make(map[string]*orders)}
}

// Number returns the number of the last grant.
func (g *Grantor) Number() uint64 { return g.number }

// Grantable returns those of the appointments that a grant may contain now: those of services
// that are neither recalled nor have an open order for another member.
func (g *Grantor) Grantable(appointments map[string]Appointment, now time.Time) map[string]Appointment {
	out := make(map[string]Appointment, len(appointments))
	for service, a := range appointments {
		if !g.recalled[service] && g.OrderState(service, a.Member, now) == Settled {
			out[service] = a
		}
	}
	return out
}

// Grant grants those of the appointments that it may to a holder. confirmed is the start of the
// latest round in which a majority confirmed that the instance leads. The result is false if
// that is too long ago.
func (g *Grantor) Grant(holder string, appointments map[string]Appointment, confirmed, now time.Time) (Grant, bool) {
	valid := confirmed.Add(Duration).Sub(now)
	if valid <= 0 {
		return Grant{}, false
	}
	granted := g.Grantable(appointments, now)
	g.number++
	g.sent[holder] = append(g.sent[holder], sentGrant{number: g.number, until: confirmed.Add(Duration + driftMargin), appointments: granted})
	return Grant{Number: g.number, Valid: valid, Appointments: granted}, true
}

// Applied records that a holder has applied the grant with a number, and no later one. A number
// that is not known, such as that of an earlier run of this instance, tells nothing.
func (g *Grantor) Applied(holder string, number uint64, now time.Time) {
	sent := g.sent[holder]
	if i := slices.IndexFunc(sent, func(s sentGrant) bool { return s.number == number }); i > 0 {
		sent = slices.Delete(sent, 0, i)
	}
	sent = slices.DeleteFunc(sent, func(s sentGrant) bool { return !now.Before(s.until) })
	if len(sent) == 0 {
		delete(g.sent, holder)
		return
	}
	g.sent[holder] = sent
}

// Recall ends the granting of leases for a service, before its primary may be replaced.
func (g *Grantor) Recall(service string) { g.recalled[service] = true }

// Restore allows leases for a service again.
func (g *Grantor) Restore(service string) { delete(g.recalled, service) }

// Recalled reports whether leases for a service are recalled.
func (g *Grantor) Recalled(service string) bool { return g.recalled[service] }

// Released reports whether no lease for a service is in force, those of former leaders
// included.
func (g *Grantor) Released(service string, now time.Time) bool {
	if now.Before(g.started.Add(Duration + driftMargin)) {
		return false
	}
	for _, grants := range g.sent {
		for _, s := range grants {
			if _, ok := s.appointments[service]; ok && now.Before(s.until) {
				return false
			}
		}
	}
	return true
}

// MayPromote reports whether another member may be promoted instead of the appointed primary.
// That is so if no lease is in force, or if the primary has answered that it stepped down.
// appointed is empty if no promotion was ever ordered: then the member that stepped down was
// the only one that could act as the primary.
func (g *Grantor) MayPromote(service, appointed string, now time.Time) bool {
	stepped := g.ordersOf(service).stepped
	return stepped != "" && (appointed == "" || stepped == appointed) || g.Released(service, now)
}

// Holders returns the names of the holders whose leases for a service are in force.
func (g *Grantor) Holders(service string, now time.Time) []string {
	var out []string
	for holder, grants := range g.sent {
		if slices.ContainsFunc(grants, func(s sentGrant) bool {
			_, ok := s.appointments[service]
			return ok && now.Before(s.until)
		}) {
			out = append(out, holder)
		}
	}
	slices.Sort(out)
	return out
}

// held is what a holder has of one giver.
type held struct {
	number       uint64
	until        time.Time
	appointments map[string]Appointment
}

// Holder holds the leases of one instance.
type Holder struct {
	givers map[string]held   // by name of the control instance
	epochs map[string]uint64 // newest epoch heard of, by service
}

// NewHolder returns a Holder without leases.
func NewHolder() *Holder {
	return &Holder{givers: make(map[string]held), epochs: make(map[string]uint64)}
}

// Apply replaces the leases of a giver by a grant that was asked for at askedAt.
func (h *Holder) Apply(giver string, g Grant, askedAt time.Time) {
	h.givers[giver] = held{number: g.Number, until: askedAt.Add(g.Valid), appointments: maps.Clone(g.Appointments)}
	for service, a := range g.Appointments {
		h.epochs[service] = max(h.epochs[service], a.Epoch)
	}
}

// Applied returns the number of the last grant of a giver, and the leases in it.
func (h *Holder) Applied(giver string) (number uint64, appointments map[string]Appointment) {
	g := h.givers[giver]
	return g.number, g.appointments
}

// Remaining returns how long the leases of a giver are still in force.
func (h *Holder) Remaining(giver string, now time.Time) time.Duration {
	return max(0, h.givers[giver].until.Sub(now))
}

// Covers reports whether no member other than the given one can have become the primary of
// a service before at, and the epoch in which that holds.
func (h *Holder) Covers(service, member string, at time.Time) (epoch uint64, ok bool) {
	newest := h.epochs[service]
	for _, g := range h.givers {
		if a, granted := g.appointments[service]; granted && a.Epoch == newest && a.names(member) && at.Before(g.until) {
			return newest, true
		}
	}
	return newest, false
}

// Verdict is what the answer of a member that acts as the primary is worth.
type Verdict uint8

// The verdicts.
const (
	Open      Verdict = iota // the leases do not tell yet; a later grant may
	Confirmed                // no other member can have been the primary when the answer was given
	Refuted                  // another member has been appointed meanwhile
)

// Judge tells what the answer of a member that arrived at at is worth, if the request was
// sent under a lease of the given epoch. A lease that was renewed after the answer arrived
// confirms it as well as one that was in force then.
func (h *Holder) Judge(service, member string, epoch uint64, at time.Time) Verdict {
	newest, ok := h.Covers(service, member, at)
	switch {
	case newest != epoch:
		return Refuted
	case ok:
		return Confirmed
	}
	return Open
}
