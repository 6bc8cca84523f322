package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// promoteTime is the time from the order to promote until the member leads.
	promoteTime = time.Second
	// meanReceiveDelay is the mean time until a replica has received a commit.
	meanReceiveDelay = 3 * time.Millisecond
	// meanApplyLag is the mean time until a replica has applied a commit that it received.
	meanApplyLag = 60 * time.Millisecond
)

// commit is an entry in the log of a service.
type commit struct {
	term, offset int
	id           string
	at           time.Time
	arrives      map[*member]time.Time // when a replica has received it, at the earliest
	acked        bool                  // the requester has the acknowledgement
}

func (c *commit) position() string { return fmt.Sprintf("%d.%d", c.term, c.offset) }

// group is a service: a primary and its replicas. All fields are guarded by mu.
type group struct {
	name     string
	sync     int // replicas that have received a commit when it is acknowledged
	maxConns int
	rec      *record

	mu      sync.Mutex
	term    int
	log     []*commit // of the primary
	members []*member
	primary *member // nil after a step down until the next promotion
	token   int     // newest fencing token that the platform has seen
	late    lateOrder
}

// add appends a commit to the log of the primary.
func (g *group) add(id string) *commit {
	c := &commit{term: g.term, offset: len(g.log) + 1, id: id, at: time.Now(), arrives: map[*member]time.Time{}}
	for _, m := range g.members {
		delay := time.Duration(rand.ExpFloat64() * float64(meanReceiveDelay))
		c.arrives[m] = c.at.Add(500*time.Microsecond + delay)
	}
	g.log = append(g.log, c)
	g.primary.received, g.primary.applied = len(g.log), len(g.log)
	return c
}

// replicate lets the replicas receive and apply commits until stop is closed.
func (g *group) replicate(stop <-chan struct{}) {
	t := time.NewTicker(200 * time.Microsecond)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		now := time.Now()
		g.mu.Lock()
		for _, m := range g.members {
			m.receive(now)
		}
		g.mu.Unlock()
	}
}

// receive advances a replica to the commits that have arrived. The lock of the group is held.
func (m *member) receive(now time.Time) {
	g := m.group
	if m == g.primary {
		m.received, m.applied = len(g.log), len(g.log)
		return
	}
	if m.down {
		return
	}
	primaryRuns := g.primary != nil && !g.primary.down
	for primaryRuns && m.pausedTerm == 0 && m.received < len(g.log) && !now.Before(g.log[m.received].arrives[m]) {
		m.received++
	}
	for m.applied < m.received && now.Sub(g.log[m.applied].at) >= meanApplyLag {
		m.applied++
	}
}

// confirmed reports whether enough replicas have received a commit.
func (g *group) confirmed(c *commit) bool {
	n := 0
	for _, m := range g.members {
		if m != g.primary && m.received >= c.offset {
			n++
		}
	}
	return n >= g.sync
}

// inLog reports whether a commit is part of the log.
func (g *group) inLog(c *commit) bool {
	return c.offset <= len(g.log) && g.log[c.offset-1] == c
}

// order checks a promotion order of the platform. It returns false if the order is rejected.
func (g *group) order(id string, token int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if token < g.token {
		return false
	}
	for _, m := range g.members {
		if m.id == id && !m.down {
			g.token = token
			return true
		}
	}
	return false
}

// promote makes a member the primary of the next term, with what it has received. An acknowledged
// commit that it lacks breaks LOST where commits wait for replicas.
func (g *group) promote(id string, token int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if token < g.token {
		return
	}
	for _, m := range g.members {
		if m.id != id || m.down || m == g.primary {
			continue
		}
		for _, c := range g.log[m.received:] {
			if c.acked && g.sync > 0 {
				g.rec.violation("LOST: %s (%s) was acknowledged to its requester and is not in the log of %s, which is promoted", c.id, c.position(), m.id)
			}
		}
		g.rec.note("promoted %s: it has received %d of %d commits; %s", m.id, m.received, len(g.log), g.describe())
		g.log = g.log[:m.received]
		g.term++
		g.primary = m
		for _, o := range g.members {
			o.received, o.applied, o.pausedTerm = min(o.received, len(g.log)), min(o.applied, len(g.log)), 0
			o.roleChanged()
		}
		return
	}
}

// describe lists what the members have received. The lock is held.
func (g *group) describe() string {
	out := ""
	for _, m := range g.members {
		state := "replica"
		if m == g.primary {
			state = "primary"
		}
		if m.down {
			state = "down, was " + state
		}
		out += fmt.Sprintf("[%s %s received %d paused %d] ", m.id, state, m.received, m.pausedTerm)
	}
	return out
}

// leader returns the present primary, or nil.
func (g *group) leader() *member {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.primary == nil || g.primary.down {
		return nil
	}
	return g.primary
}

// crashWhenAhead waits until the newest acknowledged commits are at one replica and not yet at the
// other one, and makes the primary crash. It gives up after limit and crashes it anyway.
func (g *group) crashWhenAhead(ahead, behind *member, limit time.Duration) {
	end := time.Now().Add(limit)
	for {
		g.mu.Lock()
		missing := 0
		for i := behind.received; i < ahead.received; i++ {
			if g.log[i].acked {
				missing++
			}
		}
		if p := g.primary; p != nil && (missing > 0 || time.Now().After(end)) {
			p.crashLocked()
			g.rec.note("the primary %s crashes; %d acknowledged commits have reached %s and not %s; %s", p.id, missing, ahead.id, behind.id, g.describe())
			g.mu.Unlock()
			return
		}
		g.mu.Unlock()
		time.Sleep(100 * time.Microsecond)
	}
}
