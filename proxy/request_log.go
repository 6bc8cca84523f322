package proxy

import (
	"cmp"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"tamarackcross/config"
	"tamarackcross/errs"
	"tamarackcross/event"
)

var freshnessNames = map[config.Freshness]string{
	config.Latest: "latest", config.Bounded: "bounded", config.Session: "session",
}

// ms returns a duration in milliseconds for a log line.
func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// logEvent begins a log line about the request, with the fields common to all of them.
func (w *operation) logEvent(level zerolog.Level) *zerolog.Event {
	now := w.now()
	e := w.session.srv.log.Request(level).Str(event.ID, w.req.ID).Str(event.Database, w.session.database)
	if w.session.customer != "" {
		e = e.Str(event.Customer, w.session.customer)
	}
	return e.Int(event.Attempts, w.attempts).Float64(event.Elapsed, ms(now.Sub(w.arrived))).Float64(event.TimeLeft, ms(w.deadline().Sub(now)))
}

// logSampled reports whether the log lines of this request are written. Those of
// retried requests always are, the others are sampled.
func (w *operation) logSampled() bool {
	return w.attempts > 0 || w.session.srv.log.Sampled(w.req.ID, w.now())
}

// logRouted logs which member was chosen for the request.
func (w *operation) logRouted(p placement) {
	if !w.logSampled() {
		return
	}
	e := w.logEvent(zerolog.InfoLevel).Str(event.Member, p.member.target.ID).Str(event.Primary, w.svc.primaryID()).
		Str(event.Freshness, freshnessNames[w.route.Freshness]).Float64(event.Lag, ms(p.member.estimatedLag()))
	if p.bound.known {
		e = e.Str(event.Required, p.bound.position.String()).Float64(event.RequiredAge, ms(w.now().Sub(p.bound.at)))
	}
	e.Msg("routed")
}

// recordServed records that a member answered the request.
func (w *operation) recordServed(m *member) {
	st := w.session.srv.stats
	switch {
	case w.writes:
		st.AddWrite()
	case m == w.svc.primaryMember():
		st.AddPrimaryRead()
	default:
		st.AddReplicaRead()
	}
	st.Observe("request", w.now().Sub(w.arrived))
	if w.logSampled() {
		w.logEvent(zerolog.InfoLevel).Str(event.Member, m.target.ID).Str(event.Outcome, event.OutcomeDone).Msg("settled")
	}
}

// logFailed logs that the backend server refused the request or failed to run it.
func (w *operation) logFailed(f *Fault) {
	outcome := event.OutcomeFailed
	if f.Code.notRun() || f.Code == Aborted {
		outcome = event.OutcomeNotRun
	}
	w.logEvent(zerolog.InfoLevel).Str(event.Code, f.Code.String()).Str(event.Outcome, outcome).Msg("settled")
}

// recordRetry records that the request is tried again, and why.
func (w *operation) recordRetry(reason errs.Reason, m *member) {
	w.session.srv.stats.Retried(reason)
	w.logEvent(zerolog.InfoLevel).Str(event.Member, m.target.ID).Str(event.Reason, string(reason)).Msg("retried")
	w.attempts++
}

// reject returns the fault of a request that has not run and is not tried again.
func (w *operation) reject(reason errs.Reason) *Fault {
	w.session.srv.stats.Refused(reason)
	w.logEvent(zerolog.InfoLevel).Str(event.Reason, string(reason)).Str(event.Primary, w.svc.primaryID()).
		Str(event.Freshness, freshnessNames[w.route.Freshness]).Str(event.Code, Busy.String()).Str(event.Outcome, event.OutcomeNotRun).Msg("settled")
	return fault(Busy, fmt.Sprintf("not run: %s, come back in %d ms", reason, cmp.Or(w.retryAfter, retryAfter).Milliseconds()))
}

// inDoubt returns the fault of a request that may have run.
func (w *operation) inDoubt(m *member, err error) *Fault {
	w.session.srv.stats.Refused(errs.ReasonBackendLost)
	w.logEvent(zerolog.WarnLevel).Str(event.Member, m.target.ID).Err(err).
		Str(event.Code, InDoubt.String()).Str(event.Outcome, event.OutcomeUnknown).Msg("settled")
	return fault(InDoubt, "the answer of the backend server was lost")
}
