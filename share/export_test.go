package share

import "time"

// CountFromReceipt makes the holder count a lease from the receipt of the grant instead of
// the sending of the Ask.
func (h *LeaseHolder) CountFromReceipt() { h.fromReceipt = true }

// SkipInitialWait makes the broker grant without waiting for the grants of the previous
// epoch to end.
func (b *Broker) SkipInitialWait() { WithoutFormerOwner()(b) }

// IgnoreConfirm makes the broker grant for an hour longer than its ownership is confirmed.
func (b *Broker) IgnoreConfirm() { b.confirmed = b.confirmed.Add(time.Hour) }
