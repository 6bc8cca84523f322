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
	groupCallTimeout = 400 * time.Millisecond // of one control connection to a backend server and the calls on it
	reportTimeout    = time.Second            // an entry without a report for longer is not live
	bootstrapDelay   = 500 * time.Millisecond // time for the other members of a new database to announce themselves
	pollInterval     = 500 * time.Millisecond // between status polls of members that no entry reports as reachable
)

// errStoreMismatch rejects the promotion of a member that lost its data. It would
// assign positions of the term a second time.
var errStoreMismatch = eris.New("store of the member is not the registered one")

// promoter runs the failure detection and failover of all databases while this
// member is the leader.
type promoter struct {
	n           *Node
	databases   map[string]*supervisedDatabase
	entries     map[string]liveEntry
	lastReport  map[string]time.Time // time of the last report by entry
	leaderSince time.Time            // first Tick as leader; zero if not the leader
	removing    bool                 // a removal of a registration is in progress, or a check before it
	stopChecks  map[string]time.Time // time of the last check whether a silent entry has stopped
	view        *state.View
	nextTick    time.Time
}

// liveEntry is an entry that has reported within reportTimeout.
type liveEntry struct {
	zone       string
	lastReport time.Time
	complete   bool // the last full report is contained in members
	members    map[memberKey]*ctlpb.Observation
}

// memberKey identifies a member of a database.
type memberKey struct{ database, member string }

// supervisedDatabase is the supervision state of one database.
type supervisedDatabase struct {
	name            string
	machine         *promo.Machine
	lastReachable   map[string]time.Time // time of the last report of each member as reachable
	positions       map[string]promo.Report
	lastPoll        time.Time
	quietSince      time.Time // when memberCount last changed or a bootstrap attempt ended
	memberCount     int
	bootstrapping   bool
	markingCaughtUp map[string]bool
}

func newPromoter(n *Node) leaderDuties {
	p := &promoter{n: n}
	p.Reset()
	return p
}

// Reset discards the state that only a leader keeps.
func (p *promoter) Reset() {
	if p.databases != nil && p.leaderSince.IsZero() {
		return
	}
	p.databases = make(map[string]*supervisedDatabase)
	p.entries = make(map[string]liveEntry)
	p.lastReport = make(map[string]time.Time)
	p.stopChecks = make(map[string]time.Time)
	p.leaderSince = time.Time{}
	p.view = nil
	p.nextTick = time.Time{}
}

// NextTick returns when Tick must be called next.
func (p *promoter) NextTick(now time.Time) time.Time {
	next := now.Add(promo.DefaultTickInterval)
	for _, d := range p.databases {
		if d.machine == nil {
			continue
		}
		if t := d.machine.NextTick(now); t.Before(next) {
			next = t
		}
	}
	return next
}

// Tick does what is due for every database.
func (p *promoter) Tick(now time.Time) {
	if p.leaderSince.IsZero() {
		p.leaderSince = now
	}
	changed := p.refresh(now)
	if now.Before(p.nextTick) && !changed {
		return
	}
	p.nextTick = p.NextTick(now)
	zones := p.countLiveEntries(now)
	for _, d := range p.databases {
		if d.machine == nil {
			p.maybeBootstrap(d, now)
			continue
		}
		p.step(d, promo.LiveEntries{Zones: zones}, now)
		p.step(d, promo.Tick{}, now)
		p.poll(d, now)
	}
	p.removeSilentEntries(now)
	p.n.scheduleMembershipStep(now)
}

// refresh passes changes of the state machine to the databases. It reports whether
// there were any.
func (p *promoter) refresh(now time.Time) bool {
	view := p.n.machine.View()
	if view == p.view {
		return false
	}
	p.view = view
	for db := range view.Databases() {
		d := p.databases[db.Name()]
		if d == nil {
			d = &supervisedDatabase{
				name: db.Name(), quietSince: now, lastReachable: make(map[string]time.Time),
				positions: make(map[string]promo.Report), markingCaughtUp: make(map[string]bool),
			}
			p.databases[db.Name()] = d
		}
		p.refreshDatabase(d, db, now)
	}
	return true
}

func (p *promoter) refreshDatabase(d *supervisedDatabase, db *state.Database, now time.Time) {
	if !db.Bootstrapped() {
		if len(db.Members()) != d.memberCount {
			d.memberCount, d.quietSince = len(db.Members()), now
		}
		return
	}
	if d.machine == nil {
		d.machine = promo.New(loggedState(db), now)
		return
	}
	p.step(d, promo.Members{List: promoMembers(db)}, now)
}

// loggedState returns what the log records about the promotion of a database.
func loggedState(db *state.Database) promo.LoggedState {
	out := promo.LoggedState{Term: db.Term(), Primary: db.Primary(), History: db.History(), Members: promoMembers(db)}
	if db.Promoting() {
		out.Pending = db.BegunTerm()
	}
	return out
}

