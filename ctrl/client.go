package ctrl

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcconn"

	"tamarackcross/ctlpb"
	"tamarackcross/state"
)

const (
	callLimit    = time.Second           // for one call to one member
	leaderSearch = 20 * time.Millisecond // between rounds over all members
)

// ErrNoLeader is returned when no leader was found in time.
var ErrNoLeader = eris.New("no control leader could be reached")

// Client calls the control log from any instance. It finds the leader and
// remembers it.
type Client struct {
	addrs []string
	dial  DialFunc

	mu     sync.Mutex
	leader string
	addr   string // of conn
	conn   *drpcconn.Conn
}

// NewClient returns a client of the control members at addrs.
func NewClient(dial DialFunc, addrs ...string) *Client {
	return &Client{addrs: addrs, dial: dial}
}

// Close closes the connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop()
}

func (c *Client) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// call runs f on a connection to addr. Calls are made one at a time.
func (c *Client) call(ctx context.Context, addr string, f func(context.Context, ctlpb.DRPCControlClient) error) error {
	ctx, stop := context.WithTimeout(ctx, callLimit)
	defer stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil || c.addr != addr {
		c.drop()
		nc, err := c.dial(ctx, addr)
		if err != nil {
			return err
		}
		c.conn, c.addr = drpcconn.New(nc), addr
	}
	if err := f(ctx, ctlpb.NewDRPCControlClient(c.conn)); err != nil {
		c.drop()
		return err
	}
	return nil
}

// atLeader runs f at the leader. f returns the address to try next, or "" when
// it was answered.
func (c *Client) atLeader(ctx context.Context, f func(context.Context, ctlpb.DRPCControlClient) (done bool, hint string, err error)) error {
	for ctx.Err() == nil {
		for _, addr := range c.candidates() {
			var done bool
			var hint string
			err := c.call(ctx, addr, func(ctx context.Context, cl ctlpb.DRPCControlClient) (err error) {
				done, hint, err = f(ctx, cl)
				return err
			})
			if err == nil && done {
				c.remember(addr)
				return nil
			}
			c.remember(hint)
			if hint != "" {
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(leaderSearch):
		}
	}
	return ErrNoLeader
}

// candidates returns the members to ask, the one thought to lead first.
func (c *Client) candidates() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == "" {
		return c.addrs
	}
	return append([]string{c.leader}, c.addrs...)
}

func (c *Client) remember(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = addr
}

// Propose submits a command and returns its result. A command that is sent
// again after a lost answer must be one that can be: configuration changes carry
// an identifier, the others have the same effect twice.
func (c *Client) Propose(ctx context.Context, cmd state.Command) (state.Result, error) {
	data, err := state.EncodeCommand(cmd)
	if err != nil {
		return nil, err
	}
	var result state.Result
	err = c.atLeader(ctx, func(ctx context.Context, cl ctlpb.DRPCControlClient) (bool, string, error) {
		reply, err := cl.Propose(ctx, &ctlpb.ProposeRequest{Command: data})
		if err != nil {
			return false, "", err
		}
		if reply.GetResult() == nil {
			return false, reply.GetLeader(), nil
		}
		result, err = ResultFromProto(reply.GetResult())
		return err == nil, "", err
	})
	return result, err
}

// Observe reports what an entry found out. It reports whether the leader wants
// a full report next.
func (c *Client) Observe(ctx context.Context, in *ctlpb.ObserveRequest) (wantFull bool, err error) {
	err = c.atLeader(ctx, func(ctx context.Context, cl ctlpb.DRPCControlClient) (bool, string, error) {
		reply, err := cl.Observe(ctx, in)
		if err != nil {
			return false, "", err
		}
		wantFull = reply.GetWantFull()
		return reply.GetLeader(), reply.GetLeaderAddress(), nil
	})
	return wantFull, err
}
