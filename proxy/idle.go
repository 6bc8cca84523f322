package proxy

import (
	"context"
	"errors"
	"slices"
	"time"

	"tamarackcross/keep"
)

const (
	// connIdleTimeout is how long a connection may stay unused: half of the 60 s after
	// which the backend servers of the users close it.
	connIdleTimeout = 30 * time.Second
	// excessConnIdleTimeout replaces it while there are more idle connections than half
	// of the equal share. It is short so that other instances can open connections.
	excessConnIdleTimeout = time.Second
	// scarceConnIdleTimeout replaces it where there are too few connections for all
	// instances.
	scarceConnIdleTimeout = 300 * time.Millisecond
)

// takeIdle returns the idle connection of the customer that was used last, so that the others
// reach their idle timeout. It returns nil if there is none.
func (m *member) takeIdle(customer string) *backendConn {
	for {
		m.mu.Lock()
		n := len(m.idle) - 1
		for n >= 0 && m.idle[n].customer != customer {
			n--
		}
		if n < 0 {
			m.mu.Unlock()
			return nil
		}
		c := m.idle[n]
		m.idle = slices.Delete(m.idle, n, n+1)
		m.mu.Unlock()
		if c.Alive() {
			return c
		}
		_ = c.Close()
	}
}

// awaitSlot waits until the statement of a customer may run, so that the request takes no connection
// while it waits: at a load peak the requests that wait for a large customer would else leave no
// connections for the others. Without customers connections are interchangeable, and it returns at once.
func (m *member) awaitSlot(ctx context.Context, a admissionRequest) (permit, error) {
	if a.customer == "" {
		return permit{}, nil
	}
	a.expected = a.runs
	return m.statementQueue.acquire(ctx, a)
}

// makeRoom closes idle connections so that together with those in use there are no more than the
// quota allows: those whose customers are expected to need them last, or without customers the
// longest unused ones.
func (m *member) makeRoom() {
	inUse, _ := m.connQueue.usage()
	now := m.now()
	m.mu.Lock()
	if m.demand != nil {
		inUse = m.inUse
	}
	var closing []*backendConn
	for len(m.idle) > 0 && len(m.idle)+inUse > m.quota.limit {
		n := 0
		if m.demand != nil {
			n = m.demand.Victim(m.idleConns(), now)
		}
		closing = append(closing, m.idle[n])
		m.idle = slices.Delete(m.idle, n, n+1)
	}
	m.mu.Unlock()
	for _, c := range closing {
		_ = c.Close()
	}
}

// dialWeight is the weight of one dial in the moving average of their durations.
const dialWeight = 0.1

// recordDial records how long the opening of a connection took.
func (m *member) recordDial(took time.Duration) {
	m.use.recordDial(took)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.meanDial == 0 {
		m.meanDial = took
	}
	m.meanDial += time.Duration(dialWeight * float64(took-m.meanDial))
}

// dialDelay returns how long a request of the customer waits for its connection: 0 if one is idle here,
// or if there are no customers.
func (m *member) dialDelay(customer string) time.Duration {
	if customer == "" {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if slices.ContainsFunc(m.idle, func(c *backendConn) bool { return c.customer == customer }) {
		return 0
	}
	return m.meanDial
}

// replaceIdle closes the idle connection that is worth least if err says that the server accepts no
// more connections, and reports whether it did. Another one may then be opened in its place.
func (m *member) replaceIdle(err error) bool {
	var f *Fault
	if !errors.As(err, &f) || f.Code != TooManyConns {
		return false
	}
	now := m.now()
	m.mu.Lock()
	if m.demand == nil || len(m.idle) == 0 {
		m.mu.Unlock()
		return false
	}
	n := m.demand.Victim(m.idleConns(), now)
	c := m.idle[n]
	m.idle = slices.Delete(m.idle, n, n+1)
	m.noDialBefore = time.Time{}
	m.mu.Unlock()
	_ = c.Close()
	return true
}

// closeExpired closes connections that have reached their idle timeout.
func (m *member) closeExpired(now time.Time) {
	m.mu.Lock()
	var expired []*backendConn
	if m.demand != nil && m.keepIdle {
		m.demand.Forget(now)
		for _, n := range slices.Backward(m.demand.Expired(m.idleConns(), m.inUse, m.quota.share, now)) {
			expired = append(expired, m.idle[n])
			m.idle = slices.Delete(m.idle, n, n+1)
		}
	} else {
		expired = m.takeUnused(now)
	}
	m.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}

// takeUnused removes the connections that were unused for too long, whoever needs them next. The
// caller holds m.mu.
func (m *member) takeUnused(now time.Time) (expired []*backendConn) {
	limit := connIdleTimeout
	if len(m.idle) > (m.quota.share+1)/2 {
		limit = excessConnIdleTimeout
	}
	if !m.keepIdle {
		limit = scarceConnIdleTimeout
	}
	m.idle = slices.DeleteFunc(m.idle, func(c *backendConn) bool {
		if now.Sub(c.lastUsed) < limit {
			return false
		}
		expired = append(expired, c)
		return true
	})
	return expired
}

// idleConns describes the idle connections. The caller holds m.mu.
func (m *member) idleConns() []keep.Idle {
	out := make([]keep.Idle, len(m.idle))
	for i, c := range m.idle {
		out[i] = keep.Idle{Customer: c.customer, LastUsed: c.lastUsed}
	}
	return out
}

// recordBorrowed records that a request takes an idle connection, or opens one.
func (m *member) recordBorrowed(customer string, reused bool) {
	now := m.now()
	m.mu.Lock()
	m.inUse++
	if customer == "" {
		m.mu.Unlock()
		return
	}
	if m.demand == nil {
		m.demand = keep.New(keep.WithIdleLimit(connIdleTimeout))
	}
	rate := m.demand.Rate(customer, now)
	m.demand.Borrowed(customer, now)
	m.mu.Unlock()
	m.use.began(customer, sizeOf(rate), reused, now)
}

// recordReturned records that it gives the connection back, or could not open it.
func (m *member) recordReturned(customer string) {
	now := m.now()
	m.mu.Lock()
	m.inUse--
	if customer == "" {
		m.mu.Unlock()
		return
	}
	m.demand.Returned(customer, now)
	m.mu.Unlock()
	m.use.ended(customer, now)
	m.makeRoom() // the quota may have shrunk
}
