package inst

import (
	"sync"
	"time"

	"tamarackcross/ctlpb"
	"tamarackcross/entry"
	"tamarackcross/share"
)

// leases runs both sides of the slot leases: a lease holder for each backend server that
// this instance uses, and a broker for each one that it owns.
type leases struct {
	name        string
	incarnation uint64
	views       *Views
	peers       *peerConns
	addr        string
	resolve     func(peer string) string
	contact     *controlContact

	mu           sync.Mutex
	memberLeases map[memberKey]*memberLease
	brokers      map[memberKey]*ownedBroker
	closed       bool
}

func newLeases(i *Instance) *leases {
	return &leases{
		name: i.cfg.Name, incarnation: uint64(time.Now().UnixNano()), views: i.views, peers: i.peers,
		addr: i.cfg.PeerAddr, resolve: i.dissemination.address, contact: i.contact,
		memberLeases: make(map[memberKey]*memberLease), brokers: make(map[memberKey]*ownedBroker),
	}
}

// memberLease is the lease of slots at one backend server: the lease holder and the
// admission queue that uses the slots.
type memberLease struct {
	l    *leases
	key  memberKey
	user entry.LeaseUser

	mu            sync.Mutex
	holder        *share.LeaseHolder
	lastSlotGrant time.Time // arrival of the last grant with at least one slot
	timer         *time.Timer
	ended         bool
}

// unownedAfter is the time without any slot after which the slots count as unowned
// and the admission queue extends its wait until there is a new owner. It is
// shorter than the default queue wait, so that a request that arrives right after
// the loss of the owner is not rejected first. Under contention slots rotate
// between instances in a much shorter time.
const unownedAfter = 400 * time.Millisecond

// Join implements entry.Leases.
func (l *leases) Join(database, member string, user entry.LeaseUser) entry.Lease {
	k := &memberLease{l: l, key: memberKey{database, member}, user: user, holder: share.NewLeaseHolder(l.name, l.incarnation)}
	k.timer = time.AfterFunc(time.Hour, k.DemandChanged)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.memberLeases[k.key] = k
	return k
}

// DemandChanged is called when the demand for slots may have changed, and by the
// timer.
func (k *memberLease) DemandChanged() {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended {
		return
	}
	if _, epoch, ok := k.l.views.View().Owner(k.key.database, k.key.member); ok {
		k.holder.SawEpoch(epoch)
	}
	k.refresh(now)
}

// refresh passes the number of usable slots to the queue and sends a message to the
// owner if one is due. Slots that are returned are taken from the queue before the
// message is sent. The caller holds mu.
func (k *memberLease) refresh(now time.Time) {
	unowned := now.Sub(k.lastSlotGrant) > unownedAfter
	if unowned {
		k.user.SetUnowned(true)
	}
	k.user.SetUsable(k.holder.Usable(now))
	if !unowned {
		k.user.SetUnowned(false) // after SetUsable, so that the request that has waited longest starts first
	}
	d := k.user.Demand()
	ask, due := k.holder.Ask(d, now)
	k.user.SetUsable(k.holder.Usable(now))
	if due {
		k.l.sendAsk(k.key, ask)
	}
	k.schedule(k.holder.NextChange(d, now), now)
}

func (k *memberLease) schedule(next, now time.Time) {
	if expires := k.holder.Expires(); expires.After(now) && (next.IsZero() || expires.Before(next)) {
		next = expires
	}
	if !next.IsZero() {
		k.timer.Reset(max(time.Millisecond, next.Sub(now)))
	}
}

// receive processes a grant.
func (k *memberLease) receive(g share.Grant) {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended || !k.holder.Receive(g, now) {
		return
	}
	if g.Amount.Units > 0 {
		k.lastSlotGrant = now
	}
	k.refresh(now)
}

// Leave implements entry.Lease. It ends the lease.
func (k *memberLease) Leave() {
	k.mu.Lock()
	k.ended = true
	k.timer.Stop()
	k.mu.Unlock()
	k.l.mu.Lock()
	defer k.l.mu.Unlock()
	if k.l.memberLeases[k.key] == k {
		delete(k.l.memberLeases, k.key)
	}
}

// sendAsk sends a lease request to the owner of the backend server.
func (l *leases) sendAsk(key memberKey, ask share.Ask) {
	owner, _, ok := l.views.View().Owner(key.database, key.member)
	if !ok {
		return
	}
	if owner == l.name {
		go l.handleAsk(key, ask)
		return
	}
	if addr := l.resolve(owner); addr != "" {
		l.peers.sendLease(addr, &ctlpb.LeaseEnvelope{
			From: l.name, Address: l.addr, Database: key.database, Member: key.member, Ask: askToProto(ask),
		})
	}
}

// sendGrant sends a grant to its lease holder.
func (l *leases) sendGrant(key memberKey, g share.Grant) {
	if g.Holder == l.name {
		go l.handleGrant(key, g)
		return
	}
	if addr := l.resolve(g.Holder); addr != "" {
		l.peers.sendLease(addr, &ctlpb.LeaseEnvelope{
			From: l.name, Address: l.addr, Database: key.database, Member: key.member, Grant: grantToProto(g),
		})
	}
}

func (l *leases) handleGrant(key memberKey, g share.Grant) {
	l.mu.Lock()
	k := l.memberLeases[key]
	l.mu.Unlock()
	if k != nil {
		k.receive(g)
	}
}

// receive processes a message of another instance.
func (l *leases) receive(env *ctlpb.LeaseEnvelope) {
	key := memberKey{env.GetDatabase(), env.GetMember()}
	if a := env.GetAsk(); a != nil {
		l.handleAsk(key, askFromProto(env.GetFrom(), a))
	}
	if g := env.GetGrant(); g != nil {
		l.handleGrant(key, grantFromProto(l.name, g))
	}
}

// close stops all brokers and makes no new ones.
func (l *leases) close() {
	l.mu.Lock()
	l.closed = true
	brokers := l.brokers
	l.brokers = make(map[memberKey]*ownedBroker)
	l.mu.Unlock()
	for _, h := range brokers {
		h.close()
	}
}
