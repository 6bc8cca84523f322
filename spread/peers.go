package spread

import (
	"slices"
	"time"

	"tamarackcross/state"
)

// remoteShare is the share of single choices that go to another zone: one in
// four, so that zones stay connected while most traffic is local.
const remoteShare = 4

// peers is the list of other instances, read from the view.
type peers struct {
	local  []string // of the own zone, sorted
	remote []string // of other zones, sorted
	digest uint64   // of the instances when the list was read
	read   time.Time
}

// refreshPeers reads the list again after instances changed, at most once per
// peersEvery: reading costs time in proportion to the fleet.
func (c *Core) refreshPeers(now time.Time) {
	p := &c.peers
	digest := c.View().KindDigest(state.KindInstance)
	if !p.read.IsZero() && (digest == p.digest || now.Sub(p.read) < peersEvery) {
		return
	}
	*p = peers{digest: digest, read: now}
	for i := range c.View().Instances() {
		c.addPeer(Peer{Name: i.Name, Zone: i.Zone})
	}
	if len(p.local)+len(p.remote) == 0 {
		for _, seed := range c.seeds {
			c.addPeer(seed)
		}
	}
	slices.Sort(p.local)
	slices.Sort(p.remote)
}

func (c *Core) addPeer(p Peer) {
	switch {
	case p.Name == c.self.Name:
	case p.Zone == c.self.Zone:
		c.peers.local = append(c.peers.local, p.Name)
	default:
		c.peers.remote = append(c.peers.remote, p.Name)
	}
}

// choose returns up to n different peers: one of another zone for every
// remoteShare, the rest of the own zone, filled up from the other list when one
// is short.
func (c *Core) choose(n int, without string, now time.Time) []string {
	c.refreshPeers(now)
	far := min((n+remoteShare-1)/remoteShare, len(c.peers.remote))
	near := n - far
	out := c.sample(nil, c.peers.local, near, without)
	out = c.sample(out, c.peers.remote, n-len(out), without)
	return c.sample(out, c.peers.local, n-len(out), without)
}

// sample appends n peers of the list that out does not hold.
func (c *Core) sample(out, list []string, n int, without string) []string {
	if len(list) == 0 {
		return out
	}
	// The number of tries is bounded, so that the cost does not grow with the
	// list and a list of few peers ends the loop.
	for try := 0; n > 0 && try < 4*n+len(out)+4; try++ {
		peer := list[c.rnd.IntN(len(list))]
		if peer == without || slices.Contains(out, peer) {
			continue
		}
		out = append(out, peer)
		n--
	}
	return out
}

// randomPeer returns one peer, or "" when there is none.
func (c *Core) randomPeer(now time.Time) string {
	c.refreshPeers(now)
	list := c.peers.local
	if len(list) == 0 || len(c.peers.remote) > 0 && c.rnd.IntN(remoteShare) == 0 {
		list = c.peers.remote
	}
	if len(list) == 0 {
		return ""
	}
	return list[c.rnd.IntN(len(list))]
}

// nameSeed makes instances with the same seed choose differently.
func nameSeed(name string) uint64 {
	seed := uint64(14695981039346656037)
	for i := range len(name) {
		seed = (seed ^ uint64(name[i])) * 1099511628211
	}
	return seed
}
