// Package site assembles a whole small deployment in one process: emulated
// database groups, control and entries on loopback ports. It serves dev, the
// measurements and tests.
package site

import (
	"context"
	"crypto/rand"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"tamarackcross/emul"
	"tamarackcross/entry"
	"tamarackcross/inst"
	"tamarackcross/pgctl"
)

// Plan is the size of a site.
type Plan struct {
	Zones       []string
	Databases   []string
	Entries     int
	Control     int // instances with the control role; they are entries too
	Slots       int // per member
	Connections int // per member
}

// Site is a running deployment.
type Site struct {
	plan      Plan
	network   *emul.Network
	folder    string
	servers   map[string][]*emul.Server // by database
	announced []chan error
	leave     map[string]func() // by member
	cancel    context.CancelFunc
	opts      options
	key       [32]byte
	control   []string

	mu        sync.Mutex
	instances []*inst.Instance
	stopped   map[int]bool
}

// Option configures the parts of a site.
type Option func(*options)

type options struct {
	member  []emul.Option
	entry   []entry.Option
	network []emul.NetworkOption
	log     zerolog.Logger
	ttl     time.Duration
	plain   bool
	host    string
}

// WithMember adds options for the emulated members.
func WithMember(opts ...emul.Option) Option {
	return func(o *options) { o.member = append(o.member, opts...) }
}

// WithEntry adds options for the entries.
func WithEntry(opts ...entry.Option) Option {
	return func(o *options) { o.entry = append(o.entry, opts...) }
}

// WithNetwork adds options for the network between the parts.
func WithNetwork(opts ...emul.NetworkOption) Option {
	return func(o *options) { o.network = append(o.network, opts...) }
}

// WithPlainDial makes the instances dial without the network. Its queues add
// latency and CPU time to each message even where it has no delay, which would
// count as overhead of the proxy.
func WithPlainDial() Option { return func(o *options) { o.plain = true } }

// WithLog sets the log of all parts.
func WithLog(l zerolog.Logger) Option { return func(o *options) { o.log = l } }

// WithHost sets the loopback address on which all parts listen. With one that
// no connection comes from, a part that starts again finds its port free.
func WithHost(ip string) Option { return func(o *options) { o.host = ip } }

const (
	defaultHost = "127.0.0.1"
	defaultTTL  = 2 * time.Second
	startLimit  = 20 * time.Second      // for a site to be able to serve
	startPoll   = 20 * time.Millisecond // between looks whether it is
)

// Start starts a site and waits until every entry can serve every database.
func Start(ctx context.Context, plan Plan, opts ...Option) (*Site, error) {
	o := options{log: zerolog.Nop(), ttl: defaultTTL, host: defaultHost}
	for _, opt := range opts {
		opt(&o)
	}
	ctx, cancel := context.WithCancel(ctx)
	s := &Site{
		plan: plan, servers: make(map[string][]*emul.Server), leave: make(map[string]func()),
		cancel: cancel, opts: o, stopped: make(map[int]bool),
	}
	s.network = emul.NewNetwork(o.network...)
	if err := s.start(ctx); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Site) start(ctx context.Context) error {
	if _, err := rand.Read(s.key[:]); err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "tamarackcross-site-")
	if err != nil {
		return err
	}
	s.folder = folder
	if err := s.startInstances(); err != nil {
		return err
	}
	if err := s.startMembers(ctx); err != nil {
		return err
	}
	return s.await(ctx)
}

// Ports of instances lie below those that the system gives to outgoing
// connections. One of those could take a reserved port before its instance
// listens.
const (
	lowestPort = 10_000
	ports      = 20_000
)

// lastPort makes the sites of a process use different ports. It starts at a
// random one, because other processes run sites too.
var lastPort atomic.Uint32

func init() { lastPort.Store(mathrand.Uint32N(ports)) }

// reserve finds free loopback ports, for addresses that must be known before
// the instances start.
func reserve(host string, n int) ([]string, error) {
	var out []string
	for range ports {
		if len(out) == n {
			return out, nil
		}
		addr := net.JoinHostPort(host, strconv.Itoa(int(lowestPort+lastPort.Add(1)%ports)))
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		defer l.Close()
		out = append(out, addr)
	}
	return nil, eris.Errorf("fewer than %d ports are free", n)
}

func (s *Site) startInstances() error {
	peers, err := reserve(s.opts.host, s.plan.Entries)
	if err != nil {
		return err
	}
	s.control = peers[:s.plan.Control]
	free := net.JoinHostPort(s.opts.host, "0")
	for i := range s.plan.Entries {
		in, err := s.startInstance(i, inst.Config{Callers: free, Peer: peers[i], Admin: free})
		if err != nil {
			return err
		}
		s.instances = append(s.instances, in)
	}
	return nil
}

