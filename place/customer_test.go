package place_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tamarackcross/place"
)

// TestRankMovesLostShare guards against customers that move although their holder is still there.
func TestRankMovesLostShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holders := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,6}`), 2, 12, rapid.ID).Draw(t, "holders")
		lost := rapid.IntRange(0, len(holders)-1).Draw(t, "lost")
		left := slices.Clone(holders)
		left[lost] = rapid.SampledFrom([]string{"", "1"}).Draw(t, "in its place")
		before, after := place.NewRanker("db", holders), place.NewRanker("db", left)
		n := rapid.IntRange(1, len(left)).Draw(t, "n")
		for i := range 50 {
			customer := fmt.Sprint("c", i)
			was := before.Rank(customer, len(holders), nil)
			at := slices.Index(was, holders[lost])
			if was[at] = left[lost]; left[lost] == "" {
				was = slices.Delete(was, at, at+1)
			}
			if now := after.Rank(customer, n, nil); !slices.Equal(now, was[:min(n, len(was))]) {
				t.Fatalf("holders of %s are %v, want %v after %s was lost", customer, now, was, holders[lost])
			}
		}
	})
}

// TestAssignSlots guards against services without a holder although there are instances, instances with
// too many services, and places that change although their holder is still there.
func TestAssignSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,6}`), 1, 30, rapid.ID).Draw(t, "instances")
		var counts []place.HolderCount
		total := 0
		for i := range rapid.IntRange(1, 10).Draw(t, "services") {
			counts = append(counts, place.HolderCount{Service: fmt.Sprint("db", i), Holders: rapid.IntRange(1, 3).Draw(t, "holders")})
			total += counts[i].Holders
		}
		got := place.AssignSlots(counts, instances)
		if again := place.AssignSlots(counts, rapid.Permutation(instances).Draw(t, "order")); !maps.EqualFunc(got, again, slices.Equal) {
			t.Fatalf("%v, and in another order %v", got, again)
		}
		services := make(map[string]int)
		for _, c := range counts {
			holders := slices.DeleteFunc(slices.Sorted(slices.Values(got[c.Service])), func(n string) bool { return n == "" })
			if want := min(c.Holders, len(instances)); len(slices.Compact(holders)) != want {
				t.Fatalf("holders of %s are %v, want %d", c.Service, got[c.Service], want)
			}
			for _, name := range holders {
				services[name]++
			}
		}
		even := (total + len(instances) - 1) / len(instances)
		for name, n := range services {
			// Some service of an instance with too many could go to no instance with fewer.
			movable := func(c place.HolderCount) bool {
				return !slices.Contains(got[c.Service], name) || slices.ContainsFunc(instances, func(other string) bool {
					return services[other] < n-1 && !slices.Contains(got[c.Service], other)
				})
			}
			if n > even && !slices.ContainsFunc(counts, func(c place.HolderCount) bool { return !movable(c) }) {
				t.Fatalf("%s holds %d services, want at most %d: %v", name, n, even, got)
			}
		}
	})
}

// TestSlotsStay counts the places that change when one instance of a zone is lost, for each of them.
func TestSlotsStay(t *testing.T) {
	for _, n := range []int{27, 30, 100} {
		var counts []place.HolderCount
		for i := range 8 {
			counts = append(counts, place.HolderCount{Service: fmt.Sprint("db", i), Holders: place.MaxHolders})
		}
		var instances []string
		for i := range n {
			instances = append(instances, fmt.Sprint("entry-", i))
		}
		before, lost, changed := place.AssignSlots(counts, instances), 0, 0
		for _, name := range instances {
			after := place.AssignSlots(counts, slices.DeleteFunc(slices.Clone(instances), func(other string) bool { return other == name }))
			for service, holders := range before {
				for i, h := range holders {
					if h == name {
						lost++
					}
					if after[service][i] != h {
						changed++
					}
				}
			}
		}
		if 2*changed > 3*lost {
			t.Errorf("%d instances: %d places change when %d are lost", n, changed, lost)
		}
		t.Logf("%d instances: %d places change when %d are lost", n, changed, lost)
	}
}

