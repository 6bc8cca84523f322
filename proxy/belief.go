package proxy

import (
	"time"

	"tamarackcross/event"
)

// Trouble is a backend server that does not answer this instance.
type Trouble struct {
	Service string
	ID      string
	For     time.Duration
}

// troubles lists the members that fail.
func (v *service) troubles(now time.Time) []Trouble {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.shared {
		return nil
	}
	var out []Trouble
	for id, m := range v.members {
		if d := m.failingFor(now); d > 0 {
			out = append(out, Trouble{Service: v.name, ID: id, For: d})
		}
	}
	return out
}

// upkeep trims the pools.
func (v *service) upkeep(now time.Time) {
	v.mu.Lock()
	members := make([]*member, 0, len(v.members))
	for _, m := range v.members {
		members = append(members, m)
	}
	v.mu.Unlock()
	for _, m := range members {
		m.trim(now)
		v.gauge(m, now)
		v.logStanding(m, now)
	}
}

// farBehind is the lag from which a member serves hardly any read: the tightest
// bound of the users is 1.5 s.
const farBehind = 1500 * time.Millisecond

// logStanding tells of a change in what is believed of a member.
func (v *service) logStanding(m *member, now time.Time) {
	lag, failing, standing := m.estimatedLag(), m.failingFor(now), "usable"
	v.mu.Lock()
	open, idle := !v.breakers.Usable(m.target.ID, now), v.shared
	v.mu.Unlock()
	switch {
	case idle:
		return
	case failing > 0:
		standing = "failing"
	case open:
		standing = "circuit_open"
	case lag > farBehind:
		standing = "far_behind"
	}
	m.mu.Lock()
	was := m.standing
	m.standing = standing
	m.mu.Unlock()
	if was != standing {
		v.log.Info().Str(event.Member, m.target.ID).Str("was", was).Str("standing", standing).Float64(event.Lag, ms(lag)).
			Float64("failing_ms", ms(failing)).Msg("belief about a member changed")
	}
}

// gauge reports what is known of a member.
func (v *service) gauge(m *member, now time.Time) {
	tags := map[string]string{"service": v.name, "member": m.target.ID}
	inUse, _ := m.lane.full()
	running, _ := m.running.full()
	m.mu.Lock()
	limit, pace, lag, idle := m.quota.limit, m.pace.allowed(), m.lag, len(m.idle)
	m.mu.Unlock()
	primary := 0.0
	if v.primaryID() == m.target.ID {
		primary = 1
	}
	st := v.srv.stats
	st.Gauge("connections_in_use", tags, float64(inUse))
	st.Gauge("connections_idle", tags, float64(idle))
	st.Gauge("connections_quota", tags, float64(limit))
	st.Gauge("statements_running", tags, float64(running))
	st.Gauge("statements_pace", tags, float64(pace))
	st.Gauge("lag_seconds", tags, lag.Seconds())
	st.Gauge("failing_seconds", tags, m.failingFor(now).Seconds())
	st.Gauge("primary", tags, primary)
}
