package host

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"tamarackcross/duty"
	"tamarackcross/mesh"
)

// reportTimeout is how long the last report of an instance counts.
const reportTimeout = 2 * time.Second

// instanceReport is the state that an instance sent with its last Sync call.
type instanceReport struct {
	zone         string
	serves       bool   // it is an entry
	addr         string // where it serves forwarded requests
	leaving      bool
	probed       []string // services whose members the instance probes
	at           time.Time
	unresponsive []mesh.UnresponsiveMember // members that do not answer it
}

// sameInstance reports whether two reports of an instance mean the same to the others.
func (r instanceReport) sameInstance(o instanceReport) bool {
	return r.zone == o.zone && r.serves == o.serves && r.addr == o.addr && r.leaving == o.leaving
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
	entries int                  // number of live entries
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
	maps.DeleteFunc(t.reports, func(_ string, r instanceReport) bool { return now.Sub(r.at) > reportTimeout })
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
	for name, r := range t.reports {
		if !r.serves {
			continue
		}
		s.entries++
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

// summarizeHealth counts the instances that probe and that miss each backend server.
func summarizeHealth(reports map[string]instanceReport, now time.Time) healthSummary {
	out := healthSummary{probing: make(map[string]int), failing: make(map[memberKey]int)}
	for _, r := range reports {
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
