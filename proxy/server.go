// Package proxy serves callers on one instance. Codecs turn what a caller sends into
// typed statements and read the answers of backend servers. For each statement the
// package finds the route of the session, chooses a member of the database group,
// waits for admission, borrows a connection, executes the statement and replies. It
// also probes the members, and forwards requests to holders where there are too few
// connections for all instances.
package proxy

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/panics"

	"tamarackcross/config"
	"tamarackcross/event"
	"tamarackcross/roster"
	"tamarackcross/stats"
	"tamarackcross/tasks"
)

const (
	// startupTimeout bounds the wait for a caller to name its database. Callers give
	// up after 2 s.
	startupTimeout = 2 * time.Second
	// maintenanceInterval is the time between runs of maintain.
	maintenanceInterval = 500 * time.Millisecond
)

// Server serves callers on one instance.
type Server struct {
	name        string // by which its peers know the instance
	zone        string
	zones       int // number of zones that share the backend servers
	dialer      Dialer
	prover      Prover // nil if the instance always probes itself
	leases      Leases // nil if a promotion stops the former primary
	caps        Caps   // nil if customers have no caps
	freezes     freezeWatch
	peerClient  PeerClient // nil if the instance forwards nothing
	peers       *peerSet
	roster      *roster.Table
	now         func() time.Time
	log         *event.Log
	stats       *stats.Registry
	ownsStats   bool // stats ends with the server
	seed        uint64
	maxSessions int
	// healthChanged is called when a backend server starts or stops to answer probes. It must
	// not block.
	healthChanged func()

	doc       atomic.Pointer[config.Document]
	instances atomic.Int64 // number of instances that share the backend servers
	draining  atomic.Bool
	stop      atomic.Pointer[stopTimes] // nil until Drain
	ending    *ending
	isolated  atomic.Bool // cut off, while other instances can serve

	mu       sync.Mutex
	services map[string]*service
	sessions map[*session]struct{}

	ctx         context.Context
	cancel      context.CancelFunc
	requests    context.Context // of the requests of callers; ends before ctx in a drain
	endRequests context.CancelFunc
	wg          tasks.Group
}

// Option configures a Server.
type Option func(*Server)

// WithZone sets the availability zone of the instance.
func WithZone(zone string) Option { return func(s *Server) { s.zone = zone } }

// WithClock sets the clock. It must keep running while the machine is suspended.
func WithClock(now func() time.Time) Option { return func(s *Server) { s.now = now } }

// WithLog sets the log.
func WithLog(l *event.Log) Option { return func(s *Server) { s.log = l } }

// WithStats sets the registry of the metrics.
func WithStats(r *stats.Registry) Option { return func(s *Server) { s.stats = r } }

// WithSeed sets the seed of the random choices.
func WithSeed(seed uint64) Option { return func(s *Server) { s.seed = seed } }

// WithMaxSessions bounds the number of open sessions.
func WithMaxSessions(n int) Option { return func(s *Server) { s.maxSessions = n } }

// WithHealthChanged sets a function that is called when a backend server starts or stops to
// answer probes. It must not block.
func WithHealthChanged(f func()) Option { return func(s *Server) { s.healthChanged = f } }

// defaultMaxSessions fits the limit on file descriptors that an instance usually has.
const defaultMaxSessions = 3500

// New returns a server that connects to backend servers through d and takes their
// addresses from t. It rejects callers until Configure is called.
func New(d Dialer, t *roster.Table, opts ...Option) *Server {
	s := &Server{
		dialer: d, roster: t, now: time.Now, log: event.Nop(), seed: 1, zones: 1, maxSessions: defaultMaxSessions,
		services: make(map[string]*service), sessions: make(map[*session]struct{}), healthChanged: func() {}, ending: newEnding(),
	}
	for _, opt := range opts {
		opt(s)
	}
	if s.stats == nil {
		s.stats, s.ownsStats = stats.New(nil), true
	}
	s.stats.Gauges(s.setGauges)
	s.peers = newPeerSet(s)
	s.instances.Store(1)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.requests, s.endRequests = context.WithCancel(s.ctx)
	s.wg.Go(func() { s.followRoster(s.ctx) })
	if s.caps != nil {
		s.wg.Go(func() { s.freezes.run(s.ctx, s.now) })
	}
	return s
}

