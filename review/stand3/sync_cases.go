package main

import (
	"fmt"
	"time"
)

// primaryCut is how long a primary is partitioned from some of the entries, and crashTime how long a
// crashed primary is down.
const (
	primaryCut = 7 * time.Second
	crashTime  = 7 * time.Second
	serverCut  = 5 * time.Second
)

// Values of TROUBLE: no disruption, and all of them but the partition, which has to hold too.
const (
	noTrouble   = "0"
	noPartition = "no-partition"
)

// skippedReplica: a primary is partitioned from three of five entries and therefore replaced. While it
// is still partitioned from them, as a replica, the new primary crashes.
func skippedReplica(root, dir string, rec *record, trouble string) error {
	s, err := newSite(root, dir, 5, 1, rec)
	if err != nil {
		return err
	}
	defer s.close()
	if err := s.startAll(); err != nil {
		return err
	}
	end := s.load(6, 10*time.Millisecond)
	time.Sleep(3 * time.Second)
	g := s.group
	if trouble == noTrouble {
		time.Sleep(14 * time.Second)
		return s.finish(end)
	}
	first := g.leader()
	if trouble == noPartition {
		g.crashWhenAhead(g.members[1], g.members[2], time.Second)
		time.Sleep(crashTime)
		if err := first.comeBack(); err != nil {
			return err
		}
		time.Sleep(3 * time.Second)
		return s.finish(end)
	}
	first.setCut(s.entries[0].name, s.entries[1].name, s.entries[2].name)
	rec.note("%s, the primary, is partitioned from %s, %s and %s for %v", first.id, s.entries[0].name, s.entries[1].name, s.entries[2].name, primaryCut)
	healed := time.AfterFunc(primaryCut, func() {
		first.setCut()
		rec.note("the partition of %s has healed", first.id)
	})
	defer healed.Stop()
	second := g.awaitLeader(first, primaryCut-2*time.Second)
	if second == nil {
		return fmt.Errorf("the primary was not replaced in time")
	}
	time.Sleep(time.Second)
	g.crashWhenAhead(first, g.third(first, second), time.Second)
	time.Sleep(crashTime)
	if err := second.comeBack(); err != nil {
		return err
	}
	rec.note("%s is back", second.id)
	time.Sleep(3 * time.Second)
	return s.finish(end)
}

// unknownReplica: a replica is partitioned from control, all control processes are killed and start
// again, and the primary crashes.
func unknownReplica(root, dir string, rec *record, trouble string) error {
	s, err := newSite(root, dir, 3, 1, rec)
	if err != nil {
		return err
	}
	defer s.close()
	if err := s.startAll(); err != nil {
		return err
	}
	end := s.load(6, 10*time.Millisecond)
	time.Sleep(3 * time.Second)
	g := s.group
	if trouble == noTrouble {
		time.Sleep(14 * time.Second)
		return s.finish(end)
	}
	first := g.leader()
	var ahead, behind *member
	for _, m := range g.members {
		if m != first && ahead == nil {
			ahead = m
		} else if m != first {
			behind = m
		}
	}
	if trouble != noPartition {
		ahead.setCut(s.controls[0].name, s.controls[1].name, s.controls[2].name)
		rec.note("%s, a replica, is partitioned from control for %v", ahead.id, serverCut)
		healed := time.AfterFunc(serverCut, func() {
			ahead.setCut()
			rec.note("the partition of %s has healed", ahead.id)
		})
		defer healed.Stop()
	}
	for _, c := range s.controls {
		c.kill()
	}
	rec.note("all control processes are killed")
	time.Sleep(600 * time.Millisecond)
	for _, c := range s.controls {
		if err := s.start(c); err != nil {
			return err
		}
	}
	rec.note("all control processes start again")
	time.Sleep(1500 * time.Millisecond)
	g.crashWhenAhead(ahead, behind, time.Second)
	time.Sleep(crashTime)
	if err := first.comeBack(); err != nil {
		return err
	}
	rec.note("%s is back", first.id)
	time.Sleep(3 * time.Second)
	return s.finish(end)
}

const (
	// shortCrash is how long the first primary is down.
	shortCrash = 2500 * time.Millisecond
	// betweenFaults is the time from the return of the first primary until the next one is partitioned.
	betweenFaults = 2 * time.Second
)

// lateResume: a primary crashes and is replaced. The order to the other replica to receive again is left
// unanswered, and is carried out seconds later: while the new primary, which is partitioned from control
// and from most entries, is being replaced.
func lateResume(root, dir string, rec *record, trouble string) error {
	s, err := newSite(root, dir, 5, 1, rec)
	if err != nil {
		return err
	}
	defer s.close()
	g := s.group
	g.primary = g.members[2]
	if err := s.startAll(); err != nil {
		return err
	}
	end := s.load(5, 60*time.Millisecond)
	time.Sleep(3 * time.Second)
	if trouble == noTrouble {
		time.Sleep(20 * time.Second)
		return s.finish(end)
	}
	first := g.leader()
	g.mu.Lock()
	first.crashLocked()
	rec.note("the primary %s crashes", first.id)
	g.mu.Unlock()
	crashed := time.Now()
	second := g.awaitLeader(first, 5*time.Second)
	if second == nil {
		return fmt.Errorf("the primary was not replaced in time")
	}
	if trouble != noLateOrder {
		g.mu.Lock()
		g.late.member = g.third(first, second)
		g.mu.Unlock()
	}
	time.Sleep(time.Until(crashed.Add(shortCrash)))
	if err := first.comeBack(); err != nil {
		return err
	}
	rec.note("%s is back, as a replica", first.id)
	time.Sleep(betweenFaults)
	cut := []string{s.entries[0].name, s.entries[1].name, s.entries[2].name}
	for _, c := range s.controls {
		cut = append(cut, c.name)
	}
	second.setCut(cut...)
	rec.note("%s, the primary, is partitioned from control and from %v for %v", second.id, cut[:3], serverCut)
	time.Sleep(serverCut)
	second.setCut()
	rec.note("the partition of %s has healed", second.id)
	time.Sleep(5 * time.Second)
	return s.finish(end)
}

// noLateOrder is the value of TROUBLE that leaves the late order out.
const noLateOrder = "no-late-order"
