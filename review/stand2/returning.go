package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	splitLength = 5500 * time.Millisecond // of primary_cut
	deafAt      = 1800 * time.Millisecond // after the start of the cut
	deafLength  = 6500 * time.Millisecond // of replica_lag
	crashAfter  = deafLength / 2          // of the primary, since the replicas receive nothing
)

// playReturning checks that reads see the commits that were acknowledged before and that are kept. The
// primary is cut off from its replicas, control and most entries; its successor crashes when it is back.
func playReturning(bin string, trouble bool, rec *record) error {
	s, err := newSite(bin, corrimao, rec)
	if err != nil {
		return err
	}
	defer s.close()
	g := newGroup("huvo11a", groupKind{
		slots: 3, maxConns: 43, handshake: 12 * time.Millisecond, receive: 2 * time.Millisecond, apply: 60 * time.Millisecond, promote: time.Second,
	}, rec)
	s.groups = []*group{g}
	runs := &readRuns{logs: make(map[string][]*commit)}
	for i, z := range s.zones {
		if _, err := g.addMember(fmt.Sprintf("i-%d", i+1), z, time.Now(), uniform(5*time.Millisecond), runs.record(rec)); err != nil {
			return err
		}
	}
	first := g.members[0]
	g.primary = first
	db := "lepu270"
	if err := s.up([]route{{db: db, kind: "primary", service: g.name, timeoutMS: 800, goalMS: 150, prio: 1}}); err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // contact_ms

	w := &writers{s: s, db: db, reads: true, acked: make(map[string]bool), sent: make(map[string]time.Time), ackAt: make(map[string]time.Time), stop: make(chan struct{})}
	for i := range 24 {
		w.wg.Add(1)
		go w.run(i)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		s.splitPrimary(first)
		time.Sleep(deafAt)
		g.setDeaf(true)
		time.AfterFunc(deafLength, func() { g.setDeaf(false) })
		time.Sleep(crashAfter)
		g.mu.Lock()
		second := g.primary
		g.mu.Unlock()
		if second == nil || second == first {
			return fmt.Errorf("the first primary was not replaced")
		}
		rec.add("the primary %s crashes", second.id)
		second.setDown(true)
		time.Sleep(deafLength)
		second.setDown(false)
		rec.add("%s is back", second.id)
	}
	time.Sleep(4 * time.Second)
	close(w.stop)
	w.wg.Wait()
	return runs.judge(w, g)
}

// splitPrimary cuts a member off from control, from cutFronts entries and from the other members.
func (s *site) splitPrimary(m *member) {
	setCut := func(members ...*member) {
		m.g.mu.Lock()
		defer m.g.mu.Unlock()
		m.cutFrom = make(map[*member]bool)
		for _, other := range members {
			m.cutFrom[other] = true
		}
	}
	s.rec.add("%s is cut off from the other members too", m.id)
	setCut(slices.Clone(m.g.members)...)
	s.cutPrimary(m, splitLength)
	time.AfterFunc(splitLength, func() { setCut() })
}

// setDeaf makes all members but the primary receive nothing, or receive again.
func (g *group) setDeaf(deaf bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		g.update(m)
		m.deaf = deaf
	}
	g.rec.add("replicas receive nothing: %t", deaf)
}

// readRuns holds the log on which each read ran last.
type readRuns struct {
	mu   sync.Mutex
	logs map[string][]*commit
}

func (r *readRuns) record(rec *record) func(id, who string, log []*commit) {
	return func(id, who string, log []*commit) {
		rec.add("%s is run, from %s, on a log that ends at %s", id, who, positionOf(log))
		r.mu.Lock()
		defer r.mu.Unlock()
		r.logs[id] = slices.Clone(log)
	}
}

// judge checks the rule STALE on a primary route: commits that are not kept do not count.
func (r *readRuns) judge(w *writers, g *group) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, sent := range w.sent {
		log, ran := r.logs[id]
		if !ran || !w.acked[id] {
			continue
		}
		saw := make(map[*commit]bool, len(log))
		for _, c := range log {
			saw[c] = true
		}
		for _, c := range g.log {
			if at, ok := w.ackAt[c.ids[0]]; ok && at.Before(sent) && !saw[c] {
				w.s.rec.violation("STALE: read %s ran on a log that ends at %s and lacks commit %s of write %s, acknowledged %.3f s before it was sent and kept",
					id, positionOf(log), c.position(), c.ids[0], sent.Sub(at).Seconds())
				break
			}
		}
	}
	w.s.rec.add("%d writes and reads were served, %d of them reads or refused reads", len(w.acked), len(w.sent))
	for _, p := range w.s.core {
		w.s.logLines(p, "primary does not answer", "member that received most", "promotion ordered", "promotion was accepted")
	}
	if len(w.acked) < 100 || g.primary == nil {
		return fmt.Errorf("only %d operations were served, or there is no primary", len(w.acked))
	}
	return nil
}
