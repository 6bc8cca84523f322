package lease_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tamarackcross/lease"
)

// The model: three control instances of which a newer leader replaces an older one at any
// time, two holders, three members of one service, and the platform. Messages are delayed,
// reordered and lost, promotions are carried out late, every process may stand still between
// two of its steps, and clocks differ in rate. A former primary goes on after a promotion.

const service = "svc"

var t0 = time.Unix(1000, 0)

// weakening leaves out a part of the protocol, to show that the check finds the fault.
type weakening uint8

const (
	intact       weakening = iota
	noWait                 // a promotion does not wait for the leases
	noFormer               // nor for those of former leaders
	noJudge                // answers count without a lease
	fastClocks             // clocks differ more than the margin allows
	noOpenOrders           // open orders for other members are forgotten
	noStepDown             // a member that acts as the primary is promoted without stepping down
)

// order is the newest promotion order in the control log.
type order struct {
	target string
	token  uint64
	epoch  uint64
}

// control is a control instance with its leadership.
type control struct {
	name       string
	rate       float64
	term       int // in which it believes to lead, or 0
	number     uint64
	grantor    *lease.Grantor
	roundStart time.Time // of the round that is under way
	confirmed  time.Time
	round      int // 0: none under way, 1: sent, 2: acknowledged by a majority
}

// call is a promotion order on its way to the platform.
type call struct {
	from   *control
	target string
	token  uint64
	sentAt time.Time
	term   int
}

// syncCall is an exchange between a holder and a control instance.
type syncCall struct {
	askedAt time.Time
	applied uint64
	grant   lease.Grant
	granted bool
	served  bool
}

// work is a commit or a probe on its way.
type work struct {
	member  string
	epoch   uint64
	ran     bool
	valid   bool      // whether the member was the primary when the commit ran
	arrived time.Time // by the clock of the holder
}

type holder struct {
	rate   float64
	leases *lease.Holder
	syncs  map[string]*syncCall // by control instance
	work   []*work
}

type member struct{ acting bool } // acts as the primary

type world struct {
	weak     weakening
	now      time.Time
	controls []*control
	leader   int // newest term that was elected
	newest   *control
	log      []order
	holders  []*holder
	members  map[string]*member
	primary  string // as the platform sees it
	calls    []call
}

var memberNames = []string{"m0", "m1", "m2"}

// chooser makes the choices of a run.
type chooser interface {
	intN(n int, label string) int
}

// rapidChooser lets rapid choose, which shrinks runs that fail.
type rapidChooser struct{ t *rapid.T }

func (c rapidChooser) intN(n int, label string) int { return rapid.IntRange(0, n-1).Draw(c.t, label) }

type randomChooser struct{ rnd *rand.Rand }

func (c randomChooser) intN(n int, _ string) int { return c.rnd.IntN(n) }

func choose[T any](c chooser, label string, from []T) T { return from[c.intN(len(from), label)] }

func newWorld(c chooser, weak weakening) *world {
	w := &world{weak: weak, now: t0, members: map[string]*member{}, primary: "m0"}
	rates := []float64{0.99, 1, 1.01}
	if weak == fastClocks {
		rates = []float64{0.8, 1.2}
	}
	for i := range 3 {
		w.controls = append(w.controls, &control{name: fmt.Sprint("c", i), rate: choose(c, "rate of a control instance", rates)})
	}
	for range 2 {
		w.holders = append(w.holders, &holder{rate: choose(c, "rate of a holder", rates), leases: lease.NewHolder(), syncs: map[string]*syncCall{}})
	}
	for _, name := range memberNames {
		w.members[name] = &member{acting: name == w.primary}
	}
	return w
}

// local returns the time of a clock that runs at a rate.
func (w *world) local(rate float64) time.Time {
	return t0.Add(time.Duration(rate * float64(w.now.Sub(t0))))
}

func (w *world) newestOrder() order {
	if len(w.log) == 0 {
		return order{}
	}
	return w.log[len(w.log)-1]
}

// elect makes a control instance the leader of the next term. It has the whole log.
func (w *world) elect(c *control) {
	w.leader++
	now := w.local(c.rate)
	c.term, c.round, c.confirmed, w.newest = w.leader, 0, time.Time{}, c
	started := now
	if w.weak == noFormer {
		started = now.Add(-2 * lease.Duration)
	}
	c.grantor = lease.NewGrantor(c.number, started)
	if w.weak != noOpenOrders {
		for _, o := range w.log {
			c.grantor.AddOrder(service, o.target, o.token, now)
		}
	}
}

func (w *world) leads(c *control) bool { return c == w.newest && c.term == w.leader }

// stepRound advances the round by which a majority confirms a leader.
func (w *world) stepRound(c *control) {
	switch c.round {
	case 0:
		c.roundStart, c.round = w.local(c.rate), 1
	case 1:
		if w.leads(c) {
			c.round = 2
		} else {
			c.round = 0
		}
	default:
		c.confirmed, c.round = c.roundStart, 0
	}
}

