package proxy

import (
	"context"
	"errors"
	"time"

	"tamarackcross/event"
	"tamarackcross/group"
)

const (
	// probeTimeout bounds one probe. A probe takes no statement slot, so its answer
	// arrives within a round trip unless the network or the server has failed.
	probeTimeout = 300 * time.Millisecond
	// probeInterval is the longest time between probes of the primary. If a route
	// bounds the age of reads more tightly than twice this, the primary is probed
	// twice within that bound.
	probeInterval = 400 * time.Millisecond
	// primarySearchInterval is the time between probes while no member is known to
	// be the primary.
	primarySearchInterval = 60 * time.Millisecond
	// suspensionMargin is how much longer than its time limits a probe takes only if this
	// instance did not run meanwhile.
	suspensionMargin = 200 * time.Millisecond
)

// prober asks one member for its role and position, on a connection of its own that
// no request can delay. A member that opens a transaction for writes is the primary
// at that moment: a replaced primary refuses, whatever this instance assumes. Where a
// replaced primary goes on instead, a lease has to name the member too. The position in
// its answer covers every commit that was acknowledged before the probe began.
type prober struct {
	svc        *service
	member     *member
	wake       chan struct{}
	done       chan error
	conn       Conn
	wasPrimary bool // the member was the primary at the last probe
}

func newProber(v *service, m *member) *prober {
	return &prober{svc: v, member: m, wake: make(chan struct{}, 1), done: make(chan error, 1)}
}

func (p *prober) start() {
	go func() { p.done <- p.run(p.member.ctx) }()
}

// probeNow starts the next probe without delay.
func (p *prober) probeNow() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *prober) run(ctx context.Context) error {
	defer p.closeConn()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.wake:
		case <-timer.C:
		}
		if p.svc.usesControlProbes() {
			p.closeConn()
			continue // until probeNow
		}
		delay := p.svc.nextProbeDelay()
		if p.probe(ctx); p.conn == nil {
			delay = max(delay, dialBackoff)
		}
		timer.Reset(delay)
	}
}

func (p *prober) closeConn() {
	if p.conn != nil {
		_ = p.conn.Close()
		p.conn = nil
	}
}

// probe sends one probe and records its outcome.
func (p *prober) probe(ctx context.Context) {
	began := p.member.now()
	answers, err := p.exchange(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		p.closeConn()
	}
	if p.member.recordProbe(err, began, p.member.now()) {
		p.svc.srv.healthChanged()
	}
	if err != nil {
		return
	}
	first, last := answers[0], answers[len(answers)-1]
	p.wasPrimary = first.Fault == nil
	_, covered := p.svc.covers(p.member, began)
	switch {
	case p.wasPrimary && covered:
		p.svc.recordProof(p.member, began, first.Position)
		p.svc.updateLag(p.member, first.Position)
	case p.wasPrimary:
		p.svc.updateLag(p.member, first.Position)
	case first.Fault.Code == ReadOnly:
		p.svc.clearPrimary(p.member.target.ID)
	}
	if read := answers[min(2, len(answers)-1)]; !p.wasPrimary && read.Status == InTx {
		p.svc.updateLag(p.member, read.Position)
	}
	if last.Status != Idle {
		p.closeConn()
	}
}

// exchange opens and ends a transaction for writes. Unless the member was the
// primary at the last probe, it also opens and ends one for reads, since a replica
// reports its current position only there.
func (p *prober) exchange(ctx context.Context) ([]Answer, error) {
	if p.conn == nil {
		ctx, stop := context.WithTimeout(ctx, probeTimeout)
		defer stop()
		c, err := p.member.dialer.Dial(ctx, p.member.target)
		if err != nil {
			return nil, err
		}
		p.conn = c
	}
	cmds := []Command{BeginTx{}, RollbackTx{}, BeginTx{ReadOnly: true}, RollbackTx{}}
	if p.wasPrimary {
		cmds = cmds[:2]
	}
	return p.conn.Exec(probeTimeout, cmds...)
}

