package inst

import (
	"sync"
	"time"

	"tamarackcross/ctlpb"
	"tamarackcross/fleet"
	"tamarackcross/share"
)

// hosted is the broker of one backend server that this instance owns.
type hosted struct {
	l   *leases
	key memberKey

	mu     sync.Mutex
	broker *share.Broker
	limit  share.Amount
	timer  *time.Timer
	ended  bool
}

// ask answers an ask of a holder, if this instance owns the backend server.
func (l *leases) ask(key memberKey, a share.Ask) {
	h, epoch := l.hosted(key)
	if h == nil {
		return
	}
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return
	}
	h.renew(epoch, now)
	h.broker.Confirm(l.contact.confirmed(now))
	h.send(h.broker.Request(a, now))
	h.arm(now)
}

// hosted returns the broker for a backend server owned here and the epoch of
// the ownership.
func (l *leases) hosted(key memberKey) (*hosted, uint64) {
	owner, epoch, ok := l.views.View().Owner(key.database, key.member)
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.brokers[key]
	if !ok || owner != l.name || l.closed {
		if h != nil {
			delete(l.brokers, key)
			go h.stop()
		}
		return nil, 0
	}
	if h == nil {
		h = &hosted{l: l, key: key}
		h.timer = time.AfterFunc(time.Hour, h.tick)
		l.brokers[key] = h
	}
	return h, epoch
}

// renew makes the broker fit the epoch and the limit in force. The caller holds
// mu.
func (h *hosted) renew(epoch uint64, now time.Time) {
	limit := h.wanted()
	if h.broker == nil || h.broker.Epoch() != epoch {
		var opts []share.BrokerOption
		if epoch == h.firstEpoch() {
			// There is no former owner whose grants have to run out.
			opts = append(opts, share.WithoutFormer())
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
func (h *hosted) firstEpoch() uint64 {
	m, _ := h.l.views.member(h.key)
	return m.FirstEpoch
}

// wanted returns the limit of the backend server as announced.
func (h *hosted) wanted() share.Amount {
	m, ok := h.l.views.member(h.key)
	if !ok {
		return share.Amount{}
	}
	view := h.l.views.View()
	settings := view.Document().Resolve(fleet.Scope{Database: h.key.database})
	units := int(m.Slots)
	return share.Amount{Units: units, Long: share.LongLimit(units, settings.LongShare)}
}

func (h *hosted) send(grants []share.Grant) {
	for _, g := range grants {
		h.l.sendGrant(h.key, g)
	}
}

func (h *hosted) tick() {
	now := time.Now()
	owner, epoch, ok := h.l.views.View().Owner(h.key.database, h.key.member)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended || !ok || owner != h.l.name || h.broker == nil {
		return
	}
	h.renew(epoch, now)
	h.broker.Confirm(h.l.contact.confirmed(now))
	h.send(h.broker.Tick(now))
	h.arm(now)
}

func (h *hosted) arm(now time.Time) {
	if next := h.broker.Next(now); !next.IsZero() {
		h.timer.Reset(max(time.Millisecond, next.Sub(now)))
	}
}

func (h *hosted) stop() {
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
