package store_test

import (
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"slices"

	"tamarackcross/store"
)

var errDisk = errors.New("no space left on the simulated disk")

// memoryFile is a file in memory. Only its first synced bytes are sure to survive
// a crash.
type memoryFile struct {
	data   []byte
	synced int
}

// memoryFiles implements store.Files in memory. It fails after a given number of
// operations. A crash then loses a part of what was not synced.
type memoryFiles struct {
	rnd             *rand.Rand
	files           map[string]*memoryFile // by name, as the process sees them
	durableFiles    map[string]*memoryFile // by name, as of the last SyncDir
	opsUntilFailure int                    // negative if none is to fail
	failed          bool
}

func newMemoryFiles(rnd *rand.Rand) *memoryFiles {
	return &memoryFiles{rnd: rnd, files: map[string]*memoryFile{}, durableFiles: map[string]*memoryFile{}, opsUntilFailure: -1}
}

// countOp counts one operation and returns an error if it fails. Every operation
// after a failed one fails too, as if the process had ended.
func (m *memoryFiles) countOp() error {
	if m.opsUntilFailure == 0 {
		m.failed = true
	}
	m.opsUntilFailure--
	if m.failed {
		return errDisk
	}
	return nil
}

// crash loses a random part of what was not synced: either all or none of the
// changes to names, and the end of each file, of which a part may be zeroed.
func (m *memoryFiles) crash() {
	if m.rnd.IntN(2) == 0 {
		m.files = maps.Clone(m.durableFiles)
	}
	for _, c := range m.files {
		tail := c.data[c.synced:]
		tail = slices.Clone(tail[:m.rnd.IntN(len(tail)+1)])
		if len(tail) > 0 && m.rnd.IntN(2) == 0 {
			clear(tail[m.rnd.IntN(len(tail)):])
		}
		c.data = append(c.data[:c.synced:c.synced], tail...)
		c.synced = len(c.data)
	}
	m.durableFiles = maps.Clone(m.files)
	m.opsUntilFailure, m.failed = -1, false
}

// restart ends the process and loses nothing, neither does it sync anything.
func (m *memoryFiles) restart() { m.opsUntilFailure, m.failed = -1, false }

func (m *memoryFiles) Lock() (io.Closer, error) { return io.NopCloser(nil), nil }

func (m *memoryFiles) List() ([]string, error) {
	return slices.Sorted(maps.Keys(m.files)), m.countOp()
}

func (m *memoryFiles) Read(name string) ([]byte, error) {
	c, ok := m.files[name]
	if !ok {
		return nil, os.ErrNotExist
	}
	return slices.Clone(c.data), m.countOp()
}

func (m *memoryFiles) Create(name string) (store.File, error) {
	if err := m.countOp(); err != nil {
		return nil, err
	}
	m.files[name] = &memoryFile{}
	return &memoryHandle{disk: m, file: m.files[name]}, nil
}

func (m *memoryFiles) Append(name string) (store.File, error) {
	return &memoryHandle{disk: m, file: m.files[name]}, m.countOp()
}

func (m *memoryFiles) Truncate(name string, size int64) error {
	if err := m.countOp(); err != nil {
		return err
	}
	c := m.files[name]
	c.data = c.data[:size]
	c.synced = len(c.data)
	return nil
}

func (m *memoryFiles) Rename(from, to string) error {
	if err := m.countOp(); err != nil {
		return err
	}
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *memoryFiles) Remove(name string) error {
	if err := m.countOp(); err != nil {
		return err
	}
	delete(m.files, name)
	return nil
}

func (m *memoryFiles) SyncDir() error {
	if err := m.countOp(); err != nil {
		return err
	}
	m.durableFiles = maps.Clone(m.files)
	return nil
}

type memoryHandle struct {
	disk *memoryFiles
	file *memoryFile
}

// Write keeps a random part of the data if it fails.
func (f *memoryHandle) Write(p []byte) (int, error) {
	if err := f.disk.countOp(); err != nil {
		n := f.disk.rnd.IntN(len(p) + 1)
		f.file.data = append(f.file.data, p[:n]...)
		return n, err
	}
	f.file.data = append(f.file.data, p...)
	return len(p), nil
}

func (f *memoryHandle) Sync() error {
	if err := f.disk.countOp(); err != nil {
		return err
	}
	f.file.synced = len(f.file.data)
	return nil
}

func (f *memoryHandle) Close() error { return nil }
