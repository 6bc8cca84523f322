package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	drainLimit   = 7 * time.Second // drain_ms
	contact      = 4 * time.Second // contact_ms
	stopEntryAt  = 1200 * time.Millisecond
	startEntryAt = 4 * time.Second
	deafFrom     = 200 * time.Millisecond
	crashAt      = 6300 * time.Millisecond
	memberEndsAt = 10 * time.Second
)

// playLeaving checks that no request reaches a member that has been leaving for longer than drain_ms. A
// replica is replaced, and an entry is restarted meanwhile. Then the primary crashes while the other
// replicas receive nothing, so that the leaving one has received most.
func playLeaving(bin string, trouble bool, rec *record) error {
	c := &leavingCheck{rec: rec, sent: make(map[string]time.Time)}
	s, g, err := newOneServiceSite(bin, rec, false, nil)
	if err != nil {
		return err
	}
	defer s.close()
	leaving, entry := g.members[1], s.front[len(s.front)-1]
	leaving.ran = c.ran
	w, err := s.startWriters()
	if err != nil {
		return err
	}
	if err := s.replaceMember(leaving, "i-4"); err != nil {
		return err
	}
	acked := time.Now()
	c.mu.Lock()
	c.ackedAt, c.entry = acked, entry.name
	c.mu.Unlock()
	at := func(d time.Duration) { time.Sleep(time.Until(acked.Add(d))) }
	if trouble {
		at(deafFrom)
		g.setDeafOnly(leaving)
		time.AfterFunc(deafLength, func() { g.setDeaf(false) })
	}
	at(stopEntryAt)
	rec.add("SIGTERM to %s", entry.name)
	entry.signal(syscall.SIGTERM)
	select {
	case <-entry.exited:
	case <-time.After(graceS * time.Second):
		return fmt.Errorf("%s did not stop", entry.name)
	}
	at(startEntryAt)
	if err := s.start(entry, false); err != nil {
		return err
	}
	c.mu.Lock()
	c.started = time.Now()
	c.mu.Unlock()
	rec.add("%s is started again; it is in touch %v later", entry.name, contact)
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.request(entry, i, acked.Add(memberEndsAt))
		}()
	}
	at(crashAt)
	if trouble {
		rec.add("the primary %s crashes", g.members[0].id)
		g.members[0].setDown(true)
	}
	at(memberEndsAt)
	leaving.setDown(true)
	rec.add("%s ends", leaving.id)
	wg.Wait()
	close(w.stop)
	w.wg.Wait()
	for _, p := range s.core {
		s.logLines(p, "primary does not answer", "member that received most", "promotion ordered", "promotion was accepted")
	}
	return nil
}

// setDeafOnly makes all replicas but one receive nothing.
func (g *group) setDeafOnly(spared *member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		g.update(m)
		m.deaf = m != g.primary && m != spared
	}
	g.rec.add("all replicas but %s receive nothing", spared.id)
}

// leavingCheck checks the requests that reach the leaving member.
type leavingCheck struct {
	rec *record

	mu      sync.Mutex
	ackedAt time.Time // of the heartbeat by which it said that it leaves
	entry   string    // that is restarted
	started time.Time
	sent    map[string]time.Time // of the requests through that entry
}

// request sends single writes through the entry until the given time.
func (c *leavingCheck) request(p *proc, i int, until time.Time) {
	var q *requester
	for n := 0; time.Now().Before(until); n++ {
		time.Sleep(time.Duration(60+rand.IntN(60)) * time.Millisecond)
		if q == nil {
			var err error
			if q, err = connect(p, syncDB, fmt.Sprintf("e%d", i)); err != nil {
				q = nil
				continue
			}
		}
		id := fmt.Sprintf("e%d-%d", i, n)
		c.mu.Lock()
		c.sent[id] = time.Now()
		c.mu.Unlock()
		a := q.query(id, "STORE 1a4 xkqpwnzd", 2*time.Second)
		c.rec.add("%s at %s: %s %s %v", id, p.name, a.word, a.rest, a.err)
		if a.err != nil || a.state != "I" {
			q.close()
			q = nil
		}
	}
}

// ran checks a statement of a requester that the leaving member runs.
func (c *leavingCheck) ran(id, who string, _ []*commit) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rec.add("%s is run by the member that leaves, from %s", id, who)
	if c.ackedAt.IsZero() || now.Sub(c.ackedAt) <= drainLimit {
		return
	}
	sent, known := c.sent[id]
	if who == c.entry && (!known || sent.Sub(c.started) < contact) {
		return // it was not in touch
	}
	c.rec.violation("DRAIN: %s reached the member %.3f s after a control instance acknowledged that it leaves, from %s, which was in touch", id, now.Sub(c.ackedAt).Seconds(), who)
}
