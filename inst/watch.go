package inst

import (
	"context"
	"time"

	"tamarackcross/state"
)

// watchInterval is the shortest time between two passes over the databases while
// the shared state keeps changing.
const watchInterval = time.Second

// watchOwned makes the entry watch the databases of which this instance owns a
// member, even if no caller uses them here. The entries with callers may all be in
// one zone, and the reports of one zone alone do not replace a primary.
func (i *Instance) watchOwned(ctx context.Context) error {
	for {
		changed := i.views.Changed()
		for db := range i.views.View().Databases() {
			if !i.owns(db) {
				continue
			}
			if err := i.entry.Watch(db.Name()); err != nil {
				i.log.Debug().Err(err).Str("database", db.Name()).Msg("database of an owned member cannot be watched yet; trying again at the next change of the state")
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
