package place_test

import (
	"fmt"
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
		lost := rapid.SampledFrom(holders).Draw(t, "lost")
		left := slices.DeleteFunc(slices.Clone(holders), func(n string) bool { return n == lost })
		left = rapid.Permutation(left).Draw(t, "left")
		before, after := place.NewRanker("db", holders), place.NewRanker("db", left)
		n := rapid.IntRange(1, len(left)).Draw(t, "n")
		for i := range 50 {
			customer := fmt.Sprint("c", i)
			was := slices.DeleteFunc(before.Rank(customer, n+1, nil), func(h string) bool { return h == lost })
			if now := after.Rank(customer, n, nil); !slices.Equal(now, was[:n]) {
				t.Fatalf("holders of %s are %v, and were %v before %s was lost", customer, now, was[:n], lost)
			}
		}
	})
}

// TestChooseHome guards against requests at a holder that does not answer while another does, and
// against a choice beyond the first holders of a customer while these have little to do.
func TestChooseHome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		ranked := make([]place.Home, rapid.IntRange(0, 4).Draw(t, "holders"))
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
		name, ok := place.ChooseHome(ranked, width, now, rand.New(rand.NewPCG(1, 2)))
		if ok != (answering > 0) {
			t.Fatalf("chose %t of %d holders that answer", ok, answering)
		}
		i := slices.IndexFunc(ranked, func(h place.Home) bool { return h.Name == name })
		switch {
		case ok && ranked[i].Failing:
			t.Fatalf("chose %s, which does not answer", name)
		case ok && i >= max(1, width) && answering == len(ranked) && !slices.ContainsFunc(ranked, func(h place.Home) bool {
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
