package ctrl

import (
	"time"

	"tamarackcross/raft"
	"tamarackcross/state"
)

// instanceTimeout is how long an entry may be silent before its registration is
// removed, so that the backend servers that it owns get another owner. It is
// longer than the time after which an owner without contact to control stops
// granting leases.
const instanceTimeout = 2 * time.Second

// zoneCount counts the registered and the live entries of a zone.
type zoneCount struct{ registered, live int }

// removeSilentEntries removes the registrations of entries that no longer report,
// one at a time. A zone from which less than half of the entries report may be
// partitioned. Its entries keep their registrations and continue as owners of the
// backend servers of the zone.
func (p *promoter) removeSilentEntries(now time.Time) {
	if p.removing || p.leaderSince.IsZero() || now.Sub(p.leaderSince) < instanceTimeout {
		return
	}
	zones := make(map[string]zoneCount)
	var silent []*state.Instance
	for in := range p.view.Instances() {
		if !in.HasRole(state.RoleEntry) {
			continue
		}
		c := zones[in.Zone]
		c.registered++
		last := p.lastReport[in.Name]
		switch {
		case now.Sub(last) < reportTimeout:
			c.live++
		case now.Sub(last) >= instanceTimeout:
			silent = append(silent, in)
		}
		zones[in.Zone] = c
	}
	for _, in := range silent {
		if c := zones[in.Zone]; 2*c.live >= c.registered && c.live > 0 {
			p.removeRegistration(in)
			return
		}
	}
}

// removeRegistration proposes to remove the registration of an entry.
func (p *promoter) removeRegistration(in *state.Instance) {
	p.removing = true
	p.n.log.Warn().Str("removed", in.Name).Str("removed_zone", in.Zone).Msg("entry is silent, registration removed")
	p.n.wg.Go(func() {
		_, _ = p.n.Propose(p.n.ctx, state.RemoveInstance{Instance: in.Name, Incarnation: in.Incarnation})
		_ = p.n.enqueue(p.n.ctx, func(time.Time) raft.Output {
			p.removing = false
			return raft.Output{}
		})
	})
}
