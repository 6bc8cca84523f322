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

// bootstrap returns what the member starts from. A member of a new log starts
// from the identities of all initial members; one whose identity is not among
// them starts empty and waits to be added.
func (n *Node) bootstrap(saved raft.PersistentState) (raft.PersistentState, error) {
	for saved.Snapshot.Index == 0 && saved.HardState.Term == 0 && len(n.seeds()) > 0 {
		members, known := n.greet(saved.HardState.ID)
		if known {
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

// greet asks the initial members who they are. It reports known once all are
// known, or once one of them tells how the log was bootstrapped.
func (n *Node) greet(self raft.ID) (members raft.Members, known bool) {
	seeds := n.seeds()
	for _, addr := range seeds {
		if addr == n.addr {
			members = append(members, raft.Member{ID: self, Address: addr})
			continue
		}
		reply, err := n.hello(n.ctx, addr)
		if err != nil {
			continue
		}
		if b := reply.GetBootstrap(); b != nil && len(b.GetMembers()) > 0 {
			n.learnContacts(reply)
			return raft.MembersFromProto(b), true
		}
		members = append(members, raft.Member{ID: raft.ID(reply.GetId()), Address: addr})
	}
	slices.SortFunc(members, func(a, b raft.Member) int { return cmp.Compare(a.ID, b.ID) })
	return members, n.forms && len(members) == len(seeds) && slices.Contains(seeds, n.addr)
}

func (n *Node) hello(ctx context.Context, addr string) (*ctlpb.HelloReply, error) {
	ctx, stop := context.WithTimeout(ctx, wireDialLimit)
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

// joinInterval is how often a member that is not part of the log asks to be
// added.
const joinInterval = 500 * time.Millisecond

// join introduces a member that lost its disk, or is new, until the leader has
// added it.
func (n *Node) join() {
	for n.ctx.Err() == nil {
		st := n.Status()
		_, member := st.Members.Find(n.Identity())
		if member && !n.open {
			return
		}
		if !member || st.Leader == 0 {
			n.introduce()
		}
		select {
		case <-n.ctx.Done():
		case <-time.After(joinInterval):
		}
	}
}

// introduce asks the known members to add this one. A member that was removed
// while it was cut off does not find that in its own log.
func (n *Node) introduce() {
	for _, addr := range n.addresses() {
		if reply, err := n.hello(n.ctx, addr); err == nil {
			n.learnContacts(reply)
		}
	}
}

// addresses returns where other members may be found.
func (n *Node) addresses() []string {
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
	for _, m := range n.contacts {
		add(m.Address)
	}
	for _, m := range n.status.Members {
		add(m.Address)
	}
	return out
}

// Seek sets the addresses at which a member that joins looks for others.
func (n *Node) Seek(addrs []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.initial = slices.Clone(addrs)
}

func (n *Node) seeds() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.initial
}

// learnContacts keeps the membership that another member named. A member whose
// own log is still empty can answer the leader only at an address found there.
func (n *Node) learnContacts(reply *ctlpb.HelloReply) {
	members := raft.MembersFromProto(reply.GetMembers())
	if len(members) == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.contacts = members
}

// contact returns a member that is not in the own log yet.
func (n *Node) contact(id raft.ID) (raft.Member, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.contacts.Find(id)
}

// admit adds a member that introduced itself. A member that comes back under a
// new identity lost its disk: it is added as a learner, promoted once it has
// caught up, and only then its old identity is removed, so that the number of
// members that remember the log never falls below what it was.
func (n *Node) admit(id raft.ID, addr string, now time.Time) raft.Output {
	st := n.core.Status(now)
	if st.Role != raft.Leader || !n.open && !slices.Contains(n.seeds(), addr) {
		return raft.Output{}
	}
	if _, ok := st.Members.Find(id); ok {
		return raft.Output{}
	}
	_, out, err := n.core.ProposeChange(raft.AddLearner{ID: id, Address: addr}, now)
	if err == nil {
		n.log.Info().Str("member", id.String()).Str("address", addr).Msg("member added as a learner")
	}
	return out
}

// tidy moves the membership forward by one step: a learner that has caught up
// is promoted, and an old identity at the same address is removed.
func (n *Node) tidy(now time.Time) raft.Output {
	st := n.core.Status(now)
	if st.Role != raft.Leader || st.ChangePending || !st.Current {
		return raft.Output{}
	}
	for _, p := range st.Progress {
		if p.Member.Learner && p.CaughtUp {
			_, out, _ := n.core.ProposeChange(raft.Promote{ID: p.Member.ID}, now)
			return out
		}
	}
	old, ok := replaced(st)
	if !ok && n.open {
		old, ok = n.surplus(st, now)
	}
	if ok {
		_, out, err := n.core.ProposeChange(raft.Remove{ID: old}, now)
		if err == nil {
			n.log.Info().Str("member", old.String()).Msg("lost identity removed")
		}
		return out
	}
	return raft.Output{}
}

// replaced returns an identity that is silent while another voter answers at
// its address.
func replaced(st raft.Status) (raft.ID, bool) {
	for _, p := range st.Progress {
		if p.RecentlyActive || p.Member.Learner {
			continue
		}
		for _, q := range st.Progress {
			if q.Member.ID != p.Member.ID && q.Member.Address == p.Member.Address && q.RecentlyActive && !q.Member.Learner {
				return p.Member.ID, true
			}
		}
	}
	return 0, false
}

// removeAfter is how long a voter is silent before it may be removed: longer
// than a restart, shorter than the time in which a second one may be lost.
const removeAfter = 3 * time.Second

// surplus returns a voter that has been silent for long, if without it the
// number of voters is odd: the others then tolerate as many losses as before.
// It joins again when it returns.
func (n *Node) surplus(st raft.Status, now time.Time) (raft.ID, bool) {
	voters := len(st.Members.Voters())
	var worst raft.ID
	for _, p := range st.Progress {
		if p.RecentlyActive || p.Member.Learner {
			delete(n.silent, p.Member.ID)
			continue
		}
		since, known := n.silent[p.Member.ID]
		if !known {
			n.silent[p.Member.ID] = now
			continue
		}
		if now.Sub(since) >= removeAfter && (worst == 0 || since.Before(n.silent[worst])) {
			worst = p.Member.ID
		}
	}
	return worst, worst != 0 && voters%2 == 0
}
