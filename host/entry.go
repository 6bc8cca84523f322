package host

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcmux"

	"tamarackcross/ctrl"
	"tamarackcross/duty"
	"tamarackcross/event"
	"tamarackcross/mesh"
	"tamarackcross/proxy"
	"tamarackcross/relay"
	"tamarackcross/roster"
	"tamarackcross/stats"
)

// EntryDeps holds the dependencies of the entry role.
type EntryDeps struct {
	Dialer proxy.Dialer
	Open   func(net.Conn) proxy.Caller          // returns the codec for the connection of a caller
	Ready  func(ready func() bool) http.Handler // answers the readiness probe
	Decode DecodeFunc
	Dial   mesh.DialFunc // opens connections to other instances; nil for mesh.Dial
	Now    func() time.Time
	Log    *event.Log
	Stats  *stats.Registry
	Seed   uint64
}

// Entry is the entry role of one instance.
type Entry struct {
	settings       Settings
	deps           EntryDeps
	roster         *roster.Table
	server         *proxy.Server
	control        *controlClients
	leases         *leaseHolder // nil if a promotion stops the former primary
	caps           *capsClient  // nil if customers have no caps
	config         *configFetcher
	instanceCount  instanceCount
	peers          peerMemory
	leavingLonger  *leavingMemory
	proofs         *proofClient
	peerClient     *relay.Links
	callerListener net.Listener
	readyServer    *http.Server
	leaving        atomic.Bool

	ctx    context.Context
	cancel context.CancelFunc
	ended  chan error // receives the result of each server
	served chan error // receives the results of those for other instances and of the readiness probe as well
}

// filesPerSession is the number of file descriptors to reserve for a session: one for the
// connection of its caller, and a share of those to backend servers.
const filesPerSession = 1.2

// StartEntry opens the listeners of the entry role and starts it.
func StartEntry(s Settings, p EntryDeps) (*Entry, error) {
	if p.Dial == nil {
		p.Dial = mesh.Dial
	}
	e := &Entry{settings: s, deps: p, roster: roster.New(), leavingLonger: newLeavingMemory(), ended: make(chan error, 3), served: make(chan error, servers)}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.control = newControlClients("", s.Zone, p.Dial, p.Now, p.Log, p.Stats)
	opts := []proxy.Option{
		proxy.WithHealthChanged(e.control.reportNow), proxy.WithName(s.Name), proxy.WithZone(s.Zone), proxy.WithZoneCount(s.ZoneCount), proxy.WithClock(p.Now), proxy.WithLog(p.Log), proxy.WithStats(p.Stats), proxy.WithSeed(p.Seed),
	}
	if s.MaxFiles > 0 {
		opts = append(opts, proxy.WithMaxSessions(int(float64(s.MaxFiles)/filesPerSession)))
	}
	callerListener, err := mesh.Listen(e.ctx, s.CallerAddr)
	if err != nil {
		return nil, err
	}
	readyListener, err := mesh.Listen(e.ctx, s.ReadyAddr)
	if err != nil {
		return nil, errors.Join(err, callerListener.Close())
	}
	peerListener, err := mesh.Listen(e.ctx, s.PeerAddr)
	if err != nil {
		return nil, errors.Join(err, callerListener.Close(), readyListener.Close())
	}
	mux := drpcmux.New()
	if err := relay.Register(mux, relayHolder{e}); err != nil {
		return nil, errors.Join(err, callerListener.Close(), readyListener.Close(), peerListener.Close())
	}
	e.instanceCount.update(assumedInstances, p.Now())
	e.callerListener = callerListener
	e.proofs = &proofClient{control: e.control, dial: p.Dial, clients: make(map[string]*mesh.Client)}
	e.peerClient = relay.NewLinks(p.Dial)
	if s.Succession == duty.Overlapping {
		e.leases = newLeaseHolder(p.Now, p.Log, p.Stats)
		opts = append(opts, proxy.WithLeases(e.leases))
	}
	if s.CapBound.Window > 0 {
		e.caps = newCapsClient(s.Name, s.CapBound, e.control.controlTargets, p.Dial, p.Now, p.Log, p.Stats)
		opts = append(opts, proxy.WithCaps(e.caps))
	}
	e.server = proxy.New(p.Dialer, e.roster, append(opts, proxy.WithProver(e.proofs), proxy.WithPeerClient(e.peerClient))...)
	e.control.leases, e.control.relied, e.control.onLeases = e.leases, e.server.DirectServices, e.server.RetryProofs
	e.config = newConfigFetcher(e)
	e.control.newRequest, e.control.onReply, e.control.suspicious = e.syncRequest, e.applySync, e.missesPrimaries
	e.control.start(e.ctx, s.Seeds)
	e.readyServer = &http.Server{Handler: p.Ready(e.Ready), ReadHeaderTimeout: httpHeaderTimeout, IdleTimeout: httpIdleTimeout}
	go func() { e.ended <- e.server.Serve(e.ctx, callerListener, p.Open) }()
	go e.serve(func() error { return serveHTTP(e.readyServer, readyListener) })
	go e.serve(func() error { return ctrl.Serve(e.ctx, peerListener, mux, panicReport(p.Log, p.Stats)) })
	go func() { e.config.done <- e.config.run(e.ctx) }()
	if e.caps != nil {
		go func() { e.caps.done <- e.caps.run(e.ctx) }()
	}
	return e, nil
}

