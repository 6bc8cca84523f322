// Package store keeps the persistent state of a member of the replicated log in
// one data directory: the log in segments, together with the member's ID, term
// and vote, and the latest snapshot. Everything is synced before a call returns.
//
// The log is append-only. A record replaces the entries at and after the index of
// its first entry, so that truncating a conflicting suffix needs no write to older
// data.
package store

import (
	"errors"
	"io"

	"github.com/rotisserie/eris"

	"tamarackcross/ctlpb"
	"tamarackcross/raft"
)

// Store is an open data directory. It is not safe for concurrent use.
type Store struct {
	files           Files
	idSource        io.Reader
	founder         bool // a new data directory belongs to a deployment that starts for the first time
	lock            io.Closer
	maxSegmentBytes int
	hard            raft.HardState
	lastIncluded    raft.EntryID // last entry covered by the latest snapshot
	terms           entryTerms
	segments        []segment // oldest first; the last one is written to
	active          File
	activeBytes     int   // size of the active segment
	failed          error // returned by every call after a failed write or Close
}

// segment is a file of the log.
type segment struct {
	number       uint64
	highestIndex raft.Index // no entry in the file has a higher index
}

// entryTerms holds the terms of the entries after the snapshot.
type entryTerms struct {
	snapshotIndex raft.Index
	list          []raft.Term
}

func (t *entryTerms) reset(base raft.Index) { t.snapshotIndex, t.list = base, nil }

func (t *entryTerms) lastIndex() raft.Index { return t.snapshotIndex + raft.Index(len(t.list)) }

func (t *entryTerms) add(es []raft.Entry) {
	for _, e := range es {
		t.list = append(t.list[:e.Index-t.snapshotIndex-1], e.Term)
	}
}

func (t *entryTerms) contains(id raft.EntryID) bool {
	return id.Index > t.snapshotIndex && id.Index <= t.lastIndex() && t.list[id.Index-t.snapshotIndex-1] == id.Term
}

// compact drops the terms up to the snapshot whose last entry is id. It reports
// whether the entries after the snapshot remain valid; they do not if the log
// does not contain the entry id.
func (t *entryTerms) compact(id raft.EntryID) bool {
	if !t.contains(id) {
		t.reset(id.Index)
		return false
	}
	t.list = append([]raft.Term(nil), t.list[id.Index-t.snapshotIndex:]...)
	t.snapshotIndex = id.Index
	return true
}

// Identity returns the ID of the member to which the data directory belongs.
func (s *Store) Identity() raft.ID { return s.hard.ID }

// Save writes ps in order and syncs them together. After an error the state on
// disk is unknown: the store rejects every later call, and the data directory must
// be opened again.
func (s *Store) Save(ps ...raft.PersistentUpdate) error {
	if s.failed != nil {
		return s.failed
	}
	if err := s.save(ps); err != nil {
		s.failed = eris.Wrap(ErrFailed, err.Error())
		return err
	}
	return nil
}

func (s *Store) save(ps []raft.PersistentUpdate) error {
	if s.activeBytes >= s.maxSegmentBytes {
		if err := s.rotate(); err != nil {
			return err
		}
	}
	frame := &ctlpb.RaftFrame{}
	compacted := false
	for _, p := range ps {
		if p.Empty() {
			continue
		}
		rec, err := s.buildRecord(p)
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
		s.removeObsolete()
	}
	return nil
}

// buildRecord applies p to the in-memory state and returns the record that
// describes it. A snapshot is first written to a file of its own.
func (s *Store) buildRecord(p raft.PersistentUpdate) (*ctlpb.RaftRecord, error) {
	rec := &ctlpb.RaftRecord{}
	if p.HardState != nil {
		s.hard = *p.HardState
		rec.Hard = hardToProto(s.hard)
	}
	if p.Snapshot != nil {
		if p.Snapshot.Index <= s.lastIncluded.Index {
			return nil, eris.Errorf("store: snapshot %d is not newer than snapshot %d", p.Snapshot.Index, s.lastIncluded.Index)
		}
		if err := s.writeSnapshot(*p.Snapshot); err != nil {
			return nil, err
		}
		s.lastIncluded = p.Snapshot.LastIncluded()
		rec.Snapshot = entryIDToProto(s.lastIncluded)
		rec.Drop = !s.terms.compact(s.lastIncluded)
	}
	if err := s.checkEntries(p.Entries); err != nil {
		return nil, err
	}
	s.terms.add(p.Entries)
	rec.Entries = raft.EntriesToProto(p.Entries)
	return rec, nil
}

// checkEntries rejects entries that would leave a gap or replace entries covered
// by the snapshot.
func (s *Store) checkEntries(es []raft.Entry) error {
	for i, e := range es {
		if e.Index <= s.lastIncluded.Index || e.Index > s.terms.lastIndex()+1+raft.Index(i) || e.Index != es[0].Index+raft.Index(i) {
			return eris.Errorf("store: entry %d does not continue the log (snapshot at %d, last entry %d)", e.Index, s.lastIncluded.Index, s.terms.lastIndex())
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
	s.activeBytes += len(data)
	for _, rec := range frame.GetRecords() {
		for _, e := range rec.GetEntries() {
			s.activeSegment().highestIndex = max(s.activeSegment().highestIndex, raft.Index(e.GetIndex()))
		}
	}
	return nil
}

// rotate closes the active segment and starts the next one. Each segment starts
// with ID, term, vote and snapshot, so that older segments can be removed.
func (s *Store) rotate() error {
	number := uint64(1)
	if len(s.segments) > 0 {
		number = s.activeSegment().number + 1
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
	s.active, s.activeBytes = f, 0
	s.segments = append(s.segments, segment{number: number})
	first := &ctlpb.RaftRecord{Hard: hardToProto(s.hard), Snapshot: entryIDToProto(s.lastIncluded)}
	if err := s.append(&ctlpb.RaftFrame{Records: []*ctlpb.RaftRecord{first}}); err != nil {
		return err
	}
	if err := s.files.SyncDir(); err != nil {
		return eris.Wrap(err, "store: sync the data directory")
	}
	return nil
}

func (s *Store) activeSegment() *segment { return &s.segments[len(s.segments)-1] }

// Close closes the store and unlocks the data directory.
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

func entryIDToProto(id raft.EntryID) *ctlpb.RaftMark {
	return &ctlpb.RaftMark{Index: uint64(id.Index), Term: uint64(id.Term)}
}
