package host

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"tamarackcross/mesh"
)

// Entries may ask for the entries of all zones, to which they forward requests. An entry reports only
// to control instances of its own zone while these answer, so the control instances tell each other
// which entries report to them.

// zonePeers lists the entries to which the entries of a zone may forward requests.
type zonePeers struct {
	list   []mesh.Peer
	digest uint64
}

// peersFor returns the entries to which the sender of a request may forward.
func (s reportSummary) peersFor(in *mesh.SyncRequest) zonePeers {
	if all, ok := s.all[in.Zone]; ok && in.AllZones {
		return all
	}
	return s.peers[in.Zone]
}

// newZonePeers returns the list in the order of names, with its digest.
func newZonePeers(list []mesh.Peer) zonePeers {
	slices.SortFunc(list, func(a, b mesh.Peer) int { return strings.Compare(a.Name, b.Name) })
	return zonePeers{list: list, digest: mesh.Digest(list)}
}

// knownPeers are the entries that another control instance listed.
type knownPeers struct {
	zonePeers
	at time.Time // of its last report
}

// knownRetention is how long the list of a control instance that sends no reports any more is kept.
// The instances go on to serve while those of control are cut off from each other.
const knownRetention = 30 * time.Second

// reportingPeers returns the entries of all zones that report here, each with its zone.
func reportingPeers(byZone map[string]zonePeers) zonePeers {
	var list []mesh.Peer
	for zone, p := range byZone {
		for _, e := range p.list {
			e.Zone = zone
			list = append(list, e)
		}
	}
	return newZonePeers(list)
}

// allPeers returns the entries of all zones, by the zone that asks: those that report here, and those
// that other control instances list. An entry that reports here as leaving is left out. The caller
// holds t.mu.
func (t *reportTable) allPeers(byZone map[string]zonePeers, reporting zonePeers, now time.Time) map[string]zonePeers {
	maps.DeleteFunc(t.known, func(_ string, k knownPeers) bool { return now.Sub(k.at) > knownRetention })
	byName := make(map[string]mesh.Peer)
	for _, k := range t.known {
		for _, e := range k.list {
			if own, reports := t.reports[e.Name]; !reports || !own.leaving {
				byName[e.Name] = e
			}
		}
	}
	for _, e := range reporting.list {
		byName[e.Name] = e
	}
	out := make(map[string]zonePeers, len(byZone))
	for zone, own := range byZone {
		list := slices.Clone(own.list)
		for e := range maps.Values(byName) {
			if e.Zone != zone {
				list = append(list, e)
			}
		}
		out[zone] = newZonePeers(list)
	}
	return out
}

// putKnown stores the entries that a request of a control instance lists. A request leaves out a list
// that was stored before, and an empty one.
func (t *reportTable) putKnown(in *mesh.SyncRequest, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, stored := t.known[in.Name]
	switch {
	case in.KnownPeers != nil:
		t.known[in.Name] = knownPeers{zonePeers{in.KnownPeers, in.KnownPeersDigest}, now}
		t.summaryAt = time.Time{}
	case stored && (in.ReportOnly || in.KnownPeersDigest == old.digest):
		old.at = now
		t.known[in.Name] = old
	case stored:
		delete(t.known, in.Name)
		t.summaryAt = time.Time{}
	}
}

// knownDigest returns the digest of the entries that the instance listed last, or 0.
func (t *reportTable) knownDigest(name string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.known[name].digest
}

// peerRetention is how long an entry keeps a peer that control does not list any more. Entries that
// change their control instance, since it knows no leader, are missing in its list while the others
// still use it, and for a moment in that of the next one.
const peerRetention = 2500 * time.Millisecond

// peerMemory holds the peers that control listed lately.
type peerMemory struct {
	mu     sync.Mutex
	listed map[string]listedPeer // by name
}

type listedPeer struct {
	mesh.Peer
	at time.Time
}

// retain adds to a list the peers that were listed within peerRetention.
func (m *peerMemory) retain(list []mesh.Peer, now time.Time) []mesh.Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listed == nil {
		m.listed = make(map[string]listedPeer)
	}
	for _, p := range list {
		m.listed[p.Name] = listedPeer{p, now}
	}
	maps.DeleteFunc(m.listed, func(_ string, p listedPeer) bool { return now.Sub(p.at) > peerRetention })
	out := make([]mesh.Peer, 0, len(m.listed))
	for _, p := range m.listed {
		out = append(out, p.Peer)
	}
	return newZonePeers(out).list
}
