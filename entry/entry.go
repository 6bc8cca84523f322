// Package entry accepts connections of callers and runs their requests on the
// backend servers. A request is classified, routed to a member, given a slot and
// a connection there, and executed. Its answer goes to the caller once a majority
// holds what it acknowledges or returns.
package entry

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/panics"

	"tamarackcross/errs"
	"tamarackcross/event"
	"tamarackcross/fleet"
	"tamarackcross/learn"
	"tamarackcross/stats"
	"tamarackcross/tasks"
	"tamarackcross/token"
)

// sessionShards is the number of shards of the session table.
const sessionShards = 64

// Server serves callers on one instance: it authenticates them, keeps their
// sessions and runs their requests on the backend servers.
type Server struct {
	name        string
	zone        string
	dir         Directory
	policies    Policies
	codec       *token.Codec
	auth        Authenticator
	tls         *tls.Config
	credentials Credentials
	dial        DialFunc
	stats       *stats.Registry
	log         zerolog.Logger
	observer    Observer
	leases      Leases
	maxCallers  int
	seed        uint64
	learner     *learn.Learner

	stallLimit           time.Duration
	idleTransactionLimit time.Duration

	databases databaseTable
	sessions  [sessionShards]sessionShard
	nextPID   atomic.Uint32
	draining  atomic.Bool
	inFlight  atomic.Int64 // messages of callers being processed

	ctx  context.Context
	stop context.CancelFunc
	wg   tasks.Group
}

// sessionShard is a shard of the session table, in which cancel requests find
// sessions by their process ID.
type sessionShard struct {
	mu sync.Mutex
	m  map[uint32]*session
}

// Observer is told what an entry finds out about the members of a database.
type Observer interface {
	Observe(Observation)
}

// Option configures a Server.
type Option func(*Server)

// WithName sets the name of the instance.
func WithName(name string) Option { return func(s *Server) { s.name = name } }

// WithZone sets the availability zone of the instance.
func WithZone(zone string) Option { return func(s *Server) { s.zone = zone } }

// WithPolicies sets the source of the settings in force for a statement.
func WithPolicies(p Policies) Option { return func(s *Server) { s.policies = p } }

// WithAuthenticator sets how callers are authenticated. Without it every
// caller is trusted.
func WithAuthenticator(a Authenticator) Option { return func(s *Server) { s.auth = a } }

// WithTLS requires TLS from callers.
func WithTLS(cfg *tls.Config) Option { return func(s *Server) { s.tls = cfg } }

// WithCredentials sets the user and password for the backend servers.
func WithCredentials(c Credentials) Option { return func(s *Server) { s.credentials = c } }

// WithDial sets the function that opens connections to backend servers.
func WithDial(d DialFunc) Option { return func(s *Server) { s.dial = d } }

// WithStats sets the metrics registry.
func WithStats(r *stats.Registry) Option { return func(s *Server) { s.stats = r } }

// WithLog sets the logger.
func WithLog(l zerolog.Logger) Option { return func(s *Server) { s.log = l } }

// WithObserver sets the observer of the members of databases.
func WithObserver(o Observer) Option { return func(s *Server) { s.observer = o } }

// WithMaxCallers limits the number of open caller connections.
func WithMaxCallers(n int) Option { return func(s *Server) { s.maxCallers = n } }

// WithSeed seeds the random number generators of routing and retries.
func WithSeed(seed uint64) Option { return func(s *Server) { s.seed = seed } }

// WithStallLimit sets how long a caller may read nothing from its connection
// while the entry has data to send to it.
func WithStallLimit(d time.Duration) Option { return func(s *Server) { s.stallLimit = d } }

// WithIdleTransactionLimit sets how long a transaction may wait for its next
// statement.
func WithIdleTransactionLimit(d time.Duration) Option {
	return func(s *Server) { s.idleTransactionLimit = d }
}

// defaultMaxCallers is the limit of caller connections of one instance. About
// 6,000 are expected at the planned size.
const defaultMaxCallers = 20_000

