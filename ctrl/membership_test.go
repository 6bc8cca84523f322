package ctrl

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"tamarackcross/raft"
)

// TestReplacedVoter guards against the ID of a lost disk that stays a voter, so that the loss of a
// second disk, or of the same one again, leaves no majority.
func TestReplacedVoter(t *testing.T) { runMembershipScript(t, "testmembers/replaced") }

// TestPromotableLearner guards against an even number of voters, which has no majority when it is
// split into halves, and against a spare learner that does not replace a lost voter.
func TestPromotableLearner(t *testing.T) { runMembershipScript(t, "testmembers/learner") }

// TestLeavingVoter guards against a voter that announced its stop and keeps its vote although a
// learner can take it, and against fewer voters when none can.
func TestLeavingVoter(t *testing.T) { runMembershipScript(t, "testmembers/leaving") }

// TestSurplusVoters guards against voters that are gone for good and not replaced, since they were replaced before: with
// them the log does not survive the next lost disk. Voters that may come back are kept where their disks may be needed.
func TestSurplusVoters(t *testing.T) { runMembershipScript(t, "testmembers/surplus") }

// TestGoneLearner guards against instances that do not vote, are gone for good and stay members: each of them is told
// to the entries as a control instance that they could call.
func TestGoneLearner(t *testing.T) { runMembershipScript(t, "testmembers/gone-learner") }

// TestLearnerSilence guards against the silence of a learner that is not counted.
func TestLearnerSilence(t *testing.T) {
	now := time.Unix(1000, 0)
	learner := raft.Member{ID: 2, Address: "b", Learner: true}
	st := raft.Status{ID: 1, Role: raft.Leader, Members: raft.Members{{ID: 1, Address: "a"}, learner}, Progress: []raft.Progress{
		{Member: learner, Answered: true, HeardAt: now.Add(-silentLearnerTimeout)},
	}}
	n := &Node{silence: make(silenceRecord)}
	n.silence.update(st, now)
	got := "none"
	if change, _ := nextChange(n.memberStates(st, now), true, minOddVoters, n.silentLimit(now)); change != nil {
		got = describeChange(change)
	}
	if want := "remove 2"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// runMembershipScript applies all changes that are due to the members of each script. After each
// step it prints the members, with "!" behind those that do not answer, and the voters that the log
// cannot lose as well.
func runMembershipScript(t *testing.T, path string) {
	datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
		var members []memberState
		for _, line := range strings.Split(d.Input, "\n") {
			members = append(members, parseMember(t, line))
		}
		var out strings.Builder
		fmt.Fprintf(&out, "%s\n", describeMembers(members))
		for range 10 {
			change, _ := nextChange(members, d.HasArg("open"), neededFor(t, d), silentVoterTimeout)
			if change == nil {
				return out.String()
			}
			members = applyChange(members, change)
			fmt.Fprintf(&out, "%s: %s\n", describeChange(change), describeMembers(members))
		}
		return out.String() + "changes do not end\n"
	})
}

// neededFor returns the number of voters that are needed to survive as many lost disks as a script says, 1 by
// default.
func neededFor(t *testing.T, d *datadriven.TestData) int {
	disks := 1
	if d.HasArg("disks") {
		d.ScanArgs(t, "disks", &disks)
	}
	var n Node
	WithDiskLosses(disks)(&n)
	return n.neededVoters
}

// parseMember reads a member: ID, address and words on its state.
func parseMember(t *testing.T, line string) memberState {
	words := strings.Fields(line)
	id, err := strconv.Atoi(words[0])
	if err != nil {
		t.Fatal(err)
	}
	m := memberState{Member: raft.Member{ID: raft.ID(id), Address: words[1]}, active: true}
	for _, word := range words[2:] {
		switch word {
		case "learner":
			m.Learner = true
		case "behind":
		case "caught-up":
			m.caughtUp = true
		case "leaving":
			m.leaving = true
		default:
			if m.silent, err = time.ParseDuration(strings.TrimPrefix(word, "silent=")); err != nil {
				t.Fatal(err)
			}
			m.active = false
		}
	}
	return m
}

