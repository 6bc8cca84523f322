package route_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"tamarackcross/group"
	"tamarackcross/route"
)

// The simulation compares policies for reads whose bound no replica covers yet.
// Three members have 5 slots each, 10% of the statements are writes, and the lag
// varies between 0 and 500 ms.
const (
	simSlots           = 5
	simMeanService     = 2 * time.Millisecond
	simDuration        = 30 * time.Second
	simRefreshInterval = 10 * time.Millisecond
	simMaxLag          = 500 * time.Millisecond
	simLagPeriod       = 4 * time.Second
)

type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

type simEvents []simEvent

func (h simEvents) Len() int { return len(h) }

func (h simEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h simEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simEvents) Push(x any)   { *h = append(*h, x.(simEvent)) }

func (h *simEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

type sim struct {
	now          time.Duration
	seq          int
	events       simEvents
	rnd          *rand.Rand
	policy       *route.Policy
	balance      *route.Balance
	stepLag      bool
	commits      []time.Duration
	maxApplied   [3]uint64
	view         route.Group
	running      [3]int
	queues       [3][]func()
	reads        []time.Duration
	writes       []time.Duration
	replicaReads int
	resent       int
}

var simEpoch = time.Unix(1_000_000, 0)

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, simEvent{at: s.now + d, seq: s.seq, run: run})
}

func (s *sim) position(at time.Duration) uint64 {
	n := sort.Search(len(s.commits), func(i int) bool { return s.commits[i] > at })
	return uint64(n)
}

func (s *sim) lag(member int) time.Duration {
	phase := float64(s.now)/float64(simLagPeriod) + float64(member)*0.3
	if s.stepLag {
		return time.Duration(int(phase*2)%2) * simMaxLag
	}
	return time.Duration((0.5 + 0.5*math.Sin(2*math.Pi*phase)) * float64(simMaxLag))
}

func (s *sim) applied(member int) uint64 {
	if member == 0 {
		return uint64(len(s.commits))
	}
	s.maxApplied[member] = max(s.maxApplied[member], s.position(s.now-s.lag(member)))
	return s.maxApplied[member]
}

// refresh updates what the entry knows about the group, as group_watch does.
func (s *sim) refresh() {
	for i := range s.view.Members {
		m := &s.view.Members[i]
		m.Applied = group.Position{Term: 1, Offset: s.applied(i)}
		m.AsOf = simEpoch.Add(s.now)
		m.Lag = max(s.lag(i), time.Microsecond)
		m.Load = float64(s.running[i]+len(s.queues[i])) / simSlots
		m.QueueWait = time.Duration(len(s.queues[i])) * simMeanService / simSlots
	}
	s.view.Samples.Add(simEpoch.Add(s.now), group.Position{Term: 1, Offset: uint64(len(s.commits))})
	s.after(simRefreshInterval, s.refresh)
}

// serve runs a statement on a slot of a member. It calls start when the statement
// gets the slot and end when it has ended.
func (s *sim) serve(member int, start, end func()) {
	run := func() {
		s.running[member]++
		start()
		s.after(time.Duration(s.rnd.ExpFloat64()*float64(simMeanService)), func() {
			s.running[member]--
			end()
			if q := s.queues[member]; len(q) > 0 && s.running[member] < simSlots {
				s.queues[member] = q[1:]
				q[0]()
			}
		})
	}
	if s.running[member] < simSlots {
		run()
		return
	}
	s.queues[member] = append(s.queues[member], run)
}

func (s *sim) session(thinkTime time.Duration, zone string) {
	var bound uint64
	var next func()
	read := func() { s.read(&bound, zone, func() { next() }) }
	write := func() {
		startedAt := s.now
		s.serve(0, func() {}, func() {
			s.commits = append(s.commits, s.now)
			bound = uint64(len(s.commits))
			s.writes = append(s.writes, s.now-startedAt)
			next()
		})
	}
	next = func() {
		s.after(time.Duration(s.rnd.ExpFloat64()*float64(thinkTime)), func() {
			if s.rnd.Float64() < 0.1 {
				write()
				return
			}
			read()
		})
	}
	next()
}

