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
	recoveryTime  = 20 * time.Second // time that members have to recover after the last fault
	searchSeeds   = 1000             // schedules tried until the checker detects the disabled rule
)

// TestMain fixes the seed so that every run gives the same result. The flags can
// still be overridden on the command line.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "150", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// maxPausesMs are the upper bounds of the random pauses between two steps, in
// milliseconds.
var maxPausesMs = []int{1, 5, 20, 100, 400, 1000}

// chooser returns a number from 0 to n-1.
type chooser func(n int) int

// runSchedule drives s through random faults and requests and then verifies that
// it recovers.
func runSchedule(s *sim, choose chooser) error {
	for range scheduleSteps {
		step(s, choose)
		s.run(time.Duration(choose(maxPausesMs[choose(len(maxPausesMs))])) * time.Millisecond)
		if s.checker.err != nil {
			return s.checker.err
		}
	}
	return checkRecovery(s)
}

func step(s *sim, choose chooser) {
	i := choose(len(s.hosts))
	h := s.hosts[i]
	if l := s.leader(); l >= 0 && choose(2) == 0 {
		i, h = l, s.hosts[l]
	}
	action := choose(27)
	if s.constantChanges && action < 6 {
		action = 16
	}
	if action < 19 && !h.running(s.now) {
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
		_ = s.change(i, randomChange(s, choose))
	case 19:
		h.frozenUntil = s.now.Add(time.Duration(choose(1200)) * time.Millisecond)
	case 20, 21:
		s.crashHost(i)
	case 22:
		randomPartition(s, i, choose)
	case 23, 24, 25:
		clear(s.cutLinks)
	case 26:
		if diskLossAllowed(s) {
			s.wipe(i)
			s.start(i)
		}
	}
}

// randomPartition isolates host i or splits the hosts into two random groups.
func randomPartition(s *sim, i int, choose chooser) {
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

// randomChange removes a member whose disk was lost, if there is one. Otherwise
// it adds, promotes, removes or readdresses the member of a random host.
func randomChange(s *sim, choose chooser) raft.Change {
	ms := s.checker.members(s.bootstrap)
	for _, m := range ms {
		if s.hosts[s.hostOf[m.ID]].disk.HardState.ID != m.ID {
			return raft.Remove{ID: m.ID}
		}
	}
	id := s.hosts[choose(len(s.hosts))].disk.HardState.ID
	m, ok := ms.Find(id)
	switch {
	case !ok:
		return raft.AddLearner{ID: id}
	case m.Learner:
		return raft.Promote{ID: id}
	case s.constantChanges || len(ms.Voters()) > 3:
		return raft.Remove{ID: id}
	}
	return raft.SetAddress{ID: id, Address: "moved"}
}

// diskLossAllowed reports whether every committed entry stays on a majority if
// one more disk is lost: all voters have their disks and no membership change is
// in progress.
func diskLossAllowed(s *sim) bool {
	ms := s.checker.members(s.bootstrap)
	for _, id := range ms.Voters() {
		if s.hosts[s.hostOf[id]].disk.HardState.ID != id {
			return false
		}
	}
	for _, h := range s.hosts {
		for _, e := range h.disk.Entries {
			if e.Kind == raft.KindMembers && e.Index > s.checker.highest {
				return false
			}
		}
	}
	return len(ms.Voters()) >= 3
}

// checkRecovery ends all faults and verifies that the members agree again.
func checkRecovery(s *sim) error {
	clear(s.cutLinks)
	s.lossRate, s.duplicationRate, s.crashRate = 0, 0, 0
	for i, h := range s.hosts {
		h.frozenUntil = time.Time{}
		s.start(i)
	}
	s.run(recoveryTime)
	l := s.leader()
	if s.checker.err != nil || l < 0 {
		return fmt.Errorf("the members did not recover: %v\n%s", s.checker.err, s)
	}
	before := s.checker.reads
	if err := s.read(l); err != nil {
		return err
	}
	last, err := s.propose(l, []byte("end"))
	if err != nil {
		return err
	}
	s.run(time.Second)
	for _, m := range s.checker.members(s.bootstrap) {
		h := s.hosts[s.hostOf[m.ID]]
		if h.disk.HardState.ID == m.ID && (h.appliedIndex < last || h.digest != s.checker.committed[h.appliedIndex].digest) {
			return fmt.Errorf("member %s did not catch up to %d\n%s", m.ID, last, s)
		}
	}
	if s.checker.reads == before {
		return fmt.Errorf("a read was not answered\n%s", s)
	}
	return s.checker.err
}

func newFaultySim(seed uint64, opts ...raft.Option) *sim {
	base := []raft.Option{raft.WithMaxBatch(3, 64), raft.WithMaxInflightAppends(2), raft.WithTrailingEntries(2)}
	s := newSim(seed, 3, 2, append(base, opts...)...)
	s.lossRate = []float64{0, 0.05, 0.3}[s.rnd.IntN(3)]
	s.crashRate = []float64{0, 0.02, 0.1}[s.rnd.IntN(3)]
	s.duplicationRate = 0.05
	s.constantChanges = s.rnd.IntN(2) == 0
	for _, h := range s.hosts {
		h.clockRate = normalClockRate/2 + s.rnd.IntN(normalClockRate)
	}
	return s
}

// TestRandomSchedules guards against lost committed entries, two leaders in a
// term, diverging logs, stale reads and members that do not recover, under random
// crashes, partitions, packet loss, frozen processes and lost disks.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newFaultySim(rapid.Uint64().Draw(t, "seed"))
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		if err := runSchedule(s, choose); err != nil {
			t.Fatal(err)
		}
	})
}

// TestCheckerFindsConcurrentChanges guards against schedules and a checker that
// are too weak to detect a violation: if membership changes do not wait for each
// other, one of the schedules must violate a safety property.
func TestCheckerFindsConcurrentChanges(t *testing.T) {
	for seed := range uint64(searchSeeds) {
		s := newFaultySim(seed, raft.WithConcurrentChanges)
		s.constantChanges, s.lossRate, s.crashRate = true, 0.3, 0
		_ = runSchedule(s, s.rnd.IntN)
		if s.checker.err != nil {
			t.Logf("schedule %d: %v", seed, s.checker.err)
			return
		}
	}
	t.Fatal("the checker detected no violation")
}
