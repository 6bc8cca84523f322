package inst

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"storj.io/drpc/drpcmux"

	"tamarackcross/admin"
	"tamarackcross/ctlpb"
	"tamarackcross/ctrl"
	"tamarackcross/entry"
	"tamarackcross/event"
	"tamarackcross/pgctl"
	"tamarackcross/state"
	"tamarackcross/stats"
	"tamarackcross/token"
)

// Config holds the settings of an instance.
type Config struct {
	Name             string
	Zone             string
	CallerAddr       string   // address for callers; empty without the entry role
	PeerAddr         string   // address for other instances
	AdminAddr        string   // address of the HTTP interface
	ControlAddrs     []string // peer addresses of the control members
	DataDir          string   // data directory; empty without the control role
	TokenKey         []byte
	PreviousTokenKey []byte // accepted during a rotation
	ControlPassword  string // for the group functions of backend servers
	Backend          entry.Credentials
	MaxCallers       int
	Shutdown         time.Duration
	TLS              *tls.Config
	Auth             entry.Authenticator
}

// Instance is a running instance of tamarackcross.
type Instance struct {
	cfg          Config
	log          zerolog.Logger
	dial         pgctl.DialFunc
	entryOptions []entry.Option

	views          *Views
	dissemination  *disseminator
	peers          *peerConns
	node           *ctrl.Node
	client         *ctrl.Client
	entry          *entry.Server
	stats          *stats.Registry
	announcements  *announcements
	reporter       *reporter
	contact        *controlContact
	leases         *leases
	http           *http.Server
	callerListener net.Listener
	peerListener   net.Listener
	adminListener  net.Listener

	ctx    context.Context
	cancel context.CancelFunc
	wg     conc.WaitGroup
	failed chan error
}

// Option configures an Instance.
type Option func(*Instance)

// WithLog sets the log; the default discards all lines.
func WithLog(l zerolog.Logger) Option { return func(i *Instance) { i.log = l } }

// WithDial sets the function that opens connections to other instances and to
// backend servers; the default dials TCP.
func WithDial(d pgctl.DialFunc) Option { return func(i *Instance) { i.dial = d } }

// WithEntry adds options of the entry role.
func WithEntry(opts ...entry.Option) Option {
	return func(i *Instance) { i.entryOptions = append(i.entryOptions, opts...) }
}

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// Start starts an instance. For an address with port 0 it chooses a free port.
func Start(cfg Config, opts ...Option) (*Instance, error) {
	i := &Instance{cfg: cfg, log: zerolog.Nop(), dial: dialTCP, failed: make(chan error, 4)}
	for _, opt := range opts {
		opt(i)
	}
	i.ctx, i.cancel = context.WithCancel(context.Background())
	if err := i.listen(); err != nil {
		i.Close()
		return nil, err
	}
	if err := i.build(); err != nil {
		i.Close()
		return nil, err
	}
	i.serve()
	return i, nil
}

// listen opens the listeners and replaces the addresses in the configuration by
// those with the chosen ports.
func (i *Instance) listen() error {
	for _, l := range []struct {
		addr *string
		to   *net.Listener
	}{{&i.cfg.CallerAddr, &i.callerListener}, {&i.cfg.PeerAddr, &i.peerListener}, {&i.cfg.AdminAddr, &i.adminListener}} {
		if *l.addr == "" {
			continue
		}
		opened, err := net.Listen("tcp", *l.addr)
		if err != nil {
			return eris.Wrapf(err, "listen on %s", *l.addr)
		}
		*l.to, *l.addr = opened, opened.Addr().String()
	}
	return nil
}

