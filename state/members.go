package state

import (
	"slices"
)

func (t *txn) announce(c Announce) Result {
	if !validNames(c.Database, c.Member, c.Store, c.Zone, c.Address) {
		return refuse(ReasonInvalid, "announcement of "+c.Member)
	}
	d := t.peek(c.Database)
	if d == nil {
		if t.view.Count(KindDatabase) >= MaxDatabases {
			return refuse(ReasonTooManyDatabases, c.Database)
		}
		return t.join(c)
	}
	old := d.member(c.Member)
	switch {
	case old == nil:
		if len(d.members) >= MaxMembers && d.evictable() < 0 {
			return refuse(ReasonTooManyMembers, c.Database)
		}
		return t.join(c)
	case c.Incarnation < old.Incarnation:
		return refuse(ReasonOldIncarnation, c.Member)
	case c.Incarnation == old.Incarnation && c.Store != old.Store:
		return refuse(ReasonStoreChanged, c.Member)
	}
	next := renewed(*old, c)
	if next == *old {
		return done(false)
	}
	t.update(c.Database, next)
	return done(true)
}

// renewed returns the member as the announcement describes it. Leaving is
// cleared only by a higher incarnation, so that a member that drains does not
// return to service with its next announcement.
func renewed(m Member, c Announce) Member {
	if c.Incarnation > m.Incarnation {
		m.Leaving = false
	}
	m.Gone = false
	m.Incarnation = c.Incarnation
	m.Store = c.Store
	m.Zone = c.Zone
	m.Address = c.Address
	m.Slots = c.Slots
	m.Connections = c.Connections
	return m
}

// join adds a new member and assigns its owner.
func (t *txn) join(c Announce) Result {
	d := t.edit(c.Database)
	if len(d.members) >= MaxMembers {
		t.evict(d, d.evictable())
	}
	m := renewed(Member{Name: c.Member}, c)
	i, _ := d.find(c.Member)
	d.members = slices.Insert(d.members, i, m)
	t.assign(d, &d.members[i])
	return done(true)
}

// update stores the member and assigns an owner anew if its zone changed.
func (t *txn) update(db string, next Member) {
	d := t.edit(db)
	m := d.member(next.Name)
	moved := m.Zone != next.Zone
	if moved {
		t.m.owners.removeMember(db, m)
	}
	*m = next
	if moved {
		t.assign(d, m)
	}
}

// evictable returns the index of a member whose record may be dropped: one that
// is gone and is neither voter nor primary. It returns -1 if there is none.
func (d *Database) evictable() int {
	return slices.IndexFunc(d.members, func(m Member) bool { return m.Gone && !m.Voter && m.Name != d.primary })
}

func (t *txn) evict(d *Database, i int) {
	t.m.owners.removeMember(d.name, &d.members[i])
	d.members = slices.Delete(d.members, i, i+1)
}

// member returns the member that a command refers to, or a refusal if it is
// unknown or has another incarnation.
func (t *txn) member(r memberRef) (Member, Result) {
	d := t.peek(r.Database)
	if d == nil {
		return Member{}, refuse(ReasonUnknownDatabase, r.Database)
	}
	m := d.member(r.Member)
	switch {
	case m == nil:
		return Member{}, refuse(ReasonUnknownMember, r.Member)
	case r.Incarnation < m.Incarnation:
		return Member{}, refuse(ReasonOldIncarnation, r.Member)
	case r.Incarnation > m.Incarnation:
		return Member{}, refuse(ReasonWrongIncarnation, r.Member)
	}
	return *m, nil
}

func (t *txn) leave(c Leave) Result {
	m, refused := t.member(memberRef(c))
	if refused != nil {
		return refused
	}
	if m.Leaving {
		return done(false)
	}
	m.Leaving = true
	t.update(c.Database, m)
	return done(true)
}

func (t *txn) expire(c Expire) Result {
	m, refused := t.member(memberRef(c))
	if refused != nil {
		return refused
	}
	if m.Gone {
		return done(false)
	}
	m.Gone = true
	t.update(c.Database, m)
	return done(true)
}

func (t *txn) register(next Instance) Result {
	if !validNames(next.Name, next.Zone) || !validList(next.Addresses) || !validList(next.Roles) {
		return refuse(ReasonInvalid, "instance "+next.Name)
	}
	old, known := t.view.Instance(next.Name)
	if !known && t.view.Count(KindInstance) >= MaxInstances {
		return refuse(ReasonTooManyInstances, next.Name)
	}
	if known && next.Incarnation < old.Incarnation {
		return refuse(ReasonOldIncarnation, next.Name)
	}
	t.put(&next)
	t.updateOwners(old, &next)
	return done(!known || newSectionEntry(&next).digest != newSectionEntry(old).digest)
}

func validList(items []string) bool { return len(items) <= MaxListItems && validNames(items...) }

func (t *txn) removeInstance(c RemoveInstance) Result {
	old, known := t.view.Instance(c.Instance)
	if !known {
		return refuse(ReasonUnknownInstance, c.Instance)
	}
	if c.Incarnation != old.Incarnation {
		return refuse(ReasonWrongIncarnation, c.Instance)
	}
	t.set(old.key(), nil)
	t.updateOwners(old, nil)
	return done(true)
}
