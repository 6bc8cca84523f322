package host

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcmux"

	"tamarackcross/ctrl"
	"tamarackcross/event"
	"tamarackcross/mesh"
	"tamarackcross/proxy"
	"tamarackcross/relay"
	"tamarackcross/roster"
	"tamarackcross/stats"
)

// EntryParts is what the entry role is built from.
type EntryParts struct {
	Dialer proxy.Dialer
	Open   func(net.Conn) proxy.Caller
	Ready  func(ready func() bool) http.Handler
	Decode DecodeFunc
	Now    func() time.Time
	Log    *event.Log
	Stats  *stats.Registry
	Seed   uint64
}

// Entry is the entry role of one instance.
type Entry struct {
	settings Settings
	parts    EntryParts
	roster   *roster.Table
	server   *proxy.Server
	links    *links
	peers    peerCount
	proofs   *proofs
	relays   *relay.Links
	callers  net.Listener
	probe    *http.Server
	leaving  atomic.Bool

	ctx    context.Context
	cancel context.CancelFunc
	ended  chan error // receives the end of each server
}

// filesPerSession is the file descriptors that a session may take: its own and
// one to a backend server.
const filesPerSession = 1.2

// StartEntry starts the entry role.
func StartEntry(s Settings, p EntryParts) (*Entry, error) {
	e := &Entry{settings: s, parts: p, roster: roster.New(), ended: make(chan error, 3)}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	opts := []proxy.Option{
		proxy.WithName(s.Name), proxy.WithZone(s.Zone), proxy.WithZoneCount(s.Zones), proxy.WithClock(p.Now), proxy.WithLog(p.Log), proxy.WithStats(p.Stats), proxy.WithSeed(p.Seed),
	}
	if s.MaxFiles > 0 {
		opts = append(opts, proxy.WithMaxSessions(int(float64(s.MaxFiles)/filesPerSession)))
	}
	l, err := mesh.Listen(e.ctx, s.Callers)
	if err != nil {
		return nil, err
	}
	pl, err := mesh.Listen(e.ctx, s.Ready)
	if err != nil {
		return nil, errors.Join(err, l.Close())
	}
	rl, err := mesh.Listen(e.ctx, s.Peer)
	if err != nil {
		return nil, errors.Join(err, l.Close(), pl.Close())
	}
	mux := drpcmux.New()
	if err := relay.Register(mux, holderCalls{e}); err != nil {
		return nil, errors.Join(err, l.Close(), pl.Close(), rl.Close())
	}
	e.peers.count(assumedPeers, p.Now())
	e.callers = l
	e.links = newLinks("", p.Now, p.Log)
	e.proofs = &proofs{links: e.links, zone: s.Zone, clients: make(map[string]*mesh.Client)}
	e.relays = relay.NewLinks(mesh.Dial)
	e.server = proxy.New(p.Dialer, e.roster, append(opts, proxy.WithProver(e.proofs), proxy.WithPeerClient(e.relays))...)
	e.links.request, e.links.accept = e.request, e.accept
	e.links.seek(e.ctx, s.Seeds)
	e.probe = &http.Server{Handler: p.Ready(e.Ready), ReadHeaderTimeout: headerLimit, IdleTimeout: idleLimit}
	go func() { e.ended <- e.server.Serve(e.ctx, l, p.Open) }()
	go func() { e.ended <- serveHTTP(e.probe, pl) }()
	go func() { e.ended <- ctrl.Serve(e.ctx, rl, mux) }()
	return e, nil
}

const (
	headerLimit = 3 * time.Second
	idleLimit   = 15 * time.Second
)

