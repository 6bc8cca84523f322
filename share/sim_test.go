package share_test

import (
	"fmt"
	"math/rand"
	"time"

	"tamarackcross/share"
)

const step = time.Millisecond

// origin is the true time at which each simulation starts.
var origin = time.Unix(1_800_000_000, 0)

// clock runs at a rate of its own.
type clock struct {
	offset time.Duration
	rate   float64
}

func (c clock) at(t time.Duration) time.Time {
	return origin.Add(c.offset + time.Duration(float64(t)*c.rate))
}

// work is one statement on the backend server. It ends at end whatever its
// holder does, and earlier if the holder cancels it.
type work struct {
	end         time.Duration
	long        bool
	incarnation uint64 // of its holder
}

// node is one instance with its holder.
type node struct {
	clock
	holder      *share.Holder
	incarnation uint64
	owner       *owner // the broker that it asks
	running     []work
	waiting     [2]int // short, long
	since       time.Duration
	frozen, cut bool
	done        int
	started     time.Duration // when work last started, or nothing waited
	gap         time.Duration // longest wait for a start
}

type owner struct {
	clock
	*share.Broker
	confirmed bool // the control log still confirms it
}

type message struct {
	at    time.Duration
	ask   *share.Ask
	to    *owner
	grant *share.Grant
	node  int
}

// weakness removes one rule, to show that the check notices.
type weakness int

const (
	sound weakness = iota
	fromReceipt
	skipQuiet
	ignoreConfirm
)

// sim runs holders, brokers and a lossy network in true time. Work of a crashed
// or frozen holder ends within the linger time, as the package requires.
type sim struct {
	rnd    *rand.Rand
	now    time.Duration
	nodes  []*node
	owners []*owner
	inbox  []message
	limit  share.Amount
	peak   share.Amount // largest limit that may still be in force
	peakAt time.Duration
	loss   float64
	delay  time.Duration
	work   [2]time.Duration // longest short and long work
	weak   weakness
	most   share.Amount // largest amount in use
}

func newSim(seed int64, nodes int, limit share.Amount, drift float64, weak weakness) *sim {
	s := &sim{
		rnd: rand.New(rand.NewSource(seed)), limit: limit, peak: limit, weak: weak, delay: step,
		work: [2]time.Duration{20 * time.Millisecond, 400 * time.Millisecond},
	}
	for range nodes {
		s.nodes = append(s.nodes, &node{clock: s.clock(drift)})
	}
	s.elect(s.clock(drift))
	for n := range s.nodes {
		s.restart(n)
	}
	return s
}

func (s *sim) clock(drift float64) clock {
	return clock{time.Duration(s.rnd.Intn(1000)) * time.Second, 1 + drift*(2*s.rnd.Float64()-1)}
}

// elect makes a new owner. The former one is no longer confirmed, but it runs on
// and answers the nodes that still ask it.
func (s *sim) elect(c clock) {
	for _, o := range s.owners {
		o.confirmed = false
	}
	b := share.NewBroker(uint64(len(s.owners)+1), s.limit, c.at(s.now))
	if s.weak == skipQuiet {
		b.SkipQuiet()
	}
	s.owners = append(s.owners, &owner{c, b, true})
}

func (s *sim) newest() *owner { return s.owners[len(s.owners)-1] }

// restart crashes a node: its work ends soon, its holder starts anew.
func (s *sim) restart(n int) {
	x := s.nodes[n]
	s.abandon(x, s.now)
	x.incarnation++
	x.holder = share.NewHolder(fmt.Sprint(n), x.incarnation)
	if s.weak == fromReceipt {
		x.holder.CountFromReceipt()
	}
	x.owner, x.frozen = s.newest(), false
}

// abandon bounds the work of a node to a third of the linger time after at.
func (s *sim) abandon(x *node, at time.Duration) {
	for i := range x.running {
		x.running[i].end = min(x.running[i].end, at+100*time.Millisecond)
	}
}

func (s *sim) setLimit(l share.Amount) {
	s.peak = share.Amount{Units: max(s.peak.Units, l.Units), Long: max(s.peak.Long, l.Long)}
	s.limit, s.peakAt = l, s.now+share.MaxLease
	for _, o := range s.owners {
		s.send(o.SetLimit(l, o.at(s.now)))
	}
}

// used returns the units in use on the backend server.
func (s *sim) used() share.Amount {
	var sum share.Amount
	for _, x := range s.nodes {
		for _, w := range x.running {
			sum.Units++
			if w.long {
				sum.Long++
			}
		}
	}
	return sum
}

