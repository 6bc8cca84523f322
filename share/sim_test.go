package share_test

import (
	"fmt"
	"math/rand"
	"time"

	"tamarackcross/share"
)

const step = time.Millisecond

// origin is the global time at which each simulation starts.
var origin = time.Unix(1_800_000_000, 0)

// clock is a clock with an offset to the global time and a drift.
type clock struct {
	offset time.Duration
	rate   float64
}

func (c clock) at(t time.Duration) time.Time {
	return origin.Add(c.offset + time.Duration(float64(t)*c.rate))
}

// statement is a statement on the backend server. It ends at end, or earlier if its
// holder cancels it.
type statement struct {
	end         time.Duration
	long        bool
	incarnation uint64 // of its holder
}

// instance is a simulated instance with its lease holder.
type instance struct {
	clock
	holder              *share.LeaseHolder
	incarnation         uint64
	owner               *owner // the owner to which it sends its Asks
	running             []statement
	waiting             [2]int // short, long
	since               time.Duration
	frozen, partitioned bool
	done                int
	started             time.Duration // when a statement last started, or when none was waiting
	longestWait         time.Duration // longest time without a start while statements waited
}

type owner struct {
	clock
	*share.Broker
	confirmed bool // whether the control log still confirms the ownership
}

type message struct {
	at       time.Duration
	ask      *share.Ask
	to       *owner
	grant    *share.Grant
	instance int
}

// injectedFault is a rule of the package that a run leaves out, to test that the
// check of the limit detects it.
type injectedFault int

const (
	noFault injectedFault = iota
	fromReceipt
	skipInitialWait
	ignoreConfirm
)

// sim simulates holders, brokers and a network that loses messages, in global time.
// Statements of a crashed or frozen holder end within the linger time, as the package
// requires of the backend server.
type sim struct {
	rnd         *rand.Rand
	now         time.Duration
	instances   []*instance
	owners      []*owner
	inTransit   []message
	limit       share.Amount
	peak        share.Amount  // largest limit by which grants may still be in force
	peakUntil   time.Duration // when they have ended
	loss        float64
	delay       time.Duration
	maxDuration [2]time.Duration // longest duration of short and of long statements
	fault       injectedFault
	maxUsed     share.Amount // largest number of units in use at a time
}

func newSim(seed int64, instances int, limit share.Amount, drift float64, fault injectedFault) *sim {
	s := &sim{
		rnd: rand.New(rand.NewSource(seed)), limit: limit, peak: limit, fault: fault, delay: step,
		maxDuration: [2]time.Duration{20 * time.Millisecond, 400 * time.Millisecond},
	}
	for range instances {
		s.instances = append(s.instances, &instance{clock: s.newClock(drift)})
	}
	s.changeOwner(s.newClock(drift))
	for n := range s.instances {
		s.restart(n)
	}
	return s
}

func (s *sim) newClock(drift float64) clock {
	return clock{time.Duration(s.rnd.Intn(1000)) * time.Second, 1 + drift*(2*s.rnd.Float64()-1)}
}

// changeOwner appoints a new owner. The former one is no longer confirmed, but continues
// to run and to answer the instances that still send it their Asks.
func (s *sim) changeOwner(c clock) {
	for _, o := range s.owners {
		o.confirmed = false
	}
	b := share.NewBroker(uint64(len(s.owners)+1), s.limit, c.at(s.now))
	if s.fault == skipInitialWait {
		b.SkipInitialWait()
	}
	s.owners = append(s.owners, &owner{c, b, true})
}

func (s *sim) newest() *owner { return s.owners[len(s.owners)-1] }

// restart crashes an instance and starts it again with a new holder. Its running
// statements end soon.
func (s *sim) restart(n int) {
	x := s.instances[n]
	s.endStatements(x, s.now)
	x.incarnation++
	x.holder = share.NewLeaseHolder(fmt.Sprint(n), x.incarnation)
	if s.fault == fromReceipt {
		x.holder.CountFromReceipt()
	}
	x.owner, x.frozen = s.newest(), false
}

// endStatements ends the running statements of an instance at most a third of the linger
// time after at.
func (s *sim) endStatements(x *instance, at time.Duration) {
	for i := range x.running {
		x.running[i].end = min(x.running[i].end, at+100*time.Millisecond)
	}
}

func (s *sim) setLimit(l share.Amount) {
	s.peak = share.Amount{Units: max(s.peak.Units, l.Units), Long: max(s.peak.Long, l.Long)}
	s.limit, s.peakUntil = l, s.now+share.MaxLease
	for _, o := range s.owners {
		s.send(o.SetLimit(l, o.at(s.now)))
	}
}

