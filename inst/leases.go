package inst

import (
	"sync"
	"time"

	"tamarackcross/ctlpb"
	"tamarackcross/entry"
	"tamarackcross/share"
)

// leases runs both sides of the slot leases: the holders of this instance for
// the backend servers that it uses, and the brokers of those that it owns.
type leases struct {
	name        string
	incarnation uint64
	views       *Views
	links       *links
	addr        string
	resolve     func(peer string) string
	contact     *contact

	mu      sync.Mutex
	holders map[memberKey]*lease
	brokers map[memberKey]*hosted
	closed  bool
}

func newLeases(i *Instance) *leases {
	return &leases{
		name: i.cfg.Name, incarnation: uint64(time.Now().UnixNano()), views: i.views, links: i.links,
		addr: i.cfg.Peer, resolve: i.spread.address, contact: i.contact,
		holders: make(map[memberKey]*lease), brokers: make(map[memberKey]*hosted),
	}
}

// lease is the holder of one backend server with the queue that it serves.
type lease struct {
	l    *leases
	key  memberKey
	user entry.LeaseUser

	mu     sync.Mutex
	holder *share.Holder
	heard  time.Time // last grant of any slot
	timer  *time.Timer
	ended  bool
}

// unownedAfter is how long this entry may be without any slot before requests
// are told to wait for an owner. It is below the default queue wait, so that a
// request that came right after the loss of the owner is not refused first.
// Under contention slots rotate much faster.
const unownedAfter = 400 * time.Millisecond

// Join implements entry.Leases.
func (l *leases) Join(database, member string, user entry.LeaseUser) entry.Lease {
	k := &lease{l: l, key: memberKey{database, member}, user: user, holder: share.NewHolder(l.name, l.incarnation)}
	k.timer = time.AfterFunc(time.Hour, k.DemandChanged)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holders[k.key] = k
	return k
}

// DemandChanged is called when the demand may have changed.
func (k *lease) DemandChanged() {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended {
		return
	}
	if _, epoch, ok := k.l.views.View().Owner(k.key.database, k.key.member); ok {
		k.holder.SawEpoch(epoch)
	}
	k.pump(now)
}

// pump applies what may be used and sends what is due. What is given back is
// taken from the queue before the owner hears of it. The caller holds mu.
func (k *lease) pump(now time.Time) {
	unowned := now.Sub(k.heard) > unownedAfter
	if unowned {
		k.user.SetUnowned(true)
	}
	k.user.SetUsable(k.holder.Usable(now))
	if !unowned {
		k.user.SetUnowned(false) // after Use: what waited longest starts first
	}
	d := k.user.Demand()
	ask, due := k.holder.Ask(d, now)
	k.user.SetUsable(k.holder.Usable(now))
	if due {
		k.l.sendAsk(k.key, ask)
	}
	k.arm(k.holder.Next(d, now), now)
}

func (k *lease) arm(next, now time.Time) {
	if expires := k.holder.Expires(); expires.After(now) && (next.IsZero() || expires.Before(next)) {
		next = expires
	}
	if !next.IsZero() {
		k.timer.Reset(max(time.Millisecond, next.Sub(now)))
	}
}

// receive takes in a grant.
func (k *lease) receive(g share.Grant) {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended || !k.holder.Receive(g, now) {
		return
	}
	if g.Amount.Units > 0 {
		k.heard = now
	}
	k.pump(now)
}

// Leave ends the lease.
func (k *lease) Leave() {
	k.mu.Lock()
	k.ended = true
	k.timer.Stop()
	k.mu.Unlock()
	k.l.mu.Lock()
	defer k.l.mu.Unlock()
	if k.l.holders[k.key] == k {
		delete(k.l.holders, k.key)
	}
}

// sendAsk sends an ask to the owner of the backend server.
func (l *leases) sendAsk(key memberKey, ask share.Ask) {
	owner, _, ok := l.views.View().Owner(key.database, key.member)
	if !ok {
		return
	}
	if owner == l.name {
		go l.ask(key, ask)
		return
	}
	if addr := l.resolve(owner); addr != "" {
		l.links.sendLease(addr, &ctlpb.LeaseEnvelope{
			From: l.name, Address: l.addr, Database: key.database, Member: key.member, Ask: askToProto(ask),
		})
	}
}

// sendGrant sends a grant to its holder.
func (l *leases) sendGrant(key memberKey, g share.Grant) {
	if g.Holder == l.name {
		go l.grant(key, g)
		return
	}
	if addr := l.resolve(g.Holder); addr != "" {
		l.links.sendLease(addr, &ctlpb.LeaseEnvelope{
			From: l.name, Address: l.addr, Database: key.database, Member: key.member, Grant: grantToProto(g),
		})
	}
}

func (l *leases) grant(key memberKey, g share.Grant) {
	l.mu.Lock()
	k := l.holders[key]
	l.mu.Unlock()
	if k != nil {
		k.receive(g)
	}
}

// receive takes in a message of another instance.
func (l *leases) receive(env *ctlpb.LeaseEnvelope) {
	key := memberKey{env.GetDatabase(), env.GetMember()}
	if a := env.GetAsk(); a != nil {
		l.ask(key, askFromProto(env.GetFrom(), a))
	}
	if g := env.GetGrant(); g != nil {
		l.grant(key, grantFromProto(l.name, g))
	}
}

// close ends all timers.
func (l *leases) close() {
	l.mu.Lock()
	l.closed = true
	brokers := l.brokers
	l.brokers = make(map[memberKey]*hosted)
	l.mu.Unlock()
	for _, h := range brokers {
		h.stop()
	}
}
