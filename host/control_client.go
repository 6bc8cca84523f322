package host

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"tamarackcross/event"
	"tamarackcross/mesh"
	"tamarackcross/roster"
	"tamarackcross/stats"
)

const (
	// longPollWait is how long a control instance holds a Sync call open while it has
	// nothing new to reply.
	longPollWait = 400 * time.Millisecond
	// syncTimeout bounds a Sync call, whose reply may wait on a busy link for seconds.
	syncTimeout = 4 * time.Second
	// recentAnswer is how old the last answer of a control instance may be to count.
	recentAnswer = 1500 * time.Millisecond
	// syncRetryDelay is the time between a failed Sync call and the next attempt.
	syncRetryDelay = 200 * time.Millisecond
	// removeAfter is how long after its last answer an address that is no longer listed is
	// still called.
	removeAfter = 10 * time.Second
	// maxControlClients bounds the number of clients. The users run at most eight control
	// instances.
	maxControlClients = 12
)

// controlClients exchanges state with control instances. A control instance calls all others, an
// entry those that chooseContacts returns: its home, to which it reports, and one more, unless
// these do not answer. It learns addresses from the replies.
type controlClients struct {
	selfAddr   string // address of this instance, which needs no client; empty in the entry role
	zone       string
	newRequest func() mesh.SyncRequest
	onReply    func(addr string, r *mesh.SyncReply)
	leases     *leaseHolder    // nil if this instance needs none
	relied     func() []string // services that need a lease besides those that the request lists as probed
	onLeases   func()          // called when the leases have changed
	suspicious func() bool     // whether the instance may be cut off from control
	dial       mesh.DialFunc
	now        func() time.Time
	log        *event.Log
	stats      *stats.Registry

	mu           sync.Mutex
	seeds        []string           // addresses in the settings
	members      []mesh.ControlAddr // control members, as a control instance listed them last
	byAddr       map[string]*controlClient
	removed      []*controlClient // cancelled; close waits for their goroutines
	home         string           // address of the control instance to which this instance reports
	homeSince    time.Time        // when it became the home
	leader       string           // address of the leader of control, as the home named it last
	needsLeases  bool             // the last request asked for leases
	pings        map[string]time.Time
	pinging      map[string]bool
	pingsStarted time.Time // when the instance became suspicious, or zero

	urgent      chan struct{}
	reportsDone chan error // receives the result of runReports, if start was called
	watchDone   chan error // receives the result of watch, if start was called
	pingGroup   sync.WaitGroup
}

// controlClient is the client of one control instance, with the state from its last answer.
type controlClient struct {
	addr           string
	cancel         context.CancelFunc
	done           chan error // receives the result of run
	started        time.Time
	unwantedSince  time.Time     // since when it need not be called any more, or zero
	wait           time.Duration // how long the control instance may hold a call
	lastAnswer     time.Time     // start of the client before the first answer
	incarnation    uint64        // of the control role; 0 before the first answer
	rosterRevision uint64        // newest revision of its roster that was received
	zone           string        // of the control instance
	led            bool          // it knows a leader of control
	configVersion  uint64        // newest version of the configuration that it announced
	peersDigest    uint64
	peers          []mesh.Peer // entries, as the control instance lists them
	knownDigest    uint64      // of the KnownPeers of this instance that it has
}

func newControlClients(selfAddr, zone string, dial mesh.DialFunc, now func() time.Time, log *event.Log, st *stats.Registry) *controlClients {
	return &controlClients{
		selfAddr: selfAddr, zone: zone, dial: dial, now: now, log: log, stats: st, byAddr: make(map[string]*controlClient),
		pings: make(map[string]time.Time), pinging: make(map[string]bool), urgent: make(chan struct{}, 1),
	}
}

// start starts to send urgent reports and calls the control instances at the seeds.
func (c *controlClients) start(ctx context.Context, seeds []string) {
	c.reportsDone, c.watchDone = make(chan error, 1), make(chan error, 1)
	go func() { c.reportsDone <- c.runReports(ctx) }()
	go func() { c.watchDone <- c.watch(ctx) }()
	c.setSeeds(ctx, seeds)
}

// setSeeds sets the control addresses that the settings list.
func (c *controlClients) setSeeds(ctx context.Context, seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = slices.Clone(seeds)
	c.reconcile(ctx)
}

// setMembers sets the control members, as a control instance lists them. An empty list changes
// nothing.
func (c *controlClients) setMembers(ctx context.Context, members []mesh.ControlAddr) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(members) == 0 || slices.Equal(members, c.members) {
		return
	}
	c.members = slices.Clone(members)
	c.reconcile(ctx)
}

