// Package place decides which instances of an availability zone hold the
// connections to the backend servers of a service, where there are too few
// connections for all of them. The others pass their requests on to a holder.
//
// The assignment is a function of the instances alone, so that all instances of a
// zone that know the same list agree without asking each other.
package place

import (
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/twmb/murmur3"
)

const (
	// mostHolders is how many instances of a zone hold a service: one may be lost
	// and one restarted at a time.
	mostHolders = 3
	// leastConns is how many connections of a backend server a holder needs: one for
	// probes and a few for statements at a time.
	leastConns = 5
)

// Holders returns how many instances of each zone may hold a service whose
// backend servers accept conns connections each.
func Holders(conns, zones int) int {
	return min(mostHolders, max(1, conns/(max(1, zones)*leastConns)))
}

// Need is a service and how many holders it takes in the zone.
type Need struct {
	Service string
	Holders int
}

// Assign returns the holders of each service. Instances hold about the same
// number of services, and the loss of one moves few of the others: each service
// prefers instances in an order of its own.
func Assign(needs []Need, instances []string) map[string][]string {
	out := make(map[string][]string, len(needs))
	if len(instances) == 0 {
		return out
	}
	sorted := slices.Clone(needs)
	slices.SortFunc(sorted, func(a, b Need) int { return strings.Compare(a.Service, b.Service) })
	total := 0
	for _, n := range sorted {
		total += min(n.Holders, len(instances))
	}
	room := (total + len(instances) - 1) / len(instances)
	held := make(map[string]int, len(instances))
	for _, n := range sorted {
		out[n.Service] = pick(n, instances, held, room)
	}
	return out
}

// pick takes the preferred instances that have room, then any.
func pick(n Need, instances []string, held map[string]int, room int) []string {
	order := preference(n.Service, instances)
	var out []string
	for _, limited := range []bool{true, false} {
		for _, name := range order {
			if len(out) == n.Holders {
				return out
			}
			if slices.Contains(out, name) || limited && held[name] >= room {
				continue
			}
			out = append(out, name)
			held[name]++
		}
	}
	return out
}

// preference orders the instances by a hash of the service and the instance
// (rendezvous hashing).
func preference(service string, instances []string) []string {
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

// Holder is a holder as one instance sees it.
type Holder struct {
	Name    string
	Open    int  // requests that this instance has there
	Failing bool // it does not answer
}

// Choose returns the holder for a request: of two drawn at random the one with
// fewer open requests. Holders that fail are left out. It returns false if none
// is left.
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
	if usable[second].Open < usable[first].Open {
		first = second
	}
	return usable[first].Name, true
}
