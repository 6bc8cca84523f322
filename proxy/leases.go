package proxy

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"tamarackcross/errs"
	"tamarackcross/event"
)

// Leases tells whether this instance may rely on a member as the primary, where a primary goes
// on after the promotion of another member.
type Leases interface {
	// Covers reports whether no member other than the given one can have become the primary of a
	// service before at, and the epoch in which that holds.
	Covers(service, member string, at time.Time) (epoch uint64, ok bool)
	// Await reports whether the answer of a member that arrived at at is confirmed by a lease of
	// the epoch in which the request was sent. It waits for a renewal until limit.
	Await(ctx context.Context, service, member string, epoch uint64, at, limit time.Time) bool
}

// WithLeases sets the leases. Without them, a member that acts as the primary is the primary.
func WithLeases(l Leases) Option { return func(s *Server) { s.leases = l } }

// covers reports whether this instance may rely at at on a member that acts as the primary.
func (v *service) covers(m *member, at time.Time) (epoch uint64, ok bool) {
	if v.srv.leases == nil {
		return 0, true
	}
	return v.srv.leases.Covers(v.name, m.target.ID, at)
}

// requireLease returns an error unless this instance may rely on a member as the primary now.
// It records the epoch, by which the answer is confirmed.
func (w *operation) requireLease(m *member) error {
	epoch, ok := w.svc.covers(m, w.now())
	if !ok {
		return errs.New(errs.NotRun, errs.ReasonNoPrimary, "no lease allows this instance to rely on the primary")
	}
	w.epoch = epoch
	return nil
}

// confirmed reports whether the answer of the primary to a write or a commit, which has just
// arrived, holds: no other member can have become the primary before. If the lease has run
// out, it waits for its renewal within the deadline.
func (w *operation) confirmed(ctx context.Context, m *member) bool {
	l, now := w.session.srv.leases, w.now()
	if l == nil {
		return true
	}
	if epoch, ok := l.Covers(w.svc.name, m.target.ID, now); ok && epoch == w.epoch {
		return true
	}
	ok := l.Await(ctx, w.svc.name, m.target.ID, w.epoch, now, w.deadline())
	w.session.srv.stats.Scope().Counter("answers_awaiting_lease").Inc(1)
	w.logEvent(zerolog.InfoLevel).Str(event.Member, m.target.ID).Uint64("epoch", w.epoch).Bool("confirmed", ok).
		Dur("waited_ms", w.now().Sub(now)).Msg("answer of the primary waited for a lease")
	return ok
}

// directUsePeriod is how long an instance goes on asking for the leases of a service after it
// last relied on its primary itself, although it usually forwards its requests.
const directUsePeriod = 5 * time.Second

// recordDirectUse records that a request needs the primary and is not forwarded.
func (v *service) recordDirectUse() {
	now := v.srv.now()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lastDirectUse = now
}

// DirectServices lists the services whose primary this instance relies on although it does not
// probe their members.
func (s *Server) DirectServices() []string {
	now := s.now()
	var out []string
	for _, v := range s.allServices() {
		v.mu.Lock()
		direct := v.controlProbes && !v.lastDirectUse.IsZero() && now.Sub(v.lastDirectUse) <= directUsePeriod
		v.mu.Unlock()
		if direct {
			out = append(out, v.name)
		}
	}
	return out
}

// RetryProofs probes the members that this instance probes again, since a lease has changed.
func (s *Server) RetryProofs() {
	for _, v := range s.allServices() {
		v.mu.Lock()
		if !v.controlProbes {
			v.requestProofLocked()
		}
		v.mu.Unlock()
	}
}
