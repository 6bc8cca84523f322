package proxy

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"tamarackcross/config"
	"tamarackcross/event"
	"tamarackcross/place"
)

// Peer is an instance of the own zone.
type Peer struct{ Name, Addr string }

// Links opens links to other instances.
type Links interface {
	Open(ctx context.Context, addr string) (Link, error)
	// Ping returns nil if the instance answers, on another connection than those of
	// its links.
	Ping(ctx context.Context, addr string) error
	// Newest returns the newest proof that the instance has of a service.
	Newest(ctx context.Context, addr, service string) (Proof, error)
}

// WithName sets the name of the instance, by which its peers know it.
func WithName(name string) Option { return func(s *Server) { s.name = name } }

// WithZones sets how many zones share the backend servers.
func WithZones(n int) Option { return func(s *Server) { s.zones = max(1, n) } }

// WithLinks lets the instance pass requests on to peers.
func WithLinks(l Links) Option { return func(s *Server) { s.links = l } }

// SetPeers tells which instances of the own zone serve callers, this one among them.
func (s *Server) SetPeers(list []Peer) {
	if s.links != nil && s.peers.set(list) {
		s.refresh()
	}
}

const (
	// silentAfter is how long a holder may say nothing before it is asked whether it
	// is there: longer than most statements of the users take.
	silentAfter = 120 * time.Millisecond
	// pingLimit bounds the wait for its answer: a round trip within a zone and a wait
	// for the processor of a slow instance.
	pingLimit = 150 * time.Millisecond
	// pingPause is between questions to a holder that does not answer.
	pingPause = 300 * time.Millisecond
	// linkLimit bounds the opening of a link.
	linkLimit = 150 * time.Millisecond
	// linkIdle is how long a link may stay unused.
	linkIdle = 10 * time.Second
	// adoptFor is how long an instance counts as a holder after it was asked to be
	// one: instances learn of each other at different times.
	adoptFor = 5 * time.Second
)

// peerSet is what an instance knows of the others of its zone.
type peerSet struct {
	srv *Server
	wg  conc.WaitGroup

	mu    sync.Mutex
	list  []Peer
	names map[string]*peer
}

// peer is another instance. The fields but Peer and set are under the lock of
// the set.
type peer struct {
	Peer
	set      *peerSet
	idle     []idleLink
	open     map[*delegation]struct{}
	heard    time.Time
	failing  bool
	checking bool
	gone     bool
}

type idleLink struct {
	link Link
	used time.Time
}

// delegation is the use of a link for one unit of work.
type delegation struct {
	peer      *peer
	link      Link
	abortable bool
}

func newPeerSet(s *Server) *peerSet { return &peerSet{srv: s, names: make(map[string]*peer)} }

// set takes in the list and reports whether it changed.
func (p *peerSet) set(list []Peer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if slices.Equal(list, p.list) {
		return false
	}
	p.list = slices.Clone(list)
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.Name] = true
		if old := p.names[e.Name]; old == nil || old.Addr != e.Addr {
			if old != nil {
				old.forget()
			}
			p.names[e.Name] = &peer{Peer: e, set: p, open: make(map[*delegation]struct{})}
		}
	}
	for name, e := range p.names {
		if !listed[name] {
			e.forget()
			delete(p.names, name)
		}
	}
	return true
}

// forget ends what is idle. What is in use ends by itself.
func (e *peer) forget() {
	e.gone = true
	e.closeIdle()
}

func (e *peer) closeIdle() {
	for _, l := range e.idle {
		_ = l.link.Close()
	}
	e.idle = nil
}

// assign returns the holders in the own zone of the services that have too few
// connections for all instances.
func (p *peerSet) assign(doc *config.Document, instances, zones int) map[string][]string {
	p.mu.Lock()
	names := make([]string, 0, len(p.list))
	for _, e := range p.list {
		names = append(names, e.Name)
	}
	p.mu.Unlock()
	var needs []place.Need
	for name, cfg := range doc.Services {
		if scarce(cfg, instances) {
			needs = append(needs, place.Need{Service: name, Holders: place.Holders(cfg.MaxConns-reservedConns, zones)})
		}
	}
	return place.Assign(needs, names)
}

// trim closes links that have not been used for long.
func (p *peerSet) trim(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.names {
		e.idle = slices.DeleteFunc(e.idle, func(l idleLink) bool {
			old := now.Sub(l.used) > linkIdle
			if old {
				_ = l.link.Close()
			}
			return old
		})
	}
}

func (p *peerSet) close() {
	p.set(nil)
	p.wg.Wait()
}

// holder opens a unit of work at one of the holders of the service. It returns nil if
// this instance is the one to serve, or if none can be reached.
func (v *service) holder(ctx context.Context, tried []string) *delegation {
	p := v.srv.peers
	tried = slices.Clone(tried)
	for {
		e := v.chooseHolder(tried)
		if e == nil {
			return nil
		}
		d, err := p.open(ctx, e)
		if err == nil {
			return d
		}
		v.log.Info().Str(event.Holder, e.Name).Err(err).Msg("holder cannot be reached")
		tried = append(tried, e.Name)
		p.check(e)
	}
}

// chooseHolder chooses the holder for a request in the own zone. It returns nil if
// this instance is one, or if none answers.
func (v *service) chooseHolder(tried []string) *peer {
	v.mu.Lock()
	defer v.mu.Unlock()
	p := v.srv.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	if slices.Contains(v.holders, v.srv.name) {
		return nil
	}
	var hs []place.Holder
	for _, name := range v.holders {
		if e := p.names[name]; e != nil && !slices.Contains(tried, name) {
			hs = append(hs, place.Holder{Name: name, Open: len(e.open), Failing: e.failing})
		}
	}
	name, ok := place.Choose(hs, v.rnd)
	if !ok {
		return nil
	}
	return p.names[name]
}

