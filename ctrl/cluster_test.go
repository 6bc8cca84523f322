package ctrl_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
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
	waitLimit = 10 * time.Second // for a condition that must come true
	waitPoll  = 5 * time.Millisecond
)

// member is one control member that can be stopped, lose its disk and start
// again on the same address.
type member struct {
	name     string
	addr     string
	folder   string
	node     *ctrl.Node // nil while it is stopped
	identity raft.ID    // of the last start
	stop     func()
	replaced bool // its disk was lost and the new identity was not checked yet
}

// cluster is three control members over an emulated network.
type cluster struct {
	t        *testing.T
	net      *emul.Network
	members  []*member
	out      *member           // stopped or isolated last
	lost     raft.ID           // identity of out before its disk was lost
	accepted map[string]uint64 // version by change identifier
}

func newCluster(t *testing.T, n int) *cluster {
	c := &cluster{t: t, net: emul.NewNetwork(), accepted: make(map[string]uint64)}
	root := t.TempDir()
	t.Cleanup(c.close)
	var listeners []net.Listener
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		name := fmt.Sprintf("control-%d", i+1)
		c.members = append(c.members, &member{name: name, addr: l.Addr().String(), folder: filepath.Join(root, name)})
		c.net.Register(l.Addr().String(), name, "zone-"+name)
	}
	for i, m := range c.members {
		c.start(m, listeners[i])
	}
	return c
}

func (c *cluster) close() {
	for _, m := range c.members {
		c.halt(m)
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

// start starts a member. Without a listener it listens on its old address.
func (c *cluster) start(m *member, l net.Listener) {
	c.t.Helper()
	if l == nil {
		var err error
		if l, err = net.Listen("tcp", m.addr); err != nil {
			c.t.Fatal(err)
		}
	}
	node, err := ctrl.Open(m.folder, m.addr,
		ctrl.WithName(m.name), ctrl.WithZone("zone-"+m.name), ctrl.WithInitial(c.addrs()...),
		ctrl.WithDial(ctrl.DialFunc(c.net.Dialer(m.name, "zone-"+m.name))))
	if err != nil {
		c.t.Fatal(err)
	}
	mux := drpcmux.New()
	if err := node.Register(mux); err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- ctrl.Serve(ctx, l, mux) }()
	m.node, m.identity = node, node.Identity()
	m.stop = func() {
		cancel()
		_ = l.Close()
		if err := node.Close(); err != nil {
			c.t.Errorf("%s ended with %v", m.name, err)
		}
		<-served
	}
}

// halt stops a member without a word to the others.
func (c *cluster) halt(m *member) {
	if m.node == nil {
		return
	}
	m.stop()
	m.node = nil
}

// wipe removes the data folder of a stopped member.
func (c *cluster) wipe(m *member) {
	c.lost, m.replaced = m.identity, true
	if err := os.RemoveAll(m.folder); err != nil {
		c.t.Fatal(err)
	}
}

// await polls cond until it holds.
func (c *cluster) await(what string, cond func() bool) {
	c.t.Helper()
	for end := time.Now().Add(waitLimit); !cond(); time.Sleep(waitPoll) {
		if time.Now().After(end) {
			c.t.Fatalf("not within %s: %s", waitLimit, what)
		}
	}
}

// leader waits for a leader that is current, among the members that are neither
// stopped nor isolated.
func (c *cluster) leader() *member {
	c.t.Helper()
	var found *member
	c.await("a leader", func() bool {
		for _, m := range c.members {
			if m.node == nil || m == c.out {
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
		if m != l && m != c.out && m.node != nil {
			return m
		}
	}
	c.t.Fatal("no follower is left")
	return nil
}

func (c *cluster) who(name string) *member {
	switch name {
	case "leader":
		return c.leader()
	case "follower":
		return c.follower()
	default:
		return c.out
	}
}

func change(id string, base uint64) state.Command {
	return state.NewApplyConfig(id, base, fleet.Default(), "test", time.Now())
}

// change submits a change until a leader answers it, as a caller does.
func (c *cluster) change(id string, base uint64) string {
	c.t.Helper()
	var result state.Result
	c.await("an answer to change "+id, func() bool {
		var err error
		result, err = c.leader().node.Propose(context.Background(), change(id, base))
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

// propose submits a change once to one member.
func (c *cluster) propose(m *member, id string, base uint64) string {
	_, err := m.node.Propose(context.Background(), change(id, base))
	return refusal(err)
}

// confirm asks one member for a majority round until it has stepped down, or
// once if it does not lead.
func (c *cluster) confirm(m *member) string {
	for {
		err := m.node.Confirm(context.Background())
		if err == nil || m.node.Status().Role != raft.Leader {
			return refusal(err)
		}
	}
}

func refusal(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ctrl.ErrNotLeader):
		return "refused: not the leader"
	case errors.Is(err, ctrl.ErrLost):
		return "refused: leadership lost, outcome not known"
	default:
		return "refused: " + err.Error()
	}
}

func (c *cluster) awaitVersion(v uint64) {
	c.t.Helper()
	c.await(fmt.Sprintf("version %d on every member", v), func() bool {
		for _, m := range c.members {
			if m.node != nil && m != c.out && m.node.Machine().View().Config().Version() != v {
				return false
			}
		}
		return true
	})
}

// awaitReplaced waits until the member whose disk was lost votes under its new
// identity, and the lost identity is removed.
func (c *cluster) awaitReplaced(m *member) string {
	c.t.Helper()
	if m.identity == c.lost {
		return "identity is unchanged"
	}
	var members raft.Members
	c.await("the lost identity is replaced", func() bool {
		members = c.leader().node.Status().Members
		_, old := members.Find(c.lost)
		return members.IsVoter(m.identity) && !old
	})
	return fmt.Sprintf("%d members, the new identity votes, the lost one is removed", len(members))
}
