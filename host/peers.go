package host

import (
	"maps"
	"slices"
	"strings"

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

// sameList reports whether both are missing or have the same list.
func (p *zonePeers) sameList(o *zonePeers) bool {
	if p == nil || o == nil {
		return p == o
	}
	return p.digest == o.digest
}

// knownPeers returns the entries of all zones that report here, each with its zone.
func knownPeers(byZone map[string]zonePeers) zonePeers {
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
// that the reports of other control instances list. An entry that reports here as leaving is left
// out.
func allPeers(byZone map[string]zonePeers, known zonePeers, reports map[string]instanceReport) map[string]zonePeers {
	byName := make(map[string]mesh.Peer)
	for _, r := range reports {
		if r.known == nil {
			continue
		}
		for _, e := range r.known.list {
			if own, reported := reports[e.Name]; !reported || !own.leaving {
				byName[e.Name] = e
			}
		}
	}
	for _, e := range known.list {
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

// knownPeers returns the entries that a request of a control instance lists, or those of its
// earlier request if it does not repeat them.
func (t *reportTable) knownPeers(in *mesh.SyncRequest) *zonePeers {
	if in.KnownPeers != nil {
		return &zonePeers{list: in.KnownPeers, digest: in.KnownPeersDigest}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if old := t.reports[in.Name].known; old != nil && (in.ReportOnly || old.digest == in.KnownPeersDigest) {
		return old
	}
	return nil
}

// knownDigest returns the digest of the entries that the instance listed last, or 0.
func (t *reportTable) knownDigest(name string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.reports[name].known; known != nil {
		return known.digest
	}
	return 0
}