// Configure puts a configuration document in force if it is newer than the current one.
func (s *Server) Configure(doc *config.Document) {
	for {
		old := s.doc.Load()
		if old != nil && old.Version >= doc.Version {
			return
		}
		if s.caps != nil {
			s.caps.Configure(doc)
		}
		if s.doc.CompareAndSwap(old, doc) {
			break
		}
	}
	s.log.Info().Uint64(event.Version, doc.Version).Int("routes", len(doc.Routes)).Int("customers", len(doc.Customers)).Msg("configuration in force")
	s.updateServices()
}

// Configured reports whether a configuration document is in force.
func (s *Server) Configured() bool { return s.doc.Load() != nil }

// Version returns the version of the document in force, or 0.
func (s *Server) Version() uint64 {
	if doc := s.doc.Load(); doc != nil {
		return doc.Version
	}
	return 0
}

// SetInstanceCount sets how many instances share the backend servers.
func (s *Server) SetInstanceCount(n int) {
	if old := s.instances.Swap(int64(max(1, n))); old != int64(n) {
		s.updateServices()
	}
}

// followRoster keeps the services up to date with the roster, and runs the maintenance.
func (s *Server) followRoster(ctx context.Context) {
	t := time.NewTicker(maintenanceInterval)
	defer t.Stop()
	for {
		_, _, changed := s.roster.Since(s.roster.Revision())
		s.updateServices()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-t.C:
			s.maintain()
		}
	}
}

// updateServices applies the document in force, the roster and the number of
// instances to the services.
func (s *Server) updateServices() {
	doc := s.doc.Load()
	if doc == nil {
		return
	}
	now, n := s.now(), int(s.instances.Load())
	var holders map[string]map[string][]string // by zone and service
	if s.peerClient != nil {
		holders = s.peers.assignHolders(doc, n, s.zones)
	}
	tightest := tightestMaxAges(doc)
	for name, cfg := range doc.Services {
		v := s.service(name)
		v.setTightestMaxAge(tightest[name])
		connsAreScarce, shares := connsScarce(cfg, n), connShares{base: equalShare(cfg, n), keepIdle: !connsScarce(cfg, n)}
		byZone := make(map[string][]string, len(holders))
		for zone, byService := range holders {
			byZone[zone] = byService[name]
		}
		holds := v.setHolders(byZone, now)
		switch peers := s.peers.count(); {
		case connsAreScarce && len(doc.Customers) > 0:
			shares = v.customerShares(cfg, s.zones, holds)
		case connsAreScarce && holds:
			shares = connShares{base: holderShare(cfg, s.zones, n), keepIdle: true}
		case connsAreScarce && peers > 0:
			shares.sameZone = nonHolderShare(cfg, s.zones, n, peers)
		}
		v.setControlProbes(s.prover != nil && connsAreScarce && !holds)
		v.updateMembers(s.roster.Members(name), shares, now)
	}
}

// tightestMaxAges returns the least bound on the age of reads among the routes of each
// service.
func tightestMaxAges(doc *config.Document) map[string]time.Duration {
	out := make(map[string]time.Duration)
	for _, r := range doc.Routes {
		if old, ok := out[r.Service]; r.MaxAge > 0 && (!ok || r.MaxAge < old) {
			out[r.Service] = r.MaxAge
		}
	}
	return out
}

func (s *Server) maintain() {
	now := s.now()
	for _, v := range s.allServices() {
		v.maintain(now)
	}
	s.peers.closeExpiredLinks(now)
}