func applyChange(members []memberState, c raft.Change) []memberState {
	var out []memberState
	for _, m := range members {
		switch c := c.(type) {
		case raft.Remove:
			if m.ID == c.ID {
				continue
			}
		case raft.Promote:
			m.Learner = m.Learner && m.ID != c.ID
		}
		out = append(out, m)
	}
	return out
}

func describeChange(c raft.Change) string {
	switch c := c.(type) {
	case raft.Remove:
		return "remove " + c.ID.String()
	case raft.Promote:
		return "promote " + c.ID.String()
	default:
		return fmt.Sprintf("%T", c)
	}
}

func describeMembers(members []memberState) string {
	var voters, learners, fatal []string
	for _, m := range members {
		word := m.ID.String()
		if !m.active {
			word += "!"
		}
		if m.Learner {
			learners = append(learners, word)
			continue
		}
		voters = append(voters, word)
		if m.active && !hasMajorityWithout(members, m.ID) {
			fatal = append(fatal, word)
		}
	}
	out := "voters " + strings.Join(voters, " ")
	if len(learners) > 0 {
		out += ", learners " + strings.Join(learners, " ")
	}
	if len(fatal) > 0 {
		out += ", cannot lose " + strings.Join(fatal, " ")
	}
	return out
}

// hasMajorityWithout reports whether the active voters are a majority if one of them is lost.
func hasMajorityWithout(members []memberState, lost raft.ID) bool {
	voters := slices.DeleteFunc(slices.Clone(members), func(m memberState) bool { return m.Learner })
	active := slices.DeleteFunc(slices.Clone(voters), func(m memberState) bool { return !m.active || m.ID == lost })
	return len(active) > len(voters)/2
}

// TestSilenceOutlastsLeadership guards against a voter that is never found silent for long enough
// because the leaders change.
func TestSilenceOutlastsLeadership(t *testing.T) {
	const self, other, silent raft.ID = 1, 2, 3
	members := raft.Members{{ID: self, Address: "a"}, {ID: other, Address: "b"}, {ID: silent, Address: "c"}}
	status := func(active, answered bool) raft.Status {
		return raft.Status{ID: self, Role: raft.Leader, Members: members, Progress: []raft.Progress{
			{Member: members[1], RecentlyActive: true, Answered: true},
			{Member: members[2], RecentlyActive: active, Answered: answered},
		}}
	}
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	r := make(silenceRecord)
	r.update(status(false, true), at(0))
	r.update(status(false, true), at(500*time.Millisecond))
	// Another member led meanwhile. A new leader counts every member as active at first.
	r.update(status(true, false), at(1500*time.Millisecond))
	r.update(status(false, false), at(1800*time.Millisecond))
	if got, want := r.of(silent, at(1800*time.Millisecond)), 1800*time.Millisecond; got != want {
		t.Errorf("silent for %s after a change of leaders, want %s", got, want)
	}
	r.update(status(true, true), at(2*time.Second))
	if got := r.of(silent, at(2*time.Second)); got != 0 {
		t.Errorf("silent for %s after it answered, want 0", got)
	}
	r.update(status(false, true), at(3*time.Second))
	r.update(status(false, true), at(3*time.Second+silenceMemory))
	if got := r.of(silent, at(3*time.Second+silenceMemory)); got != 0 {
		t.Errorf("silent for %s by what was seen %s ago, want 0", got, silenceMemory)
	}
}

