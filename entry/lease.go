package entry

import (
	"time"

	"tamarackcross/share"
)

// Leases distributes the slots of backend servers among the entries that share
// them. Join creates the lease of one backend server for its admission queue.
type Leases interface {
	Join(database, member string, user LeaseUser) Lease
}

// Lease is the share of an entry in the slots of one backend server. Leave ends it.
type Lease interface {
	// DemandChanged reports that the demand for slots may have changed. It calls methods
	// of LeaseUser, so it must not be called with the locks held that they take.
	DemandChanged()
	Leave()
}

// LeaseUser is an admission queue whose slots come from a lease. Demand returns the
// slots in use and those that requests wait for.
type LeaseUser interface {
	// SetUsable sets the number of slots that may be used from now on.
	SetUsable(share.Amount)
	Demand() share.Demand
	// SetUnowned sets whether no instance grants slots at present, which is the case
	// after the loss of the owner, the instance that grants them.
	SetUnowned(bool)
}

// unownedQueueWait is the limit of the queue wait while the slots have no owner,
// unless the settings allow a longer wait. A new owner grants slots only after the
// leases of the old one have expired, 1.1 s after it was chosen.
const unownedQueueWait = 2500 * time.Millisecond

// WithLeases shares the slots of each backend server with other entries. Without
// leases the entry uses all slots.
func WithLeases(l Leases) Option { return func(s *Server) { s.leases = l } }

// SetUsable implements LeaseUser.
func (g *slotQueue) SetUsable(a share.Amount) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if a == g.usable {
		return
	}
	g.usable = a
	g.deliverDecisions(g.queue.ResizeLong(a.Long, now))
	g.deliverDecisions(g.queue.Resize(a.Units, now))
	g.armTimer(now)
}

// SetUnowned implements LeaseUser.
func (g *slotQueue) SetUnowned(unowned bool) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.unowned == unowned {
		return
	}
	g.unowned = unowned
	wait := g.maxWait
	if unowned {
		wait = max(wait, unownedQueueWait)
	}
	g.deliverDecisions(g.queue.SetMaxWait(wait, now))
	g.armTimer(now)
}

// Demand implements LeaseUser.
func (g *slotQueue) Demand() share.Demand {
	g.mu.Lock()
	defer g.mu.Unlock()
	return share.Demand{
		Busy:         share.Amount{Units: g.queue.Running(), Long: g.queue.RunningLong()},
		Waiting:      share.Amount{Units: g.queue.Waiting(), Long: g.queue.WaitingLong()},
		WaitingSince: g.queue.OldestWaiting(),
	}
}

// notifyDemand tells the lease that the demand may have changed.
func (g *slotQueue) notifyDemand() {
	if g.lease != nil {
		g.lease.DemandChanged()
	}
}