// New returns a Server that looks up databases in dir and signs session tokens
// with codec.
func New(dir Directory, codec *token.Codec, opts ...Option) *Server {
	s := &Server{
		name:        "entry",
		dir:         dir,
		policies:    fleet.Default(),
		codec:       codec,
		credentials: Credentials{User: "app"},
		dial:        dialTCP,
		log:         zerolog.Nop(),
		maxCallers:  defaultMaxCallers,
		seed:        1,

		stallLimit:           callerStallLimit,
		idleTransactionLimit: idleTransactionLimit,
	}
	for _, opt := range opts {
		opt(s)
	}
	if s.stats == nil {
		s.stats = stats.New(map[string]string{"instance": s.name})
	}
	for i := range s.sessions {
		s.sessions[i].m = make(map[uint32]*session)
	}
	s.databases.init()
	s.learner = learn.New()
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s
}

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// Name returns the name of the instance.
func (s *Server) Name() string { return s.name }

// Zone returns the availability zone of the instance.
func (s *Server) Zone() string { return s.zone }

// Stats returns the metrics.
func (s *Server) Stats() *stats.Registry { return s.stats }

// Counts returns the requests answered since the start.
func (s *Server) Counts() stats.Counts { return s.stats.Counts() }

// Serve accepts callers on l until Shutdown or until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		nc, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil || s.draining.Load() {
				return nil
			}
			return err
		}
		if !s.wg.Go(func() { s.contain(func() { s.handle(ctx, nc) }) }) {
			_ = nc.Close()
			return nil
		}
	}
}

// contain runs the work for one caller. A panic ends the session, not the process.
func (s *Server) contain(f func()) {
	if r := panics.Try(f); r != nil {
		s.log.Error().Str(event.Work, "session").Err(r.AsError()).Msg("unexpected error; the work was given up")
		s.stats.Panicked()
	}
}

// Draining reports whether the instance is shutting down.
func (s *Server) Draining() bool { return s.draining.Load() }

// drainPollInterval is how often Shutdown checks whether sessions remain.
const drainPollInterval = 5 * time.Millisecond

// Shutdown ends idle sessions at once and waits until the requests in flight have
// finished or ctx ends, then closes the server. It returns the number of requests
// that were interrupted.
func (s *Server) Shutdown(ctx context.Context) int64 {
	s.draining.Store(true)
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	for {
		s.endIdleSessions()
		if s.sessionCount() == 0 {
			break
		}
		select {
		case <-t.C:
			continue
		case <-ctx.Done():
		}
		break
	}
	left := s.inFlight.Load()
	s.Close()
	return left
}

// Close closes all sessions and databases and waits for their goroutines.
func (s *Server) Close() {
	s.draining.Store(true)
	s.stop()
	s.eachSession(func(c *session) { _ = c.conn.NetConn().Close() })
	s.databases.close()
	s.wg.Wait()
}

func (s *Server) eachSession(f func(*session)) {
	for i := range s.sessions {
		shard := &s.sessions[i]
		shard.mu.Lock()
		for _, c := range shard.m {
			f(c)
		}
		shard.mu.Unlock()
	}
}

func (s *Server) endIdleSessions() { s.eachSession(func(c *session) { c.endIfIdle() }) }

func (s *Server) sessionCount() int {
	n := 0
	s.eachSession(func(*session) { n++ })
	return n
}

func (s *Server) shard(pid uint32) *sessionShard { return &s.sessions[pid%sessionShards] }

func (s *Server) addSession(c *session) {
	shard := s.shard(c.pid)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.m[c.pid] = c
}

func (s *Server) removeSession(c *session) {
	shard := s.shard(c.pid)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.m, c.pid)
}

func (s *Server) sessionByPID(pid uint32) *session {
	shard := s.shard(pid)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return shard.m[pid]
}

// recordRefusal counts a refusal and logs it at debug level.
func (s *Server) recordRefusal(e *errs.Error, database string) {
	s.stats.Refused(e.Reason())
	s.log.Debug().Str("database", database).Str("reason", string(e.Reason())).
		Str("outcome", string(e.Outcome())).Msg(e.Text())
}
