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

// maybeBootstrap starts the first term of a database once its members have
// announced themselves and their number has not changed for bootstrapDelay. A
// group that already has a primary keeps it.
func (p *promoter) maybeBootstrap(d *supervisedDatabase, now time.Time) {
	if d.bootstrapping || d.memberCount == 0 || now.Sub(d.quietSince) < bootstrapDelay {
		return
	}
	db, ok := p.view.Group(d.name)
	if !ok {
		return
	}
	d.bootstrapping = true
	members := slices.Clone(db.Members())
	p.n.wg.Go(func() {
		p.proposeBootstrap(d, members)
		_ = p.n.enqueue(p.n.ctx, func(now time.Time) raft.Output {
			d.bootstrapping, d.quietSince = false, now
			return raft.Output{}
		})
	})
}

// proposeBootstrap proposes the first primary if a majority of the members
// answers.
func (p *promoter) proposeBootstrap(d *supervisedDatabase, members []state.Member) {
	statuses := p.statuses(d, members)
	if len(statuses) == 0 || len(statuses) < len(members)/2+1 {
		return
	}
	cmd, err := bootstrapCommand(d.name, members, statuses)
	if err != nil {
		p.n.log.Error().Err(err).Str("database", d.name).Msg("first term of the database cannot be started: the history of the chosen primary is invalid")
		return
	}
	result, err := p.n.Propose(p.n.ctx, cmd)
	p.n.log.Info().Err(err).Str("database", d.name).Str("primary", cmd.Primary).Interface("result", result).
		Msg("first term of the database proposed")
}

// statuses returns the statuses of the members that answer.
func (p *promoter) statuses(d *supervisedDatabase, members []state.Member) []pgctl.Status {
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

// bootstrapCommand chooses the first primary: the existing primary of the highest
// term, or else the member with the newest position. The end of a log that a later term
// discarded does not count.
func bootstrapCommand(database string, members []state.Member, statuses []pgctl.Status) (state.BootstrapGroup, error) {
	history := newestHistory(statuses)
	for i := range statuses {
		statuses[i].Held = history.Clip(statuses[i].Held)
	}
	chosen := slices.MaxFunc(statuses, func(a, b pgctl.Status) int {
		if c := cmp.Compare(primaryTerm(a), primaryTerm(b)); c != 0 {
			return c
		}
		if c := a.Held.Compare(b.Held); c != 0 {
			return c
		}
		return cmp.Compare(b.Member, a.Member)
	})
	if chosen.Role == pgctl.RolePrimary {
		history = chosen.History
	} else {
		var err error
		start := group.TermStart{Term: max(highestTerm(statuses), history.Term()) + 1, Offset: chosen.Held.Offset}
		if history, err = history.Append(start); err != nil {
			return state.BootstrapGroup{}, err
		}
	}
	cmd := state.BootstrapGroup{Database: database, Primary: chosen.Member, History: history}
	for _, m := range members {
		cmd.Voters = append(cmd.Voters, m.Name)
	}
	return cmd, nil
}

// newestHistory returns the history that knows the newest term.
func newestHistory(statuses []pgctl.Status) group.History {
	return slices.MaxFunc(statuses, func(a, b pgctl.Status) int { return cmp.Compare(a.History.Term(), b.History.Term()) }).History
}

// highestTerm returns the highest term that a member knows.
func highestTerm(statuses []pgctl.Status) (term uint64) {
	for _, st := range statuses {
		term = max(term, st.Term, st.FencedTerm)
	}
	return term
}

// primaryTerm returns the term of a primary and 0 for any other member.
func primaryTerm(s pgctl.Status) uint64 {
	if s.Role != pgctl.RolePrimary {
		return 0
	}
	return s.Term
}
