package store

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"tamarackcross/ctlpb"
	"tamarackcross/raft"
)

// DefaultSegmentBytes is the size at which a log segment is closed.
const DefaultSegmentBytes = 4 << 20

const (
	segmentFormat  = "log-%016x"
	snapshotFormat = "snapshot-%016x"
	tempSuffix     = ".tmp"
)

// Option configures a Store.
type Option func(*Store)

// WithFiles replaces the operating system's file operations by f.
func WithFiles(f Files) Option { return func(s *Store) { s.files = f } }

// WithSegmentBytes sets the size at which a log segment is closed.
func WithSegmentBytes(bytes int) Option { return func(s *Store) { s.maxSegmentBytes = bytes } }

// WithFounder marks the ID of a new data directory as created when the deployment starts for the first time.
func WithFounder() Option { return func(s *Store) { s.founder = true } }

// WithIdentitySource sets the random source of the member ID of a new data
// directory.
func WithIdentitySource(r io.Reader) Option { return func(s *Store) { s.idSource = r } }

// Open opens the data directory at path and returns the state saved in it. An
// empty directory gets a new random member ID. A torn record at the end of the
// log, as a crash leaves it, is truncated. Any other damage is returned as a
// *DamagedError.
func Open(path string, opts ...Option) (*Store, raft.PersistentState, error) {
	s := &Store{maxSegmentBytes: DefaultSegmentBytes, idSource: rand.Reader}
	for _, opt := range opts {
		opt(s)
	}
	if s.files == nil {
		f, err := openDir(path)
		if err != nil {
			return nil, raft.PersistentState{}, err
		}
		s.files = f
	}
	lock, err := s.files.Lock()
	if err != nil {
		return nil, raft.PersistentState{}, err
	}
	s.lock = lock
	saved, err := s.load()
	if err != nil {
		return nil, raft.PersistentState{}, errors.Join(err, s.Close())
	}
	return s, saved, nil
}

func (s *Store) load() (raft.PersistentState, error) {
	found, err := s.listFiles()
	if err != nil {
		return raft.PersistentState{}, err
	}
	r, err := s.replay(found.segments)
	if err != nil {
		return raft.PersistentState{}, err
	}
	if len(s.segments) == 0 {
		return s.initialize(found)
	}
	snap, err := s.loadSnapshot(found.snapshots, r)
	if err != nil {
		return raft.PersistentState{}, err
	}
	snapshotRecord := r.adoptSnapshot(snap.LastIncluded())
	entries, ok := r.entriesAfterSnapshot()
	if !ok {
		return raft.PersistentState{}, damaged(segmentFile(s.segments[0].number), 0, "entries after the snapshot are missing")
	}
	s.hard, s.lastIncluded = r.hard, r.lastIncluded
	s.terms.reset(r.lastIncluded.Index)
	s.terms.add(entries)
	if err := s.reopen(snapshotRecord); err != nil {
		return raft.PersistentState{}, err
	}
	s.removeObsolete()
	return raft.PersistentState{HardState: s.hard, Snapshot: snap, Entries: entries}, nil
}

// dirContents lists the files in the data directory, oldest first.
type dirContents struct {
	segments  []uint64
	snapshots []uint64
}

// listFiles lists the data directory and removes files whose write was
// interrupted.
func (s *Store) listFiles() (dirContents, error) {
	names, err := s.files.List()
	if err != nil {
		return dirContents{}, eris.Wrap(err, "store: list the data directory")
	}
	var f dirContents
	for _, name := range names {
		var number uint64
		switch {
		case strings.HasSuffix(name, tempSuffix):
			if err := s.files.Remove(name); err != nil {
				return dirContents{}, eris.Wrap(err, "store: remove an unfinished file")
			}
		case parseFileName(segmentFormat, name, &number):
			f.segments = append(f.segments, number)
		case parseFileName(snapshotFormat, name, &number):
			f.snapshots = append(f.snapshots, number)
		}
	}
	slices.Sort(f.segments)
	slices.Sort(f.snapshots)
	return f, nil
}

func parseFileName(format, name string, number *uint64) bool {
	n, err := fmt.Sscanf(name, format, number)
	return err == nil && n == 1 && fmt.Sprintf(format, *number) == name
}