func (i *Instance) build() error {
	i.stats = stats.New(map[string]string{"instance": i.cfg.Name, "zone": i.cfg.Zone})
	i.views = NewViews()
	i.peers = newPeerConns(i.ctx, i.dial)
	i.dissemination = newDisseminator(i.cfg, i.views, i.peers, i.log)
	i.client = ctrl.NewClient(ctrl.DialFunc(i.dial), i.cfg.ControlAddrs...)
	i.announcements = newAnnouncements(i.views, i.client, i.dial, i.cfg.ControlPassword)
	i.contact = newContact(i.cfg, i.views, i.dial)
	i.leases = newLeases(i)
	i.reporter = newReporter(i.cfg.Name, i.cfg.Zone, i.client, i.contact)
	if i.cfg.DataDir != "" {
		node, err := ctrl.Open(
			i.cfg.DataDir, i.cfg.PeerAddr,
			ctrl.WithName(i.cfg.Name), ctrl.WithZone(i.cfg.Zone), ctrl.WithInitialMembers(i.cfg.ControlAddrs...),
			ctrl.WithDial(ctrl.DialFunc(i.dial)), ctrl.WithLog(i.log), ctrl.WithPassword(i.cfg.ControlPassword),
			ctrl.WithPublish(i.dissemination.publish), ctrl.WithRestore(i.dissemination.restore),
		)
		if err != nil {
			return err
		}
		i.node = node
	}
	if i.cfg.CallerAddr != "" {
		i.entry = i.newEntry()
	}
	return nil
}

func (i *Instance) newEntry() *entry.Server {
	var codecOpts []token.Option
	if len(i.cfg.PreviousTokenKey) > 0 {
		codecOpts = append(codecOpts, token.WithPreviousKey(i.cfg.PreviousTokenKey))
	}
	opts := []entry.Option{
		entry.WithName(i.cfg.Name), entry.WithZone(i.cfg.Zone), entry.WithPolicies(i.views),
		entry.WithCredentials(i.cfg.Backend), entry.WithDial(i.dial), entry.WithStats(i.stats),
		entry.WithLog(i.log), entry.WithObserver(i.reporter), entry.WithLeases(i.leases), entry.WithSeed(uint64(time.Now().UnixNano())),
	}
	if i.cfg.TLS != nil {
		opts = append(opts, entry.WithTLS(i.cfg.TLS))
	}
	if i.cfg.Auth != nil {
		opts = append(opts, entry.WithAuthenticator(i.cfg.Auth))
	}
	if i.cfg.MaxCallers > 0 {
		opts = append(opts, entry.WithMaxCallers(i.cfg.MaxCallers))
	}
	return entry.New(i.views, token.New(i.cfg.TokenKey, codecOpts...), append(opts, i.entryOptions...)...)
}

// serve starts the goroutines of the instance. Close waits for their end; if one
// of them fails, the error is sent to Failed.
func (i *Instance) serve() {
	mux := drpcmux.New()
	if err := ctlpb.DRPCRegisterPeer(mux, &peerService{dissemination: i.dissemination, leases: i.leases, contact: i.contact}); err != nil {
		i.fail(err)
	}
	if i.node != nil {
		if err := i.node.Register(mux); err != nil {
			i.fail(err)
		}
		i.wg.Go(func() {
			<-i.node.Done()
			if err := i.node.Err(); err != nil {
				i.fail(err)
			}
		})
	}
	i.run(func(ctx context.Context) error { return ctrl.Serve(ctx, i.peerListener, mux, i.reportPanic) })
	i.run(i.dissemination.run)
	i.run(i.announcements.run)
	i.run(i.register)
	if i.entry != nil {
		i.run(i.reporter.run)
		i.run(i.contact.run)
		i.run(i.watchOwned)
		i.run(func(ctx context.Context) error { return i.entry.Serve(ctx, i.callerListener) })
	}
	if i.adminListener != nil {
		i.http = &http.Server{Handler: admin.Handler(i), ReadHeaderTimeout: 5 * time.Second}
		i.run(func(context.Context) error { return i.http.Serve(i.adminListener) })
	}
}

func (i *Instance) run(f func(context.Context) error) {
	i.wg.Go(func() {
		if err := f(i.ctx); err != nil && i.ctx.Err() == nil && !errors.Is(err, http.ErrServerClosed) {
			i.fail(err)
		}
	})
}

func (i *Instance) fail(err error) {
	i.log.Error().Err(err).Msg("part of the instance failed")
	select {
	case i.failed <- err:
	default:
	}
}

// Failed returns a channel that receives the error of a part that failed. The
// instance cannot work without any of its parts and has to be closed.
func (i *Instance) Failed() <-chan error { return i.failed }

const (
	registrationCheckInterval = 200 * time.Millisecond
	// reregisterAfter is the time given to a registration to appear in the state of
	// this instance before it is repeated.
	reregisterAfter = 2 * time.Second
)

