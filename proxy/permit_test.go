package proxy

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"tamarackcross/errs"
	"tamarackcross/group"
	"tamarackcross/roster"
)

// aliveConn is a connection that is never used.
type aliveConn struct{ Conn }

func (aliveConn) Alive() bool              { return true }
func (aliveConn) Close() error             { return nil }
func (aliveConn) Position() group.Position { return group.Position{} }

// aliveDialer opens connections at once.
type aliveDialer struct{}

func (aliveDialer) Dial(context.Context, Target) (Conn, error) { return aliveConn{}, nil }

// TestPermitsAreGivenBack guards against permits that are lost while sessions on several threads
// borrow and return connections: each one is missing until the server or the instance starts again.
func TestPermitsAreGivenBack(t *testing.T) {
	for _, threads := range []int{1, 2, 8} {
		t.Run(fmt.Sprint(threads), func(t *testing.T) {
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(threads))
			m := newMember(t.Context(), aliveDialer{}, roster.Entry{ID: "m1", Slots: 5}, 4, time.Now)
			m.updateLag = func(*member, group.Position) {}
			m.setShare(4, true, false)
			const (
				sessions = 16
				uses     = 10_000
			)
			var wg sync.WaitGroup
			for i := range sessions {
				wg.Go(func() {
					for n := 0; n < uses; {
						c, err := m.borrow(t.Context(), admissionRequest{caller: fmt.Sprint(i), startBy: time.Now().Add(time.Minute)})
						if e := errs.As(err); e != nil && e.Reason() == errs.ReasonQueueFull {
							continue // on a busy machine the queue stands, and refuses what it may
						}
						if err != nil {
							t.Error(err)
							return
						}
						m.put(c, n%50 != 0)
						n++
					}
				})
			}
			wg.Wait()
			if inUse, _ := m.connQueue.usage(); inUse != 0 {
				t.Errorf("%d permits are in use, want none", inUse)
			}
		})
	}
}
