package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	// unreachableTimeout is how long a member keeps a connection whose other end is unreachable.
	unreachableTimeout = 3 * time.Second
	statementTime      = 9 * time.Millisecond
)

// member is a backend server that speaks the line protocol. The lock of the group guards all
// fields below it.
type member struct {
	group *group
	addr  string
	zone  string
	site  *site
	wake  chan struct{} // sends a heartbeat at once

	id         string
	born       int64
	seq        int
	down       bool
	received   int // commits of the log
	applied    int
	pausedTerm int
	cut        map[string]bool // instances that are partitioned from it
	conns      map[net.Conn]bool
	listener   net.Listener
}

func (m *member) listen() error {
	l, err := net.Listen("tcp4", m.addr)
	if err != nil {
		return err
	}
	m.group.mu.Lock()
	m.listener = l
	m.group.mu.Unlock()
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go m.serve(nc)
		}
	}()
	return nil
}

// crashLocked ends the member: its connections and its port answer with a reset.
func (m *member) crashLocked() {
	m.down = true
	_ = m.listener.Close()
	for nc := range m.conns {
		if tc, ok := nc.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
		_ = nc.Close()
	}
}

// comeBack starts a crashed member with its log, as a replica if another one was promoted.
func (m *member) comeBack() error {
	m.group.mu.Lock()
	m.down, m.born, m.seq, m.pausedTerm = false, time.Now().UnixMilli(), 0, 0
	m.received = min(m.received, len(m.group.log))
	m.applied = m.received
	m.group.mu.Unlock()
	m.roleChanged() // announces its start
	return m.listen()
}

// setCut partitions instances from the member; the empty list heals all.
func (m *member) setCut(instances ...string) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.cut = map[string]bool{}
	for _, name := range instances {
		m.cut[name] = true
	}
}

func (m *member) isCut(instance string) bool {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return m.cut[instance]
}

func (m *member) roleChanged() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// conn is a connection of an instance at a member.
type conn struct {
	m        *member
	nc       net.Conn
	instance string
	inTx     bool
	failed   bool
	readOnly bool
	txTerm   int
	writes   []string
}

func (m *member) serve(nc net.Conn) {
	defer nc.Close()
	m.group.mu.Lock()
	m.conns[nc] = true
	full := len(m.conns) > m.group.maxConns
	m.group.mu.Unlock()
	defer func() {
		m.group.mu.Lock()
		delete(m.conns, nc)
		m.group.mu.Unlock()
	}()
	r, c := bufio.NewReaderSize(nc, 64<<10), &conn{m: m, nc: nc}
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimSuffix(line, "\r\n")
		words := strings.Fields(line)
		if len(words) > 2 && words[0] == "CONNECT" {
			c.instance = words[2]
		}
		if !c.awaitPath() {
			return
		}
		if len(words) > 2 && words[1] == "-" && m.takeLate(words[2]) {
			_, _ = r.ReadString('\n') // until the other end gives up
			return
		}
		out, end := c.answer(words, full)
		if !c.awaitPath() {
			return
		}
		if _, err := nc.Write([]byte(out)); err != nil || end {
			return
		}
	}
}

// awaitPath waits while the instance is partitioned from the member. It returns false if the
// connection has ended meanwhile, so that what was on the way is lost.
func (c *conn) awaitPath() bool {
	if !c.m.isCut(c.instance) {
		return true
	}
	start := time.Now()
	for c.m.isCut(c.instance) {
		if time.Since(start) > unreachableTimeout {
			return false
		}
		time.Sleep(5 * time.Millisecond)
	}
	return !closedByPeer(c.nc)
}

func closedByPeer(nc net.Conn) bool {
	tc, ok := nc.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tc.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = rerr == nil && n == 0 || rerr != nil && rerr != syscall.EAGAIN
	})
	return closed || err != nil
}

const completeUnsigned = "COMPLETE -\r\n"

func (c *conn) answer(words []string, full bool) (out string, end bool) {
	g := c.m.group
	switch {
	case len(words) < 3 || words[0] != "CONNECT" && words[0] != "QUERY":
		return "", true
	case words[0] == "CONNECT":
		g.mu.Lock()
		defer g.mu.Unlock()
		switch {
		case words[1] != g.name || len(words) > 3 && words[3] != c.m.id:
			return "FAULT MOVED " + c.m.id + "\r\n", true
		case full:
			return "FAULT MAXCONN " + c.m.id + "\r\n", true
		}
		return c.ready(), false
	}
	id, words := words[1], words[2:]
	if id != "-" {
		time.Sleep(statementTime)
	}
	if words[0] == "WAITLSN" && len(words) > 2 {
		if !c.waitApplied(words[1]) {
			g.mu.Lock()
			defer g.mu.Unlock()
			return c.fault("LAGGING") + c.ready(), false
		}
		words = words[2:]
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.m.down {
		return "", true
	}
	out, last := c.run(id, words)
	if last != nil {
		if !c.awaitConfirmed(last) {
			return "", true
		}
	}
	return out + c.ready(), false
}

// waitApplied waits until the member has applied a position. It returns false if its log lacks it.
func (c *conn) waitApplied(position string) bool {
	g := c.m.group
	_, offsetText, _ := strings.Cut(position, ".")
	offset, _ := strconv.Atoi(offsetText)
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		g.mu.Lock()
		has := offset == 0 || offset <= c.m.received && g.log[offset-1].position() == position
		applied := c.m.applied >= offset
		g.mu.Unlock()
		if !has || applied {
			return has
		}
	}
	return false
}

