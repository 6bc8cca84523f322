package entry

import (
	"slices"
	"sync"

	"tamarackcross/group"
)

// Backend describes one member of a group.
type Backend struct {
	Name        string
	Zone        string
	Addr        string
	Slots       int
	Connections int
	Leaving     bool
}

// Group describes the group of members that serves one database: the part of the
// shared state that an entry needs.
type Group struct {
	Database string
	Term     uint64
	History  group.History
	Primary  string
	Members  []Backend
}

// Member returns the member with a name.
func (g Group) Member(name string) (Backend, bool) {
	i := slices.IndexFunc(g.Members, func(b Backend) bool { return b.Name == name })
	if i < 0 {
		return Backend{}, false
	}
	return g.Members[i], true
}

// Directory looks up the groups that serve the databases. Changed returns a channel
// that is closed at the next change. Call it before reading, so that no change is
// missed.
type Directory interface {
	Group(database string) (Group, bool)
	Databases() []string
	// Entries returns the number of entries that share the backend servers.
	Entries() int
	Changed() <-chan struct{}
}

// StaticDirectory is a Directory whose groups are set with Set.
type StaticDirectory struct {
	mu      sync.RWMutex
	groups  map[string]Group
	entries int
	changed chan struct{}
}

// NewStaticDirectory returns a directory of the given groups.
func NewStaticDirectory(groups ...Group) *StaticDirectory {
	d := &StaticDirectory{groups: make(map[string]Group), entries: 1, changed: make(chan struct{})}
	for _, g := range groups {
		d.groups[g.Database] = g
	}
	return d
}

// Group returns the group that serves the database.
func (d *StaticDirectory) Group(database string) (Group, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	g, ok := d.groups[database]
	return g, ok
}

// Databases returns the sorted names of all databases.
func (d *StaticDirectory) Databases() []string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	names := make([]string, 0, len(d.groups))
	for name := range d.groups {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Entries returns the number of entries that share the backend servers, by default 1.
func (d *StaticDirectory) Entries() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.entries
}

// SetEntries sets the number of entries that share the backend servers.
func (d *StaticDirectory) SetEntries(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries = n
	d.notify()
}

// notify announces a change. The caller holds mu.
func (d *StaticDirectory) notify() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change.
func (d *StaticDirectory) Changed() <-chan struct{} {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.changed
}

// Set adds or replaces a group, unless the known one has a newer term.
func (d *StaticDirectory) Set(g Group) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if g.Term < d.groups[g.Database].Term {
		return
	}
	d.groups[g.Database] = g
	d.notify()
}
