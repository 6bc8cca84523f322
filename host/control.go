package host

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcmux"

	"tamarackcross/config"
	"tamarackcross/ctrl"
	"tamarackcross/event"
	"tamarackcross/ledger"
	"tamarackcross/mesh"
	"tamarackcross/proxy"
	"tamarackcross/raft"
	"tamarackcross/roster"
	"tamarackcross/stats"
)

// ControlParts is what the control role is built from.
type ControlParts struct {
	Handler  func(Control) http.Handler
	Decode   DecodeFunc
	Promoter Promoter // nil if the platform has no such duty
	Members  MemberCalls
	Dialer   proxy.Dialer
	Now      func() time.Time
	Log      *event.Log
	Stats    *stats.Registry
	Seed     uint64
}

// entryLive is how long an entry that sends nothing still counts.
const entryLive = 2 * time.Second

// Controller is the control role of one instance.
type Controller struct {
	settings Settings
	parts    ControlParts
	boot     uint64
	ledger   *ledger.Ledger
	roster   *roster.Table
	node     *ctrl.Node
	links    *links
	http     *http.Server

	mu      sync.Mutex
	probes  *proxy.Server // probes for entries; nil while none asks
	asked   time.Time     // last proof that an entry asked for
	entries map[string]entryReport
	doc     *config.Document

	ctx    context.Context
	cancel context.CancelFunc
	ended  chan error
	duty   chan error // receives the end of the duty
}

// entryReport is the newest report of an entry.
type entryReport struct {
	zone     string
	serves   bool
	addr     string
	leaving  bool
	probed   []string
	at       time.Time
	troubles []mesh.Observation
}

