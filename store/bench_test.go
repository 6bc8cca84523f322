package store_test

import (
	"testing"

	"tamarackcross/raft"
	"tamarackcross/store"
)

// BenchmarkSave measures saving one entry of 128 bytes with a sync, in the
// temporary directory of the machine.
func BenchmarkSave(b *testing.B) {
	s, _, err := store.Open(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	at := raft.Index(0)
	for b.Loop() {
		at++
		e := raft.Entry{Index: at, Term: 1, Kind: raft.KindData, Data: make([]byte, 128)}
		if err := s.Save(raft.PersistentUpdate{Entries: []raft.Entry{e}}); err != nil {
			b.Fatal(err)
		}
	}
	if err := s.Close(); err != nil {
		b.Fatal(err)
	}
}
