// Package proxy serves callers through a pipeline of typed statements: identify
// the session, find the route, choose a member, borrow a connection, execute,
// settle, reply. Codecs above and below it read and write the wire.
package proxy

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"tamarackcross/config"
	"tamarackcross/event"
	"tamarackcross/roster"
	"tamarackcross/stats"
)

const (
	// greetLimit is the time for a caller to name its database: callers give up
	// after 2 s.
	greetLimit = 2 * time.Second
	// upkeepInterval is between looks at idle connections.
	upkeepInterval = 500 * time.Millisecond
)

// Server serves callers on one instance.
type Server struct {
	name   string // as its peers know it
	zone   string
	zones  int // that share the backend servers
	dialer Dialer
	prover Prover // nil if the instance always probes itself
	links  Links  // nil if the instance passes on nothing
	peers  *peerSet
	roster *roster.Table
	now    func() time.Time
	log    *event.Log
	stats  *stats.Registry
	seed   uint64
	limit  int

	doc       atomic.Pointer[config.Document]
	instances atomic.Int64 // instances that share the backend servers
	draining  atomic.Bool
	isolated  atomic.Bool // other instances can serve what this one cannot

	mu       sync.Mutex
	services map[string]*service
	sessions map[*session]struct{}

	ctx    context.Context
	cancel context.CancelFunc
	wg     conc.WaitGroup
}

// Option configures a Server.
type Option func(*Server)

// WithZone sets the availability zone of the instance.
func WithZone(zone string) Option { return func(s *Server) { s.zone = zone } }

// WithClock sets the clock. It must run on while the machine is suspended.
func WithClock(now func() time.Time) Option { return func(s *Server) { s.now = now } }

// WithLog sets the log.
func WithLog(l *event.Log) Option { return func(s *Server) { s.log = l } }

// WithStats sets the metrics.
func WithStats(r *stats.Registry) Option { return func(s *Server) { s.stats = r } }

// WithSeed seeds the random choices.
func WithSeed(seed uint64) Option { return func(s *Server) { s.seed = seed } }

// WithMaxSessions bounds the open sessions.
func WithMaxSessions(n int) Option { return func(s *Server) { s.limit = n } }

// defaultMaxSessions fits the file descriptors that an instance usually has.
const defaultMaxSessions = 3500

// New returns a server that reaches backend servers through d and finds them in
// t. It serves nothing before Configure.
func New(d Dialer, t *roster.Table, opts ...Option) *Server {
	s := &Server{
		dialer: d, roster: t, now: time.Now, log: event.Nop(), seed: 1, zones: 1, limit: defaultMaxSessions,
		services: make(map[string]*service), sessions: make(map[*session]struct{}),
	}
	for _, opt := range opts {
		opt(s)
	}
	if s.stats == nil {
		s.stats = stats.New(nil)
	}
	s.peers = newPeerSet(s)
	s.instances.Store(1)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.wg.Go(func() { s.follow(s.ctx) })
	return s
}

// Configure puts a document in force if it is newer than the present one.
func (s *Server) Configure(doc *config.Document) {
	for {
		old := s.doc.Load()
		if old != nil && old.Version >= doc.Version {
			return
		}
		if s.doc.CompareAndSwap(old, doc) {
			break
		}
	}
	s.log.Info().Uint64(event.Version, doc.Version).Int("routes", len(doc.Routes)).Msg("configuration in force")
	s.refresh()
}

// Configured reports whether a document is in force.
func (s *Server) Configured() bool { return s.doc.Load() != nil }

// Version returns the version in force, or 0.
func (s *Server) Version() uint64 {
	if doc := s.doc.Load(); doc != nil {
		return doc.Version
	}
	return 0
}

// SetInstances tells how many instances share the backend servers.
func (s *Server) SetInstances(n int) {
	if old := s.instances.Swap(int64(max(1, n))); old != int64(n) {
		s.refresh()
	}
}

// follow keeps the services up to date with the roster.
func (s *Server) follow(ctx context.Context) {
	t := time.NewTicker(upkeepInterval)
	defer t.Stop()
	for {
		_, _, changed := s.roster.Since(s.roster.Revision())
		s.refresh()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-t.C:
			s.upkeep()
		}
	}
}

func (s *Server) refresh() {
	doc := s.doc.Load()
	if doc == nil {
		return
	}
	now, n := s.now(), int(s.instances.Load())
	var holders map[string][]string // by service
	if s.links != nil {
		holders = s.peers.assign(doc, n, s.zones)
	}
	tightest := tightestBounds(doc)
	for name, cfg := range doc.Services {
		v := s.service(name)
		v.setTightest(tightest[name])
		few, share := scarce(cfg, n), shares{far: shareOf(cfg, n), keep: !scarce(cfg, n)}
		holds := v.setHolders(holders[name], now)
		switch peers := s.peers.size(); {
		case few && holds:
			share = shares{far: heldShare(cfg, s.zones, peers), keep: true}
		case few && peers > 0:
			share.near = directShare(cfg, s.zones, peers)
		}
		v.setShared(s.prover != nil && few && !holds)
		v.refresh(s.roster.Members(name), share, now)
	}
}

