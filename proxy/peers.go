package proxy

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"tamarackcross/config"
	"tamarackcross/event"
	"tamarackcross/place"
)

// Peer is an instance that serves callers. Zone is empty for one of the own zone.
type Peer struct{ Name, Addr, Zone string }

// PeerClient connects to other instances of the zone.
type PeerClient interface {
	Open(ctx context.Context, addr string) (Link, error)
	// Ping returns nil if the instance answers. It uses a connection apart from the
	// links, so that a busy link does not delay it.
	Ping(ctx context.Context, addr string) error
}

// WithName sets the name of the instance as its peers know it.
func WithName(name string) Option { return func(s *Server) { s.name = name } }

// WithZoneCount sets how many availability zones share the backend servers.
func WithZoneCount(n int) Option { return func(s *Server) { s.zones = max(1, n) } }

// WithPeerClient lets the instance forward requests to its peers.
func WithPeerClient(l PeerClient) Option { return func(s *Server) { s.peerClient = l } }

// SetPeers sets the instances that serve callers: those of the own zone, this one among them, and of
// the other zones if ForwardsToAllZones.
func (s *Server) SetPeers(list []Peer) {
	if s.peerClient != nil && s.peers.update(list) {
		s.updateServices()
	}
}

const (
	// silenceBeforePing is how long a request to a holder may go unanswered before the
	// holder is pinged: longer than most statements of the users take.
	silenceBeforePing = 120 * time.Millisecond
	// pingTimeout bounds the wait for the answer to a ping: a round trip within the
	// zone and the scheduling delay of a busy instance.
	pingTimeout = 150 * time.Millisecond
	// pingRetryInterval is the time between pings to a holder that does not answer.
	pingRetryInterval = 300 * time.Millisecond
	// linkOpenTimeout bounds the opening of a link.
	linkOpenTimeout = 150 * time.Millisecond
	// linkIdleTimeout is how long a link may stay unused.
	linkIdleTimeout = 10 * time.Second
	// temporaryHolderPeriod is how long an instance acts as a holder after a peer
	// forwarded a request to it. Instances learn of changes in the zone at different
	// times, so their assignments may differ for a while.
	temporaryHolderPeriod = 5 * time.Second
)

// peerSet holds what an instance knows about the other instances of its zone.
type peerSet struct {
	srv *Server
	wg  conc.WaitGroup

	mu     sync.Mutex
	list   []Peer
	byName map[string]*peer
	// assigned is the last result of assignHolders.
	assigned assignment
}

// assignment holds the holders, by zone and service, with what they follow from beside the list of
// instances.
type assignment struct {
	doc              *config.Document
	instances, zones int
	holders          map[string]map[string][]string
}

// peer is another instance. All fields but Peer and set are guarded by set.mu.
type peer struct {
	Peer
	set       *peerSet
	idle      []idleLink
	borrowed  map[*borrowedLink]struct{}
	lastHeard time.Time
	failing   bool      // the last ping was not answered
	unsettled time.Time // when it last answered a ping after it had failed one, or refused a request
	checking  bool      // pingUntilAnswered is running
	retired   bool      // the peer has left the list
}

type idleLink struct {
	link     Link
	lastUsed time.Time
}

// borrowedLink is a link to a holder in use for one unit of work, a statement or a
// transaction.
type borrowedLink struct {
	peer      *peer
	link      Link
	abortable bool
}

func newPeerSet(s *Server) *peerSet { return &peerSet{srv: s, byName: make(map[string]*peer)} }

// update sets the list of instances and reports whether it changed.
func (p *peerSet) update(list []Peer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if slices.Equal(list, p.list) {
		return false
	}
	p.list, p.assigned = slices.Clone(list), assignment{}
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.Name] = true
		if old := p.byName[e.Name]; old == nil || old.Peer != e {
			if old != nil {
				old.retire()
			}
			p.byName[e.Name] = &peer{Peer: e, set: p, borrowed: make(map[*borrowedLink]struct{})}
		}
	}
	for name, e := range p.byName {
		if !listed[name] {
			e.retire()
			delete(p.byName, name)
		}
	}
	return true
}

