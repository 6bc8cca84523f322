package promo

import (
	"time"

	"tamarackcross/group"
)

// memberStatus is the status of a member on which enough zones agree.
type memberStatus uint8

const (
	statusHealthy           memberStatus = iota
	statusStalled                        // stalled or unreachable for enough zones, unreachable for too few
	statusPartlyUnreachable              // unreachable for enough zones, reachable for some entry
	statusUnreachable                    // unreachable for enough zones, reachable for no entry
)

// defaultZoneQuorum is how many zones must agree on a failure: one zone that is
// partitioned off must not replace a primary that the others reach.
const defaultZoneQuorum = 2

// detector derives the status of members from the reports of entries.
type detector struct {
	reportTTL   time.Duration
	zoneQuorum  int
	liveEntries map[string]int               // number of live entries by zone
	liveKnown   bool                         // liveEntries has been set
	reports     map[string]map[string]Report // by member and instance
	validFrom   time.Time                    // earlier reports are ignored
	prunedAt    time.Time
}

func newDetector(reportTTL time.Duration, now time.Time) *detector {
	return &detector{
		reportTTL:   reportTTL,
		validFrom:   now,
		zoneQuorum:  defaultZoneQuorum,
		liveEntries: map[string]int{},
		reports:     map[string]map[string]Report{},
	}
}

// reset discards every report and ignores those from before validFrom.
func (d *detector) reset(validFrom time.Time) {
	d.reports = map[string]map[string]Report{}
	d.validFrom = validFrom
}

func (d *detector) forget(member string) { delete(d.reports, member) }

// setLiveEntries replaces the number of live entries of each zone. Shortly after
// a start or a pause it only adds zones: if zones that have not reported since
// were removed, a single zone could decide alone.
func (d *detector) setLiveEntries(zones []ZoneEntries, now time.Time) {
	d.liveKnown = true
	if now.Sub(d.validFrom) >= d.reportTTL {
		d.liveEntries = make(map[string]int, len(zones))
	}
	for _, z := range zones {
		if z.Count > 0 {
			d.liveEntries[z.Zone] = z.Count
		}
	}
}

// add stores a report, unless it is outdated or a newer one of the same instance
// on the same member is known. The time of a report is capped at its arrival.
func (d *detector) add(r Report, now time.Time) bool {
	if r.At.After(now) {
		r.At = now
	}
	if now.Before(d.validFrom) || r.At.Before(d.validFrom) || !d.fresh(r, now) {
		return false
	}
	byInstance := d.reports[r.Member]
	if byInstance == nil {
		byInstance = map[string]Report{}
		d.reports[r.Member] = byInstance
	}
	if old, ok := byInstance[r.Instance]; ok && old.At.After(r.At) {
		return false
	}
	byInstance[r.Instance] = r
	return true
}

func (d *detector) fresh(r Report, now time.Time) bool { return now.Sub(r.At) < d.reportTTL }

// zoneVotes counts the fresh reports of one zone on a member, by health.
type zoneVotes struct{ reachable, unreachable, stalled int }

func (v zoneVotes) mostlyReachable() bool   { return v.reachable > v.unreachable+v.stalled }
func (v zoneVotes) mostlyFailing() bool     { return v.reachable < v.unreachable+v.stalled }
func (v zoneVotes) mostlyUnreachable() bool { return v.unreachable > v.reachable+v.stalled }

// status returns the status of a member on which enough zones agree.
func (d *detector) status(member string, now time.Time) memberStatus {
	votes, anyFailure := d.countVotes(member, now)
	if !anyFailure {
		return statusHealthy
	}
	var reachable, failing, unreachable int // zones
	reachedByAny := false
	for _, v := range votes {
		reachable += toInt(v.mostlyReachable())
		failing += toInt(v.mostlyFailing())
		unreachable += toInt(v.mostlyUnreachable())
		reachedByAny = reachedByAny || v.reachable > 0
	}
	liveZones := d.liveZones(votes)
	required := d.requiredZones(liveZones, now)
	switch {
	case failing < required || 2*reachable > liveZones:
		return statusHealthy
	case unreachable < required:
		return statusStalled
	case reachedByAny:
		return statusPartlyUnreachable
	}
	return statusUnreachable
}

// requiredZones returns how many zones must agree on a failure. One zone is enough
// only if it is known to be the only one with live entries, which is not assumed
// before one report TTL has passed since a start or a pause.
func (d *detector) requiredZones(liveZones int, now time.Time) int {
	if !d.liveKnown || now.Sub(d.validFrom) < d.reportTTL {
		return d.zoneQuorum
	}
	return max(1, min(d.zoneQuorum, liveZones))
}

// countVotes counts the fresh reports on a member by zone. If no report tells of a
// failure, it returns false and counts nothing.
func (d *detector) countVotes(member string, now time.Time) (map[string]zoneVotes, bool) {
	anyFailure := false
	for _, r := range d.reports[member] {
		anyFailure = anyFailure || r.Health != Reachable
	}
	if !anyFailure {
		return nil, false
	}
	votes := map[string]zoneVotes{}
	for _, r := range d.reports[member] {
		if !d.fresh(r, now) {
			continue
		}
		v := votes[r.Zone]
		switch r.Health {
		case Reachable:
			v.reachable++
		case Unreachable:
			v.unreachable++
		case Stalled:
			v.stalled++
		}
		votes[r.Zone] = v
	}
	return votes, true
}

// liveZones returns the number of zones that have live entries. A zone that sends
// fresh reports has some even if it is not in the list.
func (d *detector) liveZones(reporting map[string]zoneVotes) int {
	n := len(d.liveEntries)
	for zone := range reporting {
		if d.liveEntries[zone] == 0 {
			n++
		}
	}
	return n
}

// activeInTerm reports whether an entry reaches the member in term or a later one.
func (d *detector) activeInTerm(member string, term uint64, now time.Time) bool {
	for _, r := range d.reports[member] {
		if r.Health == Reachable && r.Term >= term && d.fresh(r, now) {
			return true
		}
	}
	return false
}

// position returns the highest position of a member among the fresh reports.
func (d *detector) position(member string, now time.Time) (group.Position, bool) {
	var best group.Position
	found := false
	for _, r := range d.reports[member] {
		if r.Health == Unreachable || !d.fresh(r, now) {
			continue
		}
		found = true
		if best.Less(r.Position) {
			best = r.Position
		}
	}
	return best, found
}

// prune drops expired reports, so that instances that have stopped use no memory.
func (d *detector) prune(now time.Time) {
	if now.Sub(d.prunedAt) < d.reportTTL {
		return
	}
	d.prunedAt = now
	for member, byInstance := range d.reports {
		for instance, r := range byInstance {
			if !d.fresh(r, now) {
				delete(byInstance, instance)
			}
		}
		if len(byInstance) == 0 {
			delete(d.reports, member)
		}
	}
}

func toInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
