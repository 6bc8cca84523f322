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

// content is a file in memory. Only the first synced bytes survive a crash.
type content struct {
	data   []byte
	synced int
}

// memory implements store.Files. It fails or crashes after a number of
// operations and then loses what was not synced.
type memory struct {
	rnd     *rand.Rand
	names   map[string]*content // as the process sees them
	durable map[string]*content // as of the last SyncFolder
	left    int                 // operations until the failure; negative for none
	failed  bool
}

func newMemory(rnd *rand.Rand) *memory {
	return &memory{rnd: rnd, names: map[string]*content{}, durable: map[string]*content{}, left: -1}
}

// op counts one operation and reports whether it fails. After a failure the
// process is taken to be dead, so that everything else fails too.
func (m *memory) op() error {
	if m.left == 0 {
		m.failed = true
	}
	m.left--
	if m.failed {
		return errDisk
	}
	return nil
}

// crash loses a part of what was not synced: the names as a whole, and the
// ends of files, of which a part may be garbage.
func (m *memory) crash() {
	if m.rnd.IntN(2) == 0 {
		m.names = maps.Clone(m.durable)
	}
	for _, c := range m.names {
		tail := c.data[c.synced:]
		tail = slices.Clone(tail[:m.rnd.IntN(len(tail)+1)])
		if len(tail) > 0 && m.rnd.IntN(2) == 0 {
			clear(tail[m.rnd.IntN(len(tail)):])
		}
		c.data = append(c.data[:c.synced:c.synced], tail...)
		c.synced = len(c.data)
	}
	m.durable = maps.Clone(m.names)
	m.left, m.failed = -1, false
}

func (m *memory) Lock() (io.Closer, error) { return io.NopCloser(nil), nil }

func (m *memory) List() ([]string, error) {
	return slices.Sorted(maps.Keys(m.names)), m.op()
}

func (m *memory) Read(name string) ([]byte, error) {
	c, ok := m.names[name]
	if !ok {
		return nil, os.ErrNotExist
	}
	return slices.Clone(c.data), m.op()
}

func (m *memory) Create(name string) (store.File, error) {
	if err := m.op(); err != nil {
		return nil, err
	}
	m.names[name] = &content{}
	return &file{m: m, c: m.names[name]}, nil
}

func (m *memory) Append(name string) (store.File, error) {
	return &file{m: m, c: m.names[name]}, m.op()
}

func (m *memory) Truncate(name string, size int64) error {
	if err := m.op(); err != nil {
		return err
	}
	c := m.names[name]
	c.data = c.data[:size]
	c.synced = len(c.data)
	return nil
}

func (m *memory) Rename(from, to string) error {
	if err := m.op(); err != nil {
		return err
	}
	m.names[to] = m.names[from]
	delete(m.names, from)
	return nil
}

func (m *memory) Remove(name string) error {
	if err := m.op(); err != nil {
		return err
	}
	delete(m.names, name)
	return nil
}

func (m *memory) SyncFolder() error {
	if err := m.op(); err != nil {
		return err
	}
	m.durable = maps.Clone(m.names)
	return nil
}

type file struct {
	m *memory
	c *content
}

// Write keeps a part of the data if it fails.
func (f *file) Write(p []byte) (int, error) {
	if err := f.m.op(); err != nil {
		n := f.m.rnd.IntN(len(p) + 1)
		f.c.data = append(f.c.data, p[:n]...)
		return n, err
	}
	f.c.data = append(f.c.data, p...)
	return len(p), nil
}

func (f *file) Sync() error {
	if err := f.m.op(); err != nil {
		return err
	}
	f.c.synced = len(f.c.data)
	return nil
}

func (f *file) Close() error { return nil }
