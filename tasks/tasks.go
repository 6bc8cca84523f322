// Package tasks runs the goroutines of a server until the server is closed.
package tasks

import (
	"sync"

	"github.com/sourcegraph/conc"
)

// Group is a set of goroutines. Once it is closed it starts no more of them, so that Wait waits
// for all. The zero value is ready for use.
type Group struct {
	mu     sync.Mutex
	closed bool
	wg     conc.WaitGroup
}

// Go runs f in a goroutine. It returns false, and does not run f, if the group is closed.
func (g *Group) Go(f func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.wg.Go(f)
	return true
}

// Close makes later calls of Go return false.
func (g *Group) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}

// Wait closes the group and waits for its goroutines.
func (g *Group) Wait() {
	g.Close()
	g.wg.Wait()
}
