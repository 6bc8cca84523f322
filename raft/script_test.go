package raft_test

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"tamarackcross/raft"
)

const maxElectRounds = 12 // message exchanges between a candidate and its voter before elect gives up

var unsafeModes = map[string]raft.Option{
	"unsynced-vote":   raft.WithUnsyncedVote,
	"old-term-commit": raft.WithOldTermCommit,
	"unrounded-read":  raft.WithUnroundedRead,
}

// TestScripts guards the rules of the protocol one by one. The scripts under
// testdata/weakened run the same steps with a rule disabled, where the checker
// must report a violation, and enabled, where it must report none.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var s *sim
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "new" {
				s = newScriptSim(t, d)
				return "ok"
			}
			s.events = nil
			if err := runCommand(t, s, d); err != nil {
				s.events = append(s.events, "error: "+rootText(err))
			}
			if s.checker.err != nil {
				s.events = append(s.events, "violation: "+s.checker.err.Error())
			}
			if len(s.events) == 0 {
				return "ok"
			}
			return strings.Join(s.events, "\n")
		})
	})
}

func rootText(err error) string {
	for next := err; next != nil; next = errors.Unwrap(next) {
		err = next
	}
	return err.Error()
}

func newScriptSim(t *testing.T, d *datadriven.TestData) *sim {
	voters, spare := 3, 0
	d.MaybeScanArgs(t, "voters", &voters)
	d.MaybeScanArgs(t, "spare", &spare)
	var opts []raft.Option
	if d.HasArg("small") {
		opts = append(opts, raft.WithMaxBatch(1, 64), raft.WithMaxInflightAppends(1), raft.WithTrailingEntries(0))
	}
	var weak string
	if d.MaybeScanArgs(t, "weak", &weak) {
		opts = append(opts, unsafeModes[weak])
	}
	return newSim(1, voters, spare, opts...)
}

func runCommand(t *testing.T, s *sim, d *datadriven.TestData) error {
	var host, to, n int
	var id uint64
	var duration string
	d.MaybeScanArgs(t, "host", &host)
	d.MaybeScanArgs(t, "to", &to)
	d.MaybeScanArgs(t, "n", &n)
	d.MaybeScanArgs(t, "id", &id)
	d.MaybeScanArgs(t, "for", &duration)
	span, _ := time.ParseDuration(duration)
	if d.HasArg("leader") {
		if host = s.leader() + 1; host == 0 {
			return errors.New("there is no leader")
		}
	}
	i := host - 1
	switch d.Cmd {
	case "run":
		s.run(span)
	case "status":
		s.events = append(s.events, strings.TrimSpace(s.String()))
	case "elect":
		return elect(s, i, to-1)
	case "campaign":
		campaign(s, i)
	case "deliver":
		deliver(s, i, to-1)
	case "drop":
		s.packets = nil
	case "crash":
		s.hosts[i].node = nil
	case "start":
		s.start(i)
	case "wipe":
		s.wipe(i)
		s.start(i)
	case "freeze":
		s.hosts[i].frozenUntil = s.now.Add(span)
	case "isolate":
		s.partition(func(k int) int { return min(1, max(k-i, i-k)) })
	case "heal":
		clear(s.cutLinks)
	case "propose":
		for range max(1, n) {
			if _, err := s.propose(i, []byte("data")); err != nil {
				return err
			}
		}
	case "read":
		return s.read(i)
	case "compact":
		return s.compact(i)
	case "add":
		return s.change(i, raft.AddLearner{ID: raft.ID(id)})
	case "promote":
		return s.change(i, raft.Promote{ID: raft.ID(id)})
	case "remove":
		return s.change(i, raft.Remove{ID: raft.ID(id)})
	default:
		d.Fatalf(t, "unknown command %s", d.Cmd)
	}
	return nil
}

// campaign moves the clock of host i forward to the end of its election timeout.
func campaign(s *sim, i int) {
	h := s.hosts[i]
	h.clockOffset += max(0, h.node.NextTick(h.local(s.now)).Sub(h.local(s.now)))
	s.handle(i, h.node.Tick(h.local(s.now)))
}

// deliver hands over the packets that are now in flight from host i to host j.
func deliver(s *sim, i, j int) {
	on := func(p packet) bool { return p.from == i && p.to == j }
	now := s.packets
	s.packets = slices.DeleteFunc(slices.Clone(now), on)
	for _, p := range now {
		if h := s.hosts[j]; on(p) && h.node != nil {
			s.handle(j, h.node.Step(p.msg, h.local(s.now)))
		}
	}
}

// elect makes host i the leader with the vote of host j alone.
func elect(s *sim, i, j int) error {
	for k := range maxElectRounds {
		h := s.hosts[i]
		if h.node.Status(h.local(s.now)).Role == raft.Leader {
			return nil
		}
		if k%4 == 0 {
			campaign(s, i)
		}
		deliver(s, i, j)
		deliver(s, j, i)
	}
	return fmt.Errorf("host %d was not elected", i+1)
}
