package state

import (
	"maps"
	"slices"
)

// memberKey identifies a member of a database.
type memberKey struct {
	database string
	member   string
}

// owners is the index used to assign owners to members. It is derived from the
// sections, so snapshots leave it out.
type owners struct {
	entriesByZone     map[string][]string               // names of the entry instances, sorted
	membersByOwner    map[string]map[memberKey]struct{} // by name of the owner
	withoutLocalOwner map[string]map[memberKey]struct{} // members without an owner or with one in another zone, by zone
	zoneOfEntry       map[string]string                 // by name of the entry instance
}

func newOwners() owners {
	return owners{
		entriesByZone:     make(map[string][]string),
		membersByOwner:    make(map[string]map[memberKey]struct{}),
		withoutLocalOwner: make(map[string]map[memberKey]struct{}),
		zoneOfEntry:       make(map[string]string),
	}
}

// pickOwner returns the entry of the zone with the highest score of rendezvous
// hashing. If the zone has no entry, as in a small site, it selects among the
// entries of all zones: nobody could get a slot of a member without an owner.
func (o *owners) pickOwner(zone string, k memberKey) string {
	list := o.entriesByZone[zone]
	if len(list) == 0 {
		list = slices.Collect(maps.Keys(o.zoneOfEntry))
	}
	best, bestScore := "", uint64(0)
	prefix := fnv(fnv(fnvOffset, k.database)*fnvPrime, k.member) * fnvPrime
	for _, name := range list {
		score := mix(fnv(prefix, name))
		if best == "" || score > bestScore || score == bestScore && name < best {
			best, bestScore = name, score
		}
	}
	return best
}

func (o *owners) addEntry(zone, name string) {
	o.zoneOfEntry[name] = zone
	list := o.entriesByZone[zone]
	if i, ok := slices.BinarySearch(list, name); !ok {
		o.entriesByZone[zone] = slices.Insert(list, i, name)
	}
}

func (o *owners) removeEntry(zone, name string) {
	delete(o.zoneOfEntry, name)
	list := o.entriesByZone[zone]
	if i, ok := slices.BinarySearch(list, name); ok {
		o.entriesByZone[zone] = slices.Delete(list, i, i+1)
	}
}

func (o *owners) addMember(db string, m *Member) {
	k := memberKey{database: db, member: m.Name}
	if m.Owner != "" {
		insertKey(o.membersByOwner, m.Owner, k)
	}
	if m.Owner == "" || o.zoneOfEntry[m.Owner] != m.Zone {
		insertKey(o.withoutLocalOwner, m.Zone, k)
	}
}

func (o *owners) removeMember(db string, m *Member) {
	k := memberKey{database: db, member: m.Name}
	removeKey(o.membersByOwner, m.Owner, k)
	removeKey(o.withoutLocalOwner, m.Zone, k)
}

func insertKey(sets map[string]map[memberKey]struct{}, name string, k memberKey) {
	if sets[name] == nil {
		sets[name] = make(map[memberKey]struct{})
	}
	sets[name][k] = struct{}{}
}

func removeKey(sets map[string]map[memberKey]struct{}, name string, k memberKey) {
	delete(sets[name], k)
	if len(sets[name]) == 0 {
		delete(sets, name)
	}
}

// assign sets the owner of a member that is not in the index and adds it there.
func (t *txn) assign(d *Database, m *Member) {
	k := memberKey{database: d.name, member: m.Name}
	t.setOwner(d, m, t.m.owners.pickOwner(m.Zone, k))
	t.m.owners.addMember(d.name, m)
}

// setOwner sets the owner, and raises the epoch if the owner or its incarnation
// changes: a restarted owner has lost the record of the slots that it granted.
// FirstEpoch follows Epoch until the bootstrap, because no owner grants slots of
// a database that is not served yet.
func (t *txn) setOwner(d *Database, m *Member, owner string) {
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

// incarnation returns the incarnation of an instance, including a registration in
// this transaction, or 0 if the instance is unknown.
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

// updateOwners updates the owners after an instance changed from old to next.
// Old is nil for a new instance, next is nil for a removed one. It reassigns only
// the members whose owner left the zone and those that had no owner in their own
// zone.
func (t *txn) updateOwners(old, next *Instance) {
	wasEntry := old != nil && old.HasRole(RoleEntry)
	isEntry := next != nil && next.HasRole(RoleEntry)
	if wasEntry && isEntry && old.Zone == next.Zone {
		t.raiseEpochs(old, next)
		return
	}
	if wasEntry {
		t.m.owners.removeEntry(old.Zone, old.Name)
	}
	if isEntry {
		t.m.owners.addEntry(next.Zone, next.Name)
	}
	if wasEntry {
		t.reassign(t.m.owners.membersByOwner[old.Name])
	}
	if isEntry {
		t.reassign(t.m.owners.withoutLocalOwner[next.Zone])
		t.assignUnowned()
	}
}

// assignUnowned assigns an owner to the members that have none at all because
// there was no entry in any zone.
func (t *txn) assignUnowned() {
	for _, set := range t.m.owners.withoutLocalOwner {
		for k := range maps.Clone(set) {
			d := t.edit(k.database)
			if m := d.member(k.member); m.Owner == "" {
				t.reassign(map[memberKey]struct{}{k: {}})
			}
		}
	}
}

// raiseEpochs starts a new epoch for the members of a restarted owner. They keep
// that owner.
func (t *txn) raiseEpochs(old, next *Instance) {
	if old.Incarnation == next.Incarnation {
		return
	}
	for k := range t.m.owners.membersByOwner[next.Name] {
		d := t.edit(k.database)
		t.setOwner(d, d.member(k.member), next.Name)
	}
}

// reassign assigns an owner anew to every member of the set. The order does not
// matter: the choice depends only on the member and the registered entries.
func (t *txn) reassign(set map[memberKey]struct{}) {
	for k := range maps.Clone(set) {
		d := t.edit(k.database)
		m := d.member(k.member)
		t.m.owners.removeMember(d.name, m)
		t.assign(d, m)
	}
}

func (t *txn) rebalance(zone string) Result {
	changed := false
	for _, name := range t.m.owners.entriesByZone[zone] {
		for k := range maps.Clone(t.m.owners.membersByOwner[name]) {
			if t.m.owners.pickOwner(zone, k) == name {
				continue
			}
			t.reassign(map[memberKey]struct{}{k: {}})
			changed = true
		}
	}
	return done(changed)
}

// rebuild builds the index from the sections of a view.
func (o *owners) rebuild(v *View) {
	*o = newOwners()
	for i := range v.Instances() {
		if i.HasRole(RoleEntry) {
			o.addEntry(i.Zone, i.Name)
		}
	}
	for d := range v.Databases() {
		for i := range d.members {
			o.addMember(d.name, &d.members[i])
		}
	}
}
