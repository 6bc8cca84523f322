// Package site runs a small deployment in one process: entries, control
// instances and emulated database groups, all on loopback ports. The commands dev
// and measure use it, and so do tests.
package site

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"tamarackcross/emul"
	"tamarackcross/entry"
	"tamarackcross/inst"
	"tamarackcross/pgctl"
)

// Plan describes a site: its zones and databases, the number of instances, and
// the limits of each member. Each database has one member in every zone.
type Plan struct {
	Zones       []string
	Databases   []string
	Entries     int
	Control     int // number of control instances; these are entries too
	Slots       int // of each member
	Connections int // of each member
}

// Site is a running deployment.
type Site struct {
	plan            Plan
	network         *emul.Network
	dataRoot        string
	servers         map[string][]*emul.Server // by database
	announcerDone   []chan error
	announceLeaving map[string]func() // by name of the member
	cancel          context.CancelFunc
	options         options
	tokenKey        [32]byte
	controlAddrs    []string

	mu        sync.Mutex
	instances []*inst.Instance
	stopped   map[int]bool
}

// Option configures a site.
type Option func(*options)

type options struct {
	memberOptions  []emul.Option
	entryOptions   []entry.Option
	networkOptions []emul.NetworkOption
	log            zerolog.Logger
	announceTTL    time.Duration
	plainDial      bool
	host           string
}

// WithMember adds options for the emulated members.
func WithMember(opts ...emul.Option) Option {
	return func(o *options) { o.memberOptions = append(o.memberOptions, opts...) }
}

// WithEntry adds options for the entries.
func WithEntry(opts ...entry.Option) Option {
	return func(o *options) { o.entryOptions = append(o.entryOptions, opts...) }
}

// WithNetwork adds options for the emulated network between instances and
// members.
func WithNetwork(opts ...emul.NetworkOption) Option {
	return func(o *options) { o.networkOptions = append(o.networkOptions, opts...) }
}

// WithPlainDial makes the instances dial over plain TCP instead of the emulated
// network. The queues of that network add latency and CPU time to every message,
// also on links without delay, and a measurement would count both as overhead of
// the proxy.
func WithPlainDial() Option { return func(o *options) { o.plainDial = true } }

// WithLog sets the logger of all instances.
func WithLog(l zerolog.Logger) Option { return func(o *options) { o.log = l } }

// WithHost sets the loopback address on which instances and members listen. On an
// address that no outgoing connection uses, the port of a stopped instance or
// member is still free when it restarts.
func WithHost(host string) Option { return func(o *options) { o.host = host } }

const (
	defaultHost        = "127.0.0.1"
	defaultAnnounceTTL = 2 * time.Second
	startTimeout       = 20 * time.Second      // for all instances to become ready
	readyPollInterval  = 20 * time.Millisecond // between checks of the instances
)

// Start starts a site and waits until every instance can serve every database.
func Start(ctx context.Context, plan Plan, opts ...Option) (*Site, error) {
	o := options{log: zerolog.Nop(), announceTTL: defaultAnnounceTTL, host: defaultHost}
	for _, opt := range opts {
		opt(&o)
	}
	ctx, cancel := context.WithCancel(ctx)
	s := &Site{
		plan: plan, servers: make(map[string][]*emul.Server), announceLeaving: make(map[string]func()),
		cancel: cancel, options: o, stopped: make(map[int]bool),
	}
	s.network = emul.NewNetwork(o.networkOptions...)
	if err := s.start(ctx); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Site) start(ctx context.Context) error {
	if _, err := rand.Read(s.tokenKey[:]); err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "tamarackcross-site-")
	if err != nil {
		return err
	}
	s.dataRoot = dir
	if err := s.startInstances(); err != nil {
		return err
	}
	if err := s.startMembers(ctx); err != nil {
		return err
	}
	return s.awaitReady(ctx)
}

func (s *Site) startInstances() error {
	peers, err := emul.ReserveAddrs(s.options.host, s.plan.Entries)
	if err != nil {
		return err
	}
	s.controlAddrs = peers[:s.plan.Control]
	anyPort := net.JoinHostPort(s.options.host, "0")
	for i := range s.plan.Entries {
		in, err := s.startInstance(i, inst.Config{CallerAddr: anyPort, PeerAddr: peers[i], AdminAddr: anyPort})
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
	cfg.ControlAddrs, cfg.TokenKey, cfg.Backend = s.controlAddrs, s.tokenKey[:], entry.Credentials{User: "app"}
	if i < s.plan.Control {
		cfg.DataDir = s.dataDir(i)
	}
	s.network.Register(cfg.PeerAddr, name, zone)
	in, err := inst.Start(cfg,
		inst.WithLog(s.options.log.With().Str("instance", name).Logger()),
		inst.WithDial(s.dialer(name, zone)),
		inst.WithEntry(s.options.entryOptions...),
	)
	if err != nil {
		return nil, eris.Wrapf(err, "start instance %s", name)
	}
	s.network.Register(in.AdminAddr(), name, zone)
	s.network.Register(in.CallerAddr(), name, zone)
	return in, nil
}

func (s *Site) dialer(name, zone string) pgctl.DialFunc {
	if !s.options.plainDial {
		return pgctl.DialFunc(s.network.Dialer(name, zone))
	}
	var d net.Dialer
	return func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) }
}