// sync advances the exchange between a holder and a control instance.
func (w *world) sync(h *holder, c *control, lost bool) {
	s := h.syncs[c.name]
	switch {
	case s == nil:
		number, _ := h.leases.Applied(c.name)
		h.syncs[c.name] = &syncCall{askedAt: w.local(h.rate), applied: number}
	case lost:
		delete(h.syncs, c.name)
	case !s.served:
		s.served = true
		if c.term == 0 {
			return
		}
		now, o := w.local(c.rate), w.newestOrderKnownTo(c)
		appointments := map[string]lease.Appointment{service: {Member: o.target, Epoch: o.epoch}}
		holderName := fmt.Sprintf("%p", h)
		c.grantor.Applied(holderName, s.applied, now)
		s.grant, s.granted = c.grantor.Grant(holderName, appointments, c.confirmed, now)
		c.number = c.grantor.Number()
	default:
		if s.granted {
			h.leases.Apply(c.name, s.grant, s.askedAt)
		}
		delete(h.syncs, c.name)
	}
}

// newestOrderKnownTo returns the newest order that a leader, or a former leader, has applied.
func (w *world) newestOrderKnownTo(c *control) order {
	if w.leads(c) {
		return w.newestOrder()
	}
	out := order{}
	for _, o := range w.log {
		if int(o.token) <= c.term*1000+999 {
			out = o
		}
	}
	return out
}

// orderPromotion lets a leader commit and send an order, if the leases allow it.
func (w *world) orderPromotion(c *control, target string) {
	if c.term == 0 {
		return
	}
	c.grantor.Recall(service)
	now, current := w.local(c.rate), w.newestOrder()
	if !w.leads(c) || w.weak != noWait && !c.grantor.MayPromote(service, current.target, now) {
		return
	}
	// Another member than the appointed one steps down before it is promoted, if it acts as
	// the primary.
	if w.weak != noStepDown && target != current.target {
		w.members[target].acting = false
	}
	token := uint64(c.term*1000 + len(w.log) + 1)
	o := order{target: target, token: token, epoch: token}
	if current.target == target {
		o.epoch = current.epoch
	}
	w.log = append(w.log, o)
	c.grantor.Restore(service)
	if w.weak != noOpenOrders {
		c.grantor.AddOrder(service, target, token, now)
	}
	w.calls = append(w.calls, call{from: c, target: target, token: token, sentAt: now, term: c.term})
}

// carryOut lets the platform carry out an order. It checks no fence.
func (w *world) carryOut(i int, answered bool) {
	o := w.calls[i]
	w.calls = append(w.calls[:i:i], w.calls[i+1:]...)
	if m := w.members[o.target]; w.primary != o.target || !m.acting {
		w.primary = o.target
		m.acting = true
	}
	if answered && o.from.term == o.term {
		o.from.grantor.AcceptOrder(service, o.token, o.sentAt, w.local(o.from.rate))
	}
}

// expireCalls drops the orders that are too old to be carried out.
func (w *world) expireCalls() {
	var left []call
	for _, o := range w.calls {
		if w.local(o.from.rate).Sub(o.sentAt) < 12*time.Second {
			left = append(left, o)
		}
	}
	w.calls = left
}

// stepDown makes a member that acts as the primary a replica, and tells the leader that asked.
func (w *world) stepDown(c *control, name string, answered bool) {
	if len(w.log) == 0 && !w.members[name].acting {
		return // before the first order, only the member that acts as the primary is asked
	}
	w.members[name].acting = false
	if answered && c.term > 0 {
		c.grantor.SteppedDown(service, name, w.local(c.rate))
	}
}

// run lets the member run a commit.
func (w *world) run(c *work) {
	if m := w.members[c.member]; !c.ran && m.acting {
		c.ran, c.valid = true, w.primary == c.member
	}
}

// check returns a violation of the rule: a holder relies on a member that was replaced.
func (w *world) check() error {
	for i, h := range w.holders {
		for _, name := range memberNames {
			if _, ok := h.leases.Covers(service, name, w.local(h.rate)); ok && w.members[name].acting && w.primary != name {
				return fmt.Errorf("holder %d relies on %s, which acts as the primary, after the promotion of %s", i, name, w.primary)
			}
		}
	}
	return nil
}

// waits are the steps of time: some are just shorter or longer than a lease, and one is
// longer than an order stays open.
var waits = []time.Duration{
	time.Millisecond, 20 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second,
	lease.Duration - 20*time.Millisecond, lease.Duration + 20*time.Millisecond, 5 * time.Second, 13500 * time.Millisecond,
}

