// Package entry serves callers. A statement passes its filters in this order:
// accept, identify, classify, admit, route, borrow, execute, settle, reply.
package entry

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"tamarackcross/errs"
	"tamarackcross/fleet"
	"tamarackcross/learn"
	"tamarackcross/stats"
	"tamarackcross/token"
)

// sessionShards is the number of shards of the table of sessions.
const sessionShards = 64

// Server is the entry role of one instance.
type Server struct {
	name     string
	zone     string
	dir      Directory
	policies Policies
	codec    *token.Codec
	auth     Authenticator
	tls      *tls.Config
	cred     Credentials
	dial     DialFunc
	stats    *stats.Registry
	log      zerolog.Logger
	observer Observer
	leases   Leases
	maxConns int
	seed     uint64
	learner  *learn.Learner

	stallLimit  time.Duration
	idleTxLimit time.Duration

	databases databaseTable
	sessions  [sessionShards]sessionShard
	nextPID   atomic.Uint32
	draining  atomic.Bool
	busy      atomic.Int64 // requests between their first message and their reply

	ctx  context.Context
	stop context.CancelFunc
	wg   conc.WaitGroup
}

// sessionShard is a part of the table of sessions, for cancel requests.
type sessionShard struct {
	mu sync.Mutex
	m  map[uint32]*session
}

// Observer hears what an entry learns about the members of a database.
type Observer interface {
	Observe(Observation)
}

// Option configures a Server.
type Option func(*Server)

// WithName sets the name of the instance.
func WithName(name string) Option { return func(s *Server) { s.name = name } }

// WithZone sets the availability zone of the instance.
func WithZone(zone string) Option { return func(s *Server) { s.zone = zone } }

// WithPolicies sets where the policy of a statement comes from.
func WithPolicies(p Policies) Option { return func(s *Server) { s.policies = p } }

// WithAuthenticator sets how callers are authenticated. Without it every
// caller is trusted.
func WithAuthenticator(a Authenticator) Option { return func(s *Server) { s.auth = a } }

// WithTLS requires TLS from callers.
func WithTLS(cfg *tls.Config) Option { return func(s *Server) { s.tls = cfg } }

// WithCredentials sets what the entry presents to backend servers.
func WithCredentials(c Credentials) Option { return func(s *Server) { s.cred = c } }

// WithDial sets how the entry reaches backend servers.
func WithDial(d DialFunc) Option { return func(s *Server) { s.dial = d } }

// WithStats sets the metrics.
func WithStats(r *stats.Registry) Option { return func(s *Server) { s.stats = r } }

// WithLog sets the log.
func WithLog(l zerolog.Logger) Option { return func(s *Server) { s.log = l } }

// WithObserver sets who hears about the members of databases.
func WithObserver(o Observer) Option { return func(s *Server) { s.observer = o } }

// WithMaxCallers limits the open caller connections.
func WithMaxCallers(n int) Option { return func(s *Server) { s.maxConns = n } }

// WithSeed seeds the random choices.
func WithSeed(seed uint64) Option { return func(s *Server) { s.seed = seed } }

// WithStallLimit sets how long a caller may take nothing off its connection
// while an answer waits for it.
func WithStallLimit(d time.Duration) Option { return func(s *Server) { s.stallLimit = d } }

// WithIdleTransactionLimit sets how long a transaction may wait for its next
// statement.
func WithIdleTransactionLimit(d time.Duration) Option {
	return func(s *Server) { s.idleTxLimit = d }
}

// defaultMaxCallers is the limit of caller connections of one instance. At the
// planned size an instance holds about 6,000.
const defaultMaxCallers = 20_000

// New returns an entry that finds its databases in dir and signs tokens with
// codec.
func New(dir Directory, codec *token.Codec, opts ...Option) *Server {
	s := &Server{
		name:     "entry",
		dir:      dir,
		policies: fleet.Default(),
		codec:    codec,
		cred:     Credentials{User: "app"},
		dial:     dialTCP,
		log:      zerolog.Nop(),
		maxConns: defaultMaxCallers,
		seed:     1,

		stallLimit:  callerStallLimit,
		idleTxLimit: idleTransactionLimit,
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
		s.wg.Go(func() { s.handle(ctx, nc) })
	}
}

// Draining reports whether the instance is shutting down.
func (s *Server) Draining() bool { return s.draining.Load() }

// drainPoll is how often Shutdown looks for requests in flight.
const drainPoll = 5 * time.Millisecond

// Shutdown lets the requests in flight finish, ends idle sessions at once and
// waits until ctx ends. It returns the number of requests that were cut.
func (s *Server) Shutdown(ctx context.Context) int64 {
	s.draining.Store(true)
	t := time.NewTicker(drainPoll)
	defer t.Stop()
	for {
		s.endIdle()
		if s.openSessions() == 0 {
			break
		}
		select {
		case <-t.C:
			continue
		case <-ctx.Done():
		}
		break
	}
	left := s.busy.Load()
	s.Close()
	return left
}

// Close ends every session and waits for their goroutines.
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

func (s *Server) endIdle() { s.eachSession(func(c *session) { c.endIfIdle() }) }

func (s *Server) openSessions() int {
	n := 0
	s.eachSession(func(*session) { n++ })
	return n
}

func (s *Server) shard(pid uint32) *sessionShard { return &s.sessions[pid%sessionShards] }

func (s *Server) add(c *session) {
	shard := s.shard(c.pid)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.m[c.pid] = c
}

func (s *Server) remove(c *session) {
	shard := s.shard(c.pid)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.m, c.pid)
}

func (s *Server) lookup(pid uint32) *session {
	shard := s.shard(pid)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return shard.m[pid]
}

// refuse counts a refusal and logs it at debug level.
func (s *Server) refuse(e *errs.Error, database string) {
	s.stats.Refused(e.Reason())
	s.log.Debug().Str("database", database).Str("reason", string(e.Reason())).
		Str("outcome", string(e.Outcome())).Msg(e.Text())
}
