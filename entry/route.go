package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"tamarackcross/errs"
	"tamarackcross/group"
	"tamarackcross/route"
)

// route chooses the member that serves a request. It waits while a replica is
// about to reach the bound of a read and that is cheaper than the primary.
func (c *session) route(ctx context.Context, req *request) (*member, error) {
	db, err := c.srv.database(c.database)
	if err != nil {
		return nil, err
	}
	if g, err := db.group(); err == nil {
		req.term = g.Term
	}
	q, err := c.routeQuery(ctx, db, req)
	if err != nil {
		return nil, err
	}
	asked := false
	for {
		moved := db.movement()
		now := time.Now()
		q.Waited = now.Sub(req.arrived)
		switch choice := db.pick(q, now).(type) {
		case route.Use:
			if !q.Write && !asked && db.silentPrimary(choice, now) {
				asked = true
				if err := db.askReplicas(ctx, moved, choice.Need); err != nil {
					return nil, err
				}
				continue
			}
			req.need, req.latest = choice.Need, choice.Confirm
			return db.named(choice.Name)
		case route.Wait:
			if err := db.awaitMovement(ctx, moved, choice, now); err != nil {
				return nil, err
			}
		case route.Reject:
			if choice.Reason == errs.ReasonBoundUnknown && c.ahead(req) && c.awaitChange(ctx, req.deadline.Sub(now)) {
				continue
			}
			return nil, errs.New(errs.NotRun, choice.Reason, "no member may serve the request",
				errs.WithRetryAfter(choice.RetryAfter))
		}
	}
}

// ahead reports whether the session knows a newer term than this entry, which
// then waits for the news: the session was at an entry that had it.
func (c *session) ahead(req *request) bool {
	p, ok := c.vector.At(c.database)
	g, known := c.srv.dir.Group(c.database)
	return ok && known && p.Term > g.Term && !time.Now().After(req.deadline)
}

// routeQuery describes the request to the routing decision.
func (c *session) routeQuery(ctx context.Context, db *database, req *request) (route.Query, error) {
	est := c.srv.learner.Lookup(req.fingerprint, req.arrived)
	q := route.Query{
		Write:    req.onPrimary(),
		Zone:     c.srv.zone,
		Deadline: req.deadline,
		Expected: est.Mean,
		Exclude:  req.tried,
	}
	if q.Write {
		q.Exclude = nil // the primary is the only candidate
		return q, nil
	}
	bound, err := c.bound(ctx, db, req)
	q.Bound = bound
	return q, err
}

// bound returns the bound of a read. A session without a position takes that
// of the primary, so that nothing acknowledged before is missed.
func (c *session) bound(ctx context.Context, db *database, req *request) (group.Bound, error) {
	if req.primaryOnly {
		return group.LatestBound{}, nil
	}
	if c.set.bound == boundLatest && req.reads() {
		return group.LatestBound{}, nil
	}
	p, ok := c.vector.At(c.database)
	if !ok && !req.reads() {
		return group.SessionBound{}, nil // SHOW and the like read no data
	}
	if !ok {
		var err error
		if p, err = db.confirms.current(ctx); err != nil {
			return nil, err
		}
		c.raise(p)
	}
	db.noteRead(time.Now())
	if c.set.bound == boundAge {
		return group.AgeBound{Max: c.set.maxAge, Position: p}, nil
	}
	return group.SessionBound{Position: p}, nil
}

// pick runs the routing decision on what is known now.
func (db *database) pick(q route.Query, now time.Time) route.Choice {
	g, err := db.group()
	if err != nil {
		return route.Reject{Reason: errs.ReasonUnknownDB}
	}
	db.mu.Lock()
	defer db.mu.Unlock()
	db.follow(g)
	view := route.Group{
		Term: g.Term, History: g.History, Primary: g.Primary,
		Samples: &db.samples, Penalty: db.balance.Penalty(),
	}
	for _, b := range g.Members {
		m := db.memberLocked(b).view(b, g, now)
		m.Open = !db.breakers.Usable(b.Name, now)
		m.Weight = db.breakers.Weight(b.Name, now)
		view.Members = append(view.Members, m)
	}
	choice := db.policy.Pick(q, view, now, db.rnd)
	if use, ok := choice.(route.Use); ok && !q.Write {
		db.balance.Note(use.Name == g.Primary)
	}
	return choice
}