// step lets one thing happen.
func (w *world) step(c chooser) error {
	switch c.intN(13, "step") {
	case 0:
		w.now = w.now.Add(choose(c, "wait", waits))
		w.expireCalls()
	case 1:
		w.elect(choose(c, "control", w.controls))
	case 2:
		w.stepRound(choose(c, "control", w.controls))
	case 3:
		w.confirmAtOnce()
	case 4:
		w.renewAtOnce(choose(c, "holder", w.holders))
	case 5:
		w.sync(choose(c, "holder", w.holders), choose(c, "control", w.controls), c.intN(10, "loss") == 0)
	case 6:
		w.orderPromotion(choose(c, "control", w.controls), choose(c, "member", memberNames))
	case 7:
		w.recall(choose(c, "control", w.controls))
	case 8:
		if len(w.calls) > 0 {
			w.carryOut(c.intN(len(w.calls), "order"), c.intN(2, "answered") == 0)
		}
	case 9:
		w.stepDown(w.newest, choose(c, "member", memberNames), c.intN(2, "answered") == 0)
	case 10:
		w.send(choose(c, "holder", w.holders), choose(c, "member", memberNames))
	case 11:
		for _, work := range choose(c, "holder", w.holders).work {
			w.run(work)
		}
	case 12:
		return w.answer(choose(c, "holder", w.holders))
	}
	return nil
}

// explore runs a number of steps and returns the first violation.
func explore(c chooser, weak weakening, steps int) error {
	w := newWorld(c, weak)
	w.elect(w.controls[0])
	for range steps {
		if err := w.step(c); err != nil {
			return err
		}
		if err := w.check(); err != nil {
			return err
		}
	}
	return nil
}

// send sends a commit to a member if a lease covers it.
func (w *world) send(h *holder, name string) {
	if epoch, ok := h.leases.Covers(service, name, w.local(h.rate)); ok || w.weak == noJudge {
		h.work = append(h.work, &work{member: name, epoch: epoch})
	}
}

// answer lets the answers of all commits that have run arrive at a holder.
func (w *world) answer(h *holder) error {
	for _, c := range h.work {
		if c.ran && c.arrived.IsZero() {
			c.arrived = w.local(h.rate)
		}
	}
	return w.judge(h)
}

// confirmAtOnce runs a whole round of the newest leader.
func (w *world) confirmAtOnce() {
	w.newest.round = 0
	for range 3 {
		w.stepRound(w.newest)
	}
}

// renewAtOnce runs a whole exchange of a holder with the newest leader.
func (w *world) renewAtOnce(h *holder) {
	for range 3 {
		w.sync(h, w.newest, false)
	}
}

// recall lets a leader end the granting of leases, or allow it again.
func (w *world) recall(c *control) {
	switch {
	case c.term == 0:
	case c.grantor.Recalled(service):
		c.grantor.Restore(service)
	default:
		c.grantor.Recall(service)
	}
}

// judge decides about the answers that have arrived. A confirmed one must have run at the
// primary.
func (w *world) judge(h *holder) error {
	var left []*work
	for _, c := range h.work {
		if c.arrived.IsZero() {
			left = append(left, c)
			continue
		}
		verdict := h.leases.Judge(service, c.member, c.epoch, c.arrived)
		if w.weak == noJudge {
			verdict = lease.Confirmed
		}
		switch {
		case verdict == lease.Confirmed && !c.valid:
			return fmt.Errorf("a commit at %s is acknowledged although it ran after the promotion of another member", c.member)
		case verdict == lease.Open:
			left = append(left, c)
		}
	}
	h.work = left
	return nil
}

var seedsFlag = flag.Int("seeds", 20_000, "number of random runs")

// rapidChecks is the number of runs that rapid makes; it shrinks those that fail.
const rapidChecks = "2000"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", rapidChecks); err != nil {
		panic(err) // rapid registers the flag
	}
	os.Exit(m.Run())
}

const modelSteps = 100

// TestLeases guards against commits that are acknowledged, and proofs that are used, at a
// member after the promotion of another one.
func TestLeases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := explore(rapidChooser{t}, intact, modelSteps); err != nil {
			t.Fatal(err)
		}
	})
	for seed := range *seedsFlag {
		if err := explore(randomChooser{rand.New(rand.NewPCG(uint64(seed), 1))}, intact, modelSteps); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// TestWeakenedLeases shows that the model finds the fault when a part is left out.
func TestWeakenedLeases(t *testing.T) {
	for name, weak := range map[string]weakening{
		"no wait for leases": noWait, "no wait for leases of former leaders": noFormer, "answers count without a lease": noJudge,
		"clocks beyond the margin": fastClocks, "open orders forgotten": noOpenOrders, "promoted without stepping down": noStepDown,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range *seedsFlag {
				if err := explore(randomChooser{rand.New(rand.NewPCG(uint64(seed), 1))}, weak, modelSteps); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Error("no run finds the fault")
		})
	}
}
