package host

import (
	"context"
	"sync"
	"time"

	"tamarackcross/caps"
	"tamarackcross/config"
	"tamarackcross/event"
	"tamarackcross/ledger"
	"tamarackcross/mesh"
	"tamarackcross/raft"
	"tamarackcross/stats"
)

// capsOwner lends the tokens of all customers while this instance leads control.
type capsOwner struct {
	bound   caps.Bound
	propose func(context.Context, ledger.Command) (any, error) // appends to the log of control
	now     func() time.Time
	log     *event.Log
	stats   *stats.Registry

	mu        sync.Mutex
	term      raft.Term // in which this instance leads, or 0
	leadsAt   time.Time // when it was known to lead in that term
	owner     *caps.Owner
	proposing bool
	settled   bool // the log says that loans of former owners have ended
}

func newCapsOwner(bound caps.Bound, propose func(context.Context, ledger.Command) (any, error), now func() time.Time, log *event.Log, st *stats.Registry) *capsOwner {
	o := &capsOwner{bound: bound, propose: propose, now: now, log: log, stats: st}
	st.Gauges(o.setGauges)
	return o
}

// follow starts or ends the lending as the role of this instance in control changes, and puts the
// caps of the configuration in force. doc may be nil. It runs what has to wait for the log with
// spawn.
func (o *capsOwner) follow(ctx context.Context, st raft.Status, doc *config.Document, spawn func(func())) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	if leads := st.Role == raft.Leader && st.Current; !leads || st.Term != o.term {
		if o.owner != nil {
			o.log.Info().Uint64("term", o.owner.Term()).Msg("no longer the owner of the caps of customers")
		}
		o.term, o.owner, o.settled = 0, nil, false
		if leads {
			o.term, o.leadsAt = st.Term, now
		}
	}
	switch {
	case o.term == 0 || doc == nil || o.proposing:
	case o.owner == nil && hasCaps(doc):
		o.proposing = true
		spawn(func() { o.open(ctx, st.Term) })
	case o.owner != nil && !o.settled && o.owner.Settled(now):
		o.proposing = true
		spawn(func() { o.settle(ctx, st.Term) })
	}
	o.configure(doc, now)
}

// configure puts the caps of a document in force. The caller holds o.mu.
func (o *capsOwner) configure(doc *config.Document, now time.Time) {
	if o.owner != nil && doc != nil && doc.Version > o.owner.Version() {
		o.owner.SetCaps(doc.Version, capsOf(o.bound, doc), now)
	}
}

// capsProposalTimeout bounds the wait for an entry of the log.
const capsProposalTimeout = time.Second

// open records the ownership in the log, which tells how many owners there were before, and begins to
// lend.
func (o *capsOwner) open(ctx context.Context, term raft.Term) {
	ctx, stop := context.WithTimeout(ctx, capsProposalTimeout)
	defer stop()
	result, err := o.propose(ctx, ledger.OpenCaps{Term: uint64(term)})
	o.mu.Lock()
	defer o.mu.Unlock()
	o.proposing = false
	opened, ok := result.(ledger.CapsOpened)
	if err != nil || !ok || o.term != term {
		o.log.Debug().Err(err).Uint64("term", uint64(term)).Msg("ownership of the caps was not recorded; it is tried again while this instance leads")
		return
	}
	opt := caps.WithFormerOwners(opened.Former)
	if opened.First {
		opt, o.settled = caps.WithoutFormerOwner(), true
	}
	o.owner = caps.NewOwner(uint64(term), o.leadsAt, opt)
	o.log.Info().Uint64("term", uint64(term)).Bool("first", opened.First).Int("former_unsettled", opened.Former).Msg("owner of the caps of customers")
}

// settle records in the log that loans of former owners have ended.
func (o *capsOwner) settle(ctx context.Context, term raft.Term) {
	ctx, stop := context.WithTimeout(ctx, capsProposalTimeout)
	defer stop()
	_, err := o.propose(ctx, ledger.SettleCaps{Term: uint64(term)})
	o.mu.Lock()
	defer o.mu.Unlock()
	o.proposing = false
	o.settled = err == nil && o.term == term
}

// handle answers an Ask, or returns false if this instance is not the owner.
func (o *capsOwner) handle(in *caps.Ask, doc *config.Document, st raft.Status) (caps.Grant, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.owner == nil || st.Role != raft.Leader || uint64(st.Term) != o.owner.Term() {
		return caps.Grant{}, false
	}
	now := o.now()
	o.configure(doc, now)
	return o.owner.Handle(in, st.ConfirmedAt, now), true
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

// hasCaps reports whether a customer of a document has a cap.
func hasCaps(doc *config.Document) bool {
	for _, c := range doc.Customers {
		if c.Capped() {
			return true
		}
	}
	return false
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
