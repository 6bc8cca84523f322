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
	Gone           // it has stopped
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
	Primary bool   // it announces itself as the primary
	Claim   uint64 // orders the servers that announced the same address; see Table.Announce
	// LeavingFor is set only in entries on their way to another instance: how long ago it was
	// first acknowledged that the server leaves.
	LeavingFor time.Duration `json:",omitempty"`
	// LeavingSince is when that was, on the clock of this instance; zero if it is ready.
	LeavingSince time.Time `json:"-"`
}

// Incarnation identifies one start of a backend server.
type Incarnation struct {
	ID   string
	Born int64
}

// Incarnation returns the start that the entry describes.
func (e Entry) Incarnation() Incarnation { return Incarnation{ID: e.ID, Born: e.Born} }

// ForRelay returns the entry as it is sent to another instance, whose clock may differ.
func (e Entry) ForRelay(now time.Time) Entry {
	if !e.LeavingSince.IsZero() {
		e.LeavingFor, e.LeavingSince = max(0, now.Sub(e.LeavingSince)), time.Time{}
	}
	return e
}

// received returns an entry that arrived from a server or another instance as it is stored.
func (e Entry) received(now time.Time) Entry {
	leavingFor := e.LeavingFor
	e.LeavingFor, e.LeavingSince = 0, time.Time{}
	if e.State != Ready {
		e.LeavingSince = now.Add(-max(0, leavingFor))
	}
	return e
}

// LeavingTolerance is how much earlier another instance must have known that a server leaves, so that
// the time on the way is not taken for a difference.
const LeavingTolerance = 100 * time.Millisecond

// earlierLeave returns the earlier of two times, the first one unless they differ by more than
// LeavingTolerance.
func earlierLeave(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && a.Sub(b) > LeavingTolerance {
		return b
	}
	return a
}

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
	merged.State, merged.Claim = max(e.State, other.State), max(e.Claim, other.Claim)
	merged.LeavingSince = earlierLeave(e.LeavingSince, other.LeavingSince)
	return merged
}

// precedes reports whether e uses the address that other announced too.
func (e Entry) precedes(other Entry) bool {
	return cmp.Or(cmp.Compare(e.Claim, other.Claim), cmp.Compare(e.Born, other.Born), cmp.Compare(e.ID, other.ID)) > 0
}

// equalIgnoringSeq reports whether two entries differ in Seq at most.
func (e Entry) equalIgnoringSeq(old Entry) bool {
	e.Seq = old.Seq
	return e == old
}

// Limits of a Table.
const (
	// goneRetention is how long a server that is not listed any more is kept, so that a delayed
	// announcement does not list it again.
	goneRetention = 2 * time.Minute
	// silentRetention is how long a server that announces nothing is kept.
	silentRetention = 10 * time.Minute
	// maxEntries limits the memory. It is four times the number of members that the
	// system is designed for.
	maxEntries = 50_000
)

// A server whose address another one has announced gets it back if it goes on to announce itself
// while the other one is silent.
const (
	reclaimAfter         = 3 * time.Second
	reclaimAnnouncements = 3
	// contestWindow is how long after an announcement of a server without its address the one that
	// has it is relayed with each announcement, so that all instances know that it is not silent.
	contestWindow = 10 * time.Second
)

// A server that was leaving when an instance which has just started heard of it first has been leaving
// for an unknown time.
const (
	// knownAfter is how long after the start of an instance a server that is ready has announced
	// itself.
	knownAfter = 5 * time.Second
	// assumedLeave is how long before the start such a server is taken to have been leaving.
	assumedLeave = time.Second
)

// row is the entry of one server ID.
type row struct {
	entry         Entry
	lastAnnounced time.Time
	revision      uint64 // revision of the table that changed the entry last

	displaced      bool      // another server has its address
	contestedAt    time.Time // when a server without this address announced it last
	reclaimSince   time.Time // first announcement since the server with the address announced itself last
	reclaimedCount int       // announcements since then
}

// listed reports whether the server can be used.
func (r *row) listed() bool { return r.entry.State != Gone && !r.displaced }

// Table is the roster. It is safe for concurrent use.
type Table struct {
	started time.Time // of the instance; zero if servers that are leaving cannot have been so before

	mu       sync.Mutex
	rows     map[string]*row   // by ID
	byAddr   map[string][]*row // servers that announced an address; the one that has it comes first
	revision uint64            // number of changes
	changed  chan struct{}     // closed at the next change
}

// Option configures a Table.
type Option func(*Table)

// WithStart sets when the instance started. It knows nothing of before.
func WithStart(now time.Time) Option { return func(t *Table) { t.started = now } }

