package ctrl

import (
	"cmp"
	"context"
	"slices"
	"time"

	"tamarackcross/group"
	"tamarackcross/pgctl"
	"tamarackcross/raft"
	"tamarackcross/state"
)

// form gives a database its first term once its members have announced
// themselves. A group that has a primary already keeps it.
func (p *promoter) form(d *supervised, now time.Time) {
	if d.forming || d.members == 0 || now.Sub(d.found) < settleBefore {
		return
	}
	db, ok := p.view.Group(d.name)
	if !ok {
		return
	}
	d.forming = true
	members := slices.Clone(db.Members())
	p.n.wg.Go(func() {
		p.formFrom(d, members)
		_ = p.n.post(p.n.ctx, func(now time.Time) raft.Output {
			d.forming, d.found = false, now
			return raft.Output{}
		})
	})
}

func (p *promoter) formFrom(d *supervised, members []state.Member) {
	statuses := p.statuses(d, members)
	if len(statuses) == 0 || len(statuses) < len(members)/2+1 {
		return
	}
	cmd, err := formation(d.name, members, statuses)
	if err != nil {
		p.n.log.Error().Err(err).Str("database", d.name).Msg("database cannot be formed")
		return
	}
	result, err := p.n.Propose(p.n.ctx, cmd)
	p.n.log.Info().Err(err).Str("database", d.name).Str("primary", cmd.Primary).Interface("result", result).
		Msg("database formed")
}

func (p *promoter) statuses(d *supervised, members []state.Member) []pgctl.Status {
	var out []pgctl.Status
	for _, m := range members {
		var st pgctl.Status
		err := p.call(d, m.Name, func(ctx context.Context, c *pgctl.Conn) (err error) {
			st, err = c.Status(ctx)
			return err
		})
		if err == nil {
			out = append(out, st)
		}
	}
	return out
}

// formation chooses the first primary: the one that a group has, or the member
// that holds most.
func formation(database string, members []state.Member, statuses []pgctl.Status) (state.BootstrapGroup, error) {
	best := slices.MaxFunc(statuses, func(a, b pgctl.Status) int {
		if c := cmp.Compare(leads(a), leads(b)); c != 0 {
			return c
		}
		if c := a.Held.Compare(b.Held); c != 0 {
			return c
		}
		return cmp.Compare(b.Member, a.Member)
	})
	h := best.History
	if best.Role != pgctl.RolePrimary {
		var err error
		start := group.TermStart{Term: max(best.Term, best.FencedTerm) + 1, Offset: best.Held.Offset}
		if h, err = best.History.Append(start); err != nil {
			return state.BootstrapGroup{}, err
		}
	}
	cmd := state.BootstrapGroup{Database: database, Primary: best.Member, History: h}
	for _, m := range members {
		cmd.Voters = append(cmd.Voters, m.Name)
	}
	return cmd, nil
}

// leads ranks the primary of the highest term above everything else.
func leads(s pgctl.Status) uint64 {
	if s.Role != pgctl.RolePrimary {
		return 0
	}
	return s.Term
}

// tidySoon moves the membership of the log forward outside the duties.
func (n *Node) tidySoon(now time.Time) {
	if now.Sub(n.tidied) < joinInterval {
		return
	}
	n.tidied = now
	select {
	case n.inbox <- func(now time.Time) raft.Output { return n.tidy(now) }:
	default:
	}
}
