package store

import (
	"google.golang.org/protobuf/proto"

	"tamarackcross/ctlpb"
	"tamarackcross/raft"
)

// replay rebuilds the state from the records of the log.
type replay struct {
	hard         raft.HardState
	lastIncluded raft.EntryID // last entry covered by the latest snapshot
	entries      []raft.Entry
}

func (r *replay) lastIndex() raft.Index {
	if len(r.entries) == 0 {
		return 0
	}
	return r.entries[len(r.entries)-1].Index
}

// contains reports whether the log contains the entry id.
func (r *replay) contains(id raft.EntryID) bool {
	if len(r.entries) == 0 || id.Index < r.entries[0].Index || id.Index > r.lastIndex() {
		return false
	}
	return r.entries[id.Index-r.entries[0].Index].Term == id.Term
}

// applyFrame applies the records of one frame. If they do not follow from the
// earlier records, it returns the reason.
func (r *replay) applyFrame(body []byte) string {
	var pb ctlpb.RaftFrame
	if err := proto.Unmarshal(body, &pb); err != nil {
		return "a frame with a valid checksum cannot be decoded"
	}
	for _, rec := range pb.GetRecords() {
		if reason := r.applyRecord(rec); reason != "" {
			return reason
		}
	}
	return ""
}

func (r *replay) applyRecord(rec *ctlpb.RaftRecord) string {
	if h := rec.GetHard(); h != nil {
		r.hard = raft.HardState{ID: raft.ID(h.GetId()), Term: raft.Term(h.GetTerm()), Vote: raft.ID(h.GetVote())}
	}
	if m := rec.GetSnapshot(); m != nil {
		r.lastIncluded = raft.EntryID{Index: raft.Index(m.GetIndex()), Term: raft.Term(m.GetTerm())}
	}
	if rec.GetDrop() {
		r.entries = nil
	}
	for _, e := range raft.EntriesFromProto(rec.GetEntries()) {
		if !r.applyEntry(e) {
			return "an entry is missing before this record"
		}
	}
	return ""
}

// applyEntry adds an entry and replaces the entries at and after its index. It
// returns false if an entry before e is missing.
func (r *replay) applyEntry(e raft.Entry) bool {
	switch {
	case len(r.entries) == 0 || e.Index <= r.entries[0].Index:
		r.entries = nil
	case e.Index > r.lastIndex()+1:
		return false
	default:
		r.entries = r.entries[:e.Index-r.entries[0].Index]
	}
	r.entries = append(r.entries, e)
	return true
}

// adoptSnapshot takes a snapshot into account that is newer than the last snapshot
// record in the log: the process ended after it wrote the snapshot file and before
// it wrote the record. It returns the missing record, or nil if none is missing.
func (r *replay) adoptSnapshot(id raft.EntryID) *ctlpb.RaftRecord {
	if id.Index <= r.lastIncluded.Index {
		return nil
	}
	rec := &ctlpb.RaftRecord{Snapshot: entryIDToProto(id), Drop: !r.contains(id)}
	_ = r.applyRecord(rec) // a record without entries cannot fail
	return rec
}

// entriesAfterSnapshot returns the entries after the snapshot, and whether they
// follow it without a gap.
func (r *replay) entriesAfterSnapshot() ([]raft.Entry, bool) {
	es := r.entries
	for len(es) > 0 && es[0].Index <= r.lastIncluded.Index {
		es = es[1:]
	}
	return es, len(es) == 0 || es[0].Index == r.lastIncluded.Index+1
}
