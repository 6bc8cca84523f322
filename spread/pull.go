package spread

import (
	"slices"
	"time"

	"tamarackcross/state"
)

// pull is one repair in progress: a question to one peer.
type pull struct {
	peer    string
	until   time.Time
	base    *state.View // view that the answer is compared with
	target  state.Stamp
	digest  uint64
	removed []state.Change
	parts   [][]state.Change
	missing int
}

// startPull asks a peer for what follows the view. One pull runs at a time.
func (c *Core) startPull(peer string, now time.Time) {
	if c.pull != nil || peer == "" {
		return
	}
	v := c.View()
	c.pull = &pull{peer: peer, until: now.Add(PullWait), base: v}
	q := Pull{Head: c.head(), Have: v.Stamp()}
	if !c.whole && !v.Stamp().IsZero() {
		groups := v.GroupDigests()
		q.Groups = groups[:]
	}
	c.send(peer, q)
}

func (c *Core) endPull() { c.pull = nil }

// expirePull gives up a pull without answer. The next exchange, or the start
// procedure, goes to another peer.
func (c *Core) expirePull(now time.Time) {
	if c.pull == nil || now.Before(c.pull.until) {
		return
	}
	peer := c.pull.peer
	c.endPull()
	if c.join != nil {
		c.join.drop(peer, now)
	}
}

func (c *Core) onSummary(m Summary, now time.Time) {
	order := m.Stamp.Compare(c.stamp())
	if order == 0 && m.Digest != c.View().Digest() {
		c.out = append(c.out, Diverged{Peer: m.From, Stamp: m.Stamp, Mine: c.View().Digest(), Theirs: m.Digest})
	}
	if m.Purpose == Ask || m.Purpose == Probe && order < 0 {
		c.send(m.From, c.summary(Answer))
	}
	if m.Purpose == Miss && c.pull != nil && c.pull.peer == m.From {
		c.endPull()
	}
	if c.join != nil {
		c.onAnswer(m, now)
		return
	}
	if order > 0 {
		c.startPull(m.From, now)
	}
}

// onBatch applies consecutive deltas. Only the last one is passed on, if it is
// long: the peers had the others pushed already.
func (c *Core) onBatch(m Batch, now time.Time) {
	if c.pull != nil && c.pull.peer == m.From {
		c.endPull()
	}
	fresh := false
	for _, d := range m.Deltas {
		fresh = c.hold(d)
		c.drain(now)
	}
	if n := len(m.Deltas); fresh && sizeOf(m.Deltas[n-1].Changes) > maxPush {
		c.forward(m.Deltas[n-1], m.From, now)
	}
}

// answered returns the pull that a message of the peer belongs to. An answer
// that is not newer than the view ends it.
func (c *Core) answered(peer string, at state.Stamp) *pull {
	if c.pull == nil || c.pull.peer != peer {
		return nil
	}
	if !c.stamp().Less(at) {
		c.endPull()
		return nil
	}
	return c.pull
}

// onOutline finds the sections that differ and fetches them.
func (c *Core) onOutline(m Outline, now time.Time) {
	p := c.answered(m.From, m.Stamp)
	if p == nil || !p.target.IsZero() {
		return
	}
	p.target = m.Stamp
	p.digest = m.Digest
	var keys []state.Key
	keys, p.removed = compare(p.base, m)
	if len(keys) == 0 {
		c.finishPull(p, false, now)
		return
	}
	p.until = now.Add(PullWait)
	c.send(m.From, Fetch{Head: c.head(), Stamp: m.Stamp, Keys: keys})
}

// compare returns the sections of the outline that the view lacks or holds with
// another digest, and the removal of those that the outline lacks.
func compare(v *state.View, m Outline) (keys []state.Key, removed []state.Change) {
	listed := make(map[state.Key]bool, len(m.Sections))
	for _, s := range m.Sections {
		listed[s.Key] = true
		if v.SectionDigest(s.Key) != s.Digest {
			keys = append(keys, s.Key)
		}
	}
	for _, g := range m.Groups {
		for k := range v.GroupSections(g) {
			if !listed[k] {
				removed = append(removed, state.Change{Key: k, Removed: true})
			}
		}
	}
	return keys, removed
}

// onSections collects the parts of an answer, which may come in any order.
func (c *Core) onSections(m Sections, now time.Time) {
	p := c.answered(m.From, m.Stamp)
	if p == nil {
		return
	}
	if p.target.IsZero() && m.Whole {
		p.target = m.Stamp
		p.digest = m.Digest
	}
	if p.target != m.Stamp {
		return
	}
	if p.parts == nil {
		p.parts = make([][]state.Change, m.Parts)
		p.missing = m.Parts
	}
	if len(p.parts) != m.Parts || p.parts[m.Part] != nil {
		return
	}
	p.parts[m.Part] = append([]state.Change{}, m.Changes...) // not nil, also when empty
	p.missing--
	p.until = now.Add(PullWait)
	if p.missing == 0 {
		c.finishPull(p, m.Whole, now)
	}
}

// finishPull installs the answer if it has the digest that the peer stated. If
// not, the next pull asks for a whole copy.
func (c *Core) finishPull(p *pull, whole bool, now time.Time) {
	c.endPull()
	changes := slices.Concat(append(p.parts, p.removed)...)
	build := p.base.Advance
	if whole {
		build = p.base.Replace
	}
	v, err := build(p.target, changes)
	if err == nil && v.Digest() != p.digest {
		err = ErrDigest
	}
	if err != nil {
		c.reject(p, err, now)
		return
	}
	c.whole = false
	c.recent.clear()
	c.install(v, keysOf(changes), whole || p.base != c.View())
	c.drain(now)
}

// reject leaves the view as it is after an answer that cannot be installed.
func (c *Core) reject(p *pull, err error, now time.Time) {
	c.whole = true
	if c.join != nil {
		c.join.drop(p.peer, now)
	}
	c.out = append(c.out, Rejected{Stamp: p.target, Err: err})
}
