package state

import (
	"slices"
	"sync/atomic"
	"time"
	"unicode/utf8"
)

// Limits of the state. They protect the memory of every instance from a mistake in a
// name. They must not differ between releases, because every copy of the state must
// get the same result for a command.
const (
	// MaxNameBytes is the greatest length of a name, ID or address.
	MaxNameBytes = 128
	// MaxDocumentBytes is the greatest size of a configuration document.
	MaxDocumentBytes = 64 << 10
	// MaxDatabases is four times the number expected in two years.
	MaxDatabases = 16_384
	// MaxInstances is six times the number expected in two years.
	MaxInstances = 16_384
	// MaxMembers limits the members of a database, including those that are
	// gone.
	MaxMembers = 32
	// MaxVoters limits the voters of a database.
	MaxVoters = 7
	// MaxTermStarts limits the terms in a history. Older terms are dropped;
	// whether positions in them were kept is then unknown.
	MaxTermStarts = 128
	// MaxListItems limits the addresses and the roles of an instance.
	MaxListItems = 8
)

// Machine applies the commands of the control log to the state. View and Config
// are safe for concurrent use; all other methods must be called from one
// goroutine.
type Machine struct {
	view          atomic.Pointer[View]
	recentConfigs atomic.Pointer[[]*Config] // newest configurations, oldest first
	applied       Stamp
	clock         time.Time // latest ApplyConfig.At so far; the machine reads no other clock
	results       results
	owners        owners
}

// New returns a machine with an empty state.
func New() *Machine {
	m := &Machine{results: newResults(), owners: newOwners()}
	m.view.Store(Empty())
	m.recentConfigs.Store(&[]*Config{})
	return m
}

// View returns the newest view. It takes no lock, so it is suitable for the
// path of every request.
func (m *Machine) View() *View { return m.view.Load() }

// Applied returns the stamp of the last command applied. It may be newer than
// that of the view: a command that changes no section creates no view.
func (m *Machine) Applied() Stamp { return m.applied }

// Config returns the configuration with the given version if it is one of the
// newest KeptConfigs.
func (m *Machine) Config(version uint64) (*Config, bool) {
	for _, c := range *m.recentConfigs.Load() {
		if c.version == version {
			return c, true
		}
	}
	return nil, false
}

// ApplyResult is what Machine.Apply returns: the result for the client that proposed
// the command and the delta for all instances.
type ApplyResult struct {
	Result Result
	Delta  Delta
}

// Apply executes the command that was committed at the given stamp of the log.
// An entry that has already been applied is refused.
func (m *Machine) Apply(at Stamp, c Command) ApplyResult {
	if !m.applied.Less(at) {
		return ApplyResult{Result: Refused{Reason: ReasonOldIndex, Detail: at.String()}}
	}
	m.applied = at
	t := &txn{m: m, view: m.View()}
	result := t.run(c)
	return ApplyResult{Result: result, Delta: t.commit(at)}
}

// txn collects the sections that one command changes. Commands are validated
// before their first change, so a refused command needs no rollback.
type txn struct {
	m         *Machine
	view      *View
	databases map[string]*Database
	sections  map[Key]Section // a nil value removes the section
}

func (t *txn) run(c Command) Result {
	switch c := c.(type) {
	case ApplyConfig:
		return t.applyConfig(c)
	case RegisterInstance:
		return t.register(c.Instance)
	case RemoveInstance:
		return t.removeInstance(c)
	case Announce:
		return t.announce(c)
	case Leave:
		return t.leave(c)
	case Expire:
		return t.expire(c)
	case BeginPromotion:
		return t.beginPromotion(c)
	case CompletePromotion:
		return t.completePromotion(c)
	case MarkCaughtUp:
		return t.markCaughtUp(c)
	case BootstrapGroup:
		return t.bootstrap(c)
	case RetireMember:
		return t.retire(c)
	case Rebalance:
		return t.rebalance(c.Zone)
	default:
		return refuse(ReasonInvalid, "unknown command")
	}
}

// peek returns the database for reading, without a copy, or nil if there is
// none.
func (t *txn) peek(name string) *Database {
	if d, ok := t.databases[name]; ok {
		return d
	}
	d, _ := t.view.Group(name)
	return d
}

// edit returns the copy of the database that the transaction may modify. It
// creates the database if it does not exist.
func (t *txn) edit(name string) *Database {
	if d, ok := t.databases[name]; ok {
		return d
	}
	d := &Database{name: name}
	if old := t.peek(name); old != nil {
		d = old.clone()
	}
	if t.databases == nil {
		t.databases = make(map[string]*Database)
	}
	t.databases[name] = d
	t.put(d)
	return d
}

func (t *txn) put(s Section) { t.set(s.key(), s) }

func (t *txn) set(k Key, s Section) {
	if t.sections == nil {
		t.sections = make(map[Key]Section)
	}
	t.sections[k] = s
}

// commit publishes a view with the changed sections and returns their delta.
// Sections whose encoding did not change are left out.
func (t *txn) commit(at Stamp) Delta {
	ed := t.view.tree.edit()
	d := Delta{Prev: t.view.stamp, Stamp: at}
	for k, s := range t.sections {
		old := t.view.tree.get(k)
		if s == nil {
			ed.remove(k)
			d.Changes = append(d.Changes, Change{Key: k, Removed: true})
			continue
		}
		e := newSectionEntry(s)
		if old != nil && old.digest == e.digest {
			continue
		}
		ed.set(e)
		d.Changes = append(d.Changes, Change{Key: k, Data: e.data})
	}
	if d.IsZero() {
		return Delta{Prev: t.view.stamp, Stamp: t.view.stamp}
	}
	slices.SortFunc(d.Changes, func(a, b Change) int { return a.Key.Compare(b.Key) })
	t.m.view.Store(t.view.next(at, ed))
	return d
}

func refuse(reason Reason, detail string) Refused { return Refused{Reason: reason, Detail: detail} }

func done(changed bool) Result { return Done{Changed: changed} }

// validNames reports whether all names are non-empty, valid UTF-8 and at most
// MaxNameBytes long.
func validNames(names ...string) bool {
	for _, n := range names {
		if n == "" || len(n) > MaxNameBytes || !utf8.ValidString(n) {
			return false
		}
	}
	return true
}
