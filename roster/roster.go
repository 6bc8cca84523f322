// Package roster keeps the roster, the list of backend servers as they announce
// themselves. Instances exchange its entries in any order and converge to the same
// list.
package roster

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// State is the state of a backend server.
type State uint8

// Values of State. Within one start of a server, the state only increases.
const (
	Ready    State = iota
	Draining       // it is about to stop
	Gone           // it has stopped, or another server uses its address
)

// String returns the name of the state.
func (s State) String() string { return [...]string{"ready", "draining", "gone"}[s] }

// Entry is the newest announcement of one start of a backend server.
type Entry struct {
	Service string
	ID      string
	Born    int64  // time of its start in ms since the Unix epoch; orders the starts of an ID
	Seq     uint64 // orders the announcements of one start
	Addr    string
	Zone    string
	Slots   int // statements that it runs at a time
	State   State
	Primary bool // it announces itself as the primary
}

// Incarnation identifies one start of a backend server.
type Incarnation struct {
	ID   string
	Born int64
}

// Incarnation returns the start that the entry describes.
func (e Entry) Incarnation() Incarnation { return Incarnation{ID: e.ID, Born: e.Born} }

// merge returns what is known of a server after other was heard too. The order in which the two
// were heard does not matter.
func (e Entry) merge(other Entry) Entry {
	switch {
	case e.Born > other.Born:
		return e
	case e.Born < other.Born:
		return other
	}
	merged := e
	if other.Seq > e.Seq {
		merged = other
	}
	merged.State = max(e.State, other.State)
	return merged
}

// equalIgnoringSeq reports whether two entries differ in Seq at most.
func (e Entry) equalIgnoringSeq(old Entry) bool {
	e.Seq = old.Seq
	return e == old
}

// Limits of a Table.
const (
	// goneRetention is how long a server that is Gone is kept, so that a delayed
	// announcement does not list it again.
	goneRetention = 2 * time.Minute
	// silentRetention is how long a server that announces nothing is kept.
	silentRetention = 10 * time.Minute
	// maxEntries limits the memory. It is four times the number of members that the
	// system is designed for.
	maxEntries = 50_000
)

// row is the entry of one server ID.
type row struct {
	entry         Entry
	lastAnnounced time.Time
	revision      uint64 // revision of the table that changed the entry last
}

// Table is the roster. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	rows     map[string]*row   // by ID
	byAddr   map[string]string // ID of the newest server at an address
	revision uint64            // number of changes
	changed  chan struct{}     // closed at the next change
}

// New returns an empty Table.
func New() *Table {
	return &Table{rows: make(map[string]*row), byAddr: make(map[string]string), changed: make(chan struct{})}
}

// Put stores an entry unless a newer one of the same server is known, a newer
// server uses its address or the table is full. It reports whether the list changed
// in more than Seq.
func (t *Table) Put(e Entry, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rows[e.ID]
	if r == nil {
		if len(t.rows) >= maxEntries {
			t.expire(now)
		}
		if len(t.rows) >= maxEntries || !t.claimAddress(&e) {
			return false
		}
		t.rows[e.ID] = &row{entry: e, lastAnnounced: now}
		t.markChanged(t.rows[e.ID])
		return true
	}
	if e = r.entry.merge(e); e == r.entry {
		return false
	}
	if !t.claimAddress(&e) {
		return false
	}
	if r.entry.Addr != e.Addr && t.byAddr[r.entry.Addr] == e.ID {
		delete(t.byAddr, r.entry.Addr)
	}
	r.lastAnnounced = now
	changed := !e.equalIgnoringSeq(r.entry)
	r.entry = e
	if changed {
		t.markChanged(r)
	}
	return changed
}

// claimAddress records that e uses its address. Only one server uses an address at
// a time, so the older of two becomes Gone. It returns false if e is the older one.
func (t *Table) claimAddress(e *Entry) bool {
	id, ok := t.byAddr[e.Addr]
	if ok && id != e.ID {
		other := t.rows[id]
		if other.entry.Born > e.Born && other.entry.State != Gone {
			return false
		}
		if other.entry.State != Gone {
			other.entry.State = Gone
			t.markChanged(other)
		}
	}
	if e.State != Gone {
		t.byAddr[e.Addr] = e.ID
	}
	return true
}

// Leave records that a server has stopped, unless it has been started again since.
// It reports whether the list changed.
func (t *Table) Leave(inc Incarnation, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rows[inc.ID]
	if r == nil || inc.Born != r.entry.Born || r.entry.State == Gone {
		return false
	}
	r.entry.State, r.lastAnnounced = Gone, now
	t.markChanged(r)
	return true
}

func (t *Table) markChanged(r *row) {
	t.revision++
	r.revision = t.revision
	close(t.changed)
	t.changed = make(chan struct{})
}

// expire removes the servers whose retention has ended.
func (t *Table) expire(now time.Time) {
	for id, r := range t.rows {
		silent := now.Sub(r.lastAnnounced)
		if silent > silentRetention || r.entry.State == Gone && silent > goneRetention {
			delete(t.rows, id)
			if t.byAddr[r.entry.Addr] == id {
				delete(t.byAddr, r.entry.Addr)
			}
		}
	}
}

// Since returns the entries that changed after a revision, in the order of their
// changes. It also returns the newest revision and a channel that is closed at the
// next change.
func (t *Table) Since(revision uint64) ([]Entry, uint64, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if revision == t.revision {
		return nil, t.revision, t.changed
	}
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

// Members returns the servers of a service that are not Gone, ordered by ID.
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
