package ctrl_test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"tamarackcross/ctrl"
	"tamarackcross/raft"
)

// TestRemovedMember guards against a control member that is gone for good and still counts as a
// voter after its successor has caught up. Then the loss of one more disk leaves no majority, and
// what was acknowledged cannot be read any more.
func TestRemovedMember(t *testing.T) {
	datadriven.Walk(t, "testremoved", func(t *testing.T, path string) {
		var c *cluster
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "cluster" {
				c = newHostedCluster(t, intArg(t, d, "members"))
				return ""
			}
			return c.runRemoval(t, d)
		})
	})
}

// initialHosted is the number of members that bootstrap the log of a hosted cluster.
const initialHosted = 3

// newHostedCluster starts a cluster whose members are found and replaced while it runs.
func newHostedCluster(t *testing.T, n int) *cluster {
	c := newCluster(t, 0)
	c.hosted, c.formed = true, true
	c.addMembers(n)
	for _, m := range c.members {
		c.start(m)
	}
	return c
}

// hostedOptions returns the options of a member. Only the first start of an initial member may
// bootstrap the log.
func (c *cluster) hostedOptions(m *member) []ctrl.Option {
	i := slices.Index(c.members, m)
	first := m.values == nil
	m.values = &valueLedger{newest: c.newest}
	opts := []ctrl.Option{ctrl.WithLedger(m.values), ctrl.WithOpenMembership()}
	if i < initialHosted && first {
		return append(opts, ctrl.WithInitialMembers(c.addrs()[:initialHosted]...))
	}
	seeds := c.runningAddrs()
	if !c.formed {
		seeds = c.addrs()[:initialHosted]
	}
	return append(opts, ctrl.WithInitialMembers(seeds...), ctrl.WithoutBootstrap())
}

// runningAddrs returns the addresses of initialHosted members that run, which the settings of a member name when it
// starts later than the first ones.
func (c *cluster) runningAddrs() []string {
	var out []string
	for _, m := range c.members {
		if m.node != nil && len(out) < initialHosted {
			out = append(out, m.addr)
		}
	}
	return out
}

// valueLedger lists the values that were stored.
type valueLedger struct {
	newest bool // only the newest value is kept
	mu     sync.Mutex
	values []string
}

func (l *valueLedger) Apply(_ uint64, command []byte) any {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.newest {
		l.values = nil
	}
	l.values = append(l.values, string(command))
	return nil
}

func (l *valueLedger) Snapshot() []byte { return []byte(l.list()) }

func (l *valueLedger) Restore(data []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.values = strings.Fields(string(data))
	return nil
}

// list returns each stored value once, as a value may be stored again if an answer is lost.
func (l *valueLedger) list() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(slices.Compact(slices.Clone(l.values)), " ")
}

// runRemoval runs one command of a script.
func (c *cluster) runRemoval(t *testing.T, d *datadriven.TestData) string {
	c.t = t
	switch d.Cmd {
	case "store":
		return c.store(stringArg(t, d, "value"))
	case "join":
		c.addMembers(1)
		m := c.members[len(c.members)-1]
		c.start(m)
		c.await("the member is a learner", func() bool {
			_, ok := c.leader().node.Status().Members.Find(m.memberID)
			return ok
		})
	case "remove":
		c.stopMember(c.memberFor(stringArg(t, d, "at")))
	case "leave":
		c.leave(c.memberFor(stringArg(t, d, "at")))
	case "leaders":
		c.changeLeaders(intArg(t, d, "count"), durationArg(t, d, "every"))
	case "pause":
		time.Sleep(durationArg(t, d, "for"))
	case "lose":
		m := c.memberFor(stringArg(t, d, "at"))
		c.stopMember(m)
		c.wipeDataDir(m)
		time.Sleep(durationArg(t, d, "for"))
		c.start(m)
	case "voters":
		return c.awaitVoters()
	case "grown":
		want := intArg(t, d, "voters")
		c.await("all members vote", func() bool { return len(c.leader().node.Status().Members.Voters()) == want })
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return ""
}

// leave stops a member as planned: it asks the leader to take its vote first.
func (c *cluster) leave(m *member) {
	c.await("the vote of the member is handed over", func() bool {
		ctx, stop := context.WithTimeout(context.Background(), time.Second)
		defer stop()
		return c.leader().node.HandOver(ctx, m.memberID) == nil
	})
	c.stopMember(m)
}

// store stores a value through the leader and returns all values that it then has.
func (c *cluster) store(value string) string {
	var values string
	c.await("value "+value+" is stored", func() bool {
		l := c.leader()
		if _, err := l.node.ProposeData(context.Background(), []byte(value)); err != nil {
			return false
		}
		values = l.values.list()
		return true
	})
	return values
}

// leaderOutage is how long changeLeaders isolates a leader.
const leaderOutage = 700 * time.Millisecond

// changeLeaders isolates the leader for a moment, several times.
func (c *cluster) changeLeaders(count int, every time.Duration) {
	for range count {
		time.Sleep(every - leaderOutage)
		m := c.leader()
		c.net.Isolate(m.name)
		time.Sleep(leaderOutage)
		c.net.Rejoin(m.name)
	}
}

// awaitVoters waits until all members that run vote, or are a spare, and no other ID does.
func (c *cluster) awaitVoters() string {
	running := func(id raft.ID) bool {
		return slices.ContainsFunc(c.members, func(m *member) bool { return m.node != nil && m.memberID == id })
	}
	c.await("only members that run are voters", func() bool {
		voters := c.leader().node.Status().Members.Voters()
		return len(voters)%2 == 1 && !slices.ContainsFunc(voters, func(id raft.ID) bool { return !running(id) })
	})
	return ""
}

func durationArg(t *testing.T, d *datadriven.TestData, name string) time.Duration {
	t.Helper()
	v, err := time.ParseDuration(stringArg(t, d, name))
	if err != nil {
		t.Fatal(err)
	}
	return v
}
