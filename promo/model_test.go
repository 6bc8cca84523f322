package promo_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tamarackcross/group"
	"tamarackcross/promo"
)

// entry is one write in the log of a member.
type entry struct{ term, id uint64 }

// server models a backend server: its log, the highest term it knows, and the
// terms in which it acts.
type server struct {
	name, store string
	log         []entry
	known       uint64
	leads       uint64 // acts as primary of this term, or 0
	follows     uint64
	up          bool
	acks        map[string]int // on a primary: how much each follower holds
}

func (s *server) held() group.Position {
	if len(s.log) == 0 {
		return group.Position{}
	}
	return group.Position{Term: s.log[len(s.log)-1].term, Offset: uint64(len(s.log))}
}

type write struct {
	at group.Position
	id uint64
}

type message struct {
	from   *promo.Machine
	action promo.Action
}

// world models a group, the control log and its leaders, one of them current.
type world struct {
	opts      []promo.Option
	now       time.Time
	servers   []*server
	log       promo.Logged
	leader    *promo.Machine
	stale     *promo.Machine
	queue     []message
	writes    []write // all ever appended
	acked     []write
	discarded map[group.Position]bool
	primaries map[uint64]string
	stores    int
	broken    string // the first broken invariant
}

func newWorld(opts []promo.Option) *world {
	w := &world{opts: opts, now: epoch, discarded: map[group.Position]bool{}, primaries: map[uint64]string{}}
	for _, name := range []string{"a", "b", "c"} {
		w.servers = append(w.servers, &server{name: name, store: name + "0", up: true})
		w.log.Members = append(w.log.Members, promo.Member{Name: name, Zone: "z" + name, Store: name + "0", Voting: true})
	}
	w.leader = promo.New(w.log, w.now, opts...)
	return w
}

func (w *world) server(name string) *server {
	return w.servers[slices.IndexFunc(w.servers, func(s *server) bool { return s.name == name })]
}

func (w *world) fail(format string, args ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf(format, args...)
	}
}

func (w *world) step(m *promo.Machine, e promo.Event) {
	for _, a := range m.Step(e, w.now) {
		w.queue = append(w.queue, message{from: m, action: a})
	}
}

// deliver handles a message of a leader. Only the current leader can log.
func (w *world) deliver(msg message) {
	switch a := msg.action.(type) {
	case promo.ProposeBegin:
		if msg.from == w.leader && a.Term > max(w.log.Term, w.log.Pending) {
			w.log.Pending = a.Term
			w.step(w.leader, promo.Begun(a))
		}
	case promo.ProposeComplete:
		if msg.from == w.leader && a.Start.Term == w.log.Pending {
			w.complete(a)
		}
	case promo.Confirm:
		if msg.from == w.leader {
			w.step(msg.from, promo.Confirmed{})
		}
	case promo.Fence:
		if s := w.server(a.Member); s.up {
			s.raise(a.Term)
			w.step(msg.from, promo.FenceResult{Member: s.name, Term: a.Term, Seen: s.known, Store: s.store, Position: s.held()})
		}
	case promo.Promote:
		if s := w.server(a.Member); s.up {
			w.step(msg.from, promo.PromoteResult{Member: s.name, Term: a.Term, Seen: s.known, Err: w.promote(s, a)})
		}
	case promo.Follow:
		if s := w.server(a.Member); s.up && s.known <= a.Term && s.leads != a.Term {
			s.raise(a.Term)
			s.truncate(w.log.History)
			s.follows = a.Term
			w.step(msg.from, promo.FollowResult{Member: s.name, Term: a.Term})
		}
	}
}

// raise fences lower terms.
func (s *server) raise(term uint64) {
	if term <= s.known {
		return
	}
	s.known = term
	s.leads = 0
	s.follows = 0
}

func (s *server) truncate(h group.History) {
	s.log = s.log[:min(int(h.Clip(s.held()).Offset), len(s.log))]
}

func (w *world) complete(a promo.ProposeComplete) {
	w.log.Pending = 0
	w.log.Term = a.Start.Term
	w.log.Primary = a.Primary
	w.log.History = a.History
	for _, x := range w.writes {
		verdict := a.History.Contains(x.at)
		if w.discarded[x.at] && verdict == group.Kept {
			w.fail("%v was discarded and is kept again", x.at)
		}
		w.discarded[x.at] = w.discarded[x.at] || verdict == group.Discarded
	}
	w.checkAcked()
	w.step(w.leader, promo.Completed{Term: a.Start.Term, Primary: a.Primary, History: a.History})
}

