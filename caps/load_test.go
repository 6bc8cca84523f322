package caps_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/fxamacker/cbor/v2"

	"tamarackcross/caps"
)

const (
	tick = 2 * time.Millisecond // also the one-way delay of a message
	// settleLimit is how long a request waits for the answer to an Ask.
	settleLimit = 100 * time.Millisecond
)

// load is the demand of a customer.
type load struct {
	customer string
	perS     float64
	entries  []int
	priority int
}

type waitingRequest struct {
	load  *load
	ask   uint64
	since time.Time
}

type loadEntry struct {
	holder  *caps.Holder
	waiting []waitingRequest
	asked   *caps.Ask // under way
	askedAt time.Time
	cut     bool
}

// tally counts requests of a customer and priority.
type tally struct{ offered, sent, refused, waited int }

// fleet is a set of entries under load, with one owner at a time.
type fleet struct {
	rnd       *rand.Rand
	now       time.Time
	bound     caps.Bound
	version   uint64
	limits    map[string]limit
	owner     *caps.Owner // nil while there is none
	term      uint64
	unsettled int
	entries   []*loadEntry
	loads     []*load
	tallies   map[string]*tally
	asks      int
	bytes     int // of Asks and Grants
	sends     map[string][]time.Time
}

func newFleet(entries int) *fleet {
	f := &fleet{
		rnd: rand.New(rand.NewPCG(1, 1)), now: time.Unix(1000, 0), bound: caps.Bound{Window: 5 * time.Second, Excess: 0.1, Slack: 20},
		limits: make(map[string]limit), sends: make(map[string][]time.Time),
	}
	for i := range entries {
		f.entries = append(f.entries, &loadEntry{holder: caps.NewHolder(fmt.Sprint("e", i), 1)})
	}
	return f
}

func (f *fleet) setCaps() {
	f.version++
	out := make(map[string]caps.Cap)
	for name, l := range f.limits {
		out[name] = f.bound.Cap(l.rate, l.burst)
	}
	if f.owner != nil {
		f.owner.SetCaps(f.version, out, f.now)
	}
	for _, e := range f.entries {
		e.holder.SetCaps(f.version, out)
	}
}

func (f *fleet) elect() {
	f.term++
	opts := []caps.OwnerOption{caps.WithoutFormerOwner()}
	if f.term > 1 {
		opts = []caps.OwnerOption{caps.WithFormerOwners(f.unsettled)}
		f.unsettled++
	}
	f.owner = caps.NewOwner(f.term, f.now, opts...)
	f.setCaps()
}

// run lets d pass under the load.
func (f *fleet) run(d time.Duration) {
	if f.owner != nil && f.owner.Settled(f.now) {
		f.unsettled = 0
	}
	f.tallies, f.asks, f.bytes = make(map[string]*tally), 0, 0
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(tick)
		for _, l := range f.loads {
			for n := f.arrivals(l.perS * tick.Seconds()); n > 0; n-- {
				f.offer(l, f.entries[l.entries[f.rnd.IntN(len(l.entries))]])
			}
		}
		for _, e := range f.entries {
			f.stepEntry(e)
		}
	}
}

// arrivals returns a random number of arrivals with a mean.
func (f *fleet) arrivals(mean float64) int {
	n := int(mean)
	if f.rnd.Float64() < mean-float64(n) {
		n++
	}
	return n
}

func (f *fleet) offer(l *load, e *loadEntry) {
	t := f.tally(l)
	t.offered++
	switch v := e.holder.Take(l.customer, l.priority, f.now); v.Outcome {
	case caps.Waiting:
		e.waiting = append(e.waiting, waitingRequest{l, v.Ask, f.now})
		t.waited++
	default:
		f.decide(l, v)
	}
}

func (f *fleet) decide(l *load, v caps.Verdict) {
	if v.Outcome == caps.Taken {
		f.tally(l).sent++
		f.sends[l.customer] = append(f.sends[l.customer], f.now)
		return
	}
	f.tally(l).refused++
}

func (f *fleet) tally(l *load) *tally {
	key := fmt.Sprintf("%s p%d", strings.TrimRight(l.customer, "0123456789"), l.priority)
	if f.tallies[key] == nil {
		f.tallies[key] = &tally{}
	}
	return f.tallies[key]
}

// stepEntry lets an entry ask, apply the answer one round trip later and settle its requests.
func (f *fleet) stepEntry(e *loadEntry) {
	if e.asked != nil && f.now.Sub(e.askedAt) >= 2*tick {
		if f.owner != nil && !e.cut {
			g := f.owner.Handle(e.asked, f.now, f.now)
			f.bytes += size(e.asked) + size(&g)
			e.holder.Apply(&g, e.askedAt, f.now)
			e.asked = nil
		} else if f.now.Sub(e.askedAt) > settleLimit {
			e.asked = nil
		}
	}
	if at := e.holder.NextAsk(); e.asked == nil && !at.IsZero() && !f.now.Before(at) {
		a := e.holder.Ask(f.now)
		e.asked, e.askedAt = &a, f.now
		f.asks++
	}
	e.waiting = slices.DeleteFunc(e.waiting, func(r waitingRequest) bool {
		if !e.holder.Answered(r.ask) && f.now.Sub(r.since) < settleLimit {
			return false
		}
		f.decide(r.load, e.holder.Settle(r.load.customer, r.load.priority, f.now))
		return true
	})
}

