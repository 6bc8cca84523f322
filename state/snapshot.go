package state

import (
	"slices"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"tamarackcross/ctlpb"
)

// Errors of Restore.
var (
	ErrSnapshot      = eris.New("snapshot is malformed")
	ErrOlderSnapshot = eris.New("snapshot is older than the current state")
)

// Snapshot returns the encoding of the whole state. Equal states have equal
// encodings.
func (m *Machine) Snapshot() []byte {
	v := m.View()
	p := &ctlpb.StateSnapshot{
		Applied:  m.applied.Proto(),
		Stamp:    v.stamp.Proto(),
		Sections: make([]*ctlpb.StateChange, 0, v.tree.len()),
		Control:  m.controlProto(),
	}
	for c := range v.Sections() {
		p.Sections = append(p.Sections, c.Proto())
	}
	data, err := deterministic.Marshal(p)
	if err != nil {
		panic(err) // fails only for invalid UTF-8, which validNames refuses
	}
	return data
}

// Restore replaces the state with that of a snapshot. It leaves the state as it
// is if the snapshot is malformed or older than the state.
func (m *Machine) Restore(data []byte) error {
	var p ctlpb.StateSnapshot
	if err := proto.Unmarshal(data, &p); err != nil {
		return eris.Wrap(ErrSnapshot, err.Error())
	}
	applied := StampOf(p.GetApplied())
	if applied.Less(m.applied) {
		return eris.Wrapf(ErrOlderSnapshot, "snapshot at %s, state at %s", applied, m.applied)
	}
	next := New()
	next.applied = applied
	if err := next.restoreView(&p); err != nil {
		return eris.Wrap(ErrSnapshot, err.Error())
	}
	if err := next.restoreControl(p.GetControl()); err != nil {
		return eris.Wrap(ErrSnapshot, err.Error())
	}
	m.replace(next)
	return nil
}

func (m *Machine) restoreView(p *ctlpb.StateSnapshot) error {
	stamp := StampOf(p.GetStamp())
	if stamp.IsZero() {
		return nil
	}
	v, err := Empty().Replace(stamp, ChangesOf(p.GetSections()))
	if err != nil {
		return err
	}
	m.view.Store(v)
	m.owners.rebuild(v)
	return nil
}

// replace takes over the state of next. It does so field by field, because atomic
// pointers must not be copied.
func (m *Machine) replace(next *Machine) {
	m.view.Store(next.view.Load())
	m.recentConfigs.Store(next.recentConfigs.Load())
	m.applied = next.applied
	m.clock = next.clock
	m.results = next.results
	m.owners = next.owners
}

// Digest returns a digest of the whole machine: of the view and of the part that
// only control instances hold, the results and the newest configurations.
func (m *Machine) Digest() uint64 {
	data, err := deterministic.Marshal(m.controlProto())
	if err != nil {
		panic(err) // fails only for invalid UTF-8, which validNames refuses
	}
	return m.View().Digest() ^ digestOf(Key{}, data)
}

// Proto returns the protobuf form of the stamp.
func (s Stamp) Proto() *ctlpb.StateStamp { return &ctlpb.StateStamp{Term: s.Term, Index: s.Index} }

// StampOf returns the stamp that p encodes.
func StampOf(p *ctlpb.StateStamp) Stamp { return Stamp{Term: p.GetTerm(), Index: p.GetIndex()} }

// Proto returns the protobuf form of the change.
func (c Change) Proto() *ctlpb.StateChange {
	return &ctlpb.StateChange{Kind: uint32(c.Key.Kind), Name: c.Key.Name, Data: c.Data, Removed: c.Removed}
}

// ChangesOf returns the changes that list encodes. A kind that does not fit into
// Kind becomes unknownKind, with which View.Advance returns an error.
func ChangesOf(list []*ctlpb.StateChange) []Change {
	out := make([]Change, 0, len(list))
	for _, p := range list {
		k := Key{Kind: Kind(min(p.GetKind(), uint32(unknownKind))), Name: p.GetName()}
		out = append(out, Change{Key: k, Data: p.GetData(), Removed: p.GetRemoved()})
	}
	return out
}

// unknownKind replaces all kinds that do not fit into Kind.
const unknownKind Kind = 255

// Proto returns the protobuf form of the delta.
func (d Delta) Proto() *ctlpb.StateDelta {
	p := &ctlpb.StateDelta{Prev: d.Prev.Proto(), Stamp: d.Stamp.Proto()}
	for _, c := range d.Changes {
		p.Changes = append(p.Changes, c.Proto())
	}
	return p
}

// DeltaOf returns the delta that p encodes.
func DeltaOf(p *ctlpb.StateDelta) Delta {
	return Delta{Prev: StampOf(p.GetPrev()), Stamp: StampOf(p.GetStamp()), Changes: slices.Clip(ChangesOf(p.GetChanges()))}
}
