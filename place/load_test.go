package place_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"tamarackcross/keep"
	"tamarackcross/place"
)

// The load of one service: a member and callers in each of three zones, a fifth of the work for
// the primary in the first zone, reads at the member of the zone.
const (
	loadZones    = 3
	primaryShare = 0.2
	txShare      = 0.13
	statement    = 14 * time.Millisecond
	dialTime     = 12 * time.Millisecond
	txStatements = 4
	txPause      = 15 * time.Millisecond
	skew         = 1.2
)

// variant is a way to place customers and to keep connections.
type variant struct {
	placed, spread, valued bool          // customers have a holder; large ones are spread; idle connections are kept by their value
	near, far              int           // connections of a holder to the member of its zone, and to others
	excess                 time.Duration // idle timeout beyond half of the share, or 0
	remote                 bool          // requests go to holders in the zone of their member
}

type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// connPool is what a holder has of one member.
type connPool struct {
	idle         []keep.Idle
	inUse, limit int
	table        *keep.Table
}

// load replays the requests of the callers of a service.
type load struct {
	variant
	rnd     *rand.Rand
	weights []float64
	now     time.Duration
	queue   events
	rankers [loadZones]*place.Ranker
	lost    map[string]bool
	spreads map[string]*place.Spread
	pools   map[string]*connPool
	holders map[string]string // last holder, by customer and zone

	returned map[string]time.Time

	ops, dials, moved int
	dialing, working  time.Duration
}

func newLoad(v variant, customers, holders int) *load {
	l := &load{variant: v, rnd: rand.New(rand.NewPCG(7, 11)), lost: map[string]bool{}, spreads: map[string]*place.Spread{}, pools: map[string]*connPool{}, holders: map[string]string{}, returned: map[string]time.Time{}}
	for n := range customers {
		l.weights = append(l.weights, 1/math.Pow(float64(n+1), skew))
	}
	for z := range l.rankers {
		var names []string
		for n := range holders {
			names = append(names, fmt.Sprintf("%d-%d", z, n))
		}
		l.rankers[z] = place.NewRanker("db", names)
	}
	return l
}

func (l *load) clock() time.Time { return time.Unix(0, 0).Add(l.now) }

func (l *load) after(d time.Duration, do func()) { heap.Push(&l.queue, event{at: l.now + d, do: do}) }

// run replays perSecond requests a second of all zones, for d.
func (l *load) run(perSecond float64, d time.Duration) {
	end := l.now + d
	var arrive, sweep func()
	arrive = func() {
		if l.now < end {
			l.request()
			l.after(time.Duration(l.rnd.ExpFloat64()/perSecond*float64(time.Second)), arrive)
		}
	}
	sweep = func() {
		l.expire()
		if l.now < end {
			l.after(500*time.Millisecond, sweep)
		}
	}
	l.after(0, arrive)
	l.after(0, sweep)
	for len(l.queue) > 0 && l.queue[0].at < end {
		e := heap.Pop(&l.queue).(event)
		l.now = e.at
		e.do()
	}
	l.now = end
}

func (l *load) customer() string {
	total := 0.0
	for _, w := range l.weights {
		total += w
	}
	x := l.rnd.Float64() * total
	for n, w := range l.weights {
		if x -= w; x < 0 {
			return fmt.Sprint("c", n)
		}
	}
	return "c0"
}

func (l *load) request() {
	zone, customer := l.rnd.IntN(loadZones), l.customer()
	for l.lost[fmt.Sprint("zone", zone)] {
		zone = (zone + 1) % loadZones
	}
	member := zone
	if l.rnd.Float64() < primaryShare || l.lost[fmt.Sprint("member", zone)] {
		member = 0
		if l.remote {
			zone = 0
		}
	}
	holder, ok := l.choose(zone, customer)
	if !ok {
		return
	}
	l.ops++
	hold, statements := time.Duration(l.rnd.ExpFloat64()*float64(statement)), 1
	if l.rnd.Float64() < txShare {
		hold, statements = txStatements*(hold+txPause), txStatements
	}
	l.working += time.Duration(statements) * statement
	s, p := l.spreads[holder], l.pool(holder, member)
	if s == nil {
		s = place.NewSpread()
		l.spreads[holder] = s
	}
	s.Began(customer, l.clock())
	if l.borrow(p, customer) {
		l.dials++
		l.dialing += dialTime
		hold += dialTime
	}
	l.after(hold, func() {
		s.Ended(customer, l.clock())
		p.table.Returned(customer, l.clock())
		p.inUse--
		p.idle = append(p.idle, keep.Idle{Customer: customer, LastUsed: l.clock()})
		l.makeRoom(p)
	})
}

