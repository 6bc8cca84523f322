package entry

import (
	"slices"
	"sync"

	"tamarackcross/group"
)

// Backend is one member of a group as an entry knows it.
type Backend struct {
	Name        string
	Zone        string
	Addr        string
	Slots       int
	Connections int
	Leaving     bool
}

// Group is the part of the shared state that an entry needs to serve one
// database.
type Group struct {
	Database string
	Term     uint64
	History  group.History
	Primary  string
	Members  []Backend
}

// Member returns the member called name.
func (g Group) Member(name string) (Backend, bool) {
	i := slices.IndexFunc(g.Members, func(b Backend) bool { return b.Name == name })
	if i < 0 {
		return Backend{}, false
	}
	return g.Members[i], true
}

// Directory tells where the databases are. Changed returns a channel that is
// closed at the next change; take it before reading.
type Directory interface {
	Group(database string) (Group, bool)
	Databases() []string
	// Entries returns the number of entries that share the backend servers.
	Entries() int
	Changed() <-chan struct{}
}

// StaticDirectory is a Directory that is set by hand.
type StaticDirectory struct {
	mu      sync.RWMutex
	groups  map[string]Group
	changed chan struct{}
}

// NewStaticDirectory returns a directory of the given groups.
func NewStaticDirectory(groups ...Group) *StaticDirectory {
	d := &StaticDirectory{groups: make(map[string]Group), changed: make(chan struct{})}
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

// Databases returns the names of all databases in order.
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

// Entries returns 1: a directory set by hand knows of no others.
func (d *StaticDirectory) Entries() int { return 1 }

// Changed returns a channel that is closed at the next change.
func (d *StaticDirectory) Changed() <-chan struct{} {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.changed
}

// Set replaces a group, unless the known one is of a newer term.
func (d *StaticDirectory) Set(g Group) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if g.Term < d.groups[g.Database].Term {
		return
	}
	d.groups[g.Database] = g
	close(d.changed)
	d.changed = make(chan struct{})
}