// serve runs a server and reports its end.
func (e *Entry) serve(server func() error) {
	err := server()
	e.ended <- err
	e.served <- err
}

// servers is the number of servers of a role that close their listeners on their own.
const servers = 2

const (
	httpHeaderTimeout = 3 * time.Second
	httpIdleTimeout   = 15 * time.Second
)

func serveHTTP(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Ended returns a channel that receives the result of each server of the role when it ends.
func (e *Entry) Ended() <-chan error { return e.ended }

// Ready reports whether the instance accepts new callers. While it is isolated it does not,
// so that the platform sends them to another zone.
func (e *Entry) Ready() bool {
	isolated := e.isolated()
	if e.server.SetIsolated(isolated) {
		e.deps.Log.Warn().Bool("isolated", isolated).Msg("isolation changed")
	}
	return e.server.Configured() && !e.leaving.Load() && !isolated
}

// isolationTimeout is how old the last answers of control members and the last proofs of
// primary may be before they count as missing. It allows for two probes and two Sync calls
// in a row, each of which takes up to 400 ms.
const isolationTimeout = 900 * time.Millisecond

// suspicionTimeout is how old the last proofs of primary may be before the instance finds out
// whether it reaches control. The answers are there once isolationTimeout has passed.
const suspicionTimeout = 500 * time.Millisecond

// missesPrimaries reports whether so many primaries are missing that the instance may be behind a
// network partition.
func (e *Entry) missesPrimaries() bool {
	known, proved := e.server.CountProofs(suspicionTimeout)
	return countsAsIsolated(false, known, proved)
}

// isolated reports whether a network partition separates the instance from the control
// instances and the primaries.
func (e *Entry) isolated() bool {
	known, proved := e.server.CountProofs(isolationTimeout)
	return countsAsIsolated(e.control.majorityAnswered(isolationTimeout), known, proved)
}

// countsAsIsolated decides whether an instance is isolated, from whether a majority of the
// control members answers and how many of the known primaries proved their role. If only
// control is lost, or only primaries, all instances are affected alike. The same holds if
// control and up to a third of the primaries are lost. An instance that misses control and
// more primaries than that is behind a network partition, and other instances serve its
// callers better.
func countsAsIsolated(majority bool, known, proved int) bool { return !majority && 3*proved < 2*known }

// Reload applies the seeds of changed settings. Other changes need a restart.
func (e *Entry) Reload(s Settings) { e.control.setSeeds(e.ctx, s.Seeds) }

// syncRequest returns the state that this instance sends to the control instances.
func (e *Entry) syncRequest() mesh.SyncRequest {
	in := mesh.SyncRequest{
		Name: e.settings.Name, Zone: e.settings.Zone, Serves: true,
		ProbedServices: e.server.ProbedServices(), Addr: e.settings.PeerAddr, Leaving: e.leaving.Load(),
		ConfigHeld: e.config.base.Load(), AllZones: e.server.ForwardsToAllZones(), LeavingLonger: e.leavingLonger.list(e.deps.Now()),
	}
	for _, t := range e.server.UnresponsiveMembers() {
		in.UnresponsiveMembers = append(in.UnresponsiveMembers, mesh.UnresponsiveMember(t))
	}
	return in
}

// applySync applies the reply of the control instance at addr: roster entries, number of instances and
// peers. A newer configuration is fetched unless the reply carries it.
func (e *Entry) applySync(addr string, r *mesh.SyncReply) {
	now := e.deps.Now()
	putChecked(e.roster, r.RosterEntries, now, e.deps.Log)
	e.leavingLonger.compare(r.RosterEntries, e.roster, now)
	e.server.SetInstanceCount(e.instanceCount.update(r.EntryCount, now))
	if peers := e.control.peers(); len(peers) > 0 {
		if e.server.ForwardsToAllZones() {
			peers = e.peers.retain(peers, now)
		}
		list := make([]proxy.Peer, len(peers))
		for i, p := range peers {
			list[i] = proxy.Peer(p)
		}
		e.server.SetPeers(list)
	}
	switch {
	case r.ConfigVersion <= e.server.Version():
	case r.Config != nil:
		e.config.offer(configOffer{control: addr, config: r.Config})
	default:
		e.config.wakeUp()
	}
}

// instanceCountRetention is how long the largest number of instances that a control instance
// reported stays in force. A control instance that was frozen, or has just started, knows
// too few.
const instanceCountRetention = 5 * time.Second

// assumedInstances stands in for a report at the start, when the number of instances is not
// known yet. It is the number that the users run.
const assumedInstances = 7

// instanceCount tracks how many instances share the backend servers, as the largest number
// reported within instanceCountRetention.
type instanceCount struct {
	mu     sync.Mutex
	recent []countSample // in order of time, with strictly decreasing numbers
}

type countSample struct {
	n  int
	at time.Time
}

// update adds a reported number and returns the largest recent one.
func (c *instanceCount) update(n int, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.recent) > 0 && now.Sub(c.recent[0].at) > instanceCountRetention {
		c.recent = c.recent[1:]
	}
	for len(c.recent) > 0 && c.recent[len(c.recent)-1].n <= n {
		c.recent = c.recent[:len(c.recent)-1]
	}
	c.recent = append(c.recent, countSample{n: n, at: now})
	return c.recent[0].n
}

