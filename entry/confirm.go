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
	done     chan struct{}
	position group.Position
	err      error
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
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return group.Position{}, errs.New(errs.NotRun, errs.ReasonShutdown, "instance is shutting down")
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
		return r.position, r.err
	case <-ctx.Done():
		return group.Position{}, ctx.Err()
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
		r.position, r.err = c.runRound()
		close(r.done)
	}
}

// runRound runs one round. It reads the offset before the confirmation, which
// thereby proves that the member was the primary when the offset was read.
func (c *confirmer) runRound() (group.Position, error) {
	refused := errs.New(errs.NotRun, errs.ReasonNoPrimary, "the primary could not be confirmed")
	ctx, stop := context.WithTimeout(c.db.srv.ctx, watchTimeout)
	defer stop()
	g, err := c.db.group()
	if err != nil {
		return group.Position{}, err
	}
	if err := c.connect(ctx, g); err != nil {
		return group.Position{}, refused
	}
	p, err := c.confirm(ctx, g)
	if err != nil {
		c.conn.Close()
		c.conn = nil
		return group.Position{}, refused
	}
	return p, nil
}

func (c *confirmer) connect(ctx context.Context, g Group) error {
	b, ok := g.Member(g.Primary)
	if !ok {
		return errPrimaryReplaced
	}
	if c.conn != nil && c.addr == b.Addr {
		return nil
	}
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
	conn, err := c.db.member(b).dialControl(ctx)
	if err != nil {
		return err
	}
	c.conn, c.addr = conn, b.Addr
	return nil
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
