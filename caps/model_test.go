package caps_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"tamarackcross/caps"
)

// The model: control instances of which a newer leader replaces an older one at any time, and
// holders. Messages are delayed, reordered, repeated and lost. Every process may stand still
// between two of its steps or restart, and clocks differ in rate. A configuration comes into force
// at each process at another time. The holders spend whatever they can.

// weakening leaves out a part of the protocol, to show that the check finds the fault.
type weakening uint8

const (
	intact         weakening = iota
	noWait                   // a new owner neither waits nor reserves room for loans of former ones
	noUnknown                // a new owner reserves no room for loans of former ones
	lateSpending             // holders spend tokens after the end of their loans
	keepReturned             // holders spend tokens that they have given back
	countTwice               // holders apply repeated messages
	lateSends                // operations are sent later than SendWithin after their token was taken
	staleOwner               // an owner lends without a majority
	unscaledStocks           // stocks above a lower cap do not shrink
)

type limit struct{ rate, burst float64 }

// version is a version of the configuration.
type version struct {
	limits     map[string]limit
	acceptedAt time.Duration
	goneAt     time.Duration // no process has it any more; 0 while one does
}

type control struct {
	rate      float64
	version   int
	owner     *caps.Owner
	confirmed time.Time
	round     time.Duration // start of the round that is under way, or 0
	frozen    time.Duration // until then
}

type pendingSend struct {
	customer string
	takenAt  time.Time
}

type holder struct {
	name    string
	rate    float64
	version int
	holder  *caps.Holder
	pending []pendingSend
	waiting []string
	frozen  time.Duration
	control int // that it asks
	cut     bool
}

type message struct {
	ask     *caps.Ask
	to      int // control instance
	grant   *caps.Grant
	askedAt time.Time
	from    *holder
	run     uint64
}

type world struct {
	rnd       *rand.Rand
	weak      weakening
	bound     caps.Bound
	now       time.Duration // true time
	versions  []version
	controls  []*control
	leader    int
	term      uint64
	unsettled int // owners after the last one that settled, in the log
	holders   []*holder
	runs      uint64
	messages  []message
	sends     map[string][]time.Duration
	class     int  // priority of all requests
	split     bool // holders go on to ask a former owner
	hold      bool // operations are under way for long
	chaos     bool // messages are lost and repeated
}

var modelCustomers = []string{"a", "b"}

func (w *world) local(rate float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(rate * float64(w.now)))
}

func (w *world) clockRate() float64 { return []float64{0.99, 1, 1.01}[w.rnd.IntN(3)] }

func newWorld(rnd *rand.Rand, weak weakening) *world {
	bounds := []caps.Bound{
		{Window: 5 * time.Second, Excess: 0.1, Slack: 20},
		{Window: 2 * time.Second},
		{Window: 5 * time.Second, Excess: 0.05, Slack: 3},
		{Window: time.Second, Excess: 0.1, Slack: 60},
	}
	w := &world{rnd: rnd, weak: weak, bound: bounds[rnd.IntN(len(bounds))], sends: make(map[string][]time.Duration), term: 1, leader: -1}
	w.now = time.Second
	w.change()
	for range 3 {
		w.controls = append(w.controls, &control{rate: w.clockRate(), version: 0})
	}
	for i := range 2 + rnd.IntN(3) {
		h := &holder{name: fmt.Sprint("h", i), rate: w.clockRate()}
		w.holders = append(w.holders, h)
		w.restart(h)
	}
	w.elect(0)
	w.now += 20 * time.Second // no loans of former owners are left
	for _, h := range w.holders {
		h.control = w.leader
	}
	return w
}

// change accepts a new version of the configuration.
func (w *world) change() {
	rates := []float64{1, 2, 8, 40, 160}
	v := version{limits: make(map[string]limit), acceptedAt: w.now}
	for _, c := range modelCustomers {
		if r := rates[w.rnd.IntN(len(rates))]; w.rnd.IntN(12) > 0 || len(w.versions) == 0 {
			v.limits[c] = limit{r, r * float64(w.rnd.IntN(3)) / 2}
		}
	}
	w.versions = append(w.versions, v)
}

func (w *world) caps(v int) map[string]caps.Cap {
	out := make(map[string]caps.Cap)
	for name, l := range w.versions[v].limits {
		out[name] = w.bound.Cap(l.rate, l.burst)
	}
	return out
}

func (w *world) restart(h *holder) {
	w.runs++
	h.holder, h.pending, h.waiting = caps.NewHolder(h.name, w.runs), nil, nil
	h.version = -1
	w.updateHolder(h)
}

