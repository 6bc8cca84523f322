package inst

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"tamarackcross/ctlpb"
	"tamarackcross/spread"
	"tamarackcross/state"
)

// Places of the addresses in the registration of an instance.
const (
	addrPeer = iota
	addrAdmin
	addrCallers
	addrCount
)

// spreader runs the dissemination core of the instance.
type spreader struct {
	name  string
	addr  string // of the peer service
	views *Views
	links *links
	log   zerolog.Logger

	mu    sync.Mutex
	core  *spread.Core
	known map[string]string // addresses of senders that the state does not list yet
	wake  chan struct{}
	ready chan struct{} // closed when the instance may serve
	once  sync.Once
}

// maxKnown bounds the table of addresses of unlisted senders.
const maxKnown = 4096

func newSpreader(cfg Config, views *Views, l *links, log zerolog.Logger) *spreader {
	var seeds []spread.Peer
	for _, addr := range cfg.Control {
		if addr != cfg.Peer {
			seeds = append(seeds, spread.Peer{Name: addr})
		}
	}
	self := spread.Peer{Name: cfg.Name, Zone: cfg.Zone}
	return &spreader{
		name: cfg.Name, addr: cfg.Peer, views: views, links: l, log: log,
		core:  spread.New(self, spread.WithSeeds(seeds...), spread.WithSeed(uint64(time.Now().UnixNano()))),
		known: make(map[string]string),
		wake:  make(chan struct{}, 1),
		ready: make(chan struct{}),
	}
}

// run lets the core act until ctx ends.
func (s *spreader) run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.wake:
		case <-timer.C:
		}
		now := time.Now()
		s.with(func(c *spread.Core) []spread.Action { return c.Tick(now) })
		s.mu.Lock()
		next := s.core.Next(now)
		s.mu.Unlock()
		timer.Reset(max(time.Millisecond, time.Until(next)))
	}
}

// with runs f on the core and carries out its actions in order.
func (s *spreader) with(f func(*spread.Core) []spread.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range f(s.core) {
		s.act(a)
	}
}

func (s *spreader) act(a spread.Action) {
	switch a := a.(type) {
	case spread.Send:
		s.send(a)
	case spread.Apply:
		s.show()
	case spread.Ready:
		s.log.Info().Str("stamp", a.Stamp.String()).Msg("shared state is current, instance may serve")
		s.once.Do(func() { close(s.ready) })
		s.show()
	case spread.Diverged:
		s.log.Error().Str("peer", a.Peer).Str("stamp", a.Stamp.String()).Msg("peer holds another state at the same stamp")
	}
}

// show puts the newest state into force. Before the instance is ready its state
// may be older than the one that it had before a restart: a control member
// replays its log from the last snapshot.
func (s *spreader) show() {
	select {
	case <-s.ready:
		s.views.Set(s.core.View())
	default:
	}
}

func (s *spreader) send(a spread.Send) {
	addr := s.resolve(a.Peer)
	if addr == "" {
		return
	}
	data, err := spread.Encode(a.Message)
	if err != nil {
		s.log.Error().Err(err).Msg("state message cannot be encoded")
		return
	}
	s.links.sendState(addr, &ctlpb.SpreadEnvelope{From: s.name, Address: s.addr, Message: data})
}

// resolve returns the address of a peer. A seed is named by its address.
func (s *spreader) resolve(peer string) string {
	if i, ok := s.core.View().Instance(peer); ok && len(i.Addresses) > addrPeer {
		return i.Addresses[addrPeer]
	}
	if addr, ok := s.known[peer]; ok {
		return addr
	}
	if _, _, err := net.SplitHostPort(peer); err == nil {
		return peer
	}
	return ""
}

// address returns where an instance is reached, or "".
func (s *spreader) address(peer string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.resolve(peer)
}

// receive takes in a message of a peer.
func (s *spreader) receive(env *ctlpb.SpreadEnvelope) error {
	m, err := spread.Decode(env.GetMessage())
	if err != nil {
		return err
	}
	now := time.Now()
	s.with(func(c *spread.Core) []spread.Action {
		if len(s.known) >= maxKnown {
			clear(s.known)
		}
		s.known[env.GetFrom()] = env.GetAddress()
		return c.Receive(m, now)
	})
	s.poke()
	return nil
}

// publish takes in a change that the control role of this instance applied.
func (s *spreader) publish(d state.Delta) {
	now := time.Now()
	s.with(func(c *spread.Core) []spread.Action { return c.Publish(d, now) })
	s.poke()
}

// adopt takes in the state that the control role of this instance restored.
func (s *spreader) adopt(v *state.View) {
	now := time.Now()
	s.with(func(c *spread.Core) []spread.Action { return c.Adopt(v, now) })
	s.poke()
}

func (s *spreader) poke() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// peerService answers the calls of other instances.
type peerService struct {
	s *spreader
	l *leases
	c *contact
}

// Spread takes in one message of the state dissemination.
func (p *peerService) Spread(_ context.Context, env *ctlpb.SpreadEnvelope) (*ctlpb.SpreadEnd, error) {
	return &ctlpb.SpreadEnd{}, p.s.receive(env)
}

// Lease takes in one message about leases.
func (p *peerService) Lease(_ context.Context, env *ctlpb.LeaseEnvelope) (*ctlpb.LeaseEnd, error) {
	p.l.receive(env)
	return &ctlpb.LeaseEnd{}, nil
}

// Contact tells whether this instance reaches control.
func (p *peerService) Contact(context.Context, *ctlpb.ContactRequest) (*ctlpb.ContactReply, error) {
	return &ctlpb.ContactReply{Contact: p.c.has(time.Now())}, nil
}
