package proxy

import (
	"context"
	"slices"
	"time"

	"tamarackcross/config"
	"tamarackcross/group"
)

// Where backend servers accept too few connections for each instance to probe them,
// some instances of each zone probe, which hold the connections. The others learn the
// newest proof with each answer to a request that they forward. An instance that finds
// no holder asks the control instances, when a request needs a proof.

// Proof is a proof of primary with the replication lags, as one instance reports it
// to another.
type Proof struct {
	Member   string // ID of the primary
	Position group.Position
	Lags     map[string]time.Duration // estimated, by member
	Age      time.Duration            // at the time of the answer; 0 if the probe began with the request
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
	retry := time.NewTimer(0)
	defer retry.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.wake:
		case <-retry.C:
		}
		if f.svc.awaitsControlProof() && !f.fetch(ctx) {
			retry.Reset(proofRetryInterval)
		}
	}
}

// awaitsControlProof reports whether a request waits for a proof that the control instances
// have to obtain.
func (v *service) awaitsControlProof() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.controlProbes && len(v.proofWaiters) > 0
}

// fetch requests a proof that begins now, records it and reports whether one arrived.
func (f *proofFetcher) fetch(ctx context.Context) bool {
	ctx, stop := context.WithTimeout(ctx, proofFetchTimeout)
	defer stop()
	begin := f.svc.srv.now()
	p, err := f.svc.srv.prover.Prove(ctx, f.svc.name)
	return err == nil && f.svc.recordProofOf(p, begin)
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
