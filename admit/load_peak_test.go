package admit_test

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"tamarackcross/admit"
)

// overload is an event-driven simulation of a load peak. The arrival rate starts
// at half of the capacity, rises within one second to load times the capacity,
// stays there for four seconds and falls back to half.
type overload struct {
	load           float64
	service        func(*rand.Rand) time.Duration
	timeToDeadline func(*rand.Rand) time.Duration // from arrival
	expected       time.Duration
	opts           []admit.Option
}

type result struct {
	goodput    float64       // rate of requests ended in time during the peak, relative to the capacity
	p99        time.Duration // response time of requests that ended during the peak
	refusalP99 time.Duration // time from arrival to refusal
	late       int           // number of requests that ended after their deadline
	recovery   time.Duration // from the end of the peak until waits stay below 30 ms
}

const (
	slots       = 5
	meanService = 10 * time.Millisecond
	rise        = 1 * time.Second
	peakEnd     = 5 * time.Second
	end         = 8 * time.Second
	capacity    = slots * float64(time.Second/meanService)
)

func fixed(d time.Duration) func(*rand.Rand) time.Duration {
	return func(*rand.Rand) time.Duration { return d }
}

func exponential(d time.Duration) func(*rand.Rand) time.Duration {
	return func(r *rand.Rand) time.Duration { return time.Duration(r.ExpFloat64() * float64(d)) }
}

func mixedDeadline(r *rand.Rand) time.Duration {
	return []time.Duration{100 * time.Millisecond, time.Second}[r.Intn(2)]
}

func (c overload) rate(t time.Duration) float64 {
	if t >= peakEnd {
		return capacity / 2
	}
	return capacity * (0.5 + (c.load-0.5)*min(1, t.Seconds()/rise.Seconds()))
}

func (c overload) run() result {
	rnd := rand.New(rand.NewSource(1))
	q := admit.New(append([]admit.Option{admit.WithSlots(slots)}, c.opts...)...)
	origin := time.Unix(1_800_000_000, 0)
	arrived, deadline := map[uint64]time.Duration{}, map[uint64]time.Duration{}
	running := map[uint64][2]time.Duration{} // start and end
	var res result
	var answered, refused []time.Duration
	inTime := 0
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
	nextArrival, id := time.Duration(0), uint64(0)
	for {
		endedID, endsAt := uint64(0), end
		for r, span := range running {
			if span[1] < endsAt || span[1] == endsAt && r < endedID {
				endedID, endsAt = r, span[1]
			}
		}
		tickAt := end
		if n := q.NextTick(origin); !n.IsZero() {
			tickAt = n.Sub(origin)
		}
		switch t := min(nextArrival, endsAt, tickAt); {
		case t >= end:
			res.goodput = float64(inTime) / (peakEnd - rise).Seconds() / capacity
			res.p99, res.refusalP99 = percentile99(answered), percentile99(refused)
			return res
		case t == endsAt:
			span := running[endedID]
			delete(running, endedID)
			took := t - arrived[endedID]
			if t > deadline[endedID] {
				res.late++
			}
			if t >= rise && t < peakEnd {
				answered = append(answered, took)
				if t <= deadline[endedID] {
					inTime++
				}
			}
			if t >= peakEnd && span[0]-arrived[endedID] > 3*meanService {
				res.recovery = t - peakEnd
			}
			apply(q.Done(endedID, span[1]-span[0], origin.Add(t)), t)
		case t == nextArrival:
			id++
			arrived[id], deadline[id] = t, t+c.timeToDeadline(rnd)
			nextArrival = t + time.Duration(rnd.ExpFloat64()/c.rate(t)*float64(time.Second))
			now := origin.Add(t)
			r := admit.Request{ID: id, Arrived: now, Deadline: origin.Add(deadline[id]), Expected: c.expected}
			apply(q.Offer(r, now), t)
		default:
			apply(q.Tick(origin.Add(t)), t)
		}
	}
}

func percentile99(d []time.Duration) time.Duration {
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

// TestLoadPeak guards against goodput that collapses under overload, when slots are
// spent on requests that miss their deadline, and against a queue that stays long
// after the peak.
func TestLoadPeak(t *testing.T) {
	for _, service := range []func(*rand.Rand) time.Duration{fixed(meanService), exponential(meanService)} {
		c := overload{service: service, timeToDeadline: fixed(time.Second), expected: meanService}
		best := 0.0
		for _, c.load = range []float64{0.5, 1, 2, 5, 10} {
			res := c.run()
			best = max(best, res.goodput)
			if res.late > 0 || res.p99 > time.Second || res.recovery > time.Second {
				t.Errorf("load %v: late requests, p99 or recovery over 1s: %+v", c.load, res)
			}
			if c.load >= 1 && res.goodput < 0.95*best {
				t.Errorf("load %v: goodput %.3f, best %.3f", c.load, res.goodput, best)
			}
		}
	}
}

// BenchmarkOrders compares the orders. Run it with -bench Orders -benchtime 1x.
func BenchmarkOrders(b *testing.B) {
	for _, w := range []struct {
		name           string
		service        func(*rand.Rand) time.Duration
		timeToDeadline func(*rand.Rand) time.Duration
		expected       time.Duration
	}{
		{"fixed", fixed(meanService), fixed(time.Second), meanService},
		{"exponential", exponential(meanService), fixed(time.Second), meanService},
		{"misjudged", fixed(meanService), fixed(time.Second), meanService / 5},
		{"mixed-deadlines", exponential(meanService), mixedDeadline, meanService},
	} {
		for _, wait := range []time.Duration{time.Second, 250 * time.Millisecond, 100 * time.Millisecond} {
			for _, o := range orders {
				for _, load := range []float64{0.5, 0.9, 1.2, 2, 10} {
					b.Run(fmt.Sprintf("%s/wait=%v/%s/load=%v", w.name, wait, o.name, load), func(b *testing.B) {
						c := overload{load, w.service, w.timeToDeadline, w.expected, []admit.Option{admit.WithOrder(o.order), admit.WithMaxWait(wait)}}
						var res result
						for range b.N {
							res = c.run()
						}
						b.ReportMetric(res.goodput, "goodput")
						b.ReportMetric(float64(res.p99)/1e6, "p99-ms")
						b.ReportMetric(float64(res.refusalP99)/1e6, "refusal-p99-ms")
						b.ReportMetric(float64(res.late), "late")
						b.ReportMetric(float64(res.recovery)/1e6, "recovery-ms")
						b.ReportMetric(0, "ns/op")
					})
				}
			}
		}
	}
}