// open takes an idle link or opens one.
func (p *peerSet) open(ctx context.Context, e *peer) (*delegation, error) {
	d := &delegation{peer: e}
	p.mu.Lock()
	for n := len(e.idle); n > 0 && d.link == nil; n = len(e.idle) {
		l := e.idle[n-1].link
		e.idle = e.idle[:n-1]
		if l.Alive() {
			d.link = l
		} else {
			_ = l.Close()
		}
	}
	e.open[d] = struct{}{}
	p.mu.Unlock()
	if d.link != nil {
		return d, nil
	}
	ctx, stop := context.WithTimeout(ctx, linkLimit)
	defer stop()
	l, err := p.srv.links.Open(ctx, e.Addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		delete(e.open, d)
		return nil, err
	}
	d.link = l
	return d, nil
}

// put hands the link back.
func (d *delegation) put() {
	e, now := d.peer, d.peer.set.srv.now()
	e.set.mu.Lock()
	defer e.set.mu.Unlock()
	delete(e.open, d)
	if e.gone || e.failing {
		_ = d.link.Close()
		return
	}
	e.idle = append(e.idle, idleLink{link: d.link, used: now})
}

// drop closes the link.
func (d *delegation) drop() {
	d.peer.set.mu.Lock()
	defer d.peer.set.mu.Unlock()
	delete(d.peer.open, d)
	_ = d.link.Close()
}

// exchange passes on a request, and asks the holder whether it is there if it says
// nothing for long.
func (d *delegation) exchange(req Delegated, limit time.Duration, abortable bool) (Answer, error) {
	e := d.peer
	e.set.mu.Lock()
	d.abortable = abortable
	e.set.mu.Unlock()
	watch := time.AfterFunc(silentAfter, func() { e.set.check(e) })
	defer watch.Stop()
	a, err := d.link.Exchange(req, limit)
	now := e.set.srv.now()
	e.set.mu.Lock()
	defer e.set.mu.Unlock()
	d.abortable = false
	if err == nil {
		e.heard = now
	}
	return a, err
}

// check asks a peer whether it is there, once it has not been heard for a while. One
// that does not answer gets no requests until it does, and those that may run elsewhere end.
func (p *peerSet) check(e *peer) {
	now := p.srv.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if e.checking || e.gone || p.srv.ctx.Err() != nil {
		return
	}
	e.checking = true
	pause := silentAfter - now.Sub(e.heard)
	p.wg.Go(func() { p.ping(e, pause) })
}

// ping asks after a pause, until the peer answers or is forgotten.
func (p *peerSet) ping(e *peer, pause time.Duration) {
	if pause > 0 {
		p.sleep(pause)
	}
	for {
		ctx, stop := context.WithTimeout(p.srv.ctx, pingLimit)
		err := p.srv.links.Ping(ctx, e.Addr)
		stop()
		if p.pinged(e, err) {
			return
		}
		p.sleep(pingPause)
	}
}

func (p *peerSet) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-p.srv.ctx.Done():
	}
}

// pinged records the outcome of a question and reports whether it was the last.
func (p *peerSet) pinged(e *peer, err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e.failing != (err != nil) {
		e.failing = err != nil
		p.srv.log.Info().Str(event.Holder, e.Name).Bool("failing", e.failing).Err(err).Msg("state of a peer changed")
	}
	if err == nil || e.gone || p.srv.ctx.Err() != nil {
		e.checking = false
		return true
	}
	e.closeIdle()
	for d := range e.open {
		if d.abortable && d.link != nil {
			_ = d.link.Close()
		}
	}
	return false
}

// adopt makes the instance a holder of the service for a while.
func (v *service) adopt(now time.Time) {
	v.mu.Lock()
	fresh := now.Sub(v.adopted) > adoptFor
	v.adopted = now
	v.mu.Unlock()
	if fresh {
		v.srv.refresh()
	}
}

// setHolders records who holds the connections of the service in the zone, and
// reports whether this instance does.
func (v *service) setHolders(names []string, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.holders = names
	v.holds = slices.Contains(names, v.srv.name) || !v.adopted.IsZero() && now.Sub(v.adopted) <= adoptFor
	return v.holds
}

// delegates reports whether requests for the service may be passed on.
func (v *service) delegates() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.holders) > 0 && !slices.Contains(v.holders, v.srv.name)
}

// heldShare returns how many connections of a backend server a holder may use for
// statements, while holders of all zones and the peers of its own zone share them.
func heldShare(cfg config.Service, zones, peers int) int {
	conns := cfg.MaxConns - reservedConns
	holders := place.Holders(conns, zones) * zones
	return max(minConns, (conns-peers*directShare(cfg, zones, peers))/holders-probeConns)
}

// mostDirect is the most connections that an instance keeps to a backend server of
// its zone for reads that it does not pass on.
const mostDirect = 3

// directShare returns how many connections to a backend server of its zone an
// instance keeps that is no holder.
func directShare(cfg config.Service, zones, peers int) int {
	conns := cfg.MaxConns - reservedConns
	spare := conns - place.Holders(conns, zones)*zones*(minConns+probeConns)
	return min(mostDirect, max(0, spare/max(1, peers)))
}

// size counts the instances of the zone.
func (p *peerSet) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.list)
}
