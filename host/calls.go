package host

import (
	"context"
	"time"

	"tamarackcross/mesh"
	"tamarackcross/raft"
)

// meshHandler serves the calls of other instances.
type meshHandler struct{ c *Controller }

// Sync answers with what is newer than the state that the request names.
func (h meshHandler) Sync(ctx context.Context, in *mesh.SyncRequest) (*mesh.SyncReply, error) {
	return h.c.Sync(ctx, in)
}

// Put stores a configuration if this instance is the leader. Otherwise it replies with the
// address of the leader.
func (h meshHandler) Put(ctx context.Context, in *mesh.PutRequest) (*mesh.PutReply, error) {
	if !h.c.isLeader() {
		return &mesh.PutReply{Leader: h.c.leaderAddr()}, nil
	}
	if err := h.c.putLocal(ctx, in.Version, in.Body); err != nil {
		return nil, err
	}
	return &mesh.PutReply{Stored: true}, nil
}

// Get returns the newest configuration if this instance is the leader. Otherwise it replies
// with the address of the leader.
func (h meshHandler) Get(ctx context.Context, _ *mesh.GetRequest) (*mesh.GetReply, error) {
	if !h.c.isLeader() {
		return &mesh.GetReply{Leader: h.c.leaderAddr()}, nil
	}
	if err := h.c.node.ConfirmLeadership(ctx); err != nil {
		return nil, err
	}
	stored, _ := h.c.ledger.Config()
	return &mesh.GetReply{Known: true, Version: stored.Version, Body: stored.Body}, nil
}

// HandOver gives the vote of another instance away if this instance is the leader. Otherwise it
// replies with the address of the leader.
func (h meshHandler) HandOver(ctx context.Context, in *mesh.HandOverRequest) (*mesh.HandOverReply, error) {
	if !h.c.isLeader() {
		return &mesh.HandOverReply{Leader: h.c.leaderAddr()}, nil
	}
	if err := h.c.node.HandOver(ctx, raft.ID(in.Member)); err != nil {
		return nil, err
	}
	return &mesh.HandOverReply{Done: true}, nil
}

// Admit admits a backend server if this instance is the leader and no promotion forbids it.
func (h meshHandler) Admit(ctx context.Context, in *mesh.AdmitRequest) (*mesh.AdmitReply, error) {
	if err := in.Server.Check(time.Now()); err != nil {
		return nil, err
	}
	return &mesh.AdmitReply{Admitted: h.c.admitLocally(ctx, in.Server)}, nil
}

// Fetch returns a part of an encoded version of the configuration.
func (h meshHandler) Fetch(_ context.Context, in *mesh.FetchRequest) (*mesh.FetchReply, error) {
	return h.c.Fetch(in)
}

// proveTimeout bounds the wait for a proof of primary that an entry asked for.
const proveTimeout = 350 * time.Millisecond

// Prove probes the primary of a service for an entry and returns its proof of primary.
func (h meshHandler) Prove(ctx context.Context, in *mesh.ProveRequest) (*mesh.ProveReply, error) {
	proof, ok := h.c.ensureProber().Prove(ctx, in.Service, proveTimeout)
	if !ok {
		return &mesh.ProveReply{}, nil
	}
	return &mesh.ProveReply{Known: true, Member: proof.Member, Position: proof.Position, Lags: proof.Lags}, nil
}