// tightestBounds returns the least bound on the age of reads of each service.
func tightestBounds(doc *config.Document) map[string]time.Duration {
	out := make(map[string]time.Duration)
	for _, r := range doc.Routes {
		if old, ok := out[r.Service]; r.MaxAge > 0 && (!ok || r.MaxAge < old) {
			out[r.Service] = r.MaxAge
		}
	}
	return out
}

func (s *Server) upkeep() {
	now := s.now()
	for _, v := range s.all() {
		v.upkeep(now)
	}
	s.peers.trim(now)
	isolated := 0.0
	if s.isolated.Load() {
		isolated = 1
	}
	s.stats.Gauge("config_version", nil, float64(s.Version()))
	s.stats.Gauge("isolated", nil, isolated)
	s.stats.Gauge("instances", nil, float64(s.instances.Load()))
	s.stats.Gauge("log_lines_dropped", nil, float64(s.log.Dropped()))
	s.stats.Runtime()
}

func (s *Server) all() []*service {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*service, 0, len(s.services))
	for _, v := range s.services {
		out = append(out, v)
	}
	return out
}

func (s *Server) service(name string) *service {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.services[name]
	if v == nil {
		v = newService(s.ctx, s, name)
		s.services[name] = v
	}
	return v
}

// Troubles lists the backend servers that do not answer this instance.
func (s *Server) Troubles() []Trouble {
	now := s.now()
	var out []Trouble
	for _, v := range s.all() {
		out = append(out, v.troubles(now)...)
	}
	return out
}

// SetIsolated tells whether the instance is cut off, and reports whether that
// changed. A caller that is refused meanwhile is let go, so that it comes back at
// another instance.
func (s *Server) SetIsolated(isolated bool) bool { return s.isolated.Swap(isolated) != isolated }

// Proofs counts the services of which something is known here, and those of them
// whose primary proved its role within d. Where requests are passed on, an answer
// counts as a proof.
func (s *Server) Proofs(d time.Duration) (known, proved int) {
	now := s.now()
	for _, v := range s.all() {
		switch v.provedWithin(d, now) {
		case proofSeen:
			known++
			proved++
		case proofMissing:
			known++
		}
	}
	return known, proved
}

// Serve accepts callers on l until it is closed. open makes a codec for a
// connection.
func (s *Server) Serve(ctx context.Context, l net.Listener, open func(net.Conn) Caller) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		nc, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil || s.ctx.Err() != nil {
				return nil
			}
			return err
		}
		s.wg.Go(func() { s.handle(open(nc)) })
	}
}

// handle serves one caller from its first byte to its end.
func (s *Server) handle(c Caller) {
	defer c.Close()
	s.stats.CallerOpened()
	defer s.stats.CallerClosed()
	database, user, err := c.Greet(greetLimit)
	if err != nil {
		return
	}
	if f := s.admit(database); f != nil {
		s.log.Info().Str(event.Database, database).Str(event.Code, f.Code.String()).Msg("session refused")
		_ = c.Refuse(f)
		return
	}
	x := newSession(s, c, database, user)
	if !s.add(x) {
		_ = c.Refuse(fault(Busy, "too many sessions, come back in 500 ms"))
		return
	}
	defer s.remove(x)
	if err := c.Welcome(); err != nil {
		return
	}
	x.serve(s.ctx)
}

func (s *Server) admit(database string) *Fault {
	doc := s.doc.Load()
	if doc == nil {
		return fault(Busy, "no configuration yet, come back in 500 ms")
	}
	if _, ok := doc.Routes[database]; !ok {
		return fault(NoDatabase, "no such database")
	}
	return nil
}

func (s *Server) add(x *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.sessions) >= s.limit {
		return false
	}
	s.sessions[x] = struct{}{}
	return true
}

func (s *Server) remove(x *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, x)
}

func (s *Server) each(f func(*session)) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for x := range s.sessions {
		f(x)
	}
	return len(s.sessions)
}

// drainPoll is between looks at the sessions that are left.
const drainPoll = 20 * time.Millisecond

// Drain ends the sessions: idle ones at once, open transactions when they end or
// at txLimit after now, and requests in flight when they are answered. It
// returns when none is left or ctx ends.
func (s *Server) Drain(ctx context.Context, txLimit time.Duration) {
	s.draining.Store(true)
	t := time.NewTicker(drainPoll)
	defer t.Stop()
	cut := time.NewTimer(txLimit)
	defer cut.Stop()
	inTx := false
	for s.each(func(x *session) { x.interrupt(inTx) }) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-cut.C:
			inTx = true
		case <-t.C:
		}
	}
}

// Close ends every session and waits for their goroutines.
func (s *Server) Close() {
	s.draining.Store(true)
	s.cancel()
	s.each(func(x *session) { _ = x.caller.Close() })
	for _, v := range s.all() {
		v.close()
	}
	s.peers.close()
	s.wg.Wait()
}
