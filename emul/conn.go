package emul

import (
	"context"
	"net"
	"sync/atomic"
)

// DialFunc opens a connection to the address of a member.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// dialTCP is the DialFunc of a member that uses no Network.
func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// conn is a connection of a member. It stops while the member is frozen, and drops
// all data once it is silenced.
type conn struct {
	net.Conn
	m        *Member
	ctx      context.Context
	silenced atomic.Bool
}

// Read blocks while the member is frozen. It discards everything that arrives on a
// silenced connection.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if gateErr := c.m.awaitThaw(c.ctx); gateErr != nil {
			return 0, gateErr
		}
		if err != nil || !c.silenced.Load() {
			return n, err
		}
	}
}

// Write blocks while the member is frozen. It discards the data if the connection is
// silenced.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.m.awaitThaw(c.ctx); err != nil {
		return 0, err
	}
	if c.silenced.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// awaitThaw blocks while the member is frozen.
func (m *Member) awaitThaw(ctx context.Context) error {
	for {
		thawed := m.frozen.Load()
		if thawed == nil {
			return ctx.Err()
		}
		select {
		case <-*thawed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// trackConn registers a connection, so that it can be silenced and is closed when
// the server stops. If ctx has ended, it closes the connection and returns false.
func (m *Member) trackConn(ctx context.Context, nc net.Conn) (*conn, bool) {
	c := &conn{Conn: nc, m: m, ctx: ctx}
	m.mu.Lock()
	defer m.mu.Unlock()
	if ctx.Err() != nil {
		nc.Close()
		return nil, false
	}
	m.conns[c] = struct{}{}
	return c, true
}

// closeConn closes a connection and removes it from the open ones.
func (m *Member) closeConn(c *conn) {
	c.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.conns, c)
}

func (m *Member) closeConns() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.conns {
		c.Close()
	}
}
