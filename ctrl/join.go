package ctrl

import (
	"cmp"
	"context"
	"slices"
	"time"

	"storj.io/drpc/drpcconn"

	"tamarackcross/ctlpb"
	"tamarackcross/raft"
)

// bootstrap returns the state that the member starts from. A member of a new log
// starts from a snapshot that lists the IDs of all initial members. A member whose
// ID is not among them starts empty and waits to be added.
func (n *Node) bootstrap(saved raft.PersistentState) (raft.PersistentState, error) {
	for saved.Snapshot.Index == 0 && saved.HardState.Term == 0 && len(n.initialAddresses()) > 0 {
		members, complete := n.discoverInitialMembers(saved.HardState.ID)
		if complete {
			if !members.IsVoter(saved.HardState.ID) {
				return saved, nil
			}
			saved.Snapshot = raft.Bootstrap(members...)
			return saved, n.store.Save(raft.PersistentUpdate{Snapshot: &saved.Snapshot})
		}
		select {
		case <-n.ctx.Done():
			return saved, nil
		case <-time.After(helloInterval):
		}
	}
	return saved, nil
}

// discoverInitialMembers asks the initial members for their IDs. The list is
// complete once all have answered, if this member is one of them and none of them can know a log,
// or once one of them reports how the log was bootstrapped.
func (n *Node) discoverInitialMembers(self raft.ID) (members raft.Members, complete bool) {
	initial := n.initialAddresses()
	for _, addr := range initial {
		if addr == n.addr {
			members = append(members, raft.Member{ID: self, Address: addr})
			continue
		}
		reply, err := n.hello(n.ctx, addr)
		if err != nil {
			continue
		}
		if b := reply.GetBootstrap(); b != nil && len(b.GetMembers()) > 0 {
			n.recordDiscovered(reply)
			return raft.MembersFromProto(b), true
		}
		members = append(members, raft.Member{ID: raft.ID(reply.GetId()), Address: addr})
	}
	slices.SortFunc(members, func(a, b raft.Member) int { return cmp.Compare(a.ID, b.ID) })
	return members, len(members) == len(initial) && slices.Contains(initial, n.addr) && neverCommitted(members)
}

// neverCommitted reports whether no log of the initial members, all of which have an empty data directory, can have
// committed anything. A data directory of the first start that is empty was never part of a log, and one that was
// created later may have replaced a lost one. A commit takes more than half of them.
func neverCommitted(members raft.Members) bool {
	founders := 0
	for _, m := range members {
		if m.ID.IsFounder() {
			founders++
		}
	}
	return 2*founders > len(members)
}

// hello introduces this member to the one at addr.
func (n *Node) hello(ctx context.Context, addr string) (*ctlpb.HelloReply, error) {
	ctx, stop := context.WithTimeout(ctx, peerTimeout)
	defer stop()
	nc, err := n.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	conn := drpcconn.New(nc)
	defer conn.Close()
	return ctlpb.NewDRPCControlClient(conn).Hello(ctx, &ctlpb.HelloRequest{
		Id: uint64(n.id), Address: n.addr, Instance: n.name,
	})
}

// joinInterval is the time between two requests of a member to be added to the
// log.
const joinInterval = 500 * time.Millisecond

// join requests membership, for a member that is new or lost its disk, until the
// leader has added it. With open membership it continues, because a member that
// was silent may be removed at any time.
func (n *Node) join() {
	for n.joining.Err() == nil {
		st := n.Status()
		_, member := st.Members.Find(n.Identity())
		if member && !n.openMembership {
			return
		}
		if !member || st.Leader == 0 {
			n.requestMembership()
		}
		select {
		case <-n.joining.Done():
		case <-time.After(joinInterval):
		}
	}
}

// requestMembership asks the known members to add this one. A member that was
// removed while it was partitioned cannot learn of that from its own log.
func (n *Node) requestMembership() {
	for _, addr := range n.peerAddresses() {
		if reply, err := n.hello(n.joining, addr); err == nil {
			n.recordDiscovered(reply)
		}
	}
}

// peerAddresses returns the addresses at which other members may be reached.
func (n *Node) peerAddresses() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []string
	add := func(addr string) {
		if addr != n.addr && !slices.Contains(out, addr) {
			out = append(out, addr)
		}
	}
	for _, addr := range n.initial {
		add(addr)
	}
	for _, m := range n.discovered {
		add(m.Address)
	}
	for _, m := range n.status.Members {
		add(m.Address)
	}
	return out
}

// SetInitialMembers sets the addresses of the initial members, where a member that joins
// looks for the others.
func (n *Node) SetInitialMembers(addrs []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.initial = slices.Clone(addrs)
}

func (n *Node) initialAddresses() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.initial
}

// recordDiscovered keeps the membership that another member reported. A member
// whose log is still empty finds the address of the leader only there.
func (n *Node) recordDiscovered(reply *ctlpb.HelloReply) {
	members := raft.MembersFromProto(reply.GetMembers())
	if len(members) == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.discovered = members
}

// discoveredMember returns a member that another member reported and that is not
// in the log of this one yet.
func (n *Node) discoveredMember(id raft.ID) (raft.Member, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.discovered.Find(id)
}
