package store

import (
	"google.golang.org/protobuf/proto"

	"tamarackcross/ctlpb"
	"tamarackcross/raft"
)

// replay rebuilds the state from the records of the log.
type replay struct {
	hard    raft.HardState
	mark    raft.EntryID // the newest snapshot
	entries []raft.Entry
}

func (r *replay) last() raft.Index {
	if len(r.entries) == 0 {
		return 0
	}
	return r.entries[len(r.entries)-1].Index
}

// holds reports whether the entry named by m is in the log.
func (r *replay) holds(m raft.EntryID) bool {
	if len(r.entries) == 0 || m.Index < r.entries[0].Index || m.Index > r.last() {
		return false
	}
	return r.entries[m.Index-r.entries[0].Index].Term == m.Term
}

// frame applies the records of one frame. It returns the reason if they do not
// follow from the ones before.
func (r *replay) frame(body []byte) string {
	var pb ctlpb.RaftFrame
	if err := proto.Unmarshal(body, &pb); err != nil {
		return "a frame with a valid checksum cannot be decoded"
	}
	for _, rec := range pb.GetRecords() {
		if reason := r.record(rec); reason != "" {
			return reason
		}
	}
	return ""
}

func (r *replay) record(rec *ctlpb.RaftRecord) string {
	if h := rec.GetHard(); h != nil {
		r.hard = raft.HardState{ID: raft.ID(h.GetId()), Term: raft.Term(h.GetTerm()), Vote: raft.ID(h.GetVote())}
	}
	if m := rec.GetSnapshot(); m != nil {
		r.mark = raft.EntryID{Index: raft.Index(m.GetIndex()), Term: raft.Term(m.GetTerm())}
	}
	if rec.GetDrop() {
		r.entries = nil
	}
	for _, e := range raft.EntriesFromProto(rec.GetEntries()) {
		if !r.entry(e) {
			return "an entry is missing before this record"
		}
	}
	return ""
}

// entry adds an entry. It replaces the entries at and after its index.
func (r *replay) entry(e raft.Entry) bool {
	switch {
	case len(r.entries) == 0 || e.Index <= r.entries[0].Index:
		r.entries = nil
	case e.Index > r.last()+1:
		return false
	default:
		r.entries = r.entries[:e.Index-r.entries[0].Index]
	}
	r.entries = append(r.entries, e)
	return true
}

// adopt takes a snapshot file into account that is newer than the last record
// about snapshots: the process ended between the two writes. It returns the
// missing record.
func (r *replay) adopt(m raft.EntryID) *ctlpb.RaftRecord {
	if m.Index <= r.mark.Index {
		return nil
	}
	rec := &ctlpb.RaftRecord{Snapshot: markToProto(m), Drop: !r.holds(m)}
	_ = r.record(rec) // a record without entries always follows
	return rec
}

// tail returns the entries after the snapshot, and whether none is missing.
func (r *replay) tail() ([]raft.Entry, bool) {
	es := r.entries
	for len(es) > 0 && es[0].Index <= r.mark.Index {
		es = es[1:]
	}
	return es, len(es) == 0 || es[0].Index == r.mark.Index+1
}