// used returns the number of units in use on the backend server.
func (s *sim) used() share.Amount {
	var sum share.Amount
	for _, x := range s.instances {
		for _, w := range x.running {
			sum.Units++
			if w.long {
				sum.Long++
			}
		}
	}
	return sum
}

// run advances the simulation by d and returns the first violation of the limit.
func (s *sim) run(d time.Duration) error {
	for end := s.now + d; s.now < end; {
		s.now += step
		for n, x := range s.instances {
			s.finish(x)
			if x.frozen {
				s.enforceStatementLimit(x)
				continue
			}
			s.stepInstance(n, x)
		}
		s.deliver()
		for _, o := range s.owners {
			if o.confirmed || s.fault == ignoreConfirm {
				o.Confirm(o.at(s.now))
			}
			if s.now%(5*step) == 0 {
				s.send(o.Tick(o.at(s.now)))
			}
		}
		if s.now > s.peakUntil {
			s.peak = s.limit
		}
		u := s.used()
		s.maxUsed = share.Amount{Units: max(s.maxUsed.Units, u.Units), Long: max(s.maxUsed.Long, u.Long)}
		if u.Units > s.peak.Units || u.Long > s.peak.Long {
			return fmt.Errorf("%v in use at %v, limit %v", u, s.now, s.peak)
		}
		if g := s.newest().Granted(s.newest().at(s.now)); g.Units > s.peak.Units || g.Long > s.peak.Long {
			return fmt.Errorf("%v granted at %v, limit %v", g, s.now, s.peak)
		}
	}
	return nil
}

func (s *sim) finish(x *instance) {
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

// enforceStatementLimit applies the limit of the backend server on the duration of
// statements, which ends those of a holder that can neither renew its lease nor
// cancel them.
func (s *sim) enforceStatementLimit(x *instance) {
	if x.holder.Overdue(x.at(s.now)) {
		s.endStatements(x, s.now)
	}
}

func (s *sim) stepInstance(n int, x *instance) {
	now := x.at(s.now)
	if x.holder.Overdue(now) {
		s.endStatements(x, s.now)
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
			took := 1 + time.Duration(s.rnd.Int63n(int64(s.maxDuration[long])))
			x.running = append(x.running, statement{s.now + took, long == 1, x.incarnation})
		}
	}
	waiting := share.Amount{Units: x.waiting[0] + x.waiting[1], Long: x.waiting[1]}
	d := share.Demand{Busy: busy, Waiting: waiting}
	if waiting.Units == 0 {
		x.since, x.started = s.now, s.now
	} else {
		x.longestWait = max(x.longestWait, s.now-x.started)
		d.WaitingSince = x.at(x.since)
	}
	if a, ok := x.holder.Ask(d, now); ok && !s.lost(x) {
		s.inTransit = append(s.inTransit, message{at: s.arrivalTime(), ask: &a, to: x.owner, instance: n})
	}
}

func (s *sim) lost(x *instance) bool { return x.partitioned || s.rnd.Float64() < s.loss }

func (s *sim) arrivalTime() time.Duration {
	return s.now + step + time.Duration(s.rnd.Int63n(int64(s.delay)))
}

func (s *sim) send(grants []share.Grant) {
	for _, g := range grants {
		var n int
		_, _ = fmt.Sscan(g.Holder, &n)
		if !s.lost(s.instances[n]) {
			s.inTransit = append(s.inTransit, message{at: s.arrivalTime(), grant: &g, instance: n})
		}
	}
}

// deliver delivers the messages that have arrived. Grants for a frozen instance wait.
func (s *sim) deliver() {
	messages := s.inTransit
	s.inTransit = nil
	for _, m := range messages {
		x := s.instances[m.instance]
		switch {
		case m.at > s.now || m.grant != nil && x.frozen:
			s.inTransit = append(s.inTransit, m)
		case m.grant != nil:
			x.holder.Receive(*m.grant, x.at(s.now))
		default:
			s.send(m.to.Request(*m.ask, m.to.at(s.now)))
		}
	}
}

// report runs the simulation for d and returns a summary of how the units were used.
func (s *sim) report(d time.Duration) string {
	busy := 0
	s.maxUsed = share.Amount{}
	for _, x := range s.instances {
		x.done, x.longestWait, x.started = 0, 0, s.now
	}
	for range int(d / step) {
		if err := s.run(step); err != nil {
			return err.Error()
		}
		busy += s.used().Units
	}
	var done []int
	var longestWait time.Duration
	for _, x := range s.instances {
		done = append(done, x.done)
		longestWait = max(longestWait, x.longestWait)
	}
	return fmt.Sprintf("used: mean %.2f most %d long %d\ndone: %v\nlongest wait for a start: %v",
		float64(busy)/float64(d/step), s.maxUsed.Units, s.maxUsed.Long, done, longestWait)
}
