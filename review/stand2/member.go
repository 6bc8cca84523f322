package main

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"
)

// member is a backend server, which speaks the line protocol. Callers reach it through a
// relay, whose address it announces.
type member struct {
	g    *group
	id   string
	zone string
	born int64
	l    net.Listener
	way  *relay
	work func(id string) time.Duration       // of a statement of a requester
	ran  func(id, who string, log []*commit) // is told of each statement that it runs, and on which log
	// firstAck, if set, is called when the first heartbeat is acknowledged.
	firstAck func()
	drainAck func() // likewise for the first one that says it is draining

	slots  chan struct{}
	urgent chan struct{} // a heartbeat is due

	// The lock of the group guards the fields below.
	receivesFrom time.Time        // it receives nothing before
	held, shown  int              // commits of the log of the group that it has received, and applied
	branch       []*commit        // its own log, if a promotion has discarded a part of it and it does not know yet
	deaf         bool             // it receives nothing
	cutFrom      map[*member]bool // members that it does not reach
	pausedTerm   int              // 0 if it receives
	down         bool
	draining     bool
	seq          int
	conns        int
}

// addMember starts a member. It receives commits from the given time on.
func (g *group) addMember(id, zone string, receivesFrom time.Time, work func(string) time.Duration, ran func(id, who string, log []*commit)) (*member, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	way, err := newRelay(l.Addr().String())
	if err != nil {
		return nil, err
	}
	m := &member{
		g: g, id: id, zone: zone, born: time.Now().UnixMilli(), l: l, way: way, work: work, ran: ran,
		slots: make(chan struct{}, g.kind.slots), urgent: make(chan struct{}, 1), receivesFrom: receivesFrom,
	}
	g.mu.Lock()
	g.members = append(g.members, m)
	g.mu.Unlock()
	go m.accept()
	return m, nil
}

func (m *member) accept() {
	for {
		nc, err := m.l.Accept()
		if err != nil {
			return
		}
		go m.serve(nc)
	}
}

// announce makes the next heartbeat due at once.
func (m *member) announce() {
	select {
	case m.urgent <- struct{}{}:
	default:
	}
}

// setDown makes the member crash, or come back with its log.
func (m *member) setDown(down bool) {
	m.g.mu.Lock()
	m.down = down
	if !down {
		m.born, m.seq, m.pausedTerm = time.Now().UnixMilli(), 0, 0
	}
	m.g.mu.Unlock()
	if down {
		m.way.reset()
	}
	m.announce()
}

// stop ends the member.
func (m *member) stop() {
	m.g.mu.Lock()
	m.down = true
	m.g.mu.Unlock()
	_ = m.l.Close()
	m.way.close()
}

// memberConn is the state of a connection at a member.
type memberConn struct {
	m        *member
	who      string
	values   map[string]string
	prepared map[string]string
	tx       bool
	failed   bool
	readOnly bool
	writes   []string
	term     int // in which the transaction began
}

func (m *member) serve(nc net.Conn) {
	defer nc.Close()
	g := m.g
	r := bufio.NewReader(nc)
	line, err := r.ReadString('\n')
	words := strings.Fields(line)
	if err != nil || len(words) < 3 || words[0] != "CONNECT" {
		return
	}
	g.mu.Lock()
	m.conns++
	full, down := m.conns > g.kind.maxConns, m.down
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		m.conns--
		g.mu.Unlock()
	}()
	switch {
	case down:
		return
	case words[1] != g.name || len(words) > 3 && words[3] != m.id:
		_, _ = fmt.Fprintf(nc, "FAULT MOVED %s\r\n", m.id)
		return
	case full:
		_, _ = fmt.Fprintf(nc, "FAULT MAXCONN %s\r\n", m.id)
		return
	}
	m.slots <- struct{}{}
	time.Sleep(g.kind.handshake)
	<-m.slots
	c := &memberConn{m: m, who: words[2], values: map[string]string{}, prepared: map[string]string{}}
	g.mu.Lock()
	out := c.ready()
	g.mu.Unlock()
	if _, err := nc.Write([]byte(out)); err != nil {
		return
	}
	for {
		line, err := r.ReadString('\n')
		if err != nil || c.isDown() {
			return
		}
		line = strings.TrimSuffix(line, "\r\n")
		out := c.answer(line)
		if out == "" {
			return
		}
		if _, err := nc.Write([]byte(out)); err != nil {
			return
		}
	}
}

func (c *memberConn) isDown() bool {
	c.m.g.mu.Lock()
	defer c.m.g.mu.Unlock()
	return c.m.down
}

// ready returns the READY message. The caller holds the lock of the group.
func (c *memberConn) ready() string {
	state := "I"
	switch {
	case c.failed:
		state = "E"
	case c.tx:
		state = "T"
	}
	g := c.m.g
	return "READY " + state + " " + positionOf(g.applied(c.m)) + "\r\n"
}