// watch checks from time to time which control instances to call, and whether they can be reached
// if that may not be so, until ctx ends.
func (c *controlClients) watch(ctx context.Context) error {
	t := time.NewTicker(contactInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		c.mu.Lock()
		c.reconcile(ctx)
		c.mu.Unlock()
		if c.suspicious != nil {
			c.checkReach(ctx, c.suspicious())
		}
	}
}

// reconcile starts the missing clients, and ends those that are not needed any more. The caller
// holds c.mu.
func (c *controlClients) reconcile(ctx context.Context) {
	now := c.now()
	wanted := c.wantedAddrs(now)
	for addr, cc := range c.byAddr {
		if slices.Contains(wanted, addr) {
			cc.unwantedSince = time.Time{}
			continue
		}
		if cc.unwantedSince.IsZero() {
			cc.unwantedSince = now
		}
		if now.Sub(cc.unwantedSince) > releaseDelay && (c.selfAddr == "" || now.Sub(cc.lastAnswer) > removeAfter) {
			cc.cancel()
			c.removed = append(c.removed, cc)
			delete(c.byAddr, addr)
		}
	}
	for _, addr := range wanted {
		if addr == c.selfAddr || c.byAddr[addr] != nil || len(c.byAddr) >= maxControlClients {
			continue
		}
		clientCtx, cancel := context.WithCancel(ctx)
		cc := &controlClient{addr: addr, cancel: cancel, done: make(chan error, 1), lastAnswer: now, started: now, wait: standbyWait}
		c.byAddr[addr] = cc
		go func() { cc.done <- c.run(clientCtx, ctx, cc) }()
	}
	c.setWaits(wanted, now)
	c.removed = slices.DeleteFunc(c.removed, func(cc *controlClient) bool { return len(cc.done) > 0 })
}

// wantedAddrs returns the addresses of the control instances to call, the home first. The caller
// holds c.mu.
func (c *controlClients) wantedAddrs(now time.Time) []string {
	var all []contact
	for _, m := range c.members {
		all = append(all, c.contact(m.Addr, m.Zone, now))
	}
	anyUsable := slices.ContainsFunc(all, func(k contact) bool { return k.usable })
	for _, addr := range c.seeds {
		known := slices.ContainsFunc(all, func(k contact) bool { return k.addr == addr })
		if !known && (c.selfAddr != "" || !anyUsable) {
			all = append(all, c.contact(addr, "", now))
		}
	}
	if c.selfAddr != "" {
		out := make([]string, len(all))
		for i, k := range all {
			out[i] = k.addr
		}
		return out
	}
	out := chooseContacts(c.zone, all)
	if c.leader != "" && c.needsLeases && !slices.Contains(out, c.leader) {
		out = append(out, c.leader)
	}
	return out
}

// contact returns what is known about a control instance. The caller holds c.mu.
func (c *controlClients) contact(addr, zone string, now time.Time) contact {
	k := contact{addr: addr, zone: zone, usable: true}
	switch cc := c.byAddr[addr]; {
	case cc == nil:
	case cc.incarnation == 0:
		k.usable = now.Sub(cc.started) <= firstAnswerTimeout
	default:
		k.usable = cc.answers(now) && cc.led
	}
	return k
}

// setWaits makes the first usable control instance the home, and sets how long each one may hold
// a call. The caller holds c.mu.
func (c *controlClients) setWaits(wanted []string, now time.Time) {
	home := c.home
	if i := slices.IndexFunc(wanted, func(addr string) bool { return c.usableHome(addr, now) }); i >= 0 {
		home = wanted[i]
	} else if len(wanted) > 0 && !slices.Contains(wanted, home) {
		home = wanted[0]
	}
	if home != c.home {
		c.log.Info().Str("control", home).Str("was", c.home).Msg("control instance to which this instance reports changed")
		c.home, c.homeSince = home, now
		c.reportNow() // the call that the new one holds does not name it as the home
	}
	for addr, cc := range c.byAddr {
		wait := standbyWait
		if c.selfAddr != "" || addr == home || c.needsLeases && addr == c.leader {
			wait = longPollWait
		}
		cc.wait = wait
	}
}

// usableHome reports whether a control instance answers and knows a leader. The caller holds c.mu.
func (c *controlClients) usableHome(addr string, now time.Time) bool {
	cc := c.byAddr[addr]
	return cc != nil && cc.incarnation != 0 && c.contact(addr, "", now).usable
}