func (s *Site) dataDir(i int) string { return filepath.Join(s.dataRoot, fmt.Sprintf("entry-%d", i+1)) }

func (s *Site) startMembers(ctx context.Context) error {
	adminURLs := make([]string, 0, len(s.instances))
	for _, in := range s.instances {
		adminURLs = append(adminURLs, "http://"+in.AdminAddr())
	}
	for _, db := range s.plan.Databases {
		for i, zone := range s.plan.Zones {
			if err := s.startMember(ctx, db, i, zone, adminURLs); err != nil {
				return eris.Wrapf(err, "start a member of database %s", db)
			}
		}
	}
	return nil
}

func (s *Site) startMember(ctx context.Context, db string, i int, zone string, adminURLs []string) error {
	name := fmt.Sprintf("%s-%d", db, i+1)
	opts := append([]emul.Option{
		emul.WithMembers(len(s.plan.Zones)),
		emul.WithSlots(s.plan.Slots),
		emul.WithConnections(s.plan.Connections),
		emul.WithDial(s.network.Dialer(name, zone)),
	}, s.options.memberOptions...)
	srv := emul.NewServer(emul.New(name, db, opts...), zone, net.JoinHostPort(s.options.host, "0"))
	if err := srv.Start(ctx); err != nil {
		return err
	}
	s.servers[db] = append(s.servers[db], srv)
	s.network.Register(srv.Addr(), name, zone)
	// A member announces itself first to the instance with its own index, which is
	// in its own zone.
	first := i % len(adminURLs)
	announceURLs := append(append([]string(nil), adminURLs[first:]...), adminURLs[:first]...)
	announcer := emul.NewAnnouncer(srv, announceURLs, emul.WithTTL(s.options.announceTTL))
	s.announceLeaving[name] = announcer.Leave
	done := make(chan error, 1)
	go func() { done <- announcer.Run(ctx) }()
	s.announcerDone = append(s.announcerDone, done)
	return nil
}

// awaitReady waits until every instance knows every database with all its members
// and every member has adopted the current term.
func (s *Site) awaitReady(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, startTimeout)
	defer stop()
	for !s.ready() {
		select {
		case <-ctx.Done():
			return eris.New("site is not ready before the start timeout: an instance does not know all members or a member is not in the current term")
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}

func (s *Site) ready() bool {
	for _, in := range s.instances {
		if in.Ready() != nil {
			return false
		}
		for _, db := range s.plan.Databases {
			g, ok := in.Views().Group(db)
			if !ok || g.Primary == "" || len(g.Members) < len(s.plan.Zones) {
				return false
			}
			if !s.membersInTerm(db, g.Term) {
				return false
			}
		}
	}
	return true
}

func (s *Site) membersInTerm(db string, term uint64) bool {
	for _, srv := range s.servers[db] {
		if srv.Member().Status().Term != term {
			return false
		}
	}
	return true
}

// Network returns the emulated network between instances and members.
func (s *Site) Network() *emul.Network { return s.network }

// Servers returns the members of a database in the order of the zones.
func (s *Site) Servers(db string) []*emul.Server { return s.servers[db] }

// Leave makes a member announce from now on that it is leaving.
func (s *Site) Leave(member string) {
	if announce, ok := s.announceLeaving[member]; ok {
		announce()
	}
}

// Instances returns all instances. A stopped instance keeps its index.
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

// Entry returns the entry of instance i.
func (s *Site) Entry(i int) *entry.Server { return s.Instance(i).Entry() }

// Addr returns the address on which instance i serves callers.
func (s *Site) Addr(i int) string { return s.Instance(i).CallerAddr() }

// Plan returns the plan with which the site was started.
func (s *Site) Plan() Plan { return s.plan }

// Close stops all instances and members, waits for them and removes the data
// directories.
func (s *Site) Close() {
	s.cancel()
	for _, done := range s.announcerDone {
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
	if s.dataRoot != "" {
		_ = os.RemoveAll(s.dataRoot)
	}
}
