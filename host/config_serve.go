package host

import (
	"context"

	"tamarackcross/event"
	"tamarackcross/ledger"
	"tamarackcross/mesh"
)

// followConfig keeps the versions of the configuration that this instance learns of, as the
// leader or not, until ctx ends. Entries fetch them.
func (c *Controller) followConfig(ctx context.Context) error {
	for {
		stored, changed := c.ledger.Config()
		if stored.Version > 0 {
			c.versions.Add(stored.Version, stored.Body)
			c.deps.Log.Info().Uint64(event.Version, stored.Version).Int("bytes", len(stored.Body)).Bool("leader", c.isLeader()).Msg("configuration known")
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// fetchChunkBytes bounds the part of a configuration in one reply. An instance whose link has
// little bandwidth left receives it within the time limit of a call.
const fetchChunkBytes = 8 << 10

// Fetch returns a part of an encoded version of the configuration.
func (c *Controller) Fetch(in *mesh.FetchRequest) (*mesh.FetchReply, error) {
	stored, _ := c.ledger.Config()
	if stored.Version == 0 {
		return &mesh.FetchReply{}, nil
	}
	c.versions.Add(stored.Version, stored.Body)
	e, _, err := c.versions.Encode(in.Version, in.Base)
	if err != nil {
		return nil, err
	}
	offset := 0
	if in.Digest == e.Digest && in.Offset > 0 && in.Offset <= len(e.Data) {
		offset = in.Offset
	}
	end := min(len(e.Data), offset+fetchChunkBytes)
	return &mesh.FetchReply{
		Version: e.Version, Base: e.Base, Digest: e.Digest, Size: len(e.Data), Offset: offset, Data: e.Data[offset:end],
	}, nil
}

// maxInlineBytes bounds a configuration that a Sync reply carries. Every control instance sends
// it to every entry.
const maxInlineBytes = 512

// inlineConfig returns the newest configuration for the reply to a Sync request that announces it,
// or nil if it has to be fetched. An entry that gets it with the announcement saves a round trip on
// a link on which packets wait.
func (c *Controller) inlineConfig(in *mesh.SyncRequest, stored ledger.Config) *mesh.FetchReply {
	if in.ConfigHeld == 0 || stored.Version <= max(in.ConfigHeld, in.ConfigVersion) {
		return nil
	}
	c.versions.Add(stored.Version, stored.Body)
	e, ok, err := c.versions.Encode(stored.Version, in.ConfigHeld)
	if err != nil {
		c.deps.Log.Warn().Err(err).Uint64(event.Version, stored.Version).Msg("configuration could not be encoded for an announcement; instances fetch it")
		return nil
	}
	if !ok || e.Version != stored.Version || e.Base != in.ConfigHeld || len(e.Data) > maxInlineBytes {
		return nil
	}
	return &mesh.FetchReply{Version: e.Version, Base: e.Base, Digest: e.Digest, Size: len(e.Data), Data: e.Data}
}