// run advances by d and returns the first violation.
func (s *sim) run(d time.Duration) error {
	for end := s.now + d; s.now < end; {
		s.now += step
		for n, x := range s.nodes {
			s.finish(x)
			if x.frozen {
				s.freeze(x)
				continue
			}
			s.act(n, x)
		}
		s.deliver()
		for _, o := range s.owners {
			if o.confirmed || s.weak == ignoreConfirm {
				o.Confirm(o.at(s.now))
			}
			if s.now%(5*step) == 0 {
				s.send(o.Tick(o.at(s.now)))
			}
		}
		if s.now > s.peakAt {
			s.peak = s.limit
		}
		u := s.used()
		s.most = share.Amount{Units: max(s.most.Units, u.Units), Long: max(s.most.Long, u.Long)}
		if u.Units > s.peak.Units || u.Long > s.peak.Long {
			return fmt.Errorf("%v in use at %v, limit %v", u, s.now, s.peak)
		}
		if g := s.newest().Granted(s.newest().at(s.now)); g.Units > s.peak.Units || g.Long > s.peak.Long {
			return fmt.Errorf("%v granted at %v, limit %v", g, s.now, s.peak)
		}
	}
	return nil
}

func (s *sim) finish(x *node) {
	kept := x.running[:0]
	for _, w := range x.running {
		if w.end > s.now {
			kept = append(kept, w)
		} else {
			x.done++
		}
	}
	x.running = kept
}

// freeze applies the statement limit of the backend server, which ends the work
// of a holder that can neither renew nor cancel.
func (s *sim) freeze(x *node) {
	if x.holder.Overdue(x.at(s.now)) {
		s.abandon(x, s.now)
	}
}

func (s *sim) act(n int, x *node) {
	now := x.at(s.now)
	if x.holder.Overdue(now) {
		s.abandon(x, s.now)
	}
	var busy share.Amount
	for _, w := range x.running {
		if w.incarnation != x.incarnation {
			continue
		}
		busy.Units++
		if w.long {
			busy.Long++
		}
	}
	usable := x.holder.Usable(now)
	for _, long := range []int{1, 0} {
		for x.waiting[long] > 0 && busy.Units < usable.Units && (long == 0 || busy.Long < usable.Long) {
			x.waiting[long]--
			x.started = s.now
			busy.Units++
			busy.Long += long
			took := 1 + time.Duration(s.rnd.Int63n(int64(s.work[long])))
			x.running = append(x.running, work{s.now + took, long == 1, x.incarnation})
		}
	}
	waiting := share.Amount{Units: x.waiting[0] + x.waiting[1], Long: x.waiting[1]}
	d := share.Demand{Busy: busy, Waiting: waiting}
	if waiting.Units == 0 {
		x.since, x.started = s.now, s.now
	} else {
		x.gap = max(x.gap, s.now-x.started)
		d.Since = x.at(x.since)
	}
	if a, ok := x.holder.Ask(d, now); ok && !s.lost(x) {
		s.inbox = append(s.inbox, message{at: s.later(), ask: &a, to: x.owner, node: n})
	}
}

func (s *sim) lost(x *node) bool { return x.cut || s.rnd.Float64() < s.loss }

func (s *sim) later() time.Duration {
	return s.now + step + time.Duration(s.rnd.Int63n(int64(s.delay)))
}

func (s *sim) send(grants []share.Grant) {
	for _, g := range grants {
		var n int
		_, _ = fmt.Sscan(g.Holder, &n)
		if !s.lost(s.nodes[n]) {
			s.inbox = append(s.inbox, message{at: s.later(), grant: &g, node: n})
		}
	}
}

// deliver hands out the messages that have arrived; those for a frozen node wait.
func (s *sim) deliver() {
	box := s.inbox
	s.inbox = nil
	for _, m := range box {
		x := s.nodes[m.node]
		switch {
		case m.at > s.now || m.grant != nil && x.frozen:
			s.inbox = append(s.inbox, m)
		case m.grant != nil:
			x.holder.Receive(*m.grant, x.at(s.now))
		default:
			s.send(m.to.Request(*m.ask, m.to.at(s.now)))
		}
	}
}

// report runs for d and renders how the units were used.
func (s *sim) report(d time.Duration) string {
	busy := 0
	s.most = share.Amount{}
	for _, x := range s.nodes {
		x.done, x.gap, x.started = 0, 0, s.now
	}
	for range int(d / step) {
		if err := s.run(step); err != nil {
			return err.Error()
		}
		busy += s.used().Units
	}
	var done []int
	var gap time.Duration
	for _, x := range s.nodes {
		done = append(done, x.done)
		gap = max(gap, x.gap)
	}
	return fmt.Sprintf("used: mean %.2f most %d long %d\ndone: %v\nlongest wait for a start: %v",
		float64(busy)/float64(d/step), s.most.Units, s.most.Long, done, gap)
}
