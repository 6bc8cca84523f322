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

// Role is the role of a member in its group.
type Role string

// The roles of a member. A Fenced member was the primary of a term below the term of
// the fence.
const (
	Primary Role = "primary"
	Replica Role = "replica"
	Fenced  Role = "fenced"
)

// Defaults of a member.
const (
	DefaultSlots       = 5
	DefaultConnections = 30
	DefaultConnectTime = 10 * time.Millisecond
)

// Member is one backend server of a group. Its methods act on its state even while
// it is frozen or not served. Only its connections and background work stop then.
type Member struct {
	name          string
	database      string
	slots         chan struct{}
	maxConns      int
	connectTime   time.Duration
	dial          DialFunc
	network       *Network     // nil without a Network
	members       int          // size of the group, from which the quorum follows
	serviceTimeNs atomic.Int64 // how long a statement holds its slot

	frozen atomic.Pointer[chan struct{}] // nil unless frozen; closed by Thaw

	mu             sync.Mutex
	changed        chan struct{} // closed and replaced at each change of state
	store          string        // identity of the data; changes when the data is lost
	role           Role
	term           uint64
	fencedTerm     uint64
	history        group.History
	log            []*logEntry // entry with offset n is at index n-1
	appliedCount   int
	data           tables
	applyLag       time.Duration
	ackDelay       time.Duration
	receivedAt     []time.Time // when each log entry was received; zero for the entries that this member committed
	acks           map[string]ack
	round          uint64 // number of the last confirmation round
	discarded      []discardedEntry
	locks          map[rowKey]*txn
	conns          map[*conn]struct{}
	sessions       map[uint32]*session
	callerSessions int // sessions that count towards the connection limit
	lastPID        uint32
	target         *target // primary that the member follows, or nil
}

// ack is the last acknowledgement of a replica, as the primary received it.
type ack struct {
	held    group.Position
	applied group.Position
	round   uint64
	pid     uint32 // process ID of the session that sent it
}

// discardedEntry is an entry that the member removed from its log for a later term.
type discardedEntry struct {
	position group.Position
	byTerm   uint64 // term whose history does not contain the entry
}

// Option configures a Member.
type Option func(*Member)

// WithSlots limits the number of statements that execute at the same time.
func WithSlots(n int) Option { return func(m *Member) { m.slots = make(chan struct{}, n) } }

// WithConnections limits the number of open connections.
func WithConnections(n int) Option { return func(m *Member) { m.maxConns = n } }

// WithConnectTime sets the time that opening a connection takes.
func WithConnectTime(d time.Duration) Option { return func(m *Member) { m.connectTime = d } }

// WithServiceTime sets how long each statement holds a slot.
func WithServiceTime(d time.Duration) Option { return func(m *Member) { m.SetServiceTime(d) } }

// WithApplyLag sets the delay between the receipt of an entry and its application.
func WithApplyLag(d time.Duration) Option { return func(m *Member) { m.applyLag = d } }

// WithAckDelay sets the delay before received entries are acknowledged.
func WithAckDelay(d time.Duration) Option { return func(m *Member) { m.ackDelay = d } }

// WithStore sets the store identity, which is random by default.
func WithStore(id string) Option { return func(m *Member) { m.store = id } }

// WithDial sets how the member connects to other members.
func WithDial(dial DialFunc) Option { return func(m *Member) { m.dial = dial } }

// WithNetwork sets the Network of the member, which a Server then uses for its
// connections.
func WithNetwork(n *Network) Option { return func(m *Member) { m.network = n } }

// WithMembers sets the size of the group.
func WithMembers(n int) Option { return func(m *Member) { m.members = n } }

// New returns a member that is a replica and does not follow a primary yet.
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
		data:        make(tables),
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

// SetApplyLag changes the delay between the receipt of an entry and its application.
func (m *Member) SetApplyLag(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyLag = d
	m.notify()
}

// SetAckDelay changes the delay before received entries are acknowledged. The member
// fetches no entries during the delay, so an entry that is written meanwhile can
// take twice as long to be acknowledged.
func (m *Member) SetAckDelay(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ackDelay = d
	m.notify()
}

// SetServiceTime changes how long each statement holds a slot.
func (m *Member) SetServiceTime(d time.Duration) { m.serviceTimeNs.Store(int64(d)) }

// ServiceTime returns how long each statement holds a slot.
func (m *Member) ServiceTime() time.Duration { return time.Duration(m.serviceTimeNs.Load()) }

// BusySlots returns the number of slots in use.
func (m *Member) BusySlots() int { return len(m.slots) }

// CallerSessions returns the number of connections that count towards the connection
// limit.
func (m *Member) CallerSessions() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.callerSessions
}

