package ctrl_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"tamarackcross/ctrl"
)

// TestNewMemberReceivesLittle guards against a member with an empty disk that receives every value
// that was ever stored before it may vote. On a link that loses packets it then stays a learner for
// longer than a machine counts as lost after its return.
func TestNewMemberReceivesLittle(t *testing.T) {
	const (
		values    = 80
		valueSize = 64 << 10
		maxBytes  = 1 << 20 // a snapshot of one value, and what follows it
	)
	c := newCluster(t, 0)
	c.hosted, c.newest = true, true
	c.addMembers(initialHosted)
	for _, m := range c.members {
		c.start(m)
	}
	for i := range values {
		c.store(fmt.Sprintf("%06d%s", i, strings.Repeat("x", valueSize)))
	}
	c.addMembers(1)
	m := c.members[initialHosted]
	for _, old := range c.members[:initialHosted] {
		if old != c.leader() {
			c.stopMember(old)
			break
		}
	}
	c.start(m)
	c.await("the new member votes", func() bool { return c.leader().node.Status().Members.IsVoter(m.memberID) })
	if want := fmt.Sprintf("%06d", values-1); !strings.HasPrefix(m.values.list(), want) {
		t.Errorf("the new member holds %.6s, want %s", m.values.list(), want)
	}
	if got := c.sentTo(m.addr).Load(); got > maxBytes {
		t.Errorf("the new member received %d bytes, want at most %d", got, maxBytes)
	}
}

// sentTo returns the number of bytes sent to a member so far.
func (c *cluster) sentTo(addr string) *atomic.Int64 {
	n, _ := c.bytesTo.LoadOrStore(addr, new(atomic.Int64))
	return n.(*atomic.Int64)
}

// countingDialer counts the bytes that are written on its connections.
func (c *cluster) countingDialer(dial ctrl.DialFunc) ctrl.DialFunc {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		nc, err := dial(ctx, addr)
		if err != nil {
			return nil, err
		}
		return countedConn{Conn: nc, sent: c.sentTo(addr)}, nil
	}
}

type countedConn struct {
	net.Conn
	sent *atomic.Int64
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	return n, err
}