// retire closes the idle links of a peer that has left the list. Borrowed links are
// closed when they are put back.
func (e *peer) retire() {
	e.retired = true
	e.closeIdle()
}

func (e *peer) closeIdle() {
	for _, l := range e.idle {
		_ = l.link.Close()
	}
	e.idle = nil
}

// assignHolders returns the holders of those services that have too few connections for all
// instances, by zone and service. It keeps the last result, for the same arguments.
func (p *peerSet) assignHolders(doc *config.Document, instances, zones int) map[string]map[string][]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	in := assignment{doc: doc, instances: instances, zones: zones}
	if p.assigned.holders != nil && p.assigned.doc == doc && p.assigned.instances == instances && p.assigned.zones == zones {
		return p.assigned.holders
	}
	names := make(map[string][]string)
	for _, e := range p.list {
		names[e.Zone] = append(names[e.Zone], e.Name)
	}
	var counts []place.HolderCount
	for name, cfg := range doc.Services {
		if connsScarce(cfg, instances) {
			counts = append(counts, place.HolderCount{Service: name, Holders: place.HoldersPerZone(cfg.MaxConns-reservedControlConns, zones)})
		}
	}
	in.holders = make(map[string]map[string][]string, len(names))
	for zone, list := range names {
		if len(doc.Customers) > 0 {
			in.holders[zone] = place.AssignSlots(counts, list)
		} else {
			in.holders[zone] = place.Assign(counts, list)
		}
	}
	p.assigned = in
	return in.holders
}

// closeExpiredLinks closes links that have reached their idle timeout.
func (p *peerSet) closeExpiredLinks(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.byName {
		e.idle = slices.DeleteFunc(e.idle, func(l idleLink) bool {
			expired := now.Sub(l.lastUsed) > linkIdleTimeout
			if expired {
				_ = l.link.Close()
			}
			return expired
		})
	}
}

func (p *peerSet) close() {
	p.update(nil)
	p.wg.Wait()
}

// borrowHolderLink borrows a link to a holder of the service for one unit of work. It
// returns nil if this instance is a holder itself, or if no holder can be reached.
func (v *service) borrowHolderLink(ctx context.Context, to destination, tried []string) *borrowedLink {
	p := v.srv.peers
	tried = slices.Clone(tried)
	for {
		e := v.chooseHolder(to, tried)
		if e == nil {
			return nil
		}
		d, err := p.borrow(ctx, e)
		if err == nil {
			return d
		}
		v.log.Request(zerolog.InfoLevel).Str(event.Holder, e.Name).Err(err).Msg("holder cannot be reached")
		tried = append(tried, e.Name)
		p.checkHealth(e)
	}
}

// chooseHolder returns the holder to which a request is forwarded, leaving out those in
// tried. It returns nil if this instance is a holder itself, or if no holder answers.
func (v *service) chooseHolder(to destination, tried []string) *peer {
	v.mu.Lock()
	defer v.mu.Unlock()
	p := v.srv.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	if to.customer != "" {
		return v.chooseCustomerHolder(to, tried)
	}
	if slices.Contains(v.holders, v.srv.name) {
		return nil
	}
	var hs []place.Holder
	for _, name := range v.holders {
		if e := p.byName[name]; e != nil && !slices.Contains(tried, name) {
			hs = append(hs, place.Holder{Name: name, InFlight: len(e.borrowed), Failing: e.failing})
		}
	}
	name, ok := place.Choose(hs, v.rnd)
	if !ok {
		return nil
	}
	return p.byName[name]
}

