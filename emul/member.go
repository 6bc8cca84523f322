package emul

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tamarackcross/group"
)

// Role is the part that a member plays in its group.
type Role string

// The roles of a member.
const (
	Primary Role = "primary"
	Replica Role = "replica"
	Fenced  Role = "fenced"
)

// Default limits of a member.
const (
	DefaultSlots       = 5
	DefaultConnections = 30
	DefaultConnectTime = 10 * time.Millisecond
)

// Member is one backend server of a group. Its methods act on its state even
// while it is frozen or not served; only its connections stop then.
type Member struct {
	name        string
	database    string
	slots       chan struct{}
	maxConns    int
	connectTime time.Duration
	dial        DialFunc
	network     *Network     // nil without a Network
	members     int          // size of the group, for majorities
	service     atomic.Int64 // nanoseconds that a statement holds its slot

	frozen atomic.Pointer[chan struct{}] // nil unless frozen; closed by Thaw

	mu         sync.Mutex
	changed    chan struct{} // closed and replaced at each change of state
	store      string        // identity of the data, new after each loss
	role       Role
	term       uint64
	fencedTerm uint64
	history    group.History
	log        []*entry // entry with offset n is at index n-1
	applied    int      // number of log entries applied
	data       rows
	applyLag   time.Duration
	shipLag    time.Duration
	received   []time.Time // arrival of each log entry here
	acks       map[string]ack
	round      uint64 // confirmation rounds asked of the replicas
	discarded  []discard
	locks      map[rowKey]*txn
	conns      map[*conn]struct{}
	sessions   map[uint32]*session
	callers    int // sessions that count against the connection limit
	lastPID    uint32
	target     *target // primary that the member follows, or nil
}

// ack is what a replica last told the primary.
type ack struct {
	held    group.Position
	applied group.Position
	round   uint64
	pid     uint32 // session that sent it
}

// discard is an entry that the member gave up for a later term.
type discard struct {
	position group.Position
	by       uint64 // term whose history cut the entry off
}

// Option configures a Member.
type Option func(*Member)

// WithSlots limits the statements that execute at once.
func WithSlots(n int) Option { return func(m *Member) { m.slots = make(chan struct{}, n) } }

// WithConnections limits the open connections.
func WithConnections(n int) Option { return func(m *Member) { m.maxConns = n } }

// WithConnectTime sets the time that opening a connection takes.
func WithConnectTime(d time.Duration) Option { return func(m *Member) { m.connectTime = d } }

// WithService sets the time that each statement holds a slot.
func WithService(d time.Duration) Option { return func(m *Member) { m.SetService(d) } }

// WithApplyLag sets the delay between receiving an entry and applying it.
func WithApplyLag(d time.Duration) Option { return func(m *Member) { m.applyLag = d } }

// WithShipLag sets the delay before the acknowledgement of received entries.
func WithShipLag(d time.Duration) Option { return func(m *Member) { m.shipLag = d } }

// WithStore sets the store identity, which is random otherwise.
func WithStore(id string) Option { return func(m *Member) { m.store = id } }

// WithDial sets how the member reaches other members.
func WithDial(dial DialFunc) Option { return func(m *Member) { m.dial = dial } }

// WithNetwork places the member in a Network, when a Server runs it.
func WithNetwork(n *Network) Option { return func(m *Member) { m.network = n } }

// WithMembers sets the size of the group.
func WithMembers(n int) Option { return func(m *Member) { m.members = n } }

// New returns a member that is a replica of no primary yet.
func New(name, database string, opts ...Option) *Member {
	m := &Member{
		name:        name,
		database:    database,
		slots:       make(chan struct{}, DefaultSlots),
		maxConns:    DefaultConnections,
		connectTime: DefaultConnectTime,
		dial:        dialTCP,
		members:     1,
		changed:     make(chan struct{}),
		store:       newStore(),
		role:        Replica,
		data:        make(rows),
		acks:        make(map[string]ack),
		locks:       make(map[rowKey]*txn),
		conns:       make(map[*conn]struct{}),
		sessions:    make(map[uint32]*session),
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Name returns the name of the member.
func (m *Member) Name() string { return m.name }

// Database returns the database that the group serves.
func (m *Member) Database() string { return m.database }

// SetApplyLag changes the lag of the member from now on.
func (m *Member) SetApplyLag(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyLag = d
	m.notify()
}

// SetShipLag delays the acknowledgement of received entries. An entry that is
// written during the delay is only fetched after it, so that its own
// acknowledgement can take twice as long.
func (m *Member) SetShipLag(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.shipLag = d
	m.notify()
}

// SetService changes the time that each statement holds a slot.
func (m *Member) SetService(d time.Duration) { m.service.Store(int64(d)) }

// Service returns the time that each statement holds a slot.
func (m *Member) Service() time.Duration { return time.Duration(m.service.Load()) }

// Busy returns the number of slots in use.
func (m *Member) Busy() int { return len(m.slots) }

// Callers returns the number of connections that count against the limit.
func (m *Member) Callers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.callers
}

// Freeze stops the member from answering anything until Thaw, as a paused
// process does. Everything that was in progress continues after Thaw.
func (m *Member) Freeze() {
	thawed := make(chan struct{})
	m.frozen.CompareAndSwap(nil, &thawed)
}

// Thaw ends Freeze.
func (m *Member) Thaw() {
	if thawed := m.frozen.Swap(nil); thawed != nil {
		close(*thawed)
	}
}

// Silence makes every open connection go silent for good while new ones work.
func (m *Member) Silence() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.conns {
		c.silenced.Store(true)
	}
}