// run exchanges state with one control instance until ctx ends. The clients of members
// that it learns of get the context parent.
func (c *controlClients) run(ctx, parent context.Context, cc *controlClient) error {
	client := c.newClient(cc.addr)
	defer client.Close()
	reached := true
	for ctx.Err() == nil {
		start := c.now()
		reply, err := c.exchange(ctx, client, cc)
		waited := c.now().Sub(start)
		if err != nil && ctx.Err() == nil {
			c.stats.Scope().Counter("sync_failures").Inc(1)
		}
		if ok := err == nil; ok != reached && ctx.Err() == nil {
			reached = ok
			c.log.Info().Err(err).Str("control", cc.addr).Bool("reached", ok).Dur("waited_ms", waited).Msg("reachability of control instance changed; entries use the others while it is unreachable")
		}
		if err == nil {
			c.onReply(cc.addr, reply)
			c.setMembers(parent, reply.Controls)
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(syncRetryDelay):
		}
	}
	return ctx.Err()
}

// newClient returns a client of a control instance.
func (c *controlClients) newClient(addr string) *mesh.Client {
	return mesh.NewClient(addr, c.dial, mesh.WithOverlappingAttempts(), mesh.WithReceived(func(size int, took time.Duration) {
		c.stats.Scope().Counter("control_received_bytes").Inc(int64(size))
		c.stats.Observe("control_decode", took)
	}))
}

// exchange makes one Sync call and records the state of the control instance.
func (c *controlClients) exchange(ctx context.Context, client *mesh.Client, cc *controlClient) (*mesh.SyncReply, error) {
	ctx, stop := context.WithTimeout(ctx, syncTimeout)
	defer stop()
	in := c.newRequest()
	askedAt := c.now()
	c.mu.Lock()
	in.Incarnation, in.RosterRevision, in.Wait, in.PeersDigest = cc.incarnation, cc.rosterRevision, cc.wait, cc.peersDigest
	in.ConfigVersion = max(in.ConfigVersion, cc.configVersion)
	if c.selfAddr == "" && c.home == cc.addr {
		in.Home, in.HomeSince = true, c.homeSince.UnixMilli()
	}
	if in.KnownPeersDigest == cc.knownDigest {
		in.KnownPeers = nil
	}
	c.addLeaseRequest(&in, cc)
	c.mu.Unlock()
	reply, err := client.Sync(ctx, &in)
	if err != nil {
		return nil, err
	}
	addTransit(reply, c.now().Sub(askedAt))
	c.mu.Lock()
	leasesChanged := c.recordReply(cc, reply, askedAt)
	c.mu.Unlock()
	if leasesChanged {
		c.onLeases()
	}
	return reply, nil
}

// addTransit adds to the ages in a reply the time that it was under way, at most that of the whole call
// without the time that the control instance held it. It includes a suspension of this instance.
func addTransit(reply *mesh.SyncReply, took time.Duration) {
	transit := max(0, took-max(0, reply.HeldFor))
	for i := range reply.RosterEntries {
		if e := &reply.RosterEntries[i]; e.State != roster.Ready {
			e.LeavingFor += transit
		}
	}
}

// addLeaseRequest adds the request for leases, if this instance relies on primaries. The caller
// holds c.mu.
func (c *controlClients) addLeaseRequest(in *mesh.SyncRequest, cc *controlClient) {
	if c.leases == nil {
		return
	}
	services := c.relied()
	c.needsLeases = len(services)+len(in.ProbedServices) > 0
	if c.needsLeases && (c.leader == "" || c.leader == cc.addr || c.selfAddr != "") {
		in.Lease = c.leases.request(cc.addr, services)
	}
}

// recordReply records the state of the control instance, and reports whether the leases have
// changed. The caller holds c.mu.
func (c *controlClients) recordReply(cc *controlClient, reply *mesh.SyncReply, askedAt time.Time) bool {
	cc.lastAnswer, cc.incarnation, cc.rosterRevision, cc.zone = c.now(), reply.Incarnation, reply.RosterRevision, reply.Zone
	cc.configVersion, cc.led = reply.ConfigVersion, reply.Led
	if reply.PeersDigest != cc.peersDigest {
		cc.peersDigest, cc.peers = reply.PeersDigest, reply.Peers
	}
	cc.knownDigest = reply.KnownPeersDigest
	if reply.Led && (cc.addr == c.home || c.leader == "") {
		c.leader = reply.Leader
	}
	return reply.Lease != nil && c.leases != nil && c.leases.apply(cc.addr, reply.Lease, askedAt)
}

