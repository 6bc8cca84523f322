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

// fleet holds the services and instances of a script.
type fleet struct {
	counts    []place.HolderCount
	instances []string
	last      map[string][]string // previous assignment
}

// TestPlace guards against instances that hold too many services, services that move
// needlessly when an instance is lost, and requests that are spread unevenly over the
// holders or sent to one that does not answer.
func TestPlace(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var f fleet
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "holders":
				var conns, zones int
				d.ScanArgs(t, "conns", &conns)
				d.ScanArgs(t, "zones", &zones)
				return fmt.Sprintln(place.HoldersPerZone(conns, zones))
			case "fleet":
				var services, holders, instances int
				d.ScanArgs(t, "services", &services)
				d.ScanArgs(t, "holders", &holders)
				d.ScanArgs(t, "instances", &instances)
				f = fleet{}
				for n := range services {
					f.counts = append(f.counts, place.HolderCount{Service: fmt.Sprint("db", n), Holders: holders})
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

// assign returns a summary of how evenly the services are assigned, and how many holders
// are new since the previous assignment.
func (f *fleet) assign() string {
	got := place.Assign(f.counts, f.instances)
	services := make(map[string]int)
	minHolders, moved := len(f.instances), 0
	for _, s := range slices.Sorted(maps.Keys(got)) {
		minHolders = min(minHolders, len(got[s]))
		for _, name := range got[s] {
			services[name]++
			if !slices.Contains(f.last[s], name) {
				moved++
			}
		}
	}
	maxServices := 0
	for _, n := range services {
		maxServices = max(maxServices, n)
	}
	f.last = got
	return fmt.Sprintf("least holders of a service: %d\nmost services of an instance: %d\nnew holders: %d\n", minHolders, maxServices, moved)
}

// requests chooses holders for n requests of which about open are in flight at a time.
// With the argument failing, the holder b does not answer.
func (f *fleet) requests(t *testing.T, d *datadriven.TestData) string {
	var n, open int
	d.ScanArgs(t, "n", &n)
	d.ScanArgs(t, "open", &open)
	holders := []place.Holder{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	if d.HasArg("failing") {
		holders[1].Failing = true
	}
	rnd := rand.New(rand.NewPCG(1, 2))
	var inFlight []int
	got, maxInFlight := make(map[string]int), 0
	for range n {
		name, ok := place.Choose(holders, rnd)
		if !ok {
			return "none\n"
		}
		k := slices.IndexFunc(holders, func(h place.Holder) bool { return h.Name == name })
		holders[k].InFlight++
		maxInFlight = max(maxInFlight, holders[k].InFlight)
		got[name]++
		if inFlight = append(inFlight, k); len(inFlight) > open {
			holders[inFlight[0]].InFlight--
			inFlight = inFlight[1:]
		}
	}
	uneven := maxInFlight > open/2+1
	return fmt.Sprintf("holders used: %s\nuneven: %t\n", strings.Join(slices.Sorted(maps.Keys(got)), " "), uneven)
}
