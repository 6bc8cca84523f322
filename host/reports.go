package host

import (
	"cmp"
	"maps"
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
	gathered     *mesh.Gathered // of a control instance
	wait         time.Duration  // how long its call may be held
	addr         string         // where it serves forwarded requests
	leaving      bool
	probed       []string // services whose members the instance probes
	at           time.Time
	unresponsive []mesh.UnresponsiveMember // members that do not answer it
}

// sameInstance reports whether two reports of an instance mean the same to the others.
func (r instanceReport) sameInstance(o instanceReport) bool {
	return r.zone == o.zone && r.serves == o.serves && r.home == o.home && r.addr == o.addr && r.leaving == o.leaving
}

// reportTable holds the newest report of each instance.
type reportTable struct {
	mu        sync.Mutex
	reports   map[string]instanceReport // by name
	summary   reportSummary
	summaryAt time.Time // zero if the summary has to be made anew
}

// reportSummary is what all instances learn from the reports. It is not changed once it is made.
type reportSummary struct {
	homed   []uint32             // hashes of the names of the live entries whose home this instance is
	entries int                  // number of all live entries
	peers   map[string]zonePeers // by zone
}

// zonePeers lists the entries of a zone to which other entries may forward requests.
type zonePeers struct {
	list   []mesh.Peer
	digest uint64
}

// summaryInterval is the longest time between two summaries of the reports. Every Sync call needs
// one, and making it takes time in proportion to the number of instances.
const summaryInterval = 100 * time.Millisecond

func newReportTable() *reportTable { return &reportTable{reports: make(map[string]instanceReport)} }

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
	all := make(map[uint32]struct{}) // hashes of the names of all live entries
	for name, r := range t.reports {
		if r.gathered != nil {
			for _, hash := range r.gathered.Entries {
				all[hash] = struct{}{}
			}
		}
		if !r.serves {
			continue
		}
		if r.home {
			hash := murmur3.StringSum32(name)
			s.homed = append(s.homed, hash)
			all[hash] = struct{}{}
		}
		if !r.leaving && r.addr != "" {
			p := s.peers[r.zone]
			p.list = append(p.list, mesh.Peer{Name: name, Addr: r.addr})
			s.peers[r.zone] = p
		}
	}
	for zone, p := range s.peers {
		slices.SortFunc(p.list, func(a, b mesh.Peer) int { return strings.Compare(a.Name, b.Name) })
		p.digest = mesh.Digest(p.list)
		s.peers[zone] = p
	}
	slices.Sort(s.homed)
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

// summarizeHealth counts the instances that probe and that miss each backend server, of those
// that this instance counts.
func summarizeHealth(reports map[string]instanceReport, now time.Time) healthSummary {
	out := healthSummary{probing: make(map[string]int), failing: make(map[memberKey]int)}
	for _, r := range reports {
		if !r.home {
			continue
		}
		for _, service := range r.probed {
			out.probing[service]++
		}
		for _, m := range r.unresponsive {
			if m.For+min(now.Sub(r.at), maxReportExtrapolation) >= duty.FailureThreshold {
				out.failing[memberKey{m.Service, m.ID}]++
			}
		}
	}
	return out
}

// gather returns the summary as it is sent to other control instances.
func (h healthSummary) gather(entries []uint32) *mesh.Gathered {
	out := &mesh.Gathered{Entries: entries, Probing: maps.Clone(h.probing)}
	for k, n := range h.failing {
		out.Failing = append(out.Failing, mesh.FailingMember{Service: k.service, ID: k.id, Instances: n})
	}
	slices.SortFunc(out.Failing, func(a, b mesh.FailingMember) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.ID, b.ID))
	})
	return out
}

// addGathered adds what the other control instances have gathered.
func (h healthSummary) addGathered(reports map[string]instanceReport) {
	for _, r := range reports {
		if r.gathered == nil {
			continue
		}
		for service, n := range r.gathered.Probing {
			h.probing[service] += n
		}
		for _, m := range r.gathered.Failing {
			h.failing[memberKey{m.Service, m.ID}] += m.Instances
		}
	}
}
