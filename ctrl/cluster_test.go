package ctrl_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"storj.io/drpc/drpcmux"

	"tamarackcross/ctrl"
	"tamarackcross/emul"
	"tamarackcross/fleet"
	"tamarackcross/raft"
	"tamarackcross/state"
)

const (
	waitLimit = 10 * time.Second // for a condition to become true
	waitPoll  = 5 * time.Millisecond
)

// member is a control member that can be stopped, lose its disk and be started
// again at the same address.
type member struct {
	name                 string
	addr                 string
	dataDir              string
	node                 *ctrl.Node // nil while it is stopped
	memberID             raft.ID    // ID since the last start
	stop                 func()
	replacementUnchecked bool // its disk was lost and its new ID is not checked yet
	values               *valueLedger
}

// cluster is a set of control members on an emulated network.
type cluster struct {
	t           *testing.T
	net         *emul.Network
	members     []*member
	unavailable *member           // member that is stopped or isolated, nil if none
	lostID      raft.ID           // ID of unavailable before its disk was lost
	accepted    map[string]uint64 // version by ID of the accepted change
	hosted      bool              // members may join, and the log is applied to values
	formed      bool              // members that start later are told of those that run, not of the initial ones
	newest      bool              // only the newest value is kept
	bytesTo     sync.Map          // *atomic.Int64 with the bytes sent to a member, by its address
	root        string            // of the data directories
}

func newCluster(t *testing.T, n int) *cluster {
	c := &cluster{t: t, net: emul.NewNetwork(), accepted: make(map[string]uint64), root: t.TempDir()}
	t.Cleanup(c.close)
	c.addMembers(n)
	for _, m := range c.members {
		c.start(m)
	}
	return c
}

// addMembers adds members that are not started yet.
func (c *cluster) addMembers(n int) {
	c.t.Helper()
	addrs, err := emul.ReserveAddrs(emul.ProcessHost(), n)
	if err != nil {
		c.t.Fatal(err)
	}
	for _, addr := range addrs {
		name := fmt.Sprintf("control-%d", len(c.members)+1)
		c.members = append(c.members, &member{name: name, addr: addr, dataDir: filepath.Join(c.root, name)})
		c.net.Register(addr, name, "zone-"+name)
	}
}

func (c *cluster) close() {
	for _, m := range c.members {
		c.stopMember(m)
	}
	c.net.Close()
}

func (c *cluster) addrs() []string {
	var out []string
	for _, m := range c.members {
		out = append(out, m.addr)
	}
	return out
}

func (c *cluster) start(m *member) {
	c.t.Helper()
	l, err := net.Listen("tcp", m.addr)
	if err != nil {
		c.t.Fatal(err)
	}
	opts := []ctrl.Option{
		ctrl.WithName(m.name), ctrl.WithZone("zone-" + m.name), ctrl.WithInitialMembers(c.addrs()...),
		ctrl.WithDial(c.countingDialer(ctrl.DialFunc(c.net.Dialer(m.name, "zone-"+m.name)))),
	}
	if c.hosted {
		opts = append(opts, c.hostedOptions(m)...)
	}
	node, err := ctrl.Open(m.dataDir, m.addr, opts...)
	if err != nil {
		c.t.Fatal(err)
	}
	mux := drpcmux.New()
	if err := node.Register(mux); err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() {
		served <- ctrl.Serve(ctx, l, mux, func(call string, err error) { c.t.Errorf("%s: %v", call, err) })
	}()
	m.node, m.memberID = node, node.Identity()
	m.stop = func() {
		cancel()
		_ = l.Close()
		if err := node.Close(); err != nil {
			c.t.Errorf("%s ended with %v", m.name, err)
		}
		<-served
	}
}

// stopMember stops a member. The others are not told.
func (c *cluster) stopMember(m *member) {
	if m.node == nil {
		return
	}
	m.stop()
	m.node = nil
}

// wipeDataDir removes the data directory of a stopped member.
func (c *cluster) wipeDataDir(m *member) {
	c.lostID, m.replacementUnchecked = m.memberID, true
	if err := os.RemoveAll(m.dataDir); err != nil {
		c.t.Fatal(err)
	}
}

