package entry

import (
	"context"
	"sync"
	"time"

	"tamarackcross/errs"
	"tamarackcross/group"
	"tamarackcross/pgctl"
)

// confirmer reads the position of the primary and has a majority confirm that it
// is still the primary. Calls that arrive during a round share the next one, so the
// load does not grow with their number.
type confirmer struct {
	db *database

	mu      sync.Mutex
	next    *round
	running bool
	closed  bool
	conn    *pgctl.Conn
	addr    string
	wg      sync.WaitGroup
}

// round is one majority round and its result.
type round struct {
	done   chan struct{}
	result confirmation
	err    error
}

// confirmation is the result of a round: member was the primary of term during the round, and held
// position when it began.
type confirmation struct {
	member   *member
	term     uint64
	position group.Position
}

func (c *confirmer) init(db *database) { c.db = db }

func (c *confirmer) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.wg.Wait()
	if c.conn != nil {
		c.conn.Close()
	}
}

// currentPosition returns a position of the primary that covers every write
// acknowledged before the call.
func (c *confirmer) currentPosition(ctx context.Context) (group.Position, error) {
	r, err := c.confirmPrimary(ctx)
	return r.position, err
}

// confirmPrimary returns the result of a round that begins after the call.
func (c *confirmer) confirmPrimary(ctx context.Context) (confirmation, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return confirmation{}, errs.New(errs.NotRun, errs.ReasonShutdown, "instance is shutting down")
	}
	if c.next == nil {
		c.next = &round{done: make(chan struct{})}
	}
	r := c.next
	if !c.running {
		c.running = true
		c.wg.Add(1)
		go c.runRounds()
	}
	c.mu.Unlock()
	select {
	case <-r.done:
		return r.result, r.err
	case <-ctx.Done():
		return confirmation{}, ctx.Err()
	}
}

// runRounds runs rounds until no call waits for one.
func (c *confirmer) runRounds() {
	defer c.wg.Done()
	for {
		c.mu.Lock()
		r := c.next
		c.next = nil
		if r == nil {
			c.running = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		r.result, r.err = c.runRound()
		close(r.done)
	}
}

// runRound runs one round. If it fails on a connection that was open before, which may be silent, it
// is repeated on a new one.
func (c *confirmer) runRound() (confirmation, error) {
	reused := c.conn != nil
	r, err := c.tryRound()
	if err != nil && reused && c.db.srv.ctx.Err() == nil {
		r, err = c.tryRound()
	}
	if e := errs.As(err); e != nil && e.Reason() == errs.ReasonUnknownDB {
		return confirmation{}, e
	}
	if err != nil {
		return confirmation{}, errs.New(errs.NotRun, errs.ReasonNoPrimary, "the primary could not be confirmed")
	}
	return r, nil
}

// tryRound reads the offset before the confirmation, which thereby proves that the member was the
// primary when the offset was read. If that fails, the connection is closed.
func (c *confirmer) tryRound() (confirmation, error) {
	ctx, stop := context.WithTimeout(c.db.srv.ctx, watchTimeout)
	defer stop()
	g, err := c.db.group()
	if err != nil {
		return confirmation{}, err
	}
	m, err := c.connect(ctx, g)
	if err != nil {
		return confirmation{}, err
	}
	p, err := c.confirm(ctx, g)
	if err != nil {
		c.conn.Close()
		c.conn = nil
		return confirmation{}, err
	}
	return confirmation{member: m, term: g.Term, position: p}, nil
}

// connect opens a connection to the primary unless one is open, and returns the primary.
func (c *confirmer) connect(ctx context.Context, g Group) (*member, error) {
	b, ok := g.Member(g.Primary)
	if !ok {
		return nil, errPrimaryReplaced
	}
	m := c.db.member(b)
	if c.conn != nil && c.addr == b.Addr {
		return m, nil
	}
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
	conn, err := m.dialControl(ctx)
	if err != nil {
		return nil, err
	}
	c.conn, c.addr = conn, b.Addr
	return m, nil
}

func (c *confirmer) confirm(ctx context.Context, g Group) (group.Position, error) {
	reports, err := c.conn.Watch(ctx, group.Position{}, 0)
	if err != nil {
		return group.Position{}, err
	}
	var held group.Position
	for _, r := range reports {
		if r.Member == g.Primary {
			held = r.Held
		}
	}
	ok, err := c.conn.Confirm(ctx, g.Term, held.Offset, watchPoll)
	if err != nil {
		return group.Position{}, err
	}
	if !ok {
		return group.Position{}, errPrimaryReplaced
	}
	c.db.raiseMajority(held, time.Now())
	return held, nil
}
