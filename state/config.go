package state

import (
	"encoding/binary"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"tamarackcross/ctlpb"
)

const (
	// KeptConfigs is the number of newest configurations whose documents are
	// kept for Machine.Config: up to 2 MiB in a snapshot.
	KeptConfigs = 32
	// KeptResults is the number of newest changes whose results are remembered.
	// At 2,100 changes per day it covers about two days.
	KeptResults = 4096
	// KeptResultsFor is how long a result is remembered at least. When the
	// table holds only younger ones, further changes are refused.
	KeptResultsFor = time.Hour
)

// remembered is the result of one change, with what tells a resent change from
// another one under the same identifier.
type remembered struct {
	id      string
	content uint64
	at      time.Time
	author  string
	base    uint64
	version uint64 // version made, or version in force at the conflict
	winner  ConfigChange
	won     bool
}

func (r *remembered) result() Result {
	if r.won {
		return ConfigAccepted{ID: r.id, Version: r.version}
	}
	return ConfigConflict{ID: r.id, Base: r.base, Current: r.version, Winner: r.winner}
}

// results is the bounded table of remembered changes, oldest first.
type results struct {
	byID    map[string]*remembered
	winners map[uint64]*remembered // by the base of an accepted change
	order   []*remembered
}

func newResults() results {
	return results{byID: make(map[string]*remembered), winners: make(map[uint64]*remembered)}
}

// room reports whether one more result can be remembered at the given time.
func (rs *results) room(now time.Time) bool {
	return len(rs.order) < KeptResults || now.Sub(rs.order[0].at) >= KeptResultsFor
}

// add remembers r and forgets the oldest result when the table is full.
func (rs *results) add(r *remembered) {
	if len(rs.order) >= KeptResults {
		rs.forget()
	}
	rs.byID[r.id] = r
	if r.won {
		rs.winners[r.base] = r
	}
	rs.order = append(rs.order, r)
}

func (rs *results) forget() {
	old := rs.order[0]
	delete(rs.byID, old.id)
	if old.won {
		delete(rs.winners, old.base)
	}
	rs.order[0] = nil
	rs.order = rs.order[1:]
}

func contentOf(c ApplyConfig) uint64 {
	buf := binary.BigEndian.AppendUint64(nil, c.Base)
	buf = append(buf, c.Document...)
	return digestOf(Key{Kind: KindConfig, Name: c.Author}, buf)
}

func (t *txn) applyConfig(c ApplyConfig) Result {
	if !named(c.ID, c.Author) || len(c.Document) == 0 || len(c.Document) > MaxDocument {
		return refuse(ReasonInvalid, "id, author or document")
	}
	c.At = c.At.Truncate(time.Millisecond) // the precision of the codec
	content := contentOf(c)
	if old, ok := t.m.results.byID[c.ID]; ok {
		if old.content != content {
			return refuse(ReasonIDReused, c.ID)
		}
		return old.result()
	}
	if c.At.After(t.m.clock) {
		t.m.clock = c.At
	}
	if !t.m.results.room(t.m.clock) {
		return refuse(ReasonTooManyChanges, strconv.Itoa(KeptResults)+" within "+KeptResultsFor.String())
	}
	r := t.decide(c)
	r.content = content
	t.m.results.add(r)
	return r.result()
}

// decide accepts the change if its base is in force.
func (t *txn) decide(c ApplyConfig) *remembered {
	current := t.view.config
	r := &remembered{id: c.ID, at: t.m.clock, author: c.Author, base: c.Base, version: current.version}
	if c.Base != current.version {
		r.winner = t.winner(c.Base, current)
		return r
	}
	r.won = true
	r.version++
	next := newConfig(&ctlpb.StateConfig{
		Version: r.version, Id: c.ID, Author: c.Author, AtMs: c.At.UnixMilli(), Document: c.Document,
	})
	t.put(next)
	t.m.keep(next)
	return r
}

func (t *txn) winner(base uint64, current *Config) ConfigChange {
	if w, ok := t.m.results.winners[base]; ok {
		return ConfigChange{ID: w.id, Version: w.version, Author: w.author}
	}
	return ConfigChange{ID: current.id, Version: current.version, Author: current.author}
}

func (m *Machine) keep(c *Config) {
	list := append(slices.Clone(*m.kept.Load()), c)
	if n := len(list); n > KeptConfigs {
		list = list[n-KeptConfigs:]
	}
	m.kept.Store(&list)
}

func (r *remembered) proto() *ctlpb.StateResult {
	return &ctlpb.StateResult{
		Id: r.id, Content: r.content, Accepted: r.won, Version: r.version, Base: r.base, Author: r.author, AtMs: r.at.UnixMilli(),
		WinnerId: r.winner.ID, WinnerVersion: r.winner.Version, WinnerAuthor: r.winner.Author,
	}
}

func newRemembered(p *ctlpb.StateResult) *remembered {
	return &remembered{
		id: p.GetId(), content: p.GetContent(), won: p.GetAccepted(), version: p.GetVersion(), base: p.GetBase(), author: p.GetAuthor(),
		at:     time.UnixMilli(p.GetAtMs()),
		winner: ConfigChange{ID: p.GetWinnerId(), Version: p.GetWinnerVersion(), Author: p.GetWinnerAuthor()},
	}
}

func (m *Machine) controlProto() *ctlpb.StateControl {
	p := &ctlpb.StateControl{ClockMs: m.clock.UnixMilli()}
	for _, r := range m.results.order {
		p.Results = append(p.Results, r.proto())
	}
	for _, c := range *m.kept.Load() {
		p.Configs = append(p.Configs, c.proto())
	}
	return p
}

// restoreControl fills the machine from the control part of a snapshot.
func (m *Machine) restoreControl(p *ctlpb.StateControl) error {
	if len(p.GetResults()) > KeptResults || len(p.GetConfigs()) > KeptConfigs {
		return eris.Errorf("snapshot remembers %d changes and %d configurations", len(p.GetResults()), len(p.GetConfigs()))
	}
	m.clock = time.UnixMilli(p.GetClockMs())
	for _, r := range p.GetResults() {
		m.results.add(newRemembered(r))
	}
	for _, c := range p.GetConfigs() {
		m.keep(newConfig(c))
	}
	return nil
}
