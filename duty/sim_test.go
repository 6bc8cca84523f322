package duty_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rotisserie/eris"

	"tamarackcross/duty"
	"tamarackcross/group"
	"tamarackcross/ledger"
)

// TestSimulatedGroup guards against acknowledged commits of a synchronous service that the promoted member lacks, and
// against a service that stays without a primary. Members crash and are cut off, one is lost for good, replicas receive
// nothing for a while, commands and orders get no answer and are carried out late, and leaders of control change, also all
// at once.
func TestSimulatedGroup(t *testing.T) {
	for seed := range uint64(simSeeds) {
		s := newSim(seed)
		if err := s.run(60 * time.Second); err != nil {
			t.Errorf("seed %d: %v\n%s", seed, err, strings.Join(s.trace, "\n"))
		}
	}
}

const (
	simSeeds    = 500 // 200 a second
	simStep     = 10 * time.Millisecond
	simView     = 50 * time.Millisecond
	simPromote  = time.Second // until a promotion takes effect
	simCall     = 300 * time.Millisecond
	lateLimit   = 12 * time.Second
	simRecovery = 40 * time.Second // more than the longest that an order may be carried out late, twice
)

// simMember is a backend server.
type simMember struct {
	id       string
	born     int64
	log      []int // IDs of commits
	terms    []uint64
	term     uint64
	paused   uint64
	down     bool
	cut      bool // from control
	deaf     bool // receives nothing
	unseen   int  // instances that do not reach it
	receives bool // its start was admitted
	gone     bool // it does not come back
}

func (m *simMember) position() group.Position {
	n := len(m.log)
	if n == 0 {
		return group.Position{Term: 1}
	}
	return group.Position{Term: m.terms[n-1], Offset: uint64(n)}
}

// sim is a group, the platform and control.
type sim struct {
	rnd     *rand.Rand
	now     time.Duration
	events  []simEvent
	members []*simMember
	primary *simMember // nil if it stepped down
	term    uint64
	commits int
	acked   map[int]bool
	fence   uint64
	quiet   bool // no further disruption
	err     error

	ledger  *ledger.Ledger
	index   uint64
	sup     *duty.Supervisor
	leader  int // number of the leader
	roster  map[string]int64
	lastAck time.Duration
	trace   []string // newest steps
}

// traced records a step for the report of a failure.
func (s *sim) traced(format string, args ...any) {
	const kept = 120
	s.trace = append(s.trace, fmt.Sprintf("%8v ", s.now)+fmt.Sprintf(format, args...))
	s.trace = s.trace[max(0, len(s.trace)-kept):]
}

type simEvent struct {
	at time.Duration
	f  func()
}

func newSim(seed uint64) *sim {
	s := &sim{rnd: rand.New(rand.NewPCG(seed, 7)), term: 1, acked: make(map[int]bool), ledger: ledger.New(), roster: make(map[string]int64)}
	for i := range 3 + s.rnd.IntN(2) {
		s.members = append(s.members, &simMember{id: fmt.Sprintf("m%d", i+1), born: 1, term: 1, receives: true})
	}
	s.primary = s.members[0]
	for _, m := range s.members {
		s.roster[m.id] = m.born // entries know members from control alone
	}
	s.elect(false)
	return s
}

func (s *sim) after(d time.Duration, f func()) {
	s.events = append(s.events, simEvent{at: s.now + d, f: f})
}

func (s *sim) chance(p float64) bool { return s.rnd.Float64() < p }

func (s *sim) between(a, b time.Duration) time.Duration {
	return a + time.Duration(s.rnd.Int64N(int64(b-a)))
}

func (s *sim) clock() time.Time { return time.Unix(1000, 0).Add(s.now) }

// elect makes a new leader. If all of control was started again, it has no roster.
func (s *sim) elect(restarted bool) {
	s.leader++
	if restarted {
		s.roster = make(map[string]int64)
	}
	s.sup = duty.New(s.clock(), duty.WithSuccession(duty.Immediate))
	s.step(s.view()) // nobody is admitted before
}

func (s *sim) run(d time.Duration) error {
	s.disrupt()
	for s.now < d+simRecovery && s.err == nil {
		s.quiet = s.now >= d
		s.now += simStep
		s.runEvents()
		s.replicate()
		s.heartbeats()
		if s.now%simView == 0 {
			s.step(s.view())
		}
		if s.quiet {
			s.heal()
		}
	}
	if s.err == nil && s.now-s.lastAck > 2*time.Second {
		s.err = eris.Errorf("no commit was acknowledged in the last %v", s.now-s.lastAck)
	}
	return s.err
}

