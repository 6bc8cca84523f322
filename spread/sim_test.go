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

var startTime = time.UnixMilli(1_800_000_000_000)

// event is the arrival of a message, or a tick if data is nil.
type event struct {
	at          time.Time
	seq         int
	instance    string
	incarnation int
	data        []byte
	once        bool // a tick that does not schedule the next one
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simInstance is an instance in the simulated network.
type simInstance struct {
	core         *spread.Core
	zone         string
	incarnation  int
	running      bool
	sentBytes    int
	sentByKind   map[string]int
	version      uint64
	stamp        state.Stamp
	highestAsked state.Stamp // highest stamp of the reachable peers that it asked since its start
	ready        bool
}

type receiveFunc func(*spread.Core, spread.Message, time.Time) []spread.Action

// sim is a simulated network of cores with the state machine of control. It checks
// at each step that no instance goes back, that views with equal stamps are equal,
// and that no instance serves a state older than one that a reachable peer had when
// it was asked.
type sim struct {
	now           time.Time
	events        eventQueue
	seq           int
	rnd           *rand.Rand
	names         []string
	instances     map[string]*simInstance
	partitions    map[string]int // partition by zone
	lossRate      float64
	duplicateRate float64
	latency       time.Duration
	receive       receiveFunc
	machine       *state.Machine
	index         uint64
	digests       map[state.Stamp]uint64
	err           error
}

func newSim(seed uint64, receive receiveFunc) *sim {
	return &sim{
		now: startTime, rnd: rand.New(rand.NewPCG(seed, 1)), instances: make(map[string]*simInstance), partitions: make(map[string]int),
		latency: 3 * time.Millisecond, receive: receive, machine: state.New(), digests: make(map[state.Stamp]uint64),
	}
}

// register adds n instances, distributed over the zones, to the state.
func (s *sim) register(n, zones int) {
	for i := range n {
		name, zone := fmt.Sprintf("n%d", i), fmt.Sprintf("z%d", i%zones)
		s.names = append(s.names, name)
		s.instances[name] = &simInstance{zone: zone, sentByKind: make(map[string]int)}
		s.commit(state.RegisterInstance{Instance: state.Instance{Name: name, Incarnation: 1, Zone: zone, Addresses: []string{"127.0.0.1:1"}, Roles: []string{state.RoleEntry}}})
	}
}

// commit applies a command to the state machine and returns its delta.
func (s *sim) commit(c state.Command) state.Delta {
	s.index++
	d := s.machine.Apply(state.Stamp{Term: 1 + s.index/100, Index: s.index}, c).Delta
	s.digests[s.machine.View().Stamp()] = s.machine.View().Digest()
	return d
}

// publish commits a command and publishes its delta at the named instance.
func (s *sim) publish(name string, c state.Command) state.Delta {
	d := s.commit(c)
	s.execute(name, s.instances[name].core.Publish(d, s.now))
	return d
}

func (s *sim) config(id string) state.Command {
	return state.NewApplyConfig(id, s.machine.View().Config().Version(), fleet.Default(), "kim", startTime)
}

// start starts an instance with an empty state.
func (s *sim) start(name string) {
	n := s.instances[name]
	var seeds []spread.Peer
	for _, other := range s.names {
		seeds = append(seeds, spread.Peer{Name: other, Zone: s.instances[other].zone})
	}
	n.incarnation++
	n.running, n.ready = true, false
	n.stamp, n.highestAsked, n.version = state.Stamp{}, state.Stamp{}, 0
	n.core = spread.New(spread.Peer{Name: name, Zone: n.zone}, spread.WithRandomSeed(uint64(n.incarnation)), spread.WithSeedPeers(seeds...))
	s.tickInstance(name)
}

// startAll starts all instances. The first one gets the state of control.
func (s *sim) startAll() {
	for _, name := range s.names {
		s.start(name)
	}
	s.execute(s.names[0], s.instances[s.names[0]].core.Adopt(s.machine.View(), s.now))
}

func (s *sim) tickInstance(name string) {
	n := s.instances[name]
	s.execute(name, n.core.Tick(s.now))
	next := n.core.NextTick(s.now)
	if !next.After(s.now) {
		next = s.now.Add(time.Millisecond)
	}
	s.push(event{at: next, instance: name, incarnation: n.incarnation})
}

func (s *sim) push(e event) {
	s.seq++
	e.seq = s.seq
	heap.Push(&s.events, e)
}

func (s *sim) reachable(from, to string) bool {
	a, b := s.instances[from], s.instances[to]
	return b != nil && a.running && b.running && s.partitions[a.zone] == s.partitions[b.zone]
}

// execute carries out the actions of an instance and checks them.
func (s *sim) execute(name string, actions []spread.Action) {
	n := s.instances[name]
	for _, a := range actions {
		switch a := a.(type) {
		case spread.Send:
			s.send(name, a)
		case spread.Apply:
			s.checkApplied(name, a)
		case spread.Ready:
			n.ready = true
			if a.Stamp.Less(n.highestAsked) {
				s.fail("%s serves %s although a peer that it asked held %s", name, a.Stamp, n.highestAsked)
			}
		case spread.Diverged, spread.Rejected:
			s.fail("%s: %+v", name, a)
		}
	}
}

func (s *sim) checkApplied(name string, a spread.Apply) {
	n := s.instances[name]
	v := a.View
	if !n.stamp.Less(v.Stamp()) || v.Config().Version() < n.version {
		s.fail("%s went back from %s to %s", name, n.stamp, v.Stamp())
	}
	if want, ok := s.digests[v.Stamp()]; !ok || want != v.Digest() {
		s.fail("%s has another state than control at %s", name, v.Stamp())
	}
	n.stamp, n.version = v.Stamp(), v.Config().Version()
}

func (s *sim) fail(format string, args ...any) {
	if s.err == nil {
		s.err = eris.Errorf(format, args...)
	}
}

func (s *sim) send(from string, a spread.Send) {
	n := s.instances[from]
	data, err := spread.Encode(a.Message)
	if err != nil {
		s.fail("encode: %v", err)
		return
	}
	n.sentBytes += len(data)
	n.sentByKind[fmt.Sprintf("%T", a.Message)]++
	if !s.reachable(from, a.Peer) || s.rnd.Float64() < s.lossRate {
		return
	}
	if m, ok := a.Message.(spread.Summary); ok && s.lossRate == 0 && m.Purpose == spread.Ask && n.highestAsked.Less(s.instances[a.Peer].stamp) {
		n.highestAsked = s.instances[a.Peer].stamp
	}
	for range 1 + int(s.rnd.Float64()+s.duplicateRate) {
		delay := time.Duration(s.rnd.Int64N(int64(s.latency)))
		s.push(event{at: s.now.Add(delay), instance: a.Peer, incarnation: s.instances[a.Peer].incarnation, data: data})
	}
}

// forgetQueries forgets the peers that were asked, as a fault may lose the answers.
func (s *sim) forgetQueries() {
	for _, n := range s.instances {
		n.highestAsked = state.Stamp{}
	}
}

// advance runs the simulation for d.
func (s *sim) advance(d time.Duration) {
	end := s.now.Add(d)
	for s.err == nil && len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		n := s.instances[e.instance]
		if !n.running || n.incarnation != e.incarnation {
			continue
		}
		switch {
		case e.once:
			s.execute(e.instance, n.core.Tick(s.now))
			continue
		case e.data == nil:
			s.tickInstance(e.instance)
			continue
		}
		m, err := spread.Decode(e.data)
		if err != nil {
			s.fail("decode: %v", err)
			return
		}
		if !s.reachable(m.Sender(), e.instance) {
			continue
		}
		s.execute(e.instance, s.receive(n.core, m, s.now))
		// The message may have set an earlier time for the next Tick.
		if next := n.core.NextTick(s.now); next.After(s.now) && next.Before(s.now.Add(spread.PullTimeout)) {
			s.push(event{at: next, instance: e.instance, incarnation: n.incarnation, once: true})
		}
	}
	s.now = end
}

