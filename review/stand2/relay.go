package main

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync"
)

// relay is a TCP proxy in front of a member. It drops all data of the instances that are cut off.
type relay struct {
	l      net.Listener
	target string

	mu    sync.Mutex
	cut   map[string]bool     // by the name with which an instance connects
	conns map[net.Conn]string // with the name of the instance
}

func newRelay(target string) (*relay, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &relay{l: l, target: target, conns: make(map[net.Conn]string)}
	go p.accept()
	return p, nil
}

func (p *relay) addr() string { return p.l.Addr().String() }

func (p *relay) accept() {
	for {
		nc, err := p.l.Accept()
		if err != nil {
			return
		}
		go p.serve(nc)
	}
}

func (p *relay) serve(nc net.Conn) {
	defer nc.Close()
	r := bufio.NewReader(nc)
	first, err := r.ReadString('\n')
	words := strings.Fields(first)
	if err != nil || len(words) < 3 {
		return
	}
	who := words[2]
	upstream, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	defer upstream.Close()
	p.mu.Lock()
	p.conns[nc], p.conns[upstream] = who, who
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.conns, nc)
		delete(p.conns, upstream)
		p.mu.Unlock()
	}()
	if !p.isCut(who) {
		if _, err := upstream.Write([]byte(first)); err != nil {
			return
		}
	}
	done := make(chan struct{}, 2)
	copyData := func(dst net.Conn, from io.Reader) {
		buf := make([]byte, 32<<10)
		for {
			n, err := from.Read(buf)
			if n > 0 && !p.isCut(who) {
				if _, werr := dst.Write(buf[:n]); werr != nil {
					err = werr
				}
			}
			if err != nil {
				break
			}
		}
		done <- struct{}{}
	}
	go copyData(upstream, r)
	go copyData(nc, upstream)
	<-done
}

func (p *relay) isCut(who string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut[who]
}

// setCut sets the instances that are cut off from the member. The connections of those that were
// cut off before and are not any more end, as data of them is lost.
func (p *relay) setCut(names ...string) {
	cut := make(map[string]bool)
	for _, n := range names {
		cut[n] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for nc, who := range p.conns {
		if p.cut[who] && !cut[who] {
			_ = nc.Close()
		}
	}
	p.cut = cut
}

func (p *relay) close() {
	_ = p.l.Close()
	p.reset()
}

// reset closes all connections.
func (p *relay) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for nc := range p.conns {
		_ = nc.Close()
	}
}