// answer runs a query and returns its answer, or "" if the connection ends.
func (c *memberConn) answer(line string) string {
	word, rest, _ := strings.Cut(line, " ")
	id, text, _ := strings.Cut(rest, " ")
	if word != "QUERY" || text == "" {
		return ""
	}
	g := c.m.g
	waitFor := ""
	if after, ok := strings.CutPrefix(text, "WAITLSN "); ok {
		waitFor, text, _ = strings.Cut(after, " ")
	}
	if waitFor != "" && !c.await(waitFor) {
		g.mu.Lock()
		defer g.mu.Unlock()
		return c.fault("LAGGING") + c.ready()
	}
	if id != "-" && (strings.HasPrefix(text, "FETCH ") || strings.HasPrefix(text, "STORE ") || strings.HasPrefix(text, "EXECUTE ") || text == "COMMIT") {
		c.m.slots <- struct{}{}
		if text != "COMMIT" {
			time.Sleep(c.m.work(id))
		}
		<-c.m.slots
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.m.down {
		return ""
	}
	out, made := c.run(id, text)
	if made != nil && !g.confirm(c.m, made) {
		return ""
	}
	return out + c.ready()
}

// await waits until the member has applied a position, and reports false if it has not received it.
func (c *memberConn) await(position string) bool {
	termText, numberText, _ := strings.Cut(position, ".")
	term, _ := strconv.Atoi(termText)
	number, _ := strconv.Atoi(numberText)
	g := c.m.g
	g.mu.Lock()
	defer g.mu.Unlock()
	has := func(log []*commit) bool {
		return number == 0 || slices.ContainsFunc(log, func(e *commit) bool { return e.term == term && e.number == number })
	}
	for has(g.received(c.m)) && !c.m.down {
		if has(g.applied(c.m)) {
			return true
		}
		g.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
		g.mu.Lock()
	}
	return false
}

func (c *memberConn) fault(code string) string {
	c.failed = c.tx
	return "FAULT " + code + " " + c.m.id + "\r\n"
}

const unsigned = "COMPLETE -\r\n"

// run executes a statement and returns the answer without READY, and the commit that it made.
// The caller holds the lock of the group.
func (c *memberConn) run(id, text string) (string, *commit) {
	words := strings.Split(text, " ")
	g, m := c.m.g, c.m
	if c.failed && words[0] != "ROLLBACK" {
		return "FAULT MALFORMED the transaction failed\r\n", nil
	}
	switch words[0] {
	case "BEGIN":
		if len(words) == 1 && m != g.primary {
			return c.fault("READONLY"), nil
		}
		c.tx, c.readOnly, c.writes, c.term = true, len(words) > 1, nil, g.term
	case "ROLLBACK":
		c.tx, c.failed, c.writes = false, false, nil
	case "COMMIT":
		return c.commit(id)
	case "SET":
		c.values[words[1]] = strings.Join(words[2:], " ")
	case "PARSE":
		c.prepared[words[1]] = strings.Join(words[2:], " ")
	case "CLOSE":
		delete(c.prepared, words[1])
	case "DISCARD":
		c.values, c.prepared = map[string]string{}, map[string]string{}
	case "FETCH":
		return c.statement(id, false)
	case "STORE":
		return c.statement(id, true)
	case "EXECUTE":
		shape, ok := c.prepared[words[1]]
		if !ok {
			return c.fault("NOSTMT"), nil
		}
		return c.statement(id, strings.HasPrefix(shape, "STORE"))
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return c.status(words), nil
	default:
		return c.fault("MALFORMED"), nil
	}
	return unsigned, nil
}

func (c *memberConn) leads() bool { return c.m == c.m.g.primary && c.term == c.m.g.term }

func (c *memberConn) statement(id string, writes bool) (string, *commit) {
	g, m := c.m.g, c.m
	if c.tx && !c.readOnly && !c.leads() || writes && (m != g.primary || c.tx && c.readOnly) {
		return c.fault("READONLY"), nil
	}
	m.ran(id, c.who, g.applied(m))
	out := "DATA row-" + id + "\r\nCOMPLETE " + m.id + ":" + id + "\r\n"
	switch {
	case writes && c.tx:
		c.writes = append(c.writes, id)
	case writes:
		return out, g.append([]string{id})
	}
	return out, nil
}

func (c *memberConn) commit(id string) (string, *commit) {
	writes, leads := c.writes, c.leads()
	c.tx, c.writes = false, nil
	switch {
	case len(writes) > 0 && !leads:
		return "FAULT READONLY " + c.m.id + "\r\n", nil
	case len(writes) > 0:
		return "COMPLETE " + c.m.id + ":" + id + "\r\n", c.m.g.append(writes)
	}
	return "COMPLETE " + c.m.id + ":" + id + "\r\n", nil
}

// status executes STATUS, PAUSE, RESUME or STEPDOWN.
func (c *memberConn) status(words []string) string {
	g, m := c.m.g, c.m
	received := positionOf(g.received(m))
	term := 0
	if len(words) > 1 {
		term, _ = strconv.Atoi(words[1])
	}
	switch words[0] {
	case "PAUSE":
		if m != g.primary && term > g.term {
			m.pausedTerm = term
		}
	case "RESUME":
		m.pausedTerm = 0
	case "STEPDOWN":
		g.stepDown(m, term)
	}
	role := "replica"
	if m == g.primary {
		role = "primary"
	}
	if words[0] != "STATUS" {
		g.rec.add("%s at member %s by %s: %s, received %s, paused for term %d", strings.Join(words, " "), m.id, c.who, role, received, m.pausedTerm)
	}
	return fmt.Sprintf("DATA %s %d %s %d %d %d %d\r\n%s", role, g.term, received, m.pausedTerm, g.kind.apply.Milliseconds(), len(m.slots), m.conns, unsigned)
}
