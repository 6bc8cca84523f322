package proxy

import (
	"context"
	"errors"
	"time"

	"tamarackcross/event"
	"tamarackcross/group"
)

const (
	// probeLimit bounds one probe. It takes no slot, so an answer comes within a
	// round trip unless the path or the server is lost.
	probeLimit = 300 * time.Millisecond
	// probeInterval is the longest time between samples. Where a route has a bound on
	// the age of reads below twice that, samples are taken twice within the bound.
	probeInterval = 400 * time.Millisecond
	// probePause is between probes while no member is known to be the primary.
	probePause = 60 * time.Millisecond
)

// prober asks one member for its role and position, on a connection of its own
// that no request can hold up. A member that opens a transaction for writes is
// the primary at that moment: a replaced one refuses, whatever this instance
// believes. The position in its answer covers every commit that was acknowledged
// before the probe began.
type prober struct {
	v    *service
	m    *member
	wake chan struct{}
	done chan error
	conn Conn
	role bool // the member was the primary at the last probe
}

func newProber(v *service, m *member) *prober {
	return &prober{v: v, m: m, wake: make(chan struct{}, 1), done: make(chan error, 1)}
}

func (p *prober) start() {
	go func() { p.done <- p.run(p.m.ctx) }()
}

// kick makes the next probe begin now.
func (p *prober) kick() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *prober) run(ctx context.Context) error {
	defer p.drop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.wake:
		case <-timer.C:
		}
		if p.v.isShared() {
			p.drop()
			continue // until it is woken
		}
		pause := p.v.probePause()
		if p.probe(ctx); p.conn == nil {
			pause = max(pause, crowdedPause)
		}
		timer.Reset(pause)
	}
}

func (p *prober) drop() {
	if p.conn != nil {
		_ = p.conn.Close()
		p.conn = nil
	}
}

// probe asks once and records the outcome.
func (p *prober) probe(ctx context.Context) {
	begin := p.m.now()
	answers, err := p.exchange(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		p.drop()
		p.m.probed(err, begin)
		return
	}
	p.m.probed(nil, begin)
	first, last := answers[0], answers[len(answers)-1]
	p.role = first.Fault == nil
	switch {
	case p.role:
		p.v.proved(p.m, begin, first.Position)
		p.v.observe(p.m, first.Position)
	case first.Fault.Code == ReadOnly:
		p.v.deposed(p.m.target.ID)
	}
	if read := answers[min(2, len(answers)-1)]; !p.role && read.Status == InTx {
		p.v.observe(p.m, read.Position)
	}
	if last.Status != Idle {
		p.drop()
	}
}

// exchange opens and ends a transaction for writes, and for a member that is not
// expected to accept it one for reads: a replica reports its present position
// only there.
func (p *prober) exchange(ctx context.Context) ([]Answer, error) {
	if p.conn == nil {
		ctx, stop := context.WithTimeout(ctx, probeLimit)
		defer stop()
		c, err := p.m.dialer.Dial(ctx, p.m.target)
		if err != nil {
			return nil, err
		}
		p.conn = c
	}
	cmds := []Command{BeginTx{}, RollbackTx{}, BeginTx{ReadOnly: true}, RollbackTx{}}
	if p.role {
		cmds = cmds[:2]
	}
	return p.conn.Exec(probeLimit, cmds...)
}

// proof is the answer of a member that is the primary.
type proof struct {
	member   *member // nil if no member proved to be the primary
	at       time.Time
	position group.Position
}

// proofWaiter waits for a proof whose probe begins after it asked.
type proofWaiter struct {
	asked time.Time
	done  chan proof
}

// await returns a proof that begins after now, or none if no member gave one by
// the limit.
func (v *service) await(ctx context.Context, now, limit time.Time) proof {
	w := &proofWaiter{asked: now, done: make(chan proof, 1)}
	v.mu.Lock()
	v.waiting[w] = struct{}{}
	v.kickLocked()
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
	delete(v.waiting, w)
	return proof{}
}

// kickLocked probes the primary, or every member while none is known.
func (v *service) kickLocked() {
	if v.shared {
		v.asker.kick()
		return
	}
	if m := v.members[v.primary]; m != nil && m.failingFor(v.srv.now()) == 0 {
		m.prober.kick()
		return
	}
	for _, m := range v.members {
		m.prober.kick()
	}
}

func (v *service) probePause() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if m := v.members[v.primary]; m == nil || m.failingFor(v.srv.now()) > 0 {
		return probePause
	}
	if v.tightest > 0 {
		return min(probeInterval, v.tightest/2)
	}
	return probeInterval
}

// proved records that m was the primary at some time after at and that its log
// ended at p then. It serves those who asked before the probe began; the others
// start the next one.
func (v *service) proved(m *member, at time.Time, p group.Position) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.raiseTerm(p.Term)
	if id := m.target.ID; v.primary != id {
		v.log.Info().Str("was", v.primary).Str(event.Primary, id).Str("position", p.String()).Msg("primary proved")
		v.primary = id
	}
	v.sample(timedPosition{at: at, position: p})
	for w := range v.waiting {
		if w.asked.After(at) {
			v.kickLocked()
			continue
		}
		w.done <- proof{member: m, at: at, position: p}
		delete(v.waiting, w)
	}
}

// deposed records that id refused to act as the primary.
func (v *service) deposed(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.primary != id {
		return
	}
	v.primary = ""
	v.log.Info().Str("was", id).Msg("primary refused its role")
	v.kickLocked()
}

// observe compares the position of a member with those that the primary had, and
// learns how far behind it is: it lacks what the primary held at the first sample
// beyond its position.
func (v *service) observe(m *member, p group.Position) {
	now := v.srv.now()
	v.mu.Lock()
	lag := time.Duration(0)
	for _, s := range v.sampled {
		if p.Less(s.position) {
			lag = now.Sub(s.at)
			break
		}
	}
	v.mu.Unlock()
	m.setLag(lag, now)
}

// probed records the outcome of a probe that began at begin. A refusal is an
// answer.
func (m *member) probed(err error, begin time.Time) {
	var f *Fault
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case err == nil || errors.As(err, &f):
		m.failing = time.Time{}
	case m.failing.IsZero():
		m.failing = begin
	}
}
