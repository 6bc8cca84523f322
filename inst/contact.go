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
	// contactLost is how long control may be silent before an instance says that
	// it has no contact. It is longer than the time after which control stops
	// counting the instance as live.
	contactLost   = 1500 * time.Millisecond
	contactRound  = 200 * time.Millisecond // between rounds in a zone without contact
	contactAnswer = 150 * time.Millisecond // for one instance to answer
)

// contact knows until when this instance may act as the owner of backend
// servers. Control takes an ownership away only while at least half of the
// entries of the zone reach it. An owner that does not reach control therefore
// goes on only while more than half of the entries of its zone, itself among
// them, say that they have no contact either: both cannot be true at once.
type contact struct {
	name  string
	zone  string
	views *Views
	dial  pgctl.DialFunc

	mu       sync.Mutex
	reached  time.Time // a report that control acknowledged was sent then
	isolated time.Time // a round that showed the zone to be cut off began then
}

func newContact(cfg Config, v *Views, dial pgctl.DialFunc) *contact {
	return &contact{name: cfg.Name, zone: cfg.Zone, views: v, dial: dial}
}

// reach records that control acknowledged a report sent at a time.
func (c *contact) reach(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.reached) {
		c.reached = at
	}
}

// confirmed returns the newest time at which the ownership was in force.
func (c *contact) confirmed(time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isolated.After(c.reached) {
		return c.isolated
	}
	return c.reached
}

// has reports whether the instance reaches control.
func (c *contact) has(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.reached) < contactLost
}

// run asks the instances of the zone while control is out of reach.
func (c *contact) run(ctx context.Context) error {
	t := time.NewTicker(contactRound)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		now := time.Now()
		if c.has(now) || !c.alone(ctx) {
			continue
		}
		c.mu.Lock()
		c.isolated = now
		c.mu.Unlock()
	}
}

// alone reports whether more than half of the entries of the zone have no
// contact.
func (c *contact) alone(ctx context.Context) bool {
	ctx, stop := context.WithTimeout(ctx, contactAnswer)
	defer stop()
	without := make(chan bool)
	entries, asked := 0, 0
	for in := range c.views.View().Instances() {
		if in.Zone != c.zone || !in.Has(state.RoleEntry) {
			continue
		}
		entries++
		if in.Name == c.name {
			continue
		}
		asked++
		addr := in.Addresses[addrPeer]
		go func() { without <- c.ask(ctx, addr) }()
	}
	silent := 1 // this instance
	for range asked {
		if <-without {
			silent++
		}
	}
	return 2*silent > entries
}

// ask reports whether the instance at addr answers that it has no contact.
func (c *contact) ask(ctx context.Context, addr string) bool {
	nc, err := c.dial(ctx, addr)
	if err != nil {
		return false
	}
	conn := drpcconn.New(nc)
	defer conn.Close()
	reply, err := ctlpb.NewDRPCPeerClient(conn).Contact(ctx, &ctlpb.ContactRequest{From: c.name})
	return err == nil && !reply.GetContact()
}
