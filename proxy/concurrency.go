package proxy

import "time"

const (
	// highQueueDelay is the mean queue delay of a server above which an instance
	// sends it fewer statements: a fifth of the tightest latency objective of the
	// users (150 ms).
	highQueueDelay = 30 * time.Millisecond
	// lowQueueDelay is the mean queue delay below which it may send more.
	lowQueueDelay = 12 * time.Millisecond
	// decreaseInterval and increaseInterval are the least times between steps of the
	// limit. The effect of a decrease shows only after a round of answers.
	decreaseInterval = 60 * time.Millisecond
	increaseInterval = 20 * time.Millisecond
	// decreaseFactor is the factor of one decrease. An increase adds one statement.
	decreaseFactor = 0.85
	// minConcurrency lets an instance go on at a server that other instances keep busy.
	minConcurrency = 1
	// maxQueuedAtServer is how many statements an instance may send beyond the slots
	// of the server.
	maxQueuedAtServer = 8
	// queueDelayWeight is the weight of one answer in the moving average of the
	// queue delay.
	queueDelayWeight = 0.15
)

// concurrencyLimit is the number of statements that an instance may have at a server
// at a time. It follows the queue delay of the server with additive increase and
// multiplicative decrease, so that the queue there stays short and requests wait at
// the instances, where they are ordered by deadline. All instances see the same
// delay, so those with more load get more of the server.
type concurrencyLimit struct {
	limit        float64
	ceiling      int
	meanDelay    time.Duration // moving average of the delay in the queue of the server
	lastDecrease time.Time
	lastIncrease time.Time
}

func newConcurrencyLimit(slots int) concurrencyLimit {
	return concurrencyLimit{limit: float64(max(minConcurrency, slots)), ceiling: slots + maxQueuedAtServer}
}

// recordDelay updates the limit. delay is how much longer than usual a statement
// took, and waiting says whether further statements wait to be sent.
func (p *concurrencyLimit) recordDelay(delay time.Duration, waiting bool, now time.Time) {
	p.meanDelay += time.Duration(queueDelayWeight * float64(delay-p.meanDelay))
	switch {
	case p.meanDelay > highQueueDelay && now.Sub(p.lastDecrease) >= decreaseInterval:
		p.limit = max(minConcurrency, p.limit*decreaseFactor)
		p.lastDecrease = now
	case p.meanDelay < lowQueueDelay && waiting && now.Sub(p.lastIncrease) >= increaseInterval:
		p.limit = min(float64(p.ceiling), p.limit+1)
		p.lastIncrease = now
	}
}

// allowed returns how many statements may be at the server at a time.
func (p *concurrencyLimit) allowed() int { return int(p.limit) }

// durationBaseline holds how long statements usually take at each member without a
// queue.
type durationBaseline struct {
	means map[string]time.Duration // moving averages by member
}

const (
	// baselineWeight is the weight of one answer in the moving average of a member.
	baselineWeight = 0.05
	// congestedWeight is the weight of a duration above the average while statements
	// wait in the queue of the server. It is low so that a lasting queue does not
	// become the baseline.
	congestedWeight = 0.002
)

// record adds the duration of a statement and returns how much it exceeds the
// average of the fastest member.
func (u *durationBaseline) record(member string, d time.Duration, congested bool) time.Duration {
	if u.means == nil {
		u.means = make(map[string]time.Duration)
	}
	old, known := u.means[member]
	if !known {
		old = d
	}
	weight := baselineWeight
	if congested && d > old {
		weight = congestedWeight
	}
	u.means[member] = old + time.Duration(weight*float64(d-old))
	return d - u.fastest()
}

// fastest returns the average of the fastest member, or 0 if there is none.
func (u *durationBaseline) fastest() time.Duration {
	first, fastest := true, time.Duration(0)
	for _, mean := range u.means {
		if first || mean < fastest {
			first, fastest = false, mean
		}
	}
	return fastest
}
