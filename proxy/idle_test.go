package proxy

import (
	"testing"
	"time"

	"tamarackcross/roster"
)

// stubConn is a connection that is only opened and closed.
type stubConn struct{ Conn }

func (stubConn) Close() error { return nil }

// TestOnlyConnectionIsKept guards against an instance that closes the only connection which it
// may keep to a backend server after a second without a request. The next request then opens
// a new one, which costs the server more than some statements.
func TestOnlyConnectionIsKept(t *testing.T) {
	now := time.Unix(1000, 0)
	m := newMember(t.Context(), nil, roster.Entry{ID: "m1", Slots: 5}, 1, func() time.Time { return now })
	for _, tc := range []struct {
		share, idle, want int
	}{{1, 1, 1}, {1, 2, 0}, {3, 2, 2}, {3, 3, 0}, {4, 2, 2}, {4, 3, 0}} {
		m.setShare(tc.share, true)
		m.idle = nil
		for range tc.idle {
			m.idle = append(m.idle, &backendConn{Conn: stubConn{}, lastUsed: now.Add(-2 * excessConnIdleTimeout)})
		}
		m.closeExpired(now)
		if got := len(m.idle); got != tc.want {
			t.Errorf("share %d: %d of %d idle connections are kept, want %d", tc.share, got, tc.idle, tc.want)
		}
	}
}
