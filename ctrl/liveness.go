package ctrl

import (
	"context"
	"errors"
	"syscall"
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

const (
	// stopCheckInterval is the time between two checks whether a silent entry has stopped.
	stopCheckInterval = time.Second
	// stopCheckTimeout bounds such a check. A machine that is behind a partition does not answer.
	stopCheckTimeout = 300 * time.Millisecond
)

// removeSilentEntries removes the registrations of entries that no longer report,
// one at a time. A zone from which less than half of the entries report may be
// partitioned. Its entries keep their registrations and continue as owners of the
// backend servers of the zone, unless their machines tell that they have stopped.
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
			p.removeRegistration(in, func() bool { return true })
			return
		}
	}
	for _, in := range silent {
		if len(in.Addresses) > 0 && now.Sub(p.stopChecks[in.Name]) >= stopCheckInterval {
			p.stopChecks[in.Name] = now
			p.removeRegistration(in, func() bool { return p.n.refusesConnections(in.Addresses[0]) })
			return
		}
	}
}

// removeRegistration proposes to remove the registration of an entry, if it has stopped.
func (p *promoter) removeRegistration(in *state.Instance, stopped func() bool) {
	p.removing = true
	p.n.wg.Go(func() {
		if stopped() {
			p.n.log.Warn().Str("removed", in.Name).Str("removed_zone", in.Zone).Msg("entry is silent, registration removed")
			_, _ = p.n.Propose(p.n.ctx, state.RemoveInstance{Instance: in.Name, Incarnation: in.Incarnation})
		}
		_ = p.n.enqueue(p.n.ctx, func(time.Time) raft.Output {
			p.removing = false
			return raft.Output{}
		})
	})
}

// refusesConnections reports whether a machine answers that no process listens at one of its
// addresses. An instance listens for others as long as it runs.
func (n *Node) refusesConnections(addr string) bool {
	ctx, stop := context.WithTimeout(n.ctx, stopCheckTimeout)
	defer stop()
	nc, err := n.dial(ctx, addr)
	if err == nil {
		_ = nc.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
