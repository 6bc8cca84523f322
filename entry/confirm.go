package entry

import (
	"context"
	"sync"
	"time"

	"tamarackcross/errs"
	"tamarackcross/group"
	"tamarackcross/pgctl"
)

// confirmer asks the primary for its position after a majority has confirmed
// that it is still the primary. Callers that come while a round is under way
// share the next one, so the cost does not grow with their number.
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

// round is one confirmation and its outcome.
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

// current returns a position of the primary that covers every write
// acknowledged before the call.
func (c *confirmer) current(ctx context.Context) (group.Position, error) {
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
		go c.loop()
	}
	c.mu.Unlock()
	select {
	case <-r.done:
		return r.position, r.err
	case <-ctx.Done():
		return group.Position{}, ctx.Err()
	}
}

// loop runs rounds while somebody waits for one.
func (c *confirmer) loop() {
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
		r.position, r.err = c.ask()
		close(r.done)
	}
}

// ask runs one round. The offset is read first: the confirmation that follows
// proves that the member was the primary when it was read.
func (c *confirmer) ask() (group.Position, error) {
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
		return errReplaced
	}
	if c.conn != nil && c.addr == b.Addr {
		return nil
	}
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
	conn, err := c.db.member(b).control(ctx)
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
		return group.Position{}, errReplaced
	}
	c.db.raise(held, time.Now())
	return held, nil
}
