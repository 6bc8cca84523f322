package inst

import (
	"context"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"

	"tamarackcross/ctlpb"
	"tamarackcross/pgctl"
	"tamarackcross/state"
)

const (
	// contactTimeout is the time without an acknowledged report after which an
	// instance has lost contact with control. It is longer than the time after which
	// control stops counting the instance as live.
	contactTimeout      = 1500 * time.Millisecond
	contactPollInterval = 200 * time.Millisecond // between polls of the zone while contact is lost
	contactPollTimeout  = 150 * time.Millisecond // for the answers of one poll
)

// controlContact tracks until when this instance may act as the owner of backend
// servers. Control withdraws an ownership only while at least half of the entries
// of the zone have contact with it. An owner without contact therefore goes on
// only while more than half of the entries of its zone, including itself, report
// that they have no contact either. The two conditions exclude each other.
type controlContact struct {
	name  string
	zone  string
	views *Views
	dial  pgctl.DialFunc

	mu             sync.Mutex
	lastAcked      time.Time // when the last acknowledged report was sent
	zoneIsolatedAt time.Time // start of the last poll in which most entries had no contact
}

func newContact(cfg Config, v *Views, dial pgctl.DialFunc) *controlContact {
	return &controlContact{name: cfg.Name, zone: cfg.Zone, views: v, dial: dial}
}

// recordAck records that control acknowledged a report that was sent at the given
// time.
func (c *controlContact) recordAck(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.lastAcked) {
		c.lastAcked = at
	}
}

// ownershipConfirmedAt returns the latest time at which the ownership is known to
// have been in force.
func (c *controlContact) ownershipConfirmedAt(time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.zoneIsolatedAt.After(c.lastAcked) {
		return c.zoneIsolatedAt
	}
	return c.lastAcked
}

// reachesControl reports whether the instance has contact with control.
func (c *controlContact) reachesControl(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.lastAcked) < contactTimeout
}

// run polls the entries of the zone while this instance has no contact.
func (c *controlContact) run(ctx context.Context) error {
	t := time.NewTicker(contactPollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		now := time.Now()
		if c.reachesControl(now) || !c.zoneIsolated(ctx) {
			continue
		}
		c.mu.Lock()
		c.zoneIsolatedAt = now
		c.mu.Unlock()
	}
}

// zoneIsolated polls the entries of the zone and reports whether more than half of
// them, including this instance, answered that they have no contact.
func (c *controlContact) zoneIsolated(ctx context.Context) bool {
	ctx, stop := context.WithTimeout(ctx, contactPollTimeout)
	defer stop()
	answers := make(chan bool)
	entries, asked := 0, 0
	for in := range c.views.View().Instances() {
		if in.Zone != c.zone || !in.HasRole(state.RoleEntry) {
			continue
		}
		entries++
		if in.Name == c.name {
			continue
		}
		asked++
		addr := in.Addresses[addrPeer]
		go func() { answers <- c.lacksContact(ctx, addr) }()
	}
	isolated := 1 // this instance
	for range asked {
		if <-answers {
			isolated++
		}
	}
	return 2*isolated > entries
}

// lacksContact reports whether the instance at addr answers that it has no contact.
// An instance that does not answer counts as one with contact.
func (c *controlContact) lacksContact(ctx context.Context, addr string) bool {
	nc, err := c.dial(ctx, addr)
	if err != nil {
		return false
	}
	conn := drpcconn.New(nc)
	defer conn.Close()
	reply, err := ctlpb.NewDRPCPeerClient(conn).Contact(ctx, &ctlpb.ContactRequest{From: c.name})
	return err == nil && !reply.GetContact()
}