// Freeze makes the member stop answering until Thaw, like a suspended process.
// Everything in progress continues after Thaw.
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

// SilenceExisting makes every open connection silent for good. New connections work.
func (m *Member) SilenceExisting() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.conns {
		c.silenced.Store(true)
	}
}

// Wipe deletes the data of the member, which must not be served at that time.
// Afterwards the member has a new store identity and follows no primary.
func (m *Member) Wipe() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.store = newStore()
	m.role, m.term, m.fencedTerm, m.history = Replica, 0, 0, group.History{}
	m.log, m.receivedAt, m.appliedCount, m.data = nil, nil, 0, make(tables)
	m.acks, m.discarded, m.target = make(map[string]ack), nil, nil
	m.notify()
}

func newStore() string {
	var id [8]byte
	rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// Discarded returns the positions of the entries that the member removed from its
// log when it followed a new primary or was promoted.
func (m *Member) Discarded() []group.Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.discardedBy(0)
}

// discardedBy returns the positions of the entries removed for term, or for any term
// if term is 0. The caller holds mu.
func (m *Member) discardedBy(term uint64) []group.Position {
	var out []group.Position
	for _, d := range m.discarded {
		if term == 0 || d.byTerm == term {
			out = append(out, d.position)
		}
	}
	return out
}

// Value returns an applied row, so that tests and measurements can check it.
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

// Status is the result of SHOW group_status.
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
		Majority:   m.majorityPosition(),
		History:    m.history,
	}
}

// notify wakes all goroutines that wait for a change of state. The caller holds mu.
func (m *Member) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// await waits until cond holds under mu. It reports false if ctx ended first.
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
	if m.appliedCount == 0 {
		return group.Position{}
	}
	return m.log[m.appliedCount-1].Position
}

// majorityPosition returns the newest position that a majority of the group is known
// to hold. It is zero unless the member is the primary.
func (m *Member) majorityPosition() group.Position {
	if m.role != Primary {
		return group.Position{}
	}
	held := []group.Position{m.held()}
	for _, a := range m.acks {
		held = append(held, a.held)
	}
	return nthNewest(held, m.quorum())
}

// quorum returns the number of members that form a majority of the group.
func (m *Member) quorum() int { return m.members/2 + 1 }

// nthNewest returns the n-th newest of the positions, or the zero position if there
// are fewer. It reorders them.
func nthNewest(positions []group.Position, n int) group.Position {
	if len(positions) < n {
		return group.Position{}
	}
	slices.SortFunc(positions, func(a, b group.Position) int { return b.Compare(a) })
	return positions[n-1]
}

// Promote makes the member the primary of term with the given history. Entries that
// the history does not contain are discarded.
func (m *Member) Promote(term uint64, h group.History) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.role == Primary && m.term == term {
		return nil
	}
	if term <= m.term || term < m.fencedTerm {
		return errTermTooLow
	}
	if h.Term() != term {
		return errHistoryTerm
	}
	keep := m.keptEntries(h)
	if starts := h.Starts(); keep < int(starts[len(starts)-1].Offset) {
		return errLogTooShort
	}
	m.stopFollowing()
	m.role, m.term, m.fencedTerm, m.history = Primary, term, term, h
	m.acks = make(map[string]ack)
	m.truncate(keep, term)
	m.applyUpTo(len(m.log))
	m.notify()
	return nil
}

// keptEntries returns how many entries from the start of the log h contains. The
// caller holds mu.
func (m *Member) keptEntries(h group.History) int {
	return int(min(h.Clip(m.held()).Offset, uint64(len(m.log))))
}

// Fence stops commits and replication of all terms below term. It returns the
// position that the member holds.
func (m *Member) Fence(term uint64) (group.Position, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if term < m.fencedTerm || term <= m.term {
		return m.held(), errTermTooLow
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

// truncate removes all entries after the first keep and records them as discarded
// for term. The caller holds mu.
func (m *Member) truncate(keep int, term uint64) {
	for m.appliedCount > keep {
		m.appliedCount--
		m.data.revert(m.log[m.appliedCount])
	}
	for _, e := range m.log[keep:] {
		m.discarded = append(m.discarded, discardedEntry{e.Position, term})
	}
	m.log = m.log[:keep]
	m.receivedAt = m.receivedAt[:keep]
}

// append adds an entry that was received at the given time. The caller holds mu.
func (m *Member) append(e *logEntry, at time.Time) {
	m.log = append(m.log, e)
	m.receivedAt = append(m.receivedAt, at)
}

// applyUpTo applies entries until the first n of the log are applied. The caller
// holds mu.
func (m *Member) applyUpTo(n int) {
	for m.appliedCount < n {
		m.data.apply(m.log[m.appliedCount])
		m.appliedCount++
	}
}