const (
	// unreadyWait is how long new callers can still arrive after the instance stops being
	// ready. The platform probes the readiness every second and needs two failures.
	unreadyWait = 2200 * time.Millisecond
	// exitMargin is the part of the grace period that remains for the exit of the process.
	exitMargin = 500 * time.Millisecond
)

// Shutdown reports the instance as not ready, lets requests and transactions end, and
// returns within the grace period. Open transactions may use the first half of it.
func (e *Entry) Shutdown() {
	e.leaving.Store(true)
	grace := e.settings.GracePeriod
	wait := min(unreadyWait, grace/2)
	time.Sleep(wait)
	e.server.Drain(context.Background(), max(0, grace/2-wait), max(0, grace-wait-exitMargin))
	e.Close()
}

// Close stops the role at once. Its addresses are free when it returns.
func (e *Entry) Close() {
	e.cancel()
	_ = e.callerListener.Close()
	_ = e.readyServer.Close()
	e.control.close()
	<-e.config.done
	if e.caps != nil {
		<-e.caps.done
	}
	e.server.Close()
	for range servers {
		<-e.served // the results went to Ended as well
	}
	e.proofs.close()
	if err := e.peerClient.Close(); err != nil {
		e.deps.Log.Debug().Err(err).Msg("closing connections to other instances failed; the entry role stops anyway")
	}
}

// relayHolder is the relay.Holder that serves other instances of the zone.
type relayHolder struct{ e *Entry }

// HandleForwarded serves the requests that another instance forwards through c.
func (h relayHolder) HandleForwarded(c proxy.Caller) { h.e.server.HandleForwarded(c) }

// panicReport returns a function that logs and counts a panic which ended a call.
func panicReport(log *event.Log, st *stats.Registry) func(call string, err error) {
	return func(call string, err error) {
		log.Panicked(call, err)
		st.Panicked()
	}
}
