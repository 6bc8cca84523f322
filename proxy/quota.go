package proxy

import "time"

const (
	// growPause is between steps of a quota that grows: a rise of demand from the
	// equal share to twice as much takes a quarter of a second.
	growPause = 50 * time.Millisecond
	// fullPause is how long a quota does not grow after the server refused a
	// connection.
	fullPause = time.Second
	// shrinkPause is between steps of a quota that is not used up.
	shrinkPause = time.Second
)

// quota says how many connections of a backend server an instance may hold. It
// starts from an equal share of what the server accepts, follows demand beyond it
// while the server has room, and falls back to the share when the server refuses.
type quota struct {
	share int // equal share
	most  int
	limit int
	grown time.Time
	full  time.Time
	peak  int // most in use since shrunk
	since time.Time
}

// resize sets the equal share, and the most that one instance may hold.
func (q *quota) resize(share, most int) {
	if q.share == share && q.most == most {
		return
	}
	q.share, q.most = share, max(share, most)
	q.limit = min(max(q.limit, share), q.most)
	if q.limit > share && !q.full.IsZero() {
		q.limit = share
	}
}

// wanted takes in that a request had to wait, with inUse connections held.
func (q *quota) wanted(inUse int, now time.Time) {
	q.use(inUse, now)
	if inUse < q.limit || q.limit >= q.most || now.Sub(q.grown) < growPause {
		return
	}
	if !q.full.IsZero() && now.Sub(q.full) < fullPause {
		return
	}
	q.limit++
	q.grown = now
}

// refused takes in that the server accepts no more connections.
func (q *quota) refused(inUse int, now time.Time) {
	q.full = now
	q.limit = min(q.limit, max(q.share, inUse-1))
}

// use takes in how many connections are held, and shrinks a quota that has not
// been used up.
func (q *quota) use(inUse int, now time.Time) {
	q.peak = max(q.peak, inUse)
	if now.Sub(q.since) < shrinkPause {
		return
	}
	if q.peak < q.limit && q.limit > q.share {
		q.limit--
	}
	q.peak, q.since = inUse, now
}
