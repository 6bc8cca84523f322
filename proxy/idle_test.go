package proxy

import (
	"context"
	"testing"
	"time"

	"tamarackcross/config"
	"tamarackcross/group"
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

// TestCustomerSharesFit guards against shares of customers that exceed what a backend server accepts.
func TestCustomerSharesFit(t *testing.T) {
	for _, tc := range []struct{ maxConns, zones int }{{56, 3}, {49, 3}, {53, 3}, {166, 4}, {125, 5}, {20, 3}, {12, 1}} {
		cfg := config.Service{MaxConns: tc.maxConns}
		holders := place.HoldersPerZone(tc.maxConns-reservedControlConns, tc.zones)
		shares := customerShares(cfg, tc.zones)
		sum := holders * (shares.sameZone + (tc.zones-1)*shares.base + tc.zones*probeConns)
		if most := tc.maxConns - reservedControlConns; sum > most {
			t.Errorf("%d connections, %d zones: shares add up to %d, want at most %d", tc.maxConns, tc.zones, sum, most)
		}
	}
}

// limitedDialer opens a number of connections and refuses more.
type limitedDialer struct{ open, limit, dials int }

func (d *limitedDialer) Dial(_ context.Context, t Target) (Conn, error) {
	d.dials++
	if d.open >= d.limit {
		return nil, fault(TooManyConns, "too many connections")
	}
	d.open++
	return &countedConn{dialer: d}, nil
}

type countedConn struct {
	aliveConn
	dialer *limitedDialer
}

func (c *countedConn) Close() error {
	c.dialer.open--
	return nil
}

// TestFullServer guards against a customer that is refused because the server accepts no more
// connections, while connections of others are idle here, and against closing the one that is used most.
func TestFullServer(t *testing.T) {
	now := time.Unix(1000, 0)
	d := &limitedDialer{limit: 2}
	m := newMember(t.Context(), d, roster.Entry{ID: "m1", Slots: 5}, 5, func() time.Time { return now })
	m.updateLag = func(*member, group.Position) {}
	m.setShare(5, true, true)
	use := func(customer string) error {
		c, err := m.borrow(t.Context(), admissionRequest{caller: customer, customer: customer, startBy: now.Add(time.Second)})
		if err == nil {
			m.put(c, true)
		}
		now = now.Add(200 * time.Millisecond)
		return err
	}
	for _, customer := range []string{"large", "large", "large", "small", "new", "large"} {
		if err := use(customer); err != nil {
			t.Errorf("%s: %v", customer, err)
		}
	}
	if d.dials != 4 { // large, small, and new twice
		t.Errorf("%d dials, want 4", d.dials)
	}
}