// awaitConfirmed waits until the replicas that a commit needs have received it. The lock of the
// group is held, and released meanwhile.
func (c *conn) awaitConfirmed(last *commit) bool {
	g := c.m.group
	for !g.confirmed(last) {
		if c.m.down || g.primary != c.m || !g.inLog(last) {
			return false
		}
		g.mu.Unlock()
		time.Sleep(200 * time.Microsecond)
		g.mu.Lock()
	}
	return !c.m.down && g.primary == c.m && g.inLog(last)
}

func (c *conn) ready() string {
	state := "I"
	switch {
	case c.failed:
		state = "E"
	case c.inTx:
		state = "T"
	}
	position := "1.0"
	if n := c.m.applied; n > 0 {
		position = c.m.group.log[n-1].position()
	}
	return "READY " + state + " " + position + "\r\n"
}

func (c *conn) fault(code string) string {
	c.failed = c.inTx
	return "FAULT " + code + " " + c.m.id + "\r\n"
}

// run runs a statement. It returns the commit that the answer waits for, if any. The lock of the
// group is held.
func (c *conn) run(id string, words []string) (string, *commit) {
	g := c.m.group
	leads := c.m == g.primary
	signed := "COMPLETE " + c.m.id + "." + id + "\r\n"
	if c.failed && words[0] != "ROLLBACK" && words[0] != "COMMIT" {
		return "FAULT MALFORMED the transaction has failed\r\n", nil
	}
	switch words[0] {
	case "BEGIN":
		if len(words) == 1 && !leads {
			return c.fault("READONLY"), nil
		}
		c.inTx, c.failed, c.readOnly, c.txTerm, c.writes = true, false, len(words) > 1, g.term, nil
	case "ROLLBACK":
		c.inTx, c.failed, c.writes = false, false, nil
	case "COMMIT":
		writes, failed := c.writes, c.failed || len(c.writes) > 0 && (!leads || c.txTerm != g.term)
		c.inTx, c.failed, c.writes = false, false, nil
		if failed {
			return "FAULT READONLY " + c.m.id + "\r\n", nil
		}
		if len(writes) > 0 {
			return signed, c.commit(strings.Join(writes, "+"))
		}
		return signed, nil
	case "FETCH":
		if c.inTx && !c.readOnly && (!leads || c.txTerm != g.term) {
			return c.fault("READONLY"), nil
		}
		g.rec.add("run %s at %s: %s", id, c.m.id, words[0])
		return "DATA row\r\n" + signed, nil
	case "STORE":
		if !leads || c.readOnly && c.inTx || c.inTx && c.txTerm != g.term {
			return c.fault("READONLY"), nil
		}
		g.rec.add("run %s at %s: %s", id, c.m.id, words[0])
		if c.inTx {
			c.writes = append(c.writes, id)
			return "DATA row\r\n" + signed, nil
		}
		return "DATA row\r\n" + signed, c.commit(id)
	case "STATUS", "STEPDOWN", "PAUSE", "RESUME":
		return c.status(words), nil
	}
	return completeUnsigned, nil
}

func (c *conn) commit(id string) *commit {
	last := c.m.group.add(id)
	c.m.group.rec.add("committed %s at %s as %s", id, c.m.id, last.position())
	return last
}

// status runs STATUS, STEPDOWN, PAUSE or RESUME.
func (c *conn) status(words []string) string {
	g, m := c.m.group, c.m
	term := 0
	if len(words) > 1 {
		term, _ = strconv.Atoi(words[1])
	}
	switch {
	case words[0] == "RESUME":
		m.pausedTerm = 0
	case words[0] == "PAUSE" && term > g.term && m != g.primary:
		m.pausedTerm = term
	case words[0] == "STEPDOWN" && term > g.term && m == g.primary:
		m.received, m.applied, g.primary = len(g.log), len(g.log), nil
		m.roleChanged()
	}
	role, position := "replica", "1.0"
	if m == g.primary {
		role = "primary"
	}
	if m.received > 0 {
		position = g.log[m.received-1].position()
	}
	row := fmt.Sprintf("%s %d %s %d %d 0 %d", role, g.term, position, m.pausedTerm, meanApplyLag.Milliseconds(), len(m.conns))
	g.rec.add("%s asks %s: %s -> %s", c.instance, m.id, strings.Join(words, " "), row)
	return "DATA " + row + "\r\n" + completeUnsigned
}

// sendHeartbeats reports the member to control until stop is closed. A call that fails goes to the
// next instance.
func (m *member) sendHeartbeats(stop <-chan struct{}) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	next := 0
	for {
		m.group.mu.Lock()
		m.seq++
		role := "replica"
		if m == m.group.primary {
			role = "primary"
		}
		body, _ := json.Marshal(map[string]any{
			"backend": m.group.name, "address": m.addr, "zone": m.zone, "version": "v1", "slots": 5, "state": "ready",
			"cold_left_ms": 0, "db_role": role, "seq": m.seq, "born": m.born,
		})
		down, id := m.down, m.id
		m.group.mu.Unlock()
		if !down {
			m.site.listMu.Lock()
			controls := m.site.controls
			m.site.listMu.Unlock()
			for range controls {
				n := controls[next%len(controls)]
				if !m.isCut(n.name) {
					resp, err := client.Post("http://"+n.ip+controlPort+"/api/instances/"+id+"/heartbeat", "application/json", bytes.NewReader(body))
					if err == nil {
						_ = resp.Body.Close()
					}
					if err == nil && resp.StatusCode/100 == 2 {
						m.group.rec.add("heartbeat %d of %s (%s) acknowledged by %s", m.seq, id, role, n.name)
						break
					}
				}
				next++
			}
		}
		select {
		case <-stop:
			return
		case <-m.wake:
		case <-time.After(heartbeatInterval):
		}
	}
}
