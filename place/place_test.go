package place_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"tamarackcross/place"
)

// fleet is the services and instances of a script.
type fleet struct {
	needs     []place.Need
	instances []string
	last      map[string][]string
}

// TestPlace replays fleets from testdata: assignments, what the loss of an instance
// moves, and how many requests each holder gets.
func TestPlace(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var f fleet
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "holders":
				var conns, zones int
				d.ScanArgs(t, "conns", &conns)
				d.ScanArgs(t, "zones", &zones)
				return fmt.Sprintln(place.Holders(conns, zones))
			case "fleet":
				var services, holders, instances int
				d.ScanArgs(t, "services", &services)
				d.ScanArgs(t, "holders", &holders)
				d.ScanArgs(t, "instances", &instances)
				f = fleet{}
				for n := range services {
					f.needs = append(f.needs, place.Need{Service: fmt.Sprint("db", n), Holders: holders})
				}
				for n := range instances {
					f.instances = append(f.instances, fmt.Sprint("entry-", n))
				}
				return f.assign()
			case "lose":
				f.instances = slices.DeleteFunc(f.instances, func(n string) bool { return n == strings.TrimSpace(d.Input) })
				return f.assign()
			case "requests":
				return f.requests(t, d)
			default:
				d.Fatalf(t, "unknown command %s", d.Cmd)
				return ""
			}
		})
	})
}

// assign tells how evenly services are held, and how many holders are new.
func (f *fleet) assign() string {
	got := place.Assign(f.needs, f.instances)
	held := make(map[string]int)
	least, moved := len(f.instances), 0
	for _, s := range slices.Sorted(maps.Keys(got)) {
		least = min(least, len(got[s]))
		for _, name := range got[s] {
			held[name]++
			if !slices.Contains(f.last[s], name) {
				moved++
			}
		}
	}
	most := 0
	for _, n := range held {
		most = max(most, n)
	}
	f.last = got
	return fmt.Sprintf("least holders of a service: %d\nmost services of an instance: %d\nnew holders: %d\n", least, most, moved)
}

// requests draws holders for n requests of which each stays open for a while; the
// instances named in failing do not answer.
func (f *fleet) requests(t *testing.T, d *datadriven.TestData) string {
	var n, open int
	d.ScanArgs(t, "n", &n)
	d.ScanArgs(t, "open", &open)
	hs := []place.Holder{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	if d.HasArg("failing") {
		hs[1].Failing = true
	}
	rnd := rand.New(rand.NewPCG(1, 2))
	var queue []int
	got, most := make(map[string]int), 0
	for range n {
		name, ok := place.Choose(hs, rnd)
		if !ok {
			return "none\n"
		}
		k := slices.IndexFunc(hs, func(h place.Holder) bool { return h.Name == name })
		hs[k].Open++
		most = max(most, hs[k].Open)
		got[name]++
		if queue = append(queue, k); len(queue) > open {
			hs[queue[0]].Open--
			queue = queue[1:]
		}
	}
	uneven := most > open/2+1
	return fmt.Sprintf("holders used: %s\nuneven: %t\n", strings.Join(slices.Sorted(maps.Keys(got)), " "), uneven)
}
