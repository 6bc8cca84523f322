package host

import (
	"slices"
	"sync"
	"time"

	"tamarackcross/roster"
)

// leavingReportPeriod is how long an entry tells control of a server that has been leaving for longer than
// control said: until the calls that are held now have ended.
const leavingReportPeriod = standbyWait + time.Second

// leavingMemory holds the servers that have been leaving for longer than a control instance said. All
// control instances may have been started again meanwhile, and then know only when they heard of it.
type leavingMemory struct {
	mu      sync.Mutex
	servers map[roster.Incarnation]leavingServer
}

type leavingServer struct {
	entry roster.Entry
	until time.Time
}

func newLeavingMemory() *leavingMemory {
	return &leavingMemory{servers: make(map[roster.Incarnation]leavingServer)}
}

// compare compares what a control instance sent with what the roster has after that.
func (m *leavingMemory) compare(sent []roster.Entry, t *roster.Table, now time.Time) {
	for _, e := range sent {
		if e.State != roster.Draining {
			continue
		}
		known := t.Members(e.Service)
		i := slices.IndexFunc(known, func(k roster.Entry) bool { return k.Incarnation() == e.Incarnation() })
		if i < 0 || now.Sub(known[i].LeavingSince)-e.LeavingFor <= roster.LeavingTolerance {
			continue
		}
		m.mu.Lock()
		m.servers[e.Incarnation()] = leavingServer{entry: known[i], until: now.Add(leavingReportPeriod)}
		m.mu.Unlock()
	}
}

// list returns the servers to tell control of.
func (m *leavingMemory) list(now time.Time) (out []roster.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, s := range m.servers {
		if now.After(s.until) {
			delete(m.servers, id)
			continue
		}
		out = append(out, s.entry.ForRelay(now))
	}
	return out
}
