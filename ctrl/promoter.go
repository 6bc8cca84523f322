package ctrl

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"tamarackcross/ctlpb"
	"tamarackcross/group"
	"tamarackcross/pgctl"
	"tamarackcross/promo"
	"tamarackcross/raft"
	"tamarackcross/state"
)

const (
	groupCallLimit = 400 * time.Millisecond // for one group function of a backend server
	liveFor        = time.Second            // an entry that reports nothing for longer is not counted
	settleBefore   = 500 * time.Millisecond // a new database is left alone until its members have come
	pollInterval   = 500 * time.Millisecond // between looks at members that no entry reports
)

// errOtherStore refuses to promote a member that lost its data: it would give
// out positions of the term a second time.
var errOtherStore = eris.New("member has another store than the one registered")

// promoter runs the failure detection and promotion of every database while
// this member leads.
type promoter struct {
	n         *Node
	databases map[string]*supervised
	entries   map[string]liveEntry
	heard     map[string]time.Time // last report of each entry
	since     time.Time            // first tick of this leadership
	removing  bool
	view      *state.View
	next      time.Time
}

// liveEntry is an entry that reports.
type liveEntry struct {
	zone    string
	heard   time.Time
	full    bool // members is complete
	members map[observed]*ctlpb.Observation
}

// observed names a member that an entry reports on.
type observed struct{ database, member string }

// supervised is one database under supervision.
type supervised struct {
	name      string
	machine   *promo.Machine
	reported  map[string]time.Time // last report about each member
	positions map[string]promo.Report
	polled    time.Time
	found     time.Time // when an unformed database was last seen to change
	members   int
	forming   bool
	catching  map[string]bool
}

func newPromoter(n *Node) duties {
	p := &promoter{n: n}
	p.Reset()
	return p
}

// Reset forgets everything that only a leader knows.
func (p *promoter) Reset() {
	if p.databases != nil && p.since.IsZero() {
		return
	}
	p.databases = make(map[string]*supervised)
	p.entries = make(map[string]liveEntry)
	p.heard = make(map[string]time.Time)
	p.since = time.Time{}
	p.view = nil
	p.next = time.Time{}
}

// Next returns when Tick is useful next.
func (p *promoter) Next(now time.Time) time.Time {
	next := now.Add(promo.DefaultTickInterval)
	for _, d := range p.databases {
		if d.machine == nil {
			continue
		}
		if t := d.machine.Next(now); t.Before(next) {
			next = t
		}
	}
	return next
}

// Tick lets every database move on.
func (p *promoter) Tick(now time.Time) {
	if p.since.IsZero() {
		p.since = now
	}
	changed := p.refresh(now)
	if now.Before(p.next) && !changed {
		return
	}
	p.next = p.Next(now)
	live := p.live(now)
	for _, d := range p.databases {
		if d.machine == nil {
			p.form(d, now)
			continue
		}
		p.step(d, promo.LiveEntries{Zones: live}, now)
		p.step(d, promo.Tick{}, now)
		p.poll(d, now)
	}
	p.prune(now)
	p.n.tidySoon(now)
}

// refresh takes in what the log has changed.
func (p *promoter) refresh(now time.Time) bool {
	view := p.n.machine.View()
	if view == p.view {
		return false
	}
	p.view = view
	for db := range view.Databases() {
		d := p.databases[db.Name()]
		if d == nil {
			d = &supervised{
				name: db.Name(), found: now, reported: make(map[string]time.Time),
				positions: make(map[string]promo.Report), catching: make(map[string]bool),
			}
			p.databases[db.Name()] = d
		}
		p.refreshDatabase(d, db, now)
	}
	return true
}

func (p *promoter) refreshDatabase(d *supervised, db *state.Database, now time.Time) {
	if !db.Bootstrapped() {
		if len(db.Members()) != d.members {
			d.members, d.found = len(db.Members()), now
		}
		return
	}
	if d.machine == nil {
		d.machine = promo.New(loggedOf(db), now)
		return
	}
	p.step(d, promo.Members{List: membersOf(db)}, now)
}

func loggedOf(db *state.Database) promo.LoggedState {
	out := promo.LoggedState{Term: db.Term(), Primary: db.Primary(), History: db.History(), Members: membersOf(db)}
	if db.Promoting() {
		out.Pending = db.BegunTerm()
	}
	return out
}

func membersOf(db *state.Database) []promo.Member {
	var out []promo.Member
	for _, m := range db.Members() {
		if m.Gone && !m.Voter {
			continue
		}
		out = append(out, promo.Member{
			Name: m.Name, Zone: m.Zone, Address: m.Address, Store: m.VoterStore, Voting: m.Voter, Leaving: m.Leaving,
		})
	}
	return out
}

