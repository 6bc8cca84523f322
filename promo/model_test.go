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

// logEntry is one write in the log of a member.
type logEntry struct{ term, id uint64 }

// server models a backend server.
type server struct {
	name, store    string
	log            []logEntry
	knownTerm      uint64 // highest term it knows
	primaryTerm    uint64 // term in which it is the primary, or 0
	followedTerm   uint64 // term in which it is a replica, or 0
	up             bool
	heldByFollower map[string]int // on a primary: number of log entries that each replica holds
}

func (s *server) position() group.Position {
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

// cluster models a database group, the control log, and the Machines of its
// leaders, of which one is current.
type cluster struct {
	opts         []promo.Option
	now          time.Time
	servers      []*server
	controlLog   promo.LoggedState
	leader       *promo.Machine
	formerLeader *promo.Machine
	queue        []message
	writes       []write // all that were ever appended
	acked        []write
	discarded    map[group.Position]bool
	primaries    map[uint64]string // by term
	storeCount   int
	violation    string // the first violated invariant
}

func newCluster(opts []promo.Option) *cluster {
	w := &cluster{opts: opts, now: epoch, discarded: map[group.Position]bool{}, primaries: map[uint64]string{}}
	for _, name := range []string{"a", "b", "c"} {
		w.servers = append(w.servers, &server{name: name, store: name + "0", up: true})
		w.controlLog.Members = append(w.controlLog.Members, promo.Member{Name: name, Zone: "z" + name, Store: name + "0", Voting: true})
	}
	w.leader = promo.New(w.controlLog, w.now, opts...)
	return w
}

func (w *cluster) server(name string) *server {
	return w.servers[slices.IndexFunc(w.servers, func(s *server) bool { return s.name == name })]
}

func (w *cluster) violate(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}

func (w *cluster) step(m *promo.Machine, e promo.Event) {
	for _, a := range m.Step(e, w.now) {
		w.queue = append(w.queue, message{from: m, action: a})
	}
}

// deliver carries out an action of a leader. Only the current leader can append
// to the control log.
func (w *cluster) deliver(msg message) {
	switch a := msg.action.(type) {
	case promo.ProposeBegin:
		if msg.from == w.leader && a.Term > max(w.controlLog.Term, w.controlLog.Pending) {
			w.controlLog.Pending = a.Term
			w.step(w.leader, promo.Begun(a))
		}
	case promo.ProposeComplete:
		if msg.from == w.leader && a.Start.Term == w.controlLog.Pending {
			w.complete(a)
		}
	case promo.Confirm:
		if msg.from == w.leader {
			w.step(msg.from, promo.Confirmed{})
		}
	case promo.Fence:
		if s := w.server(a.Member); s.up {
			s.raiseTerm(a.Term)
			w.step(msg.from, promo.FenceResult{Member: s.name, Term: a.Term, HighestTerm: s.knownTerm, Store: s.store, Position: s.position()})
		}
	case promo.Promote:
		if s := w.server(a.Member); s.up {
			w.step(msg.from, promo.PromoteResult{Member: s.name, Term: a.Term, HighestTerm: s.knownTerm, Err: w.promote(s, a)})
		}
	case promo.Follow:
		if s := w.server(a.Member); s.up && s.knownTerm <= a.Term && s.primaryTerm != a.Term {
			s.raiseTerm(a.Term)
			s.truncate(w.controlLog.History)
			s.followedTerm = a.Term
			w.step(msg.from, promo.FollowResult{Member: s.name, Term: a.Term})
		}
	}
}

// raiseTerm fences the server at term.
func (s *server) raiseTerm(term uint64) {
	if term <= s.knownTerm {
		return
	}
	s.knownTerm = term
	s.primaryTerm = 0
	s.followedTerm = 0
}

func (s *server) truncate(h group.History) {
	s.log = s.log[:min(int(h.Clip(s.position()).Offset), len(s.log))]
}

func (w *cluster) complete(a promo.ProposeComplete) {
	w.controlLog.Pending = 0
	w.controlLog.Term = a.Start.Term
	w.controlLog.Primary = a.Primary
	w.controlLog.History = a.History
	for _, x := range w.writes {
		state := a.History.StateOf(x.at)
		if w.discarded[x.at] && state == group.Kept {
			w.violate("position %v is kept again after it was discarded", x.at)
		}
		w.discarded[x.at] = w.discarded[x.at] || state == group.Discarded
	}
	w.checkAcked()
	w.step(w.leader, promo.Completed{Term: a.Start.Term, Primary: a.Primary, History: a.History})
}

func (w *cluster) checkAcked() {
	for _, x := range w.acked {
		if w.controlLog.History.StateOf(x.at) == group.Discarded {
			w.violate("acknowledged write %v is discarded by %v", x.at, w.controlLog.History)
		}
	}
}

var errRefused = errors.New("refused")

func (w *cluster) promote(s *server, a promo.Promote) error {
	if s.knownTerm > a.Term || s.store != a.Store {
		return errRefused
	}
	if other := w.primaries[a.Term]; other != "" && other != s.name {
		w.violate("%s and %s are primaries of term %d", other, s.name, a.Term)
	}
	w.primaries[a.Term] = s.name
	if s.primaryTerm == a.Term {
		return nil
	}
	s.raiseTerm(a.Term)
	s.truncate(a.History)
	starts := a.History.Starts()
	if s.position().Term < a.Term && uint64(len(s.log)) != starts[len(starts)-1].Offset {
		w.violate("the log of primary %s ends at %d, not at the start of %v", s.name, len(s.log), a.History)
	}
	s.primaryTerm = a.Term
	s.heldByFollower = map[string]int{}
	for _, x := range w.acked {
		if x.at.Term < a.Term && (len(s.log) < int(x.at.Offset) || s.log[x.at.Offset-1].id != x.id) {
			w.violate("acknowledged write %v is not in the log of primary %s of term %d", x.at, s.name, a.Term)
		}
	}
	return nil
}

// appendWrite appends a write to the log of a server that is a primary.
func (w *cluster) appendWrite(s *server) {
	if !s.up || s.primaryTerm == 0 {
		return
	}
	x := write{at: group.Position{Term: s.primaryTerm, Offset: uint64(len(s.log) + 1)}, id: uint64(len(w.writes) + 1)}
	w.writes = append(w.writes, x)
	s.log = append(s.log, logEntry{term: s.primaryTerm, id: x.id})
}

// replicate copies the log of the primary p to its replica r and acknowledges the
// writes that both hold, two of three servers.
func (w *cluster) replicate(p, r *server) {
	if p == r || !p.up || !r.up || p.primaryTerm == 0 || r.followedTerm != p.primaryTerm {
		return
	}
	r.log = slices.Clone(p.log)
	p.heldByFollower[r.name] = len(r.log)
	for _, x := range w.writes {
		if x.at.Term == p.primaryTerm && int(x.at.Offset) <= len(r.log) && !slices.Contains(w.acked, x) {
			w.acked = append(w.acked, x)
		}
	}
	w.checkAcked()
}

// registerStore logs the new store of a replica that holds the whole log of the
// primary.
func (w *cluster) registerStore(s *server) {
	if w.controlLog.Primary == "" || w.controlLog.Pending > 0 {
		return
	}
	p := w.server(w.controlLog.Primary)
	if p.primaryTerm != w.controlLog.Term || s.followedTerm != p.primaryTerm || !slices.Equal(s.log, p.log) {
		return
	}
	w.controlLog.Members = slices.Clone(w.controlLog.Members)
	w.controlLog.Members[slices.Index(w.servers, s)].Store = s.store
	w.step(w.leader, promo.Members{List: w.controlLog.Members})
}

// reportPrimaryUnreachable reports the primary as unreachable from every zone,
// whether it is or not.
func (w *cluster) reportPrimaryUnreachable() {
	for _, zone := range []string{"za", "zb", "zc"} {
		w.step(w.leader, promo.Report{Instance: "e" + zone, Zone: zone, Member: w.controlLog.Primary, At: w.now, Health: promo.Unreachable})
	}
}

func (w *cluster) crash(s *server, wipe bool) {
	s.up = false
	s.primaryTerm, s.followedTerm = 0, 0
	if wipe {
		w.storeCount++
		s.store = fmt.Sprintf("%s%d", s.name, w.storeCount)
		s.log = nil
		s.knownTerm = 0
	}
}

func (w *cluster) randomStep(t *rapid.T) {
	s := w.servers[rapid.IntRange(0, 2).Draw(t, "server")]
	w.now = w.now.Add(20 * time.Millisecond)
	switch rapid.IntRange(0, 19).Draw(t, "action") {
	case 0, 1, 2:
		w.appendWrite(s)
	case 3, 4, 5:
		for _, p := range w.servers {
			w.appendWrite(p)
			w.replicate(p, s)
		}
	case 6:
		w.crash(s, rapid.IntRange(0, 3).Draw(t, "wipe") == 0)
	case 7, 8:
		s.up = true
		w.step(w.leader, promo.Report{Instance: "e", Zone: "za", Member: s.name, At: w.now, NotReplicating: true})
	case 9, 10:
		w.reportPrimaryUnreachable()
	case 11:
		w.formerLeader = w.leader
		w.leader = promo.New(w.controlLog, w.now, w.opts...)
	case 12:
		w.now = w.now.Add(rapid.SampledFrom([]time.Duration{100, 600, 6000}).Draw(t, "pause") * time.Millisecond)
	case 13:
		w.registerStore(s)
	case 14:
		w.step(w.leader, promo.Switch{To: s.name})
	}
	w.step(w.leader, promo.Tick{})
	if w.formerLeader != nil {
		w.step(w.formerLeader, promo.Tick{})
	}
	w.deliverRandomly(t)
}

// deliverRandomly delivers messages late, out of order, several times or never.
func (w *cluster) deliverRandomly(t *rapid.T) {
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

func runModel(report func(t *rapid.T, w *cluster), opts ...promo.Option) func(t *rapid.T) {
	return func(t *rapid.T) {
		w := newCluster(opts)
		for range 400 {
			w.randomStep(t)
			if w.violation != "" {
				break
			}
		}
		report(t, w)
	}
}

// TestModel guards against lost acknowledged writes, two primaries of one term
// and discarded positions that are kept again. They could arise from crashes, loss
// of data, pauses, changes of the leader, and messages that are late, lost,
// reordered or repeated.
func TestModel(t *testing.T) {
	terms, acked := uint64(0), 0
	rapid.Check(t, runModel(func(t *rapid.T, w *cluster) {
		if w.violation != "" {
			t.Fatal(w.violation)
		}
		terms += w.controlLog.Term
		acked += len(w.acked)
	}))
	t.Logf("%d terms, %d acknowledged writes", terms, acked)
	if terms < 100 || acked < 100 {
		t.Errorf("the runs cover too little: %d terms, %d acknowledged writes", terms, acked)
	}
}

// TestModelFindsWeakenedRules guards against a model that no longer detects
// faults: with a safety rule disabled, it must find a violation.
func TestModelFindsWeakenedRules(t *testing.T) {
	for name, opt := range map[string]promo.Option{
		"positions without clip":   promo.WithoutClip(),
		"members that lost a disk": promo.WithoutStoreCheck(),
	} {
		t.Run(name, func(t *testing.T) {
			caught := ""
			rapid.Check(t, runModel(func(_ *rapid.T, w *cluster) { caught = max(caught, w.violation) }, opt))
			if caught == "" {
				t.Error("no run violated an invariant although the rule is disabled")
			}
			t.Log(caught)
		})
	}
}

// sendReports sends the reports of one entry per zone on every member.
func (w *cluster) sendReports() {
	for _, zone := range []string{"za", "zb", "zc"} {
		for _, s := range w.servers {
			r := promo.Report{
				Instance: "e" + zone, Zone: zone, Member: s.name, At: w.now,
				Term: max(s.primaryTerm, s.followedTerm), NotReplicating: s.primaryTerm+s.followedTerm == 0, Position: s.position(),
			}
			switch {
			case !s.up:
				r.Health = promo.Unreachable
			case s.name == w.controlLog.Primary && s.primaryTerm < w.controlLog.Term:
				r.Health = promo.Stalled
			}
			w.step(w.leader, r)
		}
	}
}

// runUntil advances the time until the condition holds and returns how long it
// took. A message takes 2 ms, and reports are sent every 150 ms.
func (w *cluster) runUntil(t *testing.T, condition func() bool) time.Duration {
	const step, reportEvery, tickEvery, limit = 2 * time.Millisecond, 75, 10, 5000
	start := w.now
	for i := 0; !condition(); i++ {
		if i == limit || w.violation != "" {
			t.Fatalf("condition does not hold after %v; violation: %s; control log: %+v", w.now.Sub(start), w.violation, w.controlLog)
		}
		w.now = w.now.Add(step)
		if i%reportEvery == reportEvery-1 {
			w.sendReports()
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
	return w.now.Sub(start)
}

// serving returns a condition: a primary other than the former one is promoted
// and has a replica, so that it can acknowledge writes.
func (w *cluster) serving(former string) func() bool {
	return func() bool {
		name := w.controlLog.Primary
		return name != "" && name != former && w.server(name).primaryTerm == w.controlLog.Term &&
			slices.ContainsFunc(w.servers, func(s *server) bool { return s.followedTerm == w.controlLog.Term })
	}
}

// TestConsecutiveFailovers guards against a slow failover when the primary is lost
// shortly after the previous failover: the cooldown must not delay the replacement
// of a primary that no entry reaches.
func TestConsecutiveFailovers(t *testing.T) {
	w := newCluster(nil)
	w.runUntil(t, w.serving(""))
	for range 4 {
		former := w.controlLog.Primary
		w.crash(w.server(former), false)
		took := w.runUntil(t, w.serving(former))
		t.Logf("primary %s of term %d after %v", w.controlLog.Primary, w.controlLog.Term, took)
		if took > time.Second {
			t.Errorf("failover took %v", took)
		}
		w.server(former).up = true
		w.runUntil(t, func() bool { return w.server(former).followedTerm == w.controlLog.Term })
	}
}
