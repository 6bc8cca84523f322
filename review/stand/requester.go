package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// requester is a session at an entry.
type requester struct {
	nc   net.Conn
	r    *bufio.Reader
	name string
	last int
}

// connect opens a session.
func connect(m *machine, database, user string) (*requester, error) {
	nc, err := net.DialTimeout("tcp4", m.ip+":"+frontPort, 2*time.Second)
	if err != nil {
		return nil, err
	}
	q := &requester{nc: nc, r: bufio.NewReader(nc), name: user}
	_ = nc.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(nc, "CONNECT %s %s\r\n", database, user); err != nil {
		return nil, err
	}
	line, err := q.r.ReadString('\n')
	if err == nil && !strings.HasPrefix(line, "READY") {
		err = fmt.Errorf("answer to CONNECT: %s", strings.TrimSpace(line))
	}
	if err != nil {
		_ = nc.Close()
		return nil, err
	}
	return q, nil
}

// ask sends a query and returns the answer: "COMPLETE ..." or "FAULT ...".
func (q *requester) ask(text string, limit time.Duration) (result, ready string, err error) {
	q.last++
	_ = q.nc.SetDeadline(time.Now().Add(limit))
	if _, err := fmt.Fprintf(q.nc, "QUERY %s-%d %s\r\n", q.name, q.last, text); err != nil {
		return "", "", err
	}
	for {
		line, err := q.r.ReadString('\n')
		if err != nil {
			return result, "", err
		}
		line = strings.TrimSuffix(line, "\r\n")
		switch word, _, _ := strings.Cut(line, " "); word {
		case "COMPLETE", "FAULT":
			result = line
		case "READY":
			return result, line, nil
		}
	}
}

func (q *requester) close() {
	_, _ = fmt.Fprint(q.nc, "TERM\r\n")
	_ = q.nc.Close()
}
