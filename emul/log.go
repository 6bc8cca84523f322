// Package emul is the stand-in for a replicated database group. It speaks the
// PostgreSQL protocol, replicates asynchronously with a settable lag, limits
// slots and connections, and understands a handful of SQL statements. It is
// meant for tests and measurements, not for data.
package emul

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"tamarackcross/group"
)

// change is one row written by a transaction. A deleted row has present false.
type change struct {
	Table   string `json:"t"`
	Key     string `json:"k"`
	Value   string `json:"v,omitempty"`
	Present bool   `json:"p"`
}

// entry is one committed transaction in the log of a member.
type entry struct {
	Position group.Position
	Changes  []change
	encoded  string // JSON of Changes, once a replica has asked for it
	// undo holds the rows as they were before the entry was applied here.
	undo []change
}

// encode returns the changes as JSON. The caller holds the lock of the member.
func (e *entry) encode() (string, error) {
	if e.encoded == "" {
		raw, err := json.Marshal(e.Changes)
		if err != nil {
			return "", eris.Wrap(err, "encode changes")
		}
		e.encoded = string(raw)
	}
	return e.encoded, nil
}

// rows is the applied data of a member: table, key, value.
type rows map[string]map[string]string

func (r rows) get(table, key string) (string, bool) {
	v, ok := r[table][key]
	return v, ok
}

func (r rows) put(c change) {
	if !c.Present {
		delete(r[c.Table], c.Key)
		return
	}
	if r[c.Table] == nil {
		r[c.Table] = make(map[string]string)
	}
	r[c.Table][c.Key] = c.Value
}

// apply writes the changes of e and remembers the rows they replace.
func (r rows) apply(e *entry) {
	e.undo = e.undo[:0]
	for _, c := range e.Changes {
		old, ok := r.get(c.Table, c.Key)
		e.undo = append(e.undo, change{Table: c.Table, Key: c.Key, Value: old, Present: ok})
		r.put(c)
	}
}

// revert undoes apply.
func (r rows) revert(e *entry) {
	for i := len(e.undo) - 1; i >= 0; i-- {
		r.put(e.undo[i])
	}
	e.undo = nil
}