// TestSilentVoterAtNewLeader guards against leaders that change so often that none counts a voter as
// silent, which each found silent before: it is neither replaced nor, after that, removed.
func TestSilentVoterAtNewLeader(t *testing.T) {
	const self, other, gone, successor raft.ID = 1, 2, 3, 4
	start := time.Unix(1000, 0)
	for _, tt := range []struct {
		name     string
		learner  bool          // whether the successor does not vote yet
		answered bool          // whether the voter that was gone has answered
		since    time.Duration // since this member led last
		want     string
	}{
		{"replaced", true, false, 2 * time.Second, "promote 4"},
		{"removed", false, false, 2 * time.Second, "remove 3"},
		{"returned", true, true, 2 * time.Second, "none"},
		{"long ago", true, false, silenceMemory, "none"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			members := raft.Members{{ID: self, Address: "a"}, {ID: other, Address: "b"}, {ID: gone, Address: "c"}, {ID: successor, Address: "d", Learner: tt.learner}}
			status := func(active, answered bool) raft.Status {
				return raft.Status{ID: self, Role: raft.Leader, Members: members, Progress: []raft.Progress{
					{Member: members[1], RecentlyActive: true, Answered: true},
					{Member: members[2], RecentlyActive: active, Answered: answered},
					{Member: members[3], RecentlyActive: true, Answered: true, CaughtUp: true},
				}}
			}
			n := &Node{silence: make(silenceRecord)}
			n.silence.update(status(false, true), start)
			n.silence.update(status(false, true), start.Add(silentVoterTimeout))
			now := start.Add(silentVoterTimeout + tt.since)
			st := status(true, tt.answered) // at a new leader
			n.silence.update(st, now)
			got := "none"
			if change, _ := nextChange(n.memberStates(st, now), true, minOddVoters, n.silentLimit(now)); change != nil {
				got = describeChange(change)
			}
			if got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}

// TestQuickReplacement guards against a voter that is gone and counts as one for longer than it takes to
// notice: its silence counts from when it was heard last, also before the election of the leader. A spare
// replaces it soon, unless one has just been removed.
func TestQuickReplacement(t *testing.T) {
	const self, other, gone, spare raft.ID = 1, 2, 3, 4
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	for _, tt := range []struct {
		name     string
		heard    time.Duration // since the voter was heard
		answered bool          // whether it has answered this leader
		leads    time.Duration // since the election
		removed  time.Duration // since a voter was removed, 0 if none was
		voting   bool          // whether the spare votes already
		want     string
	}{
		{name: "under the same leader", heard: 450 * time.Millisecond, answered: true, leads: time.Minute, want: "promote 4"},
		{name: "too soon", heard: 350 * time.Millisecond, answered: true, leads: time.Minute, want: "none"},
		{name: "former leader", heard: 600 * time.Millisecond, leads: 120 * time.Millisecond, want: "promote 4"},
		{name: "may still answer", heard: 600 * time.Millisecond, leads: 50 * time.Millisecond, want: "none"},
		{name: "removed", heard: 600 * time.Millisecond, leads: 120 * time.Millisecond, removed: 10 * time.Millisecond, voting: true, want: "remove 3"},
		{name: "after a removal", heard: 900 * time.Millisecond, answered: true, leads: time.Minute, removed: 5 * time.Second, want: "none"},
		{name: "after a removal, for longer", heard: 1100 * time.Millisecond, answered: true, leads: time.Minute, removed: 5 * time.Second, want: "promote 4"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			members := raft.Members{{ID: self, Address: "a"}, {ID: other, Address: "b"}, {ID: gone, Address: "c"}, {ID: spare, Address: "d", Learner: !tt.voting}}
			active := raft.Progress{RecentlyActive: true, Answered: true, CaughtUp: true, HeardAt: now}
			silent := raft.Progress{Member: members[2], RecentlyActive: !tt.answered, Answered: tt.answered, HeardAt: ago(tt.heard)}
			st := raft.Status{ID: self, Role: raft.Leader, Members: members, LeaderSince: ago(tt.leads), Progress: []raft.Progress{active, silent, active}}
			st.Progress[0].Member, st.Progress[2].Member = members[1], members[3]
			n := &Node{silence: make(silenceRecord)}
			if tt.removed > 0 {
				n.voterRemovedAt = ago(tt.removed)
			}
			n.silence.update(st, now)
			got := "none"
			if change, _ := nextChange(n.memberStates(st, now), true, minOddVoters, n.silentLimit(now)); change != nil {
				got = describeChange(change)
			}
			if got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}
