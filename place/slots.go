package place

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/twmb/murmur3"
)

// slot is the place of one holder of a service.
type slot struct {
	service, n int // indexes of the service and of the holder
	hash       uint64
}

// candidate is an instance for a slot.
type candidate struct {
	slot, instance int // indexes
	weight         uint64
}

// AssignSlots returns the holders of each service, like Assign, but with a place for each: when an
// instance is lost, another one takes its place and hardly any other place changes. It fits services
// whose holders differ in what they keep. A place that no instance can take is empty.
//
// Each pair of a place and an instance has a weight, by a hash of both. The heaviest pairs are taken
// first, which is a stable matching. An instance gets more than the even number of services only for a
// place that no instance with fewer can take.
func AssignSlots(counts []HolderCount, instances []string) map[string][]string {
	out := make(map[string][]string, len(counts))
	byService := slices.SortedFunc(slices.Values(counts), func(a, b HolderCount) int { return cmp.Compare(a.Service, b.Service) })
	names := slices.Sorted(slices.Values(instances))
	var slots []slot
	for i, c := range byService {
		out[c.Service] = make([]string, c.Holders)
		for n := range c.Holders {
			slots = append(slots, slot{service: i, n: n, hash: murmur3.StringSum64(c.Service + "\x00" + strconv.Itoa(n))})
		}
	}
	if len(names) == 0 || len(slots) == 0 {
		return out
	}
	taken := make([]int, len(names)) // slots of each instance
	ranked := rankCandidates(slots, names)
	even := min((len(slots)+len(names)-1)/len(names), len(counts))
	for limit := even; limit <= len(counts); limit++ {
		for _, c := range ranked {
			s, name := slots[c.slot], names[c.instance]
			holders := out[byService[s.service].Service]
			if holders[s.n] != "" || taken[c.instance] >= limit || slices.Contains(holders, name) {
				continue
			}
			holders[s.n] = name
			taken[c.instance]++
		}
	}
	return out
}

// rankCandidates returns all pairs of a slot and an instance, the heaviest first.
func rankCandidates(slots []slot, names []string) []candidate {
	out := make([]candidate, 0, len(slots)*len(names))
	for i, name := range names {
		hash := murmur3.StringSum64(name)
		for k, s := range slots {
			out = append(out, candidate{slot: k, instance: i, weight: mix(s.hash ^ hash)})
		}
	}
	slices.SortFunc(out, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.slot, b.slot), cmp.Compare(a.instance, b.instance))
	})
	return out
}
