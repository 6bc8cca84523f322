package caps

import "time"

// SkipWait makes the owner fill its buckets at once, and forget the loans of former owners.
func (o *Owner) SkipWait(now time.Time) { o.fillsFrom, o.unknownUntil, o.unknownPart = now, now, 0 }

// SkipUnknown makes the owner forget the loans of former owners.
func (o *Owner) SkipUnknown() {
	for _, c := range o.customers {
		c.unknown = 0
	}
}

// Prolong makes the holder spend tokens after the end of their loans.
func (h *Holder) Prolong() {
	if !h.until.IsZero() {
		h.until = h.until.Add(time.Hour)
	}
}

// Keep calls ask and lets the holder go on to spend what it has given back.
func (h *Holder) Keep(ask func() Ask) Ask {
	before := make(map[string]int64)
	for name, s := range h.stocks {
		before[name] = s.returned
	}
	epoch := h.epoch
	a := ask()
	for name, s := range h.stocks {
		if h.epoch == epoch {
			s.tokens += s.returned - before[name]
		}
	}
	return a
}

// Forget makes the holder take a repeated Grant for a new one.
func (h *Holder) Forget() {
	for _, s := range h.stocks {
		s.received = 0
	}
	h.answered = 0
}

// Run returns the run of the holder.
func (h *Holder) Run() uint64 { return h.run }

// SetCapsUnscaled puts caps in force and leaves the stocks as they are.
func (h *Holder) SetCapsUnscaled(version uint64, caps map[string]Cap) {
	for name, s := range h.stocks {
		if limit, ok := caps[name]; ok {
			s.cap, s.depth = limit, 0
		}
	}
	h.SetCaps(version, caps)
}
