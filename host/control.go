package host

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcmux"

	"tamarackcross/config"
	"tamarackcross/ctrl"
	"tamarackcross/duty"
	"tamarackcross/event"
	"tamarackcross/ledger"
	"tamarackcross/mesh"
	"tamarackcross/patch"
	"tamarackcross/proxy"
	"tamarackcross/raft"
	"tamarackcross/roster"
	"tamarackcross/stats"
)

// ControlDeps holds the dependencies of the control role.
type ControlDeps struct {
	Handler  func(Control) http.Handler // serves backend servers and operators
	Decode   DecodeFunc
	Promoter Promoter // nil if the platform does not take promotion orders
	Members  MemberCalls
	Dialer   proxy.Dialer
	Now      func() time.Time
	Log      *event.Log
	Stats    *stats.Registry
	Seed     uint64
}

// Controller is the control role of one instance.
type Controller struct {
	settings    Settings
	deps        ControlDeps
	incarnation uint64 // random ID of this run of the role; not 0
	ledger      *ledger.Ledger
	versions    patch.History // of the configuration
	roster      *roster.Table
	reports     *reportTable
	node        *ctrl.Node
	clients     *controlClients
	leases      *leaseHolder // of the prober; nil if a promotion stops the former primary
	giver       *leaseGiver  // nil likewise
	caps        *capsOwner   // nil if customers have no caps
	admission   *admission
	http        *http.Server

	mu               sync.Mutex
	prober           *proxy.Server // probes members for the entries; nil while no entry asks for proofs
	lastProofRequest time.Time     // time of the last Prove call of an entry
	doc              *config.Document
	gathered         *mesh.Gathered // from the entries whose home this instance is
	leaderAddress    string         // of the leader that this instance knows, or empty
	leaderChanged    chan struct{}  // closed when that changes

	ctx        context.Context
	cancel     context.CancelFunc
	ended      chan error // receives the result of each server and of the log
	served     chan error // receives the result of each server as well
	dutyDone   chan error // receives the result of runDuty
	configDone chan error // receives the result of followConfig
}

