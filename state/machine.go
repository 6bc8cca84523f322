package state

import (
	"slices"
	"sync/atomic"
	"time"
	"unicode/utf8"
)

// Limits of the state. They protect the memory of every instance from a mistake
// in a name and are the same in all releases, because all copies must agree.
const (
	// MaxName is the longest name, identifier or address, in bytes.
	MaxName = 128
	// MaxDocument is the largest configuration document, in bytes.
	MaxDocument = 64 << 10
	// MaxDatabases is four times the expected number.
	MaxDatabases = 16_384
	// MaxInstances is six times the expected number.
	MaxInstances = 16_384
	// MaxMembers bounds the members of a database, with those that are gone.
	MaxMembers = 32
	// MaxVoters bounds the voters of a database.
	MaxVoters = 7
	// MaxStarts bounds the terms in a history. Older terms are dropped, and
	// positions in them become unknown.
	MaxStarts = 128
	// MaxList bounds the addresses and the roles of an instance.
	MaxList = 8
)

// Machine applies the control log. One goroutine applies; View and Config may
// be called from any.
type Machine struct {
	view    atomic.Pointer[View]
	kept    atomic.Pointer[[]*Config] // newest configurations, oldest first
	applied Stamp
	clock   time.Time // highest time that a command carried
	results results
	owners  owners
}

// New returns a machine with the empty state.
func New() *Machine {
	m := &Machine{results: newResults(), owners: newOwners()}
	m.view.Store(Empty())
	m.kept.Store(&[]*Config{})
	return m
}

// View returns the newest view. It is the call for the hot path.
func (m *Machine) View() *View { return m.view.Load() }

// Applied returns the stamp of the last command applied, which may be newer
// than that of the view: commands that change nothing make no view.
func (m *Machine) Applied() Stamp { return m.applied }

// Config returns a configuration by version, if it is among the newest
// KeptConfigs.
func (m *Machine) Config(version uint64) (*Config, bool) {
	for _, c := range *m.kept.Load() {
		if c.version == version {
			return c, true
		}
	}
	return nil, false
}

// Applied is what Apply returns: the result for the submitter and the delta for
// all instances.
type Applied struct {
	Result Result
	Delta  Delta
}

// Apply carries out the command committed at the given place in the log. An
// entry that was applied before is refused.
func (m *Machine) Apply(at Stamp, c Command) Applied {
	if !m.applied.Less(at) {
		return Applied{Result: Refused{Reason: ReasonOldIndex, Detail: at.String()}}
	}
	m.applied = at
	t := &txn{m: m, view: m.View()}
	result := t.run(c)
	return Applied{Result: result, Delta: t.commit(at)}
}

// txn collects the sections that one command changes. A command is refused
// before its first change, so there is nothing to undo.
type txn struct {
	m         *Machine
	view      *View
	databases map[string]*Database
	sections  map[Key]Section // nil removes
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

// peek returns the database as it is, without a copy.
func (t *txn) peek(name string) *Database {
	if d, ok := t.databases[name]; ok {
		return d
	}
	d, _ := t.view.Group(name)
	return d
}

// edit returns a copy of the database that the transaction may change. It
// creates the database when there is none.
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

// commit installs the changed sections and returns their delta. Sections whose
// encoding is the same as before are left out.
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
		e := newEntry(s)
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

// named reports whether all names are non-empty, bounded and valid UTF-8.
func named(names ...string) bool {
	for _, n := range names {
		if n == "" || len(n) > MaxName || !utf8.ValidString(n) {
			return false
		}
	}
	return true
}