// choose returns the holder for a request of callers in the zone.
func (l *load) choose(zone int, customer string) (string, bool) {
	names := l.rankers[zone].Rank(customer, loadZones, nil)
	var ranked []place.RankedHolder
	for _, name := range names {
		h := place.RankedHolder{Holder: place.Holder{Name: name, Failing: l.lost[name]}, AnsweredSince: l.returned[name]}
		for member := range loadZones {
			if p := l.pools[fmt.Sprint(name, "/", member)]; p != nil && l.spread {
				h.Load += p.inUse
			}
		}
		ranked = append(ranked, h)
	}
	if !l.placed {
		ranked = slices.DeleteFunc(ranked, func(h place.RankedHolder) bool { return h.Failing })
		return ranked[l.rnd.IntN(len(ranked))].Name, true
	}
	width := 1
	if s := l.spreads[names[0]]; s != nil && l.spread {
		width, _ = s.Width(customer, len(names), l.clock())
	}
	name, ok := place.ChooseRanked(ranked, width, l.clock(), l.rnd)
	key := fmt.Sprint(zone, customer)
	if last := l.holders[key]; last != "" && last != name && width == 1 {
		l.moved++
	}
	l.holders[key] = name
	return name, ok
}

func (l *load) pool(holder string, member int) *connPool {
	key := fmt.Sprint(holder, "/", member)
	p := l.pools[key]
	if p == nil {
		p = &connPool{limit: l.far, table: keep.New()}
		if strings.HasPrefix(holder, fmt.Sprint(member, "-")) {
			p.limit = l.near
		}
		l.pools[key] = p
	}
	return p
}

// borrow takes a connection for the customer and reports whether a new one is opened.
func (l *load) borrow(p *connPool, customer string) bool {
	p.table.Borrowed(customer, l.clock())
	p.inUse++
	for i := len(p.idle) - 1; i >= 0; i-- {
		if p.idle[i].Customer == customer {
			p.idle = slices.Delete(p.idle, i, i+1)
			return false
		}
	}
	l.makeRoom(p)
	return true
}

func (l *load) makeRoom(p *connPool) {
	for len(p.idle) > 0 && len(p.idle)+p.inUse > p.limit {
		n := 0 // least recently used
		if l.valued {
			n = p.table.Victim(p.idle, l.clock())
		}
		p.idle = slices.Delete(p.idle, n, n+1)
	}
}

func (l *load) expire() {
	for _, p := range l.pools {
		for _, i := range slices.Backward(p.table.Expired(p.idle, p.inUse, p.limit, l.clock())) {
			p.idle = slices.Delete(p.idle, i, i+1)
		}
		if l.excess > 0 && len(p.idle) > (p.limit+1)/2 {
			p.idle = slices.DeleteFunc(p.idle, func(c keep.Idle) bool { return l.clock().Sub(c.LastUsed) >= l.excess })
		}
	}
}

// variants are the ways that are compared. Each gives the nine holders at most 45 connections to a
// member.
var variants = map[string]variant{
	"before":   {near: 5, far: 5, excess: time.Second},
	"lru":      {near: 5, far: 5},
	"lru-zone": {near: 9, far: 3},
	"value":    {near: 9, far: 3, valued: true},
	"hash":     {near: 5, far: 5, placed: true},
	"zone":     {near: 9, far: 3, placed: true, spread: true, valued: true},
	"hash-far": {near: 12, far: 1, placed: true, remote: true},
	"chosen":   {near: 12, far: 1, placed: true, spread: true, valued: true, remote: true},
}

// TestCustomerLoad replays many customers with few connections and guards against dials: also when a
// holder, a member or a zone is lost and comes back.
func TestCustomerLoad(t *testing.T) {
	datadriven.Walk(t, "testload", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			customers, holders, rate := 85, 3, 93
			d.MaybeScanArgs(t, "customers", &customers)
			d.MaybeScanArgs(t, "holders", &holders)
			d.MaybeScanArgs(t, "rate", &rate)
			var out strings.Builder
			dials := make(map[string]float64) // a request, in the last step
			for _, arg := range d.CmdArgs {
				v, ok := variants[arg.Key]
				if !ok {
					continue
				}
				v.near, v.far = v.near*place.MaxHolders/holders, v.far*place.MaxHolders/holders
				l := newLoad(v, customers, holders)
				l.run(float64(rate), 20*time.Second)
				l.reset()
				dials[arg.Key] = l.replay(&out, arg.Key, d.Input, float64(rate))
			}
			if d.HasArg("halves") && dials["chosen"] > dials["lru"]/2 {
				t.Errorf("%s: %.3f dials a request, which is more than half of %.3f", d.Pos, dials["chosen"], dials["lru"])
			}
			return out.String()
		})
	})
}

// replay runs the steps of a script: "run DURATION", "lose NAME" and "return NAME". It returns the
// dials a request in the last one.
func (l *load) replay(out *strings.Builder, name, script string, rate float64) (dials float64) {
	for _, line := range strings.Split(strings.TrimSpace(script), "\n") {
		what, arg, _ := strings.Cut(line, " ")
		switch what {
		case "run":
			d, err := time.ParseDuration(arg)
			if err != nil {
				fmt.Fprintln(out, err)
			}
			l.run(rate, d)
			dials = float64(l.dials) / float64(l.ops)
			fmt.Fprintf(out, "%-8s %-8s dials a request %.2f, share of slot time %.2f, customers moved %d of %d\n", name, line,
				dials, l.dialing.Seconds()/(l.dialing+l.working).Seconds(), l.moved, len(l.holders))
			l.reset()
		case "lose":
			l.lost[arg] = true
		case "return":
			delete(l.lost, arg)
			l.returned[arg] = l.clock()
		}
	}
	return dials
}

func (l *load) reset() { l.ops, l.dials, l.moved, l.dialing, l.working = 0, 0, 0, 0, 0 }
