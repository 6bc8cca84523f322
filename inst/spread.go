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

// Indexes of the addresses in the registration of an instance.
const (
	addrPeer = iota
	addrAdmin
	addrCallers
	addrCount
)

// disseminator runs the dissemination of the shared state between instances: it
// connects the decision core of package spread to the network and to the views.
type disseminator struct {
	name  string
	addr  string // at which other instances reach this one
	views *Views
	peers *peerConns
	log   zerolog.Logger

	mu          sync.Mutex
	core        *spread.Core
	senderAddrs map[string]string // addresses of senders, which the state may not list yet
	wake        chan struct{}
	ready       chan struct{} // closed when the state is current and the instance may serve
	readyOnce   sync.Once
}

// maxSenderAddrs is the size at which the table of sender addresses is cleared.
const maxSenderAddrs = 4096

func newDisseminator(cfg Config, views *Views, l *peerConns, log zerolog.Logger) *disseminator {
	var seeds []spread.Peer
	for _, addr := range cfg.ControlAddrs {
		if addr != cfg.PeerAddr {
			seeds = append(seeds, spread.Peer{Name: addr})
		}
	}
	self := spread.Peer{Name: cfg.Name, Zone: cfg.Zone}
	return &disseminator{
		name: cfg.Name, addr: cfg.PeerAddr, views: views, peers: l, log: log,
		core:        spread.New(self, spread.WithSeedPeers(seeds...), spread.WithRandomSeed(uint64(time.Now().UnixNano()))),
		senderAddrs: make(map[string]string),
		wake:        make(chan struct{}, 1),
		ready:       make(chan struct{}),
	}
}

// run calls Tick of the core whenever it is due until ctx ends.
func (s *disseminator) run(ctx context.Context) error {
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
		s.step(func(c *spread.Core) []spread.Action { return c.Tick(now) })
		s.mu.Lock()
		next := s.core.NextTick(now)
		s.mu.Unlock()
		timer.Reset(max(time.Millisecond, time.Until(next)))
	}
}

// step calls f with the core and executes the actions that it returns in order.
func (s *disseminator) step(f func(*spread.Core) []spread.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range f(s.core) {
		s.execute(a)
	}
}

func (s *disseminator) execute(a spread.Action) {
	switch a := a.(type) {
	case spread.Send:
		s.send(a)
	case spread.Apply:
		s.updateViews()
	case spread.Ready:
		s.log.Info().Str("stamp", a.Stamp.String()).Msg("shared state is current; the instance may serve")
		s.readyOnce.Do(func() { close(s.ready) })
		s.updateViews()
	case spread.Diverged:
		s.log.Error().Str("peer", a.Peer).Str("stamp", a.Stamp.String()).Msg("peer holds another state at the same stamp")
	}
}

// updateViews puts the newest state into force once the instance is ready. Until
// then the state may be older than the one that was in force before a restart,
// because a control member replays its log from the last snapshot.
func (s *disseminator) updateViews() {
	select {
	case <-s.ready:
		s.views.Set(s.core.View())
	default:
	}
}

func (s *disseminator) send(a spread.Send) {
	addr := s.resolve(a.Peer)
	if addr == "" {
		return
	}
	data, err := spread.Encode(a.Message)
	if err != nil {
		s.log.Error().Err(err).Msg("message of the state dissemination cannot be encoded and is not sent")
		return
	}
	s.peers.sendState(addr, &ctlpb.SpreadEnvelope{From: s.name, Address: s.addr, Message: data})
}

// resolve returns the address of a peer, or "" if it is unknown. The name of a seed
// is its address. The caller holds mu.
func (s *disseminator) resolve(peer string) string {
	if i, ok := s.core.View().Instance(peer); ok && len(i.Addresses) > addrPeer {
		return i.Addresses[addrPeer]
	}
	if addr, ok := s.senderAddrs[peer]; ok {
		return addr
	}
	if _, _, err := net.SplitHostPort(peer); err == nil {
		return peer
	}
	return ""
}

// address returns the address of an instance, or "" if it is unknown.
func (s *disseminator) address(peer string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.resolve(peer)
}

// receive processes a message of a peer.
func (s *disseminator) receive(env *ctlpb.SpreadEnvelope) error {
	m, err := spread.Decode(env.GetMessage())
	if err != nil {
		return err
	}
	now := time.Now()
	s.step(func(c *spread.Core) []spread.Action {
		if len(s.senderAddrs) >= maxSenderAddrs {
			clear(s.senderAddrs)
		}
		s.senderAddrs[env.GetFrom()] = env.GetAddress()
		return c.Receive(m, now)
	})
	s.wakeUp()
	return nil
}

// publish disseminates a change that the control role of this instance has applied.
func (s *disseminator) publish(d state.Delta) {
	now := time.Now()
	s.step(func(c *spread.Core) []spread.Action { return c.Publish(d, now) })
	s.wakeUp()
}

// restore replaces the state by the one that the control role of this instance
// has restored from a snapshot.
func (s *disseminator) restore(v *state.View) {
	now := time.Now()
	s.step(func(c *spread.Core) []spread.Action { return c.Adopt(v, now) })
	s.wakeUp()
}

// wakeUp makes run call Tick at once.
func (s *disseminator) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// peerService implements the calls from other instances.
type peerService struct {
	dissemination *disseminator
	leases        *leases
	contact       *controlContact
}

// Spread receives one message of the state dissemination.
func (p *peerService) Spread(_ context.Context, env *ctlpb.SpreadEnvelope) (*ctlpb.SpreadEnd, error) {
	return &ctlpb.SpreadEnd{}, p.dissemination.receive(env)
}

// Lease receives one message about leases.
func (p *peerService) Lease(_ context.Context, env *ctlpb.LeaseEnvelope) (*ctlpb.LeaseEnd, error) {
	p.leases.receive(env)
	return &ctlpb.LeaseEnd{}, nil
}

// Contact answers whether this instance has contact with control.
func (p *peerService) Contact(context.Context, *ctlpb.ContactRequest) (*ctlpb.ContactReply, error) {
	return &ctlpb.ContactReply{Contact: p.contact.reachesControl(time.Now())}, nil
}