// promoMembers returns the members of a database that are still present or vote.
func promoMembers(db *state.Database) []promo.Member {
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

// countLiveEntries returns the number of live entries by zone.
func (p *promoter) countLiveEntries(now time.Time) []promo.ZoneEntries {
	counts := make(map[string]int)
	for name, e := range p.entries {
		if now.Sub(e.lastReport) > reportTimeout {
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

// observe handles the report of an entry. Members that the report omits are taken
// to be as last reported. It returns false if the entry has sent no full report yet.
func (p *promoter) observe(in *ctlpb.ObserveRequest, now time.Time) bool {
	name := in.GetInstance()
	p.lastReport[name] = now
	e := p.entries[name]
	if in.GetFull() || e.members == nil {
		e.members = make(map[memberKey]*ctlpb.Observation, len(in.GetObservations()))
		e.complete = in.GetFull()
	}
	e.zone, e.lastReport = in.GetZone(), now
	p.entries[name] = e
	listed := make(map[memberKey]bool, len(in.GetObservations()))
	for _, o := range in.GetObservations() {
		k := memberKey{o.GetDatabase(), o.GetMember()}
		e.members[k], listed[k] = o, true
		p.stepReport(in, o, now.Add(-time.Duration(o.GetAgeMs())*time.Millisecond), now)
	}
	for k, o := range e.members {
		if !listed[k] {
			p.stepReport(in, o, now, now)
		}
	}
	return e.complete
}

// stepReport passes one observation to the promotion machine of its database.
func (p *promoter) stepReport(in *ctlpb.ObserveRequest, o *ctlpb.Observation, at, now time.Time) {
	d := p.databases[o.GetDatabase()]
	if d == nil || d.machine == nil {
		return
	}
	r := promo.Report{
		Instance: in.GetInstance(),
		Zone:     in.GetZone(),
		Member:   o.GetMember(),
		At:       at,
		Health:   reportedHealth(o),
		Term:     o.GetTerm(),
		Position: group.Position{Term: o.GetPositionTerm(), Offset: o.GetPositionOffset()},
	}
	d.recordReport(r)
	p.step(d, r, now)
}

func reportedHealth(o *ctlpb.Observation) promo.Health {
	switch {
	case !o.GetReachable():
		return promo.Unreachable
	case o.GetStalled():
		return promo.Stalled
	default:
		return promo.Reachable
	}
}

// recordReport keeps the newest position of a reachable member.
func (d *supervisedDatabase) recordReport(r promo.Report) {
	if r.Health == promo.Reachable {
		d.lastReachable[r.Member] = r.At
		d.positions[r.Member] = r
	}
}

// step passes an event to the promotion machine of a database and executes the
// actions that it returns.
func (p *promoter) step(d *supervisedDatabase, e promo.Event, now time.Time) {
	for _, a := range d.machine.Step(e, now) {
		p.execute(d, a)
	}
}

// stepAsync passes an event to the promotion machine from another goroutine. The
// event is dropped if the leadership was lost in the meantime.
func (p *promoter) stepAsync(d *supervisedDatabase, e promo.Event) {
	_ = p.n.enqueue(p.n.ctx, func(now time.Time) raft.Output {
		if p.databases[d.name] == d && d.machine != nil {
			p.step(d, e, now)
		}
		return raft.Output{}
	})
}

func (p *promoter) execute(d *supervisedDatabase, a promo.Action) {
	log := p.n.log.With().Str("database", d.name).Logger()
	switch a := a.(type) {
	case promo.ProposeBegin:
		log.Warn().Uint64("term", a.Term).Msg("primary is lost, new term begins")
		p.n.wg.Go(func() { p.proposeBegin(d, a) })
	case promo.ProposeComplete:
		log.Warn().Uint64("term", a.Start.Term).Str("primary", a.Primary).Msg("new primary chosen")
		p.n.wg.Go(func() { p.proposeComplete(d, a) })
	case promo.Fence:
		p.n.wg.Go(func() { p.stepAsync(d, p.fence(d, a)) })
	case promo.Promote:
		p.n.wg.Go(func() { p.stepAsync(d, p.promote(d, a)) })
	case promo.Follow:
		p.n.wg.Go(func() { p.stepAsync(d, p.follow(d, a)) })
	case promo.Confirm:
		p.n.wg.Go(func() { p.confirm(d) })
	case promo.SwitchDropped:
		log.Warn().Str("target", a.To).Msg("planned switchover cancelled: its target did not catch up in time or cannot become primary")
	}
}

func (p *promoter) proposeBegin(d *supervisedDatabase, a promo.ProposeBegin) {
	db, ok := p.n.machine.View().Group(d.name)
	if !ok {
		return
	}
	result, err := p.n.Propose(p.n.ctx, state.BeginPromotion{Database: d.name, ExpectedTerm: db.BegunTerm(), NewTerm: a.Term})
	if err != nil {
		return
	}
	if _, ok := result.(state.Done); ok {
		p.stepAsync(d, promo.Begun(a))
	}
}

func (p *promoter) proposeComplete(d *supervisedDatabase, a promo.ProposeComplete) {
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
		p.stepAsync(d, promo.Completed{Term: a.Start.Term, Primary: a.Primary, History: db.History()})
	}
}

func (p *promoter) confirm(d *supervisedDatabase) {
	if err := p.n.ConfirmLeadership(p.n.ctx); err == nil {
		p.stepAsync(d, promo.Confirmed{})
	}
}

// call opens a control connection to a member and runs f on it within
// groupCallTimeout.
func (p *promoter) call(d *supervisedDatabase, member string, f func(context.Context, *pgctl.Conn) error) error {
	db, ok := p.n.machine.View().Group(d.name)
	if !ok {
		return pgctl.ErrUnexpectedAnswer
	}
	m, ok := db.Member(member)
	if !ok {
		return pgctl.ErrUnexpectedAnswer
	}
	ctx, stop := context.WithTimeout(p.n.ctx, groupCallTimeout)
	defer stop()
	c, err := pgctl.Dial(ctx, pgctl.DialFunc(p.n.dial), pgctl.Target{Addr: m.Address, Database: d.name, Password: p.n.password})
	if err != nil {
		return err
	}
	defer c.Close()
	return f(ctx, c)
}

func (p *promoter) fence(d *supervisedDatabase, a promo.Fence) promo.FenceResult {
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

func (p *promoter) promote(d *supervisedDatabase, a promo.Promote) promo.PromoteResult {
	r := promo.PromoteResult{Member: a.Member, Term: a.Term}
	r.Err = p.call(d, a.Member, func(ctx context.Context, c *pgctl.Conn) error {
		st, err := c.Status(ctx)
		if err != nil {
			return err
		}
		r.HighestTerm = max(st.Term, st.FencedTerm)
		if st.Store != a.Store {
			return errStoreMismatch
		}
		return c.Promote(ctx, a.Term, a.History)
	})
	return r
}

func (p *promoter) follow(d *supervisedDatabase, a promo.Follow) promo.FollowResult {
	r := promo.FollowResult{Member: a.Member, Term: a.Term}
	r.Err = p.call(d, a.Member, func(ctx context.Context, c *pgctl.Conn) error {
		discarded, err := c.Follow(ctx, a.Term, a.Address)
		if discarded != "" {
			p.n.log.Warn().Str("database", d.name).Str("member", a.Member).Str("positions", discarded).
				Msg("member discarded log entries that were never acknowledged")
		}
		return err
	})
	return r
}

// poll asks members that no entry reports as reachable for their status, so that a
// former primary that has returned is told to follow the new one.
func (p *promoter) poll(d *supervisedDatabase, now time.Time) {
	if now.Sub(d.lastPoll) < pollInterval {
		return
	}
	d.lastPoll = now
	db, ok := p.view.Group(d.name)
	if !ok {
		return
	}
	for _, m := range db.Members() {
		if m.Name != db.Primary() && now.Sub(d.lastReachable[m.Name]) > pollInterval {
			name := m.Name
			p.n.wg.Go(func() { p.pollMember(d, name) })
		}
	}
	p.markCaughtUp(d, db)
}

// pollMember reports the status of one member as seen by the control instance itself.
func (p *promoter) pollMember(d *supervisedDatabase, member string) {
	var st pgctl.Status
	err := p.call(d, member, func(ctx context.Context, c *pgctl.Conn) (err error) {
		st, err = c.Status(ctx)
		return err
	})
	if err != nil {
		return
	}
	p.stepAsync(d, promo.Report{
		Instance: p.n.name, Zone: p.n.zone, Member: member, At: time.Now(), Health: promo.Reachable,
		Term: st.Term, Position: st.Held, NotReplicating: st.Role == pgctl.RoleFenced,
	})
}

// markCaughtUp proposes to count members as voters of the database once they hold
// the position that the primary had in its last report.
func (p *promoter) markCaughtUp(d *supervisedDatabase, db *state.Database) {
	primary, ok := d.positions[db.Primary()]
	if !ok {
		return
	}
	for _, m := range db.Members() {
		if m.Gone || d.markingCaughtUp[m.Name] || m.Voter && m.VoterStore == m.Store {
			continue
		}
		r, ok := d.positions[m.Name]
		if !ok || r.Position.Less(primary.Position) {
			continue
		}
		d.markingCaughtUp[m.Name] = true
		cmd := state.MarkCaughtUp{Database: d.name, Member: m.Name, Store: m.Store, Position: r.Position}
		p.n.wg.Go(func() {
			_, _ = p.n.Propose(p.n.ctx, cmd)
			_ = p.n.enqueue(p.n.ctx, func(time.Time) raft.Output {
				delete(d.markingCaughtUp, cmd.Member)
				return raft.Output{}
			})
		})
	}
}
