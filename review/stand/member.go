package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// service stands in for a database: a primary and its replicas with one log. Replicas receive
// a commit at once and apply it after lag.
type service struct {
	s        *site
	name     string
	slots    int
	maxConns int
	sync     int           // replicas that must have received a commit before it is acknowledged
	work     time.Duration // of a read, a write or a commit
	lag      time.Duration // after which a replica applies what it has received

	mu      sync.Mutex
	term    int
	token   int
	log     []logEntry
	members []*member
	primary *member
}

type logEntry struct {
	term int
	at   time.Time
	ids  []string // of the writes
}

// linkDelay is the way of a commit to a replica in another zone.
const linkDelay = 500 * time.Microsecond

// member stands in for one server of a service.
type member struct {
	svc   *service
	id    string
	zone  string
	l     net.Listener
	slots chan struct{}
	born  int64
	seq   int
	conns int
	recv  int             // commits of the log that it has received
	deaf  bool            // it receives nothing
	cut   map[string]bool // machines from which it is partitioned, by name
}

func (m *member) isCut(name string) bool {
	m.svc.mu.Lock()
	defer m.svc.mu.Unlock()
	return m.cut[name]
}

// receive lets a replica receive the log up to the commit n.
func (m *member) receive(n int) {
	v := m.svc
	v.mu.Lock()
	defer v.mu.Unlock()
	if m != v.primary && !m.deaf {
		m.recv = max(m.recv, min(n, len(v.log)))
	}
}

// setDeaf makes a replica receive nothing, or receive again what it lacks.
func (m *member) setDeaf(deaf bool) {
	v := m.svc
	v.mu.Lock()
	defer v.mu.Unlock()
	m.deaf = deaf
	if !deaf && m != v.primary {
		m.recv = len(v.log)
	}
}

// startService starts a service with a member in each zone.
func (s *site) startService(name string, slots, maxConns, syncReplicas int, work, lag time.Duration) (*service, error) {
	v := &service{s: s, name: name, slots: slots, maxConns: maxConns, sync: syncReplicas, work: work, lag: lag, term: 3}
	for i, zone := range s.zones {
		s.lastIP++
		l, err := net.Listen("tcp4", s.net+strconv.Itoa(s.lastIP)+":8080")
		if err != nil {
			return nil, err
		}
		m := &member{svc: v, id: fmt.Sprintf("i-%s-%d", name, i), zone: zone, l: l, slots: make(chan struct{}, slots), born: time.Now().UnixMilli()}
		v.members = append(v.members, m)
		go m.accept()
		go m.beat()
	}
	v.primary = v.members[0]
	return v, nil
}

