package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"tamarackcross/errs"
	"tamarackcross/group"
	"tamarackcross/route"
)

// route chooses the member that serves a request. It waits for a replica that is
// about to reach the read bound if that costs less than a read at the primary.
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
	polled := false
	for {
		advanced := db.appliedAdvanced()
		now := time.Now()
		q.Waited = now.Sub(req.arrived)
		switch choice := db.pick(q, now).(type) {
		case route.Use:
			if !q.Write && !polled && db.choosesSilentPrimary(choice, now) {
				polled = true
				if err := db.pollReplicas(ctx, advanced, choice.Required); err != nil {
					return nil, err
				}
				continue
			}
			req.requiredPosition, req.latest = choice.Required, choice.Confirm
			if q.Write && !req.write {
				if err := c.requireSeen(ctx, req, db); err != nil {
					return nil, err
				}
			}
			return db.memberByName(choice.Name)
		case route.Wait:
			if err := db.awaitApplied(ctx, advanced, choice, now); err != nil {
				return nil, err
			}
		case route.Reject:
			if choice.Reason == errs.ReasonBoundUnknown && c.knowsNewerTerm(req) && c.awaitDirectoryChange(ctx, req.deadline.Sub(now)) {
				continue
			}
			return nil, errs.New(errs.NotRun, choice.Reason, "no member may serve the request",
				errs.WithRetryAfter(choice.RetryAfter))
		}
	}
}

// knowsNewerTerm reports whether the session has a position of a newer term than the
// directory of this entry. The session got it from another entry, so this one will
// soon learn of the term too.
func (c *session) knowsNewerTerm(req *request) bool {
	p, ok := c.vector.At(c.database)
	g, known := c.srv.dir.Group(c.database)
	return ok && known && p.Term > g.Term && !time.Now().After(req.deadline)
}

// routeQuery describes the request for the routing decision.
func (c *session) routeQuery(ctx context.Context, db *database, req *request) (route.Query, error) {
	est := c.srv.learner.Lookup(req.fingerprint, req.arrived)
	q := route.Query{
		Write:    req.needsPrimary(),
		Zone:     c.srv.zone,
		Deadline: req.deadline,
		Expected: est.Mean,
		Exclude:  req.excludedMembers,
	}
	if q.Write {
		q.Exclude = nil // the primary is the only candidate
		return q, nil
	}
	bound, err := c.bound(ctx, db, req)
	q.Bound = bound
	if _, latest := bound.(group.LatestBound); latest {
		q.Exclude = nil // likewise
	}
	return q, err
}

// readPosition returns the position that reads of the session must cover. A session without one first
// takes the confirmed position of the primary, so that its reads see every write acknowledged before.
func (c *session) readPosition(ctx context.Context, db *database) (group.Position, error) {
	if p, ok := c.vector.At(c.database); ok {
		return p, nil
	}
	p, err := db.confirmer.currentPosition(ctx)
	if err != nil {
		return group.Position{}, err
	}
	c.raisePosition(p)
	return p, nil
}

// bound returns the read bound of a request.
func (c *session) bound(ctx context.Context, db *database, req *request) (group.Bound, error) {
	if req.primaryOnly {
		return group.LatestBound{}, nil
	}
	if c.settings.bound == boundLatest && req.hasRead() {
		return group.LatestBound{}, nil
	}
	if _, ok := c.vector.At(c.database); !ok && !req.hasRead() {
		return group.SessionBound{}, nil // statements such as SHOW read no data
	}
	p, err := c.readPosition(ctx, db)
	if err != nil {
		return nil, err
	}
	db.recordRead(time.Now())
	if c.settings.bound == boundAge {
		return group.AgeBound{MaxAge: c.settings.maxAge, Position: p}, nil
	}
	return group.SessionBound{Position: p}, nil
}

// pick runs the routing decision on the known state of the group.
func (db *database) pick(q route.Query, now time.Time) route.Choice {
	g, err := db.group()
	if err != nil {
		return route.Reject{Reason: errs.ReasonUnknownDB}
	}
	db.mu.Lock()
	defer db.mu.Unlock()
	db.updateBreakers(g)
	view := route.Group{
		Term: g.Term, History: g.History, Primary: g.Primary,
		Samples: &db.confirmedSamples, Penalty: db.balance.Penalty(),
	}
	for _, b := range g.Members {
		m := db.memberLocked(b).view(b, g, now)
		m.BreakerOpen = !db.breakers.Usable(b.Name, now)
		m.Weight = db.breakers.Weight(b.Name, now)
		view.Members = append(view.Members, m)
	}
	choice := db.policy.Pick(q, view, now, db.rnd)
	if use, ok := choice.(route.Use); ok && !q.Write {
		db.balance.Record(use.Name == g.Primary)
	}
	return choice
}

