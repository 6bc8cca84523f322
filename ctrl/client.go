package ctrl

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcconn"

	"tamarackcross/ctlpb"
	"tamarackcross/state"
)

const (
	callTimeout          = time.Second           // of one call to one member
	leaderSearchInterval = 20 * time.Millisecond // between rounds of attempts over all members
)

// ErrNoLeader is the error when no leader was found before the context ended.
var ErrNoLeader = eris.New("no control leader could be reached")

// Client calls the control log from any instance. It finds the leader and sends
// the next calls to it.
type Client struct {
	dial DialFunc

	mu         sync.Mutex
	addrs      []string // of the members, those at which a call failed last
	leaderAddr string
	connAddr   string // address that conn is connected to
	conn       *drpcconn.Conn
}

// NewClient returns a client of the control members at addrs.
func NewClient(dial DialFunc, addrs ...string) *Client {
	return &Client{addrs: slices.Clone(addrs), dial: dial}
}

// Close closes the connection to the control member.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeConn()
}

func (c *Client) closeConn() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// call runs f on a connection to addr. Calls run one at a time.
func (c *Client) call(ctx context.Context, addr string, f func(context.Context, ctlpb.DRPCControlClient) error) error {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil || c.connAddr != addr {
		c.closeConn()
		nc, err := c.dial(ctx, addr)
		if err != nil {
			return err
		}
		c.conn, c.connAddr = drpcconn.New(nc), addr
	}
	if err := f(ctx, ctlpb.NewDRPCControlClient(c.conn)); err != nil {
		c.closeConn()
		return err
	}
	return nil
}

// callLeader runs f on the members, one after the other, until f is done. f
// returns as its hint the address of the leader, if the member knows it.
func (c *Client) callLeader(ctx context.Context, f func(context.Context, ctlpb.DRPCControlClient) (done bool, hint string, err error)) error {
	for ctx.Err() == nil {
		for _, addr := range c.addrsToTry() {
			if ctx.Err() != nil {
				return ErrNoLeader
			}
			var done bool
			var hint string
			err := c.call(ctx, addr, func(ctx context.Context, cl ctlpb.DRPCControlClient) (err error) {
				done, hint, err = f(ctx, cl)
				return err
			})
			if err == nil && done {
				c.setLeader(addr)
				return nil
			}
			if err != nil {
				c.tryLast(addr)
			}
			c.setLeader(hint)
			if hint != "" {
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(leaderSearchInterval):
		}
	}
	return ErrNoLeader
}

// addrsToTry returns the addresses of the members, the last known leader first.
func (c *Client) addrsToTry() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaderAddr == "" {
		return slices.Clone(c.addrs)
	}
	return append([]string{c.leaderAddr}, c.addrs...)
}

// tryLast puts an address behind the others. A silent member may use up the time of a call, and
// the next one must not begin with it again.
func (c *Client) tryLast(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.Index(c.addrs, addr); i >= 0 {
		c.addrs = append(slices.Delete(c.addrs, i, i+1), addr)
	}
}

func (c *Client) setLeader(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaderAddr = addr
}

// Propose submits a command and returns its result. After a lost answer it sends
// the command again, so the command must be idempotent: configuration changes
// carry an ID, and the other commands have the same effect when applied twice.
func (c *Client) Propose(ctx context.Context, cmd state.Command) (state.Result, error) {
	data, err := state.EncodeCommand(cmd)
	if err != nil {
		return nil, err
	}
	var result state.Result
	err = c.callLeader(ctx, func(ctx context.Context, cl ctlpb.DRPCControlClient) (bool, string, error) {
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

// Observe sends the observations of an entry about the members of databases. It
// returns whether the leader needs a full report next.
func (c *Client) Observe(ctx context.Context, in *ctlpb.ObserveRequest) (wantFull bool, err error) {
	err = c.callLeader(ctx, func(ctx context.Context, cl ctlpb.DRPCControlClient) (bool, string, error) {
		reply, err := cl.Observe(ctx, in)
		if err != nil {
			return false, "", err
		}
		wantFull = reply.GetWantFull()
		return reply.GetLeader(), reply.GetLeaderAddress(), nil
	})
	return wantFull, err
}
