package proxy

import (
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

// ms renders a duration for a log line.
func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// line begins a log line about the request, with what every such line holds.
func (w *work) line(level zerolog.Level) *zerolog.Event {
	now := w.now()
	return w.session.srv.log.WithLevel(level).Str(event.ID, w.req.ID).Str(event.Database, w.session.database).
		Int(event.Try, w.tries).Float64(event.After, ms(now.Sub(w.arrived))).Float64(event.Left, ms(w.end().Sub(now)))
}

// sampled reports whether lines about a request without trouble are written.
func (w *work) sampled() bool {
	return w.tries > 0 || w.session.srv.log.Sampled(w.req.ID, w.now())
}

// routed tells which member was chosen, and from what.
func (w *work) routed(p placement) {
	if !w.sampled() {
		return
	}
	e := w.line(zerolog.InfoLevel).Str(event.Member, p.member.target.ID).Str(event.Primary, w.svc.primaryID()).
		Str(event.Freshness, freshnessNames[w.route.Freshness]).Float64(event.Lag, ms(p.member.estimatedLag()))
	if p.need.known {
		e = e.Str(event.Need, p.need.position.String()).Float64(event.NeedAge, ms(w.now().Sub(p.need.at)))
	}
	e.Msg("routed")
}

// served tells that the request was answered.
func (w *work) served(m *member) {
	st := w.session.srv.stats
	switch {
	case w.writes:
		st.Write()
	case m == w.svc.primaryMember():
		st.ReadPrimary()
	default:
		st.ReadReplica()
	}
	st.Observe("request", w.now().Sub(w.arrived))
	if w.sampled() {
		w.line(zerolog.InfoLevel).Str(event.Member, m.target.ID).Str(event.Outcome, event.Done).Msg("settled")
	}
}

// failed tells that the backend server refused or failed the request.
func (w *work) failed(f *Fault) {
	outcome := event.Failed
	if f.Code.notRun() || f.Code == Aborted {
		outcome = event.NotRun
	}
	w.line(zerolog.InfoLevel).Str(event.Code, f.Code.String()).Str(event.Outcome, outcome).Msg("settled")
}

// retry counts another attempt.
func (w *work) retry(reason errs.Reason, m *member) {
	w.session.srv.stats.Retried(reason)
	w.line(zerolog.InfoLevel).Str(event.Member, m.target.ID).Str(event.Reason, string(reason)).Msg("retried")
	w.tries++
}

// refused ends a request that has not run.
func (w *work) refused(reason errs.Reason) *Fault {
	w.session.srv.stats.Refused(reason)
	w.line(zerolog.InfoLevel).Str(event.Reason, string(reason)).Str(event.Primary, w.svc.primaryID()).
		Str(event.Freshness, freshnessNames[w.route.Freshness]).Str(event.Code, Busy.String()).Str(event.Outcome, event.NotRun).Msg("settled")
	return fault(Busy, fmt.Sprintf("not run: %s, come back in %d ms", reason, comeBack.Milliseconds()))
}

// doubt ends a request whose outcome is not known.
func (w *work) doubt(m *member, err error) *Fault {
	w.session.srv.stats.Refused(errs.ReasonBackendLost)
	w.line(zerolog.WarnLevel).Str(event.Member, m.target.ID).Err(err).
		Str(event.Code, InDoubt.String()).Str(event.Outcome, event.InDoubt).Msg("settled")
	return fault(InDoubt, "the answer of the backend server was lost")
}
