package proxy_test

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"tamarackcross/group"
	"tamarackcross/proxy"
)

// fakeGroup simulates the backend servers of one service. Commits reach the replicas
// when the script calls replicate.
type fakeGroup struct {
	mu      sync.Mutex
	members map[string]*fakeMember // by address, which is the name
	term    uint64
}

type fakeMember struct {
	group    *fakeGroup
	id       string
	primary  bool
	position group.Position
	executed []string
	conns    int
	// The faults to inject: the number of next statements whose answer is lost, of
	// those that fail before anything is sent, and of those that are rejected as
	// busy, and a server that does not answer at all.
	loseAnswers, failSends, rejectBusy int
	unreachable                        bool
	openConns, maxConns                int  // no limit if maxConns is 0
	panicNext                          bool // the next statement panics
}

// Dial opens a connection.
func (g *fakeGroup) Dial(_ context.Context, t proxy.Target) (proxy.Conn, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[t.Addr]
	switch {
	case m == nil || m.unreachable:
		return nil, os.ErrDeadlineExceeded
	case m.id != t.ID:
		return nil, &proxy.Fault{Code: proxy.Moved, Text: m.id}
	case m.maxConns > 0 && m.openConns >= m.maxConns:
		return nil, &proxy.Fault{Code: proxy.TooManyConns}
	}
	m.conns++
	m.openConns++
	return &fakeConn{m: m, customer: t.Customer, values: map[string]string{}, prepared: map[string]proxy.PreparedStatement{}, position: m.position}, nil
}

// promote makes a member the primary of the next term, at its current position.
func (g *fakeGroup) promote(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.term++
	for _, m := range g.members {
		m.primary = m.id == id
	}
}

// setTerm sets the term of the positions from now on.
func (g *fakeGroup) setTerm(t *testing.T, text string) {
	t.Helper()
	term, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.term = term
}

// replicate brings every replica to the position of the primary.
func (g *fakeGroup) replicate() {
	g.mu.Lock()
	defer g.mu.Unlock()
	var newest group.Position
	for _, m := range g.members {
		if m.primary {
			newest = m.position
		}
	}
	for _, m := range g.members {
		m.position = newest
	}
}

type fakeConn struct {
	m        *fakeMember
	customer string
	values   map[string]string
	prepared map[string]proxy.PreparedStatement
	inTx     bool
	readOnly bool
	wrote    bool
	broken   bool
	closed   bool
	position group.Position
}

func (c *fakeConn) Position() group.Position { return c.position }
func (c *fakeConn) Alive() bool              { return !c.broken && !c.closed }

func (c *fakeConn) Close() error {
	g := c.m.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if !c.closed {
		c.m.openConns--
	}
	c.closed = true
	return nil
}

// Exec runs the commands in order.
func (c *fakeConn) Exec(_ time.Duration, cmds ...proxy.Command) ([]proxy.Answer, error) {
	g := c.m.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.closed || c.broken {
		return nil, proxy.ErrNotSent
	}
	if _, ok := cmds[len(cmds)-1].(proxy.Run); ok && c.m.panicNext {
		c.m.panicNext = false
		panic("unexpected answer")
	}
	if c.m.unreachable {
		c.broken = true
		return nil, os.ErrDeadlineExceeded
	}
	out := make([]proxy.Answer, len(cmds))
	for i, cmd := range cmds {
		a, err := c.exec(cmd)
		if err != nil {
			c.broken = true
			return nil, err
		}
		a.Position = c.m.position
		switch {
		case c.inTx && a.Fault != nil:
			a.Status = proxy.FailedTx
		case c.inTx:
			a.Status = proxy.InTx
		}
		out[i] = a
	}
	c.position = c.m.position
	return out, nil
}

func faultAnswer(code proxy.Code) (proxy.Answer, error) {
	return proxy.Answer{Fault: &proxy.Fault{Code: code, Text: "fake"}}, nil
}

func (c *fakeConn) exec(cmd proxy.Command) (proxy.Answer, error) {
	switch cmd := cmd.(type) {
	case proxy.BeginTx:
		if !cmd.ReadOnly && !c.m.primary {
			return faultAnswer(proxy.ReadOnly)
		}
		if c.m.position.Less(cmd.After) {
			return faultAnswer(proxy.Lagging)
		}
		c.inTx, c.readOnly, c.wrote = true, cmd.ReadOnly, false
	case proxy.RollbackTx:
		c.inTx = false
	case proxy.SetValue:
		c.values[cmd.Name] = cmd.Value
	case proxy.PrepareStatement:
		c.prepared[cmd.Name] = cmd.Statement
	case proxy.Reset:
		clear(c.values)
		clear(c.prepared)
	case proxy.Run:
		return c.run(cmd.ID, cmd.Text, strings.HasPrefix(cmd.Text, "write"), cmd.After)
	case proxy.RunPrepared:
		stmt, ok := c.prepared[cmd.Name]
		if !ok {
			return faultAnswer(proxy.NoStatement)
		}
		return c.run(cmd.ID, stmt.Text+" "+cmd.Args, stmt.Writes, cmd.After)
	}
	return proxy.Answer{}, nil
}

func (c *fakeConn) run(id, text string, writes bool, after group.Position) (proxy.Answer, error) {
	m := c.m
	switch {
	case m.failSends > 0:
		m.failSends--
		return proxy.Answer{}, proxy.ErrNotSent
	case m.rejectBusy > 0:
		m.rejectBusy--
		return faultAnswer(proxy.Busy)
	case m.position.Less(after):
		return faultAnswer(proxy.Lagging)
	case (writes || c.inTx && !c.readOnly) && !m.primary:
		return faultAnswer(proxy.ReadOnly)
	}
	m.executed = append(m.executed, c.renderExecution(id, text))
	c.wrote = c.wrote || writes
	if text == "commit" {
		c.inTx = false
	}
	if c.wrote && !c.inTx {
		m.position = group.Position{Term: m.group.term, Offset: m.position.Offset + 1}
		c.wrote = false
	}
	if m.loseAnswers > 0 {
		m.loseAnswers--
		return proxy.Answer{}, os.ErrDeadlineExceeded
	}
	return proxy.Answer{Rows: [][]byte{[]byte(text)}, Signature: m.id + ":" + id}, nil
}

func (c *fakeConn) renderExecution(id, text string) string {
	out := id + " " + text
	if c.inTx {
		out += " tx"
	}
	for _, name := range slices.Sorted(maps.Keys(c.values)) {
		out += fmt.Sprintf(" %s=%s", name, c.values[name])
	}
	if c.customer != "" {
		out += " as " + c.customer
	}
	return out
}
