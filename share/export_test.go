package share

import "time"

// CountFromReceipt makes the holder count a lease from the receipt of the grant.
func (h *Holder) CountFromReceipt() { h.fromReceipt = true }

// SkipQuiet makes the broker grant without waiting for the epoch before.
func (b *Broker) SkipQuiet() { WithoutFormer()(b) }

// IgnoreConfirm makes the broker grant as if its ownership stayed confirmed.
func (b *Broker) IgnoreConfirm() { b.confirmed = b.confirmed.Add(time.Hour) }
