package spread_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rotisserie/eris"

	"tamarackcross/fleet"
	"tamarackcross/spread"
	"tamarackcross/state"
)

var begin = time.UnixMilli(1_800_000_000_000)

// event is a message on its way, or a tick when data is nil.
type event struct {
	at   time.Time
	seq  int
	node string
	life int
	data []byte
	once bool // a tick that sets no further one
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// node is one instance in the simulated network.
type node struct {
	core    *spread.Core
	zone    string
	life    int
	up      bool
	bytes   int
	kinds   map[string]int
	version uint64
	stamp   state.Stamp
	asked   state.Stamp // highest state of the reachable peers that it asked
	ready   bool
}

type receive func(*spread.Core, spread.Message, time.Time) []spread.Action

// sim is a network of cores with a control machine. It checks at each step that
// nobody goes back, that views of equal stamps are equal, and that nobody serves
// before it holds the highest state that it was told of.
type sim struct {
	now     time.Time
	q       queue
	seq     int
	rnd     *rand.Rand
	names   []string
	nodes   map[string]*node
	group   map[string]int // partition of each zone
	drop    float64
	dup     float64
	latency time.Duration
	receive receive
	machine *state.Machine
	index   uint64
	digests map[state.Stamp]uint64
	err     error
}

func newSim(seed uint64, r receive) *sim {
	return &sim{
		now: begin, rnd: rand.New(rand.NewPCG(seed, 1)), nodes: make(map[string]*node), group: make(map[string]int),
		latency: 3 * time.Millisecond, receive: r, machine: state.New(), digests: make(map[state.Stamp]uint64),
	}
}

// register adds n instances in the given number of zones to the state.
func (s *sim) register(n, zones int) {
	for i := range n {
		name, zone := fmt.Sprintf("n%d", i), fmt.Sprintf("z%d", i%zones)
		s.names = append(s.names, name)
		s.nodes[name] = &node{zone: zone, kinds: make(map[string]int)}
		s.apply(state.RegisterInstance{Instance: state.Instance{Name: name, Incarnation: 1, Zone: zone, Addresses: []string{"127.0.0.1:1"}, Roles: []string{state.RoleEntry}}})
	}
}

// apply commits a command and returns its delta.
func (s *sim) apply(c state.Command) state.Delta {
	s.index++
	d := s.machine.Apply(state.Stamp{Term: 1 + s.index/100, Index: s.index}, c).Delta
	s.digests[s.machine.View().Stamp()] = s.machine.View().Digest()
	return d
}

// publish commits a command and publishes its delta at the named instance.
func (s *sim) publish(name string, c state.Command) state.Delta {
	d := s.apply(c)
	s.run(name, s.nodes[name].core.Publish(d, s.now))
	return d
}

func (s *sim) config(id string) state.Command {
	return state.NewApplyConfig(id, s.machine.View().Config().Version(), fleet.Default(), "kim", begin)
}

// start starts an instance with the empty state.
func (s *sim) start(name string) {
	n := s.nodes[name]
	var seeds []spread.Peer
	for _, other := range s.names {
		seeds = append(seeds, spread.Peer{Name: other, Zone: s.nodes[other].zone})
	}
	n.life++
	n.up, n.ready = true, false
	n.stamp, n.asked, n.version = state.Stamp{}, state.Stamp{}, 0
	n.core = spread.New(spread.Peer{Name: name, Zone: n.zone}, spread.WithSeed(uint64(n.life)), spread.WithSeeds(seeds...))
	s.tick(name)
}

// startAll starts every instance; the first one holds the state of control.
func (s *sim) startAll() {
	for _, name := range s.names {
		s.start(name)
	}
	s.run(s.names[0], s.nodes[s.names[0]].core.Adopt(s.machine.View(), s.now))
}

func (s *sim) tick(name string) {
	n := s.nodes[name]
	s.run(name, n.core.Tick(s.now))
	next := n.core.Next(s.now)
	if !next.After(s.now) {
		next = s.now.Add(time.Millisecond)
	}
	s.push(event{at: next, node: name, life: n.life})
}

func (s *sim) push(e event) {
	s.seq++
	e.seq = s.seq
	heap.Push(&s.q, e)
}

func (s *sim) reachable(from, to string) bool {
	a, b := s.nodes[from], s.nodes[to]
	return b != nil && a.up && b.up && s.group[a.zone] == s.group[b.zone]
}

// run carries out the actions of an instance.
func (s *sim) run(name string, actions []spread.Action) {
	n := s.nodes[name]
	for _, a := range actions {
		switch a := a.(type) {
		case spread.Send:
			s.send(name, a)
		case spread.Apply:
			s.check(name, a)
		case spread.Ready:
			n.ready = true
			if a.Stamp.Less(n.asked) {
				s.fail("%s serves %s although a peer that it asked held %s", name, a.Stamp, n.asked)
			}
		case spread.Diverged, spread.Rejected:
			s.fail("%s: %+v", name, a)
		}
	}
}

func (s *sim) check(name string, a spread.Apply) {
	n := s.nodes[name]
	v := a.View
	if !n.stamp.Less(v.Stamp()) || v.Config().Version() < n.version {
		s.fail("%s went back from %s to %s", name, n.stamp, v.Stamp())
	}
	if want, ok := s.digests[v.Stamp()]; !ok || want != v.Digest() {
		s.fail("%s holds another state than control at %s", name, v.Stamp())
	}
	n.stamp, n.version = v.Stamp(), v.Config().Version()
}

func (s *sim) fail(format string, args ...any) {
	if s.err == nil {
		s.err = eris.Errorf(format, args...)
	}
}

func (s *sim) send(from string, a spread.Send) {
	n := s.nodes[from]
	data, err := spread.Encode(a.Message)
	if err != nil {
		s.fail("encode: %v", err)
		return
	}
	n.bytes += len(data)
	n.kinds[fmt.Sprintf("%T", a.Message)]++
	if !s.reachable(from, a.Peer) || s.rnd.Float64() < s.drop {
		return
	}
	if m, ok := a.Message.(spread.Summary); ok && s.drop == 0 && m.Purpose == spread.Ask && n.asked.Less(s.nodes[a.Peer].stamp) {
		n.asked = s.nodes[a.Peer].stamp
	}
	for range 1 + int(s.rnd.Float64()+s.dup) {
		delay := time.Duration(s.rnd.Int64N(int64(s.latency)))
		s.push(event{at: s.now.Add(delay), node: a.Peer, life: s.nodes[a.Peer].life, data: data})
	}
}

// disturb forgets who was asked: a fault may now lose the answers.
func (s *sim) disturb() {
	for _, n := range s.nodes {
		n.asked = state.Stamp{}
	}
}

// advance runs the network for the given time.
func (s *sim) advance(d time.Duration) {
	end := s.now.Add(d)
	for s.err == nil && len(s.q) > 0 && !s.q[0].at.After(end) {
		e := heap.Pop(&s.q).(event)
		s.now = e.at
		n := s.nodes[e.node]
		if !n.up || n.life != e.life {
			continue
		}
		switch {
		case e.once:
			s.run(e.node, n.core.Tick(s.now))
			continue
		case e.data == nil:
			s.tick(e.node)
			continue
		}
		m, err := spread.Decode(e.data)
		if err != nil {
			s.fail("decode: %v", err)
			return
		}
		if !s.reachable(m.Sender(), e.node) {
			continue
		}
		s.run(e.node, s.receive(n.core, m, s.now))
		// The message may have set an earlier deadline.
		if next := n.core.Next(s.now); next.After(s.now) && next.Before(s.now.Add(spread.PullWait)) {
			s.push(event{at: next, node: e.node, life: n.life, once: true})
		}
	}
	s.now = end
}

// lagging returns the running instances in the partition of control that do not
// hold its newest state, or do not serve.
func (s *sim) lagging(control string) []string {
	return slices.DeleteFunc(slices.Clone(s.names), func(name string) bool {
		n := s.nodes[name]
		newest := n.up && n.ready && n.core.View().Stamp() == s.machine.View().Stamp()
		return newest || !s.reachable(control, name)
	})
}

// TestCost guards against a cost per instance that grows with the fleet, and
// against changes that take longer than the goal of 2 s.
func TestCost(t *testing.T) {
	small, large := measure(t, 8), measure(t, 64)
	if large.idle > 1.2*small.idle || large.change > 1.2*small.change || large.large > 1.2*small.large {
		t.Fatalf("bytes per instance grow: %+v with 8, %+v with 64", small, large)
	}
	if large.slowest > 2*time.Second {
		t.Fatalf("a change took %s", large.slowest)
	}
}

type cost struct {
	idle    float64       // bytes per instance and second
	change  float64       // bytes per instance and change
	large   float64       // bytes per instance and change of a long document
	slowest time.Duration // until a change was everywhere
}

// longDocument returns a document of 9,798 bytes.
func longDocument(tb testing.TB) *fleet.Document {
	tb.Helper()
	doc := fleet.Default()
	set, err := fleet.Overrides{}.With("max_age", "1s")
	for i := 0; i < 50 && err == nil; i++ {
		doc, err = doc.WithException(fleet.Exception{
			Scope: fleet.Scope{Caller: fmt.Sprintf("reports-%d", i)}, Set: set, Author: "kim",
			Reason: "The nightly report reads the bookings of one day and may use data that is one second old.",
		})
	}
	if err != nil {
		tb.Fatal(err)
	}
	return doc
}

func measure(tb testing.TB, n int) cost {
	tb.Helper()
	s := newSim(7, (*spread.Core).Receive)
	s.register(n, 4)
	s.startAll()
	s.advance(10 * time.Second)
	if late := s.lagging("n0"); len(late) > 0 || s.err != nil {
		tb.Fatalf("not started: %v %v", late, s.err)
	}
	var c cost
	const idleSeconds, changes, longChanges, perChange = 60, 40, 4, 2
	doc := longDocument(tb)
	before := s.sent()
	s.advance(idleSeconds * time.Second)
	c.idle = float64(s.sent()-before) / float64(n) / idleSeconds
	before = s.sent()
	for i := range changes {
		s.publish("n0", state.Announce{Database: "bookings-core-1", Member: "db-1", Incarnation: uint64(i + 1), Store: "store-1", Zone: "z0", Address: "10.0.0.1:5432", Slots: 3, Connections: 40})
		c.slowest = max(c.slowest, s.settle(perChange*time.Second))
	}
	total := float64(s.sent()-before) / float64(n)
	c.change = (total - c.idle*changes*perChange) / changes
	before = s.sent()
	for i := range longChanges {
		s.publish("n0", state.NewApplyConfig(fmt.Sprintf("long-%d", i), uint64(i), doc, "kim", begin))
		c.slowest = max(c.slowest, s.settle(perChange*time.Second))
	}
	total = float64(s.sent()-before) / float64(n)
	c.large = (total - c.idle*longChanges*perChange) / longChanges
	if s.err != nil {
		tb.Fatal(s.err)
	}
	return c
}

// settle runs for d and returns how long it took until all hold the newest state.
func (s *sim) settle(d time.Duration) time.Duration {
	const step = 5 * time.Millisecond
	took := time.Duration(0)
	for passed := time.Duration(0); passed < d; passed += step {
		s.advance(step)
		if took == 0 && len(s.lagging("n0")) == 0 {
			took = passed + step
		}
	}
	if took == 0 {
		return 2 * d
	}
	return took
}

func (s *sim) sent() int {
	total := 0
	for _, n := range s.nodes {
		total += n.bytes
	}
	return total
}

// BenchmarkSpread measures bytes per instance at three sizes.
func BenchmarkSpread(b *testing.B) {
	for _, n := range []int{8, 64, 256} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			var c cost
			for b.Loop() {
				c = measure(b, n)
			}
			b.ReportMetric(c.idle, "idle-B/s")
			b.ReportMetric(c.change, "B/change")
			b.ReportMetric(c.large, "B/long-change")
			b.ReportMetric(float64(c.slowest.Milliseconds()), "slowest-ms")
		})
	}
}
