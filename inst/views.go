// Package inst runs one instance: the entry role, the control role or both,
// with the HTTP interface and the dissemination of the shared state.
package inst

import (
	"slices"
	"sync"
	"sync/atomic"

	"tamarackcross/entry"
	"tamarackcross/fleet"
	"tamarackcross/state"
)

// Views holds the newest state that the instance knows. It moves forward only.
// It is the directory and the source of the settings of the entry.
type Views struct {
	current atomic.Pointer[indexed]

	mu      sync.Mutex
	changed chan struct{}
}

// indexed is a view with the groups in the form that the entry uses, made at
// first use.
type indexed struct {
	view   *state.View
	groups sync.Map // name -> entry.Group

	countOnce sync.Once
	entries   int
}

// NewViews returns the empty state.
func NewViews() *Views {
	v := &Views{changed: make(chan struct{})}
	v.current.Store(&indexed{view: state.Empty()})
	return v
}

// View returns the newest view.
func (v *Views) View() *state.View { return v.current.Load().view }

// Set takes over a view if it is newer than the one held.
func (v *Views) Set(view *state.View) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.View().Stamp().Less(view.Stamp()) {
		return false
	}
	v.current.Store(&indexed{view: view})
	close(v.changed)
	v.changed = make(chan struct{})
	return true
}

// Changed returns a channel that is closed at the next change.
func (v *Views) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// Databases returns the names of all databases in order.
func (v *Views) Databases() []string {
	var names []string
	for db := range v.View().Databases() {
		names = append(names, db.Name())
	}
	slices.Sort(names)
	return names
}

// Entries returns the number of entries.
func (v *Views) Entries() int {
	x := v.current.Load()
	x.countOnce.Do(func() {
		for i := range x.view.Instances() {
			if i.Has(state.RoleEntry) {
				x.entries++
			}
		}
	})
	return x.entries
}

// Group returns the group that serves a database, once it has a first term.
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

// member returns a member of a database.
func (v *Views) member(k memberKey) (state.Member, bool) {
	db, ok := v.View().Group(k.database)
	if !ok {
		return state.Member{}, false
	}
	return db.Member(k.member)
}

// Resolve returns the settings in force for a scope.
func (v *Views) Resolve(s fleet.Scope) fleet.Settings { return v.View().Document().Resolve(s) }
