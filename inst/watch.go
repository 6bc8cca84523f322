package inst

import (
	"context"
	"time"

	"tamarackcross/state"
)

// watchInterval limits how often the owned databases are looked up while the
// shared state changes all the time.
const watchInterval = time.Second

// watchOwned lets the entry watch the databases of which it owns a member, also
// while no caller uses them here. The entries that callers use can all be in one
// zone, and one zone alone does not replace a primary.
func (i *Instance) watchOwned(ctx context.Context) error {
	for {
		changed := i.views.Changed()
		for db := range i.views.View().Databases() {
			if !i.owns(db) {
				continue
			}
			if err := i.entry.Watch(db.Name()); err != nil {
				i.log.Debug().Err(err).Str("database", db.Name()).Msg("owned database is not watched yet")
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(watchInterval):
		}
	}
}

// owns reports whether this instance owns a member of the database.
func (i *Instance) owns(db *state.Database) bool {
	for _, m := range db.Members() {
		if m.Owner == i.cfg.Name {
			return true
		}
	}
	return false
}
