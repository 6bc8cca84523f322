package state

import (
	"iter"

	"github.com/rotisserie/eris"

	"tamarackcross/fleet"
)

// Errors of View.Apply, View.Advance and View.Replace.
var (
	ErrGap   = eris.New("delta does not apply to the stamp of the current state")
	ErrStale = eris.New("stamp is not newer than that of the current state")
)

// View is an immutable copy of the state at one stamp. Views with equal stamps
// are equal on all instances. A view shares the sections that did not change with
// the view before it.
type View struct {
	stamp  Stamp
	tree   tree
	config *Config         // newest configuration; never nil
	doc    *fleet.Document // newest document that this release can decode
}

var emptyView = &View{config: &Config{doc: fleet.Default()}, doc: fleet.Default()}

// Empty returns the view of the state before the first command.
func Empty() *View { return emptyView }

// Stamp returns the stamp of the state.
func (v *View) Stamp() Stamp { return v.stamp }

// Config returns the newest configuration.
func (v *View) Config() *Config { return v.config }

// Document returns the document in force: that of Config or, if this release
// cannot decode it, the newest one that it could decode.
func (v *View) Document() *fleet.Document { return v.doc }

// Group returns the database with the given name.
func (v *View) Group(db string) (*Database, bool) {
	d, ok := v.value(Key{Kind: KindDatabase, Name: db}).(*Database)
	return d, ok
}

// Instance returns the instance with the given name.
func (v *View) Instance(name string) (*Instance, bool) {
	i, ok := v.value(Key{Kind: KindInstance, Name: name}).(*Instance)
	return i, ok
}

// Members returns the members of a database ordered by name, or nil if the
// database is unknown. The slice must not be modified.
func (v *View) Members(db string) []Member {
	if d, ok := v.Group(db); ok {
		return d.members
	}
	return nil
}

// Owner returns the owner of a member and the epoch of its ownership. It returns
// false if the member is unknown or has no owner.
func (v *View) Owner(db, member string) (owner string, epoch uint64, ok bool) {
	d, found := v.Group(db)
	if !found {
		return "", 0, false
	}
	m, found := d.Member(member)
	return m.Owner, m.Epoch, found && m.Owner != ""
}

// Databases yields all databases in a fixed order, not sorted by name.
func (v *View) Databases() iter.Seq[*Database] { return values[*Database](v) }

// Instances yields all instances in a fixed order, not sorted by name.
func (v *View) Instances() iter.Seq[*Instance] { return values[*Instance](v) }

func values[S Section](v *View) iter.Seq[S] {
	return func(yield func(S) bool) {
		for e := range v.tree.all() {
			if s, ok := e.value.(S); ok && !yield(s) {
				return
			}
		}
	}
}

// Count returns the number of sections of a kind.
func (v *View) Count(k Kind) int { return v.tree.counts[k] }

// Digest returns the digest of all sections.
func (v *View) Digest() uint64 { return v.tree.digest() }

// KindDigest returns the digest of all sections of a kind.
func (v *View) KindDigest(k Kind) uint64 { return v.tree.digests[k] }

// SectionDigest returns the digest of one section, or 0 if it does not exist.
func (v *View) SectionDigest(k Key) uint64 {
	if e := v.tree.get(k); e != nil {
		return e.digest
	}
	return 0
}

// BucketDigests returns the digest of each bucket of sections.
func (v *View) BucketDigests() [NumBuckets]uint64 {
	var out [NumBuckets]uint64
	for i, n := range v.tree.buckets {
		if n != nil {
			out[i] = n.digest
		}
	}
	return out
}

// BucketSections yields keys and digests of the sections of one bucket in a fixed
// order.
func (v *View) BucketSections(i int) iter.Seq2[Key, uint64] {
	return func(yield func(Key, uint64) bool) {
		for e := range v.tree.bucket(i) {
			if !yield(e.key, e.digest) {
				return
			}
		}
	}
}

// Section returns the change that makes a section equal to that of the view: it
// sets the section, or removes it if the view does not have it.
func (v *View) Section(k Key) Change {
	if e := v.tree.get(k); e != nil {
		return Change{Key: k, Data: e.data}
	}
	return Change{Key: k, Removed: true}
}

// Sections yields all sections in a fixed order.
func (v *View) Sections() iter.Seq[Change] {
	return func(yield func(Change) bool) {
		for e := range v.tree.all() {
			if !yield(Change{Key: e.key, Data: e.data}) {
				return
			}
		}
	}
}

// Apply returns the view with the delta applied. It returns ErrStale if the delta
// is not newer than the view, and ErrGap if the delta does not apply to the stamp
// of the view.
func (v *View) Apply(d Delta) (*View, error) {
	if !v.stamp.Less(d.Stamp) {
		return nil, ErrStale
	}
	if d.Prev != v.stamp {
		return nil, ErrGap
	}
	return v.Advance(d.Stamp, d.Changes)
}

// Advance returns the view with the given changes, at the newer stamp.
func (v *View) Advance(at Stamp, changes []Change) (*View, error) {
	if !v.stamp.Less(at) {
		return nil, ErrStale
	}
	entries := make([]*sectionEntry, 0, len(changes))
	ed := v.tree.edit()
	for _, c := range changes {
		if c.Removed {
			ed.remove(c.Key)
			continue
		}
		e, err := decodeSectionEntry(c.Key, c.Data)
		if err != nil {
			return nil, err
		}
		entries = append(entries, e)
	}
	for _, e := range entries {
		ed.set(e)
	}
	return v.next(at, ed), nil
}

// Replace returns a view that consists of the given sections, at the newer stamp.
// It keeps Document if no section has a document that this release can decode.
func (v *View) Replace(at Stamp, sections []Change) (*View, error) {
	if !v.stamp.Less(at) {
		return nil, ErrStale
	}
	base := &View{config: emptyView.config, doc: v.doc}
	return base.Advance(at, sections)
}

func (v *View) value(k Key) Section {
	if e := v.tree.get(k); e != nil {
		return e.value
	}
	return nil
}

// next returns the view of the edited tree.
func (v *View) next(at Stamp, ed *editor) *View {
	w := &View{stamp: at, tree: ed.tree, config: v.config, doc: v.doc}
	c, ok := w.value(Key{Kind: KindConfig}).(*Config)
	if !ok {
		w.config = emptyView.config
		return w
	}
	w.config = c
	if c.doc != nil {
		w.doc = c.doc
	}
	return w
}