// StartControl opens the log in the data directory and starts the control role.
func StartControl(s Settings, p ControlDeps) (*Controller, error) {
	c := &Controller{
		settings: s, deps: p, incarnation: rand.Uint64() | 1, ledger: ledger.New(), roster: roster.New(roster.WithStart(p.Now())),
		reports: newReportTable(), admission: newAdmission(), leaderChanged: make(chan struct{}), ended: make(chan error, 3), served: make(chan error, servers), dutyDone: make(chan error, 1), configDone: make(chan error, 1),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	peerListener, err := mesh.Listen(c.ctx, s.PeerAddr)
	if err != nil {
		return nil, err
	}
	apiListener, err := mesh.Listen(c.ctx, s.ControlAddr)
	if err != nil {
		return nil, errors.Join(err, peerListener.Close())
	}
	if err := c.open(); err != nil {
		return nil, errors.Join(err, peerListener.Close(), apiListener.Close())
	}
	mux := drpcmux.New()
	if err := errors.Join(c.node.Register(mux), mesh.Register(mux, meshHandler{c}, c.recordSent)); err != nil {
		return nil, errors.Join(err, peerListener.Close(), apiListener.Close(), c.node.Close())
	}
	p.Stats.Gauges(c.setGauges)
	c.clients = newControlClients(s.PeerAddr, s.Zone, mesh.Dial, p.Now, p.Log, p.Stats)
	c.clients.newRequest = c.syncRequest
	c.clients.onReply = c.applyRoster
	if s.Succession == duty.Overlapping {
		c.leases, c.giver = newLeaseHolder(p.Now, p.Log, p.Stats), newLeaseGiver(c.ledger, p.Now, p.Log)
		c.clients.leases, c.clients.relied, c.clients.onLeases = c.leases, func() []string { return nil }, c.retryProofs
	}
	if s.CapBound.Window > 0 {
		c.caps = newCapsOwner(s.CapBound, c.propose, p.Now, p.Log, p.Stats)
	}
	c.clients.start(c.ctx, s.Seeds)
	c.http = &http.Server{Handler: p.Handler(c), ReadHeaderTimeout: httpHeaderTimeout, IdleTimeout: httpIdleTimeout}
	go c.serve(func() error { return ctrl.Serve(c.ctx, peerListener, mux, panicReport(p.Log, p.Stats)) })
	go c.serve(func() error { return serveHTTP(c.http, apiListener) })
	go func() {
		<-c.node.Done()
		c.ended <- c.node.Err()
	}()
	go func() { c.dutyDone <- c.runDuty(c.ctx) }()
	go func() { c.configDone <- c.followConfig(c.ctx) }()
	return c, nil
}

// serve runs a server and reports its end.
func (c *Controller) serve(server func() error) {
	err := server()
	c.ended <- err
	c.served <- err
}

// syncRequest returns the state that this instance sends to the other control instances.
func (c *Controller) syncRequest() mesh.SyncRequest {
	_, probed := c.probeResults()
	known := c.reports.summarize(c.deps.Now()).known
	c.mu.Lock()
	defer c.mu.Unlock()
	return mesh.SyncRequest{
		Name: c.settings.Name, Zone: c.settings.Zone, ProbedServices: probed, Gathered: c.gathered,
		KnownPeers: known.list, KnownPeersDigest: known.digest,
		ConfigVersion: ^uint64(0), // requests no announcement: the configuration arrives with the log
	}
}

// recordSent counts a reply to another instance.
func (c *Controller) recordSent(size int, took time.Duration) {
	c.deps.Stats.Scope().Counter("mesh_sent_bytes").Inc(int64(size))
	c.deps.Stats.Observe("mesh_encode", took)
}

// open opens the replicated log.
func (c *Controller) open() error {
	opts := []ctrl.Option{
		ctrl.WithName(c.settings.Name), ctrl.WithZone(c.settings.Zone), ctrl.WithInitialMembers(c.settings.Seeds...),
		ctrl.WithDial(mesh.Dial), ctrl.WithLog(c.deps.Log.Logger), ctrl.WithClock(c.deps.Now),
		ctrl.WithLedger(c.ledger), ctrl.WithOpenMembership(), ctrl.WithDiskLosses(c.settings.DiskLosses),
	}
	if !c.settings.Bootstrap {
		opts = append(opts, ctrl.WithoutBootstrap())
	}
	n, err := ctrl.Open(c.settings.DataDir, c.settings.PeerAddr, opts...)
	c.node = n
	return err
}

// Ended returns a channel that receives the result of each server and of the log when it
// ends.
func (c *Controller) Ended() <-chan error { return c.ended }

// Reload applies the seeds of changed settings. Other changes need a restart.
func (c *Controller) Reload(s Settings) {
	c.clients.setSeeds(c.ctx, s.Seeds)
	c.node.SetInitialMembers(s.Seeds)
}

// Close stops the role at once. Its addresses are free when it returns.
func (c *Controller) Close() error {
	c.cancel()
	err := c.http.Close()
	c.clients.close()
	<-c.dutyDone
	<-c.configDone
	c.mu.Lock()
	prober := c.prober
	c.mu.Unlock()
	if prober != nil {
		prober.Close()
	}
	err = errors.Join(err, c.node.Close())
	for range servers {
		<-c.served // the results went to Ended as well
	}
	return err
}

// applyRoster merges the roster of another control instance into the own one.
func (c *Controller) applyRoster(_ string, r *mesh.SyncReply) {
	now := c.deps.Now()
	putChecked(c.roster, r.RosterEntries, now, c.deps.Log)
}

// putChecked adds the entries of another instance to a roster. It leaves out those that cannot
// be those of a backend server, so that one of them does not spread.
func putChecked(t *roster.Table, entries []roster.Entry, now time.Time, log *event.Log) {
	timeOfDay := time.Now()
	for _, e := range entries {
		if err := e.Check(timeOfDay); err != nil {
			log.Warn().Err(err).Str("member", e.ID).Msg("entry of a backend server from another instance ignored")
			continue
		}
		t.Put(e, now)
	}
}

// document returns the newest configuration that this instance knows, or nil. If the
// stored one cannot be decoded, it is the one before.
func (c *Controller) document() *config.Document {
	stored, _ := c.ledger.Config()
	c.mu.Lock()
	defer c.mu.Unlock()
	if stored.Version == 0 || c.doc != nil && c.doc.Version == stored.Version {
		return c.doc
	}
	doc, err := c.deps.Decode(stored.Body)
	if err != nil {
		c.deps.Log.Error().Err(err).Uint64("version", stored.Version).Msg("stored configuration cannot be decoded; the one before stays in force")
		return c.doc
	}
	c.doc = doc
	return doc
}

// Announce adds the announcement of a backend server to the roster. A start of a server that this instance
// does not know yet is admitted by the leader first if commits of its service wait for replicas.
func (c *Controller) Announce(ctx context.Context, e roster.Entry) error {
	if err := e.Check(time.Now()); err != nil {
		return err
	}
	if doc := c.document(); doc != nil {
		if _, ok := doc.Services[e.Service]; !ok {
			return eris.Wrapf(ErrUnknown, "service %q", e.Service)
		}
	}
	if c.needsAdmission(e) {
		if err := c.admit(ctx, e); err != nil {
			return err
		}
	}
	c.announce(e)
	return nil
}

func (c *Controller) announce(e roster.Entry) {
	if c.roster.Announce(e, c.deps.Now()) {
		c.deps.Log.Info().Str("service", e.Service).Str("member", e.ID).Str("state", e.State.String()).
			Bool("primary", e.Primary).Uint64("seq", e.Seq).Int64("born", e.Born).Msg("backend server changed")
	}
}

// Leave records that one start of a backend server has ended.
func (c *Controller) Leave(s roster.Incarnation) {
	if c.roster.Leave(s, c.deps.Now()) {
		c.deps.Log.Info().Str("member", s.ID).Int64("born", s.Born).Msg("backend server left")
	}
}

// Sync replies with the version of the configuration and the roster entries that are newer
// than those of the request. While there are none it waits, at most in.Wait.
func (c *Controller) Sync(ctx context.Context, in *mesh.SyncRequest) (*mesh.SyncReply, error) {
	arrived := c.deps.Now()
	putChecked(c.roster, in.LeavingLonger, arrived, c.deps.Log)
	reply, err := c.sync(ctx, in)
	if err != nil {
		return nil, err
	}
	now := c.deps.Now()
	reply.HeldFor = now.Sub(arrived)
	for i, e := range reply.RosterEntries {
		reply.RosterEntries[i] = e.ForRelay(now)
	}
	return reply, nil
}

func (c *Controller) sync(ctx context.Context, in *mesh.SyncRequest) (*mesh.SyncReply, error) {
	if in.Name != "" {
		c.recordReport(in)
	}
	if in.ReportOnly {
		return &mesh.SyncReply{}, nil
	}
	leases := c.leaseCall(in)
	timer := time.NewTimer(min(in.Wait, standbyWait))
	defer timer.Stop()
	for {
		stored, configChanged := c.ledger.Config()
		revisionSeen := in.RosterRevision
		if in.Incarnation != c.incarnation {
			revisionSeen = 0
		}
		entries, revision, rosterChanged := c.roster.Since(revisionSeen)
		reports := c.reports.summarize(c.deps.Now())
		leader, leaderChanged := c.knownLeader()
		reply := &mesh.SyncReply{
			ConfigVersion: stored.Version, Incarnation: c.incarnation, RosterRevision: revision, RosterEntries: entries,
			Controls: c.controlAddrs(), EntryCount: reports.entries, Zone: c.settings.Zone, Led: leader != "", Leader: leader,
		}
		reply.KnownPeersDigest = c.reports.knownDigest(in.Name)
		if in.Serves {
			peers := reports.peersFor(in)
			if reply.PeersDigest = peers.digest; reply.PeersDigest != in.PeersDigest {
				reply.Peers = peers.list
			}
		}
		leasesDiffer, leasesChanged := leases.differ()
		if len(entries) > 0 || stored.Version > max(in.ConfigVersion, in.ConfigHeld) || in.Incarnation != c.incarnation || leasesDiffer {
			reply.Config, reply.Lease = c.inlineConfig(in, stored), leases.grant()
			return reply, nil
		}
		select {
		case <-configChanged:
		case <-rosterChanged:
		case <-leasesChanged:
		case <-leaderChanged:
			reply.Leader, _ = c.knownLeader()
			reply.Led = reply.Leader != ""
			reply.Lease = leases.grant()
			return reply, nil
		case <-timer.C:
			reply.Lease = leases.grant()
			return reply, nil
		case <-ctx.Done():
			return reply, nil
		}
	}
}

// recordReport stores the state that a Sync request carries.
func (c *Controller) recordReport(in *mesh.SyncRequest) {
	c.reports.put(in.Name, instanceReport{
		zone: in.Zone, serves: in.Serves, home: in.Home, homeSince: in.HomeSince, gathered: in.Gathered, wait: in.Wait, addr: in.Addr, leaving: in.Leaving,
		probed: in.ProbedServices, at: c.deps.Now(), unresponsive: in.UnresponsiveMembers, allZones: in.AllZones,
	})
	c.reports.putKnown(in, c.deps.Now())
}

// entryCount returns the number of live entries.
func (c *Controller) entryCount() int { return c.reports.summarize(c.deps.Now()).entries }

// probeIdleTimeout is how long this instance goes on probing members after an entry last
// asked for a proof of primary.
const probeIdleTimeout = 5 * time.Second

// ensureProber returns the server that probes the members for the entries. It creates the
// server when the first entry asks for a proof of primary.
func (c *Controller) ensureProber() *proxy.Server {
	doc := c.document()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastProofRequest = c.deps.Now()
	if c.prober == nil {
		c.deps.Log.Info().Msg("an entry asked for a proof of primary; this control instance starts to probe the backend servers")
		opts := []proxy.Option{
			proxy.WithZone(c.settings.Zone), proxy.WithClock(c.deps.Now), proxy.WithLog(c.deps.Log), proxy.WithSeed(c.deps.Seed),
			proxy.WithHealthChanged(c.clients.reportNow),
		}
		if c.leases != nil {
			opts = append(opts, proxy.WithLeases(c.leases))
		}
		c.prober = proxy.New(c.deps.Dialer, c.roster, opts...)
	}
	if doc != nil {
		c.prober.Configure(doc)
	}
	return c.prober
}

// probeResults returns the members that do not answer this instance, and the services whose
// members it probes. Both are nil while it does not probe.
func (c *Controller) probeResults() ([]mesh.UnresponsiveMember, []string) {
	p := c.activeProber()
	if p == nil {
		return nil, nil
	}
	var out []mesh.UnresponsiveMember
	for _, t := range p.UnresponsiveMembers() {
		out = append(out, mesh.UnresponsiveMember(t))
	}
	return out, p.ProbedServices()
}

// activeProber returns the server that probes the members, or nil. It closes the server if
// no entry has asked for a proof within probeIdleTimeout, because the connections to the
// members are needed for statements.
func (c *Controller) activeProber() *proxy.Server {
	c.mu.Lock()
	p, idle := c.prober, c.deps.Now().Sub(c.lastProofRequest) > probeIdleTimeout
	if idle {
		c.prober = nil
	}
	c.mu.Unlock()
	if p != nil && idle {
		c.deps.Log.Info().Msg("no entry asks for proofs of primary any more; this control instance stops probing the backend servers")
		p.Close()
		return nil
	}
	return p
}

// gatherHealth summarizes the reports of the entries whose home this instance is, and its own
// probes. It reports to the leader at once if other members are failing than before.
func (c *Controller) gatherHealth(now time.Time) healthSummary {
	reports := c.reports.live(now)
	if unresponsive, probed := c.probeResults(); len(probed) > 0 {
		reports[c.settings.Name] = instanceReport{home: true, at: now, probed: probed, unresponsive: unresponsive}
	}
	next := gather(reports, c.settings.Name, now)
	c.mu.Lock()
	urgent := c.gathered != nil && !sameFailing(c.gathered, next)
	c.gathered = next
	c.mu.Unlock()
	if urgent {
		c.clients.reportNow()
	}
	return sumHealth(next, reports)
}

// followLeader records the leader that this instance knows, and wakes the calls that are held if
// it has changed.
func (c *Controller) followLeader() {
	addr := c.leaderAddr()
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr != c.leaderAddress {
		c.leaderAddress = addr
		close(c.leaderChanged)
		c.leaderChanged = make(chan struct{})
	}
}

// knownLeader returns the address of the leader, or "", and a channel that is closed when it
// changes.
func (c *Controller) knownLeader() (string, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaderAddress, c.leaderChanged
}

// controlAddrs returns the control members, with their zones as far as they are known.
func (c *Controller) controlAddrs() []mesh.ControlAddr {
	members := c.node.Status().Members
	out := make([]mesh.ControlAddr, 0, len(members))
	for _, m := range members {
		zone := c.clients.zoneOf(m.Address)
		if m.Address == c.settings.PeerAddr {
			zone = c.settings.Zone
		}
		out = append(out, mesh.ControlAddr{Addr: m.Address, Zone: zone})
	}
	return out
}

// leaderAddr returns the address of the leader, or "" if it is not known.
func (c *Controller) leaderAddr() string {
	st := c.node.Status()
	if m, ok := st.Members.Find(st.Leader); ok {
		return m.Address
	}
	return ""
}

func (c *Controller) isLeader() bool { return c.node.Status().Role == raft.Leader }

// leaderRetryDelay is the time between attempts to reach the leader.
const leaderRetryDelay = 50 * time.Millisecond

// atLeader calls local if this instance is the leader, and otherwise remote with a client
// of the leader. It repeats this until a call succeeds or ctx ends, and then returns the
// last error.
func (c *Controller) atLeader(ctx context.Context, local func() error, remote func(*mesh.Client) error) error {
	lastErr := ErrNoLeader
	for ctx.Err() == nil {
		var err error
		switch addr := c.leaderAddr(); {
		case c.isLeader():
			err = local()
		case addr == "":
			err = ErrNoLeader
		default:
			client := mesh.NewClient(addr, mesh.Dial)
			err = remote(client)
			client.Close()
		}
		if err == nil {
			return nil
		}
		lastErr = err
		select {
		case <-ctx.Done():
		case <-time.After(leaderRetryDelay):
		}
	}
	return lastErr
}

// Put stores a configuration through the leader.
func (c *Controller) Put(ctx context.Context, version uint64, body []byte) error {
	return c.atLeader(ctx,
		func() error { return c.putLocal(ctx, version, body) },
		func(client *mesh.Client) error {
			reply, err := client.Put(ctx, &mesh.PutRequest{Version: version, Body: body})
			if err == nil && !reply.Stored {
				err = ErrNoLeader
			}
			return err
		})
}

// propose appends a command to the log and returns its result. This instance must be the leader.
func (c *Controller) propose(ctx context.Context, command ledger.Command) (any, error) {
	data, err := ledger.Encode(command)
	if err != nil {
		return nil, err
	}
	return c.node.ProposeData(ctx, data)
}

// putLocal appends a configuration to the log. This instance must be the leader.
func (c *Controller) putLocal(ctx context.Context, version uint64, body []byte) error {
	result, err := c.propose(ctx, ledger.PutConfig{Version: version, Body: body})
	if err != nil {
		return err
	}
	switch r := result.(type) {
	case ledger.ConfigResult:
		c.deps.Log.Info().Uint64("version", version).Uint64("in_force", r.Version).Bool("changed", r.Changed).Msg("configuration stored")
		return nil
	case ledger.InvalidEntry:
		return r.Err
	default:
		return eris.Errorf("unexpected result of type %T after storing a configuration", result)
	}
}

// Get returns the newest configuration, as confirmed by the leader.
func (c *Controller) Get(ctx context.Context) ([]byte, error) {
	var body []byte
	err := c.atLeader(ctx,
		func() error {
			if err := c.node.ConfirmLeadership(ctx); err != nil {
				return err
			}
			stored, _ := c.ledger.Config()
			body = stored.Body
			return nil
		},
		func(client *mesh.Client) error {
			reply, err := client.Get(ctx, &mesh.GetRequest{})
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

// maxHandOver bounds how long a planned stop waits until another instance votes instead of this
// one.
const maxHandOver = 2 * time.Second

// handOver gives the vote of this instance to one that only receives the log, or up, if the log can spare it.
// The platform may have started another instance to replace this one.
func (c *Controller) handOver() {
	c.node.StopJoining()
	if !c.node.MayHandOver() {
		return
	}
	id := c.node.Identity()
	ctx, stop := context.WithTimeout(context.Background(), maxHandOver)
	defer stop()
	start := c.deps.Now()
	err := c.atLeader(ctx,
		func() error { return c.node.HandOver(ctx, id) },
		func(client *mesh.Client) error {
			reply, err := client.HandOver(ctx, &mesh.HandOverRequest{Member: uint64(id)})
			if err == nil && !reply.Done {
				err = ErrNoLeader
			}
			return err
		})
	c.deps.Log.Info().Err(err).Bool("votes", c.node.Status().Members.IsVoter(id)).
		Int64("waited_ms", c.deps.Now().Sub(start).Milliseconds()).Msg("vote given away before the stop, if the log can spare it")
}

// maxAnswerWait bounds how long a planned stop waits for the answers to requests of operators
// and servers.
const maxAnswerWait = time.Second

// Shutdown gives the vote of this instance away, accepts no further requests, answers those under
// way and stops the role. Whatever it acknowledged is on disk already.
func (c *Controller) Shutdown() {
	c.handOver()
	ctx, stop := context.WithTimeout(context.Background(), maxAnswerWait)
	defer stop()
	if err := errors.Join(c.http.Shutdown(ctx), c.Close()); err != nil {
		c.deps.Log.Warn().Err(err).Msg("control role stopped, but closing its servers or its log failed")
	}
}
