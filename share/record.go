package share

import "time"

// maxOutstanding limits the number of unacknowledged grants per holder. Further ones
// are merged into the newest.
const maxOutstanding = 16

// record is what the broker knows about one holder.
type record struct {
	id        holderID
	number    uint64 // newest Ask
	lastHeard time.Time
	want      Amount
	inUse     Amount           // as reported by the holder
	held      Amount           // newest grant less the units that were returned
	count     Amount           // units that count as in use at the time of the last update
	seq       uint64           // newest grant
	share     [2]int           // fair share by unitKind
	reserved  int              // units reserved for long requests
	spare     Amount           // units held that nobody wants
	rotation  [2]rotationState // by unitKind
	granted   Amount           // of the newest grant
	grantedAt time.Time
	keep      claim // what the holder keeps of acknowledged grants
	busy      claim
	grants    []claim // not acknowledged, oldest first
}

// claim is an amount that the holder may have in use until the given time.
type claim struct {
	seq    uint64
	amount Amount
	until  time.Time
}

// applyAsk updates the record from an Ask. The grants up to the one that the holder
// has applied are replaced by what the holder keeps of them.
func (r *record) applyAsk(a Ask, epoch uint64, now, until time.Time) {
	r.number = a.Number
	r.lastHeard = now
	r.want = a.Want.max(a.Busy).valid()
	r.inUse = a.Busy.valid()
	r.busy = claim{amount: a.Busy, until: later(r.busy.until, until)}
	for kind := range r.rotation {
		r.rotation[kind].reported = min(max(0, a.Waiting), MaxLease)
	}
	if a.Epoch != epoch {
		return
	}
	for len(r.grants) > 0 && r.grants[0].seq <= a.Applied {
		if r.grants[0].until.After(r.keep.until) {
			r.keep.until = r.grants[0].until
		}
		r.grants = append(r.grants[:0], r.grants[1:]...)
	}
	r.keep.amount = a.Keep
	if a.Applied == r.seq {
		r.held = a.Keep.valid()
	}
}

// addGrant records a grant to the holder. Its amount counts as in use until the given
// time, or until the holder acknowledges the grant.
func (r *record) addGrant(seq uint64, amount Amount, now, until time.Time) {
	r.seq = seq
	r.granted, r.held, r.grantedAt = amount, amount, now
	n := len(r.grants)
	if n > 0 && (r.grants[n-1].amount == amount || n == maxOutstanding) {
		last := &r.grants[n-1]
		last.seq = seq
		last.amount = last.amount.max(amount)
		last.until = later(last.until, until)
		return
	}
	r.grants = append(r.grants, claim{seq, amount, until})
}

func (r *record) clear() {
	r.want, r.inUse, r.granted, r.held = Amount{}, Amount{}, Amount{}, Amount{}
	r.keep, r.busy, r.grants = claim{}, claim{}, nil
}

// counted returns the units that the holder may have in use.
func (r *record) counted(now time.Time) Amount {
	sum := r.keep.at(now).max(r.busy.at(now))
	for _, g := range r.grants {
		sum = sum.max(g.at(now))
	}
	return sum
}

func (c claim) at(now time.Time) Amount {
	if now.Before(c.until) {
		return c.amount
	}
	return Amount{}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
