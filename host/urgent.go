package host

import (
	"context"
	"time"

	"tamarackcross/mesh"
)

const (
	// urgentReportInterval is the least time between two reports beside the Sync calls.
	urgentReportInterval = 50 * time.Millisecond
	// urgentReportTimeout bounds one of them. Later, a Sync call has carried the report.
	urgentReportTimeout = 600 * time.Millisecond
)

// reportNow sends the state of this instance without waiting for the end of the Sync call that is
// held: that of an entry to its home, that of a control instance to the leader. It never blocks.
func (c *controlClients) reportNow() {
	select {
	case c.urgent <- struct{}{}:
	default:
	}
}

// runReports sends the reports that reportNow requests until ctx ends.
func (c *controlClients) runReports(ctx context.Context) error {
	var client *mesh.Client
	defer func() {
		if client != nil {
			client.Close()
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.urgent:
		}
		if addr, since := c.reportTarget(); addr != "" {
			if client == nil || client.Addr() != addr {
				if client != nil {
					client.Close()
				}
				client = mesh.NewClient(addr, c.dial)
			}
			c.report(ctx, client, since)
		}
		select {
		case <-ctx.Done():
		case <-time.After(urgentReportInterval):
		}
	}
}

// reportTarget returns the address to which urgent reports go, or "" if it is not known, and since when
// it is the home of an entry. The leader of control sends no reports: it would count what it has
// gathered twice.
func (c *controlClients) reportTarget() (addr string, homeSince int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.selfAddr == "":
		return c.home, c.homeSince.UnixMilli()
	case c.leader == c.selfAddr:
		return "", 0
	}
	return c.leader, 0
}

// report sends the state of this instance. What the reply carries arrives with the Sync calls.
func (c *controlClients) report(parent context.Context, client *mesh.Client, homeSince int64) {
	ctx, stop := context.WithTimeout(parent, urgentReportTimeout)
	defer stop()
	in := c.newRequest()
	in.KnownPeers = nil
	in.ReportOnly, in.Home, in.HomeSince = true, c.selfAddr == "", homeSince
	if _, err := client.Sync(ctx, &in); err != nil && parent.Err() == nil {
		c.log.Debug().Err(err).Str("control", client.Addr()).Msg("report of an unresponsive backend server failed; the next Sync call carries it")
	}
}
