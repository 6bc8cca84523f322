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
)

const (
	// syncWait is how long an instance holds a call for news.
	syncWait = 400 * time.Millisecond
	// syncLimit ends a call on a connection that has gone silent.
	syncLimit = 1500 * time.Millisecond
	// syncPause is between attempts at an instance that does not answer.
	syncPause = 200 * time.Millisecond
	// forgetAfter is how long an address that nobody lists any more is tried.
	forgetAfter = 10 * time.Second
	// maxLinks bounds the calls: the users have eight control instances at most.
	maxLinks = 12
)

// links follows the control instances. It learns of new ones from those that it
// knows.
type links struct {
	self    string // own address, which is left out
	request func() mesh.SyncRequest
	accept  func(*mesh.SyncReply)
	now     func() time.Time
	log     *event.Log

	mu     sync.Mutex
	seeds  []string
	listed []string
	byAddr map[string]*link
	ended  []*link
}

// link is the way to one control instance.
type link struct {
	addr   string
	cancel context.CancelFunc
	done   chan error
	answer time.Time // last answer, or its start
	boot   uint64
	seen   uint64
	zone   string
	digest uint64
	peers  []mesh.Peer // of the own zone, as the instance names them
}

func newLinks(self string, now func() time.Time, log *event.Log) *links {
	return &links{self: self, now: now, log: log, byAddr: make(map[string]*link)}
}

// seek sets the addresses that the settings name.
func (l *links) seek(ctx context.Context, seeds []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seeds = slices.Clone(seeds)
	l.adjust(ctx)
}

// list takes in the members as a control instance names them.
func (l *links) list(ctx context.Context, addrs []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(addrs) == 0 || slices.Equal(addrs, l.listed) {
		return
	}
	l.listed = slices.Clone(addrs)
	l.adjust(ctx)
}

// adjust starts links that are missing and ends those that lead nowhere.
func (l *links) adjust(ctx context.Context) {
	now := l.now()
	wanted := append(slices.Clone(l.listed), l.seeds...)
	for addr, k := range l.byAddr {
		if !slices.Contains(wanted, addr) && now.Sub(k.answer) > forgetAfter {
			k.cancel()
			l.ended = append(l.ended, k)
			delete(l.byAddr, addr)
		}
	}
	for _, addr := range wanted {
		if addr == l.self || l.byAddr[addr] != nil || len(l.byAddr) >= maxLinks {
			continue
		}
		lctx, cancel := context.WithCancel(ctx)
		k := &link{addr: addr, cancel: cancel, done: make(chan error, 1), answer: now}
		l.byAddr[addr] = k
		go func() { k.done <- l.follow(lctx, ctx, k) }()
	}
}

// follow exchanges state with one instance until ctx ends.
func (l *links) follow(ctx, parent context.Context, k *link) error {
	c := mesh.NewClient(k.addr, mesh.Dial)
	defer c.Close()
	reached := true
	for ctx.Err() == nil {
		reply, err := l.exchange(ctx, c, k)
		if ok := err == nil; ok != reached && ctx.Err() == nil {
			reached = ok
			l.log.Info().Err(err).Str("control", k.addr).Bool("reached", ok).Msg("way to control changed")
		}
		if err == nil {
			l.accept(reply)
			l.list(parent, reply.Control)
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(syncPause):
		}
	}
	return ctx.Err()
}

func (l *links) exchange(ctx context.Context, c *mesh.Client, k *link) (*mesh.SyncReply, error) {
	ctx, stop := context.WithTimeout(ctx, syncLimit)
	defer stop()
	in := l.request()
	in.Boot, in.Revision, in.Wait, in.Peers = k.boot, k.seen, syncWait, k.digest
	reply, err := c.Sync(ctx, &in)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	k.answer, k.boot, k.seen, k.zone = l.now(), reply.Boot, reply.Revision, reply.Zone
	if reply.Digest != k.digest {
		k.digest, k.peers = reply.Digest, reply.Peers
	}
	l.mu.Unlock()
	return reply, nil
}

// nearest returns the address of a control instance that answers, in the own zone
// if there is one.
func (l *links) nearest(zone string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, best := l.now(), ""
	for _, addr := range slices.Sorted(maps.Keys(l.byAddr)) {
		k := l.byAddr[addr]
		if k.boot == 0 || now.Sub(k.answer) > syncLimit {
			continue
		}
		if k.zone == zone {
			return addr
		}
		if best == "" {
			best = addr
		}
	}
	return best
}

// peers returns the instances of the own zone that any control instance lists, as of
// its newest answer. Without answers of late the list is empty.
func (l *links) peers() []mesh.Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	byName := make(map[string]mesh.Peer)
	for _, k := range l.byAddr {
		if k.boot == 0 || now.Sub(k.answer) > syncLimit {
			continue
		}
		for _, p := range k.peers {
			byName[p.Name] = p
		}
	}
	return slices.SortedFunc(maps.Values(byName), func(a, b mesh.Peer) int { return strings.Compare(a.Name, b.Name) })
}

// majority reports whether more than half of the control instances answered
// within d. It holds while none is known.
func (l *links) majority(d time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, heard := l.now(), 0
	for _, addr := range l.listed {
		if k := l.byAddr[addr]; k != nil && now.Sub(k.answer) <= d {
			heard++
		}
	}
	return len(l.listed) == 0 || 2*heard > len(l.listed)
}

// close ends all links and waits for their goroutines.
func (l *links) close() {
	l.mu.Lock()
	all := l.ended
	for _, k := range l.byAddr {
		all = append(all, k)
	}
	l.mu.Unlock()
	for _, k := range all {
		k.cancel()
		<-k.done
	}
}