func (s *Server) allServices() []*service {
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

// UnresponsiveMembers lists the backend servers that do not answer this instance.
func (s *Server) UnresponsiveMembers() []UnresponsiveMember {
	now := s.now()
	var out []UnresponsiveMember
	for _, v := range s.allServices() {
		out = append(out, v.unresponsiveMembers(now)...)
	}
	return out
}

// SetIsolated sets whether the instance is cut off from the others, and reports
// whether that changed. While it is, a session ends after a refused request, so that
// the caller connects to another instance.
func (s *Server) SetIsolated(isolated bool) bool { return s.isolated.Swap(isolated) != isolated }

// CountProofs counts the services whose primary should be known here, and those of them
// whose primary proved its role within d. Where requests are forwarded, a proof that
// the holder reports with its answer counts too.
func (s *Server) CountProofs(d time.Duration) (known, proved int) {
	now := s.now()
	for _, v := range s.allServices() {
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

// Serve accepts callers on l until ctx ends or the server is closed. open returns
// the codec for a connection.
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
		if !s.wg.Go(func() { s.contain(func() { s.handle(open(nc)) }) }) {
			_ = nc.Close()
			return nil
		}
	}
}

// contain runs the work for one caller. A panic ends the session, not the process.
func (s *Server) contain(f func()) {
	if r := panics.Try(f); r != nil {
		s.log.Panicked("session", r.AsError())
		s.stats.Panicked()
	}
}

// handle serves one caller until its connection ends.
func (s *Server) handle(c Caller) {
	defer c.Close()
	s.stats.CallerOpened()
	defer s.stats.CallerClosed()
	database, user, err := c.ReadStartup(startupTimeout)
	if err != nil {
		return
	}
	id := newIdentity(user)
	if f := s.checkStartup(database, id); f != nil {
		s.log.Request(zerolog.InfoLevel).Str(event.Database, database).Str(event.Code, f.Code.String()).Msg("session refused")
		_ = c.Refuse(f)
		return
	}
	if s.draining.Load() {
		_ = c.Refuse(leavingFault)
		return
	}
	x := newSession(s, c, database, id)
	if !s.addSession(x) {
		_ = c.Refuse(fault(Busy, "too many sessions, come back in 500 ms"))
		return
	}
	defer s.removeSession(x)
	if err := c.SendReady(); err != nil {
		return
	}
	x.serve(s.ctx)
}

func (s *Server) checkStartup(database string, id identity) *Fault {
	doc := s.doc.Load()
	if doc == nil {
		return fault(Busy, "no configuration yet, come back in 500 ms")
	}
	r, ok := doc.Routes[database]
	if !ok {
		return fault(NoDatabase, "no such database")
	}
	_, f := s.identify(id, r)
	return f
}

func (s *Server) addSession(x *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.sessions) >= s.maxSessions {
		return false
	}
	s.sessions[x] = struct{}{}
	return true
}

func (s *Server) removeSession(x *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, x)
}

func (s *Server) forEachSession(f func(*session)) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for x := range s.sessions {
		f(x)
	}
	return len(s.sessions)
}

// drainPollInterval is the time between checks of the sessions that are left.
const drainPollInterval = 20 * time.Millisecond

// Drain ends the sessions: idle ones at once, sessions in a transaction when it ends
// or after txLimit, and those with a request in flight when it is answered, or answerMargin before
// limit has passed. It returns when no session is left, after limit, or when ctx ends.
func (s *Server) Drain(ctx context.Context, txLimit, limit time.Duration) {
	now := s.now()
	s.stop.Store(&stopTimes{txEnd: now.Add(txLimit), requestEnd: now.Add(limit - answerMargin)})
	s.draining.Store(true)
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	giveUp := time.NewTimer(limit - answerMargin)
	defer giveUp.Stop()
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	txCutoff := time.NewTimer(txLimit)
	defer txCutoff.Stop()
	includeTx := false
	for s.forEachSession(func(x *session) { x.interrupt(includeTx) }) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-txCutoff.C:
			includeTx = true
		case <-giveUp.C:
			s.giveUpRequests()
		case <-t.C:
		}
	}
}

// giveUpRequests ends the waits of all requests that are under way.
func (s *Server) giveUpRequests() {
	s.endRequests()
	if n := s.ending.end(); n > 0 {
		s.log.Warn().Int("requests", n).Msg("requests were given up because the instance stops; their callers get an answer")
	}
}

// Close ends every session and waits for all goroutines of the server.
func (s *Server) Close() {
	s.draining.Store(true)
	s.cancel()
	s.forEachSession(func(x *session) { _ = x.caller.Close() })
	for _, v := range s.allServices() {
		v.close()
	}
	s.peers.close()
	s.wg.Wait()
	if s.ownsStats {
		_ = s.stats.Close() // the registry writes nowhere
	}
}
