package entry

import (
	"time"

	"tamarackcross/share"
)

// Leases hands out the slots of backend servers to the entries.
type Leases interface {
	Join(database, member string, user LeaseUser) Lease
}

// Lease is the part of an entry in the slots of one backend server.
type Lease interface {
	// Changed tells that the demand may have changed. It must not be called with
	// locks held that LeaseUser takes.
	Changed()
	Leave()
}

// LeaseUser is the queue that a lease serves.
type LeaseUser interface {
	// Use sets how many slots may be used from now on.
	Use(share.Amount)
	Demand() share.Demand
	// Unowned tells whether nobody hands out slots at present, as after the loss
	// of an owner.
	Unowned(bool)
}

// ownerPatience is how long requests wait for slots while there is no owner: a
// new one grants nothing until the leases of the former one have run out, 1.1 s
// after it was chosen.
const ownerPatience = 2500 * time.Millisecond

// WithLeases shares the slots of each backend server with other entries.
// Without it the entry uses all of them.
func WithLeases(l Leases) Option { return func(s *Server) { s.leases = l } }

// Use implements LeaseUser.
func (g *gate) Use(a share.Amount) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if a == g.usable {
		return
	}
	g.usable = a
	g.deliver(g.queue.ResizeLong(a.Long, now))
	g.deliver(g.queue.Resize(a.Units, now))
	g.arm(now)
}

// Unowned implements LeaseUser.
func (g *gate) Unowned(unowned bool) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.unowned == unowned {
		return
	}
	g.unowned = unowned
	wait := g.maxWait
	if unowned {
		wait = max(wait, ownerPatience)
	}
	g.deliver(g.queue.SetMaxWait(wait, now))
	g.arm(now)
}

// Demand implements LeaseUser.
func (g *gate) Demand() share.Demand {
	g.mu.Lock()
	defer g.mu.Unlock()
	return share.Demand{
		Busy:    share.Amount{Units: g.queue.Running(), Long: g.queue.RunningLong()},
		Waiting: share.Amount{Units: g.queue.Waiting(), Long: g.queue.WaitingLong()},
		Since:   g.queue.OldestWaiting(),
	}
}

// changed tells the lease of a new demand.
func (g *gate) changed() {
	if g.lease != nil {
		g.lease.Changed()
	}
}
