package admit_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"tamarackcross/admit"
	"tamarackcross/errs"
)

var origin = time.Unix(1_800_000_000, 0)

func render(ds []admit.Decision) string {
	var out strings.Builder
	for _, d := range ds {
		switch d := d.(type) {
		case admit.Start:
			fmt.Fprintf(&out, "start %d\n", d.ID)
		case admit.Refuse:
			fmt.Fprintf(&out, "refuse %d %s\n", d.ID, d.Reason)
		}
	}
	return out.String()
}

// TestQueue runs the scripts in testdata. It guards against starting more
// requests than there are slots or slots for long requests, and against refusals
// that come too late or give the wrong reason.
func TestQueue(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		q, now := admit.New(), origin
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var n int
			var id uint64
			caller, deadlineMS, expectedMS, priority, weight := "a", 1000, 10, 0, 0
			for key, dst := range map[string]any{"n": &n, "id": &id, "caller": &caller, "deadline": &deadlineMS, "expected": &expectedMS, "priority": &priority, "weight": &weight} {
				d.MaybeScanArgs(t, key, dst)
			}
			ms := time.Millisecond
			switch d.Cmd {
			case "new":
				q = admit.New(admit.WithSlots(n))
			case "offer":
				r := admit.Request{ID: id, Caller: caller, Arrived: now, Deadline: now.Add(time.Duration(deadlineMS) * ms), Expected: time.Duration(expectedMS) * ms, Priority: priority, Weight: float64(weight)}
				if d.HasArg("long") {
					r.Class = admit.Long
				}
				return render(q.Offer(r, now))
			case "crest":
				for k := range n {
					r := admit.Request{
						ID: uint64(1000 + k), Caller: fmt.Sprint("crest", k), Arrived: now, Deadline: now.Add(time.Duration(deadlineMS) * ms),
						Expected: time.Duration(expectedMS) * ms, Priority: priority,
					}
					q.Offer(r, now)
				}
				return ""
			case "done":
				return render(q.Done(id, time.Duration(expectedMS)*ms, now))
			case "cancel":
				return render(q.Cancel(id, now))
			case "grown":
				return render(q.MarkLong(id, now))
			case "resize":
				return render(q.Resize(n, now))
			case "resize-long":
				return render(q.ResizeLong(n, now))
			case "max-wait":
				return render(q.SetMaxWait(time.Duration(n)*ms, now))
			case "drain":
				return render(q.Drain(errs.ReasonShutdown, now))
			case "wait":
				now = now.Add(time.Duration(n) * ms)
				return render(q.Tick(now))
			case "show":
				return fmt.Sprintf("running=%d long=%d/%d waiting=%d", q.Running(), q.RunningLong(), q.LongLimit(), q.Waiting())
			default:
				d.Fatalf(t, "unknown command %s", d.Cmd)
			}
			return ""
		})
	})
}

// model tracks the offered requests and checks the decisions of the queue against
// them.
type model struct {
	*rapid.T
	q       *admit.Queue
	now     time.Time
	waiting map[uint64]admit.Request
	running map[uint64]admit.Request
	long    int
	slots   int
}

func (m *model) check(ds []admit.Decision) {
	for _, d := range ds {
		switch d := d.(type) {
		case admit.Start:
			r := m.decided(d.ID)
			if !m.now.Add(r.Expected).Before(r.Deadline) {
				m.Fatalf("request %d started too late to finish by its deadline", d.ID)
			}
			m.running[d.ID] = r
			if r.Class == admit.Long {
				m.long++
				if m.long > m.q.LongLimit() || m.slots > 1 && m.long >= m.slots {
					m.Fatalf("long requests hold %d of %d slots", m.long, m.slots)
				}
			}
			if len(m.running) > m.slots {
				m.Fatalf("%d requests run on %d slots", len(m.running), m.slots)
			}
		case admit.Refuse:
			if m.decided(d.ID); d.Reason == "" || d.RetryAfter <= 0 {
				m.Fatalf("refusal without reason or retry-after: %+v", d)
			}
		}
	}
	if m.q.Running() != len(m.running) || m.q.Waiting() != len(m.waiting) {
		m.Fatalf("queue reports %d running and %d waiting requests, which differs from the decisions", m.q.Running(), m.q.Waiting())
	}
	for _, r := range m.waiting {
		if !m.now.Add(r.Expected).Before(r.Deadline) {
			m.Fatalf("request %d still waits at %v, too late to finish by its deadline", r.ID, m.now.Sub(origin))
		}
		if r.Class == admit.Short && len(m.running) < m.slots {
			m.Fatalf("short request %d waits although a slot is free", r.ID)
		}
	}
}

func (m *model) decided(id uint64) admit.Request {
	r, ok := m.waiting[id]
	if !ok {
		m.Fatalf("decision for request %d, which is not waiting: decided twice or never offered", id)
	}
	delete(m.waiting, id)
	return r
}