func (w *world) updateHolder(h *holder) {
	h.version = len(w.versions) - 1
	limits := w.caps(h.version)
	if w.weak == unscaledStocks {
		h.holder.SetCapsUnscaled(uint64(h.version+1), limits)
	} else {
		h.holder.SetCaps(uint64(h.version+1), limits)
	}
	w.retire()
}

func (w *world) updateControl(c *control) {
	c.version = len(w.versions) - 1
	if c.owner != nil {
		c.owner.SetCaps(uint64(c.version+1), w.caps(c.version), w.local(c.rate))
	}
	w.retire()
}

// retire records which versions no process has any more.
func (w *world) retire() {
	oldest := len(w.versions) - 1
	for _, c := range w.controls {
		oldest = min(oldest, c.version)
	}
	for _, h := range w.holders {
		oldest = min(oldest, h.version)
	}
	for i := range oldest {
		if w.versions[i].goneAt == 0 {
			w.versions[i].goneAt = w.now
		}
	}
}

// elect makes a control instance the leader of the next term. It has the newest version.
func (w *world) elect(n int) {
	if n == w.leader {
		return
	}
	c, now := w.controls[n], w.local(w.controls[n].rate)
	w.term++
	opts := []caps.OwnerOption{caps.WithFormerOwners(w.unsettled)}
	if w.leader < 0 {
		opts = []caps.OwnerOption{caps.WithoutFormerOwner()}
	} else {
		w.unsettled++
	}
	w.leader = n
	c.owner, c.round, c.confirmed = caps.NewOwner(w.term, now, opts...), 0, time.Time{}
	if w.weak == noWait {
		c.owner.SkipWait(now)
	}
	w.updateControl(c)
	if w.weak == noUnknown {
		c.owner.SkipUnknown()
	}
}

// confirm advances the round by which a majority confirms a leader.
func (w *world) confirm(n int) {
	c := w.controls[n]
	if c.round == 0 {
		c.round = w.now
		return
	}
	if n == w.leader {
		c.confirmed = time.Unix(1000, 0).Add(time.Duration(c.rate * float64(c.round)))
		if c.owner != nil && c.owner.Settled(w.local(c.rate)) && w.rnd.IntN(3) == 0 {
			w.unsettled = 0
		}
	}
	c.round = 0
}

// ask sends the next message of a holder.
func (w *world) ask(h *holder) {
	now := w.local(h.rate)
	build := func() caps.Ask { return h.holder.Ask(now) }
	var a caps.Ask
	if w.weak == keepReturned {
		a = h.holder.Keep(build)
	} else {
		a = build()
	}
	if !h.cut {
		w.messages = append(w.messages, message{ask: &a, to: h.control, askedAt: now, from: h, run: a.Run})
	}
}

// deliver delivers a message, loses it, or delivers it and keeps it for another time.
func (w *world) deliver(i int) {
	m := w.messages[i]
	if !w.chaos || w.rnd.IntN(8) > 0 {
		w.messages = slices.Delete(w.messages, i, i+1)
	}
	if m.from.cut || w.chaos && w.rnd.IntN(8) == 0 {
		return
	}
	if m.ask != nil {
		c := w.controls[m.to]
		if c.owner == nil || c.frozen > w.now {
			return
		}
		now, confirmed := w.local(c.rate), c.confirmed
		if w.weak == staleOwner {
			confirmed = now
		}
		g := c.owner.Handle(m.ask, confirmed, now)
		w.messages = append(w.messages, message{grant: &g, askedAt: m.askedAt, from: m.from, run: m.run})
		return
	}
	h := m.from
	if m.run != h.holder.Run() || h.frozen > w.now {
		return
	}
	if w.weak == countTwice && w.rnd.IntN(4) == 0 {
		h.holder.Forget()
	}
	if h.holder.Apply(m.grant, m.askedAt, w.local(h.rate)) {
		w.ask(h)
	}
	if w.weak == lateSpending {
		h.holder.Prolong()
	}
	w.settle(h)
}

// settle decides about the requests that wait for an answer.
func (w *world) settle(h *holder) {
	now := w.local(h.rate)
	for _, c := range h.waiting {
		if h.holder.Settle(c, 0, now).Outcome == caps.Taken {
			h.pending = append(h.pending, pendingSend{c, now})
		}
	}
	h.waiting = h.waiting[:0]
}

// take lets a holder take up to n tokens.
func (w *world) take(h *holder, customer string, n int) {
	now := w.local(h.rate)
	if _, capped := w.versions[h.version].limits[customer]; !capped {
		return
	}
	for range n {
		v := h.holder.Take(customer, w.class, now)
		switch v.Outcome {
		case caps.Taken:
			h.pending = append(h.pending, pendingSend{customer, now})
		case caps.Waiting:
			h.waiting = append(h.waiting, customer)
			if len(h.waiting) > 6 {
				return
			}
		default:
			return
		}
	}
}