// follow makes the breakers fit the members of the group. The caller holds mu.
func (db *database) follow(g Group) {
	if len(db.listed) == len(g.Members) && db.listedTerm == g.Term {
		return
	}
	names := make([]string, len(g.Members))
	for i, b := range g.Members {
		names[i] = b.Name
	}
	db.breakers.SetMembers(names)
	db.listed, db.listedTerm = names, g.Term
}

// view describes the member to the routing decision.
func (m *member) view(b Backend, g Group, now time.Time) route.Member {
	load := m.gate.load()
	slots := float64(max(1, load.slots))
	m.mu.Lock()
	defer m.mu.Unlock()
	out := route.Member{
		Name:    m.name,
		Zone:    m.zone,
		Primary: m.name == g.Primary,
		Applied: m.applied,
		AsOf:    m.asOf,
		Lag:     m.lag,
		Load:    float64(load.running+load.waiting) / slots,
		Wait:    time.Duration(float64(load.waiting) / slots * float64(m.db.srv.learner.Typical())),
		Leaving: b.Leaving,
	}
	if b.Leaving && m.leaveAt.IsZero() {
		m.leaveAt = now
	}
	out.LeaveAt = m.leaveAt
	return out
}

// named returns a member by name.
func (db *database) named(name string) (*member, error) {
	g, err := db.group()
	if err != nil {
		return nil, err
	}
	b, ok := g.Member(name)
	if !ok {
		return nil, errs.New(errs.NotRun, errs.ReasonNoMember, "backend server is gone")
	}
	return db.member(b), nil
}

// movement returns a channel that is closed when a member is seen to have
// applied more.
func (db *database) movement() <-chan struct{} {
	db.mu.Lock()
	defer db.mu.Unlock()
	return db.moved
}

// awaitMovement waits for the member of choice to apply more. While anybody
// waits, the member is asked for its position.
func (db *database) awaitMovement(ctx context.Context, moved <-chan struct{}, choice route.Wait, now time.Time) error {
	m, err := db.named(choice.Name)
	if err != nil {
		return err
	}
	m.follow(choice.Need)
	return awaitMoved(ctx, moved, choice.Until.Sub(now))
}

// awaitMoved waits until a member has applied more or the time has passed.
func awaitMoved(ctx context.Context, moved <-chan struct{}, d time.Duration) error {
	t := time.NewTimer(max(0, d))
	defer t.Stop()
	select {
	case <-moved:
	case <-t.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

const (
	// silentAfter is how long the watch of the primary may get no answer before
	// reads look for a replica that is further than known.
	silentAfter = 600 * time.Millisecond
	// askLimit bounds the wait for the answers of the replicas.
	askLimit = 150 * time.Millisecond
)

// silentPrimary reports whether the choice is a primary that has not answered
// for some time. What is known of the replicas came from it and is old.
func (db *database) silentPrimary(choice route.Use, now time.Time) bool {
	g, err := db.group()
	if err != nil || choice.Confirm || choice.Name != g.Primary {
		return false
	}
	db.mu.Lock()
	defer db.mu.Unlock()
	return now.Sub(db.heard) > silentAfter
}

// askReplicas asks every replica for its position and waits until one has
// answered something new. An entry in a zone that is cut off finds out this way
// that the replica of its zone has reached the bound.
func (db *database) askReplicas(ctx context.Context, moved <-chan struct{}, need group.Position) error {
	g, err := db.group()
	if err != nil {
		return err
	}
	for _, b := range g.Members {
		if b.Name != g.Primary {
			db.member(b).follow(need)
		}
	}
	return awaitMoved(ctx, moved, askLimit)
}

func newRand(seed uint64, name string) *rand.Rand {
	var h uint64
	for i := range len(name) {
		h = h*31 + uint64(name[i])
	}
	return rand.New(rand.NewPCG(seed, h))
}
