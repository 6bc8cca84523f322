package host

import (
	"context"
	"slices"
	"time"

	"tamarackcross/config"
	"tamarackcross/duty"
	"tamarackcross/ledger"
	"tamarackcross/roster"
)

// The roster is in the memory of control alone, and empty after all control instances were started again. Where commits
// wait for replicas, the control log lists the members too.

// recordInterval is the time between attempts to record members that the roster lists and the log does not.
const recordInterval = 500 * time.Millisecond

// knownMember is a backend server as the roster or the control log lists it.
type knownMember struct {
	entry    roster.Entry
	standing duty.Standing
}

// members returns the servers of a service that the roster lists, those that wait to be admitted and, if synced is set,
// those that the control log lists.
func (s *supervision) members(service string, synced bool) []knownMember {
	var out []knownMember
	for _, e := range s.c.admission.withWaiting(service, s.c.roster.Members(service), s.c.deps.Now()) {
		out = append(out, knownMember{entry: e})
	}
	if !synced {
		return out
	}
	for _, m := range s.c.ledger.Members(service) {
		i := slices.IndexFunc(out, func(k knownMember) bool { return k.entry.ID == m.ID })
		switch {
		case i >= 0:
			if m.State == ledger.Forgotten && m.Born == out[i].entry.Born {
				out[i].standing = duty.Forgotten
			}
		case m.State != ledger.Forgotten:
			k := knownMember{entry: roster.Entry{Service: service, ID: m.ID, Born: m.Born, Addr: m.Addr}}
			if m.State == ledger.Ended || s.c.roster.HasLeft(k.entry.Incarnation()) {
				k.standing = duty.Ended
			}
			out = append(out, k)
		}
	}
	return out
}

// recordMembers records the members of services whose commits wait for replicas as the roster knows them, if the log
// does not: those that were there before the log kept them, and those that have left.
func (s *supervision) recordMembers(ctx context.Context, doc *config.Document, now time.Time) {
	if now.Sub(s.recorded) < recordInterval {
		return
	}
	s.recorded = now
	for _, service := range s.c.ledger.ServicesWithMembers() {
		if doc.Services[service].SyncReplicas == 0 {
			s.wg.Go(func() { s.record(ctx, service, ledger.DropMembers{Service: service}) })
		}
	}
	for service, cfg := range doc.Services {
		if cfg.SyncReplicas == 0 {
			continue
		}
		if changed := s.unrecorded(service); len(changed) > 0 {
			s.wg.Go(func() { s.record(ctx, service, ledger.RecordMembers{Service: service, Members: changed}) })
		}
	}
}

// unrecorded returns the members of a service that the log does not list as they are.
func (s *supervision) unrecorded(service string) (changed []ledger.Member) {
	recorded := s.c.ledger.Members(service)
	for _, e := range s.c.roster.Members(service) {
		i := slices.IndexFunc(recorded, func(m ledger.Member) bool { return m.ID == e.ID })
		if i < 0 || recorded[i].Born < e.Born || recorded[i].Born == e.Born && recorded[i].Addr != e.Addr {
			changed = append(changed, ledger.Member{ID: e.ID, Born: e.Born, Addr: e.Addr})
		}
	}
	for _, m := range recorded {
		if m.State == ledger.Counted && s.c.roster.HasLeft(roster.Incarnation{ID: m.ID, Born: m.Born}) {
			m.State = ledger.Ended
			changed = append(changed, m)
		}
	}
	return changed
}

// recordStates records a new state of recorded members.
func (s *supervision) recordStates(ctx context.Context, service string, state ledger.MemberState, ids ...string) {
	var changed []ledger.Member
	for _, m := range s.c.ledger.Members(service) {
		if slices.Contains(ids, m.ID) && m.State != state {
			m.State = state
			changed = append(changed, m)
		}
	}
	if len(changed) > 0 {
		s.record(ctx, service, ledger.RecordMembers{Service: service, Members: changed})
	}
}
