package proxy

import (
	"testing"
	"time"

	"tamarackcross/config"
	"tamarackcross/place"
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
		m.setShare(tc.share, true, false)
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

// TestSharesOfUnequalZones guards against shares that exceed what a backend server accepts where
// zones have different numbers of instances: the instances of a small zone kept connections to
// its server which the holders of the larger zones had counted as theirs.
func TestSharesOfUnequalZones(t *testing.T) {
	for _, tc := range []struct {
		maxConns int
		zones    []int // number of instances
	}{
		{49, []int{19, 22, 23}}, {53, []int{25, 23, 27}}, {166, []int{20, 21, 20, 15}}, {125, []int{61, 58, 58, 62, 56}}, {60, []int{4, 30, 30}},
	} {
		cfg, instances := config.Service{MaxConns: tc.maxConns}, 0
		for _, n := range tc.zones {
			instances += n
		}
		holders := place.HoldersPerZone(tc.maxConns-reservedControlConns, len(tc.zones)) * len(tc.zones)
		for i, n := range tc.zones {
			sum := holders*(holderShare(cfg, len(tc.zones), instances)+probeConns) + n*nonHolderShare(cfg, len(tc.zones), instances, n)
			if most := tc.maxConns - reservedControlConns; sum > most {
				t.Errorf("zones of %v instances: shares of the server in zone %d add up to %d, want at most %d", tc.zones, i, sum, most)
			}
		}
	}
}
