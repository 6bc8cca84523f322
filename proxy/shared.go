package proxy

import (
	"context"
	"slices"
	"time"

	"tamarackcross/config"
	"tamarackcross/group"
)

// Where backend servers accept fewer connections than there are instances to probe
// them, control probes for all: an instance asks control for a proof and counts
// its age from the sending of its own question.

// Proof is what control knows of a service after a proof that began when it was
// asked, or later.
type Proof struct {
	Member   string // the primary
	Position group.Position
	Lags     map[string]time.Duration // of the replicas
	Age      time.Duration            // of the proof when it was given
}

// Prover asks control for proofs.
type Prover interface {
	Prove(ctx context.Context, service string) (Proof, error)
}

// WithProver sets who proves primaries where the instance cannot.
func WithProver(p Prover) Option { return func(s *Server) { s.prover = p } }

const (
	// directConns is how many connections an equal share must hold for an instance
	// to keep one of them for probes.
	directConns = 4
	// sharedInterval is between proofs that nobody waits for: two of them fit the
	// tightest bound on reads (1.5 s).
	sharedInterval = 700 * time.Millisecond
	// sharedLimit bounds one question to control.
	sharedLimit = 400 * time.Millisecond
	// sharedPause is between questions while none is answered.
	sharedPause = 100 * time.Millisecond
)

// scarce reports whether connections to a service are too few for each of n
// instances to probe.
func scarce(cfg config.Service, n int) bool {
	return cfg.MaxConns > 0 && cfg.MaxConns/max(1, n) < directConns
}

// asker asks control for proofs of one service.
type asker struct {
	v    *service
	wake chan struct{}
	done chan error
}

func newAsker(v *service) *asker {
	return &asker{v: v, wake: make(chan struct{}, 1), done: make(chan error, 1)}
}

func (a *asker) kick() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *asker) run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.wake:
		case <-timer.C:
		}
		if !a.v.isShared() {
			continue // until it is woken
		}
		pause := sharedInterval
		if !a.ask(ctx) {
			pause = sharedPause
		}
		timer.Reset(pause)
	}
}

// ask asks once and reports whether a proof came.
func (a *asker) ask(ctx context.Context) bool {
	ctx, stop := context.WithTimeout(ctx, sharedLimit)
	defer stop()
	begin := a.v.srv.now()
	p, err := a.prove(ctx)
	if err != nil {
		return false
	}
	m := a.v.member(p.Member)
	if m == nil {
		return false
	}
	now := a.v.srv.now()
	for id, lag := range p.Lags {
		if r := a.v.member(id); r != nil {
			r.setLag(lag, now)
		}
	}
	a.v.proved(m, begin.Add(-p.Age), p.Position)
	return true
}

// prove asks control for a proof that begins now if a request waits for one or there
// are no holders, and otherwise a holder of the zone for the newest one that it has.
func (a *asker) prove(ctx context.Context) (Proof, error) {
	a.v.mu.Lock()
	fresh := len(a.v.holders) == 0 || len(a.v.waiting) > 0
	a.v.mu.Unlock()
	if !fresh {
		if e := a.v.chooseHolder(nil); e != nil {
			return a.v.srv.links.Newest(ctx, e.Addr, a.v.name)
		}
	}
	return a.v.srv.prover.Prove(ctx, a.v.name)
}

func (v *service) isShared() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.shared
}

// Prove returns a proof that begins now, for instances that cannot probe.
func (s *Server) Prove(ctx context.Context, name string, limit time.Duration) (Proof, bool) {
	doc := s.doc.Load()
	if doc == nil {
		return Proof{}, false
	}
	if _, ok := doc.Services[name]; !ok {
		return Proof{}, false
	}
	v := s.service(name)
	now := s.now()
	p := v.await(ctx, now, now.Add(limit))
	if p.member == nil {
		return Proof{}, false
	}
	return Proof{Member: p.member.target.ID, Position: p.position, Lags: v.lags()}, true
}

// Newest returns the newest proof of a service that this instance has.
func (s *Server) Newest(name string) (Proof, bool) {
	doc := s.doc.Load()
	if doc == nil {
		return Proof{}, false
	}
	if _, ok := doc.Services[name]; !ok {
		return Proof{}, false
	}
	v, now := s.service(name), s.now()
	v.adopt(now)
	v.mu.Lock()
	n := len(v.sampled)
	if n == 0 || v.primary == "" {
		v.mu.Unlock()
		return Proof{}, false
	}
	last := v.sampled[n-1]
	p := Proof{Member: v.primary, Position: last.position, Age: max(0, now.Sub(last.at))}
	v.mu.Unlock()
	p.Lags = v.lags()
	return p, true
}

// lags returns the estimated lag of the members.
func (v *service) lags() map[string]time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make(map[string]time.Duration, len(v.members))
	for id, m := range v.members {
		out[id] = m.estimatedLag()
	}
	return out
}

// Probed lists the services whose members this instance probes.
func (s *Server) Probed() []string {
	var out []string
	for _, v := range s.all() {
		if !v.isShared() {
			out = append(out, v.name)
		}
	}
	slices.Sort(out)
	return out
}
