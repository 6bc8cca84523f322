package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// commit is an entry in the log of a group.
type commit struct {
	term, number int
	ids          []string // of its writes
	at           time.Time
	confirmed    bool // it was acknowledged by the primary
}

func (c *commit) position() string { return fmt.Sprintf("%d.%d", c.term, c.number) }

// group is a service with a primary and replicas. The primary acknowledges a commit at once,
// or once a replica has received it if sync is set. Replicas apply it later. A promotion
// discards what the promoted member has not received. A former primary that does not reach
// the new one keeps its own log until it does.
type group struct {
	name string
	kind groupKind
	rec  *record

	mu      sync.Mutex
	term    int
	log     []*commit // of the primary
	members []*member
	primary *member           // nil from a step-down until the next promotion
	stepped *member           // that stepped down; it still sends what it had committed
	token   int               // newest fencing token that was seen
	lost    map[string]string // acknowledged writes that a promotion discarded, with the promoted member
}

// groupKind holds the figures of a service, as a site file has them.
type groupKind struct {
	sync      bool
	slots     int
	maxConns  int
	handshake time.Duration
	receive   time.Duration // until a replica has received a commit
	apply     time.Duration // until it has applied the commit
	promote   time.Duration // from an order until the member leads
}

func newGroup(name string, k groupKind, rec *record) *group {
	return &group{name: name, kind: k, rec: rec, term: 1, lost: make(map[string]string)}
}

// receives reports whether a member gets what the primary sends, or what the one that stepped down
// still has to send. The caller holds g.mu.
func (g *group) receives(m *member) bool {
	source := g.primary
	if source == nil {
		source = g.stepped
	}
	return m.pausedTerm == 0 && !m.down && !m.deaf && source != nil && !source.down && !source.cutFrom[m] && !m.cutFrom[source] &&
		!time.Now().Before(m.receivesFrom)
}

// update brings the log of a replica up to date. The caller holds g.mu.
func (g *group) update(m *member) {
	if m == g.primary {
		m.held, m.shown = len(g.log), len(g.log)
		return
	}
	if m.branch != nil && g.receives(m) {
		m.held = commonPrefix(m.branch, g.log)
		m.shown, m.branch = min(m.shown, m.held), nil
	}
	if m.branch != nil {
		return
	}
	if g.receives(m) {
		limit := time.Now().Add(-g.kind.receive)
		for m.held < len(g.log) && !g.log[m.held].at.After(limit) {
			m.held++
		}
	}
	m.held = min(m.held, len(g.log))
	m.shown = min(m.shown, m.held)
	limit := time.Now().Add(-g.kind.apply)
	for m.shown < m.held && !g.log[m.shown].at.After(limit) {
		m.shown++
	}
}

func commonPrefix(a, b []*commit) int {
	n := 0
	for n < min(len(a), len(b)) && a[n] == b[n] {
		n++
	}
	return n
}

// received returns the log that a member holds. The caller holds g.mu.
func (g *group) received(m *member) []*commit {
	g.update(m)
	if m.branch != nil {
		return m.branch
	}
	return g.log[:m.held]
}

// applied returns the log that the reads of a member see. The caller holds g.mu.
func (g *group) applied(m *member) []*commit {
	g.update(m)
	if m.branch != nil {
		return m.branch
	}
	return g.log[:m.shown]
}

// positionOf returns the position at which a log ends.
func positionOf(log []*commit) string {
	if len(log) == 0 {
		return "1.0"
	}
	return log[len(log)-1].position()
}

// append adds a commit of the primary. The caller holds g.mu.
func (g *group) append(ids []string) *commit {
	c := &commit{term: g.term, number: len(g.log) + 1, ids: slices.Clone(ids), at: time.Now()}
	g.log = append(g.log, c)
	return c
}

// confirm waits until the commit may be acknowledged, and reports whether it may. The caller
// holds g.mu, which is released meanwhile.
func (g *group) confirm(m *member, c *commit) bool {
	for m == g.primary && !m.down && c.term == g.term {
		if !g.kind.sync || slices.ContainsFunc(g.members, func(r *member) bool { return r != m && !r.down && slices.Contains(g.received(r), c) }) {
			c.confirmed = true
			return true
		}
		g.mu.Unlock()
		time.Sleep(time.Millisecond)
		g.mu.Lock()
	}
	return false
}

// order handles POST /promote and returns the status.
func (g *group) order(holder, id string, token int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if token < g.token {
		return 409
	}
	g.token = token
	i := slices.IndexFunc(g.members, func(m *member) bool { return m.id == id && !m.down })
	g.rec.add("promote %s: member %s, holder %s, token %d", g.name, id, holder, token)
	switch {
	case i < 0:
		return 409
	case g.members[i] == g.primary:
		return 200
	}
	time.AfterFunc(g.kind.promote, func() { g.lead(g.members[i]) })
	return 200
}

// lead makes a member the primary with what it has received.
func (g *group) lead(m *member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m == g.primary || m.down {
		return
	}
	old, next := g.log, slices.Clone(g.received(m))
	kept := commonPrefix(old, next)
	for _, c := range old[kept:] {
		if c.confirmed {
			for _, id := range c.ids {
				g.lost[id] = m.id
			}
		}
	}
	for _, c := range next {
		for _, id := range c.ids {
			delete(g.lost, id)
		}
	}
	g.rec.add("member %s of %s leads term %d with position %s; %d commits of the former primary are discarded, %d that were discarded before are back",
		m.id, g.name, g.term+1, positionOf(next), len(old)-kept, len(next)-kept)
	for _, other := range g.members {
		held := g.received(other)
		other.pausedTerm = 0
		if other == m || commonPrefix(held, next) == len(held) && other.branch == nil {
			other.branch = nil
			continue
		}
		other.branch = slices.Clone(held) // until it reaches the new primary
	}
	g.log, g.primary, g.term = next, m, g.term+1
	for _, other := range g.members {
		g.update(other)
		other.announce()
	}
}

// stepDown makes the primary of a lower term a replica. The caller holds g.mu.
func (g *group) stepDown(m *member, term int) {
	if m == g.primary && term > g.term {
		g.update(m)
		g.primary, g.stepped = nil, m
		m.announce()
	}
}
