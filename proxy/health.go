package proxy

import (
	"time"

	"tamarackcross/event"
	"tamarackcross/stats"
)

// UnresponsiveMember is a backend server that does not answer the probes of this
// instance, with the time since the first unanswered probe.
type UnresponsiveMember struct {
	Service string
	ID      string
	For     time.Duration
}

// unresponsiveMembers returns the members that do not answer probes, unless the control
// instances probe for this instance.
func (v *service) unresponsiveMembers(now time.Time) []UnresponsiveMember {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.controlProbes {
		return nil
	}
	var out []UnresponsiveMember
	for id, m := range v.members {
		if d := m.failingFor(now); d > 0 {
			out = append(out, UnresponsiveMember{Service: v.name, ID: id, For: d})
		}
	}
	return out
}

// maintain closes expired connections and logs changes of the status of members.
func (v *service) maintain(now time.Time) {
	v.forgetEndedProbers()
	v.use.forget(now)
	for _, m := range v.allMembers() {
		m.closeExpired(now)
		v.logStatusChange(m, now)
	}
}

func (v *service) allMembers() []*member {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make([]*member, 0, len(v.members))
	for _, m := range v.members {
		out = append(out, m)
	}
	return out
}

// farBehindLag is the lag from which a member serves hardly any read: the tightest
// bound on the age of reads of the users is 1.5 s.
const farBehindLag = 1500 * time.Millisecond

// logStatusChange logs the status of a member when it has changed: usable, failing,
// circuit breaker open, or far behind the primary.
func (v *service) logStatusChange(m *member, now time.Time) {
	lag, failing, status := m.estimatedLag(), m.failingFor(now), "usable"
	v.mu.Lock()
	open, controlProbes := !v.breakers.Usable(m.target.ID, now), v.controlProbes
	v.mu.Unlock()
	switch {
	case controlProbes:
		return
	case failing > 0:
		status = "failing"
	case open:
		status = "circuit_open"
	case lag > farBehindLag:
		status = "far_behind"
	}
	m.mu.Lock()
	was := m.loggedStatus
	m.loggedStatus = status
	m.mu.Unlock()
	if was != status {
		v.log.Info().Str(event.Member, m.target.ID).Str("was", was).Str("standing", status).Float64(event.Lag, ms(lag)).
			Float64("failing_ms", ms(failing)).Msg("belief about a member changed")
	}
}

// setGauges sets the gauges of the instance.
func (s *Server) setGauges(set stats.SetGauge) {
	isolated := 0.0
	if s.isolated.Load() {
		isolated = 1
	}
	set("config_version", nil, float64(s.Version()))
	set("isolated", nil, isolated)
	set("instances", nil, float64(s.instances.Load()))
	set("log_lines_dropped", nil, float64(s.log.Dropped()))
	now := s.now()
	for _, v := range s.allServices() {
		v.use.setGauges(v.name, set)
		for _, m := range v.allMembers() {
			v.setGauges(m, set, now)
		}
	}
}

// setGauges sets the gauges of a member.
func (v *service) setGauges(m *member, set stats.SetGauge, now time.Time) {
	tags := map[string]string{"service": v.name, "member": m.target.ID}
	inUse, _ := m.connQueue.usage()
	running, _ := m.statementQueue.usage()
	m.mu.Lock()
	quota, concurrency, lag, idle := m.quota.limit, m.concurrency.allowed(), m.lag, len(m.idle)
	m.mu.Unlock()
	primary := 0.0
	if v.primaryID() == m.target.ID {
		primary = 1
	}
	set("connections_in_use", tags, float64(inUse))
	set("connections_idle", tags, float64(idle))
	set("connections_quota", tags, float64(quota))
	set("statements_running", tags, float64(running))
	set("statements_pace", tags, float64(concurrency))
	set("lag_seconds", tags, lag.Seconds())
	set("failing_seconds", tags, m.failingFor(now).Seconds())
	set("primary", tags, primary)
}