// updateBreakers keeps one circuit breaker per member of the group. The caller holds
// mu.
func (db *database) updateBreakers(g Group) {
	if len(db.breakerMembers) == len(g.Members) && db.breakerTerm == g.Term {
		return
	}
	names := make([]string, len(g.Members))
	for i, b := range g.Members {
		names[i] = b.Name
	}
	db.breakers.SetMembers(names)
	db.breakerMembers, db.breakerTerm = names, g.Term
}

// view describes the member for the routing decision.
func (m *member) view(b Backend, g Group, now time.Time) route.Member {
	load := m.slots.load()
	slots := float64(max(1, load.slots))
	m.mu.Lock()
	defer m.mu.Unlock()
	out := route.Member{
		Name:      m.name,
		Zone:      m.zone,
		Primary:   m.name == g.Primary,
		Applied:   m.applied,
		AsOf:      m.asOf,
		Lag:       m.lag,
		Load:      float64(load.running+load.waiting) / slots,
		QueueWait: time.Duration(float64(load.waiting) / slots * float64(m.db.srv.learner.Typical())),
		Leaving:   b.Leaving,
	}
	if b.Leaving && m.leavingSince.IsZero() {
		m.leavingSince = now
	}
	out.LeavingSince = m.leavingSince
	return out
}

func (db *database) memberByName(name string) (*member, error) {
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

// appliedAdvanced returns a channel that is closed when a member for which a session
// waits has applied more.
func (db *database) appliedAdvanced() <-chan struct{} {
	db.mu.Lock()
	defer db.mu.Unlock()
	return db.appliedChanged
}

// awaitApplied waits until the member of choice has applied more, and starts polling
// its position meanwhile.
func (db *database) awaitApplied(ctx context.Context, advanced <-chan struct{}, choice route.Wait, now time.Time) error {
	m, err := db.memberByName(choice.Name)
	if err != nil {
		return err
	}
	m.pollUntil(choice.Required)
	return awaitAdvance(ctx, advanced, choice.Until.Sub(now))
}

// awaitAdvance waits until a member has applied more, but no longer than d.
func awaitAdvance(ctx context.Context, advanced <-chan struct{}, d time.Duration) error {
	t := time.NewTimer(max(0, d))
	defer t.Stop()
	select {
	case <-advanced:
	case <-t.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

const (
	// primarySilentAfter is the time without an answer of the primary after which
	// reads poll the replicas, whose positions are then out of date.
	primarySilentAfter = 600 * time.Millisecond
	// replicaPollWait bounds the wait for an answer of the replicas.
	replicaPollWait = 150 * time.Millisecond
)

// choosesSilentPrimary reports whether the choice is a primary that has not answered
// for some time. The known positions of the replicas come from the primary and are
// then out of date.
func (db *database) choosesSilentPrimary(choice route.Use, now time.Time) bool {
	g, err := db.group()
	if err != nil || choice.Confirm || choice.Name != g.Primary {
		return false
	}
	db.mu.Lock()
	defer db.mu.Unlock()
	return now.Sub(db.primaryAnsweredAt) > primarySilentAfter
}

// pollReplicas polls the position of every replica and waits briefly until one has
// applied more than was known. An entry in a zone that is cut off from the primary
// finds out in this way that the replica of its zone satisfies the read bound.
func (db *database) pollReplicas(ctx context.Context, advanced <-chan struct{}, required group.Position) error {
	g, err := db.group()
	if err != nil {
		return err
	}
	for _, b := range g.Members {
		if b.Name != g.Primary {
			db.member(b).pollUntil(required)
		}
	}
	return awaitAdvance(ctx, advanced, replicaPollWait)
}

func newRand(seed uint64, name string) *rand.Rand {
	var h uint64
	for i := range len(name) {
		h = h*31 + uint64(name[i])
	}
	return rand.New(rand.NewPCG(seed, h))
}