func serveHTTP(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Ended receives the end of a server of the role, with its error.
func (e *Entry) Ended() <-chan error { return e.ended }

// Ready reports whether the instance takes new callers. One that is cut off lets
// the platform send them to another zone.
func (e *Entry) Ready() bool {
	cut := e.isolated()
	if e.server.SetIsolated(cut) {
		e.parts.Log.Warn().Bool("isolated", cut).Msg("isolation changed")
	}
	return e.server.Configured() && !e.leaving.Load() && !cut
}

// isolatedAfter is how long neither a majority of control nor the primaries of
// most services may answer before the instance counts as cut off: two probes and
// exchanges, each of which takes 400 ms.
const isolatedAfter = 900 * time.Millisecond

// isolated reports whether the instance is cut off from what it needs.
func (e *Entry) isolated() bool {
	known, proved := e.server.CountProofs(isolatedAfter)
	return cutOff(e.links.majority(isolatedAfter), known, proved)
}

// cutOff decides whether an instance is cut off. The loss of control alone, or of
// primaries alone, is the same for all instances; so is that of control and of one
// primary in three. An instance that misses more of them while it misses control is
// behind a partition, and others serve its callers better.
func cutOff(control bool, known, proved int) bool { return !control && 3*proved < 2*known }

// Reload takes in new settings.
func (e *Entry) Reload(s Settings) { e.links.seek(e.ctx, s.Seeds) }

// request tells control what this instance has.
func (e *Entry) request() mesh.SyncRequest {
	in := mesh.SyncRequest{
		Name: e.settings.Name, Zone: e.settings.Zone, Serves: true, Config: e.server.Version(),
		Probed: e.server.ProbedServices(), Addr: e.settings.Peer, Leaving: e.leaving.Load(),
	}
	for _, t := range e.server.UnresponsiveMembers() {
		in.Troubles = append(in.Troubles, mesh.Observation(t))
	}
	return in
}

// accept takes in what control knows.
func (e *Entry) accept(r *mesh.SyncReply) {
	now := e.parts.Now()
	for _, entry := range r.Entries {
		e.roster.Put(entry, now)
	}
	e.server.SetInstanceCount(e.peers.count(r.Instances, now))
	if peers := e.links.peers(); len(peers) > 0 {
		list := make([]proxy.Peer, len(peers))
		for i, p := range peers {
			list[i] = proxy.Peer(p)
		}
		e.server.SetPeers(list)
	}
	if r.Version <= e.server.Version() {
		return
	}
	doc, err := e.parts.Decode(r.Config)
	if err != nil {
		e.parts.Log.Error().Err(err).Uint64("version", r.Version).Msg("stored configuration cannot be read")
		return
	}
	e.server.Configure(doc)
}

// peersHold is how long the largest number of instances that was heard stays in
// force. A control instance that was frozen, or has just started, knows few.
const peersHold = 5 * time.Second

// assumedPeers is assumed of a fleet that is not known yet: what the users run
// today.
const assumedPeers = 7

// peerCount keeps how many instances share the backend servers.
type peerCount struct {
	mu    sync.Mutex
	heard []heardCount // ordered by time, with falling numbers
}

type heardCount struct {
	n  int
	at time.Time
}

// count takes in a number and returns the largest one of late.
func (p *peerCount) count(n int, now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.heard) > 0 && now.Sub(p.heard[0].at) > peersHold {
		p.heard = p.heard[1:]
	}
	for len(p.heard) > 0 && p.heard[len(p.heard)-1].n <= n {
		p.heard = p.heard[:len(p.heard)-1]
	}
	p.heard = append(p.heard, heardCount{n: n, at: now})
	return p.heard[0].n
}

const (
	// unreadyFor is how long new callers may still come after the probe fails: two
	// probes, a second apart.
	unreadyFor = 2200 * time.Millisecond
	// stopMargin is left for the end of the process.
	stopMargin = 500 * time.Millisecond
)

// Shutdown stops taking callers, lets requests and transactions end, and returns
// within the grace time. Transactions have the first half of it.
func (e *Entry) Shutdown() {
	e.leaving.Store(true)
	grace := e.settings.Grace
	wait := min(unreadyFor, grace/2)
	time.Sleep(wait)
	ctx, stop := context.WithTimeout(context.Background(), max(0, grace-wait-stopMargin))
	defer stop()
	e.server.Drain(ctx, max(0, grace/2-wait))
	e.Close()
}

// Close stops the role at once.
func (e *Entry) Close() {
	e.cancel()
	_ = e.callers.Close()
	_ = e.probe.Close()
	e.links.close()
	e.server.Close()
	e.proofs.close()
	if err := e.relays.Close(); err != nil {
		e.parts.Log.Debug().Err(err).Msg("links to other instances ended with an error")
	}
}

// holderCalls serves other instances of the zone.
type holderCalls struct{ e *Entry }

// HandleDelegated serves requests that another instance passes on.
func (h holderCalls) HandleDelegated(c proxy.Caller) { h.e.server.HandleDelegated(c) }

// Newest returns the newest proof of a service.
func (h holderCalls) Newest(service string) (proxy.Proof, bool) { return h.e.server.Newest(service) }