// live counts the entries of each zone that report.
func (p *promoter) live(now time.Time) []promo.ZoneEntries {
	counts := make(map[string]int)
	for name, e := range p.entries {
		if now.Sub(e.heard) > liveFor {
			delete(p.entries, name)
			continue
		}
		counts[e.zone]++
	}
	out := make([]promo.ZoneEntries, 0, len(counts))
	for zone, n := range counts {
		out = append(out, promo.ZoneEntries{Zone: zone, Count: n})
	}
	return out
}

// observe takes in a report of an entry. Members that it leaves out are as in
// the last full one. It returns false when there is none.
func (p *promoter) observe(in *ctlpb.ObserveRequest, now time.Time) bool {
	name := in.GetInstance()
	p.heard[name] = now
	e := p.entries[name]
	if in.GetFull() || e.members == nil {
		e.members = make(map[observed]*ctlpb.Observation, len(in.GetObservations()))
		e.full = in.GetFull()
	}
	e.zone, e.heard = in.GetZone(), now
	p.entries[name] = e
	fresh := make(map[observed]bool, len(in.GetObservations()))
	for _, o := range in.GetObservations() {
		k := observed{o.GetDatabase(), o.GetMember()}
		e.members[k], fresh[k] = o, true
		p.report(in, o, now.Add(-time.Duration(o.GetAgeMs())*time.Millisecond), now)
	}
	for k, o := range e.members {
		if !fresh[k] {
			p.report(in, o, now, now)
		}
	}
	return e.full
}

// report hands one observation to the machine of its database.
func (p *promoter) report(in *ctlpb.ObserveRequest, o *ctlpb.Observation, at, now time.Time) {
	d := p.databases[o.GetDatabase()]
	if d == nil || d.machine == nil {
		return
	}
	r := promo.Report{
		Instance: in.GetInstance(),
		Zone:     in.GetZone(),
		Member:   o.GetMember(),
		At:       at,
		Health:   healthOf(o),
		Term:     o.GetTerm(),
		Position: group.Position{Term: o.GetPositionTerm(), Offset: o.GetPositionOffset()},
	}
	d.note(r)
	p.step(d, r, now)
}

func healthOf(o *ctlpb.Observation) promo.Health {
	switch {
	case !o.GetReachable():
		return promo.Unreachable
	case o.GetStalled():
		return promo.Stalled
	default:
		return promo.Reachable
	}
}

func (d *supervised) note(r promo.Report) {
	if r.Health == promo.Reachable {
		d.reported[r.Member] = r.At
		d.positions[r.Member] = r
	}
}

// step hands an event to the machine of a database and acts on the answer.
func (p *promoter) step(d *supervised, e promo.Event, now time.Time) {
	for _, a := range d.machine.Step(e, now) {
		p.act(d, a)
	}
}

// later hands an event to the machine from another goroutine. It is dropped if
// the leadership was lost in the meantime.
func (p *promoter) later(d *supervised, e promo.Event) {
	_ = p.n.post(p.n.ctx, func(now time.Time) raft.Output {
		if p.databases[d.name] == d && d.machine != nil {
			p.step(d, e, now)
		}
		return raft.Output{}
	})
}

func (p *promoter) act(d *supervised, a promo.Action) {
	log := p.n.log.With().Str("database", d.name).Logger()
	switch a := a.(type) {
	case promo.ProposeBegin:
		log.Warn().Uint64("term", a.Term).Msg("primary is lost, new term begins")
		p.n.wg.Go(func() { p.proposeBegin(d, a) })
	case promo.ProposeComplete:
		log.Warn().Uint64("term", a.Start.Term).Str("primary", a.Primary).Msg("new primary chosen")
		p.n.wg.Go(func() { p.proposeComplete(d, a) })
	case promo.Fence:
		p.n.wg.Go(func() { p.later(d, p.fence(d, a)) })
	case promo.Promote:
		p.n.wg.Go(func() { p.later(d, p.promote(d, a)) })
	case promo.Follow:
		p.n.wg.Go(func() { p.later(d, p.follow(d, a)) })
	case promo.Confirm:
		p.n.wg.Go(func() { p.confirm(d) })
	case promo.SwitchDropped:
		log.Warn().Str("target", a.To).Msg("planned change of primary was given up")
	}
}

func (p *promoter) proposeBegin(d *supervised, a promo.ProposeBegin) {
	db, ok := p.n.machine.View().Group(d.name)
	if !ok {
		return
	}
	result, err := p.n.Propose(p.n.ctx, state.BeginPromotion{Database: d.name, ExpectedTerm: db.BegunTerm(), NewTerm: a.Term})
	if err != nil {
		return
	}
	if _, ok := result.(state.Done); ok {
		p.later(d, promo.Begun(a))
	}
}

func (p *promoter) proposeComplete(d *supervised, a promo.ProposeComplete) {
	result, err := p.n.Propose(p.n.ctx, state.CompletePromotion{
		Database: d.name, Term: a.Start.Term, Primary: a.Primary, StartOffset: a.Start.Offset,
	})
	if err != nil {
		return
	}
	if _, ok := result.(state.Done); !ok {
		return
	}
	if db, ok := p.n.machine.View().Group(d.name); ok {
		p.later(d, promo.Completed{Term: a.Start.Term, Primary: a.Primary, History: db.History()})
	}
}