// report returns what became of the requests since the start of a run, by priority and name of the
// customers without their number.
func (f *fleet) report(d time.Duration) string {
	var lines []string
	for key, t := range f.tallies {
		lines = append(lines, t.line(key, d))
	}
	slices.Sort(lines)
	perEntry := d.Seconds() * float64(len(f.entries))
	lines = append(lines, fmt.Sprintf("asks %.1f/s, %.0f B/s an entry", float64(f.asks)/perEntry, float64(f.bytes)/perEntry))
	for customer, sends := range f.sends {
		l := f.limits[customer]
		if n := mostInWindow(sends, f.now.Add(-d), f.bound.Window); float64(n) > f.bound.Most(l.rate, l.burst) {
			lines = append(lines, fmt.Sprintf("%s: %d in a window", customer, n))
		}
	}
	return strings.Join(lines, "\n")
}

// size returns the size of a message in bytes.
func size(msg any) int {
	data, err := cbor.Marshal(msg)
	if err != nil {
		panic(err) // messages can be encoded
	}
	return len(data)
}

func (t *tally) line(key string, d time.Duration) string {
	return fmt.Sprintf("%s: offered %.1f/s sent %.1f/s refused %.2f%% waited %.0f%%", key, float64(t.offered)/d.Seconds(), float64(t.sent)/d.Seconds(),
		100*float64(t.refused)/float64(max(1, t.offered)), 100*float64(t.waited)/float64(max(1, t.offered)))
}

// mostInWindow returns the largest number of sends in a window that begins after from.
func mostInWindow(sends []time.Time, from time.Time, window time.Duration) int {
	most, first := 0, 0
	for last, to := range sends {
		for !sends[first].After(to.Add(-window)) || sends[first].Before(from) && first < last {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestLoads guards against refusals below the cap when demand moves, and shows which requests are
// refused beyond it.
func TestLoads(t *testing.T) {
	datadriven.Walk(t, "testdata/loads", func(t *testing.T, path string) {
		var f *fleet
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "fleet":
				var n int
				d.ScanArgs(t, "entries", &n)
				f = newFleet(n)
			case "cap":
				var l limit
				var names []string
				scanFloat(t, d, "rate", &l.rate)
				scanFloat(t, d, "burst", &l.burst)
				names = scanNames(t, d)
				for _, name := range names {
					f.limits[name] = l
				}
				f.setCaps()
			case "load":
				f.load(t, d)
			case "skew":
				f.skew(t, d)
			case "elect":
				f.elect()
			case "lose-owner":
				f.owner = nil
			case "cut":
				var from, to int
				d.ScanArgs(t, "entries", &from, &to)
				for i, e := range f.entries {
					e.cut = i >= from && i < to
				}
			case "run":
				var s string
				d.ScanArgs(t, "for", &s)
				length, err := time.ParseDuration(s)
				if err != nil {
					t.Fatal(err)
				}
				f.run(length)
				return f.report(length)
			default:
				t.Fatalf("unknown command %s", d.Cmd)
			}
			return ""
		})
	})
}

// load sets the demand of customers, or ends all demand.
func (f *fleet) load(t *testing.T, d *datadriven.TestData) {
	if d.HasArg("none") {
		f.loads = nil
		return
	}
	from, to, priority, perS := 0, len(f.entries), 0, 0.0
	d.MaybeScanArgs(t, "entries", &from, &to)
	d.MaybeScanArgs(t, "priority", &priority)
	scanFloat(t, d, "rate", &perS)
	var at []int
	for i := from; i < to; i++ {
		at = append(at, i)
	}
	for _, name := range scanNames(t, d) {
		f.loads = append(f.loads, &load{customer: name, perS: perS, entries: at, priority: priority})
	}
}

// skew sets the demand of customers of which the n-th sends n^-1.2 times as much as the first, at any
// entry, and their caps to 1.6 times that.
func (f *fleet) skew(t *testing.T, d *datadriven.TestData) {
	var count int
	var total, sum float64
	d.ScanArgs(t, "count", &count)
	scanFloat(t, d, "rate", &total)
	part := func(i int) float64 { return math.Pow(float64(i+1), -1.2) }
	var at []int
	for i := range f.entries {
		at = append(at, i)
	}
	for i := range count {
		sum += part(i)
	}
	for i := range count {
		name, rate := fmt.Sprint("c", i), total*part(i)/sum
		f.limits[name] = limit{1.6 * rate, 1.6 * rate}
		f.loads = append(f.loads, &load{customer: name, perS: rate, entries: at})
	}
	f.setCaps()
}

func scanFloat(t *testing.T, d *datadriven.TestData, key string, out *float64) {
	var s string
	d.ScanArgs(t, key, &s)
	if _, err := fmt.Sscan(s, out); err != nil {
		t.Fatal(err)
	}
}

// scanNames returns the customers of a command: name, or name0 and so on.
func scanNames(t *testing.T, d *datadriven.TestData) []string {
	var name string
	n := 0
	d.ScanArgs(t, "name", &name)
	d.MaybeScanArgs(t, "count", &n)
	if n == 0 {
		return []string{name}
	}
	var out []string
	for i := range n {
		out = append(out, fmt.Sprint(name, i))
	}
	return out
}

// BenchmarkTake measures the check of a request that finds a token.
func BenchmarkTake(b *testing.B) {
	f := newFleet(1)
	for i := range 1000 {
		f.limits[fmt.Sprint("c", i)] = limit{1e9, 1e9}
	}
	f.elect()
	f.now = f.now.Add(20 * time.Second)
	e := f.entries[0].holder
	refill := func() {
		for range 3 {
			e.Take("c7", 0, f.now)
			a := e.Ask(f.now)
			g := f.owner.Handle(&a, f.now, f.now)
			e.Apply(&g, f.now, f.now)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		if e.Take("c7", 1, f.now).Outcome != caps.Taken {
			b.StopTimer()
			f.now = f.now.Add(time.Second)
			for range 50 {
				e.Take("c7", 0, f.now)
			}
			refill()
			b.StartTimer()
		}
	}
}
