// Package inst runs an instance of tamarackcross: the entry role, the control role
// or both, with the HTTP interface and the dissemination of the shared state.
package inst

import (
	"slices"
	"sync"
	"sync/atomic"

	"tamarackcross/entry"
	"tamarackcross/fleet"
	"tamarackcross/state"
)

// Views holds the newest shared state that the instance has received. It never goes
// back to an older state. The entry uses it as the directory of databases and as
// the source of settings.
type Views struct {
	current atomic.Pointer[cachedView]

	mu      sync.Mutex
	changed chan struct{}
}

// cachedView is a view with values derived from it, which are computed at first use.
type cachedView struct {
	view   *state.View
	groups sync.Map // database name -> entry.Group

	countOnce sync.Once
	entries   int
}

// NewViews returns a Views with the empty state.
func NewViews() *Views {
	v := &Views{changed: make(chan struct{})}
	v.current.Store(&cachedView{view: state.Empty()})
	return v
}

// View returns the newest view.
func (v *Views) View() *state.View { return v.current.Load().view }

// Set replaces the view if the new one is newer, and reports whether it was.
func (v *Views) Set(view *state.View) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.View().Stamp().Less(view.Stamp()) {
		return false
	}
	v.current.Store(&cachedView{view: view})
	close(v.changed)
	v.changed = make(chan struct{})
	return true
}

// Changed returns a channel that is closed when the view is next replaced.
func (v *Views) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// Databases returns the sorted names of all databases.
func (v *Views) Databases() []string {
	var names []string
	for db := range v.View().Databases() {
		names = append(names, db.Name())
	}
	slices.Sort(names)
	return names
}

// Entries returns the number of instances with the entry role.
func (v *Views) Entries() int {
	x := v.current.Load()
	x.countOnce.Do(func() {
		for i := range x.view.Instances() {
			if i.HasRole(state.RoleEntry) {
				x.entries++
			}
		}
	})
	return x.entries
}

// Group returns the group that serves a database, or false if the database is
// unknown or its group has no first term yet.
func (v *Views) Group(database string) (entry.Group, bool) {
	x := v.current.Load()
	if g, ok := x.groups.Load(database); ok {
		return g.(entry.Group), true
	}
	db, ok := x.view.Group(database)
	if !ok || !db.Bootstrapped() {
		return entry.Group{}, false
	}
	g := groupOf(db)
	x.groups.Store(database, g)
	return g, true
}

func groupOf(db *state.Database) entry.Group {
	g := entry.Group{Database: db.Name(), Term: db.Term(), History: db.History(), Primary: db.Primary()}
	for _, m := range db.Members() {
		if m.Gone && m.Name != g.Primary {
			continue
		}
		g.Members = append(g.Members, entry.Backend{
			Name: m.Name, Zone: m.Zone, Addr: m.Address,
			Slots: int(m.Slots), Connections: int(m.Connections), Leaving: m.Leaving || m.Gone,
		})
	}
	return g
}

func (v *Views) member(k memberKey) (state.Member, bool) {
	db, ok := v.View().Group(k.database)
	if !ok {
		return state.Member{}, false
	}
	return db.Member(k.member)
}

// Resolve returns the settings in force for a scope.
func (v *Views) Resolve(s fleet.Scope) fleet.Settings { return v.View().Document().Resolve(s) }
