package promo

import (
	"time"

	"tamarackcross/group"
)

// verdict is the joint opinion of the zones about a member.
type verdict uint8

const (
	healthy verdict = iota
	stalled         // too many zones only see stalled commits
	failed          // not reachable for enough zones, though it works for some entry
	gone            // works for no entry
)

// zonesNeeded is the number of zones that must agree on a failure: one zone
// that is cut off must not replace a primary that the others reach.
const zonesNeeded = 2

// detector collects the reports of entries.
type detector struct {
	timeout time.Duration
	needed  int
	live    map[string]int
	known   bool                         // live has been set
	reports map[string]map[string]Report // by member and instance
	since   time.Time                    // reports from before are ignored
	pruned  time.Time
}

func newDetector(timeout time.Duration, now time.Time) *detector {
	return &detector{
		timeout: timeout,
		since:   now,
		needed:  zonesNeeded,
		live:    map[string]int{},
		reports: map[string]map[string]Report{},
	}
}

// reset forgets every report and ignores those from before since.
func (d *detector) reset(since time.Time) {
	d.reports = map[string]map[string]Report{}
	d.since = since
}

func (d *detector) forget(member string) { delete(d.reports, member) }

// setLive replaces the live entries. Shortly after a pause zones are only added:
// entries that have not been heard since would otherwise leave the decision to
// a single zone.
func (d *detector) setLive(zones []ZoneLive, now time.Time) {
	d.known = true
	if now.Sub(d.since) >= d.timeout {
		d.live = make(map[string]int, len(zones))
	}
	for _, z := range zones {
		if z.Count > 0 {
			d.live[z.Zone] = z.Count
		}
	}
}

// add stores the newest report of an instance on a member. A report cannot be
// newer than its arrival.
func (d *detector) add(r Report, now time.Time) bool {
	if r.At.After(now) {
		r.At = now
	}
	if now.Before(d.since) || r.At.Before(d.since) || !d.fresh(r, now) {
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

func (d *detector) fresh(r Report, now time.Time) bool { return now.Sub(r.At) < d.timeout }

// votes counts the fresh reports of one zone.
type votes struct{ up, down, stalled int }

func (v votes) sees() bool  { return v.up > v.down+v.stalled }
func (v votes) fails() bool { return v.up < v.down+v.stalled }
func (v votes) lost() bool  { return v.down > v.up+v.stalled }

// judge returns the joint opinion about a member.
func (d *detector) judge(member string, now time.Time) verdict {
	zones, suspicious := d.count(member, now)
	if !suspicious {
		return healthy
	}
	var seeing, failing, losing int
	reached := false
	for _, v := range zones {
		seeing += toInt(v.sees())
		failing += toInt(v.fails())
		losing += toInt(v.lost())
		reached = reached || v.up > 0
	}
	all := d.zones(zones)
	need := d.quorum(all, now)
	switch {
	case failing < need || 2*seeing > all:
		return healthy
	case losing < need:
		return stalled
	case reached:
		return failed
	}
	return gone
}

// quorum returns how many zones must agree. A single zone decides only if it is
// known to be the only one with live entries, which takes a while to learn.
func (d *detector) quorum(zones int, now time.Time) int {
	if !d.known || now.Sub(d.since) < d.timeout {
		return d.needed
	}
	return max(1, min(d.needed, zones))
}

// count tallies the fresh reports on a member by zone. Without a report of a
// failure there is nothing to judge.
func (d *detector) count(member string, now time.Time) (map[string]votes, bool) {
	suspicious := false
	for _, r := range d.reports[member] {
		suspicious = suspicious || r.Health != Reachable
	}
	if !suspicious {
		return nil, false
	}
	zones := map[string]votes{}
	for _, r := range d.reports[member] {
		if !d.fresh(r, now) {
			continue
		}
		v := zones[r.Zone]
		switch r.Health {
		case Reachable:
			v.up++
		case Unreachable:
			v.down++
		case Stalled:
			v.stalled++
		}
		zones[r.Zone] = v
	}
	return zones, true
}

// zones returns the number of zones that have live entries. A zone that sends
// fresh reports has some.
func (d *detector) zones(reporting map[string]votes) int {
	n := len(d.live)
	for zone := range reporting {
		if d.live[zone] == 0 {
			n++
		}
	}
	return n
}

// acts reports whether an entry sees the member working in term.
func (d *detector) acts(member string, term uint64, now time.Time) bool {
	for _, r := range d.reports[member] {
		if r.Health == Reachable && r.Term >= term && d.fresh(r, now) {
			return true
		}
	}
	return false
}

// position returns the highest freshly reported position of a member.
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

// prune drops expired reports, so that instances that are gone use no memory.
func (d *detector) prune(now time.Time) {
	if now.Sub(d.pruned) < d.timeout {
		return
	}
	d.pruned = now
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
