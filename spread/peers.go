package spread

import (
	"slices"
	"time"

	"tamarackcross/state"
)

// peersPerRemote is the number of chosen peers of which one is in another zone. One
// in four keeps the zones connected while most traffic stays in the zone.
const peersPerRemote = 4

// peers lists the other instances of the view.
type peers struct {
	local  []string // in the same zone, sorted
	remote []string // in other zones, sorted
	digest uint64   // of the instance sections when the list was read
	readAt time.Time
}

// refreshPeers reads the list again after instances changed. The cost grows with the number of
// instances, and so does the least time between two updates, up to peerRefreshInterval: an
// instance that has just registered gets the next change. If the view lists no other instances, the
// seeds are used.
func (c *Core) refreshPeers(now time.Time) {
	p := &c.peers
	digest := c.View().KindDigest(state.KindInstance)
	wait := min(peerRefreshInterval, time.Duration(len(p.local)+len(p.remote))*peerRefreshDelay)
	if !p.readAt.IsZero() && (digest == p.digest || now.Sub(p.readAt) < wait) {
		return
	}
	*p = peers{digest: digest, readAt: now}
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

// choosePeers returns up to n different random peers other than exclude: one in
// another zone for every peersPerRemote, the rest in the same zone. If one list is
// too short, the rest comes from the other.
func (c *Core) choosePeers(n int, exclude string, now time.Time) []string {
	c.refreshPeers(now)
	remote := min((n+peersPerRemote-1)/peersPerRemote, len(c.peers.remote))
	local := n - remote
	out := c.sample(nil, c.peers.local, local, exclude)
	out = c.sample(out, c.peers.remote, n-len(out), exclude)
	return c.sample(out, c.peers.local, n-len(out), exclude)
}

// sample appends up to n random peers of list that are not in out yet.
func (c *Core) sample(out, list []string, n int, exclude string) []string {
	if len(list) == 0 {
		return out
	}
	// The number of attempts is bounded, so that the cost does not grow with the
	// list and the loop ends if the list has fewer than n peers.
	for attempt := 0; n > 0 && attempt < 4*n+len(out)+4; attempt++ {
		peer := list[c.rnd.IntN(len(list))]
		if peer == exclude || slices.Contains(out, peer) {
			continue
		}
		out = append(out, peer)
		n--
	}
	return out
}

// randomPeer returns one random peer other than exclude, or exclude if it is the only one. It is "" if
// there is none.
func (c *Core) randomPeer(exclude string, now time.Time) string {
	c.refreshPeers(now)
	first, second := c.peers.local, c.peers.remote
	if len(second) > 0 && c.rnd.IntN(peersPerRemote) == 0 {
		first, second = second, first
	}
	for _, list := range [][]string{first, second} {
		if peer := c.sample(nil, list, 1, exclude); len(peer) > 0 {
			return peer[0]
		}
	}
	if slices.Contains(first, exclude) || slices.Contains(second, exclude) {
		return exclude
	}
	return ""
}

// hashName returns the FNV-1a hash of the name. It makes instances with the same seed
// choose different peers.
func hashName(name string) uint64 {
	hash := uint64(14695981039346656037)
	for i := range len(name) {
		hash = (hash ^ uint64(name[i])) * 1099511628211
	}
	return hash
}
