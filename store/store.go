// Package store keeps the durable state of a member of the replicated log in
// one data folder: the log in segments, with identity, term and vote, and the
// newest snapshot. Everything is synced before a call returns.
//
// The log is only ever appended to. A record replaces the entries at and after
// the index of its first entry, so that cutting off a conflicting tail needs no
// write to older data.
package store

import (
	"errors"
	"io"

	"github.com/rotisserie/eris"

	"tamarackcross/ctlpb"
	"tamarackcross/raft"
)

// Store is an open data folder. It is not safe for concurrent use.
type Store struct {
	files    Files
	rnd      io.Reader
	lock     io.Closer
	limit    int
	hard     raft.HardState
	mark     raft.EntryID // the newest snapshot
	terms    terms
	segments []segment // oldest first; the last one is written to
	active   File
	size     int // bytes in the active segment
	failed   error
}

// segment is a file of the log.
type segment struct {
	number  uint64
	highest raft.Index // no entry in the file has a higher index
}

// terms holds the terms of the entries after the snapshot.
type terms struct {
	base raft.Index
	list []raft.Term
}

func (t *terms) reset(base raft.Index) { t.base, t.list = base, nil }

func (t *terms) last() raft.Index { return t.base + raft.Index(len(t.list)) }

func (t *terms) add(es []raft.Entry) {
	for _, e := range es {
		t.list = append(t.list[:e.Index-t.base-1], e.Term)
	}
}

func (t *terms) holds(m raft.EntryID) bool {
	return m.Index > t.base && m.Index <= t.last() && t.list[m.Index-t.base-1] == m.Term
}

// advance moves the base up to a snapshot. It reports whether the entries
// after the snapshot remain.
func (t *terms) advance(m raft.EntryID) bool {
	if !t.holds(m) {
		t.reset(m.Index)
		return false
	}
	t.list = append([]raft.Term(nil), t.list[m.Index-t.base:]...)
	t.base = m.Index
	return true
}

// Identity returns the identity of the member that the folder belongs to.
func (s *Store) Identity() raft.ID { return s.hard.ID }

// Save writes ps in order and syncs them together. After an error the state on
// disk is unknown: the store refuses every later call, and the folder must be
// opened again.
func (s *Store) Save(ps ...raft.Persist) error {
	if s.failed != nil {
		return s.failed
	}
	if err := s.save(ps); err != nil {
		s.failed = eris.Wrap(ErrFailed, err.Error())
		return err
	}
	return nil
}

func (s *Store) save(ps []raft.Persist) error {
	if s.size >= s.limit {
		if err := s.roll(); err != nil {
			return err
		}
	}
	frame := &ctlpb.RaftFrame{}
	compacted := false
	for _, p := range ps {
		if p.Empty() {
			continue
		}
		rec, err := s.record(p)
		if err != nil {
			return err
		}
		frame.Records = append(frame.Records, rec)
		compacted = compacted || p.Snapshot != nil
	}
	if len(frame.Records) == 0 {
		return nil
	}
	if err := s.append(frame); err != nil {
		return err
	}
	if compacted {
		s.sweep()
	}
	return nil
}

// record takes p into account and returns the record that describes it. A
// snapshot is written to its own file first.
func (s *Store) record(p raft.Persist) (*ctlpb.RaftRecord, error) {
	rec := &ctlpb.RaftRecord{}
	if p.HardState != nil {
		s.hard = *p.HardState
		rec.Hard = hardToProto(s.hard)
	}
	if p.Snapshot != nil {
		if p.Snapshot.Index <= s.mark.Index {
			return nil, eris.Errorf("store: snapshot %d does not follow snapshot %d", p.Snapshot.Index, s.mark.Index)
		}
		if err := s.writeSnapshot(*p.Snapshot); err != nil {
			return nil, err
		}
		s.mark = p.Snapshot.LastIncluded()
		rec.Snapshot = markToProto(s.mark)
		rec.Drop = !s.terms.advance(s.mark)
	}
	if err := s.checkEntries(p.Entries); err != nil {
		return nil, err
	}
	s.terms.add(p.Entries)
	rec.Entries = raft.EntriesToProto(p.Entries)
	return rec, nil
}

// checkEntries refuses entries that would leave a gap or replace a part of the
// snapshot.
func (s *Store) checkEntries(es []raft.Entry) error {
	for i, e := range es {
		if e.Index <= s.mark.Index || e.Index > s.terms.last()+1+raft.Index(i) || e.Index != es[0].Index+raft.Index(i) {
			return eris.Errorf("store: entry %d does not follow the log from %d to %d", e.Index, s.mark.Index, s.terms.last())
		}
	}
	return nil
}

// append writes and syncs one frame.
func (s *Store) append(frame *ctlpb.RaftFrame) error {
	data, err := encodeFrame(frame)
	if err != nil {
		return err
	}
	if _, err := s.active.Write(data); err != nil {
		return eris.Wrap(err, "store: write to the log")
	}
	if err := s.active.Sync(); err != nil {
		return eris.Wrap(err, "store: sync the log")
	}
	s.size += len(data)
	for _, rec := range frame.GetRecords() {
		for _, e := range rec.GetEntries() {
			s.newest().highest = max(s.newest().highest, raft.Index(e.GetIndex()))
		}
	}
	return nil
}

// roll closes the active segment and starts the next one. Each segment opens
// with identity, term, vote and snapshot, so that older ones can be removed.
func (s *Store) roll() error {
	number := uint64(1)
	if len(s.segments) > 0 {
		number = s.newest().number + 1
	}
	f, err := s.files.Create(segmentFile(number))
	if err != nil {
		return eris.Wrap(err, "store: create a log segment")
	}
	if s.active != nil {
		if err := s.active.Close(); err != nil {
			return errors.Join(eris.Wrap(err, "store: close a log segment"), f.Close())
		}
	}
	s.active, s.size = f, 0
	s.segments = append(s.segments, segment{number: number})
	first := &ctlpb.RaftRecord{Hard: hardToProto(s.hard), Snapshot: markToProto(s.mark)}
	if err := s.append(&ctlpb.RaftFrame{Records: []*ctlpb.RaftRecord{first}}); err != nil {
		return err
	}
	if err := s.files.SyncFolder(); err != nil {
		return eris.Wrap(err, "store: sync the data folder")
	}
	return nil
}

func (s *Store) newest() *segment { return &s.segments[len(s.segments)-1] }

// Close releases the folder.
func (s *Store) Close() error {
	if s.failed == nil {
		s.failed = ErrClosed
	}
	var err error
	if s.active != nil {
		err = s.active.Close()
		s.active = nil
	}
	if s.lock != nil {
		err = errors.Join(err, s.lock.Close())
		s.lock = nil
	}
	return err
}

func hardToProto(h raft.HardState) *ctlpb.RaftHardState {
	return &ctlpb.RaftHardState{Id: uint64(h.ID), Term: uint64(h.Term), Vote: uint64(h.Vote)}
}

func markToProto(m raft.EntryID) *ctlpb.RaftMark {
	return &ctlpb.RaftMark{Index: uint64(m.Index), Term: uint64(m.Term)}
}
