package emul

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

// defaultDeadPeerTimeout is the time after which the far end of a dead connection is
// closed, as TCP keepalive would do.
const defaultDeadPeerTimeout = 5 * time.Second

// Network emulates the latency between zones, and partitions, for instances on
// loopback. It affects only connections that its dialers open.
type Network struct {
	clock           *clock
	wg              conc.WaitGroup
	ctx             context.Context
	cancel          context.CancelFunc
	deadPeerTimeout time.Duration

	mu        sync.Mutex
	changed   chan struct{} // closed and replaced when cuts or isolated change
	latency   map[pair]time.Duration
	cuts      map[pair]struct{}
	isolated  map[string]struct{}
	links     map[*link]struct{}
	listeners map[string]endpoint // by address
	closed    bool
}

// endpoint is the instance and zone of one end of a connection.
type endpoint struct{ instance, zone string }

func (p endpoint) matches(name string) bool { return p.instance == name || p.zone == name }

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

// WithLatency sets the one-way latency between two zones, or within a zone if they
// are the same.
func WithLatency(zoneA, zoneB string, d time.Duration) NetworkOption {
	return func(n *Network) { n.latency[pairOf(zoneA, zoneB)] = d }
}

// WithDeadPeerTimeout sets the time after which the far end of a dead connection is
// closed.
func WithDeadPeerTimeout(d time.Duration) NetworkOption {
	return func(n *Network) { n.deadPeerTimeout = d }
}

// NewNetwork returns a network, by default without latency, that runs until Close.
func NewNetwork(opts ...NetworkOption) *Network {
	n := &Network{
		clock:           newClock(),
		deadPeerTimeout: defaultDeadPeerTimeout,
		changed:         make(chan struct{}),
		latency:         make(map[pair]time.Duration),
		cuts:            make(map[pair]struct{}),
		isolated:        make(map[string]struct{}),
		links:           make(map[*link]struct{}),
		listeners:       make(map[string]endpoint),
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

// Register sets the instance and zone that listen on addr. Connections to an address
// that is not registered have no latency and are never cut.
func (n *Network) Register(addr, instance, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[addr] = endpoint{instance, zone}
}

// Dialer returns the DialFunc of an instance in a zone.
func (n *Network) Dialer(instance, zone string) DialFunc {
	from := endpoint{instance, zone}
	return func(ctx context.Context, addr string) (net.Conn, error) {
		return n.dial(ctx, from, addr)
	}
}

// SetLatency changes the one-way latency between two zones, or within a zone if they
// are the same.
func (n *Network) SetLatency(zoneA, zoneB string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.latency[pairOf(zoneA, zoneB)] = d
}

// Cut drops all data between two zones, two instances, or a zone and an instance.
// Open connections get no error, and new ones are not established.
func (n *Network) Cut(a, b string) {
	n.change(func() { n.cuts[pairOf(a, b)] = struct{}{} })
}

// Heal ends Cut. Connections that were not closed meanwhile deliver what was sent,
// as TCP does.
func (n *Network) Heal(a, b string) {
	n.change(func() { delete(n.cuts, pairOf(a, b)) })
}

// Isolate drops all data between a zone or instance and the rest of the network.
func (n *Network) Isolate(name string) {
	n.change(func() { n.isolated[name] = struct{}{} })
}

// Rejoin ends Isolate.
func (n *Network) Rejoin(name string) {
	n.change(func() { delete(n.isolated, name) })
}

// SilenceExisting makes the open connections from one zone or instance to another
// silent for good. New connections work.
func (n *Network) SilenceExisting(from, to string) {
	n.change(func() {
		for l := range n.links {
			if l.from.matches(from) && l.to.matches(to) {
				l.silence(n.deadPeerTimeout)
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

// isCut reports whether two endpoints are cut off from each other. It also returns
// the channel that is closed at the next change.
func (n *Network) isCut(a, b endpoint) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name := range n.isolated {
		if a.matches(name) != b.matches(name) {
			return true, n.changed
		}
	}
	for p := range n.cuts {
		if a.matches(p.a) && b.matches(p.b) || a.matches(p.b) && b.matches(p.a) {
			return true, n.changed
		}
	}
	return false, n.changed
}

// waitReachable waits while two endpoints are cut off from each other. It reports
// false if ctx ended.
func (n *Network) waitReachable(ctx context.Context, a, b endpoint) bool {
	for {
		cut, changed := n.isCut(a, b)
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

// latencyBetween returns the one-way latency between two endpoints.
func (n *Network) latencyBetween(a, b endpoint) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.latency[pairOf(a.zone, b.zone)]
}

func (n *Network) listenerAt(addr string) (endpoint, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p, ok := n.listeners[addr]
	return p, ok
}

// dial opens a connection, which takes one round trip. It blocks while the endpoints
// are cut off from each other.
func (n *Network) dial(ctx context.Context, from endpoint, addr string) (net.Conn, error) {
	to, ok := n.listenerAt(addr)
	if !ok {
		return dialTCP(ctx, addr)
	}
	if !n.waitReachable(ctx, from, to) || !n.clock.wait(ctx, time.Now().Add(2*n.latencyBetween(from, to))) {
		return nil, eris.Wrapf(context.Cause(ctx), "dial %s", addr)
	}
	nc, err := dialTCP(ctx, addr)
	if err != nil {
		return nil, err
	}
	return n.openLink(nc, from, to)
}

// openLink registers a link over nc and starts its goroutines.
func (n *Network) openLink(nc net.Conn, from, to endpoint) (net.Conn, error) {
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

func (n *Network) removeLink(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.links, l)
}
