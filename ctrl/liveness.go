package ctrl

import (
	"time"

	"tamarackcross/raft"
	"tamarackcross/state"
)

// instanceTimeout is how long an entry may be silent before its registration is
// removed, so that the backend servers that it owns get another owner. It is
// longer than the time after which an owner without contact stops granting.
const instanceTimeout = 2 * time.Second

// zoneCount counts the entries of a zone.
type zoneCount struct{ registered, live int }

// prune removes the registrations of entries that went silent. A zone from
// which less than half of the entries report may be cut off: its entries keep
// their registrations and go on as owners of the backend servers of the zone.
func (p *promoter) prune(now time.Time) {
	if p.removing || p.since.IsZero() || now.Sub(p.since) < instanceTimeout {
		return
	}
	zones := make(map[string]zoneCount)
	var silent []*state.Instance
	for in := range p.view.Instances() {
		if !in.Has(state.RoleEntry) {
			continue
		}
		c := zones[in.Zone]
		c.registered++
		heard := p.heard[in.Name]
		switch {
		case now.Sub(heard) < liveFor:
			c.live++
		case now.Sub(heard) >= instanceTimeout:
			silent = append(silent, in)
		}
		zones[in.Zone] = c
	}
	for _, in := range silent {
		if c := zones[in.Zone]; 2*c.live >= c.registered && c.live > 0 {
			p.remove(in)
			return
		}
	}
}

// remove takes one registration out of the log.
func (p *promoter) remove(in *state.Instance) {
	p.removing = true
	p.n.log.Warn().Str("removed", in.Name).Str("removed_zone", in.Zone).Msg("entry is silent, registration removed")
	p.n.wg.Go(func() {
		_, _ = p.n.Propose(p.n.ctx, state.RemoveInstance{Instance: in.Name, Incarnation: in.Incarnation})
		_ = p.n.post(p.n.ctx, func(time.Time) raft.Output {
			p.removing = false
			return raft.Output{}
		})
	})
}