// register keeps the instance registered in the shared state until ctx ends. It
// registers again if control has removed the registration because it got no
// reports of this instance for too long.
func (i *Instance) register(ctx context.Context) error {
	var last time.Time
	for ctx.Err() == nil {
		changed := i.views.Changed()
		_, listed := i.views.View().Instance(i.cfg.Name)
		// Each registration starts a new incarnation, and the previous one loses its
		// ownership of backend servers. So a registration that may still arrive here is
		// not repeated.
		if last.IsZero() || !listed && time.Since(last) > reregisterAfter {
			if i.registerOnce(ctx) {
				last = time.Now()
			}
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(registrationCheckInterval):
		}
	}
	return nil
}

func (i *Instance) registerOnce(ctx context.Context) bool {
	ctx, stop := context.WithTimeout(ctx, proposeTimeout)
	defer stop()
	result, err := i.client.Propose(ctx, state.RegisterInstance{Instance: state.Instance{
		Name: i.cfg.Name, Incarnation: uint64(time.Now().UnixNano()), Zone: i.cfg.Zone,
		Addresses: i.addresses(), Roles: i.roles(),
	}})
	if err != nil {
		return false
	}
	if r, ok := result.(state.Refused); ok {
		i.log.Error().Str("reason", string(r.Reason)).Str("detail", r.Detail).Msg("control rejected the registration of this instance; trying again")
		return false
	}
	return true
}

func (i *Instance) addresses() []string {
	out := make([]string, addrCount)
	out[addrPeer], out[addrAdmin], out[addrCallers] = i.cfg.PeerAddr, i.cfg.AdminAddr, i.cfg.CallerAddr
	if i.cfg.CallerAddr == "" {
		out = out[:addrCallers]
	}
	return out
}

func (i *Instance) roles() []string {
	var out []string
	if i.entry != nil {
		out = append(out, state.RoleEntry)
	}
	if i.node != nil {
		out = append(out, state.RoleControl)
	}
	return out
}

// Name returns the name of the instance.
func (i *Instance) Name() string { return i.cfg.Name }

// Zone returns the availability zone.
func (i *Instance) Zone() string { return i.cfg.Zone }

// CallerAddr returns the address for callers.
func (i *Instance) CallerAddr() string { return i.cfg.CallerAddr }

// PeerAddr returns the address for other instances.
func (i *Instance) PeerAddr() string { return i.cfg.PeerAddr }

// AdminAddr returns the address of the HTTP interface.
func (i *Instance) AdminAddr() string { return i.cfg.AdminAddr }

// Entry returns the server of the entry role, or nil without this role.
func (i *Instance) Entry() *entry.Server { return i.entry }

// Control returns the control role, or nil if the instance does not have it.
func (i *Instance) Control() *ctrl.Node { return i.node }

// Views returns the shared state that this instance has received.
func (i *Instance) Views() *Views { return i.views }

// Shutdown stops the instance gracefully: it is no longer ready, and requests in
// flight may finish until ctx ends. It returns the number of requests that were
// interrupted then.
func (i *Instance) Shutdown(ctx context.Context) int64 {
	var interrupted int64
	if i.entry != nil {
		interrupted = i.entry.Shutdown(ctx)
	}
	i.Close()
	return interrupted
}

// Close stops the instance at once and waits for its goroutines.
func (i *Instance) Close() {
	i.cancel()
	for _, l := range []net.Listener{i.callerListener, i.peerListener, i.adminListener} {
		if l != nil {
			_ = l.Close()
		}
	}
	if i.http != nil {
		_ = i.http.Close()
	}
	if i.entry != nil {
		i.entry.Close()
	}
	if i.node != nil {
		if err := i.node.Close(); err != nil {
			i.log.Error().Err(err).Msg("control role stopped with an error")
		}
	}
	if i.leases != nil {
		i.leases.close()
	}
	i.wg.Wait()
	if i.peers != nil {
		i.peers.wait()
	}
	if i.client != nil {
		i.client.Close()
	}
	if i.stats != nil {
		_ = i.stats.Close()
	}
}

// reportPanic logs and counts a panic that ended a call of another instance.
func (i *Instance) reportPanic(call string, err error) {
	i.log.Error().Str(event.Work, call).Err(err).Msg("unexpected error; the work was given up")
	i.stats.Panicked()
}
