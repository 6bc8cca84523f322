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

// controlClients exchanges state with every control instance except its own. It learns new
// addresses from the replies of the instances that it knows.
type controlClients struct {
	selfAddr   string // address of this instance, which needs no client; empty in the entry role
	newRequest func() mesh.SyncRequest
	onReply    func(addr string, r *mesh.SyncReply)
	leases     *leaseHolder    // nil if this instance needs none
	relied     func() []string // services that need a lease besides those that the request lists as probed
	onLeases   func()          // called when the leases have changed
	dial       mesh.DialFunc
	now        func() time.Time
	log        *event.Log
	stats      *stats.Registry

	mu          sync.Mutex
	seeds       []string // addresses in the settings
	memberAddrs []string // control members, as a control instance listed them last
	byAddr      map[string]*controlClient
	removed     []*controlClient // cancelled; close waits for their goroutines

	urgent      chan struct{}
	reportsDone chan error // receives the result of runReports, if start was called
}

// controlClient is the client of one control instance, with the state from its last answer.
type controlClient struct {
	addr           string
	cancel         context.CancelFunc
	done           chan error // receives the result of run
	lastAnswer     time.Time  // start of the client before the first answer
	incarnation    uint64     // of the control role; 0 before the first answer
	rosterRevision uint64     // newest revision of its roster that was received
	zone           string     // of the control instance
	leads          bool       // it said that it is the leader of control
	configVersion  uint64     // newest version of the configuration that it announced
	peersDigest    uint64
	peers          []mesh.Peer // entries of the own zone, as the control instance lists them
}

func newControlClients(selfAddr string, dial mesh.DialFunc, now func() time.Time, log *event.Log, st *stats.Registry) *controlClients {
	return &controlClients{selfAddr: selfAddr, dial: dial, now: now, log: log, stats: st, byAddr: make(map[string]*controlClient), urgent: make(chan struct{}, 1)}
}

// start starts to send urgent reports and calls the control instances at the seeds.
func (c *controlClients) start(ctx context.Context, seeds []string) {
	c.reportsDone = make(chan error, 1)
	go func() { c.reportsDone <- c.runReports(ctx) }()
	c.setSeeds(ctx, seeds)
}

// setSeeds sets the control addresses that the settings list.
func (c *controlClients) setSeeds(ctx context.Context, seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = slices.Clone(seeds)
	c.reconcile(ctx)
}

// setMembers sets the addresses of the control members, as a control instance lists them.
// An empty list changes nothing.
func (c *controlClients) setMembers(ctx context.Context, addrs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(addrs) == 0 || slices.Equal(addrs, c.memberAddrs) {
		return
	}
	c.memberAddrs = slices.Clone(addrs)
	c.reconcile(ctx)
}

// reconcile starts the missing clients, and ends those whose address is no longer listed
// and has not answered for removeAfter.
func (c *controlClients) reconcile(ctx context.Context) {
	now := c.now()
	wanted := append(slices.Clone(c.memberAddrs), c.seeds...)
	for addr, cc := range c.byAddr {
		if !slices.Contains(wanted, addr) && now.Sub(cc.lastAnswer) > removeAfter {
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
		cc := &controlClient{addr: addr, cancel: cancel, done: make(chan error, 1), lastAnswer: now}
		c.byAddr[addr] = cc
		go func() { cc.done <- c.run(clientCtx, ctx, cc) }()
	}
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
			c.setMembers(parent, reply.ControlAddrs)
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
	in.Incarnation, in.RosterRevision, in.Wait, in.PeersDigest = cc.incarnation, cc.rosterRevision, longPollWait, cc.peersDigest
	in.ConfigVersion = max(in.ConfigVersion, cc.configVersion)
	askedAt := c.now()
	if c.leases != nil {
		if services := c.relied(); len(services)+len(in.ProbedServices) > 0 {
			in.Lease = c.leases.request(cc.addr, services)
		}
	}
	reply, err := client.Sync(ctx, &in)
	if err != nil {
		return nil, err
	}
	if reply.Lease != nil && c.leases != nil && c.leases.apply(cc.addr, reply.Lease, askedAt) {
		c.onLeases()
	}
	c.mu.Lock()
	cc.lastAnswer, cc.incarnation, cc.rosterRevision, cc.zone = c.now(), reply.Incarnation, reply.RosterRevision, reply.Zone
	cc.configVersion, cc.leads = reply.ConfigVersion, reply.Leads
	if reply.PeersDigest != cc.peersDigest {
		cc.peersDigest, cc.peers = reply.PeersDigest, reply.Peers
	}
	c.mu.Unlock()
	return reply, nil
}

// nearest returns the address of a control instance that has answered within recentAnswer,
// or "". It prefers one in the given zone.
func (c *controlClients) nearest(zone string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, fallback := c.now(), ""
	for _, addr := range slices.Sorted(maps.Keys(c.byAddr)) {
		cc := c.byAddr[addr]
		if cc.incarnation == 0 || now.Sub(cc.lastAnswer) > recentAnswer {
			continue
		}
		if cc.zone == zone {
			return addr
		}
		if fallback == "" {
			fallback = addr
		}
	}
	return fallback
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
	if best == nil {
		return "", 0
	}
	return best.addr, best.configVersion
}

// usableSource reports whether a control instance is known and has answered since failedAt.
func (c *controlClients) usableSource(addr string, failedAt map[string]time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc := c.byAddr[addr]
	return cc != nil && cc.lastAnswer.After(failedAt[addr])
}

// answeringWithin is how old the last answer of a control instance that answers is: a Sync call
// and a scheduling delay.
const answeringWithin = longPollWait + 300*time.Millisecond

// betterSource reports whether the configuration is fetched from cc rather than from other.
func (cc *controlClient) betterSource(other *controlClient, zone string, now time.Time) bool {
	answers, otherAnswers := now.Sub(cc.lastAnswer) <= answeringWithin, now.Sub(other.lastAnswer) <= answeringWithin
	switch {
	case answers != otherAnswers:
		return answers
	case cc.configVersion != other.configVersion:
		return cc.configVersion > other.configVersion
	}
	return cc.zone == zone && other.zone != zone
}

// peers returns the entries of the own zone that any control instance listed in its last
// answer. Answers older than recentAnswer do not count.
func (c *controlClients) peers() []mesh.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	byName := make(map[string]mesh.Peer)
	for _, cc := range c.byAddr {
		if cc.incarnation == 0 || now.Sub(cc.lastAnswer) > recentAnswer {
			continue
		}
		for _, p := range cc.peers {
			byName[p.Name] = p
		}
	}
	return slices.SortedFunc(maps.Values(byName), func(a, b mesh.Peer) int { return strings.Compare(a.Name, b.Name) })
}

// majorityAnswered reports whether more than half of the control members answered within
// d. It is true while no member is known.
func (c *controlClients) majorityAnswered(d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, answered := c.now(), 0
	for _, addr := range c.memberAddrs {
		if cc := c.byAddr[addr]; cc != nil && now.Sub(cc.lastAnswer) <= d {
			answered++
		}
	}
	return len(c.memberAddrs) == 0 || 2*answered > len(c.memberAddrs)
}

// close ends all clients and waits for their goroutines.
func (c *controlClients) close() {
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
	if c.reportsDone != nil {
		<-c.reportsDone
	}
}
