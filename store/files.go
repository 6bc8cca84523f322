package store

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/rotisserie/eris"
)

const (
	lockName = "LOCK"
	dirMode  = 0o700
	fileMode = 0o600
)

// File is an open file to which data is appended.
type File interface {
	io.WriteCloser
	Sync() error
}

// Files is the set of file operations that the store needs in its data directory.
// Names have no directory part. Creating, renaming and removing a file is durable
// only after SyncDir.
type Files interface {
	Lock() (io.Closer, error)
	List() ([]string, error)
	Read(name string) ([]byte, error)
	Create(name string) (File, error)
	Append(name string) (File, error)
	Truncate(name string, size int64) error // synced before it returns
	Rename(from, to string) error
	Remove(name string) error
	SyncDir() error
}

// dir implements Files with the operating system's file system.
type dir struct{ path string }

// openDir creates the directory if it does not exist yet.
func openDir(path string) (dir, error) {
	if _, err := os.Stat(path); err == nil {
		return dir{path: path}, nil
	}
	if err := os.MkdirAll(path, dirMode); err != nil {
		return dir{}, eris.Wrap(err, "store: create the data directory")
	}
	parent := dir{path: filepath.Dir(path)}
	return dir{path: path}, parent.SyncDir()
}

func (f dir) at(name string) string { return filepath.Join(f.path, name) }

// Lock takes an exclusive lock, which the kernel releases when the process ends.
func (f dir) Lock() (io.Closer, error) {
	file, err := os.OpenFile(f.at(lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = file.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, eris.Wrap(ErrLocked, f.path)
		}
		return nil, err
	}
	return file, nil
}

func (f dir) List() ([]string, error) {
	es, err := os.ReadDir(f.path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range es {
		names = append(names, e.Name())
	}
	return names, nil
}

func (f dir) Read(name string) ([]byte, error) { return os.ReadFile(f.at(name)) }

func (f dir) Create(name string) (File, error) {
	return os.OpenFile(f.at(name), os.O_CREATE|os.O_WRONLY|os.O_TRUNC, fileMode)
}

func (f dir) Append(name string) (File, error) {
	return os.OpenFile(f.at(name), os.O_WRONLY|os.O_APPEND, fileMode)
}

func (f dir) Truncate(name string, size int64) error {
	file, err := os.OpenFile(f.at(name), os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	if err := file.Truncate(size); err != nil {
		return errors.Join(err, file.Close())
	}
	return errors.Join(file.Sync(), file.Close())
}

func (f dir) Rename(from, to string) error { return os.Rename(f.at(from), f.at(to)) }

func (f dir) Remove(name string) error { return os.Remove(f.at(name)) }

func (f dir) SyncDir() error {
	file, err := os.Open(f.path)
	if err != nil {
		return err
	}
	return errors.Join(file.Sync(), file.Close())
}
