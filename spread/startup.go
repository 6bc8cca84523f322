package spread

import (
	"maps"
	"slices"
	"time"

	"tamarackcross/state"
)

// startupQuery is the start procedure of an instance: it asks several peers for the
// stamps of their states and pulls the newest one.
type startupQuery struct {
	unanswered map[string]bool // peers asked in this round; nil before the first round
	answers    map[string]state.Stamp
	deadline   time.Time
	rounds     int
}

// forget discards the answer of a peer that did not deliver its state, and ends the
// round.
func (q *startupQuery) forget(peer string, now time.Time) {
	delete(q.answers, peer)
	delete(q.unanswered, peer)
	q.deadline = now
}

// newest returns the peer with the highest stamp, the first by name among equals.
func (q *startupQuery) newest() (peer string, stamp state.Stamp) {
	for _, name := range slices.Sorted(maps.Keys(q.answers)) {
		if peer == "" || stamp.Less(q.answers[name]) {
			peer, stamp = name, q.answers[name]
		}
	}
	return peer, stamp
}

// tickStartup starts a round if there is none or the last one is over without a
// decision.
func (c *Core) tickStartup(now time.Time) {
	q := c.startup
	if now.Before(q.deadline) || c.pull != nil {
		return
	}
	if q.unanswered != nil && c.decideStartup(now) {
		return
	}
	c.queryPeers(now)
}

// queryPeers starts a round of queries. Answers of earlier rounds stay valid, because
// the state of a peer never goes back.
func (c *Core) queryPeers(now time.Time) {
	q := c.startup
	q.unanswered = make(map[string]bool)
	if q.answers == nil {
		q.answers = make(map[string]state.Stamp)
	}
	q.deadline = now.Add(StartupQueryTimeout)
	q.rounds++
	for _, peer := range c.choosePeers(StartupQueryPeers, "", now) {
		q.unanswered[peer] = true
		c.send(peer, c.summary(Ask))
	}
}

// onStartupAnswer records an answer and decides once all peers have answered.
func (c *Core) onStartupAnswer(m Summary, now time.Time) {
	q := c.startup
	if m.Purpose == Ask || q.unanswered == nil {
		return
	}
	q.answers[m.From] = m.Stamp
	delete(q.unanswered, m.From)
	if len(q.unanswered) == 0 && c.pull == nil {
		c.decideStartup(now)
	}
}

// decideStartup pulls from the peer with the newest state, or ends the procedure if
// the view is as new. It returns false if another round is needed. An instance with
// a state and without answers is ready after MaxUnansweredRounds, or at once if there
// are no other instances.
func (c *Core) decideStartup(now time.Time) bool {
	peer, stamp := c.startup.newest()
	if c.stamp().Less(stamp) {
		c.startPull(peer, now)
		return true
	}
	if c.stamp().IsZero() {
		return false
	}
	alone := len(c.peers.local)+len(c.peers.remote) == 0
	if peer == "" && !alone && c.startup.rounds < MaxUnansweredRounds {
		return false
	}
	c.finishStartup()
	return true
}

// checkStartup decides after the view has changed, unless an answer is outstanding
// or a pull is in progress.
func (c *Core) checkStartup(now time.Time) {
	if c.startup == nil || c.stamp().IsZero() {
		return
	}
	if len(c.startup.unanswered) == 0 && len(c.startup.answers) > 0 && c.pull == nil {
		c.decideStartup(now)
	}
}

// finishStartup ends the start procedure: the instance may serve.
func (c *Core) finishStartup() {
	c.startup = nil
	c.actions = append(c.actions, Ready{Stamp: c.stamp()})
}
