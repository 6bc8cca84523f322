package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

// requester is a session with an entry.
type requester struct {
	nc net.Conn
	r  *bufio.Reader
}

func connect(p *proc, db, user string) (*requester, error) {
	nc, err := net.DialTimeout("tcp4", p.ip+":"+strconv.Itoa(portFront), time.Second)
	if err != nil {
		return nil, err
	}
	q := &requester{nc: nc, r: bufio.NewReader(nc)}
	_ = nc.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(nc, "CONNECT %s %s\r\n", db, user); err != nil {
		_ = nc.Close()
		return nil, err
	}
	line, err := q.r.ReadString('\n')
	if err == nil && !strings.HasPrefix(line, "READY I") {
		err = fmt.Errorf("%s", strings.TrimSpace(line))
	}
	if err != nil {
		_ = nc.Close()
		return nil, err
	}
	return q, nil
}

// answer is the answer to a query. Word is "" if it is not complete.
type answer struct {
	word, rest, state string
	err               error
}

// query sends a statement and waits for its answer.
func (q *requester) query(id, text string, limit time.Duration) answer {
	_ = q.nc.SetDeadline(time.Now().Add(limit))
	if _, err := fmt.Fprintf(q.nc, "QUERY %s %s\r\n", id, text); err != nil {
		return answer{err: err}
	}
	var a answer
	for {
		line, err := q.r.ReadString('\n')
		if err != nil {
			return answer{err: err}
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch word {
		case "DATA":
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a
		default:
			a.word, a.rest = word, rest
		}
	}
}

func (q *requester) close() { _ = q.nc.Close() }
