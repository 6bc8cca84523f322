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
	// KeptConfigs is the number of newest configurations that Machine.Config
	// returns. At 64 KiB each they add up to 2 MiB to a snapshot.
	KeptConfigs = 32
	// KeptResults is the number of configuration changes whose results are kept
	// for the case that a change is sent again. At 2,100 changes per day they
	// cover about two days.
	KeptResults = 4096
	// MinResultRetention is the least time for which a result is kept. While the
	// table is full of younger results, further changes are refused.
	MinResultRetention = time.Hour
)

// configResult is the stored result of a configuration change. The digest of the
// content tells a change that is sent again from another one with the same ID.
type configResult struct {
	id            string
	contentDigest uint64
	at            time.Time
	author        string
	base          uint64
	version       uint64 // version created, or the current version at the time of the conflict
	winner        ConfigChange
	accepted      bool
}

func (r *configResult) result() Result {
	if r.accepted {
		return ConfigAccepted{ID: r.id, Version: r.version}
	}
	return ConfigConflict{ID: r.id, Base: r.base, Current: r.version, Winner: r.winner}
}

// results is the bounded table of the results of configuration changes.
type results struct {
	byID           map[string]*configResult
	acceptedByBase map[uint64]*configResult // by the base of the change
	order          []*configResult          // oldest first
}

func newResults() results {
	return results{byID: make(map[string]*configResult), acceptedByBase: make(map[uint64]*configResult)}
}

// hasRoom reports whether one more result can be stored at the given time.
func (rs *results) hasRoom(now time.Time) bool {
	return len(rs.order) < KeptResults || now.Sub(rs.order[0].at) >= MinResultRetention
}

// add stores r, and drops the oldest result if the table is full.
func (rs *results) add(r *configResult) {
	if len(rs.order) >= KeptResults {
		rs.removeOldest()
	}
	rs.byID[r.id] = r
	if r.accepted {
		rs.acceptedByBase[r.base] = r
	}
	rs.order = append(rs.order, r)
}

func (rs *results) removeOldest() {
	old := rs.order[0]
	delete(rs.byID, old.id)
	if old.accepted {
		delete(rs.acceptedByBase, old.base)
	}
	rs.order[0] = nil
	rs.order = rs.order[1:]
}

func digestOfContent(c ApplyConfig) uint64 {
	buf := binary.BigEndian.AppendUint64(nil, c.Base)
	buf = append(buf, c.Document...)
	return digestOf(Key{Kind: KindConfig, Name: c.Author}, buf)
}

func (t *txn) applyConfig(c ApplyConfig) Result {
	if !validNames(c.ID, c.Author) || len(c.Document) == 0 || len(c.Document) > MaxDocumentBytes {
		return refuse(ReasonInvalid, "id, author or document")
	}
	c.At = c.At.Truncate(time.Millisecond) // the encoding holds milliseconds
	content := digestOfContent(c)
	if old, ok := t.m.results.byID[c.ID]; ok {
		if old.contentDigest != content {
			return refuse(ReasonIDReused, c.ID)
		}
		return old.result()
	}
	if c.At.After(t.m.clock) {
		t.m.clock = c.At
	}
	if !t.m.results.hasRoom(t.m.clock) {
		return refuse(ReasonTooManyChanges, strconv.Itoa(KeptResults)+" within "+MinResultRetention.String())
	}
	r := t.decide(c)
	r.contentDigest = content
	t.m.results.add(r)
	return r.result()
}

// decide accepts the change if its base is the current version, and returns the
// result to store.
func (t *txn) decide(c ApplyConfig) *configResult {
	current := t.view.config
	r := &configResult{id: c.ID, at: t.m.clock, author: c.Author, base: c.Base, version: current.version}
	if c.Base != current.version {
		r.winner = t.winner(c.Base, current)
		return r
	}
	r.accepted = true
	r.version++
	next := newConfig(&ctlpb.StateConfig{
		Version: r.version, Id: c.ID, Author: c.Author, AtMs: c.At.UnixMilli(), Document: c.Document,
	})
	t.put(next)
	t.m.retainConfig(next)
	return r
}

func (t *txn) winner(base uint64, current *Config) ConfigChange {
	if w, ok := t.m.results.acceptedByBase[base]; ok {
		return ConfigChange{ID: w.id, Version: w.version, Author: w.author}
	}
	return ConfigChange{ID: current.id, Version: current.version, Author: current.author}
}

func (m *Machine) retainConfig(c *Config) {
	list := append(slices.Clone(*m.recentConfigs.Load()), c)
	if n := len(list); n > KeptConfigs {
		list = list[n-KeptConfigs:]
	}
	m.recentConfigs.Store(&list)
}

func (r *configResult) proto() *ctlpb.StateResult {
	return &ctlpb.StateResult{
		Id: r.id, Content: r.contentDigest, Accepted: r.accepted, Version: r.version, Base: r.base, Author: r.author, AtMs: r.at.UnixMilli(),
		WinnerId: r.winner.ID, WinnerVersion: r.winner.Version, WinnerAuthor: r.winner.Author,
	}
}

func newConfigResult(p *ctlpb.StateResult) *configResult {
	return &configResult{
		id: p.GetId(), contentDigest: p.GetContent(), accepted: p.GetAccepted(), version: p.GetVersion(), base: p.GetBase(), author: p.GetAuthor(),
		at:     time.UnixMilli(p.GetAtMs()),
		winner: ConfigChange{ID: p.GetWinnerId(), Version: p.GetWinnerVersion(), Author: p.GetWinnerAuthor()},
	}
}

func (m *Machine) controlProto() *ctlpb.StateControl {
	p := &ctlpb.StateControl{ClockMs: m.clock.UnixMilli()}
	for _, r := range m.results.order {
		p.Results = append(p.Results, r.proto())
	}
	for _, c := range *m.recentConfigs.Load() {
		p.Configs = append(p.Configs, c.proto())
	}
	return p
}

// restoreControl sets the part of the machine that only control instances hold
// from a snapshot.
func (m *Machine) restoreControl(p *ctlpb.StateControl) error {
	if len(p.GetResults()) > KeptResults || len(p.GetConfigs()) > KeptConfigs {
		return eris.Errorf("snapshot holds more entries than allowed: %d results of changes and %d configurations", len(p.GetResults()), len(p.GetConfigs()))
	}
	m.clock = time.UnixMilli(p.GetClockMs())
	for _, r := range p.GetResults() {
		m.results.add(newConfigResult(r))
	}
	for _, c := range p.GetConfigs() {
		m.retainConfig(newConfig(c))
	}
	return nil
}
