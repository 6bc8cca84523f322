package spread

import (
	"slices"
	"time"

	"tamarackcross/state"
)

// recent holds the newest deltas, which follow each other without a gap.
type recent struct {
	deltas []state.Delta
	size   int // bytes of section data
}

func (r *recent) clear() { *r = recent{} }

func (r *recent) add(d state.Delta) {
	r.deltas = append(r.deltas, d)
	r.size += sizeOf(d.Changes)
	for len(r.deltas) > maxRecent || r.size > maxBatch {
		r.size -= sizeOf(r.deltas[0].Changes)
		r.deltas = slices.Delete(r.deltas, 0, 1)
	}
}

// after returns the deltas that follow the stamp, or none when it is too old.
func (r *recent) after(at state.Stamp) []state.Delta {
	i := slices.IndexFunc(r.deltas, func(d state.Delta) bool { return d.Prev == at })
	if i < 0 {
		return nil
	}
	return slices.Clone(r.deltas[i:])
}

func sizeOf(changes []state.Change) int {
	n := 0
	for _, c := range changes {
		n += len(c.Key.Name) + len(c.Data)
	}
	return n
}

// pin keeps a view for a peer that was given its outline.
type pin struct {
	view  *state.View
	until time.Time
}

func (c *Core) pinView(v *state.View, now time.Time) {
	c.pins = slices.DeleteFunc(c.pins, func(p pin) bool { return p.view == v })
	if len(c.pins) >= maxPins {
		c.pins = slices.Delete(c.pins, 0, 1)
	}
	c.pins = append(c.pins, pin{view: v, until: now.Add(pinFor)})
}

func (c *Core) unpin(now time.Time) {
	c.pins = slices.DeleteFunc(c.pins, func(p pin) bool { return !now.Before(p.until) })
}

// pinned returns the view at the stamp, if it is still held.
func (c *Core) pinned(at state.Stamp) *state.View {
	if v := c.View(); v.Stamp() == at {
		return v
	}
	for _, p := range c.pins {
		if p.view.Stamp() == at {
			return p.view
		}
	}
	return nil
}

// onPull answers with the cheapest form that helps: deltas, the digests of
// differing groups, or a whole copy.
func (c *Core) onPull(m Pull, now time.Time) {
	v := c.View()
	if !m.Have.Less(v.Stamp()) {
		c.send(m.From, c.summary(Answer))
		return
	}
	if len(m.Groups) != state.Groups {
		c.sendWhole(m.From, v)
		return
	}
	if deltas := c.recent.after(m.Have); deltas != nil {
		c.send(m.From, Batch{Head: c.head(), Deltas: deltas})
		return
	}
	c.pinView(v, now)
	c.send(m.From, c.outline(v, m.Groups))
}

func (c *Core) outline(v *state.View, theirs []uint64) Outline {
	o := Outline{Head: c.head(), Stamp: v.Stamp(), Digest: v.Digest()}
	for i, mine := range v.GroupDigests() {
		if mine == theirs[i] {
			continue
		}
		o.Groups = append(o.Groups, i)
		for k, digest := range v.GroupSections(i) {
			o.Sections = append(o.Sections, SectionDigest{Key: k, Digest: digest})
		}
	}
	return o
}

func (c *Core) onFetch(m Fetch, _ time.Time) {
	v := c.pinned(m.Stamp)
	if v == nil {
		c.send(m.From, c.summary(Miss))
		return
	}
	changes := make([]state.Change, 0, len(m.Keys))
	for _, k := range m.Keys {
		changes = append(changes, v.Section(k))
	}
	c.sendParts(m.From, v, changes, false)
}

func (c *Core) sendWhole(peer string, v *state.View) {
	c.sendParts(peer, v, slices.Collect(v.Sections()), true)
}

// sendParts divides the sections into messages of about partSize.
func (c *Core) sendParts(peer string, v *state.View, changes []state.Change, whole bool) {
	parts := split(changes)
	for i, part := range parts {
		c.send(peer, Sections{
			Head: c.head(), Stamp: v.Stamp(), Digest: v.Digest(),
			Whole: whole, Part: i, Parts: len(parts), Changes: part,
		})
	}
}

func split(changes []state.Change) [][]state.Change {
	var parts [][]state.Change
	start, size := 0, 0
	for i := range changes {
		size += sizeOf(changes[i : i+1])
		if size >= partSize {
			parts = append(parts, changes[start:i+1])
			start, size = i+1, 0
		}
	}
	if start < len(changes) || len(parts) == 0 {
		parts = append(parts, changes[start:])
	}
	return parts
}
