package store_test

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"tamarackcross/raft"
	"tamarackcross/store"
)

const savesPerSchedule = 40

// TestMain fixes the seed so that every run gives the same result.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// expectedState returns the state that must be found after a restart if p is saved
// in state s.
func expectedState(s raft.PersistentState, p raft.PersistentUpdate) raft.PersistentState {
	if p.HardState != nil {
		s.HardState = *p.HardState
	}
	if p.Snapshot != nil {
		k := int(p.Snapshot.Index - s.Snapshot.Index)
		if k > len(s.Entries) || s.Entries[k-1].Term != p.Snapshot.Term {
			k = len(s.Entries)
		}
		s.Snapshot, s.Entries = *p.Snapshot, s.Entries[k:]
	}
	if len(p.Entries) > 0 {
		k := p.Entries[0].Index - s.Snapshot.Index - 1
		s.Entries = slices.Concat(s.Entries[:k], p.Entries)
	}
	return s
}

// randomPersist returns a random change that a member could save in state s.
func randomPersist(t *rapid.T, s raft.PersistentState) raft.PersistentUpdate {
	var p raft.PersistentUpdate
	n := func(limit int) int { return rapid.IntRange(0, limit).Draw(t, "n") }
	if n(2) == 0 {
		p.HardState = &raft.HardState{ID: s.HardState.ID, Term: s.HardState.Term + raft.Term(n(2)), Vote: raft.ID(n(3))}
	}
	if n(5) == 0 {
		snap := raft.Bootstrap(raft.Member{ID: 7, Address: "here"})
		snap.Index, snap.Term = s.Snapshot.Index+1+raft.Index(n(len(s.Entries)+2)), s.HardState.Term+1
		if k := int(snap.Index-s.Snapshot.Index) - 1; k < len(s.Entries) && n(3) > 0 {
			snap.Term = s.Entries[k].Term
		}
		snap.Data = make([]byte, 1+n(200))
		p.Snapshot = &snap
	}
	after := expectedState(s, p)
	first := after.Snapshot.Index + 1 + raft.Index(n(len(after.Entries)))
	for i := range n(4) {
		e := raft.Entry{Index: first + raft.Index(i), Term: after.HardState.Term + 1, Kind: raft.KindData, Data: make([]byte, 1+n(60))}
		p.Entries = append(p.Entries, e)
	}
	return p
}

// TestCrashRecovery guards against lost and half-written changes: after a crash or
// a failed write at any operation, the directory holds the state before or after
// the interrupted change, or the state before with the snapshot of the change
// alone.
func TestCrashRecovery(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		disk := newMemoryFiles(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)))
		s, state, err := store.Open("", store.WithFiles(disk), store.WithSegmentBytes(300))
		if err != nil {
			t.Fatal(err)
		}
		for range savesPerSchedule {
			p := randomPersist(t, state)
			allowed := []raft.PersistentState{state, expectedState(state, raft.PersistentUpdate{Snapshot: p.Snapshot}), expectedState(state, p)}
			disk.opsUntilFailure = rapid.IntRange(-1, 30).Draw(t, "left")
			err := s.Save(p)
			if err == nil {
				allowed = allowed[2:]
			}
			if err != nil && !errors.Is(s.Save(p), store.ErrFailed) {
				t.Fatal("the store accepted a call after a failed write")
			}
			state = allowed[len(allowed)-1]
			if err == nil && rapid.IntRange(0, 3).Draw(t, "restart") > 0 {
				continue
			}
			s, state = crashAndReopen(t, disk, allowed)
		}
	})
}