// borrow takes an idle link to the peer or opens one.
func (p *peerSet) borrow(ctx context.Context, e *peer) (*borrowedLink, error) {
	d := &borrowedLink{peer: e}
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
	e.borrowed[d] = struct{}{}
	p.mu.Unlock()
	if d.link != nil {
		return d, nil
	}
	ctx, stop := context.WithTimeout(ctx, linkOpenTimeout)
	defer stop()
	l, err := p.srv.peerClient.Open(ctx, e.Addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		delete(e.borrowed, d)
		return nil, err
	}
	d.link = l
	return d, nil
}

// put returns the link for further use.
func (d *borrowedLink) put() {
	e, now := d.peer, d.peer.set.srv.now()
	e.set.mu.Lock()
	defer e.set.mu.Unlock()
	delete(e.borrowed, d)
	if e.retired || e.failing {
		_ = d.link.Close()
		return
	}
	e.idle = append(e.idle, idleLink{link: d.link, lastUsed: now})
}

// discard closes the link. The holder then rolls back an open transaction.
func (d *borrowedLink) discard() {
	d.peer.set.mu.Lock()
	defer d.peer.set.mu.Unlock()
	delete(d.peer.borrowed, d)
	_ = d.link.Close()
}

// exchange sends a request to the holder and waits for the answer. If none arrives
// within silenceBeforePing, it has the holder pinged. A failed ping ends the wait
// for an abortable request.
// The link is closed if the caller leaves meanwhile: the holder then drops what it has not sent to a
// backend server.
func (d *borrowedLink) exchange(req Forwarded, limit time.Duration, abortable bool, gone func() bool) (Answer, error) {
	e := d.peer
	if !e.set.srv.ending.begin(d) {
		return Answer{}, ErrNotProcessed
	}
	defer e.set.srv.ending.done(d)
	e.set.mu.Lock()
	d.abortable = abortable
	e.set.mu.Unlock()
	silenceTimer := time.AfterFunc(silenceBeforePing, func() { e.set.checkHealth(e) })
	defer silenceTimer.Stop()
	stopWatch := closeWhenGone(d.link, gone)
	defer stopWatch()
	a, err := d.link.Exchange(req, limit)
	now := e.set.srv.now()
	e.set.mu.Lock()
	defer e.set.mu.Unlock()
	d.abortable = false
	if err == nil {
		e.lastHeard = now
	}
	return a, err
}

// Close closes the link while an exchange is under way.
func (d *borrowedLink) Close() error { return d.link.Close() }

// closeWhenGone closes a link once gone reports that the caller has left. The returned function ends
// the watch.
func closeWhenGone(l Link, gone func() bool) (stop func()) {
	var mu sync.Mutex
	var timer *time.Timer
	stopped := false
	check := func() {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case stopped:
		case gone():
			_ = l.Close()
		default:
			timer.Reset(goneCheckInterval)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(goneCheckInterval, check)
	return func() {
		mu.Lock()
		defer mu.Unlock()
		stopped = true
		timer.Stop()
	}
}

// recordRefusal records that the holder did not process a request, as one that is leaving.
func (d *borrowedLink) recordRefusal() {
	now := d.peer.set.srv.now()
	d.peer.set.mu.Lock()
	defer d.peer.set.mu.Unlock()
	d.peer.unsettled = now
}

// checkHealth starts to ping a peer that was silent for silenceBeforePing, unless
// this is under way. A peer that does not answer gets no requests until it does, and
// requests that are safe to run elsewhere end with an error.
func (p *peerSet) checkHealth(e *peer) {
	now := p.srv.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if e.checking || e.retired || p.srv.ctx.Err() != nil {
		return
	}
	e.checking = true
	delay := silenceBeforePing - now.Sub(e.lastHeard)
	p.wg.Go(func() { p.pingUntilAnswered(e, delay) })
}

// pingUntilAnswered pings the peer after a delay, and again until it answers or is
// retired.
func (p *peerSet) pingUntilAnswered(e *peer, delay time.Duration) {
	if delay > 0 {
		p.sleep(delay)
	}
	for {
		ctx, stop := context.WithTimeout(p.srv.ctx, pingTimeout)
		err := p.srv.peerClient.Ping(ctx, e.Addr)
		stop()
		if p.recordPing(e, err) {
			return
		}
		p.sleep(pingRetryInterval)
	}
}

func (p *peerSet) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-p.srv.ctx.Done():
	}
}

