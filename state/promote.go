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
	if n == 0 || n > MaxStarts || len(c.Voters) == 0 || len(c.Voters) > MaxVoters {
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

// group finds a database that has its first term.
func (t *txn) group(name string) (*Database, Result) {
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

// beginPromotion compares with the highest term begun, not with the term in
// force: of two leaders that begin the same term one is refused, and a begun
// promotion that was abandoned can be superseded.
func (t *txn) beginPromotion(c BeginPromotion) Result {
	d, refused := t.group(c.Database)
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
	d, refused := t.group(c.Database)
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
	if !m.Counts() {
		return refuse(ReasonNotVoter, c.Primary)
	}
	history, err := d.history.Append(group.TermStart{Term: c.Term, Offset: c.StartOffset})
	if err != nil {
		return refuse(ReasonInvalid, err.Error())
	}
	next := t.edit(c.Database)
	next.history = newest(history)
	next.primary = c.Primary
	return done(true)
}

// newest drops the oldest terms beyond MaxStarts.
func newest(h group.History) group.History {
	starts := h.Starts()
	if len(starts) <= MaxStarts {
		return h
	}
	cut, err := group.NewHistory(starts[len(starts)-MaxStarts:]...)
	if err != nil {
		return h
	}
	return cut
}

// markCaughtUp is refused during a promotion: the majority of fenced members is
// then being counted against the old set.
func (t *txn) markCaughtUp(c MarkCaughtUp) Result {
	d, refused := t.group(c.Database)
	if refused != nil {
		return refused
	}
	m := d.member(c.Member)
	switch {
	case m == nil:
		return refuse(ReasonUnknownMember, c.Member)
	case c.Store != m.Store:
		return refuse(ReasonWrongStore, m.Store)
	case m.Counts():
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

// retire takes one voter out. The majorities before and after one such step
// have a member in common.
func (t *txn) retire(c RetireMember) Result {
	d, refused := t.group(c.Database)
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
