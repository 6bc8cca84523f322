package proxy

import (
	"context"
	"slices"
	"time"

	"tamarackcross/config"
	"tamarackcross/group"
)

// Where backend servers accept too few connections for each instance to probe them,
// the control instances probe for all. An instance then asks the control instances
// for a proof of primary and counts the age of the proof from the time at which it
// sent its request.

// Proof is a proof of primary with the replication lags, as one instance reports it
// to another.
type Proof struct {
	Member   string // ID of the primary
	Position group.Position
	Lags     map[string]time.Duration // estimated, by member
	Age      time.Duration            // at the time of the answer
}

// Prover requests proofs of primary from the control instances. The probe of a proof
// begins when the request arrives, or later.
type Prover interface {
	Prove(ctx context.Context, service string) (Proof, error)
}

// WithProver sets the source of the proofs for services that the instance cannot probe.
func WithProver(p Prover) Option { return func(s *Server) { s.prover = p } }

const (
	// minShareForProbes is the least equal share of connections from which an
	// instance uses one of them for probes.
	minShareForProbes = 4
	// proofFetchInterval is the time between requests for a proof while no read
	// waits for one. Two of them fit into the tightest bound on the age of reads
	// (1.5 s).
	proofFetchInterval = 700 * time.Millisecond
	// proofFetchTimeout bounds one request.
	proofFetchTimeout = 400 * time.Millisecond
	// proofRetryInterval is the time between requests while none is answered.
	proofRetryInterval = 100 * time.Millisecond
)

// connsScarce reports whether a service has too few connections for each of n
// instances to probe its members.
func connsScarce(cfg config.Service, n int) bool {
	return cfg.MaxConns > 0 && cfg.MaxConns/max(1, n) < minShareForProbes
}

// proofFetcher requests the proofs for one service while the control instances probe
// for this instance.
type proofFetcher struct {
	svc  *service
	wake chan struct{}
	done chan error
}

func newProofFetcher(v *service) *proofFetcher {
	return &proofFetcher{svc: v, wake: make(chan struct{}, 1), done: make(chan error, 1)}
}

func (f *proofFetcher) fetchNow() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

func (f *proofFetcher) run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.wake:
		case <-timer.C:
		}
		if !f.svc.usesControlProbes() {
			continue // until fetchNow
		}
		delay := proofFetchInterval
		if !f.fetch(ctx) {
			delay = proofRetryInterval
		}
		timer.Reset(delay)
	}
}

// fetch requests a proof, records it and reports whether one arrived.
func (f *proofFetcher) fetch(ctx context.Context) bool {
	ctx, stop := context.WithTimeout(ctx, proofFetchTimeout)
	defer stop()
	begin := f.svc.srv.now()
	p, err := f.request(ctx)
	if err != nil {
		return false
	}
	m := f.svc.member(p.Member)
	if m == nil {
		return false
	}
	now := f.svc.srv.now()
	for id, lag := range p.Lags {
		if replica := f.svc.member(id); replica != nil {
			replica.setLag(lag, now)
		}
	}
	f.svc.recordProof(m, begin.Add(-p.Age), p.Position)
	return true
}

// request asks the control instances for a proof that begins now if a read waits for
// one or there are no holders. Otherwise it asks a holder of the zone for its newest
// proof.
func (f *proofFetcher) request(ctx context.Context) (Proof, error) {
	f.svc.mu.Lock()
	askControl := len(f.svc.holders) == 0 || len(f.svc.proofWaiters) > 0
	f.svc.mu.Unlock()
	if !askControl {
		if e := f.svc.chooseHolder(nil); e != nil {
			return f.svc.srv.peerClient.Newest(ctx, e.Addr, f.svc.name)
		}
	}
	return f.svc.srv.prover.Prove(ctx, f.svc.name)
}

func (v *service) usesControlProbes() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.controlProbes
}

// Prove returns a proof that begins now, for instances that do not probe themselves.
// It returns false if none arrives within limit.
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
	p := v.awaitProof(ctx, now, now.Add(limit))
	if p.member == nil {
		return Proof{}, false
	}
	return Proof{Member: p.member.target.ID, Position: p.position, Lags: v.lags()}, true
}

// Newest returns the newest proof of a service that this instance has. An instance
// that is asked acts as a holder.
func (s *Server) Newest(name string) (Proof, bool) {
	doc := s.doc.Load()
	if doc == nil {
		return Proof{}, false
	}
	if _, ok := doc.Services[name]; !ok {
		return Proof{}, false
	}
	v, now := s.service(name), s.now()
	v.actAsHolder(now)
	v.mu.Lock()
	n := len(v.timedSamples)
	if n == 0 || v.primary == "" {
		v.mu.Unlock()
		return Proof{}, false
	}
	last := v.timedSamples[n-1]
	p := Proof{Member: v.primary, Position: last.position, Age: max(0, now.Sub(last.at))}
	v.mu.Unlock()
	p.Lags = v.lags()
	return p, true
}

// lags returns the estimated lag of each member.
func (v *service) lags() map[string]time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make(map[string]time.Duration, len(v.members))
	for id, m := range v.members {
		out[id] = m.estimatedLag()
	}
	return out
}

// ProbedServices lists the services whose members this instance probes itself.
func (s *Server) ProbedServices() []string {
	var out []string
	for _, v := range s.allServices() {
		if !v.usesControlProbes() {
			out = append(out, v.name)
		}
	}
	slices.Sort(out)
	return out
}
