package site

import (
	"context"
	"os"

	"github.com/rotisserie/eris"

	"tamarackcross/inst"
)

var (
	errRunning = eris.New("instance is running")
	errStopped = eris.New("instance is stopped")
)

// Stopped reports whether instance i was stopped.
func (s *Site) Stopped(i int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped[i]
}

// halt marks instance i as stopped and returns it, or nil if it was stopped
// before.
func (s *Site) halt(i int) *inst.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped[i] {
		return nil
	}
	s.stopped[i] = true
	return s.instances[i]
}

// StopInstance ends instance i at once, as a crash does. Its data folder stays.
func (s *Site) StopInstance(i int) {
	if in := s.halt(i); in != nil {
		in.Close()
	}
}

// ShutdownInstance ends instance i gracefully. It returns how many requests
// were cut when ctx ended.
func (s *Site) ShutdownInstance(ctx context.Context, i int) (int64, error) {
	in := s.halt(i)
	if in == nil {
		return 0, errStopped
	}
	return in.Shutdown(ctx), nil
}

// StartInstance starts a stopped instance with its data folder and addresses.
func (s *Site) StartInstance(i int) error {
	if !s.Stopped(i) {
		return errRunning
	}
	old := s.Instance(i)
	in, err := s.startInstance(i, inst.Config{Callers: old.Callers(), Peer: old.Peer(), Admin: old.Admin()})
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances[i] = in
	delete(s.stopped, i)
	return nil
}

// WipeInstance loses the disk of a stopped instance.
func (s *Site) WipeInstance(i int) error {
	if !s.Stopped(i) {
		return errRunning
	}
	return eris.Wrap(os.RemoveAll(s.dataDir(i)), "wipe instance")
}
