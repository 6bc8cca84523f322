package emul

import (
	"context"
	"fmt"
	"net"
	"sync"

	"github.com/rotisserie/eris"

	"tamarackcross/group"
)

// Server runs a member at an address that stays the same across Stop and Start.
type Server struct {
	m    *Member
	zone string

	mu     sync.Mutex
	addr   string
	cancel context.CancelFunc
	done   chan error
}

// NewServer returns a server that runs m at addr, such as "127.0.0.1:0". It is not
// started.
func NewServer(m *Member, zone, addr string) *Server {
	if m.network != nil {
		m.dial = m.network.Dialer(m.name, zone)
	}
	return &Server{m: m, zone: zone, addr: addr}
}

// Member returns the member that the server runs.
func (s *Server) Member() *Member { return s.m }

// Zone returns the availability zone of the server.
func (s *Server) Zone() string { return s.zone }

// Addr returns the address. After the first Start it contains the port in use.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Start listens and serves in the background until Stop or the end of ctx.
func (s *Server) Start(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done != nil {
		return eris.New("server is already started")
	}
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	s.addr = l.Addr().String()
	if s.m.network != nil {
		s.m.network.Register(s.addr, s.m.name, s.zone)
	}
	ctx, s.cancel = context.WithCancel(ctx)
	done := make(chan error, 1)
	s.done = done
	go func() { done <- s.m.Serve(ctx, l) }()
	return nil
}

// Stop ends the server like a crash: open transactions are lost and committed data
// is kept. It waits until all sessions have ended.
func (s *Server) Stop() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done == nil {
		return nil
	}
	s.cancel()
	err := <-s.done
	s.done = nil
	return err
}

// Group is the set of servers of one database.
type Group struct {
	servers []*Server
}

// StartGroup starts one member per zone on loopback ports. The first member is
// the primary of term 1 and the others follow it. Options apply to all members.
func StartGroup(ctx context.Context, database string, zones []string, opts ...Option) (*Group, error) {
	g := &Group{}
	for i, zone := range zones {
		memberOpts := append([]Option{WithMembers(len(zones))}, opts...)
		m := New(fmt.Sprintf("%s-%d", database, i+1), database, memberOpts...)
		s := NewServer(m, zone, "127.0.0.1:0")
		g.servers = append(g.servers, s)
		if err := s.Start(ctx); err != nil {
			return nil, eris.Wrap(g.closeAfter(err), "start group")
		}
	}
	if err := g.bootstrap(ctx); err != nil {
		return nil, eris.Wrap(g.closeAfter(err), "bootstrap group")
	}
	return g, nil
}

// bootstrap promotes the first member and makes the others follow it.
func (g *Group) bootstrap(ctx context.Context) error {
	h, err := group.NewHistory(group.TermStart{Term: 1})
	if err != nil {
		return err
	}
	primary := g.servers[0]
	if err := primary.m.Promote(1, h); err != nil {
		return err
	}
	for _, s := range g.servers[1:] {
		r, err := s.m.Follow(ctx, 1, primary.Addr())
		if err != nil {
			return err
		}
		if !r.Synced {
			return eris.Errorf("member %s did not reach the primary in time", s.m.name)
		}
	}
	return nil
}

func (g *Group) closeAfter(err error) error {
	if closeErr := g.Close(); closeErr != nil {
		return eris.Wrap(err, closeErr.Error())
	}
	return err
}

// Servers returns the servers in the order of the zones.
func (g *Group) Servers() []*Server { return g.servers }

// Member returns member i.
func (g *Group) Member(i int) *Member { return g.servers[i].m }

// Addr returns the address of member i.
func (g *Group) Addr(i int) string { return g.servers[i].Addr() }

// Close stops all members and waits for their goroutines. It returns the first
// error.
func (g *Group) Close() error {
	var first error
	for _, s := range g.servers {
		if err := s.Stop(); err != nil && first == nil {
			first = err
		}
	}
	return first
}
