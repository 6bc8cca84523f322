package host

import (
	"cmp"
	"slices"
	"time"

	"github.com/twmb/murmur3"
)

// contact is what an instance knows about one control instance when it chooses which to call.
type contact struct {
	addr   string
	zone   string // empty if not known
	usable bool   // it answers and knows a leader, or was not called long enough to tell
}

// wantedContacts is the number of usable control instances that an entry calls. One of them is its
// home, to which it reports; the other one stands by.
const wantedContacts = 2

// rankContacts orders the control instances for the entries of a zone, the best first: those of
// the zone, then the others in an order that is the same for all entries of the zone and differs
// between zones. Entries of a zone have to meet at the same control instances, which list them as
// peers.
func rankContacts(zone string, all []contact) []contact {
	out := slices.Clone(all)
	slices.SortFunc(out, func(a, b contact) int {
		if own, otherOwn := a.zone == zone, b.zone == zone; own != otherOwn {
			if own {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(murmur3.StringSum64(zone+"\x00"+a.addr), murmur3.StringSum64(zone+"\x00"+b.addr)), cmp.Compare(a.addr, b.addr))
	})
	return out
}

// chooseContacts returns the control instances to call, in the order of their rank: as many as are
// needed to have wantedContacts usable ones among them. Those before these are called too, as
// they are better once they are usable again.
func chooseContacts(zone string, all []contact) []string {
	var out []string
	usable := 0
	for _, c := range rankContacts(zone, all) {
		if usable == wantedContacts {
			break
		}
		out = append(out, c.addr)
		if c.usable {
			usable++
		}
	}
	return out
}

const (
	// standbyWait is how long a control instance that is not the home of an entry may hold a call.
	// It tells of changes at once.
	standbyWait = 2 * time.Second
	// answerMargin is how long after the end of its wait the answer of a control instance may
	// arrive before the instance does not count as answering.
	answerMargin = 600 * time.Millisecond
	// firstAnswerTimeout is how long a control instance may take for its first answer, which it
	// does not hold, before another one is called.
	firstAnswerTimeout = 700 * time.Millisecond
	// contactInterval is the time between checks which control instances to call.
	contactInterval = 250 * time.Millisecond
	// releaseDelay is how long a control instance is still called that need not be.
	releaseDelay = 3 * time.Second
	// pingTimeout bounds a call that only finds out whether a control instance can be reached.
	pingTimeout = 300 * time.Millisecond
)
