package share

import "time"

// maxOutstanding bounds the grants per holder that are not acknowledged; beyond
// it the newest are merged.
const maxOutstanding = 16

// record is what the broker knows about one holder.
type record struct {
	id        holderID
	number    uint64 // newest Ask
	heard     time.Time
	want      Amount
	inUse     Amount  // as reported
	held      Amount  // of the newest grant, less what was given back of it
	count     Amount  // what counts as in use at the current event
	seq       uint64  // newest grant
	part      [2]int  // by kind, in the fair division
	reserved  int     // units set apart for long work
	spare     Amount  // held and wanted by nobody
	turns     [2]turn // by kind
	granted   Amount  // of the newest grant
	grantedAt time.Time
	keep      claim // of acknowledged grants
	busy      claim
	grants    []claim // not acknowledged, oldest first
}

// claim is an amount that the holder may have in use until a time.
type claim struct {
	seq    uint64
	amount Amount
	until  time.Time
}

// accept takes over what a holder reports. The grants up to the applied one are
// replaced by what the holder keeps of them.
func (r *record) accept(a Ask, epoch uint64, now, until time.Time) {
	r.number = a.Number
	r.heard = now
	r.want = a.Want.max(a.Busy).valid()
	r.inUse = a.Busy.valid()
	r.busy = claim{amount: a.Busy, until: later(r.busy.until, until)}
	for kind := range r.turns {
		r.turns[kind].reported = min(max(0, a.Waiting), MaxLease)
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

func (r *record) issued(seq uint64, amount Amount, now, until time.Time) {
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

// counted returns what the holder may have in use.
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
