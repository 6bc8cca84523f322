package state

import (
	"fmt"

	"tamarackcross/group"
)

func (t *txn) bootstrap(c BootstrapGroup) Result {
	d := t.peek(c.Database)
	if d == nil {
		return refuse(ReasonUnknownDatabase, c.Database)
	}
	if d.Bootstrapped() {
		return refuse(ReasonBootstrapped, c.Database)
	}
	if refused := checkBootstrap(d, c); refused != nil {
		return refused
	}
	next := t.edit(c.Database)
	next.history = c.History
	next.primary = c.Primary
	for _, name := range c.Voters {
		m := next.member(name)
		m.Voter = true
		m.VoterStore = m.Store
	}
	return done(true)
}

func checkBootstrap(d *Database, c BootstrapGroup) Result {
	n := len(c.History.Starts())
	if n == 0 || n > MaxTermStarts || len(c.Voters) == 0 || len(c.Voters) > MaxVoters {
		return refuse(ReasonInvalid, fmt.Sprintf("%d terms, %d voters", n, len(c.Voters)))
	}
	seen := make(map[string]bool, len(c.Voters))
	for _, name := range c.Voters {
		if d.member(name) == nil {
			return refuse(ReasonUnknownMember, name)
		}
		if seen[name] {
			return refuse(ReasonInvalid, "repeated voter "+name)
		}
		seen[name] = true
	}
	if !seen[c.Primary] {
		return refuse(ReasonNotVoter, c.Primary)
	}
	return nil
}

// bootstrappedGroup returns the database, or a refusal if it is unknown or has
// no term yet.
func (t *txn) bootstrappedGroup(name string) (*Database, Result) {
	d := t.peek(name)
	switch {
	case d == nil:
		return nil, refuse(ReasonUnknownDatabase, name)
	case !d.Bootstrapped():
		return nil, refuse(ReasonNotBootstrapped, name)
	}
	return d, nil
}

func termMoved(d *Database) Result {
	return refuse(ReasonTermMoved, fmt.Sprintf("term %d, begun %d", d.Term(), d.BegunTerm()))
}

// beginPromotion compares the expected term with the highest term begun, not
// with the current term. If two leaders begin the same term, one of them is
// refused, and a later promotion can supersede one that was abandoned.
func (t *txn) beginPromotion(c BeginPromotion) Result {
	d, refused := t.bootstrappedGroup(c.Database)
	if refused != nil {
		return refused
	}
	if c.ExpectedTerm != d.BegunTerm() {
		return termMoved(d)
	}
	if c.NewTerm <= c.ExpectedTerm {
		return refuse(ReasonInvalid, fmt.Sprintf("new term %d", c.NewTerm))
	}
	t.edit(c.Database).begun = c.NewTerm
	return done(true)
}

func (t *txn) completePromotion(c CompletePromotion) Result {
	d, refused := t.bootstrappedGroup(c.Database)
	if refused != nil {
		return refused
	}
	if !d.Promoting() || c.Term != d.begun {
		return termMoved(d)
	}
	m := d.member(c.Primary)
	if m == nil {
		return refuse(ReasonUnknownMember, c.Primary)
	}
	if !m.CountsInMajority() {
		return refuse(ReasonNotVoter, c.Primary)
	}
	history, err := d.history.Append(group.TermStart{Term: c.Term, Offset: c.StartOffset})
	if err != nil {
		return refuse(ReasonInvalid, err.Error())
	}
	next := t.edit(c.Database)
	next.history = trimHistory(history)
	next.primary = c.Primary
	return done(true)
}

// trimHistory drops the oldest terms beyond MaxTermStarts.
func trimHistory(h group.History) group.History {
	starts := h.Starts()
	if len(starts) <= MaxTermStarts {
		return h
	}
	cut, err := group.NewHistory(starts[len(starts)-MaxTermStarts:]...)
	if err != nil {
		return h
	}
	return cut
}

// markCaughtUp is refused during a promotion, because the promotion counts the
// majority of fenced members against the voters from before.
func (t *txn) markCaughtUp(c MarkCaughtUp) Result {
	d, refused := t.bootstrappedGroup(c.Database)
	if refused != nil {
		return refused
	}
	m := d.member(c.Member)
	switch {
	case m == nil:
		return refuse(ReasonUnknownMember, c.Member)
	case c.Store != m.Store:
		return refuse(ReasonWrongStore, m.Store)
	case m.CountsInMajority():
		return done(false)
	case d.Promoting():
		return refuse(ReasonPromoting, c.Database)
	case c.Position.Term != d.Term():
		return termMoved(d)
	case !m.Voter && d.voters() >= MaxVoters:
		return refuse(ReasonTooManyMembers, c.Database)
	}
	next := t.edit(c.Database).member(c.Member)
	next.Voter = true
	next.VoterStore = c.Store
	return done(true)
}

// retire removes one voter. It removes one at a time, because any majority
// before and any majority after such a step have a member in common.
func (t *txn) retire(c RetireMember) Result {
	d, refused := t.bootstrappedGroup(c.Database)
	if refused != nil {
		return refused
	}
	m := d.member(c.Member)
	switch {
	case m == nil:
		return refuse(ReasonUnknownMember, c.Member)
	case d.Promoting():
		return refuse(ReasonPromoting, c.Database)
	case c.Term != d.Term():
		return termMoved(d)
	case !m.Voter:
		return done(false)
	case m.Name == d.primary || !m.Gone && !m.Leaving:
		return refuse(ReasonInUse, c.Member)
	}
	next := t.edit(c.Database).member(c.Member)
	next.Voter = false
	next.VoterStore = ""
	return done(true)
}
