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
	// reportInterval is several times shorter than the failure-detection timeout,
	// so that a lost report does not delay a verdict.
	reportInterval = 150 * time.Millisecond
	// urgentInterval limits the reports sent at once when a member fails.
	urgentInterval = 20 * time.Millisecond
	reportLimit    = 400 * time.Millisecond // for one report to reach the leader
)

// memberKey names a member of a database.
type memberKey struct{ database, member string }

// reporter sends the observations of the entry to the control leader.
type reporter struct {
	name    string
	zone    string
	client  *ctrl.Client
	contact *contact

	mu     sync.Mutex
	latest map[memberKey]entry.Observation
	urgent chan struct{}
}

func newReporter(name, zone string, client *ctrl.Client, c *contact) *reporter {
	return &reporter{
		name: name, zone: zone, client: client, contact: c,
		latest: make(map[memberKey]entry.Observation), urgent: make(chan struct{}, 1),
	}
}

// Observe keeps the newest observation of each member. A failure is reported
// at once.
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

// run reports until ctx ends.
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
		if in := r.collect(time.Now()); in != nil {
			r.send(ctx, in)
		}
		select {
		case <-ctx.Done():
		case <-time.After(urgentInterval):
		}
	}
}

func (r *reporter) send(ctx context.Context, in *ctlpb.ObserveRequest) {
	ctx, stop := context.WithTimeout(ctx, reportLimit)
	defer stop()
	at := time.Now()
	if err := r.client.Observe(ctx, in); err == nil {
		r.contact.reach(at)
	}
}

// maxAge is how old an observation may be to be reported again.
const maxAge = 700 * time.Millisecond

// collect returns the observations that are fresh. An entry without any still
// reports, so that control knows that it lives.
func (r *reporter) collect(now time.Time) *ctlpb.ObserveRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	in := &ctlpb.ObserveRequest{Instance: r.name, Zone: r.zone}
	for k, o := range r.latest {
		age := now.Sub(o.At)
		if age > maxAge {
			delete(r.latest, k)
			continue
		}
		in.Observations = append(in.Observations, &ctlpb.Observation{
			Database: o.Database, Member: o.Member, Term: o.Term, Reachable: o.Reachable, Stalled: o.Stalled,
			PositionTerm: o.Position.Term, PositionOffset: o.Position.Offset, AgeMs: uint32(max(0, age.Milliseconds())),
		})
	}
	return in
}
