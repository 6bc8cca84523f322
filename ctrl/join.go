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
// complete once all have answered, if this member is one of them and may bootstrap a
// new log, or once one of them reports how the log was bootstrapped.
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
	return members, n.mayBootstrap && len(members) == len(initial) && slices.Contains(initial, n.addr)
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
// log, and between two steps of a membership change.
const joinInterval = 500 * time.Millisecond

// join requests membership, for a member that is new or lost its disk, until the
// leader has added it. With open membership it continues, because a member that
// was silent may be removed at any time.
func (n *Node) join() {
	for n.ctx.Err() == nil {
		st := n.Status()
		_, member := st.Members.Find(n.Identity())
		if member && !n.openMembership {
			return
		}
		if !member || st.Leader == 0 {
			n.requestMembership()
		}
		select {
		case <-n.ctx.Done():
		case <-time.After(joinInterval):
		}
	}
}

// requestMembership asks the known members to add this one. A member that was
// removed while it was partitioned cannot learn of that from its own log.
func (n *Node) requestMembership() {
	for _, addr := range n.peerAddresses() {
		if reply, err := n.hello(n.ctx, addr); err == nil {
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

// addMember adds a member that introduced itself. A member that returns with a new
// ID has lost its disk. It is added as a learner and promoted once it has caught
// up; only then is its old ID removed, so that the number of members that hold the
// log does not fall below what it was.
func (n *Node) addMember(id raft.ID, addr string, now time.Time) raft.Output {
	st := n.core.Status(now)
	if st.Role != raft.Leader || !n.openMembership && !slices.Contains(n.initialAddresses(), addr) {
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

// stepMembership makes the next membership change, if one is due: it promotes a
// learner that is to become a voter, or removes a silent ID whose address another voter
// has taken over. With open membership it also removes a voter that is silent for
// silentVoterTimeout.
func (n *Node) stepMembership(now time.Time) raft.Output {
	st := n.core.Status(now)
	if st.Role != raft.Leader || st.ChangePending || !st.Current {
		return raft.Output{}
	}
	silentVoter := n.longestSilentVoter(st, now)
	if id, ok := promotableLearner(st, n.openMembership && silentVoter != 0); ok {
		_, out, err := n.core.ProposeChange(raft.Promote{ID: id}, now)
		n.logChange(st, id, "learner becomes a voter", err)
		return out
	}
	oldID, ok := replacedVoter(st)
	if !ok && n.openMembership {
		// The remaining odd number of voters tolerates as many failures as before. The
		// voter joins again when it returns.
		oldID, ok = silentVoter, silentVoter != 0 && len(st.Members.Voters())%2 == 0
	}
	if ok {
		_, out, err := n.core.ProposeChange(raft.Remove{ID: oldID}, now)
		n.logChange(st, oldID, "lost identity removed", err)
		return out
	}
	return raft.Output{}
}

// logChange logs a membership change that was proposed, with the voters before it and those that
// did not answer the leader then.
func (n *Node) logChange(st raft.Status, id raft.ID, change string, err error) {
	if err != nil {
		n.log.Debug().Err(err).Str("member", id.String()).Str("change", change).Msg("membership change not proposed")
		return
	}
	var voters, silent []string
	for _, v := range st.Members.Voters() {
		voters = append(voters, v.String())
	}
	for _, p := range st.Progress {
		if !p.Member.Learner && !p.RecentlyActive {
			silent = append(silent, p.Member.ID.String())
		}
	}
	n.log.Info().Str("member", id.String()).Uint64("term", uint64(st.Term)).Strs("voters_before", voters).Strs("silent_voters", silent).Msg(change)
}

// replacedVoter returns a voter that is silent while another voter, which may be the leader, is
// active at the same address.
func replacedVoter(st raft.Status) (raft.ID, bool) {
	var activeAddrs []string
	if leader, ok := st.Members.Find(st.ID); ok {
		activeAddrs = append(activeAddrs, leader.Address)
	}
	for _, p := range st.Progress {
		if p.RecentlyActive && !p.Member.Learner {
			activeAddrs = append(activeAddrs, p.Member.Address)
		}
	}
	for _, p := range st.Progress {
		if !p.RecentlyActive && !p.Member.Learner && slices.Contains(activeAddrs, p.Member.Address) {
			return p.Member.ID, true
		}
	}
	return 0, false
}

// silentVoterTimeout is how long a voter is silent before it may be removed. It is
// longer than a restart and shorter than the time in which a second voter may fail.
const silentVoterTimeout = 3 * time.Second

// longestSilentVoter returns the voter that has been silent for longest, at least for
// silentVoterTimeout, or 0.
func (n *Node) longestSilentVoter(st raft.Status, now time.Time) raft.ID {
	var longest raft.ID
	for _, p := range st.Progress {
		if p.RecentlyActive || p.Member.Learner {
			delete(n.silentSince, p.Member.ID)
			continue
		}
		since, known := n.silentSince[p.Member.ID]
		if !known {
			n.silentSince[p.Member.ID] = now
			continue
		}
		if now.Sub(since) >= silentVoterTimeout && (longest == 0 || since.Before(n.silentSince[longest])) {
			longest = p.Member.ID
		}
	}
	return longest
}

// promotableLearner returns a learner that has caught up, if it is to become a voter. An even
// number of voters tolerates no more failures than the odd number below it, and has no majority
// when it is split into halves. So a learner stays a spare if it would make the number even,
// unless another one can follow it, or it replaces a voter: one that is silent at its address, or,
// if replaceSilent is set, any silent one.
func promotableLearner(st raft.Status, replaceSilent bool) (raft.ID, bool) {
	var caughtUp []raft.Member
	silentAddrs := make(map[string]bool)
	for _, p := range st.Progress {
		switch {
		case p.Member.Learner && p.CaughtUp:
			caughtUp = append(caughtUp, p.Member)
		case !p.Member.Learner && !p.RecentlyActive:
			silentAddrs[p.Member.Address] = true
		}
	}
	for _, m := range caughtUp {
		if silentAddrs[m.Address] {
			return m.ID, true
		}
	}
	voters := len(st.Members.Voters())
	if len(caughtUp) > 0 && (voters < minOddVoters || voters%2 == 0 || len(caughtUp) > 1 || replaceSilent) {
		return caughtUp[0].ID, true
	}
	return 0, false
}

// minOddVoters is the least number of voters that is kept odd. Fewer tolerate no failure.
const minOddVoters = 3
