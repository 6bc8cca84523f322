package host

import (
	"cmp"
	"maps"
	"math/big"
	"math/bits"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/twmb/murmur3"

	"tamarackcross/duty"
	"tamarackcross/mesh"
)

// reportTimeout is how long the last report of an instance counts.
const reportTimeout = 2 * time.Second

// instanceReport is the state that an instance sent with its last Sync call.
type instanceReport struct {
	zone         string
	serves       bool           // it is an entry
	home         bool           // this instance counts it
	homeSince    int64          // when it chose this instance as its home, in ms of its clock
	gathered     *mesh.Gathered // of a control instance
	allZones     bool           // it asks for the peers of all zones
	wait         time.Duration  // how long its call may be held
	addr         string         // where it serves forwarded requests
	leaving      bool
	probed       []string // services whose members the instance probes
	at           time.Time
	unresponsive []mesh.UnresponsiveMember // members that do not answer it
}

// sameInstance reports whether two reports of an instance mean the same to the others.
func (r instanceReport) sameInstance(o instanceReport) bool {
	return r.zone == o.zone && r.serves == o.serves && r.home == o.home && r.addr == o.addr && r.leaving == o.leaving &&
		r.allZones == o.allZones
}

// reportTable holds the newest report of each instance.
type reportTable struct {
	mu        sync.Mutex
	reports   map[string]instanceReport // by name
	known     map[string]knownPeers     // entries that report to the other control instances, by their names
	summary   reportSummary
	summaryAt time.Time // zero if the summary has to be made anew
}

// reportSummary is what all instances learn from the reports. It is not changed once it is made.
type reportSummary struct {
	entries int                  // number of all live entries
	peers   map[string]zonePeers // by zone
	all     map[string]zonePeers // those of all zones, by the zone that asks; nil if no entry asks for them
	known   zonePeers            // those that report here, with their zones, if an entry asks for all
}

// summaryInterval is the longest time between two summaries of the reports. Every Sync call needs
// one, and making it takes time in proportion to the number of instances.
const summaryInterval = 100 * time.Millisecond

func newReportTable() *reportTable {
	return &reportTable{reports: make(map[string]instanceReport), known: make(map[string]knownPeers)}
}

// put stores the report of an instance.
func (t *reportTable) put(name string, r instanceReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old, known := t.reports[name]; !known || !old.sameInstance(r) {
		t.summaryAt = time.Time{}
	}
	t.reports[name] = r
}

// live returns the reports that are not older than reportTimeout, and deletes the others.
func (t *reportTable) live(now time.Time) map[string]instanceReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	return maps.Clone(t.reports)
}

// expire deletes the reports that are older than reportTimeout. The caller holds t.mu.
func (t *reportTable) expire(now time.Time) {
	maps.DeleteFunc(t.reports, func(_ string, r instanceReport) bool {
		return now.Sub(r.at) > reportTimeout+max(0, r.wait-longPollWait)
	})
}

// summarize returns the summary of the live reports. It is at most summaryInterval old.
func (t *reportTable) summarize(now time.Time) reportSummary {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.summaryAt.IsZero() && now.Sub(t.summaryAt) < summaryInterval {
		return t.summary
	}
	t.expire(now)
	s := reportSummary{peers: make(map[string]zonePeers)}
	asked := false
	all := make(map[uint32]struct{}) // hashes of the names of all live entries
	for name, r := range t.reports {
		if r.gathered != nil {
			for _, hash := range r.gathered.Entries {
				all[hash] = struct{}{}
			}
		}
		asked = asked || r.allZones
		if !r.serves {
			continue
		}
		if r.home {
			all[murmur3.StringSum32(name)] = struct{}{}
		}
		if !r.leaving && r.addr != "" {
			p := s.peers[r.zone]
			p.list = append(p.list, mesh.Peer{Name: name, Addr: r.addr})
			s.peers[r.zone] = p
		}
	}
	for zone, p := range s.peers {
		s.peers[zone] = newZonePeers(p.list)
	}
	if asked {
		s.known = reportingPeers(s.peers)
		s.all = t.allPeers(s.peers, s.known, now)
	}
	s.entries = len(all)
	t.summary, t.summaryAt = s, now
	return s
}

// maxReportExtrapolation is how long a member that did not answer an instance is taken not to
// answer it after the report. An instance reports at once when the member answers again.
const maxReportExtrapolation = 500 * time.Millisecond

// memberKey identifies a backend server of a service.
type memberKey struct{ service, id string }