// crashAndReopen crashes the disk and opens the store, again and again until Open
// succeeds.
func crashAndReopen(t *rapid.T, disk *memoryFiles, allowed []raft.PersistentState) (*store.Store, raft.PersistentState) {
	for {
		disk.crash()
		disk.opsUntilFailure = rapid.IntRange(-1, 10).Draw(t, "left while opening")
		s, got, err := store.Open("", store.WithFiles(disk), store.WithSegmentBytes(300))
		if errors.Is(err, errDisk) {
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		for _, want := range allowed {
			if cmp.Equal(want, got, cmpopts.EquateEmpty()) {
				disk.opsUntilFailure, disk.failed = -1, false
				return s, got
			}
		}
		t.Fatalf("found (+) is none of the allowed states, the last of which is (-):\n%s",
			cmp.Diff(allowed[len(allowed)-1], got, cmpopts.EquateEmpty()))
	}
}

// TestOpenedStateIsDurable guards against a member that was killed between the write and the sync of a
// record, takes the record for durable after its start, and loses it when the machine fails.
func TestOpenedStateIsDurable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		disk := newMemoryFiles(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)))
		s, state, err := store.Open("", store.WithFiles(disk), store.WithSegmentBytes(300))
		if err != nil {
			t.Fatal(err)
		}
		for range savesPerSchedule {
			disk.opsUntilFailure = rapid.IntRange(-1, 10).Draw(t, "left")
			p := randomPersist(t, state)
			if err := s.Save(p); err == nil {
				state = expectedState(state, p)
				continue
			}
			disk.restart()
			_, found, err := store.Open("", store.WithFiles(disk), store.WithSegmentBytes(300))
			if err != nil {
				t.Fatal(err)
			}
			s, state = crashAndReopen(t, disk, []raft.PersistentState{found})
		}
	})
}

// TestDamageDetection guards against taking damage for a torn write and a torn
// write for damage, on files of the operating system.
func TestDamageDetection(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		dir := filepath.Join(t.TempDir(), "data")
		var s *store.Store
		var saved raft.PersistentState
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var err error
			var index, n, offset int
			var name string
			d.MaybeScanArgs(t, "index", &index)
			d.MaybeScanArgs(t, "n", &n)
			d.MaybeScanArgs(t, "offset", &offset)
			d.MaybeScanArgs(t, "file", &name)
			switch d.Cmd {
			case "open":
				idSource := strings.NewReader("identity")
				if s, saved, err = store.Open(dir, store.WithIdentitySource(idSource), store.WithSegmentBytes(200)); err == nil {
					return fmt.Sprintf("%+v snapshot=%d entries=%d", saved.HardState, saved.Snapshot.Index, len(saved.Entries))
				}
			case "second":
				_, _, err = store.Open(dir)
				if !errors.Is(err, store.ErrLocked) {
					return "not locked"
				}
				return "locked"
			case "close":
				err = s.Close()
			case "save":
				hard := raft.HardState{ID: s.Identity(), Term: raft.Term(index), Vote: 1}
				e := raft.Entry{Index: raft.Index(index), Term: 1, Data: make([]byte, 50)}
				err = s.Save(raft.PersistentUpdate{HardState: &hard, Entries: []raft.Entry{e}})
			case "snapshot":
				err = s.Save(raft.PersistentUpdate{Snapshot: &raft.Snapshot{Index: raft.Index(index), Term: 1, Data: []byte("state")}})
			case "cut", "flip", "extend":
				err = damageFile(filepath.Join(dir, name), d.Cmd, n, offset)
			case "remove":
				err = os.Remove(filepath.Join(dir, name))
			case "files":
				return listFiles(t, dir)
			}
			if err != nil {
				return fmt.Sprintf("damaged=%v: %s", errors.Is(err, store.ErrDamaged), err)
			}
			return "ok"
		})
	})
}

func damageFile(path, how string, n, offset int) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	switch how {
	case "cut":
		data = data[:len(data)-n]
	case "flip":
		data[offset] ^= 1
	case "extend":
		data = append(data, make([]byte, n)...)
	}
	return os.WriteFile(path, data, 0o600)
}

func listFiles(t *testing.T, dir string) string {
	t.Helper()
	es, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	for _, e := range es {
		info, err := e.Info()
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, fmt.Sprintf("%s %d", e.Name(), info.Size()))
	}
	return strings.Join(out, "\n")
}
