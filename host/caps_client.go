package host

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"tamarackcross/caps"
	"tamarackcross/config"
	"tamarackcross/errs"
	"tamarackcross/event"
	"tamarackcross/mesh"
	"tamarackcross/stats"
)

const (
	// capsCallTimeout bounds a call to the owner of the caps. The next one may go to another owner.
	capsCallTimeout = 300 * time.Millisecond
	// capsRetryDelay is the time between a failed call and the next one.
	capsRetryDelay = 20 * time.Millisecond
	// capsWait bounds how long a request waits for the owner.
	capsWait = 150 * time.Millisecond
	// capsSilence is how long calls must have failed until requests do not wait any more.
	capsSilence = 150 * time.Millisecond
	// refusalLogInterval is the least time between two log lines on the refusals of a customer.
	refusalLogInterval = time.Second
	// maxCountedCustomers is the number of customers whose refusals are counted by name.
	maxCountedCustomers = 64
	// otherCustomers stands for the rest.
	otherCustomers = "other"
)

// capsClient spends the tokens of this instance and gets them from the owner. It is the proxy.Caps of
// its server.
type capsClient struct {
	bound   caps.Bound
	targets func() []string // addresses of control instances, the leader first if it is known
	dial    mesh.DialFunc
	now     func() time.Time
	log     *event.Log
	stats   *stats.Registry

	mu          sync.Mutex
	holder      *caps.Holder
	answered    chan struct{} // closed at the next answer or failure
	failedSince time.Time     // of the first of the calls that have failed since the last answer, or zero
	term        uint64        // of the last owner that answered
	refused     map[string]*refusals

	wake chan struct{}
	done chan error // receives the result of run
}

// refusals are the requests of a customer that were refused.
type refusals struct {
	name     string // under which they are counted
	unlogged int
	loggedAt time.Time
}

func newCapsClient(name string, bound caps.Bound, targets func() []string, dial mesh.DialFunc, now func() time.Time, log *event.Log, st *stats.Registry) *capsClient {
	c := &capsClient{
		bound: bound, targets: targets, dial: dial, now: now, log: log, stats: st, holder: caps.NewHolder(name, rand.Uint64()),
		answered: make(chan struct{}), refused: make(map[string]*refusals), wake: make(chan struct{}, 1), done: make(chan error, 1),
	}
	st.Gauges(c.setGauges)
	return c
}

// Configure puts the caps of a document in force.
func (c *capsClient) Configure(doc *config.Document) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder.SetCaps(doc.Version, capsOf(c.bound, doc))
}

// Take takes a token for one operation of a customer. It waits at most until the given time for an
// answer of the owner.
func (c *capsClient) Take(ctx context.Context, customer string, priority int, until time.Time) error {
	now := c.now()
	c.mu.Lock()
	v := c.holder.Take(customer, priority, now)
	answered := c.answered
	if v.Outcome == caps.Waiting && (!now.Before(until) || !c.failedSince.IsZero() && now.Sub(c.failedSince) > capsSilence) {
		v = c.holder.Settle(customer, priority, now)
	}
	next := c.holder.NextAsk()
	c.mu.Unlock()
	if !next.IsZero() && v.Outcome != caps.Taken {
		c.wakeUp()
	}
	if v.Outcome == caps.Waiting {
		v = c.await(ctx, v, answered, customer, priority, until)
	}
	if v.Outcome == caps.Taken {
		return nil
	}
	c.recordRefusal(customer, now)
	return errs.New(errs.NotRun, errs.ReasonCap, "the customer sends more operations than it may", errs.WithRetryAfter(v.RetryAfter))
}

// await waits for the answer that a request needs, and decides about the request.
func (c *capsClient) await(ctx context.Context, v caps.Verdict, answered chan struct{}, customer string, priority int, until time.Time) caps.Verdict {
	timer := time.NewTimer(min(capsWait, until.Sub(c.now())))
	defer timer.Stop()
	for waits := true; ; {
		select {
		case <-answered:
		case <-timer.C:
			waits = false
		case <-ctx.Done():
			waits = false
		}
		c.mu.Lock()
		if !waits || c.holder.Answered(v.Ask) {
			defer c.mu.Unlock()
			return c.holder.Settle(customer, priority, c.now())
		}
		answered = c.answered
		c.mu.Unlock()
	}
}

