package main

import (
	"fmt"
	"time"
)

const (
	lateOrder   = 6 * time.Second // of 2 to 12 s
	shortCut    = 5 * time.Second // of primary_cut
	secondCutAt = 6800 * time.Millisecond
)

// playResume checks the same rule as playNewcomer: an order to a replica to receive again, which got no
// answer, is carried out while another promotion is under way.
func playResume(bin string, trouble bool, rec *record) error {
	s, err := newSite(bin, corrimao, rec)
	if err != nil {
		return err
	}
	defer s.close()
	g := newGroup("huvo11a", groupKind{
		sync: true, slots: 3, maxConns: 43, handshake: 12 * time.Millisecond, receive: 2 * time.Millisecond, apply: 60 * time.Millisecond, promote: time.Second,
	}, rec)
	s.groups = []*group{g}
	work, ran := uniform(5*time.Millisecond), func(id, who string, _ []*commit) { rec.add("%s is run, from %s", id, who) }
	for i, z := range s.zones {
		if _, err := g.addMember(fmt.Sprintf("i-%d", i+1), z, time.Now(), work, ran); err != nil {
			return err
		}
	}
	g.members[0].farther = 3 * time.Millisecond
	first := g.members[2]
	g.primary = first
	if trouble {
		orders, late := 0, 0
		g.late = func(m *member, order string) time.Duration {
			orders++
			// One order in three at most, and only the first one to receive again.
			if order != "RESUME" || late > 0 || 3*(late+1) > orders {
				return 0
			}
			late++
			return lateOrder
		}
	}
	db := "lepu270"
	if err := s.up([]route{{db: db, kind: "primary", service: g.name, timeoutMS: 800, goalMS: 150, prio: 1}}); err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // contact_ms

	w := &writers{s: s, db: db, acked: make(map[string]bool), stop: make(chan struct{})}
	for i := range 24 {
		w.wg.Add(1)
		go w.run(i)
	}
	time.Sleep(2 * time.Second)
	s.cutPrimary(first, shortCut)
	time.Sleep(secondCutAt)
	g.mu.Lock()
	second := g.primary
	g.mu.Unlock()
	if second == nil || second == first {
		return fmt.Errorf("the first primary was not replaced")
	}
	s.cutPrimary(second, shortCut)
	time.Sleep(shortCut + 4*time.Second)
	close(w.stop)
	w.wg.Wait()
	return w.judge(g)
}