// await polls cond until it holds.
func (c *cluster) await(what string, cond func() bool) {
	c.t.Helper()
	for end := time.Now().Add(waitLimit); !cond(); time.Sleep(waitPoll) {
		if time.Now().After(end) {
			c.t.Fatalf("condition not met within %s: %s", waitLimit, what)
		}
	}
}

// leader waits for a leader that a majority has confirmed, among the members that
// are neither stopped nor isolated.
func (c *cluster) leader() *member {
	c.t.Helper()
	var found *member
	c.await("a leader", func() bool {
		for _, m := range c.members {
			if m.node == nil || m == c.unavailable {
				continue
			}
			if st := m.node.Status(); st.Role == raft.Leader && st.Current {
				found = m
			}
		}
		return found != nil
	})
	return found
}

// follower returns the first member that is not the leader.
func (c *cluster) follower() *member {
	l := c.leader()
	for _, m := range c.members {
		if m != l && m != c.unavailable && m.node != nil {
			return m
		}
	}
	c.t.Fatal("no follower is left")
	return nil
}

// memberFor returns the member that a script names: the leader, a follower, one by its
// name or, for any other name, the unavailable one.
func (c *cluster) memberFor(name string) *member {
	switch name {
	case "leader":
		return c.leader()
	case "follower":
		return c.follower()
	}
	for _, m := range c.members {
		if m.name == name {
			return m
		}
	}
	return c.unavailable
}

func applyConfig(id string, base uint64) state.Command {
	return state.NewApplyConfig(id, base, fleet.Default(), "test", time.Now())
}

// change submits a configuration change until a leader answers it, as a caller does.
func (c *cluster) change(id string, base uint64) string {
	c.t.Helper()
	var result state.Result
	c.await("an answer to change "+id, func() bool {
		var err error
		result, err = c.leader().node.Propose(context.Background(), applyConfig(id, base))
		return err == nil
	})
	switch r := result.(type) {
	case state.ConfigAccepted:
		c.accepted[id] = r.Version
		return fmt.Sprintf("accepted as version %d", r.Version)
	case state.ConfigConflict:
		return fmt.Sprintf("lost to %s, version %d", r.Winner.ID, r.Winner.Version)
	default:
		return fmt.Sprintf("%T", r)
	}
}

// propose submits a configuration change once to one member.
func (c *cluster) propose(m *member, id string, base uint64) string {
	_, err := m.node.Propose(context.Background(), applyConfig(id, base))
	return outcomeText(err)
}

// confirm calls ConfirmLeadership on one member until it succeeds or the member is
// not the leader.
func (c *cluster) confirm(m *member) string {
	for {
		err := m.node.ConfirmLeadership(context.Background())
		if err == nil || m.node.Status().Role != raft.Leader {
			return outcomeText(err)
		}
	}
}

func outcomeText(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ctrl.ErrNotLeader):
		return "refused: not the leader"
	case errors.Is(err, ctrl.ErrOutcomeUnknown):
		return "refused: leadership lost, outcome not known"
	default:
		return "refused: " + err.Error()
	}
}

func (c *cluster) awaitVersion(v uint64) {
	c.t.Helper()
	c.await(fmt.Sprintf("version %d on every member", v), func() bool {
		for _, m := range c.members {
			if m.node != nil && m != c.unavailable && m.node.Machine().View().Config().Version() != v {
				return false
			}
		}
		return true
	})
}

// awaitReplaced waits until the member whose disk was lost is a voter under its new
// ID and the lost ID is removed.
func (c *cluster) awaitReplaced(m *member) string {
	c.t.Helper()
	if m.memberID == c.lostID {
		return "identity is unchanged"
	}
	var members raft.Members
	c.await("the lost member ID is replaced", func() bool {
		members = c.leader().node.Status().Members
		_, old := members.Find(c.lostID)
		return members.IsVoter(m.memberID) && !old
	})
	return fmt.Sprintf("%d members, the new identity votes, the lost one is removed", len(members))
}