// startInstance starts instance i on the addresses of cfg.
func (s *Site) startInstance(i int, cfg inst.Config) (*inst.Instance, error) {
	name := fmt.Sprintf("entry-%d", i+1)
	zone := s.plan.Zones[i%len(s.plan.Zones)]
	cfg.Name, cfg.Zone = name, zone
	cfg.Control, cfg.TokenKey, cfg.Backend = s.control, s.key[:], entry.Credentials{User: "app"}
	if i < s.plan.Control {
		cfg.DataDir = s.dataDir(i)
	}
	s.network.Register(cfg.Peer, name, zone)
	in, err := inst.Start(cfg,
		inst.WithLog(s.opts.log.With().Str("instance", name).Logger()),
		inst.WithDial(s.dialer(name, zone)),
		inst.WithEntry(s.opts.entry...),
	)
	if err != nil {
		return nil, eris.Wrapf(err, "start %s", name)
	}
	s.network.Register(in.Admin(), name, zone)
	s.network.Register(in.Callers(), name, zone)
	return in, nil
}

func (s *Site) dialer(name, zone string) pgctl.DialFunc {
	if !s.opts.plain {
		return pgctl.DialFunc(s.network.Dialer(name, zone))
	}
	var d net.Dialer
	return func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) }
}

func (s *Site) dataDir(i int) string { return filepath.Join(s.folder, fmt.Sprintf("entry-%d", i+1)) }

func (s *Site) startMembers(ctx context.Context) error {
	urls := make([]string, 0, len(s.instances))
	for _, in := range s.instances {
		urls = append(urls, "http://"+in.Admin())
	}
	for _, db := range s.plan.Databases {
		for i, zone := range s.plan.Zones {
			if err := s.startMember(ctx, db, i, zone, urls); err != nil {
				return eris.Wrapf(err, "database %s", db)
			}
		}
	}
	return nil
}

func (s *Site) startMember(ctx context.Context, db string, i int, zone string, urls []string) error {
	name := fmt.Sprintf("%s-%d", db, i+1)
	opts := append([]emul.Option{
		emul.WithMembers(len(s.plan.Zones)),
		emul.WithSlots(s.plan.Slots),
		emul.WithConnections(s.plan.Connections),
		emul.WithDial(s.network.Dialer(name, zone)),
	}, s.opts.member...)
	srv := emul.NewServer(emul.New(name, db, opts...), zone, net.JoinHostPort(s.opts.host, "0"))
	if err := srv.Start(ctx); err != nil {
		return err
	}
	s.servers[db] = append(s.servers[db], srv)
	s.network.Register(srv.Addr(), name, zone)
	// Each member announces itself to the instances of its own zone first.
	first := i % len(urls)
	order := append(append([]string(nil), urls[first:]...), urls[:first]...)
	a := emul.NewAnnouncer(srv, order, emul.WithTTL(s.opts.ttl))
	s.leave[name] = a.Leave
	done := make(chan error, 1)
	go func() { done <- a.Run(ctx) }()
	s.announced = append(s.announced, done)
	return nil
}

// await waits until every instance knows every database with all its members,
// and every member follows its primary.
func (s *Site) await(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, startLimit)
	defer stop()
	for !s.formed() {
		select {
		case <-ctx.Done():
			return eris.New("site did not form in time")
		case <-time.After(startPoll):
		}
	}
	return nil
}

func (s *Site) formed() bool {
	for _, in := range s.instances {
		if in.Ready() != nil {
			return false
		}
		for _, db := range s.plan.Databases {
			g, ok := in.Views().Group(db)
			if !ok || g.Primary == "" || len(g.Members) < len(s.plan.Zones) {
				return false
			}
			if !s.following(db, g.Term) {
				return false
			}
		}
	}
	return true
}

func (s *Site) following(db string, term uint64) bool {
	for _, srv := range s.servers[db] {
		if srv.Member().Status().Term != term {
			return false
		}
	}
	return true
}

// Network returns the network between the parts.
func (s *Site) Network() *emul.Network { return s.network }

// Servers returns the members of a database in the order of the zones.
func (s *Site) Servers(db string) []*emul.Server { return s.servers[db] }

// Leave makes a member announce from now on that it is leaving.
func (s *Site) Leave(member string) {
	if f, ok := s.leave[member]; ok {
		f()
	}
}

// Instances returns the instances. One that was stopped keeps its place.
func (s *Site) Instances() []*inst.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.instances)
}

// Instance returns instance i.
func (s *Site) Instance(i int) *inst.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instances[i]
}

// Entry returns the entry role of instance i.
func (s *Site) Entry(i int) *entry.Server { return s.Instance(i).Entry() }

// Addr returns the address on which instance i serves callers.
func (s *Site) Addr(i int) string { return s.Instance(i).Callers() }

// Plan returns the size of the site.
func (s *Site) Plan() Plan { return s.plan }

// Close stops everything, waits for it and removes the data folders.
func (s *Site) Close() {
	s.cancel()
	for _, done := range s.announced {
		<-done
	}
	for i := range s.instances {
		s.StopInstance(i)
	}
	for _, servers := range s.servers {
		for _, srv := range servers {
			_ = srv.Stop()
		}
	}
	s.network.Close()
	if s.folder != "" {
		_ = os.RemoveAll(s.folder)
	}
}
