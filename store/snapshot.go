package store

import (
	"errors"
	"slices"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"tamarackcross/ctlpb"
	"tamarackcross/raft"
)

// writeSnapshot writes and syncs snap. The file gets its final name only after its
// content is synced.
func (s *Store) writeSnapshot(snap raft.Snapshot) error {
	data, err := encodeFrame(&ctlpb.RaftSnapshot{
		Index:   uint64(snap.Index),
		Term:    uint64(snap.Term),
		Members: raft.MembersToProto(snap.Members),
		Data:    snap.Data,
	})
	if err != nil {
		return err
	}
	name := snapshotFile(uint64(snap.Index))
	if err := s.writeFile(name+tempSuffix, data); err != nil {
		return eris.Wrap(err, "store: write a snapshot")
	}
	if err := s.files.Rename(name+tempSuffix, name); err != nil {
		return eris.Wrap(err, "store: rename a snapshot")
	}
	if err := s.files.SyncDir(); err != nil {
		return eris.Wrap(err, "store: sync the data directory")
	}
	return nil
}

func (s *Store) writeFile(name string, data []byte) error {
	f, err := s.files.Create(name)
	if err != nil {
		return err
	}
	if _, err := f.Write(data); err != nil {
		return errors.Join(err, f.Close())
	}
	return errors.Join(f.Sync(), f.Close())
}

// loadSnapshot reads the newest snapshot. The log records the latest snapshot, so
// that a missing snapshot file is detected.
func (s *Store) loadSnapshot(indexes []uint64, r *replay) (raft.Snapshot, error) {
	if len(indexes) == 0 {
		if r.lastIncluded.Index > 0 {
			return raft.Snapshot{}, damaged(snapshotFile(uint64(r.lastIncluded.Index)), 0, "the snapshot is missing")
		}
		return raft.Snapshot{}, nil
	}
	newest := indexes[len(indexes)-1]
	if newest < uint64(r.lastIncluded.Index) {
		return raft.Snapshot{}, damaged(snapshotFile(uint64(r.lastIncluded.Index)), 0, "the snapshot is missing")
	}
	snap, err := s.readSnapshot(snapshotFile(newest))
	if err != nil {
		return raft.Snapshot{}, err
	}
	return snap, nil
}

func (s *Store) readSnapshot(name string) (raft.Snapshot, error) {
	data, err := s.files.Read(name)
	if err != nil {
		return raft.Snapshot{}, eris.Wrap(err, "store: read a snapshot")
	}
	body, err := decodePayload(data)
	if err != nil {
		return raft.Snapshot{}, damaged(name, 0, "the checksum does not match")
	}
	var pb ctlpb.RaftSnapshot
	if err := proto.Unmarshal(body, &pb); err != nil {
		return raft.Snapshot{}, damaged(name, headerBytes, "the snapshot cannot be decoded")
	}
	return raft.Snapshot{
		Index:   raft.Index(pb.GetIndex()),
		Term:    raft.Term(pb.GetTerm()),
		Members: raft.MembersFromProto(pb.GetMembers()),
		Data:    pb.GetData(),
	}, nil
}

// removeObsolete removes older snapshots, and the oldest segments without entries
// after the latest snapshot. Each removal of a segment is synced before the next
// one, so that a crash leaves no gap between segments. If a removal fails, it is
// tried again after the next snapshot; until then the file only takes up space.
func (s *Store) removeObsolete() {
	s.removeObsoleteSnapshots()
	for len(s.segments) > 1 && s.segments[0].highestIndex <= s.lastIncluded.Index {
		if err := s.files.Remove(segmentFile(s.segments[0].number)); err != nil {
			return
		}
		s.segments = slices.Delete(s.segments, 0, 1)
		if err := s.files.SyncDir(); err != nil {
			return
		}
	}
}

func (s *Store) removeObsoleteSnapshots() {
	names, err := s.files.List()
	if err != nil {
		return
	}
	for _, name := range names {
		var index uint64
		if parseFileName(snapshotFormat, name, &index) && index < uint64(s.lastIncluded.Index) {
			_ = s.files.Remove(name)
		}
	}
}