// TestChooseRanked guards against requests at a holder that does not answer while another does, and
// against a choice beyond the first holders of a customer while these have little to do.
func TestChooseRanked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		ranked := make([]place.RankedHolder, rapid.IntRange(0, 4).Draw(t, "holders"))
		answering := 0
		for i := range ranked {
			h := &ranked[i]
			h.Name, h.Failing = fmt.Sprint(i), rapid.Bool().Draw(t, "failing")
			h.Load, h.InFlight = rapid.IntRange(0, 40).Draw(t, "load"), rapid.IntRange(0, 40).Draw(t, "in flight")
			if rapid.Bool().Draw(t, "returned") {
				h.AnsweredSince = now.Add(-rapid.SampledFrom([]time.Duration{time.Second, time.Minute}).Draw(t, "since"))
			}
			if !h.Failing {
				answering++
			}
		}
		width := rapid.IntRange(0, 5).Draw(t, "width")
		name, ok := place.ChooseRanked(ranked, width, now, rand.New(rand.NewPCG(1, 2)))
		if ok != (answering > 0) {
			t.Fatalf("chose %t of %d holders that answer", ok, answering)
		}
		i := slices.IndexFunc(ranked, func(h place.RankedHolder) bool { return h.Name == name })
		switch {
		case ok && ranked[i].Failing:
			t.Fatalf("chose %s, which does not answer", name)
		case ok && i >= max(1, width) && answering == len(ranked) && !slices.ContainsFunc(ranked, func(h place.RankedHolder) bool {
			return !h.AnsweredSince.IsZero() || max(h.Load, h.InFlight) > 8
		}):
			t.Fatalf("chose %s of %+v", name, ranked)
		}
	})
}

// TestSpread replays a customer whose demand rises to 6.5 times its usual for some seconds: its
// requests are spread while it lasts, and only then.
func TestSpread(t *testing.T) {
	s, now := place.NewSpread(), time.Unix(0, 0)
	steps := 0
	run := func(d time.Duration, inFlight int) int {
		width, _ := s.Width("c", 3, now)
		for end := now.Add(d); now.Before(end); now = now.Add(20 * time.Millisecond) {
			for range inFlight / width { // each holder has as many
				s.Began("c", now)
			}
			for range inFlight / width {
				s.Ended("c", now.Add(20*time.Millisecond))
			}
			w, changed := s.Width("c", 3, now)
			if changed != (w != width) {
				t.Fatalf("from %d to %d holders, changed %t", width, w, changed)
			}
			if changed {
				width, steps = w, steps+1
			}
		}
		return width
	}
	for _, step := range []struct {
		d               time.Duration
		inFlight, width int
	}{{5 * time.Second, 1, 1}, {3 * time.Second, 6, 3}, {3 * time.Second, 6, 3}, {20 * time.Second, 1, 1}} {
		if got := run(step.d, step.inFlight); got != step.width {
			t.Errorf("with %d requests in flight the customer has %d holders after %s, want %d", step.inFlight, got, step.d, step.width)
		}
	}
	if steps > 4 { // two up and two down
		t.Errorf("the number of holders changed %d times", steps)
	}
	s.Forget(now.Add(time.Minute))
	if got, _ := s.Width("c", 3, now); got != 1 {
		t.Errorf("a forgotten customer has %d holders", got)
	}
}

// BenchmarkRank assigns 1,000 customers to 60 members.
func BenchmarkRank(b *testing.B) {
	var members, customers []string
	for i := range 1000 {
		customers = append(customers, fmt.Sprint("customer-", i))
	}
	for i := range 60 {
		members = append(members, fmt.Sprint("member-", i))
	}
	var out []string
	for b.Loop() {
		r := place.NewRanker("db", members)
		for _, c := range customers {
			out = r.Rank(c, place.MaxHolders, out)
		}
	}
}