func (w *world) checkAcked() {
	for _, x := range w.acked {
		if w.log.History.Contains(x.at) == group.Discarded {
			w.fail("acknowledged write %v is discarded by %v", x.at, w.log.History)
		}
	}
}

var errRefused = errors.New("refused")

func (w *world) promote(s *server, a promo.Promote) error {
	if s.known > a.Term || s.store != a.Store {
		return errRefused
	}
	if other := w.primaries[a.Term]; other != "" && other != s.name {
		w.fail("%s and %s are primaries of term %d", other, s.name, a.Term)
	}
	w.primaries[a.Term] = s.name
	if s.leads == a.Term {
		return nil
	}
	s.raise(a.Term)
	s.truncate(a.History)
	starts := a.History.Starts()
	if s.held().Term < a.Term && uint64(len(s.log)) != starts[len(starts)-1].Offset {
		w.fail("the log of primary %s ends at %d, not at the start of %v", s.name, len(s.log), a.History)
	}
	s.leads = a.Term
	s.acks = map[string]int{}
	for _, x := range w.acked {
		if x.at.Term < a.Term && (len(s.log) < int(x.at.Offset) || s.log[x.at.Offset-1].id != x.id) {
			w.fail("acknowledged write %v is not in the log of primary %s of term %d", x.at, s.name, a.Term)
		}
	}
	return nil
}

// append writes on a member that acts as a primary.
func (w *world) append(s *server) {
	if !s.up || s.leads == 0 {
		return
	}
	x := write{at: group.Position{Term: s.leads, Offset: uint64(len(s.log) + 1)}, id: uint64(len(w.writes) + 1)}
	w.writes = append(w.writes, x)
	s.log = append(s.log, entry{term: s.leads, id: x.id})
}

// replicate copies the log of a primary to a follower and acknowledges what a
// majority holds.
func (w *world) replicate(p, r *server) {
	if p == r || !p.up || !r.up || p.leads == 0 || r.follows != p.leads {
		return
	}
	r.log = slices.Clone(p.log)
	p.acks[r.name] = len(r.log)
	for _, x := range w.writes {
		if x.at.Term == p.leads && int(x.at.Offset) <= len(r.log) && !slices.Contains(w.acked, x) {
			w.acked = append(w.acked, x)
		}
	}
	w.checkAcked()
}

// register logs the new store of a member that holds everything.
func (w *world) register(s *server) {
	if w.log.Primary == "" || w.log.Pending > 0 {
		return
	}
	p := w.server(w.log.Primary)
	if p.leads != w.log.Term || s.follows != p.leads || !slices.Equal(s.log, p.log) {
		return
	}
	w.log.Members = slices.Clone(w.log.Members)
	w.log.Members[slices.Index(w.servers, s)].Store = s.store
	w.step(w.leader, promo.Members{List: w.log.Members})
}

// suspect reports the primary as lost, truly or not.
func (w *world) suspect() {
	for _, zone := range []string{"za", "zb", "zc"} {
		w.step(w.leader, promo.Report{Instance: "e" + zone, Zone: zone, Member: w.log.Primary, At: w.now, Health: promo.Unreachable})
	}
}

func (w *world) crash(s *server, wipe bool) {
	s.up = false
	s.leads, s.follows = 0, 0
	if wipe {
		w.stores++
		s.store = fmt.Sprintf("%s%d", s.name, w.stores)
		s.log = nil
		s.known = 0
	}
}

func (w *world) random(t *rapid.T) {
	s := w.servers[rapid.IntRange(0, 2).Draw(t, "server")]
	w.now = w.now.Add(20 * time.Millisecond)
	switch rapid.IntRange(0, 19).Draw(t, "action") {
	case 0, 1, 2:
		w.append(s)
	case 3, 4, 5:
		for _, p := range w.servers {
			w.append(p)
			w.replicate(p, s)
		}
	case 6:
		w.crash(s, rapid.IntRange(0, 3).Draw(t, "wipe") == 0)
	case 7, 8:
		s.up = true
		w.step(w.leader, promo.Report{Instance: "e", Zone: "za", Member: s.name, At: w.now, Idle: true})
	case 9, 10:
		w.suspect()
	case 11:
		w.stale = w.leader
		w.leader = promo.New(w.log, w.now, w.opts...)
	case 12:
		w.now = w.now.Add(rapid.SampledFrom([]time.Duration{100, 600, 6000}).Draw(t, "pause") * time.Millisecond)
	case 13:
		w.register(s)
	case 14:
		w.step(w.leader, promo.Switch{To: s.name})
	}
	w.step(w.leader, promo.Tick{})
	if w.stale != nil {
		w.step(w.stale, promo.Tick{})
	}
	w.network(t)
}

