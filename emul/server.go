package emul

import (
	"context"
	"math/rand/v2"
	"net"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

// Serve runs the member on l until ctx ends or l fails. It waits for all
// sessions. Serving again on another listener continues with the kept data, as
// a process does that restarts with its disk.
func (m *Member) Serve(ctx context.Context, l net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.restart()
	stop := context.AfterFunc(ctx, func() {
		l.Close()
		m.closeConns()
	})
	defer stop()
	var wg conc.WaitGroup
	wg.Go(func() { m.applyLoop(ctx) })
	wg.Go(func() { m.replicate(ctx) })
	err := m.acceptLoop(ctx, l, &wg)
	ended := ctx.Err() != nil
	cancel()
	wg.Wait()
	m.Thaw()
	if ended {
		return nil
	}
	return err
}

// restart forgets what a process keeps only in memory. The confirmation round
// keeps its value, so that a replica cannot answer a round with an old number.
func (m *Member) restart() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.acks = make(map[string]ack)
	m.locks = make(map[rowKey]*txn)
	m.notify()
}

func (m *Member) acceptLoop(ctx context.Context, l net.Listener, wg *conc.WaitGroup) error {
	for {
		nc, err := l.Accept()
		if err != nil {
			return eris.Wrap(err, "accept")
		}
		c, ok := m.adopt(ctx, nc)
		if !ok {
			continue
		}
		wg.Go(func() { m.serveConn(ctx, c) })
	}
}

// serveConn runs one session. Its errors concern only this connection and end
// with it.
func (m *Member) serveConn(ctx context.Context, c *conn) {
	defer m.disown(c)
	s := newSession(m, c)
	defer s.close()
	if err := s.startup(ctx); err != nil {
		return
	}
	for s.serve(ctx) == nil {
	}
}

// register admits the session under the connection limit and gives it the key
// for cancel requests.
func (m *Member) register(s *session) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !s.privileged && m.callers >= m.maxConns {
		return errTooMany
	}
	if !s.privileged {
		m.callers++
	}
	m.lastPID++
	s.pid, s.secret = m.lastPID, rand.Uint32()
	m.sessions[s.pid] = s
	return nil
}

func (m *Member) unregister(s *session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sessions[s.pid] != s {
		return
	}
	delete(m.sessions, s.pid)
	if !s.privileged {
		m.callers--
	}
}

// cancelSession cancels the running statement of the session with this key.
func (m *Member) cancelSession(pid, secret uint32) {
	m.mu.Lock()
	s := m.sessions[pid]
	m.mu.Unlock()
	if s != nil && s.secret == secret {
		s.cancelStatement()
	}
}
