package host

import (
	"context"
	"sync"
	"time"

	"tamarackcross/caps"
	"tamarackcross/config"
	"tamarackcross/event"
	"tamarackcross/mesh"
	"tamarackcross/raft"
	"tamarackcross/stats"
)

// capsOwner lends the tokens of all customers while this instance leads control.
type capsOwner struct {
	bound caps.Bound
	now   func() time.Time
	log   *event.Log
	stats *stats.Registry

	mu     sync.Mutex
	owner  *caps.Owner             // nil unless this instance leads
	seen   map[raft.Term]time.Time // when this instance first knew of the newest terms
	newest raft.Term               // of these
}

// rememberedTerms is the number of terms whose start is kept.
const rememberedTerms = 8

func newCapsOwner(bound caps.Bound, now func() time.Time, log *event.Log, st *stats.Registry) *capsOwner {
	o := &capsOwner{bound: bound, now: now, log: log, stats: st, seen: make(map[raft.Term]time.Time)}
	st.Gauges(o.setGauges)
	return o
}

// follow starts or ends the lending as the role of this instance in control changes, and puts the
// caps of the configuration in force. doc may be nil.
func (o *capsOwner) follow(st raft.Status, doc *config.Document) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	o.followTerm(st, now)
	if o.owner != nil && doc != nil && doc.Version > o.owner.Version() {
		o.owner.SetCaps(doc.Version, capsOf(o.bound, doc), now)
	}
}

// followTerm starts or ends the lending. The caller holds o.mu.
func (o *capsOwner) followTerm(st raft.Status, now time.Time) {
	if _, known := o.seen[st.Term]; !known {
		o.seen[st.Term], o.newest = now, max(o.newest, st.Term)
		for t := range o.seen {
			if t+rememberedTerms < o.newest {
				delete(o.seen, t)
			}
		}
	}
	leads := st.Role == raft.Leader && st.Current
	if o.owner != nil && (!leads || uint64(st.Term) != o.owner.Term()) {
		o.log.Info().Uint64("term", o.owner.Term()).Msg("no longer the owner of the caps of customers")
		o.owner = nil
	}
	if o.owner != nil || !leads {
		return
	}
	var opts []caps.OwnerOption
	changes, known := o.formerChanges(st.Term, now)
	if known {
		opts = append(opts, caps.WithFormerChanges(changes))
	}
	o.owner = caps.NewOwner(uint64(st.Term), now, opts...)
	o.log.Info().Uint64("term", uint64(st.Term)).Bool("former_terms_known", known).Int("former_changes", changes).Msg("owner of the caps of customers")
}

// formerChanges returns how many terms there were between the given one and the last one before
// it that lasted long enough for the loans of all earlier ones to have ended.
func (o *capsOwner) formerChanges(term raft.Term, now time.Time) (n int, known bool) {
	for t := term; t > 0; n++ {
		t--
		seen, ok := o.seen[t]
		if !ok {
			return n, false
		}
		if now.Sub(seen) >= caps.SettledTerm {
			return n, true
		}
	}
	return n, false
}

// handle answers an Ask, or returns false if this instance is not the owner.
func (o *capsOwner) handle(in *caps.Ask, doc *config.Document, st raft.Status) (caps.Grant, bool) {
	o.follow(st, doc)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.owner == nil || doc == nil {
		return caps.Grant{}, false
	}
	return o.owner.Handle(in, st.ConfirmedAt, o.now()), true
}

// setGauges sets the gauges of the owner. Those of what it has done count from its start.
func (o *capsOwner) setGauges(set stats.SetGauge) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.owner == nil {
		return
	}
	counts := o.owner.Counts()
	set("caps_holders", nil, float64(o.owner.Holders()))
	set("caps_asks", nil, float64(counts.Asks))
	set("caps_lent", nil, float64(counts.Lent))
	set("caps_unmet", nil, float64(counts.Unmet))
}

// capsOf returns the caps of the customers of a document that have one.
func capsOf(bound caps.Bound, doc *config.Document) map[string]caps.Cap {
	out := make(map[string]caps.Cap)
	for name, c := range doc.Customers {
		if c.Capped() {
			out[name] = bound.Cap(c.Rate, c.Burst)
		}
	}
	return out
}

// Caps lends tokens if this instance is the owner of the caps. Otherwise it replies with the address
// of the leader.
func (h meshHandler) Caps(_ context.Context, in *caps.Ask) (*mesh.CapsReply, error) {
	c := h.c
	if c.caps == nil {
		return &mesh.CapsReply{}, nil
	}
	g, ok := c.caps.handle(in, c.document(), c.node.Status())
	if !ok {
		return &mesh.CapsReply{Leader: c.leaderAddr()}, nil
	}
	return &mesh.CapsReply{Owner: true, Grant: g}, nil
}
