package spread

import (
	"slices"
	"time"

	"tamarackcross/state"
)

// pull is a request to one peer for newer state, with the parts of the answer so far.
type pull struct {
	peer         string
	deadline     time.Time
	base         *state.View // view that the answer is applied to
	target       state.Stamp
	digest       uint64
	removed      []state.Change
	parts        [][]state.Change
	missingParts int
}

// startPull asks a peer for the changes after the view, unless a pull is in progress.
func (c *Core) startPull(peer string, now time.Time) {
	if c.pull != nil || peer == "" {
		return
	}
	v := c.View()
	c.pull = &pull{peer: peer, deadline: now.Add(PullTimeout), base: v}
	msg := Pull{Head: c.head(), Have: v.Stamp()}
	if !c.pullWhole && !v.Stamp().IsZero() {
		digests := v.BucketDigests()
		msg.Buckets = digests[:]
	}
	c.send(peer, msg)
}

func (c *Core) endPull() { c.pull = nil }

// expirePull ends a pull that has timed out. A later exchange of summaries, or the
// start procedure, starts the next one.
func (c *Core) expirePull(now time.Time) {
	if c.pull == nil || now.Before(c.pull.deadline) {
		return
	}
	peer := c.pull.peer
	c.endPull()
	if c.startup != nil {
		c.startup.forget(peer, now)
	}
}

// onSummary answers with the own summary where the purpose requires it, and pulls if
// the peer has a newer state.
func (c *Core) onSummary(m Summary, now time.Time) {
	order := m.Stamp.Compare(c.stamp())
	if order == 0 && m.Digest != c.View().Digest() {
		c.actions = append(c.actions, Diverged{Peer: m.From, Stamp: m.Stamp, OwnDigest: c.View().Digest(), PeerDigest: m.Digest})
	}
	if m.Purpose == Ask || m.Purpose == Probe && order < 0 {
		c.send(m.From, c.summary(Answer))
	}
	if m.Purpose == Miss && c.pull != nil && c.pull.peer == m.From {
		c.endPull()
	}
	if c.startup != nil {
		c.onStartupAnswer(m, now)
		return
	}
	if order > 0 {
		c.startPull(m.From, now)
	}
}

// onBatch applies consecutive deltas. It forwards only the last one, and only if it
// is too long to push: the others have already been pushed to the peers.
func (c *Core) onBatch(m Batch, now time.Time) {
	if c.pull != nil && c.pull.peer == m.From {
		c.endPull()
	}
	isNew := false
	for _, d := range m.Deltas {
		isNew = c.addPending(d)
		c.applyPending(now)
	}
	if n := len(m.Deltas); isNew && dataSize(m.Deltas[n-1].Changes) > maxPushBytes {
		c.forward(m.Deltas[n-1], m.From, now)
	}
}

// pullFrom returns the pull that an answer of the peer belongs to, or nil. An answer
// that is not newer than the view ends the pull.
func (c *Core) pullFrom(peer string, stamp state.Stamp) *pull {
	if c.pull == nil || c.pull.peer != peer {
		return nil
	}
	if !c.stamp().Less(stamp) {
		c.endPull()
		return nil
	}
	return c.pull
}

// onOutline fetches the sections that differ.
func (c *Core) onOutline(m Outline, now time.Time) {
	p := c.pullFrom(m.From, m.Stamp)
	if p == nil || !p.target.IsZero() {
		return
	}
	p.target = m.Stamp
	p.digest = m.Digest
	var keys []state.Key
	keys, p.removed = diffOutline(p.base, m)
	if len(keys) == 0 {
		c.finishPull(p, false, now)
		return
	}
	p.deadline = now.Add(PullTimeout)
	c.send(m.From, Fetch{Head: c.head(), Stamp: m.Stamp, Keys: keys})
}

// diffOutline returns the keys of the sections that are new or have another digest in
// the outline, and removals of the sections in its buckets that it does not list.
func diffOutline(v *state.View, m Outline) (keys []state.Key, removed []state.Change) {
	listed := make(map[state.Key]bool, len(m.Sections))
	for _, s := range m.Sections {
		listed[s.Key] = true
		if v.SectionDigest(s.Key) != s.Digest {
			keys = append(keys, s.Key)
		}
	}
	for _, b := range m.Buckets {
		for k := range v.BucketSections(b) {
			if !listed[k] {
				removed = append(removed, state.Change{Key: k, Removed: true})
			}
		}
	}
	return keys, removed
}

// onSections collects the parts of an answer, which may arrive in any order.
func (c *Core) onSections(m Sections, now time.Time) {
	p := c.pullFrom(m.From, m.Stamp)
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
		p.missingParts = m.Parts
	}
	if len(p.parts) != m.Parts || p.parts[m.Part] != nil {
		return
	}
	p.parts[m.Part] = append([]state.Change{}, m.Changes...) // not nil even if empty
	p.missingParts--
	p.deadline = now.Add(PullTimeout)
	if p.missingParts == 0 {
		c.finishPull(p, m.Whole, now)
	}
}

// finishPull installs the answer if its digest matches the one that the peer sent.
// Otherwise the next pull requests a full copy.
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
	c.pullWhole = false
	c.recent.clear()
	c.install(v, keysOf(changes), whole || p.base != c.View())
	c.applyPending(now)
}

// reject reports an answer that cannot be installed and keeps the view.
func (c *Core) reject(p *pull, err error, now time.Time) {
	c.pullWhole = true
	if c.startup != nil {
		c.startup.forget(p.peer, now)
	}
	c.actions = append(c.actions, Rejected{Stamp: p.target, Err: err})
}
