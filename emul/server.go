package emul

import (
	"context"
	"math/rand/v2"
	"net"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

// Serve runs the member on l until ctx ends or l fails, and waits until all sessions
// have ended. The data is kept: serving again, also on another listener, is like the
// restart of a process with its disk.
func (m *Member) Serve(ctx context.Context, l net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.resetVolatileState()
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

// resetVolatileState drops what a process keeps only in memory. The confirmation
// round keeps its value, so that a replica cannot confirm a new round with an old
// number.
func (m *Member) resetVolatileState() {
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
		c, ok := m.trackConn(ctx, nc)
		if !ok {
			continue
		}
		wg.Go(func() { m.serveConn(ctx, c) })
	}
}

// serveConn runs one session. Its errors affect only this connection and end it.
func (m *Member) serveConn(ctx context.Context, c *conn) {
	defer m.closeConn(c)
	s := newSession(m, c)
	defer s.close()
	if err := s.startup(ctx); err != nil {
		return
	}
	for s.serveMessage(ctx) == nil {
	}
}

// register adds the session unless the connection limit is reached, and sets its
// process ID and the secret key for cancel requests.
func (m *Member) register(s *session) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !s.privileged && m.callerSessions >= m.maxConns {
		return errTooManyConns
	}
	if !s.privileged {
		m.callerSessions++
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
		m.callerSessions--
	}
}

// cancelSession cancels the running statement of the session with this process ID
// and secret key.
func (m *Member) cancelSession(pid, secret uint32) {
	m.mu.Lock()
	s := m.sessions[pid]
	m.mu.Unlock()
	if s != nil && s.secret == secret {
		s.cancelStatement()
	}
}
