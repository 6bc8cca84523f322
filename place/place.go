// Package place decides which instances of an availability zone keep the
// connections to the backend servers of a service if there are too few connections
// for all instances. These instances are the holders of the service. The others
// forward their requests to a holder.
//
// The assignment depends only on the services and the instances, so that instances of
// a zone that know the same lists come to the same result without communication.
package place

import (
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/twmb/murmur3"
)

const (
	// MaxHolders is the maximum number of holders of a service in a zone. With three, one
	// may have failed while another one restarts.
	MaxHolders = 3
	// minConnsPerHolder is the minimum number of connections of a holder to a backend
	// server: one for health probes and a few for concurrent statements.
	minConnsPerHolder = 5
)

// HoldersPerZone returns the number of holders in each zone of a service whose backend
// servers accept conns connections each.
func HoldersPerZone(conns, zones int) int {
	return min(MaxHolders, max(1, conns/(max(1, zones)*minConnsPerHolder)))
}

// HolderCount is a service and the number of holders that it is to have in the zone.
type HolderCount struct {
	Service string
	Holders int
}

// Assign returns the holders of each service. Each instance becomes the holder of about
// the same number of services. When an instance is lost, few other services get a new
// holder, because each service ranks the instances in an order of its own.
func Assign(counts []HolderCount, instances []string) map[string][]string {
	out := make(map[string][]string, len(counts))
	if len(instances) == 0 {
		return out
	}
	byService := slices.Clone(counts)
	slices.SortFunc(byService, func(a, b HolderCount) int { return strings.Compare(a.Service, b.Service) })
	total := 0
	for _, n := range byService {
		total += min(n.Holders, len(instances))
	}
	maxPerInstance := (total + len(instances) - 1) / len(instances)
	services := make(map[string]int, len(instances))
	for _, n := range byService {
		out[n.Service] = chooseHolders(n, instances, services, maxPerInstance)
	}
	return out
}

// chooseHolders returns the holders of a service: the instances ranked first among those
// with fewer than maxPerInstance services, and after these any other instances.
func chooseHolders(n HolderCount, instances []string, services map[string]int, maxPerInstance int) []string {
	ranked := rankInstances(n.Service, instances)
	var out []string
	for _, limited := range []bool{true, false} {
		for _, name := range ranked {
			if len(out) == n.Holders {
				return out
			}
			if slices.Contains(out, name) || limited && services[name] >= maxPerInstance {
				continue
			}
			out = append(out, name)
			services[name]++
		}
	}
	return out
}

// rankInstances orders the instances by a hash of the service and the instance
// (rendezvous hashing), the highest first.
func rankInstances(service string, instances []string) []string {
	weight := make(map[string]uint64, len(instances))
	for _, name := range instances {
		weight[name] = murmur3.StringSum64(service + "\x00" + name)
	}
	out := slices.Clone(instances)
	slices.SortFunc(out, func(a, b string) int {
		switch {
		case weight[a] > weight[b]:
			return -1
		case weight[a] < weight[b]:
			return 1
		default:
			return strings.Compare(a, b)
		}
	})
	return slices.Compact(out)
}

// Holder is the state of a holder as seen by the instance that forwards requests.
type Holder struct {
	Name     string
	InFlight int  // requests that this instance has in flight at the holder
	Failing  bool // the holder does not answer
}

// Choose returns the holder for a request. Of two holders drawn at random it takes the
// one with fewer requests in flight (power of two choices). Failing holders are not
// considered. The result is false if no holder remains.
func Choose(holders []Holder, rnd *rand.Rand) (string, bool) {
	usable := make([]Holder, 0, len(holders))
	for _, h := range holders {
		if !h.Failing {
			usable = append(usable, h)
		}
	}
	switch len(usable) {
	case 0:
		return "", false
	case 1:
		return usable[0].Name, true
	}
	first := rnd.IntN(len(usable))
	second := (first + 1 + rnd.IntN(len(usable)-1)) % len(usable)
	if usable[second].InFlight < usable[first].InFlight {
		first = second
	}
	return usable[first].Name, true
}