// send sends operations whose tokens were taken.
func (w *world) send(h *holder) {
	now := w.local(h.rate)
	for _, p := range h.pending {
		if w.weak == lateSends || now.Sub(p.takenAt) <= caps.SendWithin {
			w.sends[p.customer] = append(w.sends[p.customer], w.now)
		}
	}
	h.pending = h.pending[:0]
}

// explore runs a random schedule and returns the first violation.
func explore(seed uint64, weak weakening) error {
	w := newWorld(rand.New(rand.NewPCG(seed, 1)), weak)
	for range 2 + w.rnd.IntN(2) {
		w.chaos, w.class = false, max(0, w.rnd.IntN(8)-5)
		w.split, w.hold = w.rnd.IntN(3) == 0, w.rnd.IntN(3) == 0
		w.prepare()
		w.chaos = w.rnd.IntN(2) == 0
		if w.rnd.IntN(2) == 0 {
			w.cutSome()
		}
		if w.rnd.IntN(3) == 0 {
			w.elect(w.rnd.IntN(len(w.controls)))
		}
		for range w.rnd.IntN(7) {
			w.disturb(w.anyHolder())
		}
		w.rest()
		w.spendAll()
	}
	return w.check()
}

// cutSome cuts about half of the holders off.
func (w *world) cutSome() {
	for _, h := range w.holders {
		h.cut = w.rnd.IntN(2) == 0
	}
}

func (w *world) anyHolder() *holder { return w.holders[w.rnd.IntN(len(w.holders))] }

// anyCustomer returns the customer that sends most in this schedule, or the other one.
func (w *world) anyCustomer() string { return modelCustomers[max(0, w.rnd.IntN(6)-4)] }

// confirmLeader lets a majority confirm the leader.
func (w *world) confirmLeader() {
	w.controls[w.leader].round = 0
	w.confirm(w.leader)
	w.confirm(w.leader)
}

// prepare lets the holders get stocks.
func (w *world) prepare() {
	for _, h := range w.holders {
		h.cut = h.cut && w.rnd.IntN(4) == 0
	}
	tries := 1 + w.rnd.IntN(60)
	for range 3 + w.rnd.IntN(22) {
		w.now += time.Duration(100+w.rnd.IntN(300)) * time.Millisecond
		w.confirmLeader()
		h := w.anyHolder()
		if h.frozen > w.now {
			continue
		}
		h.control = w.leader
		w.take(h, w.anyCustomer(), tries)
		w.exchange(h)
		w.send(h)
	}
}

// rest lets some seconds pass in which nothing is spent.
func (w *world) rest() {
	pauses, pause := w.rnd.IntN(12), 1+w.rnd.IntN(2000)
	if w.rnd.IntN(4) == 0 {
		pauses, pause = 12, 2500
	}
	for range pauses {
		w.now += time.Duration(w.rnd.IntN(pause)) * time.Millisecond
		w.confirmLeader()
		if h := w.anyHolder(); h.frozen <= w.now && w.rnd.IntN(3) == 0 {
			w.exchange(h)
		}
	}
	for _, h := range w.holders {
		h.cut = h.cut && w.rnd.IntN(2) == 0
		if !w.split {
			h.control = w.leader
		}
	}
}

// spendAll lets the holders spend whatever they can for some time.
func (w *world) spendAll() {
	pause := time.Duration(10+w.rnd.IntN(250)) * time.Millisecond
	for range 8 + w.rnd.IntN(60) {
		w.now += time.Duration(w.rnd.Int64N(int64(pause)))
		if w.rnd.IntN(4) > 0 {
			w.confirmLeader()
		}
		if w.rnd.IntN(12) == 0 {
			w.disturb(w.anyHolder())
		}
		h := w.anyHolder()
		if h.frozen > w.now {
			continue
		}
		if !w.split && w.rnd.IntN(4) == 0 {
			h.control = w.leader
		}
		w.spend(h, w.anyCustomer())
	}
}

// disturb loses, delays or repeats messages, or does something to a process.
func (w *world) disturb(h *holder) {
	r := w.rnd
	c := w.controls[r.IntN(len(w.controls))]
	frozen := h.frozen > w.now
	switch k := r.IntN(18); {
	case k < 4:
		if len(w.messages) > 0 {
			w.deliver(r.IntN(len(w.messages)))
		}
	case k < 7:
		if !frozen {
			w.ask(h)
		}
	case k < 8:
		w.confirm(r.IntN(len(w.controls)))
	case k < 10:
		w.elect(r.IntN(len(w.controls)))
		if !w.split {
			h.control = w.leader
		}
	case k < 11:
		h.frozen = w.now + time.Duration(r.IntN(9000))*time.Millisecond
	case k < 13:
		h.cut = !h.cut
	case k < 14:
		w.restartOrFreeze(c, h)
	case k < 16:
		w.change()
		w.updateSome()
	default:
		w.updateSome()
	}
}