func (s *sim) read(bound *uint64, zone string, done func()) {
	startedAt := s.now
	required := *bound
	var exclude []string
	var attempt func()
	attempt = func() {
		q := route.Query{
			Bound:    group.SessionBound{Position: group.Position{Term: 1, Offset: required}},
			Zone:     zone,
			Expected: simMeanService,
			Waited:   s.now - startedAt,
			Exclude:  exclude,
		}
		if s.balance != nil {
			s.view.Penalty = s.balance.Penalty()
		}
		switch c := s.policy.Pick(q, s.view, simEpoch.Add(s.now), s.rnd).(type) {
		case route.Wait:
			s.after(min(c.Until.Sub(simEpoch)-s.now, simRefreshInterval), attempt)
		case route.Use:
			member := slices.IndexFunc(s.view.Members, func(m route.Member) bool { return m.Name == c.Name })
			var snapshot uint64
			s.serve(member, func() { snapshot = s.applied(member) }, func() {
				if snapshot < required {
					s.resent++
					exclude = append(exclude, c.Name)
					attempt()
					return
				}
				s.finish(member, startedAt)
				*bound = max(*bound, snapshot)
				done()
			})
		}
	}
	attempt()
}

func (s *sim) finish(member int, startedAt time.Duration) {
	s.reads = append(s.reads, s.now-startedAt)
	if member > 0 {
		s.replicaReads++
	}
	if s.balance != nil {
		s.balance.Record(member == 0)
	}
}

type simResult struct {
	replicaShare         float64
	perSecond            int
	mean, p99, writesP99 time.Duration
	resent               int
}

func (r simResult) String() string {
	const ms = float64(time.Millisecond)
	return fmt.Sprintf("share %.3f  %5d reads/s  mean %5.1f ms  p99 %5.1f ms  writes p99 %5.1f ms  sent again %d",
		r.replicaShare, r.perSecond, float64(r.mean)/ms, float64(r.p99)/ms, float64(r.writesP99)/ms, r.resent)
}

func simulate(policy *route.Policy, balance *route.Balance, sessions int, thinkTime time.Duration, step bool) simResult {
	h, _ := group.NewHistory(group.TermStart{Term: 1})
	s := &sim{rnd: rand.New(rand.NewPCG(1, 2)), policy: policy, balance: balance, stepLag: step}
	s.view = route.Group{Term: 1, History: h, Primary: "a", Samples: &route.Samples{}, Members: []route.Member{
		{Name: "a", Zone: "z0", Primary: true}, {Name: "b", Zone: "z1"}, {Name: "c", Zone: "z2"},
	}}
	s.refresh()
	for i := range sessions {
		s.session(thinkTime, fmt.Sprintf("z%d", i%3))
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		if e.at > simDuration {
			break
		}
		s.now = e.at
		e.run()
	}
	return s.result()
}

func (s *sim) result() simResult {
	slices.Sort(s.reads)
	slices.Sort(s.writes)
	var sum time.Duration
	for _, d := range s.reads {
		sum += d
	}
	n := len(s.reads)
	return simResult{
		replicaShare: float64(s.replicaReads) / float64(n),
		perSecond:    n / int(simDuration/time.Second),
		mean:         sum / time.Duration(n),
		p99:          s.reads[n*99/100],
		writesP99:    s.writes[len(s.writes)*99/100],
		resent:       s.resent,
	}
}

// TestWaitOrPrimary guards against a default policy with which replicas serve
// less than 0.95 of the reads, because too many reads that no replica covers yet
// go to the primary instead of waiting.
func TestWaitOrPrimary(t *testing.T) {
	for _, load := range []struct {
		sessions int
		think    time.Duration
	}{{50, 20 * time.Millisecond}, {200, 100 * time.Millisecond}, {1000, 500 * time.Millisecond}} {
		for _, step := range []bool{false, true} {
			t.Logf("%d sessions, think %v, step %v", load.sessions, load.think, step)
			run := func(name string, p *route.Policy, b *route.Balance) simResult {
				r := simulate(p, b, load.sessions, load.think, step)
				t.Logf("%-14s %v", name, r)
				return r
			}
			if testing.Verbose() {
				for _, d := range []time.Duration{0, 5, 20, 50, 100, 200, 400, 2000} {
					run(fmt.Sprintf("penalty %dms", d), route.New(route.WithPrimaryPenalty(d*time.Millisecond)), nil)
				}
			}
			if r := run("balance", route.New(), route.NewBalance()); r.replicaShare < 0.95 {
				t.Errorf("replicas served %.3f of the reads, want at least 0.95", r.replicaShare)
			}
		}
	}
}
