package host

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"tamarackcross/event"
	"tamarackcross/lease"
	"tamarackcross/ledger"
	"tamarackcross/mesh"
	"tamarackcross/raft"
	"tamarackcross/stats"
)

// leaseHolder holds the leases of this instance. It is the proxy.Leases of its server.
type leaseHolder struct {
	now   func() time.Time
	log   *event.Log
	stats *stats.Registry

	mu      sync.Mutex
	holder  *lease.Holder
	applied chan struct{} // closed at the next grant
}

func newLeaseHolder(now func() time.Time, log *event.Log, st *stats.Registry) *leaseHolder {
	return &leaseHolder{now: now, log: log, stats: st, holder: lease.NewHolder(), applied: make(chan struct{})}
}

// Covers reports whether no member other than the given one can have become the primary of a
// service before at, and the epoch in which that holds.
func (h *leaseHolder) Covers(service, member string, at time.Time) (epoch uint64, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holder.Covers(service, member, at)
}

// Await reports whether the answer of a member that arrived at at is confirmed by a lease of
// the epoch in which the request was sent. It waits for a renewal until limit.
func (h *leaseHolder) Await(ctx context.Context, service, member string, epoch uint64, at, limit time.Time) bool {
	timer := time.NewTimer(limit.Sub(h.now()))
	defer timer.Stop()
	for {
		h.mu.Lock()
		verdict, applied := h.holder.Judge(service, member, epoch, at), h.applied
		h.mu.Unlock()
		if verdict != lease.Open {
			return verdict == lease.Confirmed
		}
		select {
		case <-applied:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// request returns the request for the leases of a control instance.
func (h *leaseHolder) request(control string, services []string) *mesh.LeaseRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	number, appointments := h.holder.Applied(control)
	return &mesh.LeaseRequest{
		Services: services, Applied: number, Digest: mesh.LeaseDigest(appointments), Left: h.holder.Remaining(control, h.now()),
	}
}

// apply applies the leases that a control instance granted in answer to a request sent at
// askedAt. It reports whether the set of leases changed.
func (h *leaseHolder) apply(control string, r *mesh.LeaseReply, askedAt time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, held := h.holder.Applied(control)
	appointments, was := r.Appointments, mesh.LeaseDigest(held)
	if r.Digest == was {
		appointments = held
	}
	lapsed := h.holder.Remaining(control, h.now()) == 0
	h.holder.Apply(control, lease.Grant{Number: r.Number, Valid: r.Valid, Appointments: appointments}, askedAt)
	close(h.applied)
	h.applied = make(chan struct{})
	if r.Digest == was && !lapsed {
		return false
	}
	h.logChange(control, held, appointments)
	return true
}

// logChange logs the leases that a grant adds or takes away.
func (h *leaseHolder) logChange(control string, held, appointments map[string]lease.Appointment) {
	for service, a := range appointments {
		if held[service] != a {
			h.log.Info().Str(event.Service, service).Str(event.Primary, a.Member).Uint64("epoch", a.Epoch).Str("control", control).Msg("lease granted")
		}
	}
	for service, a := range held {
		if _, ok := appointments[service]; !ok {
			h.stats.Scope().Counter("leases_given_back").Inc(1)
			h.log.Info().Str(event.Service, service).Str(event.Primary, a.Member).Uint64("epoch", a.Epoch).Str("control", control).Msg("lease given back")
		}
	}
}

// leaseGiver grants leases while this instance leads control.
type leaseGiver struct {
	ledger *ledger.Ledger
	now    func() time.Time
	log    *event.Log

	mu      sync.Mutex
	term    raft.Term      // in which grantor grants
	grantor *lease.Grantor // nil unless this instance leads
	number  uint64         // of the last grant in earlier terms
	changed chan struct{}  // closed when the leases that may be granted change
}

func newLeaseGiver(l *ledger.Ledger, now func() time.Time, log *event.Log) *leaseGiver {
	// Numbers of other runs must not be taken for those of this one.
	return &leaseGiver{ledger: l, now: now, log: log, number: rand.Uint64() >> 1, changed: make(chan struct{})}
}

// follow starts or ends the granting as the role of this instance in control changes.
func (g *leaseGiver) follow(st raft.Status) {
	g.mu.Lock()
	defer g.mu.Unlock()
	leads := st.Role == raft.Leader && st.Current
	if g.grantor != nil && (!leads || st.Term != g.term) {
		g.number, g.grantor = g.grantor.Number(), nil
		g.notify()
	}
	if g.grantor != nil || !leads {
		return
	}
	now := g.now()
	g.term, g.grantor = st.Term, lease.NewGrantor(g.number, now)
	for service, o := range g.ledger.Orders() {
		for _, e := range o.Open {
			g.grantor.AddOrder(service, e.Target, e.Token, now)
		}
	}
	g.notify()
}

// notify wakes the calls that wait for a change. The caller holds g.mu.
func (g *leaseGiver) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// whileLeading calls f with the Grantor. It does nothing if this instance does not lead.
func (g *leaseGiver) whileLeading(f func(*lease.Grantor)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.grantor != nil {
		f(g.grantor)
	}
}

// setRecalled ends or allows the granting of leases for a service.
func (g *leaseGiver) setRecalled(service string, recalled bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.grantor == nil || g.grantor.Recalled(service) == recalled:
		return
	case recalled:
		g.grantor.Recall(service)
	default:
		g.grantor.Restore(service)
	}
	g.notify()
	g.log.Info().Str(event.Service, service).Bool("recalled", recalled).Strs("holders", g.grantor.Holders(service, g.now())).Msg("recall of leases changed")
}

// mayPromote reports whether target may be promoted now. The appointed member may always be
// promoted again.
func (g *leaseGiver) mayPromote(service, target string) bool {
	o, _ := g.ledger.PromotionOrder(service)
	may := false
	g.whileLeading(func(grantor *lease.Grantor) {
		may = target != "" && target == o.Target || grantor.MayPromote(service, o.Target, g.now())
	})
	return may
}

// mustReassert reports whether the appointed member must be promoted again, since an open order
// for another one may have been carried out.
func (g *leaseGiver) mustReassert(service string) bool {
	o, _ := g.ledger.PromotionOrder(service)
	must := false
	g.whileLeading(func(grantor *lease.Grantor) { must = grantor.OrderState(service, o.Target, g.now()) == lease.Reassert })
	return must
}

// recordStepDown records that a member which was asked at askedAt answered that it stepped
// down.
func (g *leaseGiver) recordStepDown(service, member string, askedAt time.Time) {
	g.whileLeading(func(grantor *lease.Grantor) { grantor.SteppedDown(service, member, askedAt) })
}

// recordOrder records an order that is about to be sent.
func (g *leaseGiver) recordOrder(service, target string, token uint64) {
	g.whileLeading(func(grantor *lease.Grantor) { grantor.AddOrder(service, target, token, g.now()) })
}

// recordOutcome records the outcome of an order that was sent at sentAt. It returns the tokens
// of orders that the log still has open and that the platform will not carry out any more.
func (g *leaseGiver) recordOutcome(service string, token uint64, sentAt time.Time, err error) (closed []uint64) {
	o, _ := g.ledger.PromotionOrder(service)
	g.whileLeading(func(grantor *lease.Grantor) {
		switch {
		case err == nil:
			grantor.AcceptOrder(service, token, sentAt, g.now())
		case errors.Is(err, ErrOutdated), errors.Is(err, ErrNotSent):
			grantor.CloseOrder(service, token, g.now())
		}
		open := grantor.OpenTokens(service)
		for _, e := range o.Open {
			if !slices.Contains(open, e.Token) {
				closed = append(closed, e.Token)
			}
		}
	})
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notify()
	return closed
}

// appointments returns the appointed primaries of services.
func (g *leaseGiver) appointments(services []string) map[string]lease.Appointment {
	out := make(map[string]lease.Appointment, len(services))
	for _, service := range services {
		o, _ := g.ledger.PromotionOrder(service)
		out[service] = lease.Appointment{Member: o.Target, Epoch: o.Epoch}
	}
	return out
}

// recordApplied records which grant a holder has applied.
func (g *leaseGiver) recordApplied(holder string, number uint64) {
	g.whileLeading(func(grantor *lease.Grantor) { grantor.Applied(holder, number, g.now()) })
}

// differs reports whether a holder should be granted other leases than it has, or has none in
// force. The channel is closed when that may change.
func (g *leaseGiver) differs(services []string, in *mesh.LeaseRequest, confirmed time.Time) (bool, <-chan struct{}) {
	appointments := g.appointments(services)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if g.grantor == nil || now.Sub(confirmed) >= lease.Duration {
		return false, g.changed
	}
	digest := mesh.LeaseDigest(g.grantor.Grantable(appointments, now))
	return digest != in.Digest || in.Left <= 0, g.changed
}

// grant grants a holder leases for services, or returns nil if this instance must not grant
// any.
func (g *leaseGiver) grant(holder string, services []string, in *mesh.LeaseRequest, st raft.Status) *mesh.LeaseReply {
	appointments := g.appointments(services)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.grantor == nil || st.Role != raft.Leader || st.Term != g.term {
		return nil
	}
	granted, ok := g.grantor.Grant(holder, appointments, st.ConfirmedAt, g.now())
	if !ok {
		return nil
	}
	reply := &mesh.LeaseReply{Number: granted.Number, Valid: granted.Valid, Digest: mesh.LeaseDigest(granted.Appointments)}
	if reply.Digest != in.Digest {
		reply.Appointments = granted.Appointments
	}
	return reply
}

// leaseServices lists the services whose leases a request asks for.
func leaseServices(in *mesh.SyncRequest) []string {
	return append(in.ProbedServices[:len(in.ProbedServices):len(in.ProbedServices)], in.Lease.Services...)
}

// renewOwnLeases grants this instance the leases for the services that it probes itself, if
// it leads.
func (c *Controller) renewOwnLeases() {
	_, probed := c.probeResults()
	if len(probed) == 0 {
		return
	}
	askedAt := c.deps.Now()
	in := c.leases.request(ownLeases, nil)
	reply := c.giver.grant(c.settings.Name, probed, in, c.node.Status())
	if reply == nil {
		return
	}
	if c.leases.apply(ownLeases, reply, askedAt) {
		c.retryProofs()
	}
	c.giver.recordApplied(c.settings.Name, reply.Number)
}

// ownLeases stands for the address of this instance among the givers of leases.
const ownLeases = "self"

// retryProofs lets the prober, if there is one, use leases that have arrived.
func (c *Controller) retryProofs() {
	if p := c.activeProber(); p != nil {
		p.RetryProofs()
	}
}

// leaseCall is the part of a Sync call that concerns leases.
type leaseCall struct {
	c        *Controller
	in       *mesh.SyncRequest // nil if it asks for none
	services []string
}

// leaseCall starts to serve the leases that a Sync request asks for.
func (c *Controller) leaseCall(in *mesh.SyncRequest) leaseCall {
	if c.giver == nil || in.Lease == nil {
		return leaseCall{}
	}
	c.giver.recordApplied(in.Name, in.Lease.Applied)
	return leaseCall{c: c, in: in, services: leaseServices(in)}
}

// differ reports whether the instance should get other leases than it has. The channel is
// closed when that may change.
func (l leaseCall) differ() (bool, <-chan struct{}) {
	if l.in == nil {
		return false, nil
	}
	return l.c.giver.differs(l.services, l.in.Lease, l.c.node.Status().ConfirmedAt)
}

// grant returns the leases for the reply, or nil if there are none.
func (l leaseCall) grant() *mesh.LeaseReply {
	if l.in == nil {
		return nil
	}
	return l.c.giver.grant(l.in.Name, l.services, l.in.Lease, l.c.node.Status())
}
