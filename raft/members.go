package raft

import (
	"cmp"
	"slices"

	"github.com/rotisserie/eris"
)

// Member is a member of the replicated log. A learner receives the log but counts
// in no majority.
type Member struct {
	ID      ID
	Address string
	Learner bool
}

// Members is the membership, ordered by ID. It must not be modified.
type Members []Member

// Find returns the member with the given ID.
func (ms Members) Find(id ID) (Member, bool) {
	i := ms.index(id)
	if i < 0 {
		return Member{}, false
	}
	return ms[i], true
}

// IsVoter reports whether id is a voter.
func (ms Members) IsVoter(id ID) bool {
	m, ok := ms.Find(id)
	return ok && !m.Learner
}

// Voters returns the IDs of the members that count in majorities.
func (ms Members) Voters() []ID {
	ids := make([]ID, 0, len(ms))
	for _, m := range ms {
		if !m.Learner {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

func (ms Members) index(id ID) int {
	return slices.IndexFunc(ms, func(m Member) bool { return m.ID == id })
}

func (ms Members) with(m Member) Members {
	next := slices.Clone(ms)
	if i := next.index(m.ID); i >= 0 {
		next[i] = m
		return next
	}
	next = append(next, m)
	slices.SortFunc(next, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return next
}

func (ms Members) without(id ID) Members {
	return slices.DeleteFunc(slices.Clone(ms), func(m Member) bool { return m.ID == id })
}

// majority reports whether ok is true for more than half of the voters. Without
// voters there is no majority.
func (ms Members) majority(ok func(ID) bool) bool {
	voters, count := 0, 0
	for _, m := range ms {
		if m.Learner {
			continue
		}
		voters++
		if ok(m.ID) {
			count++
		}
	}
	return count > voters/2
}

// quorumValue returns the highest value that more than half of the voters have
// reached.
func quorumValue[V cmp.Ordered](ms Members, value func(ID) V) V {
	var vals []V
	for _, id := range ms.Voters() {
		vals = append(vals, value(id))
	}
	if len(vals) == 0 {
		var none V
		return none
	}
	slices.Sort(vals)
	return vals[(len(vals)-1)/2]
}

// Bootstrap returns the initial snapshot of the first members of a new log. Each
// of them must start with the same members. Every later member starts empty and
// is added by AddLearner.
func Bootstrap(members ...Member) Snapshot {
	var ms Members
	for _, m := range members {
		ms = ms.with(m)
	}
	return Snapshot{Index: 1, Term: 1, Members: ms}
}

// Change is a membership change. It is one of AddLearner, Promote, Remove and
// SetAddress.
type Change interface {
	// apply returns the changed membership. caughtUp reports whether a learner
	// has every committed entry.
	apply(ms Members, caughtUp func(ID) bool) (Members, error)
}

// AddLearner adds a member that receives the log but has no vote.
type AddLearner struct {
	ID      ID
	Address string
}

// Promote turns a learner that has caught up into a voter.
type Promote struct{ ID ID }

// Remove removes a voter or a learner.
type Remove struct{ ID ID }

// SetAddress changes the address of a member.
type SetAddress struct {
	ID      ID
	Address string
}

func (c AddLearner) apply(ms Members, _ func(ID) bool) (Members, error) {
	if _, ok := ms.Find(c.ID); ok || c.ID == 0 {
		return nil, eris.Wrapf(ErrMemberExists, "member %s", c.ID)
	}
	return ms.with(Member{ID: c.ID, Address: c.Address, Learner: true}), nil
}

func (c Promote) apply(ms Members, caughtUp func(ID) bool) (Members, error) {
	m, ok := ms.Find(c.ID)
	switch {
	case !ok:
		return nil, eris.Wrapf(ErrNoMember, "member %s", c.ID)
	case !m.Learner:
		return nil, eris.Wrapf(ErrNotLearner, "member %s", c.ID)
	case !caughtUp(c.ID):
		return nil, eris.Wrapf(ErrNotCaughtUp, "member %s", c.ID)
	}
	m.Learner = false
	return ms.with(m), nil
}

func (c Remove) apply(ms Members, _ func(ID) bool) (Members, error) {
	if _, ok := ms.Find(c.ID); !ok {
		return nil, eris.Wrapf(ErrNoMember, "member %s", c.ID)
	}
	next := ms.without(c.ID)
	if len(next.Voters()) == 0 {
		return nil, eris.Wrapf(ErrLastVoter, "member %s", c.ID)
	}
	return next, nil
}

func (c SetAddress) apply(ms Members, _ func(ID) bool) (Members, error) {
	m, ok := ms.Find(c.ID)
	if !ok {
		return nil, eris.Wrapf(ErrNoMember, "member %s", c.ID)
	}
	m.Address = c.Address
	return ms.with(m), nil
}

// membershipHistory holds the membership of the snapshot, followed by one
// membership for each entry of KindMembers in the log.
type membershipHistory []membership

type membership struct {
	index   Index
	members Members
}

func (h membershipHistory) latest() membership { return h[len(h)-1] }

// previous returns the membership before the latest one. It is committed, because
// a change is only appended after the previous one is committed.
func (h membershipHistory) previous() membership { return h[max(0, len(h)-2)] }

func (h membershipHistory) at(i Index) membership {
	for k := len(h) - 1; k > 0; k-- {
		if h[k].index <= i {
			return h[k]
		}
	}
	return h[0]
}

// truncate removes the memberships of entries from index from on.
func (h membershipHistory) truncate(from Index) membershipHistory {
	for len(h) > 1 && h.latest().index >= from {
		h = h[:len(h)-1]
	}
	return h
}

// compact removes the memberships before the one in effect at i.
func (h membershipHistory) compact(i Index) membershipHistory {
	for len(h) > 1 && h[1].index <= i {
		h = h[1:]
	}
	return slices.Clone(h)
}