// recordRefusal counts a refused request, and logs from time to time how many there were.
func (c *capsClient) recordRefusal(customer string, now time.Time) {
	c.mu.Lock()
	r := c.refused[customer]
	if r == nil {
		r = &refusals{name: customer}
		if len(c.refused) >= maxCountedCustomers {
			r.name = otherCustomers
		}
		c.refused[customer] = r
	}
	r.unlogged++
	n := r.unlogged
	logs := now.Sub(r.loggedAt) >= refusalLogInterval
	if logs {
		r.unlogged, r.loggedAt = 0, now
	}
	silent := !c.failedSince.IsZero()
	c.mu.Unlock()
	c.stats.Scope().Tagged(map[string]string{"customer": r.name}).Counter("cap_refusals").Inc(1)
	if logs {
		c.log.Info().Str(event.Customer, customer).Int("refused", n).Bool("owner_silent", silent).Msg("requests of a customer beyond its cap were refused")
	}
}

// wakeUp makes run look whether an Ask is due. It never blocks.
func (c *capsClient) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// run sends the Asks that are due until ctx ends.
func (c *capsClient) run(ctx context.Context) error {
	var client *mesh.Client
	defer func() {
		if client != nil {
			client.Close()
		}
	}()
	search := ownerSearch{}
	for c.awaitDue(ctx) {
		if addr := search.next(c.targets()); client == nil || client.Addr() != addr {
			if client != nil {
				client.Close()
			}
			client = mesh.NewClient(addr, c.dial)
		}
		leader, ok := c.exchange(ctx, client)
		if search.record(client.Addr(), leader, ok); !ok {
			select {
			case <-ctx.Done():
			case <-time.After(capsRetryDelay):
			}
		}
	}
	return ctx.Err()
}

// ownerSearch chooses the control instance to call: the one that answered as the owner, the one that
// another instance says leads, or one after the other.
type ownerSearch struct {
	owner string // it answered as the owner, or another one says that it leads; or empty
	lost  string // the last owner that did not answer as such
	tried int    // number of instances that were asked in turn
}

// next returns the address to call, or "" if none is known.
func (s *ownerSearch) next(targets []string) string {
	switch {
	case s.owner != "":
		return s.owner
	case len(targets) == 0:
		return ""
	}
	return targets[s.tried%len(targets)]
}

// record records the outcome of a call. leader is the address that the instance says leads, or "".
func (s *ownerSearch) record(addr, leader string, ok bool) {
	switch {
	case ok:
		*s = ownerSearch{owner: addr}
	case leader != "" && leader != addr && leader != s.lost:
		s.owner = leader
	default:
		if s.owner == addr {
			s.lost = addr
		}
		s.owner = ""
		s.tried++
	}
}

// awaitDue waits until an Ask is due. It returns false when ctx ends.
func (c *capsClient) awaitDue(ctx context.Context) bool {
	for {
		c.mu.Lock()
		next := c.holder.NextAsk()
		c.mu.Unlock()
		var due <-chan time.Time
		if !next.IsZero() {
			wait := next.Sub(c.now())
			if wait <= 0 {
				return ctx.Err() == nil
			}
			due = time.After(wait)
		}
		select {
		case <-ctx.Done():
			return false
		case <-c.wake:
		case <-due:
		}
	}
}

// exchange sends an Ask and applies the answer. It returns the address of another instance that is
// said to be the owner, and false if the owner did not answer.
func (c *capsClient) exchange(parent context.Context, client *mesh.Client) (leader string, ok bool) {
	ctx, stop := context.WithTimeout(parent, capsCallTimeout)
	defer stop()
	askedAt := c.now()
	c.mu.Lock()
	ask := c.holder.Ask(askedAt)
	c.mu.Unlock()
	c.stats.Scope().Counter("caps_calls").Inc(1)
	var reply *mesh.CapsReply
	if client.Addr() != "" {
		var err error
		if reply, err = client.Caps(ctx, &ask); err != nil && parent.Err() == nil {
			c.log.Debug().Err(err).Str("control", client.Addr()).Msg("call to the owner of the caps failed; it is repeated")
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if reply != nil && reply.Owner && reply.Grant.State != caps.Silent {
		c.holder.Apply(&reply.Grant, askedAt, now)
		c.failedSince = time.Time{}
		if term := reply.Grant.Term; term != c.term {
			c.log.Info().Uint64("term", term).Uint64("was", c.term).Str("control", client.Addr()).Msg("owner of the caps changed")
			c.term = term
		}
		close(c.answered)
		c.answered = make(chan struct{})
		return "", true
	}
	c.stats.Scope().Counter("caps_call_failures").Inc(1)
	if c.failedSince.IsZero() {
		c.failedSince = askedAt
	}
	if reply != nil && !reply.Owner {
		leader = reply.Leader
	}
	return leader, false
}

// setGauges sets the gauges of the tokens that this instance has.
func (c *capsClient) setGauges(set stats.SetGauge) {
	c.mu.Lock()
	defer c.mu.Unlock()
	tokens, wanted := c.holder.Stocks()
	set("caps_tokens", nil, float64(tokens))
	set("caps_tokens_wanted", nil, float64(wanted))
}
