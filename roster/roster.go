// Package roster keeps the list of backend servers as they announce themselves.
// Instances exchange entries in any order and arrive at the same list.
package roster

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// State is what a backend server says of itself.
type State uint8

// The states. A server that is Draining stays so until it starts again.
const (
	Ready State = iota
	Draining
	Gone
)

// String names the state.
func (s State) String() string { return [...]string{"ready", "draining", "gone"}[s] }

// Entry is what is known of one start of a backend server.
type Entry struct {
	Service string
	ID      string
	Born    int64 // ms since 1970 at its start; orders the starts of an ID
	Seq     uint64
	Addr    string
	Zone    string
	Slots   int
	State   State
	Primary bool
}

// Start names one start of a backend server.
type Start struct {
	ID   string
	Born int64
}

// Start returns which start the entry is about.
func (e Entry) Start() Start { return Start{ID: e.ID, Born: e.Born} }

// supersedes reports whether e was said later than old by the same server.
func (e Entry) supersedes(old Entry) bool {
	if e.Born != old.Born {
		return e.Born > old.Born
	}
	return e.Seq > old.Seq
}

// same reports whether two entries differ in their number alone.
func (e Entry) same(old Entry) bool {
	e.Seq = old.Seq
	return e == old
}

// Limits of a table.
const (
	// keepGone is how long a server that left is remembered, so that a delayed
	// announcement does not bring it back.
	keepGone = 2 * time.Minute
	// keepSilent is how long a server that announces nothing is listed.
	keepSilent = 10 * time.Minute
	// maxEntries bounds the memory: four times the members of the planned size.
	maxEntries = 50_000
)

type row struct {
	entry    Entry
	heard    time.Time
	revision uint64
}

// Table is the list. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	rows     map[string]*row   // by ID
	byAddr   map[string]string // ID of the newest server at an address
	revision uint64
	changed  chan struct{}
}

// New returns an empty table.
func New() *Table {
	return &Table{rows: make(map[string]*row), byAddr: make(map[string]string), changed: make(chan struct{})}
}

// Put takes in an entry and reports whether it changed the list.
func (t *Table) Put(e Entry, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rows[e.ID]
	if r == nil {
		if len(t.rows) >= maxEntries {
			t.expire(now)
		}
		if len(t.rows) >= maxEntries || !t.claim(&e) {
			return false
		}
		t.rows[e.ID] = &row{entry: e, heard: now}
		t.bump(t.rows[e.ID])
		return true
	}
	if !e.supersedes(r.entry) {
		return false
	}
	if e.Born == r.entry.Born {
		e.State = max(e.State, r.entry.State)
	}
	if !t.claim(&e) {
		return false
	}
	r.heard = now
	changed := !e.same(r.entry)
	r.entry = e
	if changed {
		t.bump(r)
	}
	return changed
}

// claim makes e the server at its address. An address is used by one server at a
// time, so an older one there is gone. It reports false if e is the older one.
func (t *Table) claim(e *Entry) bool {
	id, ok := t.byAddr[e.Addr]
	if ok && id != e.ID {
		other := t.rows[id]
		if other.entry.Born > e.Born && other.entry.State != Gone {
			return false
		}
		if other.entry.State != Gone {
			other.entry.State = Gone
			t.bump(other)
		}
	}
	if e.State != Gone {
		t.byAddr[e.Addr] = e.ID
	}
	return true
}

// Leave records that a start of a server has ended.
func (t *Table) Leave(s Start, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rows[s.ID]
	if r == nil || s.Born != r.entry.Born || r.entry.State == Gone {
		return false
	}
	r.entry.State, r.heard = Gone, now
	t.bump(r)
	return true
}

func (t *Table) bump(r *row) {
	t.revision++
	r.revision = t.revision
	close(t.changed)
	t.changed = make(chan struct{})
}

// expire forgets servers that have left or have been silent for long.
func (t *Table) expire(now time.Time) {
	for id, r := range t.rows {
		silent := now.Sub(r.heard)
		if silent > keepSilent || r.entry.State == Gone && silent > keepGone {
			delete(t.rows, id)
			if t.byAddr[r.entry.Addr] == id {
				delete(t.byAddr, r.entry.Addr)
			}
		}
	}
}

// Since returns the entries that changed after a revision, in the order of their
// changes, with the newest revision and a channel that is closed at the next one.
func (t *Table) Since(revision uint64) ([]Entry, uint64, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []*row
	for _, r := range t.rows {
		if r.revision > revision {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b *row) int { return cmp.Compare(a.revision, b.revision) })
	out := make([]Entry, len(rows))
	for i, r := range rows {
		out[i] = r.entry
	}
	return out, t.revision, t.changed
}

// Members returns the servers of a service that have not left, by ID.
func (t *Table) Members(service string) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Entry
	for _, r := range t.rows {
		if r.entry.Service == service && r.entry.State != Gone {
			out = append(out, r.entry)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Revision returns the number of changes so far.
func (t *Table) Revision() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.revision
}