func (s *sim) runEvents() {
	var due []simEvent
	s.events = slices.DeleteFunc(s.events, func(e simEvent) bool {
		if e.at <= s.now {
			due = append(due, e)
			return true
		}
		return false
	})
	for _, e := range due {
		e.f()
	}
}

// replicate lets the primary commit, and the replicas receive. A commit is acknowledged once a replica has it.
func (s *sim) replicate() {
	p := s.primary
	if p == nil || p.down {
		return
	}
	if s.chance(0.5) {
		s.commits++
		p.log, p.terms = append(p.log, s.commits), append(p.terms, s.term)
	}
	for _, m := range s.members {
		if m == p || m.down || m.deaf || m.paused != 0 || !m.receives || !s.chance(0.7) {
			continue
		}
		m.term = s.term
		same := min(len(m.log), len(p.log))
		for same > 0 && m.log[same-1] != p.log[same-1] {
			same--
		}
		end := min(len(p.log), same+1+s.rnd.IntN(4))
		m.log, m.terms = append(m.log[:same], p.log[same:end]...), append(m.terms[:same], p.terms[same:end]...)
		for _, c := range m.log[same:] {
			if !s.acked[c] {
				s.acked[c], s.lastAck = true, s.now
			}
		}
	}
}

// promote carries out an order of the platform.
func (s *sim) promote(id string, token uint64) (accepted bool) {
	m := s.find(id)
	if token < s.fence || m == nil || m.down {
		return false
	}
	s.fence = token
	if m == s.primary {
		return true
	}
	s.after(simPromote, func() {
		if m.down || token < s.fence || m == s.primary {
			return
		}
		held := make(map[int]bool, len(m.log))
		for _, c := range m.log {
			held[c] = true
		}
		for c := range s.acked {
			if !held[c] {
				s.err = eris.Errorf("at %v: commit %d was acknowledged and is not in the log of %s, which is promoted", s.now, c, id)
				return
			}
		}
		s.traced("%s leads with %s", m.id, m.position())
		s.term++
		s.primary, m.term = m, s.term
		for _, o := range s.members {
			o.paused = 0
		}
	})
	return true
}

func (s *sim) find(id string) *simMember {
	i := slices.IndexFunc(s.members, func(m *simMember) bool { return m.id == id })
	if i < 0 {
		return nil
	}
	return s.members[i]
}

// heartbeats lets members announce themselves, and new starts be admitted.
func (s *sim) heartbeats() {
	if s.now%(1200*time.Millisecond) != 0 {
		return
	}
	for _, m := range s.members {
		if m.down || m.cut {
			continue
		}
		if !m.receives {
			s.apply(ledger.RecordMembers{Service: "s", Members: []ledger.Member{{ID: m.id, Born: m.born}}})
			if !s.sup.Admits(s.clock()) {
				continue
			}
			m.receives = true
		}
		s.roster[m.id] = m.born
	}
}

func (s *sim) apply(c ledger.Command) any {
	data, err := ledger.Encode(c)
	if err != nil {
		panic(err) // cannot happen: all commands can be encoded
	}
	s.index++
	return s.ledger.Apply(s.index, data)
}

// view returns the state of the service as the leader knows it.
func (s *sim) view() duty.View {
	order, _ := s.ledger.PromotionOrder("s")
	v := duty.View{Instances: 5, SyncReplicas: 1, Ordered: order.Target, Held: order.Held, Starts: s.ledger.Starts("s"), Resume: s.ledger.Resume("s")}
	for _, o := range order.Open {
		v.Open = append(v.Open, duty.OpenOrder(o))
	}
	var unrecorded []ledger.Member
	recorded := s.ledger.Members("s")
	for _, id := range slices.Sorted(maps.Keys(s.roster)) {
		born := s.roster[id]
		i := slices.IndexFunc(recorded, func(r ledger.Member) bool { return r.ID == id })
		if i < 0 || recorded[i].Born < born {
			unrecorded = append(unrecorded, ledger.Member{ID: id, Born: born})
		}
	}
	if len(unrecorded) > 0 {
		s.apply(ledger.RecordMembers{Service: "s", Members: unrecorded})
	}
	for _, r := range s.ledger.Members("s") {
		m := s.find(r.ID)
		_, announced := s.roster[r.ID]
		out := duty.Member{ID: r.ID, Born: r.Born, Primary: announced && m == s.primary, FailingInstances: m.unseen}
		if m.down {
			out.FailingInstances = 5
		}
		if r.State == ledger.Forgotten {
			out.Standing = duty.Forgotten
		}
		v.Members = append(v.Members, out)
	}
	slices.SortFunc(v.Members, func(a, b duty.Member) int { return strings.Compare(a.ID, b.ID) })
	return v
}