// New returns an empty Table.
func New(opts ...Option) *Table {
	t := &Table{rows: make(map[string]*row), byAddr: make(map[string][]*row), changed: make(chan struct{})}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Announce stores what a server announced of itself. A new start of a server gets its address from
// one that started earlier or has left. Anybody can send an announcement, so the former one gets the
// address back if it goes on to announce itself for reclaimAfter, and the other one does not. It
// reports whether the list changed in more than Seq.
func (t *Table) Announce(e Entry, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.Claim, e.LeavingFor = t.claim(e), t.unseenLeave(e, now)
	changed := t.put(e, now)
	r := t.rows[e.ID]
	if r == nil || !r.displaced || r.entry.State == Gone || r.entry.Seq != e.Seq || r.entry.Born != e.Born {
		return changed
	}
	if r.reclaimedCount < reclaimAnnouncements || now.Sub(r.reclaimSince) < reclaimAfter {
		return changed
	}
	e.Claim = t.byAddr[e.Addr][0].entry.Claim + 1
	return t.put(e, now)
}

// unseenLeave returns for how long a server that announces itself may have been leaving already.
func (t *Table) unseenLeave(e Entry, now time.Time) time.Duration {
	r := t.rows[e.ID]
	if known := r != nil && r.entry.Born == e.Born; known || t.started.IsZero() || now.Sub(t.started) > knownAfter {
		return 0
	}
	return now.Sub(t.started) + assumedLeave
}

// claim returns the claim of an announcement to its address.
func (t *Table) claim(e Entry) uint64 {
	r := t.rows[e.ID]
	if r != nil && r.entry.Addr == e.Addr && e.Born <= r.entry.Born {
		return r.entry.Claim
	}
	others := t.byAddr[e.Addr]
	if len(others) == 0 {
		return 0
	}
	switch user := others[0].entry; {
	case user.ID == e.ID, user.Born > e.Born && user.State != Gone, user.Born < e.Born:
		return user.Claim
	default:
		return user.Claim + 1
	}
}

// Put stores an entry that another instance relayed, unless a newer one of the same server is known
// or the table is full. It reports whether the list changed in more than Seq.
func (t *Table) Put(e Entry, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.put(e, now)
}

func (t *Table) put(e Entry, now time.Time) bool {
	e = e.received(now)
	r := t.rows[e.ID]
	if r == nil {
		if len(t.rows) >= maxEntries {
			t.expire(now)
		}
		if len(t.rows) >= maxEntries {
			return false
		}
		r = &row{entry: e, lastAnnounced: now}
		t.rows[e.ID] = r
		t.byAddr[e.Addr] = append(t.byAddr[e.Addr], r)
		t.settle(e.Addr)
		t.markChanged(r)
		return r.listed()
	}
	old, wasListed := r.entry, r.listed()
	merged := old.merge(e)
	if merged == old {
		return false
	}
	r.entry = merged
	if merged.Addr != old.Addr {
		t.release(r, old.Addr)
		t.byAddr[merged.Addr] = append(t.byAddr[merged.Addr], r)
	}
	t.settle(merged.Addr)
	announced := merged.Born != old.Born || merged.Seq != old.Seq
	if announced {
		t.recordAnnouncement(r, now)
	}
	changed := !merged.equalIgnoringSeq(old)
	if changed || announced && t.contested(r, now) {
		t.markChanged(r)
	}
	return wasListed != r.listed() || changed && r.listed()
}

// recordAnnouncement records that a server announced itself.
func (t *Table) recordAnnouncement(r *row, now time.Time) {
	r.lastAnnounced = now
	if !r.displaced {
		return
	}
	user := t.byAddr[r.entry.Addr][0]
	user.contestedAt = now
	if r.reclaimedCount == 0 || !user.lastAnnounced.Before(r.reclaimSince) {
		r.reclaimSince, r.reclaimedCount = now, 0
	}
	r.reclaimedCount++
}

// contested reports whether two servers announce the address of r.
func (t *Table) contested(r *row, now time.Time) bool {
	return r.displaced || !r.contestedAt.IsZero() && now.Sub(r.contestedAt) < contestWindow
}

// settle gives an address to one of the servers that announced it.
func (t *Table) settle(addr string) {
	rows := t.byAddr[addr]
	for i, r := range rows {
		if i > 0 && r.entry.precedes(rows[0].entry) {
			rows[0], rows[i] = rows[i], rows[0]
		}
	}
	for i, r := range rows {
		if displaced := i > 0; displaced != r.displaced {
			r.displaced, r.reclaimedCount = displaced, 0
		}
	}
}

// release removes a server from those that announced an address.
func (t *Table) release(r *row, addr string) {
	rest := slices.DeleteFunc(t.byAddr[addr], func(other *row) bool { return other == r })
	if t.byAddr[addr] = rest; len(rest) == 0 {
		delete(t.byAddr, addr)
		return
	}
	t.settle(addr)
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
	r.entry.State, r.lastAnnounced, r.entry.LeavingSince = Gone, now, earlierLeave(r.entry.LeavingSince, now)
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
		if silent > silentRetention || !r.listed() && silent > goneRetention {
			delete(t.rows, id)
			t.release(r, r.entry.Addr)
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

// Members returns the servers of a service that can be used, ordered by ID.
func (t *Table) Members(service string) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Entry
	for _, r := range t.rows {
		if r.entry.Service == service && r.listed() {
			out = append(out, r.entry)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Knows reports whether a start of a server is the newest one that the table has.
func (t *Table) Knows(inc Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rows[inc.ID]
	return r != nil && r.entry.Born == inc.Born
}

// HasLeft reports whether a start of a server, or a later one, has stopped.
func (t *Table) HasLeft(inc Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rows[inc.ID]
	return r != nil && r.entry.State == Gone && r.entry.Born >= inc.Born
}

// Revision returns the number of changes so far.
func (t *Table) Revision() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.revision
}
