// Package emul emulates a replicated database group for tests and measurements. A
// member speaks the PostgreSQL protocol, replicates asynchronously with a
// configurable lag, limits its connections and concurrent statements, and
// understands a small set of SQL statements. It keeps its data in memory and must
// not be used to store real data.
//
// A Network emulates latency, partitions and silent connections between the members
// and their clients.
package emul

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"tamarackcross/group"
)

// change is one row written by a transaction. Present is false if the row was
// deleted.
type change struct {
	Table   string `json:"t"`
	Key     string `json:"k"`
	Value   string `json:"v,omitempty"`
	Present bool   `json:"p"`
}

// logEntry is one committed transaction in the log of a member.
type logEntry struct {
	Position group.Position
	Changes  []change
	encoded  string // JSON of Changes, set when a replica first fetches the entry
	// undo holds the rows as they were before this member applied the entry.
	undo []change
}

// encode returns the changes as JSON. The caller holds the mutex of the member.
func (e *logEntry) encode() (string, error) {
	if e.encoded == "" {
		raw, err := json.Marshal(e.Changes)
		if err != nil {
			return "", eris.Wrap(err, "encode changes")
		}
		e.encoded = string(raw)
	}
	return e.encoded, nil
}

// tables holds the applied data of a member: the value of each row by table and key.
type tables map[string]map[string]string

func (r tables) get(table, key string) (string, bool) {
	v, ok := r[table][key]
	return v, ok
}

func (r tables) put(c change) {
	if !c.Present {
		delete(r[c.Table], c.Key)
		return
	}
	if r[c.Table] == nil {
		r[c.Table] = make(map[string]string)
	}
	r[c.Table][c.Key] = c.Value
}

// apply writes the changes of e and stores the rows that they replace in e.undo.
func (r tables) apply(e *logEntry) {
	e.undo = e.undo[:0]
	for _, c := range e.Changes {
		old, ok := r.get(c.Table, c.Key)
		e.undo = append(e.undo, change{Table: c.Table, Key: c.Key, Value: old, Present: ok})
		r.put(c)
	}
}

// revert undoes apply.
func (r tables) revert(e *logEntry) {
	for i := len(e.undo) - 1; i >= 0; i-- {
		r.put(e.undo[i])
	}
	e.undo = nil
}