// step passes an event to the supervisor and carries out what it decides.
func (s *sim) step(e duty.Event) {
	admitted := s.sup.Admits(s.clock())
	actions := s.sup.Step(e, s.clock())
	if admitted && !s.sup.Admits(s.clock()) {
		actions = append(actions, s.sup.Step(s.view(), s.clock())...)
	}
	leader := s.leader
	reply := func(d time.Duration, e duty.Event) {
		s.after(d, func() {
			if s.leader == leader {
				s.step(e)
			}
		})
	}
	for _, a := range actions {
		s.traced("leader %d: %s", s.leader, formatAction(a))
		switch a := a.(type) {
		case duty.AskStatus:
			s.call(a.ID, duty.Status{ID: a.ID, Round: a.Round}, reply, func(*simMember) {})
		case duty.StepDown:
			s.call(a.ID, duty.Status{ID: a.ID, Round: a.Round}, reply, func(m *simMember) {
				if m == s.primary && a.Term > s.term {
					s.primary = nil
				}
			})
		case duty.Pause:
			s.call(a.ID, duty.Status{ID: a.ID, Round: a.Round}, reply, func(m *simMember) {
				if m != s.primary && a.Term > m.term {
					m.paused = a.Term
				}
			})
		case duty.Resume:
			out := duty.Status{ID: a.ID, Resumed: true}
			if s.quiet || s.chance(0.6) {
				s.call(a.ID, out, reply, func(m *simMember) { m.paused = 0 })
				continue
			}
			s.after(simStep, func() { s.resumeLate(s.find(a.ID), s.now+lateLimit) })
			out.Err = eris.New("no answer")
			reply(simCall, out)
		case duty.IssueToken:
			result := s.apply(ledger.OrderPromotion{Service: "s", Target: a.Target, Track: a.Track, Held: a.Held}).(ledger.PromotionResult)
			reply(s.between(simStep, 3*simStep), duty.TokenResult{Target: a.Target, Token: result.Token})
		case duty.Promote:
			s.order(a, reply)
		case duty.RecordTerm:
			s.record(ledger.RecordTerm{Service: "s", Start: a.Start, Renewed: a.Renewed})
		case duty.OpenResume:
			s.record(ledger.OpenResume{Service: "s"})
		case duty.CloseResume:
			s.record(ledger.CloseResume{Service: "s", Token: a.Token})
		case duty.CloseOrders:
			s.record(ledger.CloseOrders{Service: "s", Tokens: a.Tokens})
		case duty.ForgetMembers:
			s.recordStates(ledger.Forgotten, a.IDs...)
		case duty.KeepMember:
			s.recordStates(ledger.Counted, a.ID)
		}
	}
}

// record applies a command of the present leader later, or loses it.
func (s *sim) record(c ledger.Command) {
	if s.chance(0.1) {
		return
	}
	leader := s.leader
	s.after(s.between(simStep, 10*simStep), func() {
		if s.leader == leader {
			s.apply(c)
		}
	})
}

func (s *sim) recordStates(state ledger.MemberState, ids ...string) {
	var changed []ledger.Member
	for _, m := range s.ledger.Members("s") {
		if slices.Contains(ids, m.ID) {
			m.State = state
			changed = append(changed, m)
		}
	}
	s.record(ledger.RecordMembers{Service: "s", Members: changed})
}