// proof is a proof of primary: the answer by which a member shows that it is the
// primary.
type proof struct {
	member   *member // nil if no member proved to be the primary
	at       time.Time
	position group.Position
}

// proofWaiter waits for a proof whose probe began at askedAt or later.
type proofWaiter struct {
	askedAt time.Time
	done    chan proof
}

// awaitProof returns a proof whose probe began at now or later. The member of the
// proof is nil if none arrived by limit.
func (v *service) awaitProof(ctx context.Context, now, limit time.Time) proof {
	w := &proofWaiter{askedAt: now, done: make(chan proof, 1)}
	v.mu.Lock()
	v.proofWaiters[w] = struct{}{}
	v.requestProofLocked()
	v.mu.Unlock()
	timer := time.NewTimer(limit.Sub(now))
	defer timer.Stop()
	select {
	case r := <-w.done:
		return r
	case <-timer.C:
	case <-ctx.Done():
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.proofWaiters, w)
	return proof{}
}

// requestProofLocked probes the primary at once, or every member while none is
// known. If the control instances probe for this instance, it asks them.
func (v *service) requestProofLocked() {
	if v.controlProbes {
		v.fetcher.fetchNow()
		return
	}
	if m := v.members[v.primary]; m != nil && m.failingFor(v.srv.now()) == 0 {
		m.prober.probeNow()
		return
	}
	for _, m := range v.members {
		m.prober.probeNow()
	}
}

// nextProbeDelay returns the time until the next probe.
func (v *service) nextProbeDelay() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if m := v.members[v.primary]; m == nil || m.failingFor(v.srv.now()) > 0 {
		return primarySearchInterval
	}
	if v.tightestMaxAge > 0 {
		return min(probeInterval, v.tightestMaxAge/2)
	}
	return probeInterval
}

// recordProof records that m was the primary after at and that its log ended at p
// then. It answers the waiters that asked before at. For the others it requests
// another proof.
func (v *service) recordProof(m *member, at time.Time, p group.Position) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.adoptTerm(p.Term)
	if id := m.target.ID; v.primary != id {
		v.log.Info().Str("was", v.primary).Str(event.Primary, id).Str("position", p.String()).Msg("primary proved")
		v.primary = id
	}
	v.addSample(timedPosition{at: at, position: p})
	for w := range v.proofWaiters {
		if w.askedAt.After(at) {
			v.requestProofLocked()
			continue
		}
		w.done <- proof{member: m, at: at, position: p}
		delete(v.proofWaiters, w)
	}
}

// clearPrimary records that a member refused to act as the primary.
func (v *service) clearPrimary(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.primary != id {
		return
	}
	v.primary = ""
	v.log.Info().Str("was", id).Msg("primary refused its role")
	v.requestProofLocked()
}

// updateLag estimates how far a member is behind from the position that it reported:
// it lacks what the primary held at the first sample beyond that position.
func (v *service) updateLag(m *member, p group.Position) {
	now := v.srv.now()
	v.mu.Lock()
	lag := time.Duration(0)
	for _, s := range v.timedSamples {
		if p.Less(s.position) {
			lag = now.Sub(s.at)
			break
		}
	}
	v.mu.Unlock()
	m.setLag(lag, now)
}

// recordProbe records the outcome of a probe, and reports whether the member has started or
// stopped to answer. A refusal counts as an answer.
func (m *member) recordProbe(err error, began, ended time.Time) bool {
	var f *Fault
	m.mu.Lock()
	defer m.mu.Unlock()
	failing := !m.failingSince.IsZero()
	switch {
	case err == nil || errors.As(err, &f):
		m.failingSince = time.Time{}
		return failing
	case ended.Sub(began) > 2*probeTimeout+suspensionMargin: // connect and exchange
		m.failingSince = time.Time{} // this instance was suspended, which says nothing about the server
		return failing
	case !failing:
		m.failingSince = began
		return true
	}
	return false
}
