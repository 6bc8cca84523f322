package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// platform stands in for the calls of the platform: it takes the orders to promote.
type platform struct {
	s        *site
	services map[string]*service
	lost     func(v *service, id string, e logEntry) // a commit that is not in the log of the promoted member

	mu      sync.Mutex
	ordered func(v *service, id string) // an order was taken
	tokens  map[string]uint64
}

// promoteTime is how long a promotion takes.
const promoteTime = time.Second

func (s *site) startPlatform() (*platform, error) {
	p := &platform{s: s, services: map[string]*service{}, tokens: map[string]uint64{}}
	l, err := net.Listen("tcp4", s.net+"250:8783")
	if err != nil {
		return nil, err
	}
	s.cloud = l.Addr().String()
	go func() { _ = http.Serve(l, http.HandlerFunc(p.promote)) }()
	return p, nil
}

func (p *platform) promote(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Backend string `json:"backend"`
		ID      string `json:"id"`
	}
	token, err := strconv.ParseUint(r.Header.Get("Fence-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&order) != nil || r.URL.Path != "/promote" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	v, taken := p.services[order.Backend], p.ordered
	fenced := token < p.tokens[order.Backend]
	if !fenced {
		p.tokens[order.Backend] = token
	}
	p.mu.Unlock()
	var m *member
	if v != nil {
		for _, o := range v.members {
			if o.id == order.ID {
				m = o
			}
		}
	}
	p.s.note("platform: %s orders %s of %s with fence %d", r.Header.Get("Duty-Holder"), order.ID, order.Backend, token)
	if fenced || m == nil {
		w.WriteHeader(http.StatusConflict)
		return
	}
	if taken != nil {
		taken(v, order.ID)
	}
	time.AfterFunc(promoteTime, func() { p.lead(v, m) })
}

// lead makes a member the primary of the next term with what it has received, and nothing more.
func (p *platform) lead(v *service, m *member) {
	v.mu.Lock()
	if v.primary == m {
		v.mu.Unlock()
		return
	}
	was, dropped := v.primary, v.log[m.recv:]
	v.log = v.log[:m.recv:m.recv]
	v.primary = m
	v.term++
	for _, o := range v.members {
		o.recv = min(o.recv, len(v.log))
	}
	term := v.term
	v.mu.Unlock()
	p.s.note("platform: %s leads %s in term %d; %s does not lead any more; %d commits are not in the log of %s", m.id, v.name, term, was.id, len(dropped), m.id)
	for _, e := range dropped {
		if p.lost != nil {
			p.lost(v, m.id, e)
		}
	}
}
