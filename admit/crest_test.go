package admit_test

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"tamarackcross/admit"
)

// crest is an event-driven experiment: load starts at half of the capacity,
// rises to load times the capacity within one second, stays for four seconds
// and falls back.
type crest struct {
	load    float64
	service func(*rand.Rand) time.Duration
	slack   func(*rand.Rand) time.Duration // time from arrival to deadline
	expect  time.Duration
	opts    []admit.Option
}

type result struct {
	goodput  float64       // requests in time per second at the crest, of the capacity
	p99      time.Duration // of requests answered at the crest
	refusal  time.Duration // p99 of the time until a refusal
	late     int           // answered after the deadline
	recovery time.Duration // from the end of the crest until waits stay below 30 ms
}

const (
	slots    = 5
	mean     = 10 * time.Millisecond
	rise     = 1 * time.Second
	crestEnd = 5 * time.Second
	end      = 8 * time.Second
	capacity = slots * float64(time.Second/mean)
)

func fixed(d time.Duration) func(*rand.Rand) time.Duration {
	return func(*rand.Rand) time.Duration { return d }
}

func spreadOut(d time.Duration) func(*rand.Rand) time.Duration {
	return func(r *rand.Rand) time.Duration { return time.Duration(r.ExpFloat64() * float64(d)) }
}

func mixed(r *rand.Rand) time.Duration {
	return []time.Duration{100 * time.Millisecond, time.Second}[r.Intn(2)]
}

func (c crest) rate(t time.Duration) float64 {
	if t >= crestEnd {
		return capacity / 2
	}
	return capacity * (0.5 + (c.load-0.5)*min(1, t.Seconds()/rise.Seconds()))
}

func (c crest) run() result {
	rnd := rand.New(rand.NewSource(1))
	q := admit.New(append([]admit.Option{admit.WithSlots(slots)}, c.opts...)...)
	origin := time.Unix(1_800_000_000, 0)
	arrived, deadline := map[uint64]time.Duration{}, map[uint64]time.Duration{}
	running := map[uint64][2]time.Duration{} // start and end
	var res result
	var answered, refused []time.Duration
	good := 0
	apply := func(ds []admit.Decision, t time.Duration) {
		for _, d := range ds {
			switch d := d.(type) {
			case admit.Start:
				running[d.ID] = [2]time.Duration{t, t + c.service(rnd)}
			case admit.Refuse:
				refused = append(refused, t-arrived[d.ID])
			}
		}
	}
	next, id := time.Duration(0), uint64(0)
	for {
		ended, at := uint64(0), end
		for r, span := range running {
			if span[1] < at || span[1] == at && r < ended {
				ended, at = r, span[1]
			}
		}
		tick := end
		if n := q.Next(origin); !n.IsZero() {
			tick = n.Sub(origin)
		}
		switch t := min(next, at, tick); {
		case t >= end:
			res.goodput = float64(good) / (crestEnd - rise).Seconds() / capacity
			res.p99, res.refusal = quantile(answered), quantile(refused)
			return res
		case t == at:
			span := running[ended]
			delete(running, ended)
			took := t - arrived[ended]
			if t > deadline[ended] {
				res.late++
			}
			if t >= rise && t < crestEnd {
				answered = append(answered, took)
				if t <= deadline[ended] {
					good++
				}
			}
			if t >= crestEnd && span[0]-arrived[ended] > 3*mean {
				res.recovery = t - crestEnd
			}
			apply(q.Done(ended, span[1]-span[0], origin.Add(t)), t)
		case t == next:
			id++
			arrived[id], deadline[id] = t, t+c.slack(rnd)
			next = t + time.Duration(rnd.ExpFloat64()/c.rate(t)*float64(time.Second))
			now := origin.Add(t)
			r := admit.Request{ID: id, Arrived: now, Deadline: origin.Add(deadline[id]), Expected: c.expect}
			apply(q.Offer(r, now), t)
		default:
			apply(q.Tick(origin.Add(t)), t)
		}
	}
}

func quantile(d []time.Duration) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[len(d)*99/100]
}

var orders = []struct {
	name  string
	order admit.Order
}{{"deadline", admit.DeadlineFirst}, {"oldest", admit.OldestFirst}, {"newest", admit.NewestFirst}}

// TestCrest guards against goodput that falls when the offered load rises.
func TestCrest(t *testing.T) {
	for _, service := range []func(*rand.Rand) time.Duration{fixed(mean), spreadOut(mean)} {
		c := crest{service: service, slack: fixed(time.Second), expect: mean}
		best := 0.0
		for _, c.load = range []float64{0.5, 1, 2, 5, 10} {
			res := c.run()
			best = max(best, res.goodput)
			if res.late > 0 || res.p99 > time.Second || res.recovery > time.Second {
				t.Errorf("load %v: %+v", c.load, res)
			}
			if c.load >= 1 && res.goodput < 0.95*best {
				t.Errorf("load %v: goodput %.3f, best %.3f", c.load, res.goodput, best)
			}
		}
	}
}

// BenchmarkOrders weighs the orders. Run with -bench Orders -benchtime 1x.
func BenchmarkOrders(b *testing.B) {
	for _, w := range []struct {
		name    string
		service func(*rand.Rand) time.Duration
		slack   func(*rand.Rand) time.Duration
		expect  time.Duration
	}{
		{"fixed", fixed(mean), fixed(time.Second), mean},
		{"exponential", spreadOut(mean), fixed(time.Second), mean},
		{"misjudged", fixed(mean), fixed(time.Second), mean / 5},
		{"mixed-deadlines", spreadOut(mean), mixed, mean},
	} {
		for _, wait := range []time.Duration{time.Second, 250 * time.Millisecond, 100 * time.Millisecond} {
			for _, o := range orders {
				for _, load := range []float64{0.5, 0.9, 1.2, 2, 10} {
					b.Run(fmt.Sprintf("%s/wait=%v/%s/load=%v", w.name, wait, o.name, load), func(b *testing.B) {
						c := crest{load, w.service, w.slack, w.expect, []admit.Option{admit.WithOrder(o.order), admit.WithMaxWait(wait)}}
						var res result
						for range b.N {
							res = c.run()
						}
						b.ReportMetric(res.goodput, "goodput")
						b.ReportMetric(float64(res.p99)/1e6, "p99-ms")
						b.ReportMetric(float64(res.refusal)/1e6, "refusal-p99-ms")
						b.ReportMetric(float64(res.late), "late")
						b.ReportMetric(float64(res.recovery)/1e6, "recovery-ms")
						b.ReportMetric(0, "ns/op")
					})
				}
			}
		}
	}
}
