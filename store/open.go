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

// DefaultSegment is the size in bytes at which a log segment is closed.
const DefaultSegment = 4 << 20

const (
	segmentName  = "log-%016x"
	snapshotName = "snapshot-%016x"
	temporary    = ".tmp"
)

// Option configures a Store.
type Option func(*Store)

// WithFiles replaces the folder by another implementation of its operations.
func WithFiles(f Files) Option { return func(s *Store) { s.files = f } }

// WithSegment sets the size in bytes at which a log segment is closed.
func WithSegment(bytes int) Option { return func(s *Store) { s.limit = bytes } }

// WithRand sets the source of the identity of a fresh folder.
func WithRand(r io.Reader) Option { return func(s *Store) { s.rnd = r } }

// Open opens the data folder path and returns what was saved in it. A folder
// without data gets a new random identity. A record at the end of the log that
// was torn by a crash is cut off; any other damage is a *DamagedError.
func Open(path string, opts ...Option) (*Store, raft.Saved, error) {
	s := &Store{limit: DefaultSegment, rnd: rand.Reader}
	for _, opt := range opts {
		opt(s)
	}
	if s.files == nil {
		f, err := openFolder(path)
		if err != nil {
			return nil, raft.Saved{}, err
		}
		s.files = f
	}
	lock, err := s.files.Lock()
	if err != nil {
		return nil, raft.Saved{}, err
	}
	s.lock = lock
	saved, err := s.load()
	if err != nil {
		return nil, raft.Saved{}, errors.Join(err, s.Close())
	}
	return s, saved, nil
}

func (s *Store) load() (raft.Saved, error) {
	found, err := s.scan()
	if err != nil {
		return raft.Saved{}, err
	}
	r, err := s.replay(found.segments)
	if err != nil {
		return raft.Saved{}, err
	}
	if len(s.segments) == 0 {
		return s.fresh(found)
	}
	snap, err := s.loadSnapshot(found.snapshots, r)
	if err != nil {
		return raft.Saved{}, err
	}
	missing := r.adopt(snap.LastIncluded())
	entries, ok := r.tail()
	if !ok {
		return raft.Saved{}, damaged(segmentFile(s.segments[0].number), 0, "entries after the snapshot are missing")
	}
	s.hard, s.mark = r.hard, r.mark
	s.terms.reset(r.mark.Index)
	s.terms.add(entries)
	if err := s.reopen(missing); err != nil {
		return raft.Saved{}, err
	}
	s.sweep()
	return raft.Saved{Hard: s.hard, Snapshot: snap, Entries: entries}, nil
}

// found is the content of the folder, oldest first.
type found struct {
	segments  []uint64
	snapshots []uint64
}

// scan lists the folder and removes files whose writing was interrupted.
func (s *Store) scan() (found, error) {
	names, err := s.files.List()
	if err != nil {
		return found{}, eris.Wrap(err, "store: list the data folder")
	}
	var f found
	for _, name := range names {
		var number uint64
		switch {
		case strings.HasSuffix(name, temporary):
			if err := s.files.Remove(name); err != nil {
				return found{}, eris.Wrap(err, "store: remove an unfinished file")
			}
		case parse(segmentName, name, &number):
			f.segments = append(f.segments, number)
		case parse(snapshotName, name, &number):
			f.snapshots = append(f.snapshots, number)
		}
	}
	slices.Sort(f.segments)
	slices.Sort(f.snapshots)
	return f, nil
}

func parse(format, name string, number *uint64) bool {
	n, err := fmt.Sscanf(name, format, number)
	return err == nil && n == 1 && fmt.Sprintf(format, *number) == name
}

func segmentFile(number uint64) string { return fmt.Sprintf(segmentName, number) }

func snapshotFile(index uint64) string { return fmt.Sprintf(snapshotName, index) }

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
	at := 0
	for at < len(data) {
		body, err := payload(data[at:])
		if err != nil {
			if !newest || !torn(data[at:]) {
				return damaged(name, at, "the checksum does not match")
			}
			break
		}
		if reason := r.frame(body); reason != "" {
			return damaged(name, at, reason)
		}
		seg.highest = max(seg.highest, r.last())
		at += headerSize + len(body)
	}
	if at == 0 {
		return s.dropEmpty(name, newest)
	}
	s.segments = append(s.segments, seg)
	s.size = at
	return s.cut(name, at, len(data))
}

// dropEmpty removes a segment whose first frame was never synced.
func (s *Store) dropEmpty(name string, newest bool) error {
	if !newest {
		return damaged(name, 0, "the segment is empty")
	}
	if err := s.files.Remove(name); err != nil {
		return eris.Wrap(err, "store: remove an unfinished segment")
	}
	return nil
}

// cut removes a torn record at the end of the newest segment.
func (s *Store) cut(name string, valid, size int) error {
	if valid == size {
		return nil
	}
	if err := s.files.Truncate(name, int64(valid)); err != nil {
		return eris.Wrap(err, "store: cut off a torn record")
	}
	return nil
}

// fresh starts an empty folder. A folder with snapshots is not fresh: its log
// held the vote, and a member must not forget its vote.
func (s *Store) fresh(f found) (raft.Saved, error) {
	if len(f.snapshots) > 0 {
		return raft.Saved{}, damaged(segmentFile(1), 0, "there are snapshots, but no log segment")
	}
	id, err := newIdentity(s.rnd)
	if err != nil {
		return raft.Saved{}, err
	}
	s.hard = raft.HardState{ID: id}
	if err := s.roll(); err != nil {
		return raft.Saved{}, err
	}
	return raft.Saved{Hard: s.hard}, nil
}

func newIdentity(r io.Reader) (raft.ID, error) {
	var buf [8]byte
	for {
		if _, err := io.ReadFull(r, buf[:]); err != nil {
			return 0, eris.Wrap(err, "store: draw an identity")
		}
		if id := binary.LittleEndian.Uint64(buf[:]); id != 0 {
			return raft.ID(id), nil
		}
	}
}

// reopen opens the newest segment for appending and adds a record that an
// interrupted write left out.
func (s *Store) reopen(missing *ctlpb.RaftRecord) error {
	f, err := s.files.Append(segmentFile(s.newest().number))
	if err != nil {
		return eris.Wrap(err, "store: open the newest segment")
	}
	s.active = f
	if missing == nil {
		return nil
	}
	return s.append(&ctlpb.RaftFrame{Records: []*ctlpb.RaftRecord{missing}})
}