// Wipe loses the data of the member, which must not be served at that time. The
// member has a new store identity afterwards and follows no primary.
func (m *Member) Wipe() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.store = newStore()
	m.role, m.term, m.fencedTerm, m.history = Replica, 0, 0, group.History{}
	m.log, m.received, m.applied, m.data = nil, nil, 0, make(rows)
	m.acks, m.discarded, m.target = make(map[string]ack), nil, nil
	m.notify()
}

func newStore() string {
	var id [8]byte
	rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// Discarded returns the positions that the member gave up when it followed a
// new primary or was promoted.
func (m *Member) Discarded() []group.Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.discardedBy(0)
}

// discardedBy returns the positions given up for term, or for any term if it
// is 0. The caller holds mu.
func (m *Member) discardedBy(term uint64) []group.Position {
	var out []group.Position
	for _, d := range m.discarded {
		if term == 0 || d.by == term {
			out = append(out, d.position)
		}
	}
	return out
}

// Value returns an applied row, for checks in tests and measurements.
func (m *Member) Value(table, key string) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.data.get(table, key)
}

// Status returns the state of the member.
func (m *Member) Status() Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.status()
}

// Status is the answer of SHOW group_status.
type Status struct {
	Member     string
	Store      string
	Role       Role
	Term       uint64
	FencedTerm uint64
	Held       group.Position
	Applied    group.Position
	Majority   group.Position
	History    group.History
}

func (m *Member) status() Status {
	return Status{
		Member:     m.name,
		Store:      m.store,
		Role:       m.role,
		Term:       m.term,
		FencedTerm: m.fencedTerm,
		Held:       m.held(),
		Applied:    m.appliedPosition(),
		Majority:   m.majority(),
		History:    m.history,
	}
}

// notify wakes everyone who waits for a change of state. The caller holds mu.
func (m *Member) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// await waits until cond holds under mu, or ctx ends.
func (m *Member) await(ctx context.Context, cond func() bool) bool {
	for {
		m.mu.Lock()
		ok, changed := cond(), m.changed
		m.mu.Unlock()
		if ok {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func (m *Member) held() group.Position {
	if len(m.log) == 0 {
		return group.Position{}
	}
	return m.log[len(m.log)-1].Position
}

func (m *Member) appliedPosition() group.Position {
	if m.applied == 0 {
		return group.Position{}
	}
	return m.log[m.applied-1].Position
}

// majority returns the newest position that a majority of the group holds, as
// the primary knows it.
func (m *Member) majority() group.Position {
	if m.role != Primary {
		return group.Position{}
	}
	held := []group.Position{m.held()}
	for _, a := range m.acks {
		held = append(held, a.held)
	}
	return nthNewest(held, m.quorum())
}

// quorum is the number of members that form a majority of the group.
func (m *Member) quorum() int { return m.members/2 + 1 }

// nthNewest returns the n-th newest of the positions, or the zero position. It
// reorders them.
func nthNewest(all []group.Position, n int) group.Position {
	if len(all) < n {
		return group.Position{}
	}
	slices.SortFunc(all, func(a, b group.Position) int { return b.Compare(a) })
	return all[n-1]
}

// Promote makes the member the primary of term, with the given history.
func (m *Member) Promote(term uint64, h group.History) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.role == Primary && m.term == term {
		return nil
	}
	if term <= m.term || term < m.fencedTerm {
		return errTerm
	}
	if h.Term() != term {
		return errHistory
	}
	keep := m.clipped(h)
	if starts := h.Starts(); keep < int(starts[len(starts)-1].Offset) {
		return errMissing
	}
	m.stopFollowing()
	m.role, m.term, m.fencedTerm, m.history = Primary, term, term, h
	m.acks = make(map[string]ack)
	m.truncate(keep, term)
	m.applyUpTo(len(m.log))
	m.notify()
	return nil
}

// clipped returns the number of log entries that h keeps. The caller holds mu.
func (m *Member) clipped(h group.History) int {
	return int(min(h.Clip(m.held()).Offset, uint64(len(m.log))))
}

// Fence stops commits and replication of terms below term and returns the
// position that the member holds.
func (m *Member) Fence(term uint64) (group.Position, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if term < m.fencedTerm || term <= m.term {
		return m.held(), errTerm
	}
	if term > m.fencedTerm {
		m.fencedTerm = term
		m.stopFollowing()
		if m.role == Primary {
			m.role = Fenced
		}
		m.notify()
	}
	return m.held(), nil
}

// truncate drops every entry after keep entries and records what was given up
// for term. The caller holds mu.
func (m *Member) truncate(keep int, term uint64) {
	for m.applied > keep {
		m.applied--
		m.data.revert(m.log[m.applied])
	}
	for _, e := range m.log[keep:] {
		m.discarded = append(m.discarded, discard{e.Position, term})
	}
	m.log = m.log[:keep]
	m.received = m.received[:keep]
}

// append adds an entry that arrived at the given time. The caller holds mu.
func (m *Member) append(e *entry, at time.Time) {
	m.log = append(m.log, e)
	m.received = append(m.received, at)
}

// applyUpTo applies log entries until n are applied. The caller holds mu.
func (m *Member) applyUpTo(n int) {
	for m.applied < n {
		m.data.apply(m.log[m.applied])
		m.applied++
	}
}
