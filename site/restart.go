package site

import (
	"context"
	"os"

	"github.com/rotisserie/eris"

	"tamarackcross/inst"
)

var (
	errRunning = eris.New("instance is still running")
	errStopped = eris.New("instance is already stopped")
)

// Stopped reports whether instance i was stopped.
func (s *Site) Stopped(i int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped[i]
}

// markStopped marks instance i as stopped and returns it, or nil if it is already
// stopped.
func (s *Site) markStopped(i int) *inst.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped[i] {
		return nil
	}
	s.stopped[i] = true
	return s.instances[i]
}

// StopInstance ends instance i abruptly, as a crash does. Its data directory is
// kept.
func (s *Site) StopInstance(i int) {
	if in := s.markStopped(i); in != nil {
		in.Close()
	}
}

// ShutdownInstance shuts instance i down gracefully. It returns the number of
// requests that were still in flight when ctx ended and were aborted.
func (s *Site) ShutdownInstance(ctx context.Context, i int) (int64, error) {
	in := s.markStopped(i)
	if in == nil {
		return 0, errStopped
	}
	return in.Shutdown(ctx), nil
}

// StartInstance restarts a stopped instance with the same data directory and
// addresses.
func (s *Site) StartInstance(i int) error {
	if !s.Stopped(i) {
		return errRunning
	}
	old := s.Instance(i)
	in, err := s.startInstance(i, inst.Config{CallerAddr: old.CallerAddr(), PeerAddr: old.PeerAddr(), AdminAddr: old.AdminAddr()})
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances[i] = in
	delete(s.stopped, i)
	return nil
}

// WipeInstance removes the data directory of a stopped instance, as the loss of
// its disk does.
func (s *Site) WipeInstance(i int) error {
	if !s.Stopped(i) {
		return errRunning
	}
	return eris.Wrap(os.RemoveAll(s.dataDir(i)), "remove the data directory of the instance")
}