func drawID(t *rapid.T, set map[uint64]admit.Request) uint64 {
	ids := []uint64{0}
	for id := range set {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return rapid.SampledFrom(ids).Draw(t, "id")
}

// TestDecisions offers random requests. It guards against requests that get no
// decision or two, requests that start too late to finish by their deadline, and
// long requests that take the last slot.
func TestDecisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		order := admit.Order(rapid.IntRange(0, 2).Draw(t, "order"))
		slots := rapid.IntRange(0, 6).Draw(t, "slots")
		q := admit.New(admit.WithSlots(slots), admit.WithOrder(order))
		m := &model{t, q, origin, map[uint64]admit.Request{}, map[uint64]admit.Request{}, 0, slots}
		ms := func(lo, hi int) time.Duration {
			return time.Duration(rapid.IntRange(lo, hi).Draw(t, "ms")) * time.Millisecond
		}
		nextID := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				nextID++
				r := admit.Request{
					ID: nextID, Caller: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller"),
					Arrived: m.now, Deadline: m.now.Add(ms(0, 400)), Expected: ms(0, 40), Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
				}
				if rapid.IntRange(0, 3).Draw(t, "long") == 0 {
					r.Class, r.Expected = admit.Long, 5*r.Expected
				}
				m.waiting[nextID] = r
				m.check(q.Offer(r, m.now))
			},
			"done": func(t *rapid.T) {
				id := drawID(t, m.running)
				if m.running[id].Class == admit.Long {
					m.long--
				}
				delete(m.running, id)
				m.check(q.Done(id, ms(1, 100), m.now))
			},
			"grown": func(t *rapid.T) {
				id := drawID(t, m.running)
				if r, ok := m.running[id]; ok && r.Class == admit.Short {
					r.Class = admit.Long
					m.running[id] = r
					m.long++
				}
				m.check(q.MarkLong(id, m.now))
			},
			"cancel":   func(t *rapid.T) { m.check(q.Cancel(drawID(t, m.waiting), m.now)) },
			"max-wait": func(t *rapid.T) { m.check(q.SetMaxWait(ms(1, 500), m.now)) },
			"share":    func(t *rapid.T) { m.check(q.SetLongShare(rapid.Float64Range(0, 1).Draw(t, "share"), m.now)) },
			"resize": func(t *rapid.T) {
				m.slots = rapid.IntRange(0, 6).Draw(t, "slots")
				m.check(q.Resize(m.slots, m.now))
			},
			"tick": func(t *rapid.T) {
				m.now = m.now.Add(ms(0, 50))
				m.check(q.Tick(m.now))
			},
		})
		for len(m.waiting) > 0 {
			m.now = q.NextTick(m.now)
			m.check(q.Tick(m.now))
		}
	})
}

// TestFairness guards against a caller that starves others by flooding the queue:
// one caller offers ten times the capacity, the other a tenth of it.
func TestFairness(t *testing.T) {
	q, now := admit.New(admit.WithSlots(1)), origin
	offered, refused, worst := 0, 0, time.Duration(0)
	running, free := uint64(0), time.Time{}
	for id := uint64(1); id <= 5000; id++ {
		now = now.Add(time.Millisecond)
		r := admit.Request{ID: id, Caller: "flood", Arrived: now, Deadline: now.Add(time.Second), Expected: 10 * time.Millisecond}
		if id%100 == 0 {
			r.Caller = "light"
			offered++
		}
		ds := slices.Clone(q.Offer(r, now))
		if now.After(free) && q.Running() > 0 {
			ds = append(ds, q.Done(running, 10*time.Millisecond, now)...)
		}
		for _, d := range ds {
			switch d := d.(type) {
			case admit.Start:
				running, free = d.ID, now.Add(9*time.Millisecond)
				if d.ID%100 == 0 {
					worst = max(worst, now.Sub(origin)-time.Duration(d.ID)*time.Millisecond)
				}
			case admit.Refuse:
				if d.ID%100 == 0 {
					refused++
				}
			}
		}
	}
	if refused > 0 || worst > 30*time.Millisecond {
		t.Fatalf("light caller: %d of %d refused, longest wait %v", refused, offered, worst)
	}
}

func BenchmarkOfferDone(b *testing.B) {
	for _, waiting := range []int{0, 100, 5000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			q := admit.New(admit.WithSlots(1), admit.WithMaxWait(time.Hour))
			deadline := origin.Add(time.Hour)
			running := uint64(0)
			record := func(ds []admit.Decision) {
				for _, d := range ds {
					running = d.(admit.Start).ID
				}
			}
			offer := func(id uint64) {
				record(q.Offer(admit.Request{ID: id, Caller: "a", Arrived: origin, Deadline: deadline, Expected: 1000}, origin))
			}
			id := uint64(0)
			for ; id < uint64(waiting); id++ {
				offer(id)
			}
			b.ReportAllocs()
			for b.Loop() {
				id++
				offer(id)
				record(q.Done(running, 1000, origin))
			}
		})
	}
}
