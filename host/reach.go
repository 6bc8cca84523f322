package host

import (
	"context"
	"time"

	"tamarackcross/mesh"
)

// checkReach finds out which control members can be reached, while the instance may be cut off
// from them. It calls those that have not answered lately.
func (c *controlClients) checkReach(ctx context.Context, suspicious bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if !suspicious {
		c.pingsStarted = time.Time{}
		return
	}
	if c.pingsStarted.IsZero() {
		c.pingsStarted = now
	}
	for _, m := range c.members {
		if c.pinging[m.Addr] || now.Sub(c.lastHeard(m.Addr)) < pingTimeout {
			continue
		}
		c.pinging[m.Addr] = true
		c.pingGroup.Go(func() { c.ping(ctx, m.Addr) })
	}
}

// lastHeard returns when a control member answered last, a Sync call or a ping. The caller holds
// c.mu.
func (c *controlClients) lastHeard(addr string) time.Time {
	at := c.pings[addr]
	if cc := c.byAddr[addr]; cc != nil && cc.incarnation != 0 && cc.lastAnswer.After(at) {
		at = cc.lastAnswer
	}
	return at
}

// ping calls a control member and records its answer.
func (c *controlClients) ping(parent context.Context, addr string) {
	ctx, stop := context.WithTimeout(parent, pingTimeout)
	defer stop()
	client := mesh.NewClient(addr, c.dial)
	defer client.Close()
	_, err := client.Sync(ctx, &mesh.SyncRequest{ReportOnly: true})
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pinging, addr)
	if err == nil {
		c.pings[addr] = c.now()
	}
}

// majorityAnswered reports whether more than half of the control members answered within d. It is
// true while no member is known, or while they are not asked.
func (c *controlClients) majorityAnswered(d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if c.pingsStarted.IsZero() || now.Sub(c.pingsStarted) < pingTimeout {
		return true
	}
	answered := 0
	for _, m := range c.members {
		if now.Sub(c.lastHeard(m.Addr)) <= d {
			answered++
		}
	}
	return len(c.members) == 0 || 2*answered > len(c.members)
}
