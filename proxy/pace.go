package proxy

import "time"

const (
	// slowDelay is the delay in the queue of a server above which an instance sends
	// it less: a third of the tightest latency objective of the users (150 ms).
	slowDelay = 30 * time.Millisecond
	// fastDelay is the delay below which it may send more.
	fastDelay = 12 * time.Millisecond
	// slowPause and fastPause are between steps down and up. A step down takes a
	// round of answers to show.
	slowPause = 60 * time.Millisecond
	fastPause = 20 * time.Millisecond
	// slowFactor is a step down.
	slowFactor = 0.85
	// leastPace lets an instance go on at a server that others keep busy.
	leastPace = 1
	// paceQueue is how many statements an instance may send beyond the slots.
	paceQueue = 8
	// paceWeight is the weight of one answer in the mean delay.
	paceWeight = 0.15
)

// pace says how many statements an instance may have at a server at a time. It
// keeps the queue of the server short, so that work waits at the instances, where
// it is ordered by deadline. All instances see the same delay, so those with more
// work get more of the server.
type pace struct {
	limit float64
	most  int
	delay time.Duration // mean delay in the queue of the server
	slow  time.Time
	fast  time.Time
}

func newPace(slots int) pace {
	return pace{limit: float64(max(leastPace, slots)), most: slots + paceQueue}
}

// answered takes in how much longer than usual a statement took, and whether
// others wait to be sent.
func (p *pace) answered(delay time.Duration, waiting bool, now time.Time) {
	p.delay += time.Duration(paceWeight * float64(delay-p.delay))
	switch {
	case p.delay > slowDelay && now.Sub(p.slow) >= slowPause:
		p.limit = max(leastPace, p.limit*slowFactor)
		p.slow = now
	case p.delay < fastDelay && waiting && now.Sub(p.fast) >= fastPause:
		p.limit = min(float64(p.most), p.limit+1)
		p.fast = now
	}
}

// allowed returns how many statements may be at the server.
func (p *pace) allowed() int { return int(p.limit) }

// usual is how long the statements of a route take at a member, without a queue.
type usual struct {
	mean map[string]time.Duration // by member
}

const (
	// usualWeight is the weight of one answer in the mean time of a member.
	usualWeight = 0.05
	// crowdedWeight is the weight of one that is longer than the mean while the server
	// keeps statements waiting: a queue that lasts must not pass for the usual time.
	crowdedWeight = 0.002
)

// took takes in the time of a statement and returns how much it is above what the
// fastest member usually takes.
func (u *usual) took(member string, d time.Duration, crowded bool) time.Duration {
	if u.mean == nil {
		u.mean = make(map[string]time.Duration)
	}
	old, known := u.mean[member]
	if !known {
		old = d
	}
	weight := usualWeight
	if crowded && d > old {
		weight = crowdedWeight
	}
	u.mean[member] = old + time.Duration(weight*float64(d-old))
	return d - u.least()
}

// least returns the mean time at the fastest member, or 0 if none is known.
func (u *usual) least() time.Duration {
	first, least := true, time.Duration(0)
	for _, m := range u.mean {
		if first || m < least {
			first, least = false, m
		}
	}
	return least
}