// StartControl starts the control role.
func StartControl(s Settings, p ControlParts) (*Controller, error) {
	c := &Controller{
		settings: s, parts: p, boot: rand.Uint64() | 1, ledger: ledger.New(), roster: roster.New(),
		entries: make(map[string]entryReport), ended: make(chan error, 3), duty: make(chan error, 1),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	peer, err := mesh.Listen(c.ctx, s.Peer)
	if err != nil {
		return nil, err
	}
	api, err := mesh.Listen(c.ctx, s.Control)
	if err != nil {
		return nil, errors.Join(err, peer.Close())
	}
	if err := c.open(); err != nil {
		return nil, errors.Join(err, peer.Close(), api.Close())
	}
	mux := drpcmux.New()
	if err := errors.Join(c.node.Register(mux), mesh.Register(mux, peerCalls{c})); err != nil {
		return nil, errors.Join(err, peer.Close(), api.Close(), c.node.Close())
	}
	c.links = newLinks(s.Peer, p.Now, p.Log)
	c.links.request = func() mesh.SyncRequest {
		troubles, probed := c.troubles()
		return mesh.SyncRequest{Name: s.Name, Zone: s.Zone, Config: ^uint64(0), Probed: probed, Troubles: troubles}
	}
	c.links.accept = c.accept
	c.links.seek(c.ctx, s.Seeds)
	c.http = &http.Server{Handler: p.Handler(c), ReadHeaderTimeout: headerLimit, IdleTimeout: idleLimit}
	go func() { c.ended <- ctrl.Serve(c.ctx, peer, mux) }()
	go func() { c.ended <- serveHTTP(c.http, api) }()
	go func() {
		<-c.node.Done()
		c.ended <- c.node.Err()
	}()
	go func() { c.duty <- c.runDuty(c.ctx) }()
	return c, nil
}

func (c *Controller) open() error {
	opts := []ctrl.Option{
		ctrl.WithName(c.settings.Name), ctrl.WithZone(c.settings.Zone), ctrl.WithInitial(c.settings.Seeds...),
		ctrl.WithDial(mesh.Dial), ctrl.WithLog(c.parts.Log.Logger), ctrl.WithClock(c.parts.Now),
		ctrl.WithLedger(c.ledger), ctrl.WithOpenMembership(),
	}
	if !c.settings.Form {
		opts = append(opts, ctrl.WithoutForming())
	}
	n, err := ctrl.Open(c.settings.DataDir, c.settings.Peer, opts...)
	c.node = n
	return err
}

// Ended receives the end of a part of the role, with its error.
func (c *Controller) Ended() <-chan error { return c.ended }

// Reload takes in new settings.
func (c *Controller) Reload(s Settings) {
	c.links.seek(c.ctx, s.Seeds)
	c.node.Seek(s.Seeds)
}

// Close stops the role.
func (c *Controller) Close() error {
	c.cancel()
	err := c.http.Close()
	c.links.close()
	<-c.duty
	c.mu.Lock()
	probes := c.probes
	c.mu.Unlock()
	if probes != nil {
		probes.Close()
	}
	return errors.Join(err, c.node.Close())
}

// accept takes in the roster of another control instance.
func (c *Controller) accept(r *mesh.SyncReply) {
	now := c.parts.Now()
	for _, e := range r.Entries {
		c.roster.Put(e, now)
	}
}

// document returns the newest configuration that is known here, or nil.
func (c *Controller) document() *config.Document {
	stored, _ := c.ledger.Config()
	c.mu.Lock()
	defer c.mu.Unlock()
	if stored.Version == 0 || c.doc != nil && c.doc.Version == stored.Version {
		return c.doc
	}
	doc, err := c.parts.Decode(stored.Body)
	if err != nil {
		c.parts.Log.Error().Err(err).Uint64("version", stored.Version).Msg("stored configuration cannot be read")
		return c.doc
	}
	c.doc = doc
	return doc
}

// Announce takes in what a backend server says of itself.
func (c *Controller) Announce(e roster.Entry) error {
	if doc := c.document(); doc != nil {
		if _, ok := doc.Services[e.Service]; !ok {
			return eris.Wrapf(ErrUnknown, "service %q", e.Service)
		}
	}
	if c.roster.Put(e, c.parts.Now()) {
		c.parts.Log.Info().Str("service", e.Service).Str("member", e.ID).Str("state", e.State.String()).
			Bool("primary", e.Primary).Uint64("seq", e.Seq).Int64("born", e.Born).Msg("backend server changed")
	}
	return nil
}

// Leave records the end of a backend server.
func (c *Controller) Leave(s roster.Incarnation) {
	if c.roster.Leave(s, c.parts.Now()) {
		c.parts.Log.Info().Str("member", s.ID).Int64("born", s.Born).Msg("backend server left")
	}
}

// Sync answers an instance that asks for news. It waits while there is none.
func (c *Controller) Sync(ctx context.Context, in *mesh.SyncRequest) (*mesh.SyncReply, error) {
	c.report(in)
	timer := time.NewTimer(min(in.Wait, syncWait))
	defer timer.Stop()
	for {
		stored, newConfig := c.ledger.Config()
		seen := in.Revision
		if in.Boot != c.boot {
			seen = 0
		}
		entries, revision, newEntries := c.roster.Since(seen)
		reply := &mesh.SyncReply{
			Boot: c.boot, Revision: revision, Entries: entries, Control: c.controlAddrs(), Instances: c.instances(), Zone: c.settings.Zone,
		}
		if in.Serves {
			peers := c.peersIn(in.Zone)
			if reply.Digest = mesh.Digest(peers); reply.Digest != in.Peers {
				reply.Peers = peers
			}
		}
		if stored.Version > in.Config {
			reply.Version, reply.Config = stored.Version, stored.Body
		}
		if len(entries) > 0 || reply.Version > 0 || in.Boot != c.boot {
			return reply, nil
		}
		select {
		case <-newConfig:
		case <-newEntries:
		case <-timer.C:
			return reply, nil
		case <-ctx.Done():
			return reply, nil
		}
	}
}

// report records what an entry observes.
func (c *Controller) report(in *mesh.SyncRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries[in.Name] = entryReport{
		zone: in.Zone, serves: in.Serves, addr: in.Addr, leaving: in.Leaving, probed: in.Probed,
		at: c.parts.Now(), troubles: in.Troubles,
	}
}

// instances counts the entries that report.
func (c *Controller) instances() int {
	n := 0
	for _, r := range c.reports() {
		if r.serves {
			n++
		}
	}
	return n
}

// peersIn lists the entries of a zone that take requests from others.
func (c *Controller) peersIn(zone string) []mesh.Peer {
	var out []mesh.Peer
	for name, r := range c.reports() {
		if r.serves && !r.leaving && r.zone == zone && r.addr != "" {
			out = append(out, mesh.Peer{Name: name, Addr: r.addr})
		}
	}
	slices.SortFunc(out, func(a, b mesh.Peer) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// probesIdle is how long control probes on after an entry last asked for a proof.
const probesIdle = 5 * time.Second

// prober returns the part that probes backend servers for entries. It is made
// when the first one asks.
func (c *Controller) prober() *proxy.Server {
	doc := c.document()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked = c.parts.Now()
	if c.probes == nil {
		c.parts.Log.Info().Msg("backend servers are probed for entries")
		c.probes = proxy.New(c.parts.Dialer, c.roster, proxy.WithZone(c.settings.Zone), proxy.WithClock(c.parts.Now),
			proxy.WithLog(c.parts.Log), proxy.WithSeed(c.parts.Seed))
	}
	if doc != nil {
		c.probes.Configure(doc)
	}
	return c.probes
}

// troubles lists the backend servers that do not answer this instance, if it
// probes.
func (c *Controller) troubles() ([]mesh.Observation, []string) {
	p := c.probing()
	if p == nil {
		return nil, nil
	}
	var out []mesh.Observation
	for _, t := range p.UnresponsiveMembers() {
		out = append(out, mesh.Observation(t))
	}
	return out, p.ProbedServices()
}

// probing returns the part that probes for entries, or nil. It ends the part when no
// entry has asked for long: its connections are needed for statements.
func (c *Controller) probing() *proxy.Server {
	c.mu.Lock()
	p, idle := c.probes, c.parts.Now().Sub(c.asked) > probesIdle
	if idle {
		c.probes = nil
	}
	c.mu.Unlock()
	if p != nil && idle {
		c.parts.Log.Info().Msg("backend servers are no longer probed for entries")
		p.Close()
		return nil
	}
	return p
}

// observers returns the reports of all who probe, this instance among them.
func (c *Controller) observers() map[string]entryReport {
	out := c.reports()
	if troubles, probed := c.troubles(); len(probed) > 0 {
		out[c.settings.Name] = entryReport{zone: c.settings.Zone, probed: probed, troubles: troubles}
	}
	return out
}

// reports returns the reports of the entries that are live.
func (c *Controller) reports() map[string]entryReport {
	now := c.parts.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]entryReport, len(c.entries))
	for name, r := range c.entries {
		if now.Sub(r.at) > entryLive {
			delete(c.entries, name)
			continue
		}
		out[name] = r
	}
	return out
}

func (c *Controller) controlAddrs() []string {
	members := c.node.Status().Members
	out := make([]string, 0, len(members))
	for _, m := range members {
		out = append(out, m.Address)
	}
	return out
}

// leader returns the address of the leader, or "".
func (c *Controller) leader() string {
	st := c.node.Status()
	if m, ok := st.Members.Find(st.Leader); ok {
		return m.Address
	}
	return ""
}

func (c *Controller) leads() bool { return c.node.Status().Role == raft.Leader }

// leaderPause is between attempts to find the leader.
const leaderPause = 50 * time.Millisecond

// atLeader runs local here if this instance leads, and remote at the leader
// otherwise, until one of them succeeds or ctx ends.
func (c *Controller) atLeader(ctx context.Context, local func() error, remote func(*mesh.Client) error) error {
	last := ErrNoLeader
	for ctx.Err() == nil {
		var err error
		switch addr := c.leader(); {
		case c.leads():
			err = local()
		case addr == "":
			err = ErrNoLeader
		default:
			cl := mesh.NewClient(addr, mesh.Dial)
			err = remote(cl)
			cl.Close()
		}
		if err == nil {
			return nil
		}
		last = err
		select {
		case <-ctx.Done():
		case <-time.After(leaderPause):
		}
	}
	return last
}

// Put stores a configuration.
func (c *Controller) Put(ctx context.Context, version uint64, body []byte) error {
	return c.atLeader(ctx,
		func() error { return c.putHere(ctx, version, body) },
		func(cl *mesh.Client) error {
			reply, err := cl.Put(ctx, &mesh.PutRequest{Version: version, Body: body})
			if err == nil && !reply.Stored {
				err = ErrNoLeader
			}
			return err
		})
}

func (c *Controller) putHere(ctx context.Context, version uint64, body []byte) error {
	cmd, err := ledger.Encode(ledger.PutConfig{Version: version, Body: body})
	if err != nil {
		return err
	}
	result, err := c.node.ProposeData(ctx, cmd)
	if err != nil {
		return err
	}
	switch r := result.(type) {
	case ledger.ConfigResult:
		c.parts.Log.Info().Uint64("version", version).Uint64("in_force", r.Version).Bool("changed", r.Changed).Msg("configuration stored")
		return nil
	case ledger.InvalidEntry:
		return r.Err
	default:
		return eris.Errorf("configuration ended with %T", result)
	}
}

// Get returns the newest configuration.
func (c *Controller) Get(ctx context.Context) ([]byte, error) {
	var body []byte
	err := c.atLeader(ctx,
		func() error {
			if err := c.node.Confirm(ctx); err != nil {
				return err
			}
			stored, _ := c.ledger.Config()
			body = stored.Body
			return nil
		},
		func(cl *mesh.Client) error {
			reply, err := cl.Get(ctx, &mesh.GetRequest{})
			if err == nil && !reply.Known {
				err = ErrNoLeader
			}
			if err == nil {
				body = reply.Body
			}
			return err
		})
	if err == nil && len(body) == 0 {
		err = eris.New("no configuration is stored")
	}
	return body, err
}

// Shutdown stops the role. What it acknowledged is on disk.
func (c *Controller) Shutdown() {
	if err := c.Close(); err != nil {
		c.parts.Log.Warn().Err(err).Msg("control role stopped with an error")
	}
}