// lagging returns the running instances in the partition of the control instance
// that do not have the newest state or do not serve.
func (s *sim) lagging(control string) []string {
	return slices.DeleteFunc(slices.Clone(s.names), func(name string) bool {
		n := s.instances[name]
		newest := n.running && n.ready && n.core.View().Stamp() == s.machine.View().Stamp()
		return newest || !s.reachable(control, name)
	})
}

// TestCost guards against a cost per instance that grows with the number of instances,
// and against changes that take longer than 2 s to reach all of them.
func TestCost(t *testing.T) {
	small, large := measureCost(t, 8), measureCost(t, 64)
	if large.idle > 1.2*small.idle || large.change > 1.2*small.change || large.longChange > 1.2*small.longChange {
		t.Fatalf("bytes per instance grow: %+v with 8 instances, %+v with 64", small, large)
	}
	if large.slowest > 2*time.Second {
		t.Fatalf("a change took %s to reach all instances", large.slowest)
	}
}

type spreadCost struct {
	idle       float64       // bytes per instance and second
	change     float64       // bytes per instance and change
	longChange float64       // bytes per instance and change that is too long to push
	slowest    time.Duration // longest time until a change reached all instances
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

func measureCost(tb testing.TB, n int) spreadCost {
	tb.Helper()
	s := newSim(7, (*spread.Core).Receive)
	s.register(n, 4)
	s.startAll()
	s.advance(10 * time.Second)
	if late := s.lagging("n0"); len(late) > 0 || s.err != nil {
		tb.Fatalf("instances %v are not serving the newest state after the start; error: %v", late, s.err)
	}
	var c spreadCost
	const idleSeconds, changes, longChanges, perChange = 60, 40, 4, 2
	doc := longDocument(tb)
	before := s.sent()
	s.advance(idleSeconds * time.Second)
	c.idle = float64(s.sent()-before) / float64(n) / idleSeconds
	before = s.sent()
	for i := range changes {
		s.publish("n0", state.Announce{Database: "bookings-core-1", Member: "db-1", Incarnation: uint64(i + 1), Store: "store-1", Zone: "z0", Address: "10.0.0.1:5432", Slots: 3, Connections: 40})
		c.slowest = max(c.slowest, s.measureSpread(perChange*time.Second))
	}
	total := float64(s.sent()-before) / float64(n)
	c.change = (total - c.idle*changes*perChange) / changes
	before = s.sent()
	for i := range longChanges {
		s.publish("n0", state.NewApplyConfig(fmt.Sprintf("long-%d", i), uint64(i), doc, "kim", startTime))
		c.slowest = max(c.slowest, s.measureSpread(perChange*time.Second))
	}
	total = float64(s.sent()-before) / float64(n)
	c.longChange = (total - c.idle*longChanges*perChange) / longChanges
	if s.err != nil {
		tb.Fatal(s.err)
	}
	return c
}

// measureSpread runs the simulation for d and returns how long it took until all
// instances had the newest state, or 2*d if they did not get it.
func (s *sim) measureSpread(d time.Duration) time.Duration {
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
	for _, n := range s.instances {
		total += n.sentBytes
	}
	return total
}

// BenchmarkSpread measures the traffic per instance with 8, 64 and 256 instances.
func BenchmarkSpread(b *testing.B) {
	for _, n := range []int{8, 64, 256} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			var c spreadCost
			for b.Loop() {
				c = measureCost(b, n)
			}
			b.ReportMetric(c.idle, "idle-B/s")
			b.ReportMetric(c.change, "B/change")
			b.ReportMetric(c.longChange, "B/long-change")
			b.ReportMetric(float64(c.slowest.Milliseconds()), "slowest-ms")
		})
	}
}