func (p *promoter) confirm(d *supervised) {
	if err := p.n.Confirm(p.n.ctx); err == nil {
		p.later(d, promo.Confirmed{})
	}
}

// call opens a control connection to a member and runs f on it.
func (p *promoter) call(d *supervised, member string, f func(context.Context, *pgctl.Conn) error) error {
	db, ok := p.n.machine.View().Group(d.name)
	if !ok {
		return pgctl.ErrNoAnswer
	}
	m, ok := db.Member(member)
	if !ok {
		return pgctl.ErrNoAnswer
	}
	ctx, stop := context.WithTimeout(p.n.ctx, groupCallLimit)
	defer stop()
	c, err := pgctl.Dial(ctx, pgctl.DialFunc(p.n.dial), pgctl.Target{Addr: m.Address, Database: d.name, Password: p.n.password})
	if err != nil {
		return err
	}
	defer c.Close()
	return f(ctx, c)
}

func (p *promoter) fence(d *supervised, a promo.Fence) promo.FenceResult {
	r := promo.FenceResult{Member: a.Member, Term: a.Term}
	r.Err = p.call(d, a.Member, func(ctx context.Context, c *pgctl.Conn) error {
		held, err := c.Fence(ctx, a.Term)
		st, statusErr := c.Status(ctx)
		if statusErr != nil {
			return statusErr
		}
		r.Store, r.HighestTerm, r.Position = st.Store, max(st.Term, st.FencedTerm), held
		return err
	})
	return r
}

func (p *promoter) promote(d *supervised, a promo.Promote) promo.PromoteResult {
	r := promo.PromoteResult{Member: a.Member, Term: a.Term}
	r.Err = p.call(d, a.Member, func(ctx context.Context, c *pgctl.Conn) error {
		st, err := c.Status(ctx)
		if err != nil {
			return err
		}
		r.HighestTerm = max(st.Term, st.FencedTerm)
		if st.Store != a.Store {
			return errOtherStore
		}
		return c.Promote(ctx, a.Term, a.History)
	})
	return r
}

func (p *promoter) follow(d *supervised, a promo.Follow) promo.FollowResult {
	r := promo.FollowResult{Member: a.Member, Term: a.Term}
	r.Err = p.call(d, a.Member, func(ctx context.Context, c *pgctl.Conn) error {
		discarded, err := c.Follow(ctx, a.Term, a.Address)
		if discarded != "" {
			p.n.log.Warn().Str("database", d.name).Str("member", a.Member).Str("positions", discarded).
				Msg("member discarded a tail that was never acknowledged")
		}
		return err
	})
	return r
}

// poll asks members that no entry reports for their status, so that a former
// primary that returns is made to follow.
func (p *promoter) poll(d *supervised, now time.Time) {
	if now.Sub(d.polled) < pollInterval {
		return
	}
	d.polled = now
	db, ok := p.view.Group(d.name)
	if !ok {
		return
	}
	for _, m := range db.Members() {
		if m.Name != db.Primary() && now.Sub(d.reported[m.Name]) > pollInterval {
			name := m.Name
			p.n.wg.Go(func() { p.look(d, name) })
		}
	}
	p.catchUp(d, db)
}

// look reports on one member from the control instance itself.
func (p *promoter) look(d *supervised, member string) {
	var st pgctl.Status
	err := p.call(d, member, func(ctx context.Context, c *pgctl.Conn) (err error) {
		st, err = c.Status(ctx)
		return err
	})
	if err != nil {
		return
	}
	p.later(d, promo.Report{
		Instance: p.n.name, Zone: p.n.zone, Member: member, At: time.Now(), Health: promo.Reachable,
		Term: st.Term, Position: st.Held, NotReplicating: st.Role == pgctl.RoleFenced,
	})
}

// catchUp lets members count in majorities once they hold what the primary
// held at the last report.
func (p *promoter) catchUp(d *supervised, db *state.Database) {
	primary, ok := d.positions[db.Primary()]
	if !ok {
		return
	}
	for _, m := range db.Members() {
		if m.Gone || d.catching[m.Name] || m.Voter && m.VoterStore == m.Store {
			continue
		}
		r, ok := d.positions[m.Name]
		if !ok || r.Position.Less(primary.Position) {
			continue
		}
		d.catching[m.Name] = true
		cmd := state.MarkCaughtUp{Database: d.name, Member: m.Name, Store: m.Store, Position: r.Position}
		p.n.wg.Go(func() {
			_, _ = p.n.Propose(p.n.ctx, cmd)
			_ = p.n.post(p.n.ctx, func(time.Time) raft.Output {
				delete(d.catching, cmd.Member)
				return raft.Output{}
			})
		})
	}
}