// network delivers messages late, in any order, several times or never.
func (w *world) network(t *rapid.T) {
	for range rapid.IntRange(0, 6).Draw(t, "deliveries") {
		if len(w.queue) == 0 {
			return
		}
		i := rapid.IntRange(0, len(w.queue)-1).Draw(t, "message")
		msg := w.queue[i]
		fate := rapid.IntRange(0, 9).Draw(t, "fate")
		if fate > 0 {
			w.queue = slices.Delete(w.queue, i, i+1)
		}
		if fate < 9 {
			w.deliver(msg)
		}
	}
}

func runModel(report func(t *rapid.T, w *world), opts ...promo.Option) func(t *rapid.T) {
	return func(t *rapid.T) {
		w := newWorld(opts)
		for range 400 {
			w.random(t)
			if w.broken != "" {
				break
			}
		}
		report(t, w)
	}
}

// TestModel guards against lost acknowledged writes, two primaries of one term,
// and discarded positions that come back, under crashes, lost data, pauses,
// leader changes and messages that are late, lost, reordered and repeated.
func TestModel(t *testing.T) {
	terms, acked := uint64(0), 0
	rapid.Check(t, runModel(func(t *rapid.T, w *world) {
		if w.broken != "" {
			t.Fatal(w.broken)
		}
		terms += w.log.Term
		acked += len(w.acked)
	}))
	t.Logf("%d terms, %d acknowledged writes", terms, acked)
	if terms < 100 || acked < 100 {
		t.Errorf("the model covers too little: %d terms, %d acknowledged writes", terms, acked)
	}
}

// TestModelCatches shows that the model finds weakened rules.
func TestModelCatches(t *testing.T) {
	for name, opt := range map[string]promo.Option{
		"positions without clip":   promo.WithoutClip(),
		"members that lost a disk": promo.WithoutStores(),
	} {
		t.Run(name, func(t *testing.T) {
			caught := ""
			rapid.Check(t, runModel(func(_ *rapid.T, w *world) { caught = max(caught, w.broken) }, opt))
			if caught == "" {
				t.Error("the weakened rule was not caught")
			}
			t.Log(caught)
		})
	}
}

// reports lets one entry per zone report on every member.
func (w *world) reports() {
	for _, zone := range []string{"za", "zb", "zc"} {
		for _, s := range w.servers {
			r := promo.Report{
				Instance: "e" + zone, Zone: zone, Member: s.name, At: w.now,
				Term: max(s.leads, s.follows), Idle: s.leads+s.follows == 0, Position: s.held(),
			}
			switch {
			case !s.up:
				r.Health = promo.Unreachable
			case s.name == w.log.Primary && s.leads < w.log.Term:
				r.Health = promo.Stalled
			}
			w.step(w.leader, r)
		}
	}
}

// run lets time pass, with 2 ms per message and reports every 150 ms, until the
// condition holds, and returns how long it took.
func (w *world) run(t *testing.T, until func() bool) time.Duration {
	const step, reportEvery, tickEvery, limit = 2 * time.Millisecond, 75, 10, 5000
	began := w.now
	for i := 0; !until(); i++ {
		if i == limit || w.broken != "" {
			t.Fatalf("not done after %v: %s %+v", w.now.Sub(began), w.broken, w.log)
		}
		w.now = w.now.Add(step)
		if i%reportEvery == reportEvery-1 {
			w.reports()
		}
		if i%tickEvery == 0 {
			w.step(w.leader, promo.Tick{})
		}
		sent := w.queue
		w.queue = nil
		for _, msg := range sent {
			w.deliver(msg)
		}
	}
	return w.now.Sub(began)
}

// serving reports whether an acting primary other than the former one has a
// following replica, so that it can acknowledge writes.
func (w *world) serving(former string) func() bool {
	return func() bool {
		name := w.log.Primary
		return name != "" && name != former && w.server(name).leads == w.log.Term &&
			slices.ContainsFunc(w.servers, func(s *server) bool { return s.follows == w.log.Term })
	}
}

// TestTwoLosses guards against a second loss right after the repair of the
// first being held back by the pace of promotions.
func TestTwoLosses(t *testing.T) {
	w := newWorld(nil)
	w.run(t, w.serving(""))
	for range 4 {
		former := w.log.Primary
		w.crash(w.server(former), false)
		took := w.run(t, w.serving(former))
		t.Logf("primary %s of term %d after %v", w.log.Primary, w.log.Term, took)
		if took > time.Second {
			t.Errorf("failover took %v", took)
		}
		w.server(former).up = true
		w.run(t, func() bool { return w.server(former).follows == w.log.Term })
	}
}