// updateSome lets most processes have the newest version.
func (w *world) updateSome() {
	for _, c := range w.controls {
		if w.rnd.IntN(5) > 0 {
			w.updateControl(c)
		}
	}
	for _, h := range w.holders {
		if w.rnd.IntN(5) > 0 && h.frozen <= w.now {
			w.updateHolder(h)
		}
	}
}

// exchange lets a holder ask, and delivers the answers at once.
func (w *world) exchange(h *holder) {
	if h.cut {
		w.settle(h)
		return
	}
	n := len(w.messages)
	w.ask(h)
	for i := 0; i < 6 && len(w.messages) > n; i++ {
		w.deliver(len(w.messages) - 1)
	}
}

// spend lets a holder spend all that it can get.
func (w *world) spend(h *holder, customer string) {
	for range 2 {
		w.take(h, customer, 300)
		w.exchange(h)
	}
	if !w.hold || w.rnd.IntN(8) == 0 {
		w.send(h)
	}
}

func (w *world) restartOrFreeze(c *control, h *holder) {
	switch w.rnd.IntN(3) {
	case 0:
		w.restart(h)
	case 1:
		c.frozen = w.now + time.Duration(w.rnd.IntN(9000))*time.Millisecond
	case 2:
		if c != w.controls[w.leader] {
			c.owner = nil
		}
	}
}

// settleTime is how long after the last process has left a version its cap still counts: until the
// operations for which tokens were taken before are sent.
const settleTime = 350 * time.Millisecond

// most returns how many operations of a customer may be sent in a window.
func (w *world) most(customer string, from, to time.Duration) float64 {
	most := 0.0
	for _, v := range w.versions {
		l, capped := v.limits[customer]
		if v.acceptedAt > to || v.goneAt != 0 && v.goneAt+settleTime < from {
			continue
		}
		if !capped {
			return 1e9
		}
		most = max(most, w.bound.Most(l.rate, l.burst))
	}
	return most
}

// check returns an error for the first window in which more operations were sent than the bound
// allows.
func (w *world) check() error {
	for _, customer := range modelCustomers {
		sends := w.sends[customer]
		first := 0
		for last, to := range sends {
			for sends[first] <= to-w.bound.Window {
				first++
			}
			n, most := float64(last-first+1), w.most(customer, to-w.bound.Window, to)
			if n > most {
				return fmt.Errorf("%g operations of customer %s in the window that ends at %v, the bound %+v allows %g", n, customer, to, w.bound, most)
			}
		}
	}
	return nil
}

var (
	schedulesFlag = flag.Int("schedules", 10_000, "number of random schedules")
	firstSeed     = flag.Uint64("seed", 0, "first seed; 0 draws one")
)

// TestSchedules guards against more operations of a customer than the bound allows, whichever
// messages are lost, late or repeated, and whoever freezes, restarts or is cut off.
func TestSchedules(t *testing.T) {
	seed := *firstSeed
	if seed == 0 {
		seed = uint64(time.Now().UnixNano())
	}
	t.Logf("seeds %d to %d", seed, seed+uint64(*schedulesFlag)-1)
	runSchedules(t, seed, *schedulesFlag)
}

func runSchedules(t *testing.T, seed uint64, n int) {
	const workers = 4
	results := make(chan error, workers)
	for i := range workers {
		go func() {
			for k := i; k < n; k += workers {
				if err := explore(seed+uint64(k), intact); err != nil {
					results <- fmt.Errorf("seed %d: %w", seed+uint64(k), err)
					return
				}
			}
			results <- nil
		}()
	}
	for range workers {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
}

// TestWeakened shows that the model finds the fault when a part is left out.
func TestWeakened(t *testing.T) {
	for name, weak := range map[string]weakening{
		"new owner does not wait": noWait, "loans of the former owner forgotten": noUnknown, "loans spent after their end": lateSpending,
		"returned tokens spent": keepReturned, "repeated messages applied": countTwice, "sent late": lateSends, "owner without a majority": staleOwner,
		"stocks above a lower cap": unscaledStocks,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(*schedulesFlag) {
				if err := explore(seed, weak); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Error("no schedule finds the fault")
		})
	}
}
