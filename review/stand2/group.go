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
// discards what the promoted member has not received.
type group struct {
	name string
	kind groupKind
	rec  *record

	mu      sync.Mutex
	changed *sync.Cond // the log, a member or the primary has changed
	term    int
	number  int
	log     []*commit // of the primary
	members []*member
	primary *member                                     // nil from a step-down until the next promotion
	token   int                                         // newest fencing token that was seen
	late    func(m *member, order string) time.Duration // after which an order is carried out, without an answer; 0: at once
	lost    map[string]string                           // acknowledged writes that a promotion discarded, with the promoted member
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
	g := &group{name: name, kind: k, rec: rec, term: 1, lost: make(map[string]string)}
	g.changed = sync.NewCond(&g.mu)
	return g
}

// received returns how many commits of the log a replica holds. The caller holds g.mu.
func (g *group) received(m *member) int {
	if m == g.primary {
		return len(g.log)
	}
	if m.pausedTerm == 0 && !m.down && g.primary != nil && !time.Now().Before(m.receivesFrom) {
		limit := time.Now().Add(-g.kind.receive)
		for m.held < len(g.log) && !g.log[m.held].at.After(limit) {
			m.held++
		}
	}
	m.held = min(m.held, len(g.log))
	return m.held
}

// applied returns how many commits a member has applied. The caller holds g.mu.
func (g *group) applied(m *member) int {
	if m == g.primary {
		return len(g.log)
	}
	n, limit := g.received(m), time.Now().Add(-g.kind.apply)
	m.shown = min(m.shown, n)
	for m.shown < n && !g.log[m.shown].at.After(limit) {
		m.shown++
	}
	return m.shown
}

func (g *group) positionAt(n int) string {
	if n == 0 {
		return "1.0"
	}
	return g.log[n-1].position()
}

// append adds a commit of the primary. The caller holds g.mu.
func (g *group) append(ids []string) *commit {
	g.number++
	c := &commit{term: g.term, number: g.number, ids: slices.Clone(ids), at: time.Now()}
	g.log = append(g.log, c)
	return c
}

// confirm waits until the commit may be acknowledged, and reports whether it may. The caller
// holds g.mu, which is released meanwhile.
func (g *group) confirm(m *member, c *commit) bool {
	for m == g.primary && !m.down && c.term == g.term {
		if !g.kind.sync {
			c.confirmed = true
			return true
		}
		for _, r := range g.members {
			if n := g.received(r); r != m && !r.down && n > 0 && g.log[n-1].number >= c.number {
				c.confirmed = true
				return true
			}
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
	n := g.received(m)
	for _, c := range g.log[n:] {
		if c.confirmed {
			for _, id := range c.ids {
				g.lost[id] = m.id
			}
		}
	}
	g.rec.add("member %s of %s leads term %d with position %s; %d commits of the former primary are rolled back", m.id, g.name, g.term+1, g.positionAt(n), len(g.log)-n)
	g.log = slices.Clone(g.log[:n])
	g.primary, g.term = m, g.term+1
	for _, other := range g.members {
		other.pausedTerm = 0
		other.held, other.shown = min(other.held, n), min(other.shown, n)
	}
	for _, other := range g.members {
		other.announce()
	}
}

// stepDown makes the primary of a lower term a replica. The caller holds g.mu.
func (g *group) stepDown(m *member, term int) {
	if m == g.primary && term > g.term {
		m.held, m.shown = len(g.log), len(g.log)
		g.primary = nil
		m.announce()
	}
}