// recordPing records the outcome of a ping and reports whether it was the last one.
func (p *peerSet) recordPing(e *peer, err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e.failing != (err != nil) {
		e.failing, e.unsettled = err != nil, p.srv.now()
		p.srv.log.Info().Str(event.Holder, e.Name).Bool("failing", e.failing).Err(err).Msg("state of a peer changed")
	}
	if err == nil || e.retired || p.srv.ctx.Err() != nil {
		e.checking = false
		return true
	}
	e.closeIdle()
	for d := range e.borrowed {
		if d.abortable && d.link != nil {
			_ = d.link.Close()
		}
	}
	return false
}

// actAsHolder makes the instance a holder of the service for temporaryHolderPeriod.
func (v *service) actAsHolder(now time.Time) {
	v.mu.Lock()
	becomesHolder := now.Sub(v.lastForwardReceived) > temporaryHolderPeriod
	v.lastForwardReceived = now
	v.mu.Unlock()
	if becomesHolder {
		v.srv.updateServices()
	}
}

// setHolders sets the holders of the service by zone, and reports whether this instance acts as
// one.
func (v *service) setHolders(byZone map[string][]string, now time.Time) bool {
	names := slices.DeleteFunc(slices.Clone(byZone[ownZone]), func(name string) bool { return name == "" })
	v.mu.Lock()
	defer v.mu.Unlock()
	v.moveCustomers(byZone)
	v.holders = names
	v.isHolder = slices.Contains(names, v.srv.name) || !v.lastForwardReceived.IsZero() && now.Sub(v.lastForwardReceived) <= temporaryHolderPeriod
	return v.isHolder
}

// forwards reports whether requests for the service are forwarded to holders. Those of a customer
// are, unless chooseHolder finds that this instance is its holder.
func (v *service) forwards(customer string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.holders) > 0 && (customer != "" || !slices.Contains(v.holders, v.srv.name))
}

// holderShare returns how many connections to a backend server a holder may use for
// statements. The connections are shared by the holders of all zones and by the instances
// in the zone of the server, which keep some for reads. A holder does not know the sizes of
// other zones and reckons with their mean, so that all holders get the same share.
func holderShare(cfg config.Service, zones, instances int) int {
	conns, holders := cfg.MaxConns-reservedControlConns, holderCount(cfg, zones)
	perZone := max(1, (instances+zones-1)/zones)
	spare := conns - holders*(minConnShare+probeConns)
	kept := perZone * min(maxNonHolderShare, max(0, spare/perZone))
	return max(minConnShare, (conns-kept)/holders-probeConns)
}

// holderCount returns the number of holders of a service in all zones.
func holderCount(cfg config.Service, zones int) int {
	return place.HoldersPerZone(cfg.MaxConns-reservedControlConns, zones) * zones
}

// maxNonHolderShare is the most connections that an instance that is no holder keeps to
// a backend server of its zone, for reads that it does not forward.
const maxNonHolderShare = 3

// nonHolderShare returns how many connections an instance that is no holder keeps to a
// backend server of its zone, which has peers instances: those that the holders of all zones
// leave, divided by peers.
func nonHolderShare(cfg config.Service, zones, instances, peers int) int {
	conns := cfg.MaxConns - reservedControlConns
	spare := conns - holderCount(cfg, zones)*(holderShare(cfg, zones, instances)+probeConns)
	return min(maxNonHolderShare, max(0, spare/max(1, peers)))
}

// count returns the number of instances of the zone.
func (p *peerSet) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, e := range p.list {
		if e.Zone == "" {
			n++
		}
	}
	return n
}
