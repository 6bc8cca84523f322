package raft_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tamarackcross/raft"
)

const (
	scheduleSteps = 250
	healTime      = 20 * time.Second // time to recover after the last fault
	searchSeeds   = 1000             // schedules tried to catch a weakened rule
)

// TestMain fixes the seed so that every run gives the same verdict. Both flags
// can be given on the command line.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "150", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// pauses are the longest times between two steps, in milliseconds.
var pauses = []int{1, 5, 20, 100, 400, 1000}

// chooser returns a number below n.
type chooser func(n int) int

// schedule drives s through faults and requests and then lets it recover.
func schedule(s *sim, choose chooser) error {
	for range scheduleSteps {
		step(s, choose)
		s.run(time.Duration(choose(pauses[choose(len(pauses))])) * time.Millisecond)
		if s.chk.err != nil {
			return s.chk.err
		}
	}
	return recovers(s)
}

func step(s *sim, choose chooser) {
	i := choose(len(s.hosts))
	h := s.hosts[i]
	if l := s.leader(); l >= 0 && choose(2) == 0 {
		i, h = l, s.hosts[l]
	}
	action := choose(27)
	if s.churn && action < 6 {
		action = 16
	}
	if action < 19 && !h.awake(s.now) {
		s.start(i)
		return
	}
	switch action {
	case 0, 1, 2, 3, 4, 5, 6, 7:
		_, _ = s.propose(i, []byte{byte(s.request), byte(choose(256))})
	case 8, 9, 10, 11, 12, 13:
		_ = s.read(i)
	case 14, 15:
		_ = s.compact(i)
	case 16, 17, 18:
		_ = s.change(i, someChange(s, choose))
	case 19:
		h.frozen = s.now.Add(time.Duration(choose(1200)) * time.Millisecond)
	case 20, 21:
		s.fall(i)
	case 22:
		someSplit(s, i, choose)
	case 23, 24, 25:
		clear(s.cut)
	case 26:
		if mayWipe(s) {
			s.wipe(i)
			s.start(i)
		}
	}
}

// someSplit cuts off host i or splits the hosts at random.
func someSplit(s *sim, i int, choose chooser) {
	if choose(2) == 0 {
		s.partition(func(k int) int { return choose(2) })
		return
	}
	s.partition(func(k int) int {
		if k == i {
			return 1
		}
		return 0
	})
}

// someChange mostly repairs: it removes identities whose disk is lost, and
// adds and promotes the members that exist.
func someChange(s *sim, choose chooser) raft.Change {
	ms := s.chk.members(s.bootstrap)
	for _, m := range ms {
		if s.hosts[s.home[m.ID]].disk.Hard.ID != m.ID {
			return raft.Remove{ID: m.ID}
		}
	}
	id := s.hosts[choose(len(s.hosts))].disk.Hard.ID
	m, ok := ms.Find(id)
	switch {
	case !ok:
		return raft.AddLearner{ID: id}
	case m.Learner:
		return raft.Promote{ID: id}
	case s.churn || len(ms.Voters()) > 3:
		return raft.Remove{ID: id}
	}
	return raft.SetAddress{ID: id, Address: "moved"}
}

// mayWipe reports whether losing one more disk leaves every committed entry on
// a majority: all voters have their disks and no change is under way.
func mayWipe(s *sim) bool {
	ms := s.chk.members(s.bootstrap)
	for _, id := range ms.Voters() {
		if s.hosts[s.home[id]].disk.Hard.ID != id {
			return false
		}
	}
	for _, h := range s.hosts {
		for _, e := range h.disk.Entries {
			if e.Kind == raft.KindMembers && e.Index > s.chk.highest {
				return false
			}
		}
	}
	return len(ms.Voters()) >= 3
}

// recovers ends all faults and checks that the members agree again.
func recovers(s *sim) error {
	clear(s.cut)
	s.loss, s.disorder, s.crash = 0, 0, 0
	for i, h := range s.hosts {
		h.frozen = time.Time{}
		s.start(i)
	}
	s.run(healTime)
	l := s.leader()
	if s.chk.err != nil || l < 0 {
		return fmt.Errorf("no recovery: %v\n%s", s.chk.err, s)
	}
	before := s.chk.reads
	if err := s.read(l); err != nil {
		return err
	}
	last, err := s.propose(l, []byte("end"))
	if err != nil {
		return err
	}
	s.run(time.Second)
	for _, m := range s.chk.members(s.bootstrap) {
		h := s.hosts[s.home[m.ID]]
		if h.disk.Hard.ID == m.ID && (h.index < last || h.digest != s.chk.committed[h.index].digest) {
			return fmt.Errorf("member %s did not catch up to %d\n%s", m.ID, last, s)
		}
	}
	if s.chk.reads == before {
		return fmt.Errorf("a read was not answered\n%s", s)
	}
	return s.chk.err
}

func stormy(seed uint64, opts ...raft.Option) *sim {
	base := []raft.Option{raft.WithBatch(3, 64), raft.WithInflight(2), raft.WithTrail(2)}
	s := newSim(seed, 3, 2, append(base, opts...)...)
	s.loss = []float64{0, 0.05, 0.3}[s.rnd.IntN(3)]
	s.crash = []float64{0, 0.02, 0.1}[s.rnd.IntN(3)]
	s.disorder = 0.05
	s.churn = s.rnd.IntN(2) == 0
	for _, h := range s.hosts {
		h.pace = normalPace/2 + s.rnd.IntN(normalPace)
	}
	return s
}

// TestSchedules guards against any loss of a committed entry, two leaders in a
// term, diverging logs, old reads, and members that do not recover.
func TestSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := stormy(rapid.Uint64().Draw(t, "seed"))
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		if err := schedule(s, choose); err != nil {
			t.Fatal(err)
		}
	})
}

// TestSearch guards against random schedules whose checker sees nothing: if
// membership changes do not wait for each other, one must be found that breaks
// a promise.
func TestSearch(t *testing.T) {
	for seed := range uint64(searchSeeds) {
		s := stormy(seed, raft.WithManyChanges)
		s.churn, s.loss, s.crash = true, 0.3, 0
		_ = schedule(s, s.rnd.IntN)
		if s.chk.err != nil {
			t.Logf("schedule %d: %v", seed, s.chk.err)
			return
		}
	}
	t.Fatal("the checker noticed nothing")
}
