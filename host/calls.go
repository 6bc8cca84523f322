package host

import (
	"context"
	"time"

	"tamarackcross/mesh"
)

// peerCalls answers the calls of other instances.
type peerCalls struct{ c *Controller }

// Sync exchanges state.
func (p peerCalls) Sync(ctx context.Context, in *mesh.SyncRequest) (*mesh.SyncReply, error) {
	return p.c.Sync(ctx, in)
}

// Put stores a configuration if this instance leads.
func (p peerCalls) Put(ctx context.Context, in *mesh.PutRequest) (*mesh.PutReply, error) {
	if !p.c.leads() {
		return &mesh.PutReply{Leader: p.c.leader()}, nil
	}
	if err := p.c.putHere(ctx, in.Version, in.Body); err != nil {
		return nil, err
	}
	return &mesh.PutReply{Stored: true}, nil
}

// Get returns the newest configuration if this instance leads.
func (p peerCalls) Get(ctx context.Context, _ *mesh.GetRequest) (*mesh.GetReply, error) {
	if !p.c.leads() {
		return &mesh.GetReply{Leader: p.c.leader()}, nil
	}
	if err := p.c.node.Confirm(ctx); err != nil {
		return nil, err
	}
	stored, _ := p.c.ledger.Config()
	return &mesh.GetReply{Known: true, Version: stored.Version, Body: stored.Body}, nil
}

// proveLimit bounds the wait for a proof that an entry asked for.
const proveLimit = 350 * time.Millisecond

// Prove proves the primary of a service for an entry.
func (p peerCalls) Prove(ctx context.Context, in *mesh.ProveRequest) (*mesh.ProveReply, error) {
	proof, ok := p.c.prober().Prove(ctx, in.Service, proveLimit)
	if !ok {
		return &mesh.ProveReply{}, nil
	}
	return &mesh.ProveReply{Known: true, Member: proof.Member, Position: proof.Position, Lags: proof.Lags}, nil
}
