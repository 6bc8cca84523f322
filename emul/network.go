package emul

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

// deadPeerTime is how long the far end of a dead connection stays open, as with
// TCP keepalive.
const deadPeerTime = 5 * time.Second

// Network connects instances on loopback with the latency between their zones
// and with partitions. Only connections opened by its dialers are affected.
type Network struct {
	clock    *clock
	wg       conc.WaitGroup
	ctx      context.Context
	cancel   context.CancelFunc
	deadPeer time.Duration

	mu        sync.Mutex
	changed   chan struct{} // closed and replaced at each cut and heal
	latency   map[pair]time.Duration
	cuts      map[pair]struct{}
	isolated  map[string]struct{}
	links     map[*link]struct{}
	listening map[string]place // by address
	closed    bool
}

// place is where an end of a connection is.
type place struct{ instance, zone string }

func (p place) is(name string) bool { return p.instance == name || p.zone == name }

// pair is an unordered pair of names.
type pair struct{ a, b string }

func pairOf(a, b string) pair {
	if b < a {
		a, b = b, a
	}
	return pair{a, b}
}

// NetworkOption configures a Network.
type NetworkOption func(*Network)

// WithLatency sets the one-way latency between two zones, or within one.
func WithLatency(zoneA, zoneB string, d time.Duration) NetworkOption {
	return func(n *Network) { n.latency[pairOf(zoneA, zoneB)] = d }
}

// WithDeadPeerTime sets how long the far end of a dead connection stays open.
func WithDeadPeerTime(d time.Duration) NetworkOption {
	return func(n *Network) { n.deadPeer = d }
}

// NewNetwork returns a network without latency and partitions. It runs until
// Close.
func NewNetwork(opts ...NetworkOption) *Network {
	n := &Network{
		clock:     newClock(),
		deadPeer:  deadPeerTime,
		changed:   make(chan struct{}),
		latency:   make(map[pair]time.Duration),
		cuts:      make(map[pair]struct{}),
		isolated:  make(map[string]struct{}),
		links:     make(map[*link]struct{}),
		listening: make(map[string]place),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	for _, opt := range opts {
		opt(n)
	}
	n.wg.Go(func() { n.clock.run(n.ctx) })
	return n
}

// Close closes all connections and waits for the goroutines of the network.
func (n *Network) Close() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.cancel()
	n.wg.Wait()
}

// Register tells where the listener of addr is. Connections to an address that
// is not registered have no latency and are never cut.
func (n *Network) Register(addr, instance, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listening[addr] = place{instance, zone}
}

// Dialer returns the DialFunc of an instance in a zone.
func (n *Network) Dialer(instance, zone string) DialFunc {
	from := place{instance, zone}
	return func(ctx context.Context, addr string) (net.Conn, error) {
		return n.dial(ctx, from, addr)
	}
}

// SetLatency changes the one-way latency between two zones, or within one.
func (n *Network) SetLatency(zoneA, zoneB string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.latency[pairOf(zoneA, zoneB)] = d
}

// Cut drops everything between two zones, two instances, or a zone and an
// instance. Connections get no error; new ones do not open.
func (n *Network) Cut(a, b string) {
	n.change(func() { n.cuts[pairOf(a, b)] = struct{}{} })
}

// Heal ends Cut. Connections that were not closed meanwhile deliver what was
// sent, as TCP does.
func (n *Network) Heal(a, b string) {
	n.change(func() { delete(n.cuts, pairOf(a, b)) })
}

// Isolate drops everything between a zone or instance and the rest.
func (n *Network) Isolate(name string) {
	n.change(func() { n.isolated[name] = struct{}{} })
}

// Rejoin ends Isolate.
func (n *Network) Rejoin(name string) {
	n.change(func() { delete(n.isolated, name) })
}

// SilenceExisting makes the open connections from one zone or instance to
// another silent for good. New connections work.
func (n *Network) SilenceExisting(from, to string) {
	n.change(func() {
		for l := range n.links {
			if l.from.is(from) && l.to.is(to) {
				l.silence(n.deadPeer)
			}
		}
	})
}

func (n *Network) change(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	close(n.changed)
	n.changed = make(chan struct{})
}

// cut reports whether nothing passes between two places, and the channel that
// is closed at the next change.
func (n *Network) cut(a, b place) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name := range n.isolated {
		if a.is(name) != b.is(name) {
			return true, n.changed
		}
	}
	for p := range n.cuts {
		if a.is(p.a) && b.is(p.b) || a.is(p.b) && b.is(p.a) {
			return true, n.changed
		}
	}
	return false, n.changed
}

// passable waits until nothing cuts a from b and reports whether ctx lasted.
func (n *Network) passable(ctx context.Context, a, b place) bool {
	for {
		cut, changed := n.cut(a, b)
		if !cut {
			return ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// delay returns the one-way latency between two places.
func (n *Network) delay(a, b place) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.latency[pairOf(a.zone, b.zone)]
}

func (n *Network) placeOf(addr string) (place, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p, ok := n.listening[addr]
	return p, ok
}

// dial opens a connection. It takes one round trip, and hangs while the places
// are cut from each other.
func (n *Network) dial(ctx context.Context, from place, addr string) (net.Conn, error) {
	to, ok := n.placeOf(addr)
	if !ok {
		return dialTCP(ctx, addr)
	}
	if !n.passable(ctx, from, to) || !n.clock.wait(ctx, time.Now().Add(2*n.delay(from, to))) {
		return nil, eris.Wrapf(context.Cause(ctx), "dial %s", addr)
	}
	nc, err := dialTCP(ctx, addr)
	if err != nil {
		return nil, err
	}
	return n.open(nc, from, to)
}

// open starts the goroutines of a link.
func (n *Network) open(nc net.Conn, from, to place) (net.Conn, error) {
	l := newLink(n, nc, from, to)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		nc.Close()
		return nil, eris.New("network is closed")
	}
	n.links[l] = struct{}{}
	n.wg.Go(l.sendLoop)
	n.wg.Go(l.receiveLoop)
	n.wg.Go(l.deliverLoop)
	return l, nil
}

func (n *Network) forget(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.links, l)
}
