package store

import (
	"errors"
	"slices"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"tamarackcross/ctlpb"
	"tamarackcross/raft"
)

// writeSnapshot makes snap durable under its final name. The name appears only
// after the content is synced.
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
	if err := s.writeFile(name+temporary, data); err != nil {
		return eris.Wrap(err, "store: write a snapshot")
	}
	if err := s.files.Rename(name+temporary, name); err != nil {
		return eris.Wrap(err, "store: rename a snapshot")
	}
	if err := s.files.SyncFolder(); err != nil {
		return eris.Wrap(err, "store: sync the data folder")
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

// loadSnapshot reads the newest snapshot. The log names the newest one that it
// takes into account, so that a missing file is noticed.
func (s *Store) loadSnapshot(indexes []uint64, r *replay) (raft.Snapshot, error) {
	if len(indexes) == 0 {
		if r.mark.Index > 0 {
			return raft.Snapshot{}, damaged(snapshotFile(uint64(r.mark.Index)), 0, "the snapshot is missing")
		}
		return raft.Snapshot{}, nil
	}
	newest := indexes[len(indexes)-1]
	if newest < uint64(r.mark.Index) {
		return raft.Snapshot{}, damaged(snapshotFile(uint64(r.mark.Index)), 0, "the snapshot is missing")
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
	body, err := payload(data)
	if err != nil {
		return raft.Snapshot{}, damaged(name, 0, "the checksum does not match")
	}
	var pb ctlpb.RaftSnapshot
	if err := proto.Unmarshal(body, &pb); err != nil {
		return raft.Snapshot{}, damaged(name, headerSize, "the snapshot cannot be decoded")
	}
	return raft.Snapshot{
		Index:   raft.Index(pb.GetIndex()),
		Term:    raft.Term(pb.GetTerm()),
		Members: raft.MembersFromProto(pb.GetMembers()),
		Data:    pb.GetData(),
	}, nil
}

// sweep removes older snapshots and the oldest segments that hold nothing
// after the newest snapshot. Each removal of a segment is synced before the
// next one, so that a crash leaves no gap between segments. A file that cannot
// be removed is tried again after the next snapshot; it only takes room.
func (s *Store) sweep() {
	s.sweepSnapshots()
	for len(s.segments) > 1 && s.segments[0].highest <= s.mark.Index {
		if err := s.files.Remove(segmentFile(s.segments[0].number)); err != nil {
			return
		}
		s.segments = slices.Delete(s.segments, 0, 1)
		if err := s.files.SyncFolder(); err != nil {
			return
		}
	}
}

func (s *Store) sweepSnapshots() {
	names, err := s.files.List()
	if err != nil {
		return
	}
	for _, name := range names {
		var index uint64
		if parse(snapshotName, name, &index) && index < uint64(s.mark.Index) {
			_ = s.files.Remove(name)
		}
	}
}