func segmentFile(number uint64) string { return fmt.Sprintf(segmentFormat, number) }

func snapshotFile(index uint64) string { return fmt.Sprintf(snapshotFormat, index) }

// replay reads the segments in order.
func (s *Store) replay(numbers []uint64) (*replay, error) {
	r := &replay{}
	for i, number := range numbers {
		if number != numbers[0]+uint64(i) {
			return nil, damaged(segmentFile(numbers[0]+uint64(i)), 0, "the segment is missing")
		}
		if err := s.readSegment(r, number, i == len(numbers)-1); err != nil {
			return nil, err
		}
	}
	return r, nil
}

func (s *Store) readSegment(r *replay, number uint64, newest bool) error {
	name := segmentFile(number)
	data, err := s.files.Read(name)
	if err != nil {
		return eris.Wrap(err, "store: read a log segment")
	}
	seg := segment{number: number}
	offset := 0
	for offset < len(data) {
		body, err := decodePayload(data[offset:])
		if err != nil {
			if !newest || !isTornWrite(data[offset:]) {
				return damaged(name, offset, "the checksum does not match")
			}
			break
		}
		if reason := r.applyFrame(body); reason != "" {
			return damaged(name, offset, reason)
		}
		seg.highestIndex = max(seg.highestIndex, r.lastIndex())
		offset += headerBytes + len(body)
	}
	if offset == 0 {
		return s.removeEmptySegment(name, newest)
	}
	s.segments = append(s.segments, seg)
	s.activeBytes = offset
	return s.truncateTornRecord(name, offset, len(data))
}

// removeEmptySegment removes a segment whose first frame was never synced.
func (s *Store) removeEmptySegment(name string, newest bool) error {
	if !newest {
		return damaged(name, 0, "the segment is empty")
	}
	if err := s.files.Remove(name); err != nil {
		return eris.Wrap(err, "store: remove an unfinished segment")
	}
	return nil
}

// truncateTornRecord removes a torn record at the end of the newest segment.
func (s *Store) truncateTornRecord(name string, valid, size int) error {
	if valid == size {
		return nil
	}
	if err := s.files.Truncate(name, int64(valid)); err != nil {
		return eris.Wrap(err, "store: truncate a torn record")
	}
	return nil
}

// initialize creates the first segment in an empty directory. A directory with
// snapshots is rejected: its log contained the vote, and a member must not forget
// its vote.
func (s *Store) initialize(f dirContents) (raft.PersistentState, error) {
	if len(f.snapshots) > 0 {
		return raft.PersistentState{}, damaged(segmentFile(1), 0, "there are snapshots but no log segments")
	}
	id, err := generateID(s.idSource)
	if err != nil {
		return raft.PersistentState{}, err
	}
	if id = id.Later(); s.founder {
		id = id.Founder()
	}
	s.hard = raft.HardState{ID: id}
	if err := s.rotate(); err != nil {
		return raft.PersistentState{}, err
	}
	return raft.PersistentState{HardState: s.hard}, nil
}

func generateID(r io.Reader) (raft.ID, error) {
	var buf [8]byte
	for {
		if _, err := io.ReadFull(r, buf[:]); err != nil {
			return 0, eris.Wrap(err, "store: generate a member ID")
		}
		if id := raft.ID(binary.LittleEndian.Uint64(buf[:])); id.Later() != 0 {
			return id, nil
		}
	}
}

// reopen opens the newest segment for appending. It adds the snapshot record if
// an interrupted write left it out.
func (s *Store) reopen(snapshotRecord *ctlpb.RaftRecord) error {
	f, err := s.files.Append(segmentFile(s.activeSegment().number))
	if err != nil {
		return eris.Wrap(err, "store: open the newest segment")
	}
	s.active = f
	// A process that was killed may have written what was read, but not synced it.
	if err := f.Sync(); err != nil {
		return eris.Wrap(err, "store: sync the newest segment")
	}
	if err := s.files.SyncDir(); err != nil {
		return eris.Wrap(err, "store: sync the data directory")
	}
	if snapshotRecord == nil {
		return nil
	}
	return s.append(&ctlpb.RaftFrame{Records: []*ctlpb.RaftRecord{snapshotRecord}})
}
