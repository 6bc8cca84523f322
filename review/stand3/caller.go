package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// answerTimeout is how long a requester waits for an answer.
const answerTimeout = 3 * time.Second

// caller is a requester that opens sessions with entries.
type caller struct {
	site *site
	name string
	nc   net.Conn
	r    *bufio.Reader
	seq  int

	served, refused, doubtful atomic.Int64
}

func (c *caller) connect(e *proc, database string) error {
	nc, err := net.DialTimeout("tcp4", e.ip+frontPort, time.Second)
	if err != nil {
		return err
	}
	c.nc, c.r = nc, bufio.NewReaderSize(nc, 64<<10)
	line, err := c.line("CONNECT " + database + " " + c.name)
	if err == nil && !strings.HasPrefix(line, "READY") {
		err = fmt.Errorf("%s", line)
	}
	if err != nil {
		_ = nc.Close()
		c.nc = nil
	}
	return err
}

// line sends a message and returns the first line of the answer.
func (c *caller) line(message string) (string, error) {
	if err := c.nc.SetDeadline(time.Now().Add(answerTimeout)); err != nil {
		return "", err
	}
	if _, err := c.nc.Write([]byte(message + "\r\n")); err != nil {
		return "", err
	}
	line, err := c.r.ReadString('\n')
	return strings.TrimSuffix(line, "\r\n"), err
}

// query sends a statement and returns its id and the COMPLETE or FAULT line of the answer.
func (c *caller) query(text string) (id, result string, err error) {
	c.seq++
	id = fmt.Sprintf("%s-%d", c.name, c.seq)
	c.site.rec.add("sent %s: %.40s", id, text)
	line, err := c.line("QUERY " + id + " " + text)
	for err == nil && !strings.HasPrefix(line, "READY") {
		if !strings.HasPrefix(line, "DATA") {
			result = line
		}
		line, err = c.r.ReadString('\n')
		line = strings.TrimSuffix(line, "\r\n")
	}
	c.site.rec.add("answered %s: %.60s %v", id, result, err)
	return id, result, err
}

// once opens a session, sends one statement and returns the result.
func (c *caller) once(e *proc, database, text string) string {
	if err := c.connect(e, database); err != nil {
		return err.Error()
	}
	defer c.nc.Close()
	_, result, err := c.query(text)
	if err != nil {
		return err.Error()
	}
	return result
}

// write sends writes to entries in turn until stop is closed.
func (c *caller) write(entries []*proc, pause time.Duration, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			if c.nc != nil {
				_ = c.nc.Close()
			}
			return
		case <-time.After(pause):
		}
		if c.nc == nil && c.connect(entries[i%len(entries)], "dbp1") != nil {
			continue
		}
		id, result, err := c.query("STORE item x")
		switch {
		case err == nil && strings.HasPrefix(result, "COMPLETE"):
			c.served.Add(1)
			c.site.group.acknowledge(id)
		case err == nil && isPromise(result):
			c.refused.Add(1)
			c.site.group.refuse(id)
		default:
			c.doubtful.Add(1)
		}
		if err != nil || i%50 == 49 {
			_ = c.nc.Close()
			c.nc = nil
		}
	}
}

// isPromise reports whether a fault guarantees that nothing is kept.
func isPromise(result string) bool {
	for _, code := range []string{"BUSY", "ABORTED", "LAGGING", "READONLY", "MOVED", "MAXCONN"} {
		if strings.HasPrefix(result, "FAULT "+code) {
			return true
		}
	}
	return false
}

// acknowledge records that a requester has the acknowledgement of a write.
func (g *group) acknowledge(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := len(g.log) - 1; i >= 0; i-- {
		if g.log[i].id == id {
			g.log[i].acked = true
			return
		}
	}
	if g.sync > 0 {
		g.rec.violation("LOST: %s was acknowledged and is in no log any more", id)
	}
}

// refuse records that a requester was promised that a write is not kept.
func (g *group) refuse(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := len(g.log) - 1; i >= 0; i-- {
		if g.log[i].id == id {
			g.rec.violation("REFUSED: %s is committed although its requester was promised that nothing is kept", id)
			return
		}
	}
}
