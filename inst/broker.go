package inst

import (
	"sync"
	"time"

	"tamarackcross/ctlpb"
	"tamarackcross/fleet"
	"tamarackcross/share"
)

// ownedBroker is the lease broker of one backend server that this instance owns.
type ownedBroker struct {
	l   *leases
	key memberKey

	mu     sync.Mutex
	broker *share.Broker
	limit  share.Amount
	timer  *time.Timer
	ended  bool
}

// handleAsk answers a lease request if this instance owns the backend server.
func (l *leases) handleAsk(key memberKey, a share.Ask) {
	h, epoch := l.brokerFor(key)
	if h == nil {
		return
	}
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return
	}
	h.update(epoch, now)
	h.broker.Confirm(l.contact.ownershipConfirmedAt(now))
	h.send(h.broker.Request(a, now))
	h.schedule(now)
}

// brokerFor returns the broker of a backend server and the epoch of its ownership.
// If this instance does not own the backend server, it closes the broker and
// returns nil.
func (l *leases) brokerFor(key memberKey) (*ownedBroker, uint64) {
	owner, epoch, ok := l.views.View().Owner(key.database, key.member)
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.brokers[key]
	if !ok || owner != l.name || l.closed {
		if h != nil {
			delete(l.brokers, key)
			go h.close()
		}
		return nil, 0
	}
	if h == nil {
		h = &ownedBroker{l: l, key: key}
		h.timer = time.AfterFunc(time.Hour, h.tick)
		l.brokers[key] = h
	}
	return h, epoch
}

// update replaces the broker if the epoch of the ownership has changed, and applies
// the limit in force. The caller holds mu.
func (h *ownedBroker) update(epoch uint64, now time.Time) {
	limit := h.announcedLimit()
	if h.broker == nil || h.broker.Epoch() != epoch {
		var opts []share.BrokerOption
		if epoch == h.firstEpoch() {
			// There is no earlier owner whose grants would have to expire first.
			opts = append(opts, share.WithoutFormerOwner())
		}
		h.broker = share.NewBroker(epoch, limit, now, opts...)
		h.limit = limit
	}
	if h.limit != limit {
		h.limit = limit
		h.send(h.broker.SetLimit(limit, now))
	}
}

// firstEpoch returns the first epoch in which slots can have been granted.
func (h *ownedBroker) firstEpoch() uint64 {
	m, _ := h.l.views.member(h.key)
	return m.FirstEpoch
}

// announcedLimit returns the limit that the backend server has announced, with the
// part of it that long requests may use.
func (h *ownedBroker) announcedLimit() share.Amount {
	m, ok := h.l.views.member(h.key)
	if !ok {
		return share.Amount{}
	}
	view := h.l.views.View()
	settings := view.Document().Resolve(fleet.Scope{Database: h.key.database})
	units := int(m.Slots)
	return share.Amount{Units: units, Long: share.LongLimit(units, settings.LongShare)}
}

func (h *ownedBroker) send(grants []share.Grant) {
	for _, g := range grants {
		h.l.sendGrant(h.key, g)
	}
}

func (h *ownedBroker) tick() {
	now := time.Now()
	owner, epoch, ok := h.l.views.View().Owner(h.key.database, h.key.member)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended || !ok || owner != h.l.name || h.broker == nil {
		return
	}
	h.update(epoch, now)
	h.broker.Confirm(h.l.contact.ownershipConfirmedAt(now))
	h.send(h.broker.Tick(now))
	h.schedule(now)
}

func (h *ownedBroker) schedule(now time.Time) {
	if next := h.broker.NextTick(now); !next.IsZero() {
		h.timer.Reset(max(time.Millisecond, next.Sub(now)))
	}
}

func (h *ownedBroker) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = true
	h.timer.Stop()
}

func amountToProto(a share.Amount) *ctlpb.LeaseAmount {
	return &ctlpb.LeaseAmount{Units: uint32(a.Units), Long: uint32(a.Long)}
}

func amountFromProto(p *ctlpb.LeaseAmount) share.Amount {
	return share.Amount{Units: int(p.GetUnits()), Long: int(p.GetLong())}
}

func askToProto(a share.Ask) *ctlpb.LeaseAsk {
	return &ctlpb.LeaseAsk{
		Incarnation: a.Incarnation, Number: a.Number, Epoch: a.Epoch, Applied: a.Applied,
		Keep: amountToProto(a.Keep), Busy: amountToProto(a.Busy), Want: amountToProto(a.Want),
		WaitingUs: uint32(a.Waiting.Microseconds()),
	}
}

func askFromProto(from string, p *ctlpb.LeaseAsk) share.Ask {
	return share.Ask{
		Holder: from, Incarnation: p.GetIncarnation(), Number: p.GetNumber(), Epoch: p.GetEpoch(), Applied: p.GetApplied(),
		Keep: amountFromProto(p.GetKeep()), Busy: amountFromProto(p.GetBusy()), Want: amountFromProto(p.GetWant()),
		Waiting: time.Duration(p.GetWaitingUs()) * time.Microsecond,
	}
}

func grantToProto(g share.Grant) *ctlpb.LeaseGrant {
	return &ctlpb.LeaseGrant{
		Incarnation: g.Incarnation, Epoch: g.Epoch, Seq: g.Seq, Answers: g.Answers, Amount: amountToProto(g.Amount),
		LengthMs: uint32(g.Length.Milliseconds()), LingerMs: uint32(g.Linger.Milliseconds()),
		Counted: amountToProto(g.Counted), ContendedUnits: g.Contended.Units, ContendedLong: g.Contended.Long,
	}
}

func grantFromProto(to string, p *ctlpb.LeaseGrant) share.Grant {
	return share.Grant{
		Holder: to, Incarnation: p.GetIncarnation(), Epoch: p.GetEpoch(), Seq: p.GetSeq(), Answers: p.GetAnswers(),
		Amount: amountFromProto(p.GetAmount()),
		Length: time.Duration(p.GetLengthMs()) * time.Millisecond, Linger: time.Duration(p.GetLingerMs()) * time.Millisecond,
		Counted:   amountFromProto(p.GetCounted()),
		Contended: share.Contended{Units: p.GetContendedUnits(), Long: p.GetContendedLong()},
	}
}
