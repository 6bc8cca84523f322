package state

import (
	"maps"
	"slices"
)

// slot names a member of a database.
type slot struct {
	database string
	member   string
}

// owners is the index behind the assignment of owners. It is derived from the
// sections, so it is not part of a snapshot.
type owners struct {
	live    map[string][]string          // entry instances of each zone, sorted
	owned   map[string]map[slot]struct{} // members of each owner
	orphans map[string]map[slot]struct{} // members without an owner of their own zone, by zone
	zones   map[string]string            // zone of each entry instance
}

func newOwners() owners {
	return owners{
		live:    make(map[string][]string),
		owned:   make(map[string]map[slot]struct{}),
		orphans: make(map[string]map[slot]struct{}),
		zones:   make(map[string]string),
	}
}

// pick returns the live instance of the zone with the highest rendezvous score.
// A zone without entries, as in a small site, gets an owner from another zone:
// without one, its members would have no slots for anybody.
func (o *owners) pick(zone string, s slot) string {
	list := o.live[zone]
	if len(list) == 0 {
		list = slices.Collect(maps.Keys(o.zones))
	}
	best, high := "", uint64(0)
	prefix := fnv(fnv(fnvOffset, s.database)*fnvPrime, s.member) * fnvPrime
	for _, name := range list {
		score := mix(fnv(prefix, name))
		if best == "" || score > high || score == high && name < best {
			best, high = name, score
		}
	}
	return best
}

func (o *owners) enter(zone, name string) {
	o.zones[name] = zone
	list := o.live[zone]
	if i, ok := slices.BinarySearch(list, name); !ok {
		o.live[zone] = slices.Insert(list, i, name)
	}
}

func (o *owners) exit(zone, name string) {
	delete(o.zones, name)
	list := o.live[zone]
	if i, ok := slices.BinarySearch(list, name); ok {
		o.live[zone] = slices.Delete(list, i, i+1)
	}
}

func (o *owners) record(db string, m *Member) {
	at := slot{database: db, member: m.Name}
	if m.Owner != "" {
		insert(o.owned, m.Owner, at)
	}
	if m.Owner == "" || o.zones[m.Owner] != m.Zone {
		insert(o.orphans, m.Zone, at)
	}
}

func (o *owners) release(db string, m *Member) {
	at := slot{database: db, member: m.Name}
	remove(o.owned, m.Owner, at)
	remove(o.orphans, m.Zone, at)
}

func insert(sets map[string]map[slot]struct{}, key string, at slot) {
	if sets[key] == nil {
		sets[key] = make(map[slot]struct{})
	}
	sets[key][at] = struct{}{}
}

func remove(sets map[string]map[slot]struct{}, key string, at slot) {
	delete(sets[key], at)
	if len(sets[key]) == 0 {
		delete(sets, key)
	}
}

// assign gives a member that the index does not hold its owner.
func (t *txn) assign(d *Database, m *Member) {
	s := slot{database: d.name, member: m.Name}
	t.grant(d, m, t.m.owners.pick(m.Zone, s))
	t.m.owners.record(d.name, m)
}

// grant sets the owner, and raises the epoch when the owner or its incarnation
// changes: a restarted owner has forgotten what it granted. Before the bootstrap
// nobody serves the database, so no owner has granted anything: the first epoch
// of grants is then still to come.
func (t *txn) grant(d *Database, m *Member, owner string) {
	var incarnation uint64
	if owner != "" {
		incarnation = t.incarnation(owner)
	}
	if m.Owner == owner && m.OwnerIncarnation == incarnation {
		return
	}
	m.Owner = owner
	m.OwnerIncarnation = incarnation
	m.Epoch++
	if !d.Bootstrapped() || m.FirstEpoch == 0 {
		m.FirstEpoch = m.Epoch
	}
}

func (t *txn) incarnation(name string) uint64 {
	k := Key{Kind: KindInstance, Name: name}
	if s, ok := t.sections[k].(*Instance); ok {
		return s.Incarnation
	}
	if i, ok := t.view.Instance(name); ok {
		return i.Incarnation
	}
	return 0
}

// replaceOwner updates the owners after an instance changed from old to next.
// Either is nil when there is none. Only members whose owner is gone move, and
// members that had none.
func (t *txn) replaceOwner(old, next *Instance) {
	was := old != nil && old.Has(RoleEntry)
	is := next != nil && next.Has(RoleEntry)
	if was && is && old.Zone == next.Zone {
		t.restartOwner(old, next)
		return
	}
	if was {
		t.m.owners.exit(old.Zone, old.Name)
	}
	if is {
		t.m.owners.enter(next.Zone, next.Name)
	}
	if was {
		t.move(t.m.owners.owned[old.Name])
	}
	if is {
		t.move(t.m.owners.orphans[next.Zone])
		t.adopt()
	}
}

// adopt gives members without any owner one: those of zones that had no entry
// when there was none in the other zones either.
func (t *txn) adopt() {
	for _, set := range t.m.owners.orphans {
		for s := range maps.Clone(set) {
			d := t.edit(s.database)
			if m := d.member(s.member); m.Owner == "" {
				t.move(map[slot]struct{}{s: {}})
			}
		}
	}
}

// restartOwner raises the epochs of the members of a restarted owner, which
// keep their owner.
func (t *txn) restartOwner(old, next *Instance) {
	if old.Incarnation == next.Incarnation {
		return
	}
	for s := range t.m.owners.owned[next.Name] {
		d := t.edit(s.database)
		t.grant(d, d.member(s.member), next.Name)
	}
}

// move assigns every member of the set anew. The order does not matter: the
// choice depends on the member and the live instances only.
func (t *txn) move(set map[slot]struct{}) {
	for s := range maps.Clone(set) {
		d := t.edit(s.database)
		m := d.member(s.member)
		t.m.owners.release(d.name, m)
		t.assign(d, m)
	}
}

func (t *txn) rebalance(zone string) Result {
	changed := false
	for _, name := range t.m.owners.live[zone] {
		for s := range maps.Clone(t.m.owners.owned[name]) {
			if t.m.owners.pick(zone, s) == name {
				continue
			}
			t.move(map[slot]struct{}{s: {}})
			changed = true
		}
	}
	return done(changed)
}

// rebuild derives the index from a view.
func (o *owners) rebuild(v *View) {
	*o = newOwners()
	for i := range v.Instances() {
		if i.Has(RoleEntry) {
			o.enter(i.Zone, i.Name)
		}
	}
	for d := range v.Databases() {
		for i := range d.members {
			o.record(d.name, &d.members[i])
		}
	}
}