// call carries out a command at a member and answers with its status. Without an answer it may be carried out at
// once, late or never.
func (s *sim) call(id string, out duty.Status, reply func(time.Duration, duty.Event), run func(*simMember)) {
	m := s.find(id)
	fail := func(d time.Duration, refused, down bool) {
		out.Err, out.Refused, out.Down = eris.New("no answer"), refused, down
		reply(d, out)
	}
	carryOut := func() {
		if !m.down {
			run(m)
			s.traced("%s: paused %d, received %s", m.id, m.paused, m.position())
		}
	}
	switch {
	case m.down:
		fail(simStep, true, true)
	case m.cut:
		fail(simCall, true, false)
	case !s.quiet && s.chance(0.15):
		fail(simCall, false, false)
		if s.chance(0.8) {
			s.traced("%s carries a command out late", m.id)
			s.after(s.between(0, lateLimit), carryOut)
		}
	default:
		carryOut()
		out.Primary, out.Term, out.PausedTerm, out.Received = m == s.primary, m.term, m.paused, m.position()
		reply(simStep, out)
	}
}

// resumeLate makes a replica receive again shortly after its next pause, if that is before a time. It is an
// earlier command to which it gave no answer.
func (s *sim) resumeLate(m *simMember, until time.Duration) {
	switch {
	case s.now >= until || m.down:
	case m.paused != 0:
		s.after(s.between(simStep, time.Second), func() {
			s.traced("%s receives again, late", m.id)
			m.paused = 0
		})
	default:
		s.after(simStep, func() { s.resumeLate(m, until) })
	}
}

// order sends an order to the platform.
func (s *sim) order(a duty.Promote, reply func(time.Duration, duty.Event)) {
	out := duty.PromoteResult{Target: a.Target, Token: a.Token}
	if !s.quiet && s.chance(0.3) {
		out.Err = eris.New("no answer")
		if s.chance(0.8) {
			s.after(s.between(0, lateLimit), func() { s.promote(a.Target, a.Token) })
		}
		reply(time.Second, out)
		return
	}
	if !s.promote(a.Target, a.Token) {
		out.Outdated, out.Err = true, eris.New("refused")
	}
	reply(2*simStep, out)
}

// disrupt plans the next disruption, again and again.
func (s *sim) disrupt() {
	s.after(s.between(100*time.Millisecond, 4*time.Second), func() {
		if s.quiet {
			return
		}
		m := s.members[s.rnd.IntN(len(s.members))]
		if s.primary != nil && s.chance(0.4) {
			m = s.primary
		}
		d := s.between(300*time.Millisecond, 8*time.Second)
		kind := s.rnd.IntN(10)
		s.traced("%s: disruption %d for %v", m.id, kind, d)
		switch kind {
		case 0:
			s.crash(m, d)
		case 1:
			m.cut = true
			s.after(d, func() { m.cut = false })
		case 2:
			m.deaf = true
			s.after(d, func() { m.deaf = false })
		case 3:
			m.unseen = 3 + s.rnd.IntN(3)
			s.after(d, func() { m.unseen = 0 })
		case 4:
			m.cut, m.unseen = true, 3
			s.after(d, func() { m.cut, m.unseen = false, 0 })
		case 5:
			s.elect(false)
		case 6:
			s.elect(true)
		case 7:
			s.lose(m)
		default:
			s.flicker(m)
		}
		s.disrupt()
	})
}

// crash ends a member, which comes back with its log. It leads again unless another one was promoted.
func (s *sim) crash(m *simMember, d time.Duration) {
	if m.down {
		return
	}
	m.down = true
	s.after(d, func() { s.comeBack(m) })
}

// flicker cuts the primary off for a moment, and a replica while it is being paused, so that the replacement is
// given up.
func (s *sim) flicker(m *simMember) {
	p := s.primary
	if p == nil || p == m {
		return
	}
	p.cut, p.unseen = true, 5
	s.after(s.between(500*time.Millisecond, 900*time.Millisecond), func() { p.cut, p.unseen = false, 0 })
	s.after(s.between(100*time.Millisecond, 600*time.Millisecond), func() { m.cut = true })
	s.after(s.between(600*time.Millisecond, 1200*time.Millisecond), func() { m.cut = false })
}

// lose ends a replica for good, while three members are left.
func (s *sim) lose(m *simMember) {
	if len(s.members) < 4 || m == s.primary || slices.ContainsFunc(s.members, func(m *simMember) bool { return m.gone }) {
		return
	}
	m.down, m.gone = true, true
}

func (s *sim) comeBack(m *simMember) {
	if !m.down || m.gone {
		return
	}
	m.down, m.paused = false, 0
	m.born++
	m.receives = m == s.primary // another start, which has to be admitted
}

func (s *sim) heal() {
	for _, m := range s.members {
		m.cut, m.deaf, m.unseen = false, false, 0
		s.comeBack(m)
	}
}
