package ctrl

import (
	"context"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/panics"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"tamarackcross/ctlpb"
	"tamarackcross/raft"
	"tamarackcross/state"
)

// service implements the control service, which other instances call.
type service struct {
	n *Node
}

// Register adds the control service to mux.
func (n *Node) Register(mux *drpcmux.Mux) error {
	return ctlpb.DRPCRegisterControl(mux, &service{n: n})
}

// Serve serves the calls that handler handles on l until ctx ends. A panic in one of them fails
// that call alone, and is reported.
func Serve(ctx context.Context, l net.Listener, handler drpc.Handler, report func(call string, err error)) error {
	return drpcserver.New(container{handler, report}).Serve(ctx, l)
}

// container keeps a panic in one call from ending the process.
type container struct {
	handler drpc.Handler
	report  func(call string, err error)
}

var errPanicked = eris.New("ctrl: the call ended with an unexpected error")

// HandleRPC handles one call.
func (c container) HandleRPC(stream drpc.Stream, call string) error {
	var err error
	if r := panics.Try(func() { err = c.handler.HandleRPC(stream, call) }); r != nil {
		c.report(call, r.AsError())
		return errPanicked
	}
	return err
}

// Hello replies with the members that are known and proposes to add the caller if it
// is not one of them.
func (s *service) Hello(ctx context.Context, in *ctlpb.HelloRequest) (*ctlpb.HelloReply, error) {
	reply := &ctlpb.HelloReply{Id: uint64(s.n.id)}
	st := s.n.Status()
	if len(st.Members) == 0 {
		return reply, nil
	}
	reply.Members = raft.MembersToProto(st.Members)
	reply.Bootstrap = reply.Members
	id, addr := raft.ID(in.GetId()), in.GetAddress()
	err := s.n.enqueue(ctx, func(now time.Time) raft.Output { return s.n.addMember(id, addr, now) })
	return reply, err
}

// Raft receives the Raft messages of another member.
func (s *service) Raft(stream ctlpb.DRPCControl_RaftStream) error {
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		if err := s.n.step(stream.Context(), m); err != nil {
			return err
		}
	}
}

// Propose submits a command of another instance. A member that is not the leader
// replies with the address of the leader.
func (s *service) Propose(ctx context.Context, in *ctlpb.ProposeRequest) (*ctlpb.ProposeReply, error) {
	cmd, err := state.DecodeCommand(in.GetCommand())
	if err != nil {
		return nil, err
	}
	result, err := s.n.Propose(ctx, cmd)
	if isNotLeader(err) {
		return &ctlpb.ProposeReply{Leader: s.n.leaderAddr()}, nil
	}
	if err != nil {
		return nil, err
	}
	return &ctlpb.ProposeReply{Result: ResultToProto(result)}, nil
}

// Observe handles the report of an entry. The reply asks for a full report next if the
// leader has none.
func (s *service) Observe(ctx context.Context, in *ctlpb.ObserveRequest) (*ctlpb.ObserveReply, error) {
	if s.n.Status().Role != raft.Leader {
		return &ctlpb.ObserveReply{LeaderAddress: s.n.leaderAddr()}, nil
	}
	hasFull := make(chan bool, 1)
	err := s.n.enqueue(ctx, func(now time.Time) raft.Output {
		p, ok := s.n.duties.(*promoter)
		hasFull <- ok && p.observe(in, now)
		return raft.Output{}
	})
	if err != nil {
		return nil, err
	}
	select {
	case known := <-hasFull:
		return &ctlpb.ObserveReply{Leader: true, WantFull: !known}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Status returns the role of the member and its view of the log.
func (s *service) Status(context.Context, *ctlpb.ControlStatusRequest) (*ctlpb.ControlStatusReply, error) {
	st := s.n.Status()
	return &ctlpb.ControlStatusReply{
		Id:      uint64(st.ID),
		Role:    st.Role.String(),
		Term:    uint64(st.Term),
		Commit:  uint64(st.Commit),
		Leader:  uint64(st.Leader),
		Current: st.Current,
		Members: raft.MembersToProto(st.Members),
	}, nil
}

// leaderAddr returns the address of the leader, or "" if it is not known.
func (n *Node) leaderAddr() string {
	st := n.Status()
	m, ok := st.Members.Find(st.Leader)
	if !ok {
		return ""
	}
	return m.Address
}