// healthSummary is what the reports say about the backend servers.
type healthSummary struct {
	probing map[string]int    // number of instances that probe the members of a service
	failing map[memberKey]int // number of instances that have had no answer for duty.FailureThreshold
}

// gather returns what the live reports of the instances say whose home this instance is. self is the
// name of this instance, whose own probes are among the reports if it probes.
func gather(reports map[string]instanceReport, self string, now time.Time) *mesh.Gathered {
	type reporter struct {
		hash uint32
		name string
	}
	var reporters []reporter
	for name, r := range reports {
		if r.home && name != self {
			reporters = append(reporters, reporter{murmur3.StringSum32(name), name})
		}
	}
	slices.SortFunc(reporters, func(a, b reporter) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), strings.Compare(a.name, b.name))
	})
	out := &mesh.Gathered{Probing: make(map[string]*big.Int)}
	failing := make(map[memberKey]*big.Int)
	for i, r := range reporters {
		out.Entries = append(out.Entries, r.hash)
		out.HomeSince = append(out.HomeSince, reports[r.name].homeSince)
		reports[r.name].addHealth(i, now, out.Probing, failing)
	}
	reports[self].addHealth(len(reporters), now, out.Probing, failing)
	for k, at := range failing {
		out.Failing = append(out.Failing, mesh.FailingMember{Service: k.service, ID: k.id, At: at})
	}
	slices.SortFunc(out.Failing, func(a, b mesh.FailingMember) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.ID, b.ID))
	})
	return out
}

// addHealth adds instance i, which sent the report, to the sets of those that probe a service and
// of those that miss a backend server.
func (r instanceReport) addHealth(i int, now time.Time, probing map[string]*big.Int, failing map[memberKey]*big.Int) {
	for _, service := range r.probed {
		addInstance(probing, service, i)
	}
	for _, m := range r.unresponsive {
		if m.For+min(now.Sub(r.at), maxReportExtrapolation) >= duty.FailureThreshold {
			addInstance(failing, memberKey{m.Service, m.ID}, i)
		}
	}
}

func addInstance[K comparable](sets map[K]*big.Int, key K, i int) {
	set := sets[key]
	if set == nil {
		set = new(big.Int)
		sets[key] = set
	}
	set.SetBit(set, i, 1)
}

// sameFailing reports whether the same members are failing at as many instances.
func sameFailing(a, b *mesh.Gathered) bool {
	return slices.EqualFunc(a.Failing, b.Failing, func(x, y mesh.FailingMember) bool {
		return x.Service == y.Service && x.ID == y.ID && countInstances(x.At, nil) == countInstances(y.At, nil)
	})
}

// sumHealth adds up what this instance and the other control instances, whose reports are given,
// have gathered. An entry that has changed its home may be known to several of them for
// reportTimeout. It counts at the one that it chose last.
func sumHealth(own *mesh.Gathered, reports map[string]instanceReport) healthSummary {
	all := []*mesh.Gathered{own}
	for _, r := range reports {
		if r.gathered != nil {
			all = append(all, r.gathered)
		}
	}
	newest := make(map[uint32]int64) // newest HomeSince of each entry
	for _, g := range all {
		for i, hash := range g.Entries {
			newest[hash] = max(newest[hash], homeSince(g, i))
		}
	}
	out := healthSummary{probing: make(map[string]int), failing: make(map[memberKey]int)}
	for _, g := range all {
		counted := new(big.Int).SetBit(new(big.Int), len(g.Entries), 1)
		for i, hash := range g.Entries {
			if since, ok := newest[hash]; ok && since == homeSince(g, i) {
				counted.SetBit(counted, i, 1)
				delete(newest, hash)
			}
		}
		for service, at := range g.Probing {
			out.probing[service] += countInstances(at, counted)
		}
		for _, m := range g.Failing {
			out.failing[memberKey{m.Service, m.ID}] += countInstances(m.At, counted)
		}
	}
	return out
}

// homeSince returns when entry i chose its home, or 0 if that is not known.
func homeSince(g *mesh.Gathered, i int) int64 {
	if i < len(g.HomeSince) {
		return g.HomeSince[i]
	}
	return 0
}

// countInstances returns the size of a set of instances, or of the part of it that is in within.
func countInstances(set, within *big.Int) int {
	if set == nil {
		return 0
	}
	if within != nil {
		set = new(big.Int).And(set, within)
	}
	n := 0
	for _, word := range set.Bits() {
		n += bits.OnesCount(uint(word))
	}
	return n
}
