package spread

import (
	"slices"
	"time"

	"tamarackcross/state"
)

// recentDeltas contains the newest deltas, which are consecutive.
type recentDeltas struct {
	deltas []state.Delta
	size   int // bytes of section data
}

func (r *recentDeltas) clear() { *r = recentDeltas{} }

func (r *recentDeltas) add(d state.Delta) {
	r.deltas = append(r.deltas, d)
	r.size += dataSize(d.Changes)
	for len(r.deltas) > maxRecentDeltas || r.size > maxRecentBytes {
		r.size -= dataSize(r.deltas[0].Changes)
		r.deltas = slices.Delete(r.deltas, 0, 1)
	}
}

// after returns the deltas after the stamp, or nil if the first of them is not kept.
func (r *recentDeltas) after(stamp state.Stamp) []state.Delta {
	i := slices.IndexFunc(r.deltas, func(d state.Delta) bool { return d.Prev == stamp })
	if i < 0 {
		return nil
	}
	return slices.Clone(r.deltas[i:])
}

// dataSize returns the bytes of section data in the changes.
func dataSize(changes []state.Change) int {
	n := 0
	for _, c := range changes {
		n += len(c.Key.Name) + len(c.Data)
	}
	return n
}

// pinnedView is a view that is kept until a peer has fetched the sections of its
// outline.
type pinnedView struct {
	view   *state.View
	expiry time.Time
}

// pinView keeps v for pinDuration. If too many views are pinned, the oldest is
// released.
func (c *Core) pinView(v *state.View, now time.Time) {
	c.pins = slices.DeleteFunc(c.pins, func(p pinnedView) bool { return p.view == v })
	if len(c.pins) >= maxPinnedViews {
		c.pins = slices.Delete(c.pins, 0, 1)
	}
	c.pins = append(c.pins, pinnedView{view: v, expiry: now.Add(pinDuration)})
}

func (c *Core) expirePins(now time.Time) {
	c.pins = slices.DeleteFunc(c.pins, func(p pinnedView) bool { return !now.Before(p.expiry) })
}

// viewAt returns the current or pinned view at the stamp, or nil.
func (c *Core) viewAt(stamp state.Stamp) *state.View {
	if v := c.View(); v.Stamp() == stamp {
		return v
	}
	for _, p := range c.pins {
		if p.view.Stamp() == stamp {
			return p.view
		}
	}
	return nil
}

// onPull answers with deltas if they are kept, or else with the digests of the sections
// in the buckets that differ. A request without bucket digests gets a full copy.
func (c *Core) onPull(m Pull, now time.Time) {
	v := c.View()
	if !m.Have.Less(v.Stamp()) {
		c.send(m.From, c.summary(Answer))
		return
	}
	if len(m.Buckets) != state.NumBuckets {
		c.sendWhole(m.From, v)
		return
	}
	if deltas := c.recent.after(m.Have); deltas != nil {
		c.send(m.From, Batch{Head: c.head(), Deltas: deltas})
		return
	}
	c.pinView(v, now)
	c.send(m.From, c.outline(v, m.Buckets))
}

// outline lists the sections in the buckets of v whose digests differ from those of
// the peer.
func (c *Core) outline(v *state.View, theirs []uint64) Outline {
	o := Outline{Head: c.head(), Stamp: v.Stamp(), Digest: v.Digest()}
	for i, mine := range v.BucketDigests() {
		if mine == theirs[i] {
			continue
		}
		o.Buckets = append(o.Buckets, i)
		for k, digest := range v.BucketSections(i) {
			o.Sections = append(o.Sections, SectionDigest{Key: k, Digest: digest})
		}
	}
	return o
}

func (c *Core) onFetch(m Fetch, _ time.Time) {
	v := c.viewAt(m.Stamp)
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

// sendParts sends the sections in messages of about partBytes.
func (c *Core) sendParts(peer string, v *state.View, changes []state.Change, whole bool) {
	parts := splitParts(changes)
	for i, part := range parts {
		c.send(peer, Sections{
			Head: c.head(), Stamp: v.Stamp(), Digest: v.Digest(),
			Whole: whole, Part: i, Parts: len(parts), Changes: part,
		})
	}
}

// splitParts divides the changes into parts, at least one.
func splitParts(changes []state.Change) [][]state.Change {
	var parts [][]state.Change
	start, size := 0, 0
	for i := range changes {
		size += dataSize(changes[i : i+1])
		if size >= partBytes {
			parts = append(parts, changes[start:i+1])
			start, size = i+1, 0
		}
	}
	if start < len(changes) || len(parts) == 0 {
		parts = append(parts, changes[start:])
	}
	return parts
}