// controlTargets returns the addresses of the control instances, that of the leader first, as the
// home named it last.
func (c *controlClients) controlTargets() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	add := func(addr string) {
		if addr != "" && !slices.Contains(out, addr) {
			out = append(out, addr)
		}
	}
	add(c.leader)
	for _, m := range c.members {
		add(m.Addr)
	}
	if len(c.members) == 0 {
		for _, addr := range c.seeds {
			add(addr)
		}
	}
	return out
}

// nearest returns the address of a control instance that answers, or "". It prefers the home.
func (c *controlClients) nearest() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if c.usableHome(c.home, now) {
		return c.home
	}
	for _, addr := range slices.Sorted(maps.Keys(c.byAddr)) {
		if c.usableHome(addr, now) {
			return addr
		}
	}
	return ""
}

// zoneOf returns the zone of a control instance, or "" if it is not known.
func (c *controlClients) zoneOf(addr string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cc := c.byAddr[addr]; cc != nil {
		return cc.zone
	}
	return ""
}

// configSource returns a control instance that announced a version of the configuration above
// held, and the version. It prefers one that answers, then the highest version, then the given
// zone. One that has not answered since failedAt is left out. The address is "" if none is left.
func (c *controlClients) configSource(held uint64, zone string, failedAt map[string]time.Time) (addr string, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	var best *controlClient
	for _, a := range slices.Sorted(maps.Keys(c.byAddr)) {
		cc := c.byAddr[a]
		if cc.configVersion <= held || !cc.lastAnswer.After(failedAt[a]) {
			continue
		}
		if best == nil || cc.betterSource(best, zone, now) {
			best = cc
		}
	}
	if best != nil {
		return best.addr, best.configVersion
	}
	return c.otherSource(held, failedAt)
}

// otherSource returns a control member that the instance does not exchange state with, and the
// highest version that others announced. The caller holds c.mu.
func (c *controlClients) otherSource(held uint64, failedAt map[string]time.Time) (addr string, version uint64) {
	for _, cc := range c.byAddr {
		version = max(version, cc.configVersion)
	}
	for _, m := range c.members {
		if c.byAddr[m.Addr] == nil && version > held && c.now().Sub(failedAt[m.Addr]) > sourceRetryDelay {
			return m.Addr, version
		}
	}
	return "", 0
}

// sourceRetryDelay is how long a control member is left out that did not send the configuration and
// whose other answers are not known.
const sourceRetryDelay = 2 * time.Second

// usableSource reports whether a control instance is known and has answered since failedAt.
func (c *controlClients) usableSource(addr string, failedAt map[string]time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc := c.byAddr[addr]
	return cc != nil && cc.lastAnswer.After(failedAt[addr])
}

// betterSource reports whether the configuration is fetched from cc rather than from other.
func (cc *controlClient) betterSource(other *controlClient, zone string, now time.Time) bool {
	answers, otherAnswers := cc.answers(now), other.answers(now)
	switch {
	case answers != otherAnswers:
		return answers
	case cc.configVersion != other.configVersion:
		return cc.configVersion > other.configVersion
	}
	return cc.zone == zone && other.zone != zone
}

// answers reports whether the last answer is not older than that of a control instance which
// answers may be.
func (cc *controlClient) answers(now time.Time) bool {
	return now.Sub(cc.lastAnswer) <= cc.wait+answerMargin
}

// peers returns the entries that the home listed in its last answer. If that is
// too old, it returns those that any other control instance listed.
func (c *controlClients) peers() []mesh.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if cc := c.byAddr[c.home]; cc != nil && cc.incarnation != 0 && now.Sub(cc.lastAnswer) <= recentAnswer {
		return cc.peers
	}
	byName := make(map[string]mesh.Peer)
	for _, cc := range c.byAddr {
		if cc.incarnation == 0 || !cc.answers(now) {
			continue
		}
		for _, p := range cc.peers {
			byName[p.Name] = p
		}
	}
	return slices.SortedFunc(maps.Values(byName), func(a, b mesh.Peer) int { return strings.Compare(a.Name, b.Name) })
}

// close ends all clients and waits for their goroutines. The context of start must have ended.
func (c *controlClients) close() {
	if c.watchDone != nil {
		<-c.watchDone
		<-c.reportsDone
	}
	c.mu.Lock()
	all := c.removed
	for _, cc := range c.byAddr {
		all = append(all, cc)
	}
	c.mu.Unlock()
	for _, cc := range all {
		cc.cancel()
		<-cc.done
	}
	c.pingGroup.Wait()
}