// beat sends the heartbeats of the member.
func (m *member) beat() {
	client := &http.Client{Timeout: time.Second}
	for {
		m.svc.mu.Lock()
		m.seq++
		role := "replica"
		if m.svc.primary == m {
			role = "primary"
		}
		body, _ := json.Marshal(map[string]any{
			"backend": m.svc.name, "address": m.l.Addr().String(), "zone": m.zone, "version": "v1", "slots": m.svc.slots, "state": "ready",
			"cold_left_ms": 0, "db_role": role, "seq": m.seq, "born": m.born,
		})
		m.svc.mu.Unlock()
		for _, c := range m.svc.s.core {
			if m.isCut(c.name) {
				continue
			}
			r, err := client.Post("http://"+c.ip+":"+controlPort+"/api/instances/"+m.id+"/heartbeat", "application/json", bytes.NewReader(body))
			if err != nil {
				continue
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_ = r.Body.Close()
			if r.StatusCode/100 == 2 {
				break
			}
		}
		time.Sleep(1200 * time.Millisecond)
	}
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

// conn is the state of one connection to a member.
type conn struct {
	m        *member
	w        *bufio.Writer
	state    string // I, T or E
	readOnly bool
	writes   []string // IDs of the writes of the transaction
	lost     bool     // the connection ends without an answer
	user     string
	values   map[string]string
	prepared map[string]string
}

func (m *member) serve(nc net.Conn) {
	defer nc.Close()
	v := m.svc
	r := bufio.NewReaderSize(nc, 4<<10)
	c := &conn{m: m, w: bufio.NewWriter(nc), state: "I", values: map[string]string{}, prepared: map[string]string{}}
	line, err := r.ReadString('\n')
	f := strings.Fields(line)
	if err != nil || len(f) < 3 || f[0] != "CONNECT" {
		return
	}
	if f[1] != v.name || len(f) > 3 && f[3] != m.id {
		fmt.Fprintf(nc, "FAULT MOVED %s\r\n", m.id)
		return
	}
	c.user = f[2]
	if m.isCut(c.user) {
		m.hold(nc, c.user)
		return
	}
	v.mu.Lock()
	full := m.conns >= v.maxConns
	if !full {
		m.conns++
	}
	v.mu.Unlock()
	if full {
		fmt.Fprint(nc, "FAULT MAXCONN full\r\n")
		return
	}
	defer func() {
		v.mu.Lock()
		m.conns--
		v.mu.Unlock()
	}()
	c.ready()
	for {
		if r.Buffered() == 0 {
			if c.w.Flush() != nil {
				return
			}
		}
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		if m.isCut(c.user) {
			m.hold(nc, c.user)
			return
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		if c.query(id, text); c.lost || m.isCut(c.user) {
			return
		}
	}
}

// hold keeps a connection silent while its machine is partitioned from the member.
func (m *member) hold(nc net.Conn, user string) {
	for m.isCut(user) {
		time.Sleep(20 * time.Millisecond)
	}
	_ = nc.Close()
}

// position returns what the member has applied. The caller holds the lock of the service.
func (m *member) position() int {
	if m == m.svc.primary {
		return len(m.svc.log)
	}
	n := m.recv
	for n > 0 && time.Since(m.svc.log[n-1].at) < m.svc.lag {
		n--
	}
	return n
}

func (c *conn) ready() {
	v := c.m.svc
	v.mu.Lock()
	n := c.m.position()
	term := v.term
	v.mu.Unlock()
	fmt.Fprintf(c.w, "READY %s %d.%d\r\n", c.state, term, n)
}

func (c *conn) fault(text string) {
	if c.state == "T" {
		c.state = "E"
	}
	fmt.Fprintf(c.w, "FAULT %s\r\n", text)
	c.ready()
}

func (c *conn) complete(id string, rows ...string) {
	for _, row := range rows {
		fmt.Fprintf(c.w, "DATA %s\r\n", row)
	}
	signature := "-"
	if id != "-" {
		signature = "7." + id
	}
	fmt.Fprintf(c.w, "COMPLETE %s\r\n", signature)
	c.ready()
}

// awaitPosition waits for the position of WAITLSN. It returns false if the log lacks it.
func (c *conn) awaitPosition(at string) bool {
	_, number, _ := strings.Cut(at, ".")
	want, _ := strconv.Atoi(number)
	v := c.m.svc
	for {
		v.mu.Lock()
		has, applied := c.m.recv >= want || c.m == v.primary && len(v.log) >= want, c.m.position() >= want
		v.mu.Unlock()
		if !has || applied {
			return has
		}
		time.Sleep(time.Millisecond)
	}
}

func (c *conn) isPrimary() bool {
	c.m.svc.mu.Lock()
	defer c.m.svc.mu.Unlock()
	return c.m.svc.primary == c.m
}

// run takes a slot for the time of the work.
func (c *conn) run() {
	c.m.slots <- struct{}{}
	if c.m.svc.work > 0 {
		time.Sleep(c.m.svc.work)
	}
	<-c.m.slots
}

func (c *conn) query(id, text string) {
	f := strings.Fields(text)
	if len(f) >= 3 && f[0] == "WAITLSN" {
		if !c.awaitPosition(f[1]) {
			c.fault("LAGGING " + f[1])
			return
		}
		f = f[2:]
	}
	if len(f) == 0 {
		c.fault("MALFORMED empty")
		return
	}
	if c.state == "E" && f[0] != "ROLLBACK" {
		c.fault("MALFORMED the transaction failed")
		return
	}
	switch f[0] {
	case "BEGIN":
		c.readOnly = len(f) > 1
		if !c.readOnly && !c.isPrimary() {
			c.fault("READONLY " + c.m.id)
			return
		}
		c.state, c.writes = "T", nil
		c.complete("-")
	case "ROLLBACK":
		c.state = "I"
		c.complete("-")
	case "COMMIT":
		c.run()
		if len(c.writes) > 0 && !c.commit(c.writes...) {
			return
		}
		c.state = "I"
		c.complete(id)
	case "FETCH":
		c.fetch(id, f[1])
	case "STORE":
		c.store(id)
	case "EXECUTE":
		kind, ok := c.prepared[f[1]]
		switch {
		case !ok:
			c.fault("NOSTMT " + f[1])
		case kind == "STORE":
			c.store(id)
		default:
			c.fetch(id, f[2])
		}
	case "SET":
		c.values[f[1]] = strings.Join(f[2:], " ")
		c.complete("-")
	case "PARSE":
		c.prepared[f[1]] = f[2]
		c.complete("-")
	case "CLOSE":
		delete(c.prepared, f[1])
		c.complete("-")
	case "DISCARD":
		c.values, c.prepared = map[string]string{}, map[string]string{}
		c.complete("-")
	case "STATUS", "STEPDOWN":
		v := c.m.svc
		v.mu.Lock()
		role := "replica"
		if v.primary == c.m {
			role = "primary"
		}
		row := fmt.Sprintf("%s %d %d.%d 0 0 %d %d", role, v.term, v.term, len(v.log), len(c.m.slots), c.m.conns)
		v.mu.Unlock()
		c.complete("-", row)
	default:
		c.fault("MALFORMED " + f[0])
	}
}

func (c *conn) fetch(id, item string) {
	c.run()
	c.complete(id, "row-"+item)
}

func (c *conn) store(id string) {
	switch {
	case !c.isPrimary() || c.readOnly && c.state == "T":
		c.fault("READONLY " + c.m.id)
	case c.state == "T":
		c.run()
		c.writes = append(c.writes, id)
		c.complete(id)
	default:
		c.run()
		if !c.commit(id) {
			return
		}
		c.complete(id)
	}
}

// commit appends a commit to the log if the member is the primary, and waits until as many
// replicas as the service wants have received it. It answers a commit that fails.
func (c *conn) commit(ids ...string) bool {
	v := c.m.svc
	v.mu.Lock()
	if v.primary != c.m {
		v.mu.Unlock()
		c.fault("READONLY " + c.m.id)
		return false
	}
	v.log = append(v.log, logEntry{term: v.term, at: time.Now(), ids: ids})
	n, term := len(v.log), v.term
	c.m.recv = n
	v.mu.Unlock()
	for _, r := range v.members {
		if r != c.m {
			time.AfterFunc(linkDelay, func() { r.receive(n) })
		}
	}
	for {
		v.mu.Lock()
		lost, received := v.term != term, 0
		for _, r := range v.members {
			if r != c.m && r.recv >= n {
				received++
			}
		}
		v.mu.Unlock()
		switch {
		case lost:
			c.lost = true // whether it is kept is not known here
			return false
		case received >= v.sync:
			return true
		}
		time.Sleep(200 * time.Microsecond)
	}
}
