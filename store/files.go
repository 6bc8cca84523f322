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
	lockName   = "LOCK"
	folderMode = 0o700
	fileMode   = 0o600
)

// File is an open file to which data is appended.
type File interface {
	io.WriteCloser
	Sync() error
}

// Files is what the store needs of a folder. Names have no directory part.
// Created, renamed and removed names are durable only after SyncFolder.
type Files interface {
	Lock() (io.Closer, error)
	List() ([]string, error)
	Read(name string) ([]byte, error)
	Create(name string) (File, error)
	Append(name string) (File, error)
	Truncate(name string, size int64) error // synced before it returns
	Rename(from, to string) error
	Remove(name string) error
	SyncFolder() error
}

// folder implements Files by the operating system.
type folder struct{ path string }

// openFolder creates the folder if it does not exist yet.
func openFolder(path string) (folder, error) {
	if _, err := os.Stat(path); err == nil {
		return folder{path: path}, nil
	}
	if err := os.MkdirAll(path, folderMode); err != nil {
		return folder{}, eris.Wrap(err, "store: create the data folder")
	}
	parent := folder{path: filepath.Dir(path)}
	return folder{path: path}, parent.SyncFolder()
}

func (f folder) at(name string) string { return filepath.Join(f.path, name) }

// Lock takes an exclusive lock that the kernel releases when the process ends.
func (f folder) Lock() (io.Closer, error) {
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

func (f folder) List() ([]string, error) {
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

func (f folder) Read(name string) ([]byte, error) { return os.ReadFile(f.at(name)) }

func (f folder) Create(name string) (File, error) {
	return os.OpenFile(f.at(name), os.O_CREATE|os.O_WRONLY|os.O_TRUNC, fileMode)
}

func (f folder) Append(name string) (File, error) {
	return os.OpenFile(f.at(name), os.O_WRONLY|os.O_APPEND, fileMode)
}

func (f folder) Truncate(name string, size int64) error {
	file, err := os.OpenFile(f.at(name), os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	if err := file.Truncate(size); err != nil {
		return errors.Join(err, file.Close())
	}
	return errors.Join(file.Sync(), file.Close())
}

func (f folder) Rename(from, to string) error { return os.Rename(f.at(from), f.at(to)) }

func (f folder) Remove(name string) error { return os.Remove(f.at(name)) }

func (f folder) SyncFolder() error {
	file, err := os.Open(f.path)
	if err != nil {
		return err
	}
	return errors.Join(file.Sync(), file.Close())
}
