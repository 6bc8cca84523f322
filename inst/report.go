package inst

import (
	"context"
	"sync"
	"time"

	"tamarackcross/ctlpb"
	"tamarackcross/ctrl"
	"tamarackcross/entry"
)

const (
	// reportInterval is several times shorter than the failure detection timeout, so
	// that a lost report does not delay the detection of a failure.
	reportInterval = 150 * time.Millisecond
	// urgentReportInterval is the shortest time between two reports, also when
	// members fail.
	urgentReportInterval = 20 * time.Millisecond
	reportTimeout        = 400 * time.Millisecond // for one report to reach the leader
)

// memberKey identifies a member of a database.
type memberKey struct{ database, member string }

// reporter sends the observations of members by the entry to the control leader.
type reporter struct {
	name    string
	zone    string
	client  *ctrl.Client
	contact *controlContact

	mu       sync.Mutex
	latest   map[memberKey]entry.Observation
	lastSent map[memberKey]reportedStatus
	lastFull time.Time
	wantFull bool
	urgent   chan struct{}
}

func newReporter(name, zone string, client *ctrl.Client, c *controlContact) *reporter {
	return &reporter{
		name: name, zone: zone, client: client, contact: c,
		latest: make(map[memberKey]entry.Observation), lastSent: make(map[memberKey]reportedStatus), urgent: make(chan struct{}, 1),
	}
}

// Observe implements entry.Observer. It keeps the newest observation of each member.
// A member that is newly unreachable is reported at once.
func (r *reporter) Observe(o entry.Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := memberKey{o.Database, o.Member}
	before, known := r.latest[k]
	r.latest[k] = o
	if o.Reachable || known && !before.Reachable {
		return
	}
	select {
	case r.urgent <- struct{}{}:
	default:
	}
}

// run sends reports until ctx ends.
func (r *reporter) run(ctx context.Context) error {
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		case <-r.urgent:
		}
		if in := r.nextReport(time.Now()); in != nil {
			r.send(ctx, in)
		}
		select {
		case <-ctx.Done():
		case <-time.After(urgentReportInterval):
		}
	}
}

func (r *reporter) send(ctx context.Context, in *ctlpb.ObserveRequest) {
	ctx, stop := context.WithTimeout(ctx, reportTimeout)
	defer stop()
	at := time.Now()
	wantFull, err := r.client.Observe(ctx, in)
	if err == nil {
		r.contact.recordAck(at)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wantFull = r.wantFull || wantFull || err != nil
}

const (
	// maxObservationAge is the age up to which an observation is reported.
	maxObservationAge = 700 * time.Millisecond
	// fullReportInterval is the time between full reports. The other reports leave
	// out healthy members whose status has not changed, so that their size does not
	// grow with the number of databases.
	fullReportInterval = 3 * time.Second
)

// nextReport returns the next report. A report without observations is sent too: it
// is the heartbeat by which control counts the entry as live.
func (r *reporter) nextReport(now time.Time) *ctlpb.ObserveRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prune(now)
	full := r.wantFull || now.Sub(r.lastFull) >= fullReportInterval
	if full {
		r.lastFull, r.wantFull = now, false
	}
	in := &ctlpb.ObserveRequest{Instance: r.name, Zone: r.zone, Full: full}
	for k, o := range r.latest {
		if !full && o.Reachable && !o.Stalled && r.lastSent[k] == reportedStatusOf(o) {
			continue
		}
		r.lastSent[k] = reportedStatusOf(o)
		in.Observations = append(in.Observations, &ctlpb.Observation{
			Database: o.Database, Member: o.Member, Term: o.Term, Reachable: o.Reachable, Stalled: o.Stalled,
			PositionTerm: o.Position.Term, PositionOffset: o.Position.Offset,
			AgeMs: uint32(max(0, now.Sub(o.At).Milliseconds())),
		})
	}
	return in
}

// prune drops observations older than maxObservationAge. The next report is then a
// full one, so that the leader forgets members that this entry no longer observes.
func (r *reporter) prune(now time.Time) {
	for k, o := range r.latest {
		if now.Sub(o.At) > maxObservationAge {
			delete(r.latest, k)
			delete(r.lastSent, k)
			r.wantFull = true
		}
	}
}

// reportedStatus is the part of an observation that is compared with the last
// report: if it has changed, the next report contains the member.
type reportedStatus struct {
	reachable, stalled bool
	term               uint64
}

func reportedStatusOf(o entry.Observation) reportedStatus {
	return reportedStatus{reachable: o.Reachable, stalled: o.Stalled, term: o.Term}
}
