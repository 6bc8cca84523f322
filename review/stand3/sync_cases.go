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
