package proxy

import "time"

const (
	// growInterval is the least time between steps of growth: a quota grows from the
	// equal share to twice as much in a quarter of a second.
	growInterval = 50 * time.Millisecond
	// refusalBackoff is how long a quota does not grow after the server refused a
	// connection.
	refusalBackoff = time.Second
	// shrinkInterval is the time between steps that shrink a quota that is not used up.
	shrinkInterval = time.Second
)

// quota limits the connections that an instance may hold to a backend server. It
// starts at an equal share of what the server accepts, grows with demand while the
// server accepts more, and falls back to the share when the server refuses a
// connection.
type quota struct {
	share       int // equal share of this instance
	ceiling     int
	limit       int
	lastGrowth  time.Time
	lastRefusal time.Time
	peak        int // most in use since periodStart
	periodStart time.Time
}

// resize sets the equal share, and the ceiling up to which the quota may grow.
func (q *quota) resize(share, ceiling int) {
	if q.share == share && q.ceiling == ceiling {
		return
	}
	q.share, q.ceiling = share, max(share, ceiling)
	q.limit = min(max(q.limit, share), q.ceiling)
	if q.limit > share && !q.lastRefusal.IsZero() {
		q.limit = share
	}
}

// recordWait records that a request has to wait while inUse connections are held,
// and lets the quota grow.
func (q *quota) recordWait(inUse int, now time.Time) {
	q.recordUse(inUse, now)
	if inUse < q.limit || q.limit >= q.ceiling || now.Sub(q.lastGrowth) < growInterval {
		return
	}
	if !q.lastRefusal.IsZero() && now.Sub(q.lastRefusal) < refusalBackoff {
		return
	}
	q.limit++
	q.lastGrowth = now
}

// recordRefusal records that the server accepts no more connections.
func (q *quota) recordRefusal(inUse int, now time.Time) {
	q.lastRefusal = now
	q.limit = min(q.limit, max(q.share, inUse-1))
}

// recordUse records how many connections are held, and shrinks a quota that was not
// used up during the last shrinkInterval.
func (q *quota) recordUse(inUse int, now time.Time) {
	q.peak = max(q.peak, inUse)
	if now.Sub(q.periodStart) < shrinkInterval {
		return
	}
	if q.peak < q.limit && q.limit > q.share {
		q.limit--
	}
	q.peak, q.periodStart = inUse, now
}
