package place

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/twmb/murmur3"
)

const (
	// returnDelay is how long a holder must have answered again before the customers that it had
	// come back to it, so that one that fails by turns does not move them each time.
	returnDelay = 3 * time.Second
	// passOnFactor and passOnSlack say when a holder is behind: it has this many times the requests
	// of the holder that would take over, and this many more. Eight requests are a wait of 40 ms at
	// four slots and 20 ms a statement, twice what a new connection costs.
	passOnFactor = 2
	passOnSlack  = 8
)

// Ranker orders the holders of a service for each customer by a hash of the customer and the place of
// the holder (rendezvous hashing). When another instance takes the place of a holder, or it stays
// empty, only the customers of that holder get another one.
type Ranker struct {
	holders []string
	seeds   []uint64
}

// NewRanker returns the ranker for the holders of a service, by their places. An empty name is a place
// without a holder.
func NewRanker(service string, holders []string) *Ranker {
	r := new(Ranker)
	for n, name := range holders {
		if name != "" {
			r.holders = append(r.holders, name)
			r.seeds = append(r.seeds, murmur3.StringSum64(service+"\x00"+strconv.Itoa(n)))
		}
	}
	return r
}

// Rank returns the first n holders for the customer, the highest ranked first. It uses out.
func (r *Ranker) Rank(customer string, n int, out []string) []string {
	key := murmur3.StringSum64(customer)
	n = min(n, len(r.holders))
	var buf [8]uint64
	top := buf[:0]
	out = out[:0]
	lowest := uint64(0) // of the first n
	for i, seed := range r.seeds {
		w := mix(seed ^ key)
		if w < lowest {
			continue
		}
		at := len(top)
		for at > 0 && (top[at-1] < w || top[at-1] == w && out[at-1] > r.holders[i]) {
			at--
		}
		top, out = slices.Insert(top, at, w), slices.Insert(out, at, r.holders[i])
		if len(top) > n {
			top, out = top[:n], out[:n]
		}
		if len(top) == n && n > 0 {
			lowest = top[n-1]
		}
	}
	return out
}

// mix spreads the bits of x (finalizer of MurmurHash3).
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// RankedHolder is a holder as one that keeps connections of a customer, as seen by the instance that
// forwards a request.
type RankedHolder struct {
	Holder
	Load          int       // requests under way at the holder, as it told last
	AnsweredSince time.Time // when it answered again after it had failed, or zero
}

func (h RankedHolder) requests() int { return max(h.Load, h.InFlight) }

// usable reports whether requests go to the holder while another one can take them.
func (h RankedHolder) usable(now time.Time) bool {
	return !h.Failing && (h.AnsweredSince.IsZero() || now.Sub(h.AnsweredSince) >= returnDelay)
}

// ChooseRanked returns the holder for a request of a customer. ranked holds the holders of the
// service in the order of the customer, and width is the number of holders over which its requests
// are spread. The first usable ones take them, by power of two choices if there are several. One
// that is far behind the next in the order passes the choice on to it. The result is false if no
// holder answers.
func ChooseRanked(ranked []RankedHolder, width int, now time.Time, rnd *rand.Rand) (string, bool) {
	var buf [8]RankedHolder
	usable := buf[:0]
	for _, h := range ranked {
		if h.usable(now) {
			usable = append(usable, h)
		}
	}
	if len(usable) == 0 {
		for _, h := range ranked {
			if !h.Failing {
				usable = append(usable, h)
			}
		}
	}
	if len(usable) == 0 {
		return "", false
	}
	width = min(max(1, width), len(usable))
	first := 0
	if width > 1 {
		first = rnd.IntN(width)
		second := (first + 1 + rnd.IntN(width-1)) % width
		if usable[second].InFlight < usable[first].InFlight {
			first = second
		}
	}
	for _, next := range usable[width:] {
		if usable[first].requests() > passOnFactor*next.requests()+passOnSlack {
			return next.Name, true
		}
	}
	return usable[first].Name, true
}
